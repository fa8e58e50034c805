//! One target as the platform's list describes it.

use crate::ids::{DomainId, InstanceId, ServiceId};
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
    /// Identity of this run of the target; a restart gets another.
    pub id: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Listening address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it accepts new requests.
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
    /// True when it accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.phase == TargetPhase::Ready
    }
}
