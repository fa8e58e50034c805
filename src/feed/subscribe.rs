//! Follows the feed of a daemon that reads the store.

use crate::feed::contact::StoreContactCell;
use crate::feed::inbox::{FeedError, FeedInbox, MAX_SILENCE};
use crate::feed::message::FeedFrame;
use crate::feed::readers::ReadingRole;
use crate::ids::InstanceId;
use crate::kernel::MonoClock;
use crate::mirror::{MirrorSet, StoreVersion};
use crate::peer::{FrameStream, frame_stream};
use crate::presence::PresenceRow;
use crate::snapshots::{FeedPosition, FeedRequest, SnapshotRequest};
use crate::telemetry::{EventLine, EventLog};
use crate::units::MonoTime;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::StreamExt;
use futures_util::SinkExt;
use prometheus::IntCounterVec;
use prost::Message;
use prost::bytes::Bytes;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Result of following a feed; it always ends with an error.
type Result<T> = std::result::Result<T, LinkError>;

/// Time limit for the connection to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a daemon whose feed has failed is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// The same for a daemon that has refused: it may not have read yet that this one is listed.
const REFUSED_TIME: Duration = Duration::from_secs(1);
/// Period of checking whether a feed can be followed, while none is.
const CHECK_PERIOD: Duration = Duration::from_millis(300);
/// Time for which a sender that has no contact with the store is still followed.
const MAX_OUTDATED_TIME: Duration = Duration::from_secs(3);

/// What following a feed needs of the rest of the daemon.
pub(crate) struct SubscriberPorts {
    /// Clock of this process.
    pub(crate) clock: MonoClock,
    /// Mirrors that the feed continues.
    pub(crate) mirrors: MirrorSet,
    /// This daemon's own contact with the store.
    pub(crate) contact: Arc<StoreContactCell>,
    /// Receives the changes.
    pub(crate) inbox: Arc<FeedInbox>,
    /// Name of this daemon's instance, and the secret of its run.
    pub(crate) identity: (InstanceId, Arc<str>),
    /// How this daemon learns of changes at present.
    pub(crate) role: Arc<dyn Fn() -> ReadingRole + Send + Sync>,
    /// True to rely on the last frame of a feed that has ended for as long as if it were silent.
    pub(crate) keeps_ended: bool,
    /// Structured log.
    pub(crate) events: EventLog,
    /// Feeds that began, ended or were malformed.
    pub(crate) counts: IntCounterVec,
}

impl fmt::Debug for SubscriberPorts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SubscriberPorts").finish_non_exhaustive()
    }
}

/// Why a feed ended.
#[derive(Debug)]
enum LinkError {
    /// The daemon cannot be reached, or its connection has failed.
    Connection(io::Error),
    /// The daemon has sent nothing for too long.
    Silent,
    /// The daemon has had no contact with the store for too long.
    Outdated,
    /// A frame cannot be decoded.
    Malformed(prost::DecodeError),
    /// A frame cannot be used.
    Rejected(FeedError),
    /// This daemon reads the store itself from now on.
    RoleChanged,
}

impl LinkError {
    /// True if the frames that have arrived are as good as those of a daemon that has fallen silent.
    fn leaves_frames_valid(&self) -> bool {
        match self {
            Self::Connection(_) | Self::Silent | Self::Rejected(FeedError::Refused) => true,
            Self::Outdated | Self::Malformed(_) | Self::Rejected(_) | Self::RoleChanged => false,
        }
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(cause) => write!(f, "connection failed: {cause}"),
            Self::Silent => write!(f, "silent for {MAX_SILENCE:?}"),
            Self::Outdated => f.write_str("no contact with the store"),
            Self::Malformed(cause) => write!(f, "malformed frame: {cause}"),
            Self::Rejected(cause) => cause.fmt(f),
            Self::RoleChanged => f.write_str("reads the store itself"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<io::Error> for LinkError {
    fn from(cause: io::Error) -> Self {
        Self::Connection(cause)
    }
}

/// Follows the feed of one daemon after the other while this one does not read the store. Never returns.
pub(crate) async fn subscribe_feeds(ports: SubscriberPorts) {
    let mut avoided: HashMap<InstanceId, MonoTime> = HashMap::new();
    let mut was_refused = false;
    loop {
        let now = ports.clock.now();
        avoided.retain(|_, until| now < *until);
        let sender = choose_sender((ports.role)(), &avoided);
        let positions = ports.mirrors.resume_versions();
        let (Some(sender), Some(positions)) = (sender, positions) else {
            task::sleep(CHECK_PERIOD).await;
            continue;
        };
        let ended = follow_feed(&ports, &sender, &positions).await;
        let mut avoid_time = AVOID_TIME;
        match &ended {
            Err(cause) if ports.keeps_ended && cause.leaves_frames_valid() => ports.inbox.suspend(),
            _ => ports.inbox.close(),
        }
        if let Err(cause) = ended {
            let is_refused = matches!(cause, LinkError::Rejected(FeedError::Refused));
            // A daemon that all readers refuse asks them every second.
            if !(is_refused && was_refused) {
                report_end(&ports, &sender, &cause);
            }
            was_refused = is_refused;
            if is_refused {
                avoid_time = REFUSED_TIME;
            }
        }
        avoided.insert(sender.instance, ports.clock.now().after(avoid_time));
    }
}

fn choose_sender(
    role: ReadingRole,
    avoided: &HashMap<InstanceId, MonoTime>,
) -> Option<PresenceRow> {
    match role {
        ReadingRole::Reader | ReadingRole::Unlisted => None,
        ReadingRole::Follower(readers) | ReadingRole::Standby(readers) => readers
            .into_iter()
            .find(|row| !avoided.contains_key(&row.instance)),
    }
}

async fn follow_feed(
    ports: &SubscriberPorts,
    sender: &PresenceRow,
    positions: &[(Arc<str>, StoreVersion)],
) -> Result<()> {
    let mut frames = open_feed(ports, sender, positions).await?;
    ports.inbox.open(positions);
    let mut is_reported = false;
    let mut contact_at = ports.clock.now();
    loop {
        let frame = receive_frame(&mut frames).await?;
        let now = ports.clock.now();
        let age = Duration::from_millis(frame.age_ms);
        if age < MAX_OUTDATED_TIME {
            contact_at = now;
        }
        ports
            .inbox
            .record(frame, now)
            .map_err(LinkError::Rejected)?;
        if !std::mem::replace(&mut is_reported, true) {
            report_begin(ports, sender);
        }
        // If the store does not answer this daemon either, another reader is no better.
        let own_age = ports.contact.age(now);
        let has_contact = own_age.is_some_and(|age| age < MAX_OUTDATED_TIME);
        if has_contact && now.since(contact_at) > MAX_OUTDATED_TIME {
            return Err(LinkError::Outdated);
        }
        let may_follow = match (ports.role)() {
            ReadingRole::Reader => false,
            // Two that stand by must not follow each other.
            ReadingRole::Standby(earlier) => {
                earlier.iter().any(|row| row.instance == sender.instance)
            }
            ReadingRole::Unlisted | ReadingRole::Follower(_) => true,
        };
        if !may_follow {
            return Err(LinkError::RoleChanged);
        }
    }
}

/// Connects to a daemon and asks it for changes after `positions`.
async fn open_feed(
    ports: &SubscriberPorts,
    sender: &PresenceRow,
    positions: &[(Arc<str>, StoreVersion)],
) -> Result<FrameStream> {
    let timed_out = |_elapsed| Err(io::Error::from(io::ErrorKind::TimedOut));
    let connect = TcpStream::connect(sender.peers);
    let connected = timeout(CONNECT_TIMEOUT, connect).await;
    let stream = connected.unwrap_or_else(timed_out)?;
    let mut frames = frame_stream(stream);
    let positions = positions.iter();
    let (instance, token) = &ports.identity;
    let request = SnapshotRequest {
        prefix: String::new(),
        reads_packed: true,
        feed: Some(FeedRequest {
            positions: positions
                .map(|(prefix, version)| FeedPosition::new(prefix, *version))
                .collect(),
            sender: instance.to_string(),
            token: token.to_string(),
        }),
    };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    Ok(frames)
}

async fn receive_frame(frames: &mut FrameStream) -> Result<FeedFrame> {
    let mut received = frames.read_buffer().len();
    let frame = loop {
        match timeout(MAX_SILENCE, frames.next()).await {
            Ok(frame) => break frame,
            // A large frame may take its time on a slow link.
            Err(_elapsed) if frames.read_buffer().len() > received => {
                received = frames.read_buffer().len();
            }
            Err(_elapsed) => return Err(LinkError::Silent),
        }
    };
    let frame = frame.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
    FeedFrame::decode(frame.as_ref()).map_err(LinkError::Malformed)
}

fn report_begin(ports: &SubscriberPorts, sender: &PresenceRow) {
    ports.counts.with_label_values(&["began"]).inc();
    let line = EventLine::new("feed_began");
    ports
        .events
        .emit(line.with_display("peer", &sender.instance));
}

fn report_end(ports: &SubscriberPorts, sender: &PresenceRow, cause: &LinkError) {
    let kind = match cause {
        LinkError::Malformed(_) | LinkError::Rejected(_) => "rejected",
        _ => "ended",
    };
    ports.counts.with_label_values(&[kind]).inc();
    let line = EventLine::new("feed_ended").with_display("peer", &sender.instance);
    ports.events.emit(line.with_display("cause", cause));
}
