//! Protocol of the model engines: messages, client and token stream.

mod client;
mod messages;
mod stream;

pub use client::{EngineClient, EngineError};
pub use messages::{
    ActivationReply, ActivationRequest, CancelRequest, ChainStage, EngineOrder, EngineReport,
    FinishCause, GenerateRequest, HeldStage, OrderReply, PipelineWork, StagePhase, StageProgress,
    StreamRecord,
};
pub use stream::{EngineEvent, EngineStream};
