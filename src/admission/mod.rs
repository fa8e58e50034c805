//! Admission: token limits of teams, fair sharing between teams, priority classes, and a
//! concurrency limit that follows the observed gap between tokens. A request that cannot start in
//! time is refused at once.

mod bucket;
mod gate;
mod limit;
mod metrics;
mod plugin;
mod queue;
mod settings;
mod sharing;

pub use bucket::{BucketOutcome, TokenBucket};
pub use gate::{AdmissionGate, AdmissionPermit, AdmissionRequest};
pub use limit::{ConcurrencyLimit, LimitSettings};
pub use queue::{AdmissionDecision, AdmissionTicket, FairQueue, QueueRequest, QueueSettings};
pub use settings::{ADMISSION_TABLE, AdmissionSettings};
pub use sharing::{DemandReport, DemandRow, DemandTable};
