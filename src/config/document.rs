//! The configuration document: the declaration, its placement and the versions that serve.

use crate::config::{FleetDeclaration, ModelSpec};
use crate::ids::{ConfigRevision, InstanceId, ModelId, PlanId, VersionId};
use crate::units::LayerRange;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// One engine's share of one model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
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

/// The version of a model that requests run on, while another one is being loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServingVersion {
    /// Model.
    pub model: ModelId,
    /// Version that serves until enough copies of the declared one are loaded.
    pub version: VersionId,
    /// Layers of that version.
    pub layers: u32,
    /// Size of one of its layers, in bytes.
    pub layer_bytes: u64,
}

/// Everything that is in force at one revision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Plan whose confirmation declared this.
    pub plan: PlanId,
    /// Operator who confirmed it.
    pub author: Arc<str>,
    /// What the operators declared.
    pub declaration: FleetDeclaration,
    /// Where the models are placed.
    pub placements: Vec<StagePlacement>,
    /// Models whose declared version is not serving yet.
    #[serde(default)]
    pub serving: Vec<ServingVersion>,
}

impl ConfigDocument {
    /// A declared model in the version that requests run on now.
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

    /// Size of one layer of a placed stage, in bytes; 0 when the model is not known.
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

/// One change of the configuration, as the head remembers it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Plan that made it.
    pub plan: PlanId,
    /// Who confirmed it.
    pub author: Arc<str>,
    /// Revision that it wrote; 0 while it is the newest, whose revision is the key's own.
    pub revision: ConfigRevision,
    /// What it changed, shortened.
    pub changes: Vec<Arc<str>>,
}

/// Changes that the head remembers.
pub const RECENT_CHANGES: usize = 16;
/// Lines kept of one change.
const CHANGE_LINES: usize = 6;

impl ChangeEntry {
    /// Describes a change that is about to be written.
    pub fn new(plan: &PlanId, author: &Arc<str>, lines: &[String]) -> Self {
        let mut changes: Vec<Arc<str>> = lines
            .iter()
            .take(CHANGE_LINES)
            .map(|line| Arc::from(line.as_str()))
            .collect();
        if lines.len() > CHANGE_LINES {
            changes.push(Arc::from(format!(
                "and {} more",
                lines.len() - CHANGE_LINES
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

/// The changes that a successor of the head at `base` remembers.
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
    let surplus = entries.len().saturating_sub(RECENT_CHANGES);
    entries.drain(..surplus);
    entries
}
