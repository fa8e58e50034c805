//! Inputs of the attempt state machine, the steps that it returns, and its notices to others.

use crate::engine::{ChainStage, StreamRecord};
use crate::ids::{AttemptNumber, InstanceId, RequestId};
use crate::routing::{FinalAnswer, StageFault, StageProbe};
use crate::units::MonoTime;
use std::sync::Arc;
use std::time::Duration;

/// Limits of one request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// Request identifier.
    pub request: RequestId,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Time by which the answer must be complete.
    pub deadline: MonoTime,
    /// Shortest wait for a token before the chain is probed.
    pub token_floor: Duration,
    /// Longest wait for a token before the chain is probed.
    pub token_ceiling: Duration,
    /// Longest wait for the first token of an attempt before the chain is probed.
    pub first_token_limit: Duration,
    /// Crashes without a token in between after which the request is refused as poison.
    pub poison_crashes: u32,
    /// Crashes already recorded for requests with the same model and prompt.
    pub prior_crashes: u32,
}

/// Requirements on the chain of the next attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainConstraints {
    /// Engines that must not be used.
    pub excluded: Vec<InstanceId>,
    /// Engines that hold KV cache of the request and are preferred.
    pub warm: Vec<InstanceId>,
    /// True to also use engines that are ejected or have not loaded the stage.
    pub ignore_health: bool,
    /// True to reserve the engines for this request, as it may crash them.
    pub isolated: bool,
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// A chain was found, and its engines were reserved if required.
    Chain(Vec<ChainStage>),
    /// No chain meets the requirements.
    NoChain,
    /// All suitable chains use engines that are reserved for other requests.
    Reserved,
    /// The first engine has accepted the request.
    Opened,
    /// The first engine refused the request with this HTTP status; it was not executed.
    Refused(u16),
    /// No connection to the first engine could be opened.
    NotSent,
    /// The stream failed or ended early, for this cause.
    Lost(String),
    /// A record arrived.
    Record(StreamRecord),
    /// The token was handed to the caller.
    Delivered,
    /// The caller has closed its connection.
    CallerGone,
    /// Requests with the same model and prompt are known to crash engines.
    Poisoned,
    /// The time `until` of the last step has been reached.
    Timer,
    /// Results of the last probe, in the order of its stages.
    Probed(Vec<StageProbe>),
}

/// Action that the driver must take next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptStep {
    /// Look for a chain.
    FindChain(ChainConstraints),
    /// Cancel the previous attempt and send the request to the first engine of the chain.
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
    /// Ask engines for their progress, and keep waiting for records meanwhile.
    Probe {
        /// Stages to ask.
        stages: Vec<ChainStage>,
        /// Timeout of each probe.
        timeout: Duration,
        /// Time of [`AttemptEvent::Timer`].
        until: MonoTime,
    },
    /// End the request with this answer.
    Finish(FinalAnswer),
}

/// Finding of an attempt that concerns other requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptNotice {
    /// A stage was found at fault.
    Fault {
        /// Engine.
        instance: InstanceId,
        /// What is wrong with it.
        fault: StageFault,
        /// Time from the last progress of the request to this finding.
        detection: Duration,
    },
    /// The engines of the chain have generated the first token of the attempt.
    FirstToken,
    /// This engine has crashed under the request, which has had no token since.
    Suspected(InstanceId),
    /// The request got a token, so it is no longer suspected of crashing engines.
    Cleared,
}
