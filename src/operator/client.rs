//! Client of a daemon, for operators and callers.

use crate::api::{
    AddressResponse, ChatRequest, ChatResponse, ConfirmResponse, PlanRequest, StatusResponse,
};
use crate::config::FleetPlan;
use crate::http::{ConnectionPool, HttpCall, HttpResponse, SendError, SseReader};
use http_types::Method;
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Result of a call to a daemon.
pub type Result<T> = std::result::Result<T, OperatorError>;

/// Time allowed for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed until the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Connections kept.
const IDLE_LIMIT: usize = 4;

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorError {
    /// The daemon did not answer.
    Send(SendError),
    /// The daemon answered with a problem.
    Problem {
        /// Status code.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// The answer broke off; what was received is incomplete.
    Incomplete(String),
    /// A file could not be read or written.
    File(String),
    /// A document has faults, one on each line.
    Invalid(String),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(cause) => cause.fmt(f),
            Self::Problem { status, body } => write!(f, "status {status}: {body}"),
            Self::Incomplete(cause) => write!(f, "the answer is incomplete: {cause}"),
            Self::File(cause) | Self::Invalid(cause) => f.write_str(cause),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<SendError> for OperatorError {
    fn from(cause: SendError) -> Self {
        Self::Send(cause)
    }
}

/// A question to a model.
#[derive(Debug, Clone, PartialEq)]
pub struct AskRequest {
    /// Body of the request.
    pub chat: ChatRequest,
}

/// Client of a daemon with a bearer token.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    pool: Arc<ConnectionPool>,
    token: Arc<str>,
}

impl OperatorClient {
    /// Creates a client that authenticates with `token`.
    pub fn new(token: impl Into<Arc<str>>) -> Self {
        Self {
            pool: ConnectionPool::new(CONNECT_TIMEOUT, IDLE_LIMIT),
            token: token.into(),
        }
    }

    /// Asks for a plan.
    ///
    /// # Errors
    /// [`OperatorError`] when there is no plan.
    pub async fn plan(&self, daemon: SocketAddr, wanted: &PlanRequest) -> Result<FleetPlan> {
        self.fetch(
            self.call(daemon, Method::Post, "/operator/plan")
                .json(wanted),
        )
        .await
    }

    /// Confirms a plan. Idempotent.
    ///
    /// # Errors
    /// [`OperatorError`] when the plan is not known to be in effect.
    pub async fn confirm(&self, daemon: SocketAddr, plan: &FleetPlan) -> Result<ConfirmResponse> {
        self.fetch(
            self.call(daemon, Method::Post, "/operator/confirm")
                .json(plan),
        )
        .await
    }

    /// Asks for a daemon's status.
    ///
    /// # Errors
    /// [`OperatorError`] when there is none.
    pub async fn status(&self, daemon: SocketAddr) -> Result<StatusResponse> {
        self.fetch(self.call(daemon, Method::Get, "/operator/status"))
            .await
    }

    /// Asks which daemons to use.
    ///
    /// # Errors
    /// [`OperatorError`] when there is no answer.
    pub async fn addresses(&self, daemon: SocketAddr) -> Result<AddressResponse> {
        self.fetch(self.call(daemon, Method::Get, "/v1/addresses"))
            .await
    }

    /// Asks a model and passes each piece of the answer to `sink`; returns the finish reason.
    ///
    /// # Errors
    /// [`OperatorError::Incomplete`] when the answer broke off, others when there was none.
    pub async fn ask(
        &self,
        daemon: SocketAddr,
        ask: &AskRequest,
        mut sink: impl FnMut(&str),
    ) -> Result<String> {
        let call = self
            .call(daemon, Method::Post, "/v1/chat/completions")
            .json(&ask.chat);
        let reply = self.pool.send(&call).await?;
        if reply.status() != 200 {
            return Err(read_problem(reply).await);
        }
        let mut reader = SseReader::new(reply);
        let mut finish = None;
        loop {
            let event = reader.next().await;
            let event = event.map_err(|cause| OperatorError::Incomplete(cause.to_string()))?;
            match event.as_deref() {
                None => return Err(OperatorError::Incomplete("no end mark".to_owned())),
                Some("[DONE]") => break,
                Some(data) => finish = read_chunk(data, &mut sink)?.or(finish),
            }
        }
        finish.ok_or_else(|| OperatorError::Incomplete("no finish reason".to_owned()))
    }

    fn call(&self, daemon: SocketAddr, method: Method, path: &str) -> HttpCall {
        let token = format!("Bearer {}", self.token);
        HttpCall::new(daemon, method, path)
            .header("authorization", &token)
            .timeout(HEAD_TIMEOUT)
    }

    async fn fetch<T: DeserializeOwned>(&self, call: HttpCall) -> Result<T> {
        let reply = self.pool.send(&call).await?;
        if reply.status() != 200 {
            return Err(read_problem(reply).await);
        }
        let body = reply.bytes().await?;
        serde_json::from_slice(&body)
            .map_err(|cause| OperatorError::Send(SendError::BadResponse(cause.to_string())))
    }
}

fn read_chunk(data: &str, sink: &mut impl FnMut(&str)) -> Result<Option<String>> {
    if data.starts_with("{\"error\"") {
        return Err(OperatorError::Incomplete(data.to_owned()));
    }
    let chunk: ChatResponse =
        serde_json::from_str(data).map_err(|cause| OperatorError::Incomplete(cause.to_string()))?;
    let mut finish = None;
    for choice in chunk.choices {
        if let Some(text) = choice.delta.and_then(|delta| delta.content) {
            sink(&text);
        }
        finish = choice
            .finish_reason
            .map(|reason| reason.as_ref().to_owned());
    }
    Ok(finish)
}

async fn read_problem(reply: HttpResponse) -> OperatorError {
    let status = reply.status();
    let body = reply.bytes().await.unwrap_or_default();
    OperatorError::Problem {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}
