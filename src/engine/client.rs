//! Calls to model engines.

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
    /// The call did not complete.
    Send(SendError),
    /// The engine refused the call; it has not run it.
    Refused(u16),
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(cause) => cause.fmt(f),
            Self::Refused(status) => write!(f, "refused with status {status}"),
        }
    }
}

impl std::error::Error for EngineError {}

impl From<SendError> for EngineError {
    fn from(cause: SendError) -> Self {
        Self::Send(cause)
    }
}

/// Client of model engines; cheap to clone.
#[derive(Debug, Clone)]
pub struct EngineClient {
    pool: Arc<ConnectionPool>,
    timeout: Duration,
}

impl EngineClient {
    /// Creates a client. `timeout` bounds each call up to the head of its reply.
    pub fn new(pool: Arc<ConnectionPool>, timeout: Duration) -> Self {
        Self { pool, timeout }
    }

    /// Starts generating on the first engine of the chain.
    ///
    /// # Errors
    /// [`EngineError`] when no stream was started.
    pub async fn generate(&self, request: &GenerateRequest) -> Result<EngineStream> {
        let head = request.work.chain.first().ok_or(EngineError::Refused(0))?;
        let call = self
            .call(head.address, Method::Post, "/v1/generate")
            .json(request)
            // A repeat on a new connection would hide that the engine has crashed over it.
            .without_retry();
        let reply = self.pool.send(&call).await?;
        match reply.status() {
            200 => Ok(EngineStream::new(SseReader::new(reply))),
            status => Err(EngineError::Refused(status)),
        }
    }

    /// Cancels an attempt on one engine.
    ///
    /// # Errors
    /// [`EngineError`] when the engine did not confirm.
    pub async fn cancel(&self, address: SocketAddr, cancel: &CancelRequest) -> Result<()> {
        let call = self.call(address, Method::Post, "/v1/cancel").json(cancel);
        let (_status, _body): (u16, serde_json::Value) = self.pool.fetch(&call).await?;
        Ok(())
    }

    /// Reads an engine's load report.
    ///
    /// # Errors
    /// [`EngineError`] when there is no report.
    pub async fn report(&self, address: SocketAddr) -> Result<EngineReport> {
        let call = self.call(address, Method::Get, "/v1/report");
        match self.pool.fetch(&call).await? {
            (200, report) => Ok(report),
            (status, _report) => Err(EngineError::Refused(status)),
        }
    }

    /// Asks an engine how far a request has come, within `limit`. Opens a new connection, so that
    /// a refused one shows that the engine is gone.
    ///
    /// # Errors
    /// [`EngineError`] when there is no answer.
    pub async fn progress(
        &self,
        address: SocketAddr,
        request: RequestId,
        limit: Duration,
    ) -> Result<StageProgress> {
        let path = format!("/v1/progress/{request}");
        let call = self
            .call(address, Method::Get, &path)
            .timeout(limit)
            .on_new_connection();
        match self.pool.fetch(&call).await? {
            (200, progress) => Ok(progress),
            (status, _progress) => Err(EngineError::Refused(status)),
        }
    }

    /// Orders an engine to reach a state. Idempotent.
    ///
    /// # Errors
    /// [`EngineError`] when the engine did not answer; it may have taken the order.
    pub async fn order(&self, address: SocketAddr, order: &EngineOrder) -> Result<OrderReply> {
        let call = self.call(address, Method::Post, "/v1/orders").json(order);
        let (_status, reply) = self.pool.fetch(&call).await?;
        Ok(reply)
    }

    fn call(&self, address: SocketAddr, method: Method, path: &str) -> HttpCall {
        HttpCall::new(address, method, path).timeout(self.timeout)
    }
}
