//! Calls whose whole answer is wanted: the platform's store, reports, orders.

use crate::wire::body::{BodyDecoder, BodyFraming};
use crate::wire::head::{HeadBuilder, HeadLimits, WireHead};
use crate::wire::pool::StreamPool;
use crate::wire::reading::{BodyEnd, ReadError, read_body, read_response_head};
use crate::wire::stream::{StreamError, WireStream};
use async_std::future::timeout;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Longest head of an answer.
const REPLY_HEAD: HeadLimits = HeadLimits {
    max_bytes: 32 * 1024,
};
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
    pub request_target: String,
    /// JSON body, if any.
    pub body: Option<Vec<u8>>,
    /// Time for the whole call.
    pub timeout: Duration,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct WireResponse {
    /// Head.
    pub head: WireHead,
    /// Whole body.
    pub body: Vec<u8>,
}

impl From<ReadError> for CallError {
    fn from(cause: ReadError) -> Self {
        match cause {
            ReadError::Stream(cause) => Self::Lost(cause),
            _ => Self::Malformed,
        }
    }
}

/// Makes calls on kept connections; cheap to clone.
#[derive(Debug, Clone)]
pub struct WireClient {
    idle: Arc<StreamPool<SocketAddr>>,
}

impl Default for WireClient {
    fn default() -> Self {
        Self {
            idle: Arc::new(StreamPool::new(KEPT_CONNECTIONS)),
        }
    }
}

impl WireClient {
    /// Makes a call. A call on a kept connection that turns out to be closed is not repeated: the
    /// caller knows whether it may be.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn call(&self, call: &WireCall) -> Result<WireResponse> {
        let answer = timeout(call.timeout, self.exchange(call)).await;
        answer.unwrap_or(Err(CallError::TimedOut))
    }

    async fn exchange(&self, call: &WireCall) -> Result<WireResponse> {
        let mut stream = match self.idle.take(&call.address) {
            Some(stream) => stream,
            None => WireStream::connect(call.address, call.timeout)
                .await
                .map_err(CallError::NotSent)?,
        };
        stream
            .send(&encode_call(call))
            .await
            .map_err(CallError::Lost)?;
        let (reply, reusable) = read_reply(&mut stream, call.method).await?;
        if reusable {
            self.idle.put(&call.address, stream, KEPT_IDLE);
        }
        Ok(reply)
    }
}

fn encode_call(call: &WireCall) -> Vec<u8> {
    let mut head =
        HeadBuilder::request(call.method, &call.request_target).field("Host", call.address);
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
async fn read_reply(stream: &mut WireStream, method: &str) -> Result<(WireResponse, bool)> {
    let head = loop {
        let (socket, input) = stream.socket_and_input();
        let head = read_response_head(socket, input, REPLY_HEAD).await?;
        if head.status() >= 200 {
            break head;
        }
    };
    let mut decoder = BodyDecoder::new(BodyFraming::for_response(&head, method));
    let (body, end) = read_body(stream, &mut decoder, REPLY_BODY_BYTES).await?;
    let reusable = end == BodyEnd::Framed && !head.closes_connection() && stream.input.is_empty();
    Ok((WireResponse { head, body }, reusable))
}
