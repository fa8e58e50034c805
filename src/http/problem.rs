//! Error answers as `application/problem+json` (RFC 9457), each saying whether the request ran.

use http_types::{Response, StatusCode};
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Whether a request that got no complete answer was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// It has not run and will not run.
    #[serde(rename = "not_run")]
    NotExecuted,
    /// Part of the answer was produced.
    Partial,
    /// It may or may not have run.
    Unknown,
}

impl fmt::Display for ExecutionOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotExecuted => "not_run",
            Self::Partial => "partial",
            Self::Unknown => "unknown",
        })
    }
}

/// Kind of problem; each has one status code and title.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The caller may not use what it asked for.
    Forbidden,
    /// The resource does not exist.
    NotFound,
    /// The path does not take this method.
    MethodNotAllowed,
    /// Another request or revision is in the way.
    Conflict,
    /// The body is too large.
    BodyTooLarge,
    /// The team is over its limit.
    RateLimited,
    /// The system is overloaded.
    Overloaded,
    /// No target can serve the request now.
    NoTarget,
    /// The daemon cannot serve yet or no longer.
    NotReady,
    /// The target failed.
    TargetFailed,
    /// The time allowed has run out.
    TimedOut,
    /// The request has crashed targets and is refused.
    Poison,
}

/// Status code and title of each kind.
const PROBLEM_TABLE: [(ProblemKind, u16, &str); 14] = [
    (ProblemKind::BadRequest, 400, "malformed request"),
    (ProblemKind::Unauthorized, 401, "unknown bearer token"),
    (ProblemKind::Forbidden, 403, "not allowed"),
    (ProblemKind::NotFound, 404, "not found"),
    (ProblemKind::MethodNotAllowed, 405, "method not allowed"),
    (ProblemKind::Conflict, 409, "conflict"),
    (ProblemKind::BodyTooLarge, 413, "body too large"),
    (ProblemKind::RateLimited, 429, "over the team's limit"),
    (ProblemKind::Overloaded, 503, "overloaded"),
    (ProblemKind::NoTarget, 503, "no target available"),
    (ProblemKind::NotReady, 503, "not ready"),
    (ProblemKind::TargetFailed, 502, "target failed"),
    (ProblemKind::TimedOut, 504, "timeout"),
    (ProblemKind::Poison, 422, "request crashes targets"),
];

impl ProblemKind {
    /// HTTP status code.
    pub fn status(self) -> u16 {
        self.row().1
    }

    /// Short title.
    pub fn title(self) -> &'static str {
        self.row().2
    }

    fn row(self) -> &'static (Self, u16, &'static str) {
        let found = PROBLEM_TABLE.iter().find(|(kind, _, _)| *kind == self);
        found.expect("every problem kind has a row")
    }
}

/// A final answer that is not a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProblemResponse {
    /// Kind of problem.
    pub kind: ProblemKind,
    /// What is wrong, for a person.
    pub detail: String,
    /// Whether the request ran.
    pub outcome: ExecutionOutcome,
    /// When coming back may help.
    pub retry_after: Option<Duration>,
}

impl ProblemResponse {
    /// A problem with a request that has not run.
    pub fn not_executed(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            outcome: ExecutionOutcome::NotExecuted,
            retry_after: None,
        }
    }

    /// A problem with a request of which nothing is known.
    pub fn outcome_unknown(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: ExecutionOutcome::Unknown,
            ..Self::not_executed(kind, detail)
        }
    }

    /// A problem with a request that was answered in part.
    pub fn partial(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: ExecutionOutcome::Partial,
            ..Self::not_executed(kind, detail)
        }
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// The JSON body.
    pub fn to_json(&self) -> serde_json::Value {
        let mut body = serde_json::json!({
            "type": "about:blank",
            "title": self.kind.title(),
            "status": self.kind.status(),
            "detail": self.detail,
            "outcome": self.outcome,
        });
        if let Some(delay) = self.retry_after {
            body["retry_after_ms"] = (delay.as_millis() as u64).into();
        }
        body
    }

    /// The HTTP response.
    pub fn to_response(&self) -> Response {
        let status = StatusCode::try_from(self.kind.status());
        let mut response = Response::new(status.expect("table holds valid status codes"));
        response.set_body(self.to_json().to_string());
        response.insert_header("content-type", "application/problem+json");
        response.insert_header("x-outcome", self.outcome.to_string());
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1_000);
            response.insert_header("retry-after", seconds.to_string());
        }
        response
    }
}

impl fmt::Display for ProblemResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}): {}",
            self.kind.title(),
            self.outcome,
            self.detail
        )
    }
}

impl std::error::Error for ProblemResponse {}
