//! Keeps a [`PrefixMirror`] in sync with the store, by the feed of another daemon if there is one, else
//! through list and watch calls of a [`StorePort`].

use crate::feed::inbox::{FeedInbox, FeedStep};
use crate::feed::rest::{ListRest, RestSpec};
use crate::ids::StoreEra;
use crate::kernel::MonoClock;
use crate::mirror::{
    ItemPage, MirrorChange, MirrorStep, PortError, PortResult, PrefixMirror, SharedMirror,
    StoreItem, StorePort, StoreVersion, WatchOutcome,
};
use async_std::task;
use futures_lite::future::{Boxed, or, pending};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Delay before the retry of the first failed call; doubles with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between failed calls. With up to half of it taken off as jitter, it keeps 430
/// daemons with three prefixes each below the store's limit on read calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// The same for a daemon with an open feed, which tells it of the store's return.
const MAX_FED_RETRY_DELAY: Duration = Duration::from_millis(2_400);
/// Upper limit of the random delay before a list after a gap in the history, so that daemons do not
/// all list at once.
const LIST_JITTER: Duration = Duration::from_millis(50);
/// Upper limit of the random delay before a list after a restore of the store, of which all daemons
/// hear at once. It keeps 430 daemons with three prefixes each below the store's limit on read
/// calls.
const RESTORE_JITTER: Duration = Duration::from_millis(700);

/// Time after which a daemon that has no data yet asks peers for a snapshot while the store answers its
/// list, doubled each time. A store that is up begins its answer within some ten milliseconds, but
/// when a whole fleet starts, the answers share the store's link.
const FIRST_SNAPSHOT_DELAY: Duration = Duration::from_millis(300);
/// Longest such time; the list mostly ends earlier by the port's own timeout.
const MAX_SNAPSHOT_DELAY: Duration = Duration::from_secs(5);

/// Fetches a peer's snapshot of the prefix; `None` when no peer has one.
pub type SnapshotSource = Arc<dyn Fn(Arc<str>) -> Boxed<Option<Vec<StoreItem>>> + Send + Sync>;

/// What to follow and how often to call the store.
#[derive(Clone)]
pub struct FollowSpec {
    /// Prefix of the keys to follow.
    pub prefix: Arc<str>,
    /// Time for which a watch waits for the first change.
    pub watch_timeout: Duration,
    /// Delay after changes, so that several changes are applied together.
    pub batch_delay: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Changes that another daemon hands on, if any.
    pub inbox: Arc<FeedInbox>,
    /// Rest after the first list, if any.
    pub rest: Option<RestSpec>,
    /// Clock of this process.
    pub clock: MonoClock,
}

impl fmt::Debug for FollowSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FollowSpec")
            .field("prefix", &self.prefix)
            .field("wait", &self.watch_timeout)
            .finish_non_exhaustive()
    }
}

/// Who told of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeSource {
    /// The store itself.
    Store,
    /// The feed of another daemon.
    Feed,
}

/// Event that is reported while a prefix is followed.
#[derive(Debug)]
pub enum FollowNotice<'a> {
    /// Changes were applied: the mirror and its changes in order, possibly none, and who told them.
    Changed(&'a PrefixMirror, &'a [MirrorChange], ChangeSource),
    /// The store was restored from an older copy. The prefix is listed again.
    Restored,
    /// A call to the store failed.
    Failed(&'a PortError),
    /// The store has not answered the daemon whose feed is followed.
    FeedFailed,
    /// The store does not answer, and a peer's snapshot was loaded instead: the changes in order.
    PeerSnapshot(&'a [MirrorChange]),
}

/// Time after which peers are asked again when they had no snapshot after `current`.
pub fn next_snapshot_delay(current: Duration) -> Duration {
    current.saturating_mul(2).min(MAX_SNAPSHOT_DELAY)
}

/// What came of one step.
enum StepOutcome {
    Store(PortResult<Vec<MirrorChange>>),
    Feed(Vec<MirrorChange>),
    FeedFailed,
    /// The store was restored meanwhile, or a feed has to be asked in place of the store.
    Again,
}

/// What a watch returned.
enum WatchReply {
    Store(PortResult<WatchOutcome>),
    Feed(FeedStep),
    Restored,
}

fn next_retry_delay(current: Duration, is_fed: bool) -> Duration {
    let longest = if is_fed {
        MAX_FED_RETRY_DELAY
    } else {
        MAX_RETRY_DELAY
    };
    current.saturating_mul(2).min(longest)
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
    let lock = || mirror.lock().expect("mirror lock is never poisoned");
    let mut retry_delay = FIRST_RETRY_DELAY;
    let mut era = port.era.known();
    let mut rest = ListRest::Unlisted;
    loop {
        let known = port.era.known();
        let is_restored = era.is_some() && known != era;
        era = known;
        if is_restored {
            lock().on_restore();
            report(FollowNotice::Restored);
            task::sleep(RESTORE_JITTER.mul_f64(fastrand::f64())).await;
        }
        resume_by_feed(&spec, &mirror);
        let step = lock().next_step();
        if let MirrorStep::Watch(version) = step
            && let Some(wait) = next_rest(&spec, &mut rest, version)
        {
            let covered = spec.inbox.wait_covered(&spec.prefix, version, spec.clock);
            or(task::sleep(wait), covered).await;
            continue;
        }
        let is_list = matches!(step, MirrorStep::List(_));
        let sent = spec.clock.now();
        let outcome = match step {
            MirrorStep::List(after) => {
                let list = (port.list)((Arc::clone(&spec.prefix), after));
                let copied = copy_meanwhile(&spec, &mirror, &snapshots, &mut report);
                let page = or(list, copied).await;
                StepOutcome::Store(page.map(|page| lock().on_page(page)))
            }
            MirrorStep::Watch(version) => watch_changes(&port, &spec, &mirror, version, era).await,
        };
        let (changes, source) = match outcome {
            StepOutcome::Again => continue,
            StepOutcome::FeedFailed => {
                report(FollowNotice::FeedFailed);
                continue;
            }
            StepOutcome::Store(Ok(changes)) => (changes, ChangeSource::Store),
            StepOutcome::Feed(changes) => (changes, ChangeSource::Feed),
            StepOutcome::Store(Err(cause)) => {
                rest.end();
                lock().on_failure();
                report(FollowNotice::Failed(&cause));
                let is_complete = lock().is_complete();
                if !is_complete {
                    load_snapshot(&spec, &mirror, &snapshots, &mut report).await;
                }
                wait_retry(&spec, &mirror, retry_delay).await;
                retry_delay = next_retry_delay(retry_delay, spec.inbox.is_open());
                continue;
            }
        };
        retry_delay = FIRST_RETRY_DELAY;
        if is_list && spec.rest.is_some() && changes.contains(&MirrorChange::Synced) {
            rest.on_listed(sent);
            spec.inbox.set_rest(&spec.prefix, rest.listed_at());
        }
        report(FollowNotice::Changed(&lock(), &changes, source));
        let listing = matches!(lock().next_step(), MirrorStep::List(None));
        match listing {
            true => task::sleep(LIST_JITTER.mul_f64(fastrand::f64())).await,
            // A rest collects changes, too.
            false if !changes.is_empty() && rest.listed_at().is_none() => {
                task::sleep((spec.batch_delay)()).await;
            }
            false => {}
        }
    }
}

/// Time for which a prefix that is known up to `version` rests before the next decision, if it does.
fn next_rest(spec: &FollowSpec, rest: &mut ListRest, version: StoreVersion) -> Option<Duration> {
    let now = spec.clock.now();
    if spec.inbox.covers(&spec.prefix, version, now) {
        rest.end();
    }
    let wait = spec
        .rest
        .as_ref()
        .and_then(|spec| rest.next_wait(spec.limit, (spec.may_rest)(), now));
    if wait.is_none() {
        spec.inbox.set_rest(&spec.prefix, None);
    }
    wait
}

/// Spares a list after a failed call if a feed continues from the version that is known.
fn resume_by_feed(spec: &FollowSpec, mirror: &SharedMirror) {
    let mut mirror = mirror.lock().expect("mirror lock is never poisoned");
    let now = spec.clock.now();
    let is_covered = |version| spec.inbox.covers(&spec.prefix, version, now);
    if mirror.resume_version().is_some_and(is_covered) {
        mirror.resume();
    }
}

/// Waits before a failed call is repeated, or until a feed continues from the version that is known.
async fn wait_retry(spec: &FollowSpec, mirror: &SharedMirror, delay: Duration) {
    let version = mirror
        .lock()
        .expect("mirror lock is never poisoned")
        .resume_version();
    let sleep = task::sleep(delay.mul_f64(0.5 + fastrand::f64() / 2.0));
    match version {
        Some(version) => {
            let covered = spec.inbox.wait_covered(&spec.prefix, version, spec.clock);
            or(sleep, covered).await;
        }
        None => sleep.await,
    }
}

/// Loads a peer's snapshot if the first list takes long. Never returns, as only the list ends the step.
async fn copy_meanwhile(
    spec: &FollowSpec,
    mirror: &SharedMirror,
    snapshots: &SnapshotSource,
    report: &mut impl FnMut(FollowNotice<'_>),
) -> PortResult<ItemPage> {
    let is_complete = || {
        let mirror = mirror.lock().expect("mirror lock is never poisoned");
        mirror.is_complete()
    };
    let mut delay = FIRST_SNAPSHOT_DELAY;
    while !is_complete() {
        task::sleep(delay).await;
        load_snapshot(spec, mirror, snapshots, report).await;
        delay = next_snapshot_delay(delay);
    }
    pending().await
}

/// Loads a peer's snapshot, if one has any.
async fn load_snapshot(
    spec: &FollowSpec,
    mirror: &SharedMirror,
    snapshots: &SnapshotSource,
    report: &mut impl FnMut(FollowNotice<'_>),
) {
    if let Some(items) = snapshots(Arc::clone(&spec.prefix)).await {
        let mut mirror = mirror.lock().expect("mirror lock is never poisoned");
        let changes = mirror.load_snapshot(items);
        drop(mirror);
        report(FollowNotice::PeerSnapshot(&changes));
    }
}

async fn watch_changes(
    port: &StorePort,
    spec: &FollowSpec,
    mirror: &SharedMirror,
    version: StoreVersion,
    era: Option<StoreEra>,
) -> StepOutcome {
    let lock = || mirror.lock().expect("mirror lock is never poisoned");
    match wait_reply(port, spec, version, era).await {
        WatchReply::Store(reply) => StepOutcome::Store(reply.map(|reply| lock().on_watch(reply))),
        WatchReply::Feed(FeedStep::Apply(deltas)) => {
            let mut mirror = lock();
            let changes = deltas.into_iter().flat_map(|delta| mirror.on_delta(delta));
            StepOutcome::Feed(changes.collect())
        }
        WatchReply::Feed(FeedStep::StoreFailed) => StepOutcome::FeedFailed,
        WatchReply::Feed(FeedStep::Wait(_) | FeedStep::AskStore) | WatchReply::Restored => {
            StepOutcome::Again
        }
    }
}

/// Waits for changes from the feed while it can be relied on, else from the store.
async fn wait_reply(
    port: &StorePort,
    spec: &FollowSpec,
    version: StoreVersion,
    era: Option<StoreEra>,
) -> WatchReply {
    let FollowSpec {
        prefix,
        watch_timeout,
        inbox,
        clock,
        ..
    } = spec;
    // A watch that waits through a restore may miss writes.
    let restored = async {
        port.era.wait_change(era).await;
        WatchReply::Restored
    };
    if inbox.covers(prefix, version, clock.now()) {
        let next = inbox.next(prefix, version, *watch_timeout, *clock);
        let fed = async { WatchReply::Feed(next.await) };
        return or(fed, restored).await;
    }
    let watch = (port.watch)((Arc::clone(prefix), version, *watch_timeout));
    let watch = async { WatchReply::Store(watch.await) };
    let covered = async {
        inbox.wait_covered(prefix, version, *clock).await;
        WatchReply::Feed(FeedStep::AskStore)
    };
    or(or(watch, covered), restored).await
}
