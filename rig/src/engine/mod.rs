//! Stand-in for a model engine: holds a layer range, batches, hands activations to the next stage
//! and streams tokens.

mod batcher;
mod generate;
mod knobs;
mod kv;
mod link;
mod server;
mod session;
mod stage_slot;
mod stream_fault;

pub use knobs::EngineKnobs;
pub use link::LinkKnobs;
pub use server::{EngineStandIn, LedgerEntry};
pub use stream_fault::StreamFault;
