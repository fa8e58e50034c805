//! Which layers of a model each server holds.

mod composition;
mod forming;
mod order_scheduler;
mod outage;
mod plan;
mod repair;
mod repair_path;
mod replicas;
mod server_counts;
mod tiling;

pub use composition::{chain_rate, split_layers};
pub use order_scheduler::{OrderScheduler, PendingOrder};
pub use plan::{LayerAssignment, PlanScope, ServerPlacement, plan_layers};
