//! What the machine is told, what it says to do, and what others should learn from it.

use crate::engine::{ChainStage, StreamRecord};
use crate::ids::{AttemptNumber, InstanceId, RequestId};
use crate::routing::{FinalAnswer, StageFault, StageProbe};
use crate::units::MonoTime;
use std::sync::Arc;
use std::time::Duration;

/// Limits of one request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// Request.
    pub request: RequestId,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// Time by which the answer must be complete.
    pub deadline: MonoTime,
    /// Shortest wait for a token before the chain is probed.
    pub token_floor: Duration,
    /// Longest wait for a token before the chain is probed.
    pub token_ceiling: Duration,
    /// Longest wait for the first token before the chain is probed.
    pub first_token_limit: Duration,
    /// Crashes without a token in between after which the request is poison.
    pub poison_crashes: u32,
    /// Crashes that requests of the same content have caused before.
    pub prior_crashes: u32,
}

/// What kind of chain to look for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainConstraints {
    /// Engines that must not be used.
    pub excluded: Vec<InstanceId>,
    /// Engines that hold KV cache of the request.
    pub warm: Vec<InstanceId>,
    /// True to use engines that are closed after failures too.
    pub ignore_health: bool,
    /// True to reserve the engines, as the request may crash them.
    pub isolated: bool,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// A chain was found, and reserved if so wished.
    Chain(Vec<ChainStage>),
    /// No chain fits the wish.
    NoChain,
    /// The chains that fit are reserved by other requests.
    Reserved,
    /// The first engine has accepted the request.
    Opened,
    /// The first engine has refused the request; it has not run.
    Refused(u16),
    /// No connection to the first engine could be opened.
    NotSent,
    /// The stream failed or ended early.
    Lost(String),
    /// A record arrived.
    Record(StreamRecord),
    /// The token was handed to the caller.
    Delivered,
    /// The caller has closed its connection.
    CallerGone,
    /// Requests of the same content have been found to crash targets.
    Poisoned,
    /// The time waited for has come.
    Timer,
    /// Answers of the engines that were probed.
    Probed(Vec<StageProbe>),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptStep {
    /// Look for a chain.
    FindChain(ChainConstraints),
    /// Send the request to the first engine of the chain, giving up the attempt before.
    Open {
        /// Number of the new attempt.
        attempt: AttemptNumber,
        /// Chain.
        chain: Vec<ChainStage>,
    },
    /// Wait for an event, at most until `until`.
    Wait {
        /// Time of [`AttemptEvent::Timer`].
        until: MonoTime,
    },
    /// Hand the token to the caller.
    Deliver(Arc<str>),
    /// Ask these engines for their progress, and go on waiting meanwhile.
    Probe {
        /// Stages to ask.
        stages: Vec<ChainStage>,
        /// Time allowed for the answers.
        limit: Duration,
        /// Time of [`AttemptEvent::Timer`].
        until: MonoTime,
    },
    /// The request has ended.
    Finish(FinalAnswer),
}

/// What others should learn from an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptNotice {
    /// A stage was found at fault.
    Fault {
        /// Engine.
        instance: InstanceId,
        /// What is wrong with it.
        fault: StageFault,
        /// Time from the last sign of life to this finding.
        detection: Duration,
    },
    /// The engines of the chain have generated a token.
    FirstToken,
    /// Targets have crashed under this request so many times without a token in between.
    Suspected(u32),
    /// The request is no longer suspected.
    Cleared,
}
