//! Targets: their entries in the platform's list, statistics about them and chains of them.

mod chain;
mod entry;
mod shedding;
mod stats;
mod view;

pub use chain::{ChainPart, LayerChain, find_chains};
pub use entry::{TargetEntry, TargetPhase};
pub use shedding::SheddingCell;
pub(crate) use stats::try_begin;
pub use stats::{ReservationGuard, TargetStats};
pub use view::{TargetView, ViewCell};
