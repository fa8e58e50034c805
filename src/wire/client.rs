//! Calls whose whole answer is wanted: the platform's store, reports, orders.

use crate::wire::body::{BodyDecoder, BodyFrame, BodyStep};
use crate::wire::head::{HeadBuilder, HeadLimits, HeadStep, WireHead, parse_reply};
use crate::wire::stream::{StreamError, WireStream};
use async_io::Timer;
use futures_lite::future::or;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Longest head of an answer.
const REPLY_HEAD: HeadLimits = HeadLimits { bytes: 32 * 1024 };
/// Longest body of an answer; the store's pages are about a megabyte of base64 text.
const REPLY_BODY_BYTES: usize = 8 << 20;
/// Kept connections for each address.
const KEPT_CONNECTIONS: usize = 4;
/// Idle time after which a kept connection is not used again.
const KEPT_IDLE: Duration = Duration::from_secs(4);

/// Why a call has no answer, by whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The call was not sent.
    NotSent(StreamError),
    /// It was sent and the connection ended.
    Lost(StreamError),
    /// It was sent and not answered in time.
    TimedOut,
    /// The answer is not HTTP, or too long.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Lost(cause) => write!(f, "no answer: {cause}"),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::Malformed => f.write_str("malformed answer"),
        }
    }
}

impl std::error::Error for CallError {}

/// A call.
#[derive(Debug, Clone)]
pub struct WireCall {
    /// Where to.
    pub address: SocketAddr,
    /// Method.
    pub method: &'static str,
    /// Target with its query.
    pub target: String,
    /// JSON body, if any.
    pub body: Option<Vec<u8>>,
    /// Time for the whole call.
    pub limit: Duration,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct WireReply {
    /// Head.
    pub head: WireHead,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Kept connections of an address, each with the time at which it was last used.
type IdleStreams = HashMap<SocketAddr, Vec<(WireStream, Instant)>>;

/// Makes calls on kept connections; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct WireClient {
    idle: Arc<Mutex<IdleStreams>>,
}

impl WireClient {
    /// Makes a call. A call on a kept connection that turns out to be closed is not repeated: the
    /// caller knows whether it may be.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn call(&self, call: &WireCall) -> Result<WireReply> {
        let expire = async {
            Timer::after(call.limit).await;
            Err(CallError::TimedOut)
        };
        or(self.exchange(call), expire).await
    }

    async fn exchange(&self, call: &WireCall) -> Result<WireReply> {
        let mut stream = match self.take_idle(call.address) {
            Some(stream) => stream,
            None => WireStream::connect(call.address, call.limit)
                .await
                .map_err(CallError::NotSent)?,
        };
        stream
            .send(&encode_call(call))
            .await
            .map_err(CallError::Lost)?;
        let (reply, reusable) = read_reply(&mut stream, call.method).await?;
        if reusable {
            self.keep(call.address, stream);
        }
        Ok(reply)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<WireStream> {
        let mut idle = self
            .idle
            .lock()
            .expect("idle connections are never poisoned");
        let streams = idle.get_mut(&address)?;
        while let Some((stream, since)) = streams.pop() {
            if since.elapsed() < KEPT_IDLE && stream.is_quiet() {
                return Some(stream);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, stream: WireStream) {
        let mut idle = self
            .idle
            .lock()
            .expect("idle connections are never poisoned");
        let streams = idle.entry(address).or_default();
        if streams.len() < KEPT_CONNECTIONS {
            streams.push((stream, Instant::now()));
        }
    }
}

fn encode_call(call: &WireCall) -> Vec<u8> {
    let mut head = HeadBuilder::request(call.method, &call.target).field("Host", call.address);
    if let Some(body) = &call.body {
        head = head
            .field("Content-Type", "application/json")
            .field("Content-Length", body.len());
    }
    let mut bytes = head.finish();
    bytes.extend_from_slice(call.body.as_deref().unwrap_or_default());
    bytes
}

/// Reads a whole answer; true when the connection may be used again.
async fn read_reply(stream: &mut WireStream, method: &str) -> Result<(WireReply, bool)> {
    let head = read_reply_head(stream).await?;
    let frame = BodyFrame::of_reply(&head, method);
    let mut decoder = BodyDecoder::new(frame);
    let mut body = Vec::new();
    loop {
        let step = decoder.advance(&mut stream.input, &mut body);
        match step.map_err(|_cause| CallError::Malformed)? {
            BodyStep::Done => break,
            BodyStep::More if body.len() > REPLY_BODY_BYTES => return Err(CallError::Malformed),
            BodyStep::More => match stream.fill().await {
                Ok(_) => {}
                Err(StreamError::Closed) if decoder.complete_at_close() => {
                    return Ok((WireReply { head, body }, false));
                }
                Err(cause) => return Err(CallError::Lost(cause)),
            },
        }
    }
    let reusable = !head.closes() && stream.input.is_empty();
    Ok((WireReply { head, body }, reusable))
}

async fn read_reply_head(stream: &mut WireStream) -> Result<WireHead> {
    loop {
        let step = parse_reply(&stream.input, REPLY_HEAD);
        match step.map_err(|_cause| CallError::Malformed)? {
            HeadStep::Complete(head, length) => {
                let _used = stream.input.split_to(length);
                if head.status() >= 200 {
                    return Ok(head);
                }
            }
            HeadStep::More => {
                stream.fill().await.map_err(CallError::Lost)?;
            }
        }
    }
}
