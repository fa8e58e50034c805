//! Placement changes that follow from the engines' reports while the declaration stays the same.

use crate::config::placement::{EngineCapacity, count_replicas, place_best_effort};
use crate::config::{ConfigDocument, ModelSpec, ServingVersion, StagePlacement};

/// Returns the successor of `document` when the listed engines or the loaded stages require another
/// placement; `None` when the placement is up to date.
///
/// The declared version of a model starts to serve once all its placed stages are loaded and form
/// at least as many replicas as the floor. Only then are the engines of the old version free for
/// further replicas.
pub fn advance_rollout(
    document: &ConfigDocument,
    engines: &[EngineCapacity],
    is_loaded: impl Fn(&StagePlacement) -> bool,
) -> Option<ConfigDocument> {
    let mut next = document.clone();
    let is_rolling_out = |row: &ServingVersion| {
        let models = &document.declaration.models;
        let spec = models.iter().find(|spec| spec.model == row.model);
        spec.is_some_and(|spec| !is_ready_to_serve(spec, &document.placements, &is_loaded))
    };
    next.serving.retain(is_rolling_out);
    let plan = place_best_effort(&next.declaration, engines, Some(&next));
    next.placements = plan.placements;
    next.serving = plan.serving;
    let changed = next.serving != document.serving || !has_same_placements(&next, document);
    changed.then_some(next)
}

/// Returns true when every placed stage of the declared version is loaded and the stages form at
/// least as many replicas as the floor, and at least one.
fn is_ready_to_serve(
    spec: &ModelSpec,
    placements: &[StagePlacement],
    is_loaded: impl Fn(&StagePlacement) -> bool,
) -> bool {
    let declared = |row: &&StagePlacement| row.model == spec.model && row.version == spec.version;
    let rows: Vec<StagePlacement> = placements.iter().filter(declared).cloned().collect();
    rows.iter().all(is_loaded) && count_replicas(&rows, spec.layers) >= spec.floor.max(1)
}

fn has_same_placements(one: &ConfigDocument, other: &ConfigDocument) -> bool {
    let held: std::collections::HashSet<&StagePlacement> = other.placements.iter().collect();
    one.placements.len() == other.placements.len()
        && one.placements.iter().all(|row| held.contains(row))
}
