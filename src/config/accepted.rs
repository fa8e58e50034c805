//! An accepted configuration with the indexes that the request path reads.

use crate::config::{
    ConfigDocument, ModelSpec, ServiceSpec, StagePlacement, TeamSpec, TokenDigest,
};
use crate::ids::{ConfigRevision, ModelId, ServiceId};
use std::collections::HashMap;
use std::sync::Arc;

/// A model with the placements of the version that serves: the declared one, or its predecessor
/// until enough copies of the declared one are loaded.
#[derive(Debug, Clone)]
pub struct ModelEntry {
    /// Model in the version that serves.
    pub spec: ModelSpec,
    /// Engines that hold its layers, in declared order.
    pub placements: Vec<StagePlacement>,
}

/// One accepted configuration, immutable and shared by all requests that started under it.
#[derive(Debug)]
pub struct AcceptedConfig {
    revision: ConfigRevision,
    document: ConfigDocument,
    teams: HashMap<TokenDigest, Arc<TeamSpec>>,
    models: HashMap<ModelId, Arc<ModelEntry>>,
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
}

impl AcceptedConfig {
    /// Builds the indexes of `document`, which the store holds at `revision`.
    pub fn new(revision: ConfigRevision, document: ConfigDocument) -> Self {
        let declaration = &document.declaration;
        let teams = declaration.teams.iter().filter_map(index_team).collect();
        let models = declaration
            .models
            .iter()
            .map(|spec| index_model(spec, &document))
            .collect();
        let services = declaration
            .services
            .iter()
            .map(|spec| (spec.service.clone(), Arc::new(spec.clone())))
            .collect();
        Self {
            revision,
            document,
            teams,
            models,
            services,
        }
    }

    /// Revision of the configuration key.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// The document itself.
    pub fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Team whose token has the given digest.
    pub fn team(&self, digest: &TokenDigest) -> Option<&Arc<TeamSpec>> {
        let (known, team) = self.teams.get_key_value(digest)?;
        known.matches(digest).then_some(team)
    }

    /// Entry of a declared model.
    pub fn model(&self, model: &ModelId) -> Option<&Arc<ModelEntry>> {
        self.models.get(model)
    }

    /// All declared models.
    pub fn models(&self) -> impl Iterator<Item = &Arc<ModelEntry>> {
        self.models.values()
    }

    /// Entry of a declared service.
    pub fn service(&self, service: &ServiceId) -> Option<&Arc<ServiceSpec>> {
        self.services.get(service)
    }
}

fn index_team(spec: &TeamSpec) -> Option<(TokenDigest, Arc<TeamSpec>)> {
    let digest = spec.token_sha256.parse().ok()?;
    Some((digest, Arc::new(spec.clone())))
}

fn index_model(spec: &ModelSpec, document: &ConfigDocument) -> (ModelId, Arc<ModelEntry>) {
    let spec = document.serving_spec(spec);
    let serves = |row: &&StagePlacement| row.model == spec.model && row.version == spec.version;
    let placements = document.placements.iter().filter(serves).cloned().collect();
    (
        spec.model.clone(),
        Arc::new(ModelEntry { spec, placements }),
    )
}
