//! Delivery of one answer across attempts: which tokens reach the caller and when to resume.

use crate::engine::{FinishCause, StreamRecord};
use crate::http::RunOutcome;
use crate::ids::{AttemptNumber, InstanceId, RequestId, TokenPosition};
use std::sync::Arc;

/// Why an attempt ended without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// An engine reported that a stage failed.
    StageFailed {
        /// Engine of the stage.
        instance: InstanceId,
        /// What happened.
        cause: Arc<str>,
    },
    /// The connection to the first engine failed.
    HeadLost(String),
    /// No token came in time.
    Stalled,
    /// The first engine refused the request.
    Refused(u16),
    /// The engine sent a token at an unexpected position.
    OutOfOrder,
}

/// What to do after a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryStep {
    /// Send this token to the caller.
    Deliver(Arc<str>),
    /// Nothing: the record belongs to another request or an older attempt.
    Ignore,
    /// The answer is complete.
    Complete(FinishCause),
    /// The attempt has failed; start another one or give up.
    Failed(AttemptFailure),
}

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The answer is complete.
    Complete {
        /// Why it ended.
        cause: FinishCause,
        /// Tokens in the answer.
        tokens: u32,
    },
    /// No chain could be found or kept.
    NoChain {
        /// How far the request had come.
        outcome: RunOutcome,
    },
    /// The attempts are used up.
    Exhausted {
        /// How far the request had come.
        outcome: RunOutcome,
        /// Last failure.
        failure: AttemptFailure,
    },
    /// The caller has gone.
    CallerGone,
    /// The time allowed has run out.
    TimedOut {
        /// How far the request had come.
        outcome: RunOutcome,
    },
    /// The request crashes the targets that run it.
    Poisoned {
        /// How far the request had come.
        outcome: RunOutcome,
    },
}

/// Delivered prefix and current attempt of one request. Accepts only records of the current
/// attempt, and tokens only at exactly the next position, so late and crossed output is dropped.
#[derive(Debug, Clone)]
pub struct DeliveryState {
    request: RequestId,
    attempt: AttemptNumber,
    delivered: Vec<Arc<str>>,
}

impl DeliveryState {
    /// Starts a request without any attempt.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            attempt: AttemptNumber(0),
            delivered: Vec::new(),
        }
    }

    /// Starts the next attempt; output of older ones is ignored from now on.
    pub fn start_attempt(&mut self) -> AttemptNumber {
        self.attempt = self.attempt.next();
        self.attempt
    }

    /// Tokens delivered so far.
    pub fn delivered(&self) -> &[Arc<str>] {
        &self.delivered
    }

    /// Takes a record and says what to do.
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
