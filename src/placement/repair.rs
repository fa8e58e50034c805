//! Repairs incomplete chains with the fewest layers loaded.

use crate::catalog::ModelShape;
use crate::paths::mark_on_full_path;
use crate::placement::plan::{LayerAssignment, PlanScope, ServerPlacement};
use crate::placement::repair_path::cheapest_repair;
use crate::placement::tiling::{tile_mixed, tile_range};
use crate::units::LayerRange;
use std::cmp::Reverse;

/// Least token capacity of a replica or filling, as a share of the capacity of the parts it goes
/// with.
pub(super) const MIN_CAPACITY_SHARE: f64 = 0.4;
/// Largest share of the model's layers that a repaired chain may lack. Beyond it a domain is
/// planned from scratch, as most of it must be loaded anyway.
const MAX_MISSING_SHARE: f64 = 0.5;

/// Returns the servers of a domain as they are once incomplete chains are repaired. For the first
/// chain, any server outside it may be used, if `scope` allows; for further ones only servers
/// without layers. The loop ends, as each pass adds at least one server to a complete chain.
pub(super) fn repair_chains(
    model: &ModelShape,
    members: &[&ServerPlacement],
    scope: PlanScope,
) -> Vec<ServerPlacement> {
    let mut servers: Vec<ServerPlacement> =
        members.iter().map(|server| (*server).clone()).collect();
    loop {
        let all: Vec<&ServerPlacement> = servers.iter().collect();
        let held: Vec<Option<LayerRange>> = all.iter().map(|server| server.held).collect();
        let on_full_path = mark_on_full_path(&held, model.layers);
        let idle = all
            .iter()
            .zip(on_full_path)
            .filter(|(_, on_full_path)| !on_full_path);
        let idle: Vec<&ServerPlacement> = idle.map(|(server, _)| *server).collect();
        let is_first = idle.len() == all.len();
        let may_move_holders = is_first && scope == PlanScope::IdleServers;
        let Some(filling) = repair_chain(model, &idle, may_move_holders) else {
            return servers;
        };
        for server in &mut servers {
            let filled = filling.iter().find(|assigned| assigned.id == server.id);
            server.held = filled.map(|assigned| assigned.layers).or(server.held);
        }
    }
}

/// Repairs the chain that lacks the fewest layers. Its holes are filled by servers without layers,
/// or else, if `may_move_holders`, by servers that hold layers outside the chain. `None` when that
/// is not possible or most of the chain is lost.
fn repair_chain(
    model: &ModelShape,
    members: &[&ServerPlacement],
    may_move_holders: bool,
) -> Option<Vec<LayerAssignment>> {
    let held: Vec<LayerRange> = members.iter().filter_map(|server| server.held).collect();
    let repair = cheapest_repair(&held, model.layers);
    let missing: u32 = repair.holes.iter().map(|hole| hole.len()).sum();
    let is_mostly_lost = f64::from(missing) > f64::from(model.layers) * MAX_MISSING_SHARE;
    if repair.holes.is_empty() || is_mostly_lost {
        return None;
    }
    let is_used =
        |server: &&&ServerPlacement| server.held.is_some_and(|h| repair.used.contains(&h));
    let (used, spare): (Vec<&ServerPlacement>, Vec<&ServerPlacement>) =
        members.iter().partition(is_used);
    let capacity = min_capacity(model, &used) * MIN_CAPACITY_SHARE;
    let empties = spare.iter().filter(|server| server.held.is_none()).copied();
    let filling = fill_holes(model, empties.collect(), &repair.holes, capacity);
    filling.or_else(|| {
        let spare = Some(spare).filter(|_| may_move_holders)?;
        fill_holes(model, spare, &repair.holes, capacity)
    })
}

/// Fills holes with free servers, largest hole first; `None` when there are not enough.
fn fill_holes(
    model: &ModelShape,
    mut free: Vec<&ServerPlacement>,
    holes: &[LayerRange],
    capacity: f64,
) -> Option<Vec<LayerAssignment>> {
    let mut holes = holes.to_vec();
    holes.sort_by_key(|hole| Reverse(hole.len()));
    let mut filling = Vec::new();
    for hole in holes {
        let tiles = tile_range(model, &mut free, hole, capacity)
            .or_else(|| tile_mixed(model, &mut free, hole, capacity))?;
        filling.extend(tiles);
    }
    Some(filling)
}

fn min_capacity(model: &ModelShape, holders: &[&ServerPlacement]) -> f64 {
    let capacities = holders.iter().filter_map(|server| {
        let card = model.card(&server.card)?;
        Some(model.token_capacity(card, server.held?.len()))
    });
    capacities.fold(f64::INFINITY, f64::min).min(1e9)
}
