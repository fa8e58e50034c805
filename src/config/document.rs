//! The configuration document: the declaration, the placement of models and the serving versions.

use crate::config::{FleetDeclaration, ModelSpec};
use crate::ids::{ConfigRevision, InstanceId, ModelId, PlanId, VersionId};
use crate::units::LayerRange;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Range of a model's layers placed on one engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StagePlacement {
    /// Model that the layers belong to.
    pub model: ModelId,
    /// Version of the model.
    pub version: VersionId,
    /// Engine that holds the layers.
    pub instance: InstanceId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Layers that the engine holds.
    pub layers: LayerRange,
}

/// Version of a model that serves requests while the declared version is being loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServingVersion {
    /// Model under rollout.
    pub model: ModelId,
    /// Version that serves until enough replicas of the declared one are loaded.
    pub version: VersionId,
    /// Number of layers of that version.
    pub layers: u32,
    /// Size of one layer of that version, in bytes.
    pub layer_bytes: u64,
}

/// Complete configuration of one revision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Plan whose confirmation wrote this document.
    pub plan: PlanId,
    /// Operator who confirmed the plan.
    pub author: Arc<str>,
    /// Declaration by the operators.
    pub declaration: FleetDeclaration,
    /// Placement of model layers on engines.
    pub placements: Vec<StagePlacement>,
    /// Models whose declared version is not serving yet.
    #[serde(default)]
    pub serving: Vec<ServingVersion>,
}

impl ConfigDocument {
    /// Returns the specification of a declared model in the version that currently serves requests.
    pub fn serving_spec(&self, spec: &ModelSpec) -> ModelSpec {
        let serving = self.serving.iter().find(|row| row.model == spec.model);
        serving.map_or_else(
            || spec.clone(),
            |row| ModelSpec {
                version: row.version.clone(),
                layers: row.layers,
                layer_bytes: row.layer_bytes,
                ..spec.clone()
            },
        )
    }

    /// Returns the size of one layer of a placed stage, in bytes; 0 for an undeclared model.
    pub fn layer_bytes(&self, row: &StagePlacement) -> u64 {
        let models = &self.declaration.models;
        let Some(spec) = models.iter().find(|spec| spec.model == row.model) else {
            return 0;
        };
        if spec.version == row.version {
            return spec.layer_bytes;
        }
        self.serving_spec(spec).layer_bytes
    }
}

/// One configuration change in the history that the head carries.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Plan that made the change.
    pub plan: PlanId,
    /// Operator who confirmed the plan, or the reconciler's author name.
    pub author: Arc<str>,
    /// Revision that the change wrote. 0 for the newest change, as its revision is known only once
    /// the head is written; it equals the revision of the configuration key.
    pub revision: ConfigRevision,
    /// One line per change, truncated to the first few.
    pub changes: Vec<Arc<str>>,
}

/// Maximum number of changes in the head's history.
pub const MAX_RECENT_CHANGES: usize = 16;
/// Maximum number of lines kept per change.
const MAX_CHANGE_LINES: usize = 6;

impl ChangeEntry {
    /// Creates the entry of a change that is about to be written.
    pub fn new(plan: &PlanId, author: &Arc<str>, lines: &[String]) -> Self {
        let mut changes: Vec<Arc<str>> = lines
            .iter()
            .take(MAX_CHANGE_LINES)
            .map(|line| Arc::from(line.as_str()))
            .collect();
        if lines.len() > MAX_CHANGE_LINES {
            changes.push(Arc::from(format!(
                "and {} more",
                lines.len() - MAX_CHANGE_LINES
            )));
        }
        Self {
            plan: plan.clone(),
            author: Arc::clone(author),
            revision: ConfigRevision(0),
            changes,
        }
    }
}

/// Returns the change history of the successor of the head at revision `base`: `recent` with its
/// last revision filled in, followed by `entry`, without the oldest surplus entries.
pub fn append_change(
    base: ConfigRevision,
    recent: &[ChangeEntry],
    entry: ChangeEntry,
) -> Vec<ChangeEntry> {
    let mut entries = recent.to_vec();
    if let Some(last) = entries.last_mut() {
        last.revision = base;
    }
    entries.push(entry);
    let surplus = entries.len().saturating_sub(MAX_RECENT_CHANGES);
    entries.drain(..surplus);
    entries
}
