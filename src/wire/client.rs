//! HTTP client for calls whose response is read whole: to the platform's store, and reports and
//! orders of targets.

use crate::wire::body::{BodyDecoder, BodyFraming};
use crate::wire::head::{HeadBuilder, HeadLimits, WireHead};
use crate::wire::pool::StreamPool;
use crate::wire::reading::{BodyEnd, ReadError, read_body, read_final_head};
use crate::wire::response_budget::ResponseBudget;
use crate::wire::stream::{StreamError, WireStream};
use async_std::future::timeout;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Limits on the head of a response.
const RESPONSE_HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 32 * 1024,
};
/// Most idle connections kept for each address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Time after which an idle connection is closed instead of reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a call has no response, by whether the server may have executed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so the request was not sent.
    NotSent(StreamError),
    /// The connection failed while the request was sent or the response was read.
    Lost(StreamError),
    /// The call did not complete within its timeout.
    TimedOut,
    /// The response is not acceptable HTTP, or exceeds the limits.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "request was not sent: {cause}"),
            Self::Lost(cause) => write!(
                f,
                "connection failed before the response was complete: {cause}"
            ),
            Self::TimedOut => f.write_str("timeout waiting for the response"),
            Self::Malformed => f.write_str("response is malformed or too long"),
        }
    }
}

impl std::error::Error for CallError {}

/// A request and how to send it.
#[derive(Debug, Clone)]
pub struct WireCall {
    /// Address of the server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub request_target: String,
    /// A further field of the head, if any.
    pub field: Option<(&'static str, String)>,
    /// Body in JSON, if any.
    pub body: Option<Vec<u8>>,
    /// Longest response body accepted, in bytes.
    pub max_response_bytes: usize,
    /// Timeout of connecting, and of the whole call.
    pub timeout: Duration,
}

/// A response.
#[derive(Debug, Clone)]
pub struct WireResponse {
    /// Status line and header fields.
    pub head: WireHead,
    /// Decoded body.
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

/// HTTP client; cheap to clone, as clones share the connection pool.
#[derive(Debug, Clone)]
pub struct WireClient {
    /// Connections that are used again; `None` when each call uses a new one.
    idle: Option<Arc<StreamPool<SocketAddr>>>,
    responses: ResponseBudget,
}

impl Default for WireClient {
    /// A client that uses connections again.
    fn default() -> Self {
        Self {
            idle: Some(Arc::new(StreamPool::new(MAX_IDLE_CONNECTIONS))),
            responses: ResponseBudget::default(),
        }
    }
}

impl WireClient {
    /// A client that uses a new connection for each call, for servers that may send extra responses: nothing
    /// tells those apart from the response to a later call.
    pub fn with_new_connections() -> Self {
        Self {
            idle: None,
            responses: ResponseBudget::default(),
        }
    }

    /// Sends a request and reads the response. If a reused connection turns out to be closed, the
    /// call is not retried: only the caller knows whether the request may be executed twice.
    ///
    /// # Errors
    /// [`CallError`], by whether the server may have executed the request.
    pub async fn call(&self, call: &WireCall) -> Result<WireResponse> {
        let response = timeout(call.timeout, self.exchange(call)).await;
        response.unwrap_or(Err(CallError::TimedOut))
    }

    async fn exchange(&self, call: &WireCall) -> Result<WireResponse> {
        let pooled = self.idle.as_ref().and_then(|idle| idle.take(&call.address));
        let mut stream = match pooled {
            Some(stream) => stream,
            None => WireStream::connect(call.address, call.timeout)
                .await
                .map_err(CallError::NotSent)?,
        };
        stream
            .send(&encode_request(call))
            .await
            .map_err(CallError::Lost)?;
        let (response, reusable) = self.read_response(&mut stream, call).await?;
        if let Some(idle) = self.idle.as_ref().filter(|_| reusable) {
            idle.put(&call.address, stream, IDLE_TIMEOUT);
        }
        Ok(response)
    }

    /// Reads a whole response; the flag tells whether the connection can be reused. Interim responses
    /// (1xx) are skipped.
    async fn read_response(
        &self,
        stream: &mut WireStream,
        call: &WireCall,
    ) -> Result<(WireResponse, bool)> {
        let (socket, input) = stream.socket_and_input();
        let head = read_final_head(socket, input, RESPONSE_HEAD_LIMITS).await?;
        let mut decoder = BodyDecoder::new(BodyFraming::for_response(&head, call.method));
        let mut memory = self.responses.open();
        let read = read_body(stream, &mut decoder, call.max_response_bytes, &mut memory);
        let (body, end) = read.await?;
        let reusable =
            end == BodyEnd::Framed && !head.closes_connection() && stream.input.is_empty();
        Ok((WireResponse { head, body }, reusable))
    }
}

fn encode_request(call: &WireCall) -> Vec<u8> {
    let mut head =
        HeadBuilder::request(call.method, &call.request_target).field("Host", call.address);
    if let Some((name, value)) = &call.field {
        head = head.field(name, value);
    }
    if let Some(body) = &call.body {
        head = head
            .field("Content-Type", "application/json")
            .field("Content-Length", body.len());
    }
    let mut bytes = head.finish();
    bytes.extend_from_slice(call.body.as_deref().unwrap_or_default());
    bytes
}
