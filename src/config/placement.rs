//! Places the layers of declared models on the engines that the platform lists.

use crate::config::{FleetDeclaration, ModelSpec, StagePlacement};
use crate::ids::{DomainId, InstanceId, ModelId};
use crate::units::LayerRange;
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
}

impl fmt::Display for PlacementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfCapacity {
                model,
                placed,
                wanted,
            } => {
                write!(
                    f,
                    "model {model}: engines hold {placed} of {wanted} replicas"
                )
            }
        }
    }
}

impl std::error::Error for PlacementError {}

/// An engine that can hold layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOffer {
    /// Engine name.
    pub instance: InstanceId,
    /// Engine address.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub domain: DomainId,
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
}

/// Places every declared model. Engines that already hold a range keep it; a copy of a model stays
/// within one failure domain where that domain has enough engines.
///
/// # Errors
/// [`PlacementError::OutOfCapacity`] when the engines cannot hold all replicas.
pub fn place_models(
    declaration: &FleetDeclaration,
    engines: &[EngineOffer],
    held: &[StagePlacement],
) -> Result<Vec<StagePlacement>> {
    let mut free: Vec<EngineOffer> = engines.to_vec();
    let mut placements = Vec::new();
    for spec in &declaration.models {
        let kept = keep_placements(spec, held, &mut free);
        let copies = count_copies(spec, &kept);
        placements.extend(kept);
        for placed in copies..spec.replicas {
            let chain =
                place_copy(spec, &mut free).ok_or_else(|| PlacementError::OutOfCapacity {
                    model: spec.model.clone(),
                    placed,
                    wanted: spec.replicas,
                })?;
            placements.extend(chain);
        }
    }
    Ok(placements)
}

/// Number of complete copies in `rows`: the smallest count with which any layer is held.
fn count_copies(spec: &ModelSpec, rows: &[StagePlacement]) -> u32 {
    let holders = |layer: u32| {
        let holds = |row: &&StagePlacement| row.layers.from <= layer && layer < row.layers.to;
        rows.iter().filter(holds).count() as u32
    };
    (0..spec.layers).map(holders).min().unwrap_or(0)
}

fn keep_placements(
    spec: &ModelSpec,
    held: &[StagePlacement],
    free: &mut Vec<EngineOffer>,
) -> Vec<StagePlacement> {
    let mut kept: Vec<StagePlacement> = Vec::new();
    for row in held
        .iter()
        .filter(|row| row.model == spec.model && row.version == spec.version)
    {
        let Some(index) = free.iter().position(|offer| offer.instance == row.instance) else {
            continue;
        };
        let same_range = kept
            .iter()
            .filter(|other| other.layers == row.layers)
            .count() as u32;
        if same_range < spec.replicas && row.layers.to <= spec.layers {
            let offer = free.swap_remove(index);
            kept.push(StagePlacement {
                address: offer.address,
                ..row.clone()
            });
        }
    }
    kept
}

/// Takes engines from `free` for one more copy, from the domain with the most free memory.
fn place_copy(spec: &ModelSpec, free: &mut Vec<EngineOffer>) -> Option<Vec<StagePlacement>> {
    let mut order: Vec<usize> = (0..free.len()).collect();
    let domain_bytes = |domain: &DomainId| -> u64 {
        free.iter()
            .filter(|o| o.domain == *domain)
            .map(|o| o.memory_bytes)
            .sum()
    };
    order.sort_by_key(|index| {
        let offer = &free[*index];
        let memory = std::cmp::Reverse(domain_bytes(&offer.domain));
        (memory, offer.domain.clone(), offer.instance.clone())
    });
    let mut chosen = Vec::new();
    let mut next_layer = 0;
    for index in order {
        let room = (free[index].memory_bytes / spec.layer_bytes).min(u64::from(spec.layers)) as u32;
        if next_layer < spec.layers && room > 0 {
            let to = (next_layer + room).min(spec.layers);
            chosen.push((index, LayerRange::new(next_layer, to)));
            next_layer = to;
        }
    }
    if next_layer < spec.layers {
        return None;
    }
    let rows = chosen
        .iter()
        .map(|(index, layers)| place_stage(spec, &free[*index], *layers));
    let rows = rows.collect();
    let mut taken: Vec<usize> = chosen.iter().map(|(index, _)| *index).collect();
    taken.sort_unstable_by(|a, b| b.cmp(a));
    for index in taken {
        free.swap_remove(index);
    }
    Some(rows)
}

fn place_stage(spec: &ModelSpec, offer: &EngineOffer, layers: LayerRange) -> StagePlacement {
    StagePlacement {
        model: spec.model.clone(),
        version: spec.version.clone(),
        instance: offer.instance.clone(),
        address: offer.address,
        layers,
    }
}
