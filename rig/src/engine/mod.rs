//! Stand-in for a model engine: holds a layer range, batches, hands activations to the next stage
//! and streams tokens.

mod batcher;
mod generate;
mod holding;
mod knobs;
mod kv;
mod link;
mod server;
mod session;
mod stream_fault;

pub use knobs::EngineKnobs;
pub use link::LinkKnobs;
pub use server::{EngineStandIn, LedgerEntry};
pub use stream_fault::StreamFault;
