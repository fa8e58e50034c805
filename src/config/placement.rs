//! Places the layers of declared models on the engines that the platform lists.
//!
//! A version change is made in steps: while the new version loads, as many copies of the old one as
//! the floor asks for stay placed and serve.

use crate::config::{ConfigDocument, FleetDeclaration, ModelSpec, ServingVersion, StagePlacement};
use crate::ids::{DomainId, InstanceId, ModelId};
use crate::units::LayerRange;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

/// Result of placing models.
pub type Result<T> = std::result::Result<T, PlacementError>;

/// Reason why a declaration cannot be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementError {
    /// The engines left cannot hold another copy of the model.
    OutOfCapacity {
        /// Model that did not fit.
        model: ModelId,
        /// Copies that did fit.
        placed: u32,
        /// Copies declared.
        wanted: u32,
    },
    /// The engines cannot hold the floor in the old and in the new version at the same time.
    FloorUnreachable {
        /// Model whose version would change.
        model: ModelId,
        /// Copies of the new version that fit beside the floor.
        placed: u32,
        /// Copies that must stay available.
        floor: u32,
    },
}

impl PlacementError {
    /// Model that does not fit.
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
                "model {model}: engines hold {placed} of {wanted} replicas"
            ),
            Self::FloorUnreachable {
                model,
                placed,
                floor,
            } => write!(
                f,
                "model {model}: beside a floor of {floor} replicas in the present version, engines \
                 hold {placed} in the new one; lower the floor or add engines"
            ),
        }
    }
}

impl std::error::Error for PlacementError {}

/// An engine that can hold layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Engine name.
    pub instance: InstanceId,
    /// Engine address.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub domain: DomainId,
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
}

/// Placements with the versions that serve meanwhile.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Rows, those of old versions that still serve included.
    pub placements: Vec<StagePlacement>,
    /// Models whose declared version does not serve yet.
    pub serving: Vec<ServingVersion>,
    /// What did not fit.
    pub shortages: Vec<PlacementError>,
}

/// Places every declared model; an error when something that the declaration changes does not fit.
/// A shortage of a model that stays as it is does not stand in the way of other changes.
///
/// # Errors
/// The first [`PlacementError`].
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

/// Places what fits of every declared model. Engines that hold a stage keep it; the stage of a lost
/// engine moves to a spare one; a copy stays within one failure domain where that has enough
/// engines.
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
        let old = current.and_then(|document| old_version(document, spec));
        let old_rows = old.as_ref().map_or_else(Vec::new, |old| {
            let floor = ModelSpec {
                version: old.version.clone(),
                layers: old.layers,
                layer_bytes: old.layer_bytes,
                replicas: spec.floor,
                ..spec.clone()
            };
            pool.keep_copies(&floor, held, false)
        });
        kept.push((spec, old.filter(|_| !old_rows.is_empty()), old_rows));
    }
    let mut new_rows: Vec<Vec<StagePlacement>> = Vec::new();
    for (spec, _, _) in &kept {
        new_rows.push(pool.keep_copies(spec, held, true));
    }
    for ((spec, old, old_rows), mut rows) in kept.into_iter().zip(new_rows) {
        let placed = pool.add_copies(spec, held, &mut rows);
        plan.shortages
            .extend(find_shortage(spec, placed, old.is_some()));
        plan.serving.extend(old);
        plan.placements.extend(old_rows);
        plan.placements.extend(rows);
    }
    plan
}

/// The version that serves now, when it differs from the one in `spec` and has to stay meanwhile.
fn old_version(document: &ConfigDocument, spec: &ModelSpec) -> Option<ServingVersion> {
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

fn find_shortage(spec: &ModelSpec, placed: u32, beside_old: bool) -> Option<PlacementError> {
    if beside_old {
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

/// Number of complete copies that can be made of `rows`, each row used once.
pub fn count_replicas(rows: &[StagePlacement], layers: u32) -> u32 {
    let mut rest: Vec<&StagePlacement> = rows.iter().collect();
    let mut copies = 0;
    while take_copy(&mut rest, layers).is_some() {
        copies += 1;
    }
    copies
}

/// Takes rows out of `rest` that together hold all layers, widest first.
fn take_copy<'a>(
    rest: &mut Vec<&'a StagePlacement>,
    layers: u32,
) -> Option<Vec<&'a StagePlacement>> {
    let (mut chosen, mut at) = (Vec::new(), 0);
    while at < layers {
        let covers = |row: &&&StagePlacement| row.layers.from <= at && at < row.layers.to;
        let widest = rest.iter().filter(covers).max_by_key(|row| row.layers.to)?;
        at = widest.layers.to;
        chosen.push(*widest);
    }
    rest.retain(|row| !chosen.iter().any(|taken| taken.instance == row.instance));
    Some(chosen)
}

/// Engines that are not taken yet.
struct EnginePool {
    free: HashMap<InstanceId, EngineCapacity>,
    listed: HashMap<InstanceId, SocketAddr>,
}

impl EnginePool {
    fn new(engines: &[EngineCapacity]) -> Self {
        let by_name = |offer: &EngineCapacity| (offer.instance.clone(), offer.clone());
        let address = |offer: &EngineCapacity| (offer.instance.clone(), offer.address);
        Self {
            free: engines.iter().map(by_name).collect(),
            listed: engines.iter().map(address).collect(),
        }
    }

    /// Keeps up to `spec.replicas` complete copies of what is held and, with `parts`, the rows of
    /// incomplete ones while copies are lacking.
    fn keep_copies(
        &mut self,
        spec: &ModelSpec,
        held: &[StagePlacement],
        parts: bool,
    ) -> Vec<StagePlacement> {
        let usable = |row: &&StagePlacement| {
            is_version(row, spec)
                && row.layers.to <= spec.layers
                && self.free.contains_key(&row.instance)
        };
        let mut rest: Vec<&StagePlacement> = held.iter().filter(usable).collect();
        let (mut kept, mut copies) = (Vec::new(), 0);
        while copies < spec.replicas {
            let Some(copy) = take_copy(&mut rest, spec.layers) else {
                break;
            };
            kept.extend(copy.into_iter().cloned());
            copies += 1;
        }
        if parts && copies < spec.replicas {
            kept.extend(rest.into_iter().cloned());
        }
        for row in &mut kept {
            if let Some(offer) = self.free.remove(&row.instance) {
                row.address = offer.address;
            }
        }
        kept
    }

    /// Moves the stages of lost engines to spare ones, then adds whole copies; the number of
    /// complete copies in `rows` afterwards.
    fn add_copies(
        &mut self,
        spec: &ModelSpec,
        held: &[StagePlacement],
        rows: &mut Vec<StagePlacement>,
    ) -> u32 {
        let mut copies = count_replicas(rows, spec.layers);
        let is_lost = |row: &&StagePlacement| {
            is_version(row, spec) && !self.listed.contains_key(&row.instance)
        };
        let lost: Vec<&StagePlacement> = held.iter().filter(is_lost).collect();
        let mut unmoved = Vec::new();
        for row in lost {
            if copies >= spec.replicas {
                break;
            }
            match self.move_stage(spec, row.layers) {
                Some(moved) => rows.push(moved),
                None => unmoved.push(row.clone()),
            }
            copies = count_replicas(rows, spec.layers);
        }
        while copies < spec.replicas {
            let Some(copy) = self.place_copy(spec) else {
                break;
            };
            rows.extend(copy);
            copies += 1;
        }
        if copies < spec.replicas {
            // Without a substitute the row stays, as its engine may come back.
            rows.extend(unmoved);
        }
        copies
    }

    /// Places one stage on the smallest free engine that can hold it.
    fn move_stage(&mut self, spec: &ModelSpec, layers: LayerRange) -> Option<StagePlacement> {
        let bytes = spec.layer_bytes.saturating_mul(u64::from(layers.len()));
        let fitting = self
            .free
            .values()
            .filter(|offer| offer.memory_bytes >= bytes);
        let smallest = fitting.min_by_key(|offer| (offer.memory_bytes, offer.instance.clone()));
        let instance = smallest?.instance.clone();
        let offer = self.free.remove(&instance)?;
        Some(place_stage(spec, &offer, layers))
    }

    /// Takes engines for one more copy, those of the domain with the most free memory first.
    fn place_copy(&mut self, spec: &ModelSpec) -> Option<Vec<StagePlacement>> {
        let mut domain_bytes: HashMap<&DomainId, u64> = HashMap::new();
        for offer in self.free.values() {
            *domain_bytes.entry(&offer.domain).or_default() += offer.memory_bytes;
        }
        let mut order: Vec<&EngineCapacity> = self.free.values().collect();
        order.sort_by_cached_key(|offer| {
            let memory = std::cmp::Reverse(domain_bytes[&offer.domain]);
            (memory, offer.domain.clone(), offer.instance.clone())
        });
        let (mut rows, mut next_layer) = (Vec::new(), 0);
        for offer in order {
            let room = (offer.memory_bytes / spec.layer_bytes).min(u64::from(spec.layers)) as u32;
            if next_layer < spec.layers && room > 0 {
                let to = (next_layer + room).min(spec.layers);
                rows.push(place_stage(spec, offer, LayerRange::new(next_layer, to)));
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

fn is_version(row: &StagePlacement, spec: &ModelSpec) -> bool {
    row.model == spec.model && row.version == spec.version
}

fn place_stage(spec: &ModelSpec, offer: &EngineCapacity, layers: LayerRange) -> StagePlacement {
    StagePlacement {
        model: spec.model.clone(),
        version: spec.version.clone(),
        instance: offer.instance.clone(),
        address: offer.address,
        layers,
    }
}
