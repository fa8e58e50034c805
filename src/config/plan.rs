//! Plans: what a declaration would change and what that would cost, made against a revision.

use crate::config::{
    ConfigDocument, EngineOffer, FleetDeclaration, PlacementError, StagePlacement, place_models,
};
use crate::ids::{ConfigRevision, PlanId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Result of making a plan.
pub type Result<T> = std::result::Result<T, PlacementError>;

/// One change that a plan makes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum PlanChange {
    /// An engine loads layers.
    Load(StagePlacement),
    /// An engine gives up layers.
    Unload(StagePlacement),
    /// Something was added to the declaration.
    Add {
        /// What was added, as `kind name`.
        item: String,
    },
    /// Something was removed from the declaration.
    Remove {
        /// What was removed, as `kind name`.
        item: String,
    },
    /// Something in the declaration differs.
    Modify {
        /// What differs, as `kind name`.
        item: String,
    },
}

/// What a plan costs.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanCost {
    /// Bytes that engines fetch from the weight store.
    pub weight_bytes: u64,
    /// Time to fetch them at the weight store's rate limit, in seconds.
    pub load_seconds: f64,
    /// Engines that serve nothing while they load.
    pub engines_loading: u32,
}

/// A plan: the document that would take effect, and what that changes and costs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetPlan {
    /// Revision that the plan was made against; confirming compares with it.
    pub base: ConfigRevision,
    /// Changes, in order.
    pub changes: Vec<PlanChange>,
    /// Cost of the changes.
    pub cost: PlanCost,
    /// Document that confirming writes.
    pub document: ConfigDocument,
}

/// Makes a plan that replaces `current` by `declaration`.
///
/// # Errors
/// [`PlacementError`] when the engines cannot hold the declared models.
pub fn make_plan(
    base: ConfigRevision,
    current: Option<&ConfigDocument>,
    declaration: FleetDeclaration,
    engines: &[EngineOffer],
    identity: (PlanId, Arc<str>),
    weight_bytes_per_second: u64,
) -> Result<FleetPlan> {
    let held = current.map_or(&[][..], |document| &document.placements);
    let placements = place_models(&declaration, engines, held)?;
    let mut changes = compare_placements(held, &placements);
    let empty = FleetDeclaration::default();
    let before = current.map_or(&empty, |document| &document.declaration);
    changes.extend(compare_declarations(before, &declaration));
    let cost = add_costs(&changes, &declaration, weight_bytes_per_second);
    let (plan, author) = identity;
    let document = ConfigDocument {
        plan,
        author,
        declaration,
        placements,
    };
    Ok(FleetPlan {
        base,
        changes,
        cost,
        document,
    })
}

fn compare_placements(before: &[StagePlacement], after: &[StagePlacement]) -> Vec<PlanChange> {
    let unloads = before
        .iter()
        .filter(|row| !after.contains(row))
        .cloned()
        .map(PlanChange::Unload);
    let loads = after
        .iter()
        .filter(|row| !before.contains(row))
        .cloned()
        .map(PlanChange::Load);
    unloads.chain(loads).collect()
}

fn compare_declarations(before: &FleetDeclaration, after: &FleetDeclaration) -> Vec<PlanChange> {
    let mut changes = Vec::new();
    let name_model = |spec: &crate::config::ModelSpec| format!("model {}", spec.model);
    changes.extend(compare_items(&before.models, &after.models, name_model));
    let name_service = |spec: &crate::config::ServiceSpec| format!("service {}", spec.service);
    changes.extend(compare_items(
        &before.services,
        &after.services,
        name_service,
    ));
    let name_team = |spec: &crate::config::TeamSpec| format!("team {}", spec.team);
    changes.extend(compare_items(&before.teams, &after.teams, name_team));
    changes
}

fn compare_items<T: PartialEq>(
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> String,
) -> Vec<PlanChange> {
    let names: BTreeSet<String> = before.iter().chain(after).map(&name).collect();
    let find = |list: &[T], wanted: &str| list.iter().position(|item| name(item) == wanted);
    let compare = |item: String| match (find(before, &item), find(after, &item)) {
        (None, Some(_)) => Some(PlanChange::Add { item }),
        (Some(_), None) => Some(PlanChange::Remove { item }),
        (Some(old), Some(new)) if before[old] != after[new] => Some(PlanChange::Modify { item }),
        _ => None,
    };
    names.into_iter().filter_map(compare).collect()
}

fn add_costs(changes: &[PlanChange], declaration: &FleetDeclaration, rate: u64) -> PlanCost {
    let mut cost = PlanCost::default();
    for change in changes {
        if let PlanChange::Load(row) = change {
            let spec = declaration
                .models
                .iter()
                .find(|spec| spec.model == row.model);
            let layer_bytes = spec.map_or(0, |spec| spec.layer_bytes);
            cost.weight_bytes += layer_bytes * u64::from(row.layers.len());
            cost.engines_loading += 1;
        }
    }
    if rate > 0 {
        cost.load_seconds = cost.weight_bytes as f64 / rate as f64;
    }
    cost
}
