//! Placement changes that follow from what engines report, without a change of the declaration.

use crate::config::placement::{EngineCapacity, count_replicas, place_best_effort};
use crate::config::{ConfigDocument, ModelSpec, ServingVersion, StagePlacement};

/// The document that should follow `document`, when the engines listed or the stages loaded call for
/// another placement; `None` when it can stay.
///
/// The declared version of a model starts to serve once all its placed stages are loaded and make at
/// least the floor; only then are the engines of the old version free for further copies.
pub fn advance_rollout(
    document: &ConfigDocument,
    engines: &[EngineCapacity],
    is_loaded: impl Fn(&StagePlacement) -> bool,
) -> Option<ConfigDocument> {
    let mut next = document.clone();
    let still_old = |row: &ServingVersion| {
        let models = &document.declaration.models;
        let spec = models.iter().find(|spec| spec.model == row.model);
        spec.is_some_and(|spec| !has_loaded(spec, &document.placements, &is_loaded))
    };
    next.serving.retain(still_old);
    let plan = place_best_effort(&next.declaration, engines, Some(&next));
    next.placements = plan.placements;
    next.serving = plan.serving;
    let changed = next.serving != document.serving || !same_rows(&next, document);
    changed.then_some(next)
}

/// True when every placed stage of the declared version is loaded and they make the floor.
fn has_loaded(
    spec: &ModelSpec,
    placements: &[StagePlacement],
    is_loaded: impl Fn(&StagePlacement) -> bool,
) -> bool {
    let declared = |row: &&StagePlacement| row.model == spec.model && row.version == spec.version;
    let rows: Vec<StagePlacement> = placements.iter().filter(declared).cloned().collect();
    rows.iter().all(is_loaded) && count_replicas(&rows, spec.layers) >= spec.floor.max(1)
}

fn same_rows(one: &ConfigDocument, other: &ConfigDocument) -> bool {
    let held: std::collections::HashSet<&StagePlacement> = other.placements.iter().collect();
    one.placements.len() == other.placements.len()
        && one.placements.iter().all(|row| held.contains(row))
}
