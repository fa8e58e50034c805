//! Reports restores of the store from an older copy.

use crate::gateway::run::GatewayState;
use crate::ids::StoreEra;
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use async_std::task;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Period of checking whether everything is back.
const POLL_PERIOD: Duration = Duration::from_millis(50);
/// Time after which a restore is reported although something is still missing.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// State of this daemon a while after a restore.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RestoreOutcome {
    /// Its lease and its entry are in the store, and it has listed all prefixes again.
    Back,
    /// Something is still missing after [`MAX_WAIT`].
    Incomplete,
    /// The store was restored again.
    Superseded,
}

impl fmt::Display for RestoreOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Back => "back",
            Self::Incomplete => "incomplete",
            Self::Superseded => "superseded",
        })
    }
}

/// Logs and counts each restore, once this daemon is back in the store. Never returns.
pub(super) async fn report_restores(state: Arc<GatewayState>) {
    let era = &state.ports.store.era;
    let mut known = era.known();
    loop {
        let to = era.wait_change(known).await;
        let Some(from) = known.replace(to) else {
            continue;
        };
        let noticed = state.context.clock.now();
        let outcome = wait_back(&state, to, noticed).await;
        report(&state, from, to, noticed, outcome);
    }
}

async fn wait_back(state: &GatewayState, era: StoreEra, noticed: MonoTime) -> RestoreOutcome {
    loop {
        if state.ports.store.era.current() != era {
            return RestoreOutcome::Superseded;
        }
        if state.session.is_present_in(era) && state.mirrors.are_current(era) {
            return RestoreOutcome::Back;
        }
        if state.context.clock.now().since(noticed) > MAX_WAIT {
            return RestoreOutcome::Incomplete;
        }
        task::sleep(POLL_PERIOD).await;
    }
}

fn report(
    state: &GatewayState,
    from: StoreEra,
    to: StoreEra,
    noticed: MonoTime,
    outcome: RestoreOutcome,
) {
    let context = &state.context;
    let outcome = outcome.to_string();
    let restores = &context.metrics.store_restores;
    restores.with_label_values(&[outcome.as_str()]).inc();
    let now = context.clock.now();
    let pause = now.since(noticed);
    let crashes = context.outbox.rows(usize::MAX, now, |_| 0).len();
    let line = EventLine::new("store_restored")
        .with("from", from.0)
        .with("to", to.0)
        .with("outcome", outcome)
        .with("back_ms", pause.as_millis() as u64);
    context.events.emit(
        line.with("written", "lease, presence")
            .with("crashes", crashes),
    );
}
