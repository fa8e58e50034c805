//! Pool of client connections.

use crate::http::bounded::BoundedStream;
use crate::http::connection::{ConnectionReuse, HttpResponse};
use crate::http::library_panic::catch_panic;
use crate::wire::{ResponseBudget, ResponseHold};
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::future::poll_once;
use http_types::headers::HeaderValue;
use http_types::{Method, Request, Response, StatusCode, Url};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Result of sending a call.
pub type Result<T> = std::result::Result<T, SendError>;

/// Bytes that may be read until the head of a response is complete, with what is read ahead of the
/// body.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum age of an idle connection that is reused.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// Failure of a call, by whether the server may have executed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; the call was not executed.
    NotSent(String),
    /// The connection failed after bytes may have been sent; the call may have been executed.
    Broken(String),
    /// No response within the timeout; the call may have been executed, or may still be.
    TimedOut,
    /// The response is malformed; the call was executed.
    BadResponse(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Broken(cause) => write!(f, "connection broken after sending: {cause}"),
            Self::TimedOut => f.write_str("timeout waiting for the response"),
            Self::BadResponse(cause) => write!(f, "malformed response: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}

/// One HTTP call to an address.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// Address of the server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body; empty for none.
    pub body: Vec<u8>,
    /// Maximum time until the head of the response has arrived.
    pub timeout: Duration,
    /// Whether a pooled connection may be used.
    pub reuse: ConnectionReuse,
}

impl HttpCall {
    /// Creates a call with a timeout of 5 s and [`ConnectionReuse::WithRetry`].
    pub fn new(address: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(5),
            reuse: ConnectionReuse::WithRetry,
        }
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn json<T: serde::Serialize>(mut self, body: &T) -> Self {
        self.body = serde_json::to_vec(body).unwrap_or_default();
        self.header("content-type", "application/json")
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the maximum time until the head of the response has arrived.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Never retries the call, because it is not idempotent.
    #[must_use]
    pub fn without_retry(mut self) -> Self {
        self.reuse = ConnectionReuse::WithoutRetry;
        self
    }

    /// Sends the call on a new connection: if connecting fails, the call was not executed.
    #[must_use]
    pub fn on_new_connection(mut self) -> Self {
        self.reuse = ConnectionReuse::NewConnection;
        self
    }

    fn to_request(&self) -> Result<Request> {
        let text = format!("http://{}{}", self.address, self.path);
        let url = Url::parse(&text).map_err(|cause| SendError::NotSent(cause.to_string()))?;
        let mut request = Request::new(self.method, url);
        for (name, value) in &self.headers {
            request.insert_header(name.as_str(), value.as_str());
        }
        request.set_body(self.body.clone());
        if let Some((_, media_type)) = self.headers.iter().find(|(name, _)| name == "content-type")
        {
            request.insert_header("content-type", media_type.as_str());
        }
        Ok(request)
    }
}

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// Pool of idle client connections by address.
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    connect_timeout: Duration,
    idle_limit: usize,
    responses: ResponseBudget,
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionPool")
            .field("idle_limit", &self.idle_limit)
            .finish_non_exhaustive()
    }
}

impl ConnectionPool {
    /// Creates a pool that keeps up to `idle_limit` idle connections for each address.
    pub fn new(connect_timeout: Duration, idle_limit: usize) -> Arc<Self> {
        Self::with_budget(connect_timeout, idle_limit, ResponseBudget::default())
    }

    /// Does the same as [`Self::new`], with a budget for the bodies of all responses.
    pub fn with_budget(
        connect_timeout: Duration,
        idle_limit: usize,
        responses: ResponseBudget,
    ) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::default(),
            connect_timeout,
            idle_limit,
            responses,
        })
    }

    /// Memory for the body of one more response.
    pub(super) fn open_response(&self) -> ResponseHold {
        self.responses.open()
    }

    /// Sends a call and waits for the head of its response. A call with
    /// [`ConnectionReuse::WithRetry`] is sent again on a new connection if a pooled one fails.
    ///
    /// # Errors
    /// [`SendError`], by whether the server may have executed the call.
    pub async fn send(self: &Arc<Self>, call: &HttpCall) -> Result<HttpResponse> {
        if call.reuse != ConnectionReuse::NewConnection
            && let Some(stream) = self.take_idle(call.address).await
        {
            match self.exchange(stream, call).await {
                Err(SendError::Broken(_)) if call.reuse == ConnectionReuse::WithRetry => {}
                outcome => return outcome,
            }
        }
        let stream = self.connect(call.address).await?;
        self.exchange(stream, call).await
    }

    /// Sends a call on a new connection, unless `may_send` is false once that is open: opening it
    /// takes time, and the process may be suspended meanwhile.
    ///
    /// # Errors
    /// [`SendError`], by whether the server may have executed the call; [`SendError::NotSent`] when
    /// `may_send` is false.
    pub async fn send_if(
        self: &Arc<Self>,
        call: &HttpCall,
        may_send: impl Fn() -> bool,
    ) -> Result<HttpResponse> {
        let stream = self.connect(call.address).await?;
        if !may_send() {
            return Err(SendError::NotSent("connection opened too late".to_owned()));
        }
        self.exchange(stream, call).await
    }

    /// Sends a call and decodes its JSON response, whatever the status.
    ///
    /// # Errors
    /// [`SendError`], by whether the server may have executed the call.
    pub async fn fetch<T: serde::de::DeserializeOwned>(
        self: &Arc<Self>,
        call: &HttpCall,
    ) -> Result<(u16, T)> {
        let response = self.send(call).await?;
        let status = response.status();
        let body = timeout(call.timeout, response.bytes()).await;
        let body = body.map_err(|_elapsed| SendError::TimedOut)??;
        serde_json::from_slice(&body)
            .map(|value| (status, value))
            .map_err(|cause| SendError::BadResponse(format!("status {status}: {cause}")))
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream> {
        let connecting = timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_elapsed| SendError::NotSent("timeout connecting".to_owned()))?
            .map_err(|cause| SendError::NotSent(cause.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|cause| SendError::NotSent(cause.to_string()))?;
        Ok(stream)
    }

    async fn exchange(
        self: &Arc<Self>,
        stream: TcpStream,
        call: &HttpCall,
    ) -> Result<HttpResponse> {
        let request = call.to_request()?;
        let stream = BoundedStream::new(stream, MAX_HEAD_BYTES);
        let exchange = catch_panic(async_h1::connect(stream.clone(), request));
        let response = timeout(call.timeout, exchange)
            .await
            .map_err(|_elapsed| SendError::TimedOut)?
            .map_err(|cause| SendError::BadResponse(cause.to_string()))?
            .map_err(|cause| SendError::Broken(cause.to_string()))?;
        check_framing(&response, call.method)?;
        Ok(HttpResponse::new(
            response,
            stream,
            call.address,
            Arc::clone(self),
        ))
    }

    /// Takes a pooled connection that the server has not closed.
    async fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        loop {
            let connection = self.pop_idle(address)?;
            let is_recent = connection.since.elapsed() < MAX_IDLE;
            if is_recent && is_idle(&connection.stream).await {
                return Some(connection.stream);
            }
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().expect("pool lock is never poisoned");
        idle.get_mut(&address)?.pop()
    }

    pub(super) fn put_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().expect("pool lock is never poisoned");
        let list = idle.entry(address).or_default();
        if list.len() < self.idle_limit {
            list.push(IdleConnection {
                stream,
                since: Instant::now(),
            });
        }
    }
}

/// Refuses a response with neither one length nor chunks. The HTTP library takes a body that ends with
/// its connection for an empty one, knows chunks by this name only, and uses the last of several lengths.
fn check_framing(response: &Response, method: Method) -> Result<()> {
    let status = response.status();
    let is_bodiless = method == Method::Head
        || status.is_informational()
        || matches!(status, StatusCode::NoContent | StatusCode::NotModified);
    let coding = response.header("transfer-encoding");
    let length = response.header("content-length");
    let is_chunked =
        coding.is_some_and(|codings| codings.iter().map(HeaderValue::as_str).eq(["chunked"]));
    let is_sized = coding.is_none() && length.is_some_and(|lengths| lengths.iter().count() == 1);
    if is_bodiless || is_chunked || is_sized {
        return Ok(());
    }
    Err(SendError::Broken(
        "response has neither one length nor chunks".to_owned(),
    ))
}

/// True if the connection is open and has nothing to read.
async fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    poll_once(stream.peek(&mut byte)).await.is_none()
}
