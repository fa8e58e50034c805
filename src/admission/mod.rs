//! Admission: token limits of teams, fair sharing between teams, priority classes, and a
//! concurrency limit that follows the observed gap between tokens. A request that cannot start in
//! time is refused at once.

mod bucket;
mod capacity;
mod gate;
mod headroom;
mod limit;
mod metrics;
mod order;
mod plugin;
mod queue;
mod rate;
mod settings;
mod sharing;

pub use bucket::{BucketOutcome, TokenBucket};
pub use capacity::{CapacityQueue, CapacityRequest, CapacityStep, PriorityDemand, QueueBacklog};
pub use gate::{AdmissionGate, AdmissionPermit, AdmissionRequest};
pub use headroom::priority_headroom;
pub use limit::{ConcurrencyLimit, LimitSettings};
pub use order::{AdmissionTicket, FairOrder, QueueOrder};
pub use queue::{AdmissionDecision, FairQueue, QueueRequest, QueueSettings};
pub use settings::{ADMISSION_TABLE, AdmissionSettings};
pub use sharing::{DemandReport, DemandRow, DemandTable};
