//! Placement of a model's layers on servers.

mod composition;
mod forming;
mod grid;
mod order_scheduler;
mod outage;
mod plan;
mod repair;
mod repair_path;
mod replicas;
mod search;
mod server_counts;
mod tiling;

pub use composition::{chain_rate, split_layers};
pub use order_scheduler::{OrderScheduler, PendingOrder, PlanInput, PlanStep};
pub use plan::{LayerAssignment, PlanScope, ServerPlacement, plan_layers};
