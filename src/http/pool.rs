//! Client connections: opened, kept for reuse and replaced when the peer has closed them.

use crate::http::connection::{ConnectionReuse, HttpResponse};
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::future::poll_once;
use http_types::{Method, Request, Url};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Result of sending a call.
pub type Result<T> = std::result::Result<T, SendError>;

/// Longest time an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// Why a call has no reply, by whether the peer may have seen it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; the peer has not seen the call.
    NotSent(String),
    /// The connection failed after bytes were sent; the peer may have run the call.
    Broken(String),
    /// No reply in time; the peer may have run the call or run it later.
    TimedOut,
    /// The reply was not understood; the peer has run the call.
    BadResponse(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Broken(cause) => write!(f, "connection broken after sending: {cause}"),
            Self::TimedOut => f.write_str("timeout waiting for the reply"),
            Self::BadResponse(cause) => write!(f, "malformed reply: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}

/// One HTTP call to an address.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// Peer address.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Time allowed until the reply's head has arrived.
    pub timeout: Duration,
    /// Whether a kept connection may carry the call.
    pub reuse: ConnectionReuse,
}

impl HttpCall {
    /// Creates a call that may use a kept connection.
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

    /// Sets the time allowed until the reply's head has arrived.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Never repeats the call, as its effect is not idempotent.
    #[must_use]
    pub fn without_retry(mut self) -> Self {
        self.reuse = ConnectionReuse::WithoutRetry;
        self
    }

    /// Sends the call on a new connection, so that a refused connection proves it has not run.
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
        if let Some((_, form)) = self.headers.iter().find(|(name, _)| name == "content-type") {
            request.insert_header("content-type", form.as_str());
        }
        Ok(request)
    }
}

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// Pool of client connections by address.
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    connect_timeout: Duration,
    idle_limit: usize,
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionPool")
            .field("idle_limit", &self.idle_limit)
            .finish_non_exhaustive()
    }
}

impl ConnectionPool {
    /// Creates a pool that keeps up to `idle_limit` connections for each address.
    pub fn new(connect_timeout: Duration, idle_limit: usize) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::default(),
            connect_timeout,
            idle_limit,
        })
    }

    /// Sends a call and waits for the head of its reply. When a kept connection fails under a
    /// repeatable call, the call is sent once more on a new connection.
    ///
    /// # Errors
    /// [`SendError`], by whether the peer may have seen the call.
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

    /// Sends a call and reads its JSON reply, whatever the status.
    ///
    /// # Errors
    /// [`SendError`], by whether the peer may have seen the call.
    pub async fn fetch<T: serde::de::DeserializeOwned>(
        self: &Arc<Self>,
        call: &HttpCall,
    ) -> Result<(u16, T)> {
        let reply = self.send(call).await?;
        let status = reply.status();
        let body = timeout(call.timeout, reply.bytes()).await;
        let body = body.map_err(|_elapsed| SendError::TimedOut)??;
        serde_json::from_slice(&body)
            .map(|value| (status, value))
            .map_err(|cause| SendError::BadResponse(format!("status {status}: {cause}")))
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream> {
        let connected = timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let stream = connected
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
        let exchange = timeout(call.timeout, async_h1::connect(stream.clone(), request)).await;
        let response = exchange
            .map_err(|_elapsed| SendError::TimedOut)?
            .map_err(|cause| SendError::Broken(cause.to_string()))?;
        Ok(HttpResponse::new(
            response,
            stream,
            call.address,
            Arc::clone(self),
        ))
    }

    /// Takes a kept connection that the peer has not closed.
    async fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        loop {
            let connection = self.pop_idle(address)?;
            let is_fresh = connection.since.elapsed() < MAX_IDLE;
            if is_fresh && is_quiet(&connection.stream).await {
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

/// True when the connection is open and has nothing to read.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    poll_once(stream.peek(&mut byte)).await.is_none()
}
