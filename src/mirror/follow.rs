//! Keeps a [`PrefixMirror`] up to date through a [`StorePort`].

use crate::mirror::port::{PortError, StoreItem, StorePort};
use crate::mirror::prefix::{MirrorChange, MirrorStep, PrefixMirror};
use crate::mirror::set::SharedMirror;
use async_std::future::timeout;
use async_std::task;
use futures_lite::future::Boxed;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Pause after the first failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between failed calls. Spread by half, it keeps 430 daemons with three prefixes each
/// below the store's limit on reading calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Random addition to a list after a history gap, so that daemons do not all list at once.
const LIST_SPREAD: Duration = Duration::from_millis(50);

/// Time for the first list of a daemon that knows nothing yet, doubled with each further try: a store
/// that answers does so within some ten milliseconds, and other daemons can be asked meanwhile.
const FIRST_PATIENCE: Duration = Duration::from_millis(300);
/// Longest such time; the port's own limit is shorter.
const LONGEST_PATIENCE: Duration = Duration::from_secs(5);

/// Asks other daemons for their copy of a prefix.
pub type CopySource = Arc<dyn Fn(Arc<str>) -> Boxed<Option<Vec<StoreItem>>> + Send + Sync>;

/// What to follow and how often to ask.
#[derive(Clone)]
pub struct FollowSpec {
    /// Prefix.
    pub prefix: Arc<str>,
    /// Time that a watch waits for the first change.
    pub wait: Duration,
    /// Pause after a watch that returned changes, so that several are taken together.
    pub gather: Arc<dyn Fn() -> Duration + Send + Sync>,
}

impl fmt::Debug for FollowSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FollowSpec")
            .field("prefix", &self.prefix)
            .field("wait", &self.wait)
            .finish_non_exhaustive()
    }
}

/// What is reported while following.
#[derive(Debug)]
pub enum FollowNotice<'a> {
    /// Changes, in order; possibly none: the store has answered.
    Changed(&'a PrefixMirror, &'a [MirrorChange]),
    /// A call failed.
    Failed(&'a PortError),
    /// The store does not answer, and another daemon told what it knows.
    Copied(&'a [MirrorChange]),
}

/// Time for the next try after one that took this time in vain.
pub fn next_list_timeout(patience: Duration) -> Duration {
    patience.saturating_mul(2).min(LONGEST_PATIENCE)
}

/// Follows a prefix for ever.
pub async fn follow_prefix(
    port: StorePort,
    spec: FollowSpec,
    mirror: SharedMirror,
    copies: CopySource,
    mut report: impl FnMut(FollowNotice<'_>),
) {
    let copy = || mirror.lock().expect("a copy is never poisoned");
    let mut pause = FIRST_PAUSE;
    let mut patience = FIRST_PATIENCE;
    loop {
        let step = copy().next_step();
        let answered = match step {
            MirrorStep::List(after) => {
                let list = (port.list)((Arc::clone(&spec.prefix), after));
                let page = if copy().is_complete() {
                    list.await
                } else {
                    let late = || PortError::NotExecuted("no list in time".to_owned());
                    timeout(patience, list)
                        .await
                        .unwrap_or_else(|_elapsed| Err(late()))
                };
                page.map(|page| copy().on_page(page))
            }
            MirrorStep::Watch(revision) => {
                let watch = (port.watch)((Arc::clone(&spec.prefix), revision, spec.wait)).await;
                watch.map(|outcome| copy().on_watch(outcome))
            }
        };
        match answered {
            Ok(changes) => {
                pause = FIRST_PAUSE;
                report(FollowNotice::Changed(&copy(), &changes));
                let listing = matches!(copy().next_step(), MirrorStep::List(None));
                match listing {
                    true => task::sleep(LIST_SPREAD.mul_f64(fastrand::f64())).await,
                    false if !changes.is_empty() => task::sleep((spec.gather)()).await,
                    false => {}
                }
            }
            Err(cause) => {
                copy().on_failure();
                report(FollowNotice::Failed(&cause));
                patience = next_list_timeout(patience);
                let is_known = copy().is_complete();
                if !is_known && let Some(items) = copies(Arc::clone(&spec.prefix)).await {
                    let changes = copy().load_snapshot(items);
                    report(FollowNotice::Copied(&changes));
                }
                task::sleep(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}
