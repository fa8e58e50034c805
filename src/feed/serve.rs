//! Serves a feed to a daemon of the same failure domain.

use crate::feed::contact::StoreContactCell;
use crate::feed::inbox::FeedInbox;
use crate::feed::message::{FeedFrame, FeedPart, FeedParts};
use crate::feed::packing::PackedCache;
use crate::feed::readers::ReadingRole;
use crate::kernel::MonoClock;
use crate::mirror::{MirrorSet, StoreVersion};
use crate::peer::FrameStream;
use crate::snapshots::{FeedRequest, SnapshotRequest};
use async_io::Timer;
use async_std::future::timeout;
use futures_lite::future::or;
use futures_util::SinkExt;
use prost::Message;
use prost::bytes::Bytes;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Longest time between two frames.
const BEAT_PERIOD: Duration = Duration::from_millis(400);
/// Time for which changes are collected into one frame.
const COLLECT_DELAY: Duration = Duration::from_millis(20);
/// Time limit for sending a frame; of the largest ones to many followers on a slow link, too.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a daemon that asks for a feed may not be listed yet: less than it waits for a frame, and
/// more than the collecting of presence changes takes.
const LISTING_WAIT: Duration = Duration::from_millis(900);
/// Period of checking whether it is listed.
const LISTING_POLL: Duration = Duration::from_millis(50);
/// Most feeds that a daemon serves at the same time.
const MAX_FEEDS: usize = 128;
/// Most prefixes of one feed.
const MAX_PREFIXES: usize = 8;

/// Where the frames of the feeds that this daemon serves come from.
#[derive(Clone)]
pub(crate) struct FeedSource {
    /// Mirrors of the store's prefixes.
    pub(crate) mirrors: MirrorSet,
    /// This daemon's contact with the store.
    pub(crate) contact: Arc<StoreContactCell>,
    /// Feed that this daemon follows while it stands by for a reader; `None` where none does.
    pub(crate) upstream: Option<Arc<FeedInbox>>,
    /// Clock of this process.
    pub(crate) clock: MonoClock,
    /// How this daemon learns of changes at present.
    pub(crate) role: Arc<dyn Fn() -> ReadingRole + Send + Sync>,
    /// True for the request of a listed daemon.
    pub(crate) is_listed: Arc<dyn Fn(&FeedRequest) -> bool + Send + Sync>,
    /// Compressed changes.
    pub(crate) packed: Arc<PackedCache>,
    /// Number of feeds that are served.
    pub(crate) served: Arc<AtomicUsize>,
}

impl fmt::Debug for FeedSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FeedSource").finish_non_exhaustive()
    }
}

impl FeedSource {
    /// Age of the contact with the store that confirms the mirrors. Renewals of the lease confirm nothing
    /// while another daemon's feed or a list takes the place of watches.
    fn contact_age(&self) -> Option<Duration> {
        let now = self.clock.now();
        let upstream = self.upstream.as_ref();
        let handed_on = upstream.and_then(|inbox| inbox.contact_age(now));
        handed_on.or_else(|| self.contact.age(now))
    }

    /// True once the request is of a listed daemon. Where daemons ask as soon as they have written their
    /// entry, this one may not have read it yet.
    async fn wait_listed(&self, request: &FeedRequest) -> bool {
        let limit = match self.upstream {
            Some(_) => LISTING_WAIT,
            None => Duration::ZERO,
        };
        let started = self.clock.now();
        while !(self.is_listed)(request) {
            if self.clock.now().since(started) >= limit {
                return false;
            }
            Timer::after(LISTING_POLL).await;
        }
        true
    }

    /// The next frame of a feed that has told everything up to `positions`, which are moved on. `None`
    /// when this daemon cannot serve the feed.
    fn next_frame(
        &self,
        positions: &mut [(Arc<str>, StoreVersion)],
        may_pack: bool,
    ) -> Option<FeedFrame> {
        // A reader whose lease has run out, as in an outage of the store, continues.
        if matches!((self.role)(), ReadingRole::Follower(_)) {
            return None;
        }
        let age = self.contact_age()?;
        let failures = self.contact.failures();
        let mut parts = FeedParts::default();
        let mut range = Vec::new();
        for (prefix, version) in positions {
            let delta = self.mirrors.delta_since(prefix, *version)?;
            if delta.version > *version {
                range.push((Arc::clone(prefix), *version, delta.version));
                *version = delta.version;
                parts.parts.push(FeedPart::new(prefix, &delta));
            }
        }
        let packed = if may_pack && !range.is_empty() {
            self.packed.pack(range, &parts)
        } else {
            None
        };
        Some(FeedFrame {
            accepted: true,
            age_ms: age.as_millis() as u64,
            failures,
            parts: match packed {
                Some(_) => Vec::new(),
                None => parts.parts,
            },
            packed,
        })
    }
}

/// Counts a feed while it is served.
struct ServedFeed(Arc<AtomicUsize>);

impl ServedFeed {
    /// `None` when too many are served already.
    fn begin(served: &Arc<AtomicUsize>) -> Option<Self> {
        let feed = Self(Arc::clone(served));
        (served.fetch_add(1, Ordering::AcqRel) < MAX_FEEDS).then_some(feed)
    }
}

impl Drop for ServedFeed {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves a feed until the other daemon closes its connection, does not take a frame in time, or this
/// daemon no longer reads the store.
///
/// # Errors
/// When a frame cannot be sent.
pub(crate) async fn serve_feed(
    frames: &mut FrameStream,
    request: SnapshotRequest,
    source: &FeedSource,
) -> io::Result<()> {
    let may_pack = request.reads_packed;
    let request = request.feed.unwrap_or_default();
    let served = ServedFeed::begin(&source.served);
    let has_place = served.is_some() && request.positions.len() <= MAX_PREFIXES;
    if !has_place || !source.wait_listed(&request).await {
        return send_frame(frames, &FeedFrame::default()).await;
    }
    let positions = request.positions.iter();
    let mut positions: Vec<(Arc<str>, StoreVersion)> = positions
        .map(|position| (Arc::from(position.prefix.as_str()), position.version()))
        .collect();
    loop {
        let changed = source.mirrors.listen();
        let Some(frame) = source.next_frame(&mut positions, may_pack) else {
            return send_frame(frames, &FeedFrame::default()).await;
        };
        send_frame(frames, &frame).await?;
        let beat = async {
            Timer::after(BEAT_PERIOD).await;
        };
        or(changed, beat).await;
        Timer::after(COLLECT_DELAY).await;
    }
}

async fn send_frame(frames: &mut FrameStream, frame: &FeedFrame) -> io::Result<()> {
    let sent = frames.send(Bytes::from(frame.encode_to_vec()));
    let timed_out = |_elapsed| Err(io::Error::from(io::ErrorKind::TimedOut));
    timeout(SEND_TIMEOUT, sent).await.unwrap_or_else(timed_out)
}
