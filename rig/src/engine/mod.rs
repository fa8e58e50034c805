//! Stand-in for a model engine: holds a layer range, batches, hands activations to the next stage
//! and streams tokens.

mod batcher;
mod generate;
mod holding;
mod kv;
mod link;
mod server;
mod session;

pub use link::LinkKnobs;
mod mischief;

pub use mischief::StreamMischief;
pub use server::{EngineKnobs, EngineStandIn, LedgerEntry};
