//! One target as the platform's list describes it.

use crate::hash::run_hash;
use crate::ids::{DomainId, InstanceId, ServiceId};
use crate::poison::CrashedRun;
use crate::targets::stats::TargetStats;
use crate::units::LayerRange;
use std::net::SocketAddr;
use std::sync::Arc;

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetPhase {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests and then exits.
    Leaving,
}

/// One target.
#[derive(Debug, Clone)]
pub struct TargetEntry {
    /// Identity of the target. A restart usually gets another, but may keep it.
    pub id: InstanceId,
    /// Start of this run in milliseconds since 1970, which tells apart the runs that have the same
    /// identity; 0 when it is not known.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Listening address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it accepts new requests according to its entry.
    pub phase: TargetPhase,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Accelerator kind, if the target holds layers of a model.
    pub card: Option<Arc<str>>,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// Statistics about the target.
    pub stats: Arc<TargetStats>,
}

impl TargetEntry {
    /// True when it accepts new requests: neither its entry nor a response of it has said that it leaves.
    pub fn is_ready(&self) -> bool {
        self.phase == TargetPhase::Ready && !self.stats.is_leaving()
    }

    /// True when both are entries of one run of a target.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms == other.started_ms
    }

    /// Hash that names this run, the same in all daemons.
    pub fn run_hash(&self) -> u64 {
        run_hash(&self.id, self.started_ms)
    }

    /// Names this run once it has crashed.
    pub fn crashed_run(&self) -> CrashedRun {
        CrashedRun(self.run_hash())
    }
}
