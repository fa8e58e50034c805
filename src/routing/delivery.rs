//! Delivery of one answer across attempts: which tokens reach the caller and when to resume.

use crate::engine::{FinishCause, StreamRecord};
use crate::http::ExecutionOutcome;
use crate::ids::{AttemptNumber, InstanceId, RequestId, TokenPosition};
use std::sync::Arc;

/// Why an attempt ended without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// An engine reported that a stage failed.
    StageFailed {
        /// Engine of the stage.
        instance: InstanceId,
        /// Cause that the engine reported.
        cause: Arc<str>,
    },
    /// The connection to the first engine failed.
    HeadLost(String),
    /// No token arrived in time.
    Stalled,
    /// The first engine refused the request with this HTTP status.
    Refused(u16),
    /// The engine skipped a token, or ended the answer at the wrong length.
    OutOfOrder,
}

/// Action after a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryStep {
    /// Send this token to the caller.
    Deliver(Arc<str>),
    /// Drop the record: it belongs to another request or an older attempt, or repeats a token.
    Ignore,
    /// The answer is complete for this cause.
    Complete(FinishCause),
    /// The attempt has failed; start another one or end the request.
    Failed(AttemptFailure),
}

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The answer is complete.
    Complete {
        /// Why the answer ended.
        cause: FinishCause,
        /// Length of the answer, in tokens.
        tokens: u32,
    },
    /// No usable chain of engines is left.
    NoChain {
        /// Whether the request was executed.
        outcome: ExecutionOutcome,
    },
    /// No further attempt is allowed.
    Exhausted {
        /// Whether the request was executed.
        outcome: ExecutionOutcome,
        /// Last failure.
        failure: AttemptFailure,
    },
    /// The caller has closed its connection.
    CallerGone,
    /// The deadline has passed.
    TimedOut {
        /// Whether the request was executed.
        outcome: ExecutionOutcome,
    },
    /// The request crashes the targets that run it.
    Poisoned {
        /// Whether the request was executed.
        outcome: ExecutionOutcome,
    },
}

/// Delivered prefix and current attempt of one request. It accepts only records of the current
/// attempt, and tokens only at the next position, so output that is late, repeated or meant for
/// another request never reaches the caller.
#[derive(Debug, Clone)]
pub struct DeliveryState {
    request: RequestId,
    attempt: AttemptNumber,
    delivered: Vec<Arc<str>>,
}

impl DeliveryState {
    /// Creates the state of a request before its first attempt.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            attempt: AttemptNumber(0),
            delivered: Vec::new(),
        }
    }

    /// Starts the next attempt; records of older attempts are dropped from now on.
    pub fn start_attempt(&mut self) -> AttemptNumber {
        self.attempt = self.attempt.next();
        self.attempt
    }

    /// Tokens delivered so far.
    pub fn delivered(&self) -> &[Arc<str>] {
        &self.delivered
    }

    /// Checks a record and returns the action that follows.
    pub fn accept(&mut self, record: StreamRecord) -> DeliveryStep {
        match record {
            StreamRecord::Token {
                request,
                attempt,
                position,
                text,
            } => {
                if !self.is_current(request, attempt) {
                    return DeliveryStep::Ignore;
                }
                self.accept_token(position, text)
            }
            StreamRecord::Finish {
                request,
                attempt,
                cause,
                tokens,
            } => {
                if !self.is_current(request, attempt) {
                    return DeliveryStep::Ignore;
                }
                if tokens as usize != self.delivered.len() {
                    return DeliveryStep::Failed(AttemptFailure::OutOfOrder);
                }
                DeliveryStep::Complete(cause)
            }
            StreamRecord::Broken {
                request,
                attempt,
                instance,
                cause,
            } => {
                if !self.is_current(request, attempt) {
                    return DeliveryStep::Ignore;
                }
                DeliveryStep::Failed(AttemptFailure::StageFailed { instance, cause })
            }
        }
    }

    fn accept_token(&mut self, position: TokenPosition, text: Arc<str>) -> DeliveryStep {
        let next = self.delivered.len() as u32;
        if position.0 < next {
            return DeliveryStep::Ignore;
        }
        if position.0 > next {
            return DeliveryStep::Failed(AttemptFailure::OutOfOrder);
        }
        self.delivered.push(Arc::clone(&text));
        DeliveryStep::Deliver(text)
    }

    fn is_current(&self, request: RequestId, attempt: AttemptNumber) -> bool {
        request == self.request && attempt == self.attempt
    }
}
