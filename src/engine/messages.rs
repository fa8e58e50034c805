//! Messages that model engines exchange with the router and with each other, as JSON.

use crate::config::StagePlacement;
use crate::ids::{
    AttemptNumber, FenceNumber, InstanceId, ModelId, RequestId, TokenPosition, VersionId,
};
use crate::units::LayerRange;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// One stage of a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainStage {
    /// Engine that runs the stage.
    pub instance: InstanceId,
    /// Engine address.
    pub address: SocketAddr,
    /// Layers that the stage runs.
    pub layers: LayerRange,
}

/// What identifies a piece of work to every stage of a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PipelineWork {
    /// Request served.
    pub request: RequestId,
    /// Attempt within the request.
    pub attempt: AttemptNumber,
    /// Model.
    pub model: ModelId,
    /// Model version.
    pub version: VersionId,
    /// Stages in layer order; together they tile the model.
    pub chain: Vec<ChainStage>,
    /// Priority class, 0 is the most important.
    pub priority: u8,
}

/// Body of `POST /v1/generate`, sent to the first engine of the chain.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Work identity and chain.
    pub work: PipelineWork,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Tokens already delivered to the caller by earlier attempts.
    pub prefix: Vec<Arc<str>>,
    /// Sampling seed; the same for all attempts of a request.
    pub seed: u64,
    /// Total tokens wanted, those of the prefix included.
    pub max_tokens: u32,
}

/// Body of `POST /v1/activation`, sent from one engine to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ActivationRequest {
    /// Work identity and chain.
    pub work: PipelineWork,
    /// Index in the chain of the stage that receives this.
    pub stage: usize,
    /// Position of the token being generated.
    pub position: TokenPosition,
    /// Tokens before this position, prompt included, that a stage without KV cache must prefill.
    pub context_tokens: u32,
    /// Activation that leaves the previous stage.
    pub activation: u64,
}

/// Reply to an activation: the value that leaves the last stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ActivationReply {
    /// Activation that leaves the last layer.
    pub activation: u64,
}

/// Why an engine ended a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishCause {
    /// The model generated its end token.
    Stop,
    /// The wanted number of tokens was reached.
    Length,
}

/// One server-sent event of a token stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamRecord {
    /// A generated token.
    Token {
        /// Request it belongs to.
        request: RequestId,
        /// Attempt it belongs to.
        attempt: AttemptNumber,
        /// Position within the answer.
        position: TokenPosition,
        /// Token text.
        text: Arc<str>,
    },
    /// The answer is complete.
    Finish {
        /// Request it belongs to.
        request: RequestId,
        /// Attempt it belongs to.
        attempt: AttemptNumber,
        /// Why it ended.
        cause: FinishCause,
        /// Tokens in the whole answer.
        tokens: u32,
    },
    /// A stage failed; the stream ends here.
    Broken {
        /// Request it belongs to.
        request: RequestId,
        /// Attempt it belongs to.
        attempt: AttemptNumber,
        /// Engine whose stage failed, as the reporting engine sees it.
        instance: InstanceId,
        /// What happened.
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

/// A layer range that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldStage {
    /// Model.
    pub model: ModelId,
    /// Model version.
    pub version: VersionId,
    /// Layers held.
    pub layers: LayerRange,
    /// True once the weights are loaded.
    pub ready: bool,
}

impl HeldStage {
    /// True when this is the stage that `placement` asks for.
    pub fn matches(&self, placement: &StagePlacement) -> bool {
        self.model == placement.model
            && self.version == placement.version
            && self.layers == placement.layers
    }
}

/// Body of `POST /v1/orders`: the complete state that the engine should reach.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the sender.
    pub fence: FenceNumber,
    /// Stage to hold; absent to hold none.
    pub stage: Option<HeldStage>,
    /// Size of one layer's weights, in bytes.
    pub layer_bytes: u64,
}

/// Reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The engine works towards the ordered state.
    Accepted,
    /// The engine has seen a higher fencing number.
    Fenced,
}

/// Reply of `GET /v1/report`: an engine's load, as of some time ago.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineReport {
    /// Stages held.
    pub stages: Vec<HeldStage>,
    /// Work items waiting for a batch.
    pub queued: u32,
    /// Work items in the current batch.
    pub running: u32,
    /// Requests that the engine works for, whichever stage they are on at the moment.
    #[serde(default)]
    pub sessions: u32,
    /// Time of one step with a batch of one over the whole held range, in microseconds.
    pub step_micros: u64,
    /// Additional step time for each further item of a batch, in microseconds.
    pub item_micros: u64,
    /// Largest batch.
    pub max_batch: u32,
    /// Age of this report, in milliseconds.
    pub age_ms: u64,
    /// True when the engine refuses new requests because it shuts down.
    pub leaving: bool,
    /// Number drawn when the engine started; another one means that it has restarted.
    #[serde(default)]
    pub incarnation: u64,
}

/// What an engine does with the newest step of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StagePhase {
    /// It does not know the request.
    #[default]
    Unknown,
    /// The step waits for a batch or runs in one.
    Held,
    /// The activation was handed to the next stage, which has not answered yet.
    HandedOn,
    /// The step is over, here and behind.
    Done,
}

/// Reply of `GET /v1/progress/{request}`: how far a request has come on one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StageProgress {
    /// Newest attempt seen.
    pub attempt: AttemptNumber,
    /// Position of its newest step.
    pub position: TokenPosition,
    /// What the engine does with that step.
    pub phase: StagePhase,
    /// Time for which it has done so, in microseconds.
    pub since_micros: u64,
    /// Time for which it held the last step that it has run, in microseconds.
    #[serde(default)]
    pub held_micros: u64,
    /// Work items waiting for a batch.
    pub queued: u32,
    /// Work items in the current batch.
    pub running: u32,
    /// Number drawn when the engine started; another one means that it has restarted.
    pub incarnation: u64,
}

impl StageProgress {
    /// Progress of a request that the engine does not know.
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
