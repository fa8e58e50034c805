//! Reconciler: brings the engines to the declared state. One daemon at a time is the leader and
//! sends the orders. An order is idempotent, as it names the complete state that an engine should
//! reach, and carries the leader's fencing number.

mod leader;
mod observe;
mod orders;
mod run;

pub use leader::{LeaderElection, LeaderLease};
pub use orders::{DrainTable, ObservedEngine, OrderPlan, PlannedOrder, plan_orders};
