//! Keeps the engines in the declared state: one daemon at a time holds the reconciler's lease and
//! sends absolute, repeatable orders that carry its fencing number.

mod leader;
mod observe;
mod orders;
mod run;

pub use leader::{LeaderElection, LeaderLease};
pub use orders::{DrainTable, ObservedEngine, OrderPlan, PlannedOrder, plan_orders};
