//! HTTP client of the model engines.

use crate::engine::{
    CancelRequest, EngineOrder, EngineReport, EngineStream, GenerateRequest, OrderReply,
    StageProgress,
};
use crate::http::{ConnectionPool, HttpCall, SendError, SseReader};
use crate::ids::RequestId;
use http_types::Method;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Result of a call to an engine.
pub type Result<T> = std::result::Result<T, EngineError>;

/// Why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// The call failed without a response from the engine.
    Send(SendError),
    /// The engine refused the call with this status and did not execute it.
    Refused(u16),
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(cause) => cause.fmt(f),
            Self::Refused(status) => write!(f, "engine refused the call with status {status}"),
        }
    }
}

impl std::error::Error for EngineError {}

impl From<SendError> for EngineError {
    fn from(cause: SendError) -> Self {
        Self::Send(cause)
    }
}

/// Client of the model engines; cheap to clone, as clones share the connection pool.
#[derive(Debug, Clone)]
pub struct EngineClient {
    pool: Arc<ConnectionPool>,
    timeout: Duration,
}

impl EngineClient {
    /// Creates a client. `timeout` applies to each call until the head of the response has arrived.
    pub fn new(pool: Arc<ConnectionPool>, timeout: Duration) -> Self {
        Self { pool, timeout }
    }

    /// Starts an attempt on the first engine of its chain.
    ///
    /// # Errors
    /// [`EngineError`] when no stream was started; [`EngineError::Refused`] with status 0 when the
    /// chain is empty.
    pub async fn generate(&self, request: &GenerateRequest) -> Result<EngineStream> {
        let head = request.work.chain.first().ok_or(EngineError::Refused(0))?;
        let call = self
            .call(head.address, Method::Post, "/v1/generate")
            .json(request)
            // A retry on a new connection would hide that the request has crashed the engine.
            .without_retry();
        let response = self.pool.send(&call).await?;
        match response.status() {
            200 => Ok(EngineStream::new(SseReader::new(response))),
            status => Err(EngineError::Refused(status)),
        }
    }

    /// Cancels an attempt on one engine.
    ///
    /// # Errors
    /// [`EngineError`] when the engine did not respond.
    pub async fn cancel(&self, address: SocketAddr, cancel: &CancelRequest) -> Result<()> {
        let call = self.call(address, Method::Post, "/v1/cancel").json(cancel);
        let (_status, _body): (u16, serde_json::Value) = self.pool.fetch(&call).await?;
        Ok(())
    }

    /// Reads an engine's load report.
    ///
    /// # Errors
    /// [`EngineError`] when the engine returned no report.
    pub async fn report(&self, address: SocketAddr) -> Result<EngineReport> {
        let call = self.call(address, Method::Get, "/v1/report");
        match self.pool.fetch(&call).await? {
            (200, report) => Ok(report),
            (status, _report) => Err(EngineError::Refused(status)),
        }
    }

    /// Reads the progress of a request on an engine, with its own `timeout`. Opens a new
    /// connection, so that a refused connection shows that the engine has ended.
    ///
    /// # Errors
    /// [`EngineError`] when the engine returned no progress.
    pub async fn progress(
        &self,
        address: SocketAddr,
        request: RequestId,
        timeout: Duration,
    ) -> Result<StageProgress> {
        let path = format!("/v1/progress/{request}");
        let call = self
            .call(address, Method::Get, &path)
            .timeout(timeout)
            .on_new_connection();
        match self.pool.fetch(&call).await? {
            (200, progress) => Ok(progress),
            (status, _progress) => Err(EngineError::Refused(status)),
        }
    }

    /// Orders an engine to reach a state. Idempotent: a repeated order has no further effect.
    ///
    /// # Errors
    /// [`EngineError`] when the engine did not reply; it may have accepted the order.
    pub async fn order(&self, address: SocketAddr, order: &EngineOrder) -> Result<OrderReply> {
        let call = self.call(address, Method::Post, "/v1/orders").json(order);
        let (_status, reply) = self.pool.fetch(&call).await?;
        Ok(reply)
    }

    fn call(&self, address: SocketAddr, method: Method, path: &str) -> HttpCall {
        HttpCall::new(address, method, path).timeout(self.timeout)
    }
}
