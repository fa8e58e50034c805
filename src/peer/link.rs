//! An outgoing connection to another daemon, shared by concurrent calls.

use crate::peer::frame::{FrameKind, PeerFrame, PeerTopic, frame_stream};
use crate::peer::handshake::authenticate_to_server;
use crate::peer::transport::PeerError;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::StreamExt;
use futures_util::SinkExt;
use prost::Message;
use prost::bytes::Bytes;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Frames queued on a link before further calls wait.
const FRAME_QUEUE_CAPACITY: usize = 256;

/// Calls that wait for a reply, by sequence number.
type PendingCalls = Arc<Mutex<HashMap<u64, Sender<Vec<u8>>>>>;

/// An authenticated connection to another daemon.
pub(super) struct PeerLink {
    outgoing: Sender<PeerFrame>,
    pending: PendingCalls,
    next_sequence: AtomicU64,
    closed: Arc<AtomicBool>,
}

impl fmt::Debug for PeerLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerLink")
            .field("closed", &self.closed)
            .finish_non_exhaustive()
    }
}

impl PeerLink {
    /// Connects to a daemon, authenticates, and spawns the task that serves the link.
    pub(super) async fn open(address: SocketAddr, key: &str) -> Result<Arc<Self>, PeerError> {
        let unreachable = |cause: String| PeerError::Unreachable(cause);
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|cause| unreachable(cause.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|cause| unreachable(cause.to_string()))?;
        let mut frames = frame_stream(stream);
        let authenticated = authenticate_to_server(&mut frames, key).await;
        authenticated.map_err(|cause| unreachable(cause.to_string()))?;
        let (outgoing, queue) = bounded(FRAME_QUEUE_CAPACITY);
        let pending = PendingCalls::default();
        let closed = Arc::new(AtomicBool::new(false));
        let link = Arc::new(Self {
            outgoing,
            pending: Arc::clone(&pending),
            next_sequence: AtomicU64::new(1),
            closed: Arc::clone(&closed),
        });
        task::spawn(run_link(frames, queue, pending, closed));
        Ok(link)
    }

    /// True once the connection has failed or was closed.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Sends a request and waits for its reply, without a timeout.
    pub(super) async fn call(
        &self,
        topic: PeerTopic,
        payload: Vec<u8>,
    ) -> Result<Vec<u8>, PeerError> {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        let call = PendingCall {
            pending: Arc::clone(&self.pending),
            sequence,
        };
        call.insert(sender);
        let frame = PeerFrame {
            sequence,
            kind: FrameKind::Request.into(),
            topic: topic.into(),
            payload,
        };
        let lost = || PeerError::Lost("connection closed".to_owned());
        self.outgoing.send(frame).await.map_err(|_cause| lost())?;
        if self.is_closed() {
            return Err(lost());
        }
        receiver.recv().await.map_err(|_cause| lost())
    }
}

/// Entry of a call in [`PendingCalls`]; removed on drop, so also when the call is cancelled.
struct PendingCall {
    pending: PendingCalls,
    sequence: u64,
}

impl PendingCall {
    fn insert(&self, sender: Sender<Vec<u8>>) {
        let mut pending = self.pending.lock().expect("pending lock is never poisoned");
        pending.insert(self.sequence, sender);
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        let mut pending = self.pending.lock().expect("pending lock is never poisoned");
        pending.remove(&self.sequence);
    }
}

/// Writes queued frames and delivers replies until the connection fails; then fails the pending
/// calls.
async fn run_link(
    frames: crate::peer::frame::FrameStream,
    queue: Receiver<PeerFrame>,
    pending: PendingCalls,
    closed: Arc<AtomicBool>,
) {
    let (mut sink, mut stream) = futures_util::StreamExt::split(frames);
    let write = async {
        while let Ok(frame) = queue.recv().await {
            if sink.send(Bytes::from(frame.encode_to_vec())).await.is_err() {
                break;
            }
        }
    };
    let read = async {
        while let Some(Ok(bytes)) = stream.next().await {
            let Ok(frame) = PeerFrame::decode(bytes.as_ref()) else {
                break;
            };
            deliver_reply(&pending, frame);
        }
    };
    futures_lite::future::or(write, read).await;
    closed.store(true, Ordering::Release);
    pending
        .lock()
        .expect("pending lock is never poisoned")
        .clear();
    queue.close();
}

fn deliver_reply(pending: &PendingCalls, frame: PeerFrame) {
    let mut pending = pending.lock().expect("pending lock is never poisoned");
    if let Some(sender) = pending.remove(&frame.sequence)
        && sender.try_send(frame.payload).is_err()
    {
        // The call has ended, for instance by a timeout: its reply is dropped.
    }
}
