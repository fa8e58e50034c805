//! Keeps a [`PrefixMirror`] in sync with the store through list and watch calls of a [`StorePort`].

use crate::mirror::port::{PortError, StoreItem, StorePort};
use crate::mirror::prefix::{MirrorChange, MirrorStep, PrefixMirror};
use crate::mirror::set::SharedMirror;
use async_std::future::timeout;
use async_std::task;
use futures_lite::future::{Boxed, or};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Delay before the retry of the first failed call; doubles with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between failed calls. With up to half of it taken off as jitter, it keeps 430
/// daemons with three prefixes each below the store's limit on read calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Upper limit of the random delay before a list after a gap in the history, so that daemons do not
/// all list at once.
const LIST_JITTER: Duration = Duration::from_millis(50);
/// Upper limit of the random delay before a list after a restore of the store, of which all daemons
/// hear at once. It keeps 430 daemons with three prefixes each below the store's limit on read
/// calls.
const RESTORE_JITTER: Duration = Duration::from_millis(700);

/// Timeout of the first list of a daemon that has no data yet, doubled with each retry. A store
/// that is up answers within some ten milliseconds. After a timeout, peers are asked for a
/// snapshot.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest timeout of a first list; the port's own call timeout is shorter.
const MAX_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Fetches a peer's snapshot of the prefix; `None` when no peer has one.
pub type SnapshotSource = Arc<dyn Fn(Arc<str>) -> Boxed<Option<Vec<StoreItem>>> + Send + Sync>;

/// What to follow and how often to call the store.
#[derive(Clone)]
pub struct FollowSpec {
    /// Prefix of the keys to follow.
    pub prefix: Arc<str>,
    /// Time for which a watch waits for the first change.
    pub watch_timeout: Duration,
    /// Delay after a watch that returned changes, so that several changes are applied together.
    pub batch_delay: Arc<dyn Fn() -> Duration + Send + Sync>,
}

impl fmt::Debug for FollowSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FollowSpec")
            .field("prefix", &self.prefix)
            .field("wait", &self.watch_timeout)
            .finish_non_exhaustive()
    }
}

/// Event that is reported while a prefix is followed.
#[derive(Debug)]
pub enum FollowNotice<'a> {
    /// The store answered: the mirror and its changes in order, possibly none.
    Changed(&'a PrefixMirror, &'a [MirrorChange]),
    /// The store was restored from an older copy. The prefix is listed again.
    Restored,
    /// A call to the store failed.
    Failed(&'a PortError),
    /// The store does not answer, and a peer's snapshot was loaded instead: the changes in order.
    PeerSnapshot(&'a [MirrorChange]),
}

/// Timeout of the next attempt after one that timed out after `current`.
pub fn next_list_timeout(current: Duration) -> Duration {
    current.saturating_mul(2).min(MAX_LIST_TIMEOUT)
}

/// Keeps `mirror` in sync with a prefix of the store and passes what happens to `report`. Never
/// returns.
pub async fn follow_prefix(
    port: StorePort,
    spec: FollowSpec,
    mirror: SharedMirror,
    snapshots: SnapshotSource,
    mut report: impl FnMut(FollowNotice<'_>),
) {
    let mirror = || mirror.lock().expect("mirror lock is never poisoned");
    let mut retry_delay = FIRST_RETRY_DELAY;
    let mut list_timeout = FIRST_LIST_TIMEOUT;
    let mut era = port.era.known();
    loop {
        let known = port.era.known();
        let is_restored = era.is_some() && known != era;
        era = known;
        if is_restored {
            mirror().on_restore();
            report(FollowNotice::Restored);
            task::sleep(RESTORE_JITTER.mul_f64(fastrand::f64())).await;
        }
        let step = mirror().next_step();
        let outcome = match step {
            MirrorStep::List(after) => {
                let list = (port.list)((Arc::clone(&spec.prefix), after));
                let page = if mirror().is_complete() {
                    list.await
                } else {
                    let timed_out = || {
                        PortError::NotExecuted(
                            "store did not answer the list before the timeout".to_owned(),
                        )
                    };
                    timeout(list_timeout, list)
                        .await
                        .unwrap_or_else(|_elapsed| Err(timed_out()))
                };
                page.map(|page| mirror().on_page(page))
            }
            MirrorStep::Watch(version) => {
                let watch = (port.watch)((Arc::clone(&spec.prefix), version, spec.watch_timeout));
                let watch = async { Some(watch.await) };
                // A watch that waits through a restore may miss writes.
                let changed = async {
                    port.era.wait_change(era).await;
                    None
                };
                match or(watch, changed).await {
                    Some(reply) => reply.map(|reply| mirror().on_watch(reply)),
                    None => continue,
                }
            }
        };
        match outcome {
            Ok(changes) => {
                retry_delay = FIRST_RETRY_DELAY;
                report(FollowNotice::Changed(&mirror(), &changes));
                let listing = matches!(mirror().next_step(), MirrorStep::List(None));
                match listing {
                    true => task::sleep(LIST_JITTER.mul_f64(fastrand::f64())).await,
                    false if !changes.is_empty() => task::sleep((spec.batch_delay)()).await,
                    false => {}
                }
            }
            Err(cause) => {
                mirror().on_failure();
                report(FollowNotice::Failed(&cause));
                list_timeout = next_list_timeout(list_timeout);
                let is_complete = mirror().is_complete();
                if !is_complete && let Some(items) = snapshots(Arc::clone(&spec.prefix)).await {
                    let changes = mirror().load_snapshot(items);
                    report(FollowNotice::PeerSnapshot(&changes));
                }
                task::sleep(retry_delay.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}
