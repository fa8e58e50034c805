//! Configuration in force, indexed for look-ups on the request path.

use crate::config::{
    ConfigDocument, ModelSpec, ServiceSpec, StagePlacement, TeamSpec, TokenDigest,
};
use crate::ids::{ConfigRevision, ModelId, ServiceId};
use std::collections::HashMap;
use std::sync::Arc;

/// Model with the placements of its serving version: the declared version, or the previous one
/// until enough replicas of the declared version are loaded.
#[derive(Debug, Clone)]
pub struct ModelEntry {
    /// Specification of the serving version.
    pub spec: ModelSpec,
    /// Engines that hold its layers, in the order of the document.
    pub placements: Vec<StagePlacement>,
}

/// Immutable configuration of one revision, shared by all requests that started under it.
#[derive(Debug)]
pub struct AcceptedConfig {
    revision: ConfigRevision,
    document: ConfigDocument,
    teams: HashMap<TokenDigest, Arc<TeamSpec>>,
    models: HashMap<ModelId, Arc<ModelEntry>>,
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
}

impl AcceptedConfig {
    /// Builds the indexes of `document`, read from the store at `revision`.
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

    /// Revision of the configuration key at which the document was written.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Configuration document of this revision.
    pub fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Returns the team whose bearer token has the given digest.
    pub fn team(&self, digest: &TokenDigest) -> Option<&Arc<TeamSpec>> {
        let (known, team) = self.teams.get_key_value(digest)?;
        known.matches(digest).then_some(team)
    }

    /// Returns the entry of a declared model.
    pub fn model(&self, model: &ModelId) -> Option<&Arc<ModelEntry>> {
        self.models.get(model)
    }

    /// Iterates over all declared models, in no particular order.
    pub fn models(&self) -> impl Iterator<Item = &Arc<ModelEntry>> {
        self.models.values()
    }

    /// Returns the entry of a declared service.
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
