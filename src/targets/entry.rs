//! One target as the platform's list describes it.

use crate::ids::{DomainId, InstanceId, ServiceId};
use crate::targets::stats::TargetStats;
use crate::units::LayerRange;
use std::net::SocketAddr;
use std::sync::Arc;

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetPhase {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// One target.
#[derive(Debug, Clone)]
pub struct TargetEntry {
    /// Identity of this start of the target.
    pub id: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it takes new requests.
    pub phase: TargetPhase,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Kind of accelerator, if it holds layers of a model.
    pub card: Option<Arc<str>>,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// What this daemon's requests made of it.
    pub stats: Arc<TargetStats>,
}

impl TargetEntry {
    /// True when it takes new requests.
    pub fn is_ready(&self) -> bool {
        self.phase == TargetPhase::Ready
    }
}
