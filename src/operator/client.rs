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

/// Maximum time for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time until the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle connections kept for each daemon.
const IDLE_LIMIT: usize = 4;

/// Failure of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorError {
    /// No connection could be opened, or no valid response came.
    Send(SendError),
    /// The daemon sent an error response.
    Problem {
        /// Status code.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The streamed answer ended early; the text received so far is incomplete.
    Incomplete(String),
    /// A file, standard input or standard output could not be read or written.
    File(String),
    /// A document is invalid; the text holds one error per line.
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

/// Request for a streamed answer of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct AskRequest {
    /// Body of the chat request, which must ask for a stream.
    pub chat: ChatRequest,
}

/// Client that authenticates to daemons with a bearer token.
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

    /// Requests a plan for a declaration.
    ///
    /// # Errors
    /// [`OperatorError`] if the daemon returns no plan.
    pub async fn plan(&self, daemon: SocketAddr, request: &PlanRequest) -> Result<FleetPlan> {
        self.fetch(
            self.call(daemon, Method::Post, "/operator/plan")
                .json(request),
        )
        .await
    }

    /// Confirms a plan. Idempotent.
    ///
    /// # Errors
    /// [`OperatorError`] if the plan is not known to be in effect.
    pub async fn confirm(&self, daemon: SocketAddr, plan: &FleetPlan) -> Result<ConfirmResponse> {
        self.fetch(
            self.call(daemon, Method::Post, "/operator/confirm")
                .json(plan),
        )
        .await
    }

    /// Requests the status of a daemon.
    ///
    /// # Errors
    /// [`OperatorError`] if the daemon returns no status.
    pub async fn status(&self, daemon: SocketAddr) -> Result<StatusResponse> {
        self.fetch(self.call(daemon, Method::Get, "/operator/status"))
            .await
    }

    /// Requests the addresses of the daemons that the token's team should use.
    ///
    /// # Errors
    /// [`OperatorError`] if the daemon returns no addresses.
    pub async fn addresses(&self, daemon: SocketAddr) -> Result<AddressResponse> {
        self.fetch(self.call(daemon, Method::Get, "/v1/addresses"))
            .await
    }

    /// Streams the answer of a model. Passes each piece of its text to `sink` and returns the
    /// finish reason.
    ///
    /// # Errors
    /// [`OperatorError::Incomplete`] if the answer ended early, other errors if none was started.
    pub async fn ask(
        &self,
        daemon: SocketAddr,
        request: &AskRequest,
        mut sink: impl FnMut(&str),
    ) -> Result<String> {
        let call = self
            .call(daemon, Method::Post, "/v1/chat/completions")
            .json(&request.chat);
        let response = self.pool.send(&call).await?;
        if response.status() != 200 {
            return Err(read_error_response(response).await);
        }
        let mut reader = SseReader::new(response);
        let mut finish_reason = None;
        loop {
            let event = reader.next().await;
            let event = event.map_err(|cause| OperatorError::Incomplete(cause.to_string()))?;
            match event.as_deref() {
                None => return Err(OperatorError::Incomplete("no end marker".to_owned())),
                Some("[DONE]") => break,
                Some(data) => finish_reason = read_chunk(data, &mut sink)?.or(finish_reason),
            }
        }
        finish_reason.ok_or_else(|| OperatorError::Incomplete("no finish reason".to_owned()))
    }

    fn call(&self, daemon: SocketAddr, method: Method, path: &str) -> HttpCall {
        let token = format!("Bearer {}", self.token);
        HttpCall::new(daemon, method, path)
            .header("authorization", &token)
            .timeout(HEAD_TIMEOUT)
    }

    async fn fetch<T: DeserializeOwned>(&self, call: HttpCall) -> Result<T> {
        let response = self.pool.send(&call).await?;
        if response.status() != 200 {
            return Err(read_error_response(response).await);
        }
        let body = response.bytes().await?;
        serde_json::from_slice(&body)
            .map_err(|cause| OperatorError::Send(SendError::BadResponse(cause.to_string())))
    }
}

/// Passes the text of an event to `sink` and returns the finish reason if the event has one.
fn read_chunk(data: &str, sink: &mut impl FnMut(&str)) -> Result<Option<String>> {
    if data.starts_with("{\"error\"") {
        return Err(OperatorError::Incomplete(data.to_owned()));
    }
    let chunk: ChatResponse =
        serde_json::from_str(data).map_err(|cause| OperatorError::Incomplete(cause.to_string()))?;
    let mut finish_reason = None;
    for choice in chunk.choices {
        if let Some(text) = choice.delta.and_then(|delta| delta.content) {
            sink(&text);
        }
        finish_reason = choice
            .finish_reason
            .map(|reason| reason.as_ref().to_owned());
    }
    Ok(finish_reason)
}

async fn read_error_response(response: HttpResponse) -> OperatorError {
    let status = response.status();
    let body = response.bytes().await.unwrap_or_default();
    OperatorError::Problem {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}
