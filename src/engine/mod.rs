//! Protocol of the model engines: typed messages and the token stream.

mod client;
mod stream;
mod wire;

pub use client::{EngineClient, EngineError};
pub use stream::{EngineEvent, EngineStream};
pub use wire::{
    ActivationReply, ActivationRequest, CancelRequest, ChainStage, EngineOrder, EngineReport,
    FinishCause, GenerateRequest, HeldStage, OrderReply, PipelineWork, StagePhase, StageProgress,
    StreamRecord,
};
