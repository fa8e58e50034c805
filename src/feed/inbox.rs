//! What this daemon has received from the daemon whose feed it follows.

use crate::feed::message::{FeedFrame, FeedPart, FeedParts};
use crate::kernel::MonoClock;
use crate::mirror::{MirrorDelta, StoreVersion, WatchChange};
use crate::snapshots::{PackingError, unpack_message};
use crate::units::MonoTime;
use async_io::Timer;
use event_listener::{Event, EventListener};
use futures_lite::future::or;
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Result of recording a frame.
pub type Result<T> = std::result::Result<T, FeedError>;

/// Time without a frame after which a feed is no longer relied on; three frames are due in it.
pub(super) const MAX_SILENCE: Duration = Duration::from_millis(1_200);
/// Age of the sender's contact with the store from which its feed is no longer relied on. A lease renewal
/// is due every 0.7 s, and one of them may fail.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(1_600);

/// Most changes of a prefix that wait to be applied.
const MAX_WAITING_CHANGES: usize = 16_384;

/// Why a frame was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedError {
    /// The sender does not serve a feed, or no longer.
    Refused,
    /// No feed is open.
    NotOpen,
    /// The frame names a prefix that was not asked for.
    UnknownPrefix(String),
    /// The frame is of another era of the store than the feed.
    OtherEra,
    /// A change is not between the last position and the new one.
    OutOfOrder,
    /// More changes wait to be applied than are kept.
    Overflow,
    /// Compressed changes cannot be used.
    Packing(PackingError),
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("the daemon serves no feed"),
            Self::NotOpen => f.write_str("no feed is open"),
            Self::UnknownPrefix(prefix) => write!(f, "prefix {prefix:?} was not asked for"),
            Self::OtherEra => f.write_str("the feed is of another era of the store"),
            Self::Overflow => f.write_str("too many changes wait to be applied"),
            Self::Packing(cause) => cause.fmt(f),
            Self::OutOfOrder => f.write_str("a change is outside of the frame's versions"),
        }
    }
}

impl std::error::Error for FeedError {}

impl From<PackingError> for FeedError {
    fn from(cause: PackingError) -> Self {
        Self::Packing(cause)
    }
}

/// What to do next about a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedStep {
    /// Apply these in turn.
    Apply(Vec<MirrorDelta>),
    /// The store has not answered the sender, so that leases may have expired.
    StoreFailed,
    /// Wait for more, at most until this time.
    Wait(MonoTime),
    /// No feed can be relied on: ask the store.
    AskStore,
}

#[derive(Debug)]
struct PrefixInbox {
    /// Version from which the sender has told all changes.
    start: StoreVersion,
    covered: StoreVersion,
    waiting: Vec<MirrorDelta>,
    failures: u64,
}

impl PrefixInbox {
    fn push(&mut self, delta: MirrorDelta) -> Result<()> {
        let count: usize = self.waiting.iter().map(|delta| delta.changes.len()).sum();
        if count + delta.changes.len() > MAX_WAITING_CHANGES {
            return Err(FeedError::Overflow);
        }
        self.covered = delta.version;
        match self.waiting.last_mut() {
            // The keys that a delta lists are those at its own version.
            Some(last) if last.listed.is_none() && delta.listed.is_none() => {
                last.changes.extend(delta.changes);
                last.version = delta.version;
            }
            _ => self.waiting.push(delta),
        }
        Ok(())
    }
}

#[derive(Debug)]
struct OpenFeed {
    /// Time until which the feed can be relied on; `None` before the first frame.
    valid_until: Option<MonoTime>,
    /// Time of the contact with the store on which that rests.
    contact_at: Option<MonoTime>,
    /// True once a frame of this feed has arrived.
    is_heard: bool,
    /// True once no further frames follow.
    is_ended: bool,
    failures: u64,
    prefixes: HashMap<Arc<str>, PrefixInbox>,
}

/// Changes received from the feed of another daemon. Tasks wait for the changes of one prefix each.
#[derive(Debug, Default)]
pub struct FeedInbox {
    feed: Mutex<Option<OpenFeed>>,
    /// Prefixes that rest after their first list, with the time of that list.
    resting: Mutex<HashMap<Arc<str>, MonoTime>>,
    changed: Event,
}

impl FeedInbox {
    /// Opens a feed that begins at these versions, in place of any other. What a suspended feed has
    /// confirmed stays valid for its time.
    pub fn open(&self, positions: &[(Arc<str>, StoreVersion)]) {
        let prefix_inbox = |(prefix, version): &(Arc<str>, StoreVersion)| {
            let inbox = PrefixInbox {
                start: *version,
                covered: *version,
                waiting: Vec::new(),
                failures: 0,
            };
            (Arc::clone(prefix), inbox)
        };
        let mut feed = self.lock();
        let suspended = feed.take().filter(|feed| feed.is_ended);
        *feed = Some(OpenFeed {
            valid_until: suspended.as_ref().and_then(|feed| feed.valid_until),
            contact_at: suspended.as_ref().and_then(|feed| feed.contact_at),
            is_heard: false,
            is_ended: false,
            failures: 0,
            prefixes: positions.iter().map(prefix_inbox).collect(),
        });
    }

    /// Ends the feed.
    pub fn close(&self) {
        *self.lock() = None;
        self.changed.notify(usize::MAX);
    }

    /// Ends the feed, but relies on its last frame for as long as if the sender had fallen silent after
    /// it, so that another feed can take its place before the store is watched.
    pub fn suspend(&self) {
        if let Some(feed) = self.lock().as_mut() {
            feed.is_ended = true;
        }
        self.changed.notify(usize::MAX);
    }

    /// True while a daemon's feed is followed, whether or not it can be relied on.
    pub fn is_open(&self) -> bool {
        self.lock().as_ref().is_some_and(|feed| !feed.is_ended)
    }

    /// Records the list on which a resting prefix relies, or that it does not rest.
    pub fn set_rest(&self, prefix: &Arc<str>, listed_at: Option<MonoTime>) {
        let mut resting = self.resting.lock().expect("rest lock is never poisoned");
        match listed_at {
            Some(at) => resting.insert(Arc::clone(prefix), at),
            None => resting.remove(prefix),
        };
    }

    /// True while a prefix rests after its first list.
    pub fn is_resting(&self, prefix: &str) -> bool {
        let resting = self.resting.lock().expect("rest lock is never poisoned");
        resting.contains_key(prefix)
    }

    /// Age of the contact with the store on which the least recently confirmed prefix rests; `None` if
    /// this daemon watches the store itself.
    pub fn contact_age(&self, now: MonoTime) -> Option<Duration> {
        let resting = self.resting.lock().expect("rest lock is never poisoned");
        let listed = resting.values().min().copied();
        drop(resting);
        let feed = self.lock();
        let is_valid = |feed: &&OpenFeed| feed.valid_until.is_some_and(|until| now < until);
        let fed = feed
            .as_ref()
            .filter(is_valid)
            .and_then(|feed| feed.contact_at);
        [listed, fed]
            .into_iter()
            .flatten()
            .min()
            .map(|at| now.since(at))
    }

    /// Records a frame that arrived at `now`.
    ///
    /// # Errors
    /// When the frame cannot be used. The feed has to be closed then, since its changes are not
    /// complete.
    pub fn record(&self, frame: FeedFrame, now: MonoTime) -> Result<()> {
        if !frame.accepted {
            return Err(FeedError::Refused);
        }
        // Before the lock, for which the tasks of all prefixes wait.
        let packed = frame.packed.as_deref().map(unpack_message::<FeedParts>);
        let packed = packed.transpose()?.unwrap_or_default();
        let mut feed = self.lock();
        let open = feed.as_mut().ok_or(FeedError::NotOpen)?;
        for part in frame.parts.into_iter().chain(packed.parts) {
            record_part(open, part)?;
        }
        if !std::mem::replace(&mut open.is_heard, true) {
            open.failures = frame.failures;
            for inbox in open.prefixes.values_mut() {
                inbox.failures = frame.failures;
            }
        }
        open.failures = open.failures.max(frame.failures);
        let age = Duration::from_millis(frame.age_ms);
        let left = MAX_CONTACT_AGE.saturating_sub(age);
        open.valid_until = Some(now.after(left.min(MAX_SILENCE)));
        open.contact_at = Some(MonoTime(now.0.saturating_sub(age.as_micros() as u64)));
        drop(feed);
        self.changed.notify(usize::MAX);
        Ok(())
    }

    /// True if the feed can be relied on and continues from `version` of a prefix.
    pub fn covers(&self, prefix: &str, version: StoreVersion, now: MonoTime) -> bool {
        let feed = self.lock();
        covered_inbox(feed.as_ref(), prefix, version, now).is_some()
    }

    /// Decides what to do next about a prefix that is known up to `version`. Waits until `deadline` at
    /// the longest.
    pub fn next_step(
        &self,
        prefix: &str,
        version: StoreVersion,
        deadline: MonoTime,
        now: MonoTime,
    ) -> FeedStep {
        let mut feed = self.lock();
        if covered_inbox(feed.as_ref(), prefix, version, now).is_none() {
            return FeedStep::AskStore;
        }
        let open = feed.as_mut().expect("a covered prefix is of an open feed");
        let valid_until = open.valid_until.unwrap_or(now);
        let failures = open.failures;
        let inbox = open
            .prefixes
            .get_mut(prefix)
            .expect("a covered prefix is known");
        if std::mem::replace(&mut inbox.failures, failures) < failures {
            return FeedStep::StoreFailed;
        }
        inbox.waiting.retain(|delta| delta.version > version);
        let is_due = now >= deadline && !inbox.waiting.is_empty();
        if is_due || !inbox.waiting.iter().all(MirrorDelta::is_empty) {
            return FeedStep::Apply(std::mem::take(&mut inbox.waiting));
        }
        let is_over = now >= deadline;
        FeedStep::Wait(if is_over {
            valid_until
        } else {
            valid_until.min(deadline)
        })
    }

    /// Waits until there is something else to do about a prefix than to wait, and returns it.
    pub async fn next(
        &self,
        prefix: &str,
        version: StoreVersion,
        wait: Duration,
        clock: MonoClock,
    ) -> FeedStep {
        let deadline = clock.now().after(wait);
        loop {
            let listener = self.changed.listen();
            let now = clock.now();
            match self.next_step(prefix, version, deadline, now) {
                FeedStep::Wait(until) => wait_change(listener, until.since(now)).await,
                step => return step,
            }
        }
    }

    /// Waits until the feed can be relied on for a prefix that is known up to `version`.
    pub async fn wait_covered(&self, prefix: &str, version: StoreVersion, clock: MonoClock) {
        loop {
            let listener = self.changed.listen();
            if self.covers(prefix, version, clock.now()) {
                return;
            }
            listener.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<OpenFeed>> {
        self.feed.lock().expect("inbox lock is never poisoned")
    }
}

async fn wait_change(listener: EventListener, limit: Duration) {
    let expire = async {
        Timer::after(limit).await;
    };
    or(listener, expire).await;
}

/// The inbox of a prefix if the feed can be relied on and has told all changes since `version`.
fn covered_inbox<'a>(
    feed: Option<&'a OpenFeed>,
    prefix: &str,
    version: StoreVersion,
    now: MonoTime,
) -> Option<&'a PrefixInbox> {
    let feed = feed?;
    let inbox = feed.prefixes.get(prefix)?;
    let is_valid = feed.valid_until.is_some_and(|until| now < until);
    let continues = inbox.start.era() == version.era() && inbox.start <= version;
    (is_valid && continues).then_some(inbox)
}

fn record_part(feed: &mut OpenFeed, part: FeedPart) -> Result<()> {
    let prefix = part.position.prefix.clone();
    let Some(inbox) = feed.prefixes.get_mut(prefix.as_str()) else {
        return Err(FeedError::UnknownPrefix(prefix));
    };
    let delta = part.into_delta();
    if delta.version.era() != inbox.covered.era() {
        return Err(FeedError::OtherEra);
    }
    let is_in_order = |change: &WatchChange| {
        let at = change.version();
        at > inbox.covered && at <= delta.version && change.key().starts_with(&prefix)
    };
    if delta.version < inbox.covered || !delta.changes.iter().all(is_in_order) {
        return Err(FeedError::OutOfOrder);
    }
    inbox.push(delta)
}
