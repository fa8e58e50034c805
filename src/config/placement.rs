//! Places the layers of declared models on the engines that the platform lists.
//!
//! A version change is rolled out in steps: while the new version loads, as many replicas of the
//! old version as the floor requires stay placed and serve requests.

use crate::config::{ConfigDocument, FleetDeclaration, ModelSpec, ServingVersion, StagePlacement};
use crate::ids::{DomainId, InstanceId, ModelId};
use crate::units::LayerRange;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

/// Result of placing models.
pub type Result<T> = std::result::Result<T, PlacementError>;

/// Reason why a model cannot be placed as declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementError {
    /// The remaining engines cannot hold another replica of the model.
    OutOfCapacity {
        /// Model with too few replicas.
        model: ModelId,
        /// Number of replicas that fit.
        placed: u32,
        /// Number of replicas declared.
        wanted: u32,
    },
    /// The engines cannot hold the floor of the old version and that of the new version at the same
    /// time.
    FloorUnreachable {
        /// Model whose version would change.
        model: ModelId,
        /// Number of replicas of the new version that fit beside the floor of the old version.
        placed: u32,
        /// Minimum number of replicas that must stay available.
        floor: u32,
    },
}

impl PlacementError {
    /// Returns the model that does not fit.
    pub fn model(&self) -> &ModelId {
        match self {
            Self::OutOfCapacity { model, .. } | Self::FloorUnreachable { model, .. } => model,
        }
    }
}

impl fmt::Display for PlacementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfCapacity {
                model,
                placed,
                wanted,
            } => write!(
                f,
                "model {model}: the engines can hold {placed} of {wanted} replicas"
            ),
            Self::FloorUnreachable {
                model,
                placed,
                floor,
            } => write!(
                f,
                "model {model}: beside a floor of {floor} replicas of the current version, the \
                 engines can hold {placed} of the new version; lower the floor or add engines"
            ),
        }
    }
}

impl std::error::Error for PlacementError {}

/// Engine available for placement, with its memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Name of the engine.
    pub instance: InstanceId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
}

/// Result of placing a declaration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Placed stages, including those of old versions that still serve.
    pub placements: Vec<StagePlacement>,
    /// Models that still serve an old version.
    pub serving: Vec<ServingVersion>,
    /// Models with fewer replicas than the declaration or its floor requires.
    pub shortages: Vec<PlacementError>,
}

/// Places every declared model. Fails only for shortages of models that the declaration adds or
/// changes, so that a shortage of an unchanged model does not block other changes.
///
/// # Errors
/// The first [`PlacementError`] of an added or changed model.
pub fn place_models(
    declaration: &FleetDeclaration,
    engines: &[EngineCapacity],
    current: Option<&ConfigDocument>,
) -> Result<PlacementPlan> {
    let plan = place_best_effort(declaration, engines, current);
    let before = current.map_or(&[][..], |document| &document.declaration.models);
    let changes = |cause: &&PlacementError| {
        let wanted = declaration
            .models
            .iter()
            .find(|spec| spec.model == *cause.model());
        wanted.is_some_and(|spec| !before.contains(spec))
    };
    match plan.shortages.iter().find(changes) {
        Some(cause) => Err(cause.clone()),
        None => Ok(plan),
    }
}

/// Places as many replicas of every declared model as fit, and reports the rest as shortages.
///
/// Engines that hold a stage keep it, the stage of a lost engine moves to a spare engine, and a
/// replica stays within one failure domain where that domain has enough engines.
pub fn place_best_effort(
    declaration: &FleetDeclaration,
    engines: &[EngineCapacity],
    current: Option<&ConfigDocument>,
) -> PlacementPlan {
    let mut pool = EnginePool::new(engines);
    let held = current.map_or(&[][..], |document| &document.placements);
    let mut plan = PlacementPlan::default();
    let mut kept = Vec::new();
    for spec in &declaration.models {
        let old = current.and_then(|document| outgoing_version(document, spec));
        let old_rows = old.as_ref().map_or_else(Vec::new, |old| {
            let floor = ModelSpec {
                version: old.version.clone(),
                layers: old.layers,
                layer_bytes: old.layer_bytes,
                replicas: spec.floor,
                ..spec.clone()
            };
            pool.keep_replicas(&floor, held, false)
        });
        kept.push((spec, old.filter(|_| !old_rows.is_empty()), old_rows));
    }
    let mut new_rows: Vec<Vec<StagePlacement>> = Vec::new();
    for (spec, _, _) in &kept {
        new_rows.push(pool.keep_replicas(spec, held, true));
    }
    for ((spec, old, old_rows), mut rows) in kept.into_iter().zip(new_rows) {
        let placed = pool.add_replicas(spec, held, &mut rows);
        plan.shortages
            .extend(find_shortage(spec, placed, old.is_some()));
        plan.serving.extend(old);
        plan.placements.extend(old_rows);
        plan.placements.extend(rows);
    }
    plan
}

/// Returns the currently serving version when it differs from the one in `spec` and the floor
/// requires it to keep serving during the rollout.
fn outgoing_version(document: &ConfigDocument, spec: &ModelSpec) -> Option<ServingVersion> {
    let models = &document.declaration.models;
    let before = models.iter().find(|before| before.model == spec.model)?;
    let serving = document.serving_spec(before);
    let changes = serving.version != spec.version && spec.floor > 0;
    changes.then_some(ServingVersion {
        model: serving.model,
        version: serving.version,
        layers: serving.layers,
        layer_bytes: serving.layer_bytes,
    })
}

fn find_shortage(spec: &ModelSpec, placed: u32, has_outgoing: bool) -> Option<PlacementError> {
    if has_outgoing {
        return (placed < spec.floor).then(|| PlacementError::FloorUnreachable {
            model: spec.model.clone(),
            placed,
            floor: spec.floor,
        });
    }
    (placed < spec.replicas).then(|| PlacementError::OutOfCapacity {
        model: spec.model.clone(),
        placed,
        wanted: spec.replicas,
    })
}

/// Counts the replicas that can be assembled from `rows`, using each row once.
pub fn count_replicas(rows: &[StagePlacement], layers: u32) -> u32 {
    let mut remaining: Vec<&StagePlacement> = rows.iter().collect();
    let mut replica_count = 0;
    while take_replica(&mut remaining, layers).is_some() {
        replica_count += 1;
    }
    replica_count
}

/// Removes rows from `remaining` that together cover all layers and returns them. At each layer,
/// the row that reaches furthest is chosen. Returns `None` and leaves `remaining` unchanged when a
/// layer is not covered.
fn take_replica<'a>(
    remaining: &mut Vec<&'a StagePlacement>,
    layers: u32,
) -> Option<Vec<&'a StagePlacement>> {
    let (mut chosen, mut next_layer) = (Vec::new(), 0);
    while next_layer < layers {
        let covers =
            |row: &&&StagePlacement| row.layers.from <= next_layer && next_layer < row.layers.to;
        let widest = remaining
            .iter()
            .filter(covers)
            .max_by_key(|row| row.layers.to)?;
        next_layer = widest.layers.to;
        chosen.push(*widest);
    }
    remaining.retain(|row| !chosen.iter().any(|taken| taken.instance == row.instance));
    Some(chosen)
}

/// Engines available for placement.
struct EnginePool {
    free: HashMap<InstanceId, EngineCapacity>,
    listed: HashMap<InstanceId, SocketAddr>,
}

impl EnginePool {
    fn new(engines: &[EngineCapacity]) -> Self {
        let by_name = |engine: &EngineCapacity| (engine.instance.clone(), engine.clone());
        let address = |engine: &EngineCapacity| (engine.instance.clone(), engine.address);
        Self {
            free: engines.iter().map(by_name).collect(),
            listed: engines.iter().map(address).collect(),
        }
    }

    /// Keeps up to `spec.replicas` replicas from the stages already placed. With
    /// `keep_partial`, stages of incomplete replicas are kept as well while replicas are lacking.
    fn keep_replicas(
        &mut self,
        spec: &ModelSpec,
        held: &[StagePlacement],
        keep_partial: bool,
    ) -> Vec<StagePlacement> {
        let usable = |row: &&StagePlacement| {
            is_stage_of(row, spec)
                && row.layers.to <= spec.layers
                && self.free.contains_key(&row.instance)
        };
        let mut remaining: Vec<&StagePlacement> = held.iter().filter(usable).collect();
        let (mut kept, mut replica_count) = (Vec::new(), 0);
        while replica_count < spec.replicas {
            let Some(replica) = take_replica(&mut remaining, spec.layers) else {
                break;
            };
            kept.extend(replica.into_iter().cloned());
            replica_count += 1;
        }
        if keep_partial && replica_count < spec.replicas {
            kept.extend(remaining.into_iter().cloned());
        }
        for row in &mut kept {
            if let Some(engine) = self.free.remove(&row.instance) {
                row.address = engine.address;
            }
        }
        kept
    }

    /// Moves the stages of lost engines to spare engines, then adds replicas up to
    /// `spec.replicas`. Returns the number of replicas in `rows`.
    fn add_replicas(
        &mut self,
        spec: &ModelSpec,
        held: &[StagePlacement],
        rows: &mut Vec<StagePlacement>,
    ) -> u32 {
        let mut replica_count = count_replicas(rows, spec.layers);
        let is_lost = |row: &&StagePlacement| {
            is_stage_of(row, spec) && !self.listed.contains_key(&row.instance)
        };
        let lost: Vec<&StagePlacement> = held.iter().filter(is_lost).collect();
        let mut unmoved = Vec::new();
        for row in lost {
            if replica_count >= spec.replicas {
                break;
            }
            match self.move_stage(spec, row.layers) {
                Some(moved) => rows.push(moved),
                None => unmoved.push(row.clone()),
            }
            replica_count = count_replicas(rows, spec.layers);
        }
        while replica_count < spec.replicas {
            let Some(replica) = self.place_replica(spec) else {
                break;
            };
            rows.extend(replica);
            replica_count += 1;
        }
        if replica_count < spec.replicas {
            // Stages that could not be moved stay placed, as their engines may come back.
            rows.extend(unmoved);
        }
        replica_count
    }

    /// Places one stage on the smallest free engine that can hold it.
    fn move_stage(&mut self, spec: &ModelSpec, layers: LayerRange) -> Option<StagePlacement> {
        let bytes = spec.layer_bytes.saturating_mul(u64::from(layers.len()));
        let fitting = self
            .free
            .values()
            .filter(|engine| engine.memory_bytes >= bytes);
        let smallest = fitting.min_by_key(|engine| (engine.memory_bytes, engine.instance.clone()));
        let instance = smallest?.instance.clone();
        let engine = self.free.remove(&instance)?;
        Some(stage_on(spec, &engine, layers))
    }

    /// Places one more replica, preferring the engines of the domain with the most free memory.
    /// Returns `None` when the free engines cannot hold all layers.
    fn place_replica(&mut self, spec: &ModelSpec) -> Option<Vec<StagePlacement>> {
        let mut domain_bytes: HashMap<&DomainId, u64> = HashMap::new();
        for engine in self.free.values() {
            *domain_bytes.entry(&engine.domain).or_default() += engine.memory_bytes;
        }
        let mut order: Vec<&EngineCapacity> = self.free.values().collect();
        order.sort_by_cached_key(|engine| {
            let memory = std::cmp::Reverse(domain_bytes[&engine.domain]);
            (memory, engine.domain.clone(), engine.instance.clone())
        });
        let (mut rows, mut next_layer) = (Vec::new(), 0);
        for engine in order {
            let layer_capacity =
                (engine.memory_bytes / spec.layer_bytes).min(u64::from(spec.layers)) as u32;
            if next_layer < spec.layers && layer_capacity > 0 {
                let to = (next_layer + layer_capacity).min(spec.layers);
                rows.push(stage_on(spec, engine, LayerRange::new(next_layer, to)));
                next_layer = to;
            }
        }
        if next_layer < spec.layers {
            return None;
        }
        for row in &rows {
            self.free.remove(&row.instance);
        }
        Some(rows)
    }
}

fn is_stage_of(row: &StagePlacement, spec: &ModelSpec) -> bool {
    row.model == spec.model && row.version == spec.version
}

fn stage_on(spec: &ModelSpec, engine: &EngineCapacity, layers: LayerRange) -> StagePlacement {
    StagePlacement {
        model: spec.model.clone(),
        version: spec.version.clone(),
        instance: engine.instance.clone(),
        address: engine.address,
        layers,
    }
}
