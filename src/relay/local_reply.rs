//! Local replies: responses that the daemon generates itself.

use crate::relay::retry::RetryStep;
use crate::relay::via_peer::LOCAL_REPLY_FIELD;
use crate::wire::HeadBuilder;
use std::fmt;
use std::time::Duration;

/// Cause of a local reply. Only after [`Self::Failed`] and [`Self::TimedOut`] may a target have
/// executed the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request head or body is not valid HTTP.
    Malformed,
    /// The request head exceeds the size limit.
    HeadTooLong,
    /// The request body exceeds the size limit.
    BodyTooLong,
    /// The request head did not arrive in time.
    HeadTimeout,
    /// No attempt was made: no target was ready or had capacity, too little time was left, or the
    /// configuration names no usable service.
    NoTarget,
    /// At least one attempt was made, but no target executed the request.
    NotExecuted,
    /// The request claims to come from another daemon, but that one is not known.
    UnknownPeer,
    /// There is no memory for the request's head or body.
    NoMemory,
    /// A target may have executed the request, but there is no response to forward.
    Failed,
    /// The deadline passed, and no target executed the request, whether or not one was tried.
    Expired,
    /// The daemon is shutting down and might exit before the response is complete. No attempt was
    /// made; other daemons still serve.
    Draining,
    /// Such requests crash the targets that run them; this one was not executed.
    Poison,
    /// The deadline passed, and a target may have executed the request.
    TimedOut,
}

impl RefusalCause {
    /// HTTP status: 502 or 504 when a target may have executed the request. With every other status
    /// no target executed it; 408 and 503 promise this to the caller, as would 421 and 429, which
    /// no cause has.
    pub fn status(self) -> u16 {
        match self {
            Self::NoConfiguration
            | Self::NoTarget
            | Self::NotExecuted
            | Self::Expired
            | Self::Draining
            | Self::UnknownPeer
            | Self::NoMemory
            | Self::Poison => 503,
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

    /// Cause of the final response when no further attempt is made. `step` is [`RetryStep::Refuse`]
    /// (no target executed the request) or [`RetryStep::Fail`] (one may have). `expired`: the
    /// deadline has passed; `tried`: at least one attempt was made.
    pub(super) fn from_retry_step(step: RetryStep, expired: bool, tried: bool) -> Self {
        match (step, expired) {
            (RetryStep::Fail, true) => Self::TimedOut,
            (RetryStep::Fail, false) => Self::Failed,
            (_, true) => Self::Expired,
            _ if tried => Self::NotExecuted,
            _ => Self::NoTarget,
        }
    }

    /// Name in logs, metrics and response bodies.
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
            Self::NoMemory => "no_memory",
            Self::Failed => "failed",
            Self::Expired => "expired",
            Self::Draining => "draining",
            Self::Poison => "poison",
            Self::UnknownPeer => "unknown_peer",
            Self::TimedOut => "timed_out",
        }
    }

    /// True when the connection cannot be reused: the rest of the request was not read, or the process is
    /// about to exit.
    pub fn closes_connection(self) -> bool {
        let closing = [
            Self::Malformed,
            Self::HeadTooLong,
            Self::BodyTooLong,
            Self::HeadTimeout,
            Self::NoMemory,
            Self::Draining,
        ];
        closing.contains(&self)
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A response that the daemon generates itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalReply {
    /// Cause, which determines the status and the body.
    pub cause: RefusalCause,
    /// Value of the `Retry-After` field.
    pub retry_after: Option<Duration>,
    /// True when another daemon gets it, which must not take it for a target's response.
    pub is_for_peer: bool,
    /// True when the request's method is HEAD, so that the response has no body.
    pub is_for_head: bool,
}

impl LocalReply {
    /// A response without `Retry-After`.
    pub fn new(cause: RefusalCause) -> Self {
        Self {
            cause,
            retry_after: None,
            is_for_peer: false,
            is_for_head: false,
        }
    }

    /// Sets `Retry-After` to a random time between `base` and twice `base`; the jitter keeps
    /// refused callers from returning all at once.
    #[must_use]
    pub fn with_retry_after(mut self, base: Duration, rng: &mut fastrand::Rng) -> Self {
        self.retry_after = Some(base.mul_f64(1.0 + rng.f64()));
        self
    }

    /// Encodes the response. `close` adds `Connection: close`.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let body = format!("{{\"error\":\"{}\"}}", self.cause.name());
        let mut head = HeadBuilder::response(self.cause.status())
            .field("Content-Type", "application/json")
            .field("Content-Length", body.len());
        if let Some(delay) = self.retry_after {
            head = head.field("Retry-After", format_args!("{:.2}", delay.as_secs_f64()));
        }
        if self.is_for_peer {
            head = head.field(LOCAL_REPLY_FIELD, self.cause);
        }
        if close || self.cause.closes_connection() {
            head = head.field("Connection", "close");
        }
        let mut bytes = head.finish();
        if !self.is_for_head {
            bytes.extend_from_slice(body.as_bytes());
        }
        bytes
    }
}
