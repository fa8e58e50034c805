//! The configuration document as the store keeps it: the declaration and its placement.

use crate::config::FleetDeclaration;
use crate::ids::{InstanceId, ModelId, PlanId, VersionId};
use crate::units::LayerRange;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// One engine's share of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StagePlacement {
    /// Model served.
    pub model: ModelId,
    /// Version served.
    pub version: VersionId,
    /// Engine that holds the layers.
    pub instance: InstanceId,
    /// Engine's address.
    pub address: SocketAddr,
    /// Layers held.
    pub layers: LayerRange,
}

/// The value of the configuration key.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Plan whose confirmation wrote this document.
    pub plan: PlanId,
    /// Operator who confirmed it.
    pub author: Arc<str>,
    /// What the operators declared.
    pub declaration: FleetDeclaration,
    /// Where the models are placed.
    pub placements: Vec<StagePlacement>,
}
