//! Keeps the crashes under requests in the store, where all daemons learn of them, also those that
//! start later.

use crate::config::{BackoffLimits, RetryBackoff};
use crate::gateway::run::GatewayState;
use crate::mirror::{CommitOutcome, ItemWrite, MirrorChange, PortResult, StoreTransaction};
use crate::poison::{CrashState, CrashedRun, OutboxRow, PoisonEntry, PoisonFingerprint};
use crate::presence::PRESENCE_PREFIX;
use crate::relay::{CRASH_RETENTION, RelayContext, count_crashes};
use crate::units::MonoTime;
use std::sync::Arc;
use std::time::Duration;

/// Folder of the keys of crashes below [`PRESENCE_PREFIX`].
const CRASH_FOLDER: &str = "crash/";
/// Delays between transactions that the store did not answer: all daemons that know of crashes try at once.
const STORE_BACKOFF: BackoffLimits = BackoffLimits {
    initial: Duration::from_millis(800),
    max: Duration::from_secs(5),
};
/// Most crashes of one transaction; the store accepts 32 entries.
const MAX_TRANSACTION_ROWS: usize = 32;
/// Time after which a daemon that does not lead removes expired crashes, in case the leader has
/// not.
const EXPIRY_GRACE: Duration = Duration::from_secs(60);
/// Upper limit of the random delay before a crash that a restore lost is written again. All daemons
/// know of it, and the first one to write it spares the others the call.
const REWRITE_SPREAD: Duration = Duration::from_secs(2);

/// When the next transaction may be sent.
#[derive(Debug)]
pub(super) struct CrashStoreDelay {
    backoff: RetryBackoff,
    until: MonoTime,
}

impl Default for CrashStoreDelay {
    fn default() -> Self {
        Self {
            backoff: RetryBackoff::new(STORE_BACKOFF),
            until: MonoTime::default(),
        }
    }
}

impl CrashStoreDelay {
    fn record(&mut self, is_answered: bool, now: MonoTime) {
        let delay = self
            .backoff
            .record_outcome(is_answered, &mut fastrand::Rng::new());
        self.until = now.after(delay.unwrap_or_default());
    }
}

/// Key of a crash.
fn crash_key(row: &OutboxRow) -> Arc<str> {
    let OutboxRow {
        fingerprint, run, ..
    } = row;
    Arc::from(format!(
        "{PRESENCE_PREFIX}{CRASH_FOLDER}{fingerprint}/{run}"
    ))
}

/// Fingerprint and run of a key; `None` if it is not that of a crash.
fn parse_crash_key(key: &str) -> Option<(PoisonFingerprint, CrashedRun)> {
    let rest = key.strip_prefix(PRESENCE_PREFIX)?;
    let (fingerprint, run) = rest.strip_prefix(CRASH_FOLDER)?.split_once('/')?;
    Some((fingerprint.parse().ok()?, run.parse().ok()?))
}

/// Writes a crash that a restore of the store lost again.
fn rewrite_crash(context: &RelayContext, key: &str) {
    let Some((fingerprint, run)) = parse_crash_key(key) else {
        return;
    };
    let delay = REWRITE_SPREAD.mul_f64(fastrand::f64());
    let row = OutboxRow {
        fingerprint,
        run,
        state: CrashState::Counted,
    };
    context.outbox.add(row, context.clock.now().after(delay));
}

/// Applies a change of the store's keys if it is one of a crash.
pub(super) fn apply_crash_change(context: &RelayContext, change: &MirrorChange) {
    let (key, state) = match change {
        MirrorChange::Written(item) => (&item.key, CrashState::Counted),
        MirrorChange::Removed(key) => (key, CrashState::Cleared),
        MirrorChange::Lost(key) => return rewrite_crash(context, key),
        MirrorChange::Synced => return,
    };
    let Some((fingerprint, run)) = parse_crash_key(key) else {
        return;
    };
    let now = context.clock.now();
    match state {
        CrashState::Counted => {
            let entry = PoisonEntry::new([run], state, now.after(CRASH_RETENTION));
            context.poison.merge(fingerprint, &entry, now);
        }
        CrashState::Cleared => context.poison.clear_runs(fingerprint, &[run]),
    }
    context.outbox.on_stored(OutboxRow {
        fingerprint,
        run,
        state,
    });
}

/// Counts new crashes, writes them to the store and removes those that are cleared or have expired.
pub(super) async fn sync_crashes(state: &GatewayState) {
    let context = &state.context;
    count_crashes(context);
    remove_expired(state);
    let now = context.clock.now();
    if now < state.with_crash_delay(|delay| delay.until) {
        return;
    }
    let known_runs = |fingerprint| context.poison.known_runs(fingerprint, now);
    let rows = context
        .outbox
        .take_due(MAX_TRANSACTION_ROWS, now, known_runs);
    if rows.is_empty() {
        return;
    }
    let stored = store_rows(state, &rows).await;
    let now = context.clock.now();
    state.with_crash_delay(|delay| delay.record(stored.is_ok(), now));
    match stored {
        Ok(CommitOutcome::Done(_)) => rows.iter().for_each(|row| context.outbox.on_stored(*row)),
        Ok(outcome) => log::warn!("crashes under requests not stored: {outcome:?}"),
        Err(cause) => log::debug!("crashes under requests not stored yet: {cause}"),
    }
}

async fn store_rows(state: &GatewayState, rows: &[OutboxRow]) -> PortResult<CommitOutcome> {
    let (counted, cleared): (Vec<_>, Vec<_>) = rows
        .iter()
        .partition(|row| row.state == CrashState::Counted);
    let instance = &state.context.settings.instance;
    let writes = counted.into_iter().map(|row| ItemWrite {
        key: crash_key(row),
        value: Arc::from(instance.as_str().as_bytes()),
        // Not attached to a lease: leases may expire while the store is away.
        lease: None,
    });
    let transaction = StoreTransaction {
        writes: writes.collect(),
        removals: cleared.into_iter().map(crash_key).collect(),
        ..StoreTransaction::default()
    };
    (state.ports.store.commit)(transaction).await
}

fn remove_expired(state: &GatewayState) {
    let context = &state.context;
    let now = context.clock.now();
    let leads = state.session.fence(now).is_some();
    let grace = if leads { Duration::ZERO } else { EXPIRY_GRACE };
    for (fingerprint, entry) in context.poison.take_expired(now, grace) {
        for run in entry.counted() {
            let state = CrashState::Cleared;
            context.outbox.add(
                OutboxRow {
                    fingerprint,
                    run,
                    state,
                },
                now,
            );
        }
    }
}
