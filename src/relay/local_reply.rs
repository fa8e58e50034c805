//! Answers of the daemon's own.

use crate::relay::retry::RetryStep;
use crate::wire::HeadBuilder;
use std::fmt;
use std::time::Duration;

/// Why the daemon answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route takes the request.
    NoRoute,
    /// The key is missing or belongs to nobody.
    UnknownKey,
    /// The head or body is not acceptable HTTP.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The head took too long.
    HeadTimeout,
    /// No target can take the request now; it was not run.
    NoTarget,
    /// All targets that were tried say that they did not run it.
    NotExecuted,
    /// It was sent, and there is no whole answer.
    Failed,
    /// Its time ran out before it was sent.
    Expired,
    /// The daemon is shutting down and could not end it in time; others serve it.
    Draining,
    /// Its time ran out at a target.
    TimedOut,
}

impl RefusalCause {
    /// Status of the answer. 429, 503, 408 and 421 promise that the request has not run.
    pub fn status(self) -> u16 {
        match self {
            Self::NoConfiguration
            | Self::NoTarget
            | Self::NotExecuted
            | Self::Expired
            | Self::Draining => 503,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::Malformed => 400,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
            Self::HeadTimeout => 408,
            Self::Failed => 502,
            Self::TimedOut => 504,
        }
    }

    /// Why a request ends when no further attempt is made.
    pub(super) fn from_retry_step(step: RetryStep, expired: bool, tried: bool) -> Self {
        match (step, expired) {
            (RetryStep::Fail, true) => Self::TimedOut,
            (RetryStep::Fail, false) => Self::Failed,
            (_, true) => Self::Expired,
            _ if tried => Self::NotExecuted,
            _ => Self::NoTarget,
        }
    }

    /// Name in logs, metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Malformed => "malformed",
            Self::HeadTooLong => "head_too_long",
            Self::BodyTooLong => "body_too_long",
            Self::HeadTimeout => "slow",
            Self::NoTarget => "no_target",
            Self::NotExecuted => "not_run",
            Self::Failed => "failed",
            Self::Expired => "expired",
            Self::Draining => "draining",
            Self::TimedOut => "timed_out",
        }
    }

    /// True when the connection cannot be used after the answer.
    pub fn closes_connection(self) -> bool {
        let closing = [
            Self::Malformed,
            Self::HeadTooLong,
            Self::BodyTooLong,
            Self::HeadTimeout,
        ];
        closing.contains(&self)
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An answer of the daemon's own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalReply {
    /// Why.
    pub cause: RefusalCause,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl LocalReply {
    /// An answer without a time to come back.
    pub fn new(cause: RefusalCause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    /// Names a time to come back, drawn from the first to the double of `base` so that refused callers
    /// do not return together.
    #[must_use]
    pub fn with_retry_after(mut self, base: Duration, rng: &mut fastrand::Rng) -> Self {
        self.retry_after = Some(base.mul_f64(1.0 + rng.f64()));
        self
    }

    /// The answer's bytes.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let body = format!("{{\"error\":\"{}\"}}", self.cause.name());
        let mut head = HeadBuilder::response(self.cause.status())
            .field("Content-Type", "application/json")
            .field("Content-Length", body.len());
        if let Some(delay) = self.retry_after {
            head = head.field("Retry-After", format_args!("{:.2}", delay.as_secs_f64()));
        }
        if close || self.cause.closes_connection() {
            head = head.field("Connection", "close");
        }
        let mut bytes = head.finish();
        bytes.extend_from_slice(body.as_bytes());
        bytes
    }
}
