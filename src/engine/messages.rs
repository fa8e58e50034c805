//! JSON messages between the router and the model engines, and among the engines.

use crate::config::StagePlacement;
use crate::ids::{
    AttemptNumber, FenceNumber, InstanceId, ModelId, RequestId, TokenPosition, VersionId,
};
use crate::units::LayerRange;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// One stage of a chain: a range of layers and the engine that runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainStage {
    /// Engine that runs the stage.
    pub instance: InstanceId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Layers that the stage runs.
    pub layers: LayerRange,
}

/// Identity and chain of an attempt, sent to every stage.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PipelineWork {
    /// Request.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: AttemptNumber,
    /// Model.
    pub model: ModelId,
    /// Model version.
    pub version: VersionId,
    /// Stages in the order of their layers; together they cover each layer of the model once.
    pub chain: Vec<ChainStage>,
    /// Priority class; 0 is the highest.
    pub priority: u8,
}

/// Body of `POST /v1/generate`, sent to the first engine of the chain.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Identity and chain of the attempt.
    pub work: PipelineWork,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Tokens already delivered to the caller by earlier attempts.
    pub prefix: Vec<Arc<str>>,
    /// Sampling seed, the same for all attempts of a request.
    pub seed: u64,
    /// Largest number of tokens in the whole answer, with those of the prefix.
    pub max_tokens: u32,
}

/// Body of `POST /v1/activation`, sent from one engine to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ActivationRequest {
    /// Identity and chain of the attempt.
    pub work: PipelineWork,
    /// Index in the chain of the stage that receives the activation.
    pub stage: usize,
    /// Position of the token being generated.
    pub position: TokenPosition,
    /// Number of tokens before this position, with those of the prompt; a stage that has no KV
    /// cache for them must prefill them.
    pub context_tokens: u32,
    /// Output of the previous stage.
    pub activation: u64,
}

/// Response to an [`ActivationRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ActivationReply {
    /// Output of the last layer of the model.
    pub activation: u64,
}

/// Why an answer is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishCause {
    /// The model generated its end token.
    Stop,
    /// The answer has [`GenerateRequest::max_tokens`] tokens.
    Length,
}

/// One server-sent event of a token stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamRecord {
    /// A generated token.
    Token {
        /// Request that the record belongs to.
        request: RequestId,
        /// Attempt that the record belongs to.
        attempt: AttemptNumber,
        /// Position in the answer.
        position: TokenPosition,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The answer is complete.
    Finish {
        /// Request that the record belongs to.
        request: RequestId,
        /// Attempt that the record belongs to.
        attempt: AttemptNumber,
        /// Why the answer is complete.
        cause: FinishCause,
        /// Number of tokens in the whole answer.
        tokens: u32,
    },
    /// A stage failed; this record is the last of the stream.
    Broken {
        /// Request that the record belongs to.
        request: RequestId,
        /// Attempt that the record belongs to.
        attempt: AttemptNumber,
        /// Engine of the failed stage, as observed by the engine that reports it.
        instance: InstanceId,
        /// Description of the failure.
        cause: Arc<str>,
    },
}

/// Body of `POST /v1/cancel`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelRequest {
    /// Request to cancel.
    pub request: RequestId,
    /// Attempt to cancel.
    pub attempt: AttemptNumber,
}

/// A range of layers that an engine holds or is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldStage {
    /// Model.
    pub model: ModelId,
    /// Model version.
    pub version: VersionId,
    /// Range of layers.
    pub layers: LayerRange,
    /// True when the weights are loaded.
    pub ready: bool,
}

impl HeldStage {
    /// True when model, version and layers are those of `placement`.
    pub fn matches(&self, placement: &StagePlacement) -> bool {
        self.model == placement.model
            && self.version == placement.version
            && self.layers == placement.layers
    }
}

/// Body of `POST /v1/orders`: the state that the engine must reach.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the sender.
    pub fence: FenceNumber,
    /// Stage to hold; `None` to hold none.
    pub stage: Option<HeldStage>,
    /// Size of the weights of one layer, in bytes.
    pub layer_bytes: u64,
}

/// Reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The engine changes to the ordered state.
    Accepted,
    /// The engine has seen a higher fencing number and ignores the order.
    Fenced,
}

/// Response to `GET /v1/report`: load of an engine [`Self::age_ms`] ago.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineReport {
    /// Stages held.
    pub stages: Vec<HeldStage>,
    /// Work items waiting for a batch.
    pub queued: u32,
    /// Work items in the current batch.
    pub running: u32,
    /// Requests in progress whose chain contains the engine, whichever stage they are at.
    #[serde(default)]
    pub sessions: u32,
    /// Time of one step of a batch of one through all layers held, in microseconds.
    pub step_micros: u64,
    /// Additional step time for each further item in the batch, in microseconds.
    pub item_micros: u64,
    /// Largest number of work items in a batch.
    pub max_batch: u32,
    /// Age of this report, in milliseconds.
    pub age_ms: u64,
    /// True when the engine is shutting down and refuses new requests.
    pub leaving: bool,
    /// Random number chosen when the engine started; a different number shows a restart.
    #[serde(default)]
    pub incarnation: u64,
}

/// State of the latest step of a request on an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StagePhase {
    /// The engine does not know the request.
    #[default]
    Unknown,
    /// The step is waiting for a batch or running in one.
    Held,
    /// The activation was sent to the next stage, which has not responded.
    HandedOn,
    /// The step is complete on this engine and on all stages after it.
    Done,
}

/// Response to `GET /v1/progress/{request}`: progress of a request on one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StageProgress {
    /// Latest attempt that the engine has seen.
    pub attempt: AttemptNumber,
    /// Token position of the latest step of that attempt.
    pub position: TokenPosition,
    /// State of that step.
    pub phase: StagePhase,
    /// Time since the step entered that state, in microseconds.
    pub since_micros: u64,
    /// Time for which the engine held the last step that it completed, in microseconds.
    #[serde(default)]
    pub held_micros: u64,
    /// Work items waiting for a batch.
    pub queued: u32,
    /// Work items in the current batch.
    pub running: u32,
    /// Random number chosen when the engine started; a different number shows a restart.
    pub incarnation: u64,
}

impl StageProgress {
    /// Progress of a request that is not known to the engine.
    pub const UNKNOWN: Self = Self {
        attempt: AttemptNumber(0),
        position: TokenPosition(0),
        phase: StagePhase::Unknown,
        since_micros: 0,
        held_micros: 0,
        queued: 0,
        running: 0,
        incarnation: 0,
    };
}
