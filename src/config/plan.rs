//! Plans: the changes that a declaration makes to the configuration at a base revision, and their
//! cost.

use crate::check::CheckError;
use crate::config::placement::count_replicas;
use crate::config::{
    ConfigDocument, EngineCapacity, FleetDeclaration, ModelSpec, PlacementError, StagePlacement,
    place_models,
};
use crate::ids::{ConfigRevision, InstanceId, ModelId, PlanId, VersionId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::fmt;
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
    /// An engine unloads layers.
    Unload(StagePlacement),
    /// Something was added to the declaration.
    Add {
        /// Added item, as `kind name`.
        item: String,
    },
    /// Something was removed from the declaration.
    Remove {
        /// Removed item, as `kind name`.
        item: String,
    },
    /// Something in the declaration was modified.
    Modify {
        /// Modified item, as `kind name`.
        item: String,
    },
}

impl fmt::Display for PlanChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stage = |row: &StagePlacement| {
            let (model, version, layers) = (&row.model, &row.version, row.layers);
            format!("{}  {model} {version} layers {layers}", row.instance)
        };
        match self {
            Self::Load(row) => write!(f, "load    {}", stage(row)),
            Self::Unload(row) => write!(f, "unload  {}", stage(row)),
            Self::Add { item } => write!(f, "add     {item}"),
            Self::Remove { item } => write!(f, "remove  {item}"),
            Self::Modify { item } => write!(f, "modify  {item}"),
        }
    }
}

/// Number of replicas of a model before, during and after the change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CapacityChange {
    /// Model whose capacity changes.
    pub model: ModelId,
    /// Version that serves until the declared one is loaded.
    pub serving: VersionId,
    /// Replicas placed before the change.
    pub before: u32,
    /// Replicas that keep serving while engines load: the lower bound that the plan guarantees.
    pub during: u32,
    /// Replicas placed after the change.
    pub after: u32,
}

/// Cost of a plan.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanCost {
    /// Bytes that engines fetch from the weight store, over all steps of the rollout.
    pub weight_bytes: u64,
    /// Time to fetch them at the weight store's rate limit, in seconds.
    pub load_seconds: f64,
    /// Number of engines that serve no requests while they load.
    pub engines_loading: u32,
    /// Requests in flight on engines that unload or replace their stage; they run to completion.
    #[serde(default)]
    pub requests_to_drain: u32,
    /// Capacity of each model that the plan changes.
    #[serde(default)]
    pub capacity: Vec<CapacityChange>,
}

/// Plan: the document to put in force, with its changes and their cost.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetPlan {
    /// Revision that the plan was made against; confirming it fails when the configuration has
    /// changed since.
    pub base: ConfigRevision,
    /// Changes of placements, then of the declaration.
    pub changes: Vec<PlanChange>,
    /// Cost of the changes.
    pub cost: PlanCost,
    /// Document that is written when the plan is confirmed.
    pub document: ConfigDocument,
}

/// Inputs of [`make_plan`].
#[derive(Debug)]
pub struct PlanInputs<'a> {
    /// Revision that the plan is made against, 0 when there is no configuration yet.
    pub base: ConfigRevision,
    /// Document at that revision.
    pub current: Option<&'a ConfigDocument>,
    /// Engines in the instance list.
    pub engines: &'a [EngineCapacity],
    /// Number of requests in flight on each engine.
    pub load: &'a BTreeMap<InstanceId, u32>,
    /// Name of the plan.
    pub plan: PlanId,
    /// Operator who requests the plan.
    pub author: Arc<str>,
}

/// Makes a plan that replaces the current declaration by `declaration`.
///
/// # Errors
/// [`PlacementError`] when the engines cannot hold an added or changed model.
pub fn make_plan(inputs: PlanInputs<'_>, declaration: FleetDeclaration) -> Result<FleetPlan> {
    let placed = place_models(&declaration, inputs.engines, inputs.current)?;
    let document = ConfigDocument {
        plan: inputs.plan,
        author: inputs.author,
        declaration,
        placements: placed.placements,
        serving: placed.serving,
    };
    let changes = diff_documents(inputs.current, &document);
    let cost = compute_cost(inputs.current, &document, &changes, inputs.load);
    Ok(FleetPlan {
        base: inputs.base,
        changes,
        cost,
        document,
    })
}

/// Validates the document of a plan, which an operator may have edited since the plan was made.
///
/// # Errors
/// All faults of the declaration, or else the first placement that does not match it.
pub fn check_plan(document: &ConfigDocument) -> std::result::Result<(), String> {
    let text = serde_json::to_string(&document.declaration).expect("declarations serialize");
    FleetDeclaration::parse(&text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(CheckError::to_string).collect();
        lines.join("; ")
    })?;
    let mut engines = HashSet::new();
    for row in &document.placements {
        let models = &document.declaration.models;
        let spec = models.iter().find(|spec| spec.model == row.model);
        let spec = spec.ok_or_else(|| format!("placement of undeclared model {}", row.model))?;
        let serving = document.serving_spec(spec);
        let known = [spec, &serving]
            .into_iter()
            .any(|version| version.version == row.version && row.layers.to <= version.layers);
        if !known || row.layers.is_empty() {
            return Err(format!(
                "placement on {} does not fit the version or layers of its model",
                row.instance
            ));
        }
        if !engines.insert(&row.instance) {
            return Err(format!("engine {} is placed twice", row.instance));
        }
    }
    Ok(())
}

/// Returns the changes from one document to another: placements first, then the declaration.
pub fn diff_documents(before: Option<&ConfigDocument>, after: &ConfigDocument) -> Vec<PlanChange> {
    let held = before.map_or(&[][..], |document| &document.placements);
    let mut changes = diff_placements(held, &after.placements);
    let empty = FleetDeclaration::default();
    let declared = before.map_or(&empty, |document| &document.declaration);
    changes.extend(diff_declarations(declared, &after.declaration));
    changes
}

fn diff_placements(before: &[StagePlacement], after: &[StagePlacement]) -> Vec<PlanChange> {
    let old: HashSet<&StagePlacement> = before.iter().collect();
    let new: HashSet<&StagePlacement> = after.iter().collect();
    let unloads = before.iter().filter(|row| !new.contains(row)).cloned();
    let loads = after.iter().filter(|row| !old.contains(row)).cloned();
    let unloads = unloads.map(PlanChange::Unload);
    unloads.chain(loads.map(PlanChange::Load)).collect()
}

fn diff_declarations(before: &FleetDeclaration, after: &FleetDeclaration) -> Vec<PlanChange> {
    let mut changes = Vec::new();
    let name_model = |spec: &ModelSpec| format!("model {}", spec.model);
    changes.extend(diff_items(&before.models, &after.models, name_model));
    let name_service = |spec: &crate::config::ServiceSpec| format!("service {}", spec.service);
    changes.extend(diff_items(&before.services, &after.services, name_service));
    let name_team = |spec: &crate::config::TeamSpec| format!("team {}", spec.team);
    changes.extend(diff_items(&before.teams, &after.teams, name_team));
    if before.rollout != after.rollout {
        changes.push(PlanChange::Modify {
            item: "rollout".to_owned(),
        });
    }
    changes
}

fn diff_items<T: PartialEq>(
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> String,
) -> Vec<PlanChange> {
    let mut pairs: BTreeMap<String, (Option<&T>, Option<&T>)> = BTreeMap::new();
    for item in before {
        pairs.entry(name(item)).or_default().0 = Some(item);
    }
    for item in after {
        pairs.entry(name(item)).or_default().1 = Some(item);
    }
    let compare = |(item, pair): (String, (Option<&T>, Option<&T>))| match pair {
        (None, Some(_)) => Some(PlanChange::Add { item }),
        (Some(_), None) => Some(PlanChange::Remove { item }),
        (Some(old), Some(new)) if old != new => Some(PlanChange::Modify { item }),
        _ => None,
    };
    pairs.into_iter().filter_map(compare).collect()
}

fn compute_cost(
    before: Option<&ConfigDocument>,
    after: &ConfigDocument,
    changes: &[PlanChange],
    load: &BTreeMap<InstanceId, u32>,
) -> PlanCost {
    let mut cost = PlanCost::default();
    for change in changes {
        match change {
            PlanChange::Load(row) => {
                let bytes = after
                    .layer_bytes(row)
                    .saturating_mul(u64::from(row.layers.len()));
                cost.weight_bytes = cost.weight_bytes.saturating_add(bytes);
                cost.engines_loading += 1;
            }
            PlanChange::Unload(row) => {
                cost.requests_to_drain += load.get(&row.instance).copied().unwrap_or(0);
            }
            _ => {}
        }
    }
    for spec in &after.declaration.models {
        cost.weight_bytes = cost
            .weight_bytes
            .saturating_add(deferred_bytes(after, spec));
        cost.capacity.extend(capacity_change(before, after, spec));
    }
    let rate = after.declaration.rollout.weight_bytes_per_second.max(1);
    cost.load_seconds = cost.weight_bytes as f64 / rate as f64;
    cost
}

/// Returns the weight bytes of the replicas that can only be placed once the old version is
/// unloaded.
fn deferred_bytes(after: &ConfigDocument, spec: &ModelSpec) -> u64 {
    let placed = count_placed_replicas(after, spec, &spec.version);
    let replica_bytes = spec.layer_bytes.saturating_mul(u64::from(spec.layers));
    replica_bytes.saturating_mul(u64::from(spec.replicas.saturating_sub(placed)))
}

fn capacity_change(
    before: Option<&ConfigDocument>,
    after: &ConfigDocument,
    spec: &ModelSpec,
) -> Option<CapacityChange> {
    let old = before.and_then(|document| {
        let models = &document.declaration.models;
        let declared = models.iter().find(|old| old.model == spec.model)?;
        Some((document, document.serving_spec(declared)))
    });
    let placed = old.as_ref().map_or(0, |(document, serving)| {
        count_placed_replicas(document, serving, &serving.version)
    });
    let serving = after.serving_spec(spec);
    let kept_rows: Vec<StagePlacement> = after
        .placements
        .iter()
        .filter(|row| before.is_some_and(|document| document.placements.contains(row)))
        .filter(|row| row.model == spec.model && row.version == serving.version)
        .cloned()
        .collect();
    let change = CapacityChange {
        model: spec.model.clone(),
        serving: serving.version.clone(),
        before: placed,
        during: count_replicas(&kept_rows, serving.layers),
        after: spec.replicas,
    };
    let same_version = old.is_some_and(|(_, old)| old.version == spec.version);
    let unchanged = same_version && change.before == change.during && change.during == change.after;
    (!unchanged).then_some(change)
}

fn count_placed_replicas(document: &ConfigDocument, spec: &ModelSpec, version: &VersionId) -> u32 {
    let rows = document.placements.iter();
    let rows = rows.filter(|row| row.model == spec.model && row.version == *version);
    let rows: Vec<StagePlacement> = rows.cloned().collect();
    count_replicas(&rows, spec.layers)
}
