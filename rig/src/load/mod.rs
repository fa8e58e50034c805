//! Load tool: sends requests of several teams, in an open or closed loop, to a fleet of stand-ins
//! or to running daemons, and compares the throughput with the bound that the hardware sets.

mod arrivals;
mod caller;
mod declaration;
mod experiment;
mod faults;
mod fleet;
mod latency;
mod lengths;
mod recovery;
mod runner;
mod spec;
mod summary;
mod traffic;
mod usage;
mod workload;

pub use arrivals::{ArrivalKind, ArrivalSpec, ArrivalStep, plan_arrivals};
pub use experiment::{ExperimentSpec, run_experiment};
pub use faults::{FaultKind, FaultSpec};
pub(crate) use fleet::LoadFleet;
pub use latency::{LatencyRecorder, RequestOutcome, RequestRecord};
pub use lengths::{LengthSpec, draw_length};
pub(crate) use runner::find_programs;
pub use runner::{RunTarget, run_load};
pub use spec::{EngineKind, RunMode, RunSpec, TeamLoad};
pub(crate) use summary::TIMELINE_STEP_MICROS;
pub use summary::{Percentiles, RunSummary, TeamSummary, jain_index};
pub(crate) use traffic::TrafficGroup;
pub use usage::{ProcessUsage, read_usage};
pub use workload::{PlannedRequest, RequestKind, mean_lengths, plan_workload};
