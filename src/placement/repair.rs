//! Makes broken chains whole with the fewest loads.

use crate::catalog::ModelShape;
use crate::paths::mark_on_full_path;
use crate::placement::plan::{LayerAssignment, PlanScope, ServerPlacement};
use crate::placement::repair_path::cheapest_repair;
use crate::placement::tiling::{tile_mixed, tile_range};
use crate::units::LayerRange;
use std::cmp::Reverse;

/// Room of a copy or filling, as a share of the room that the chain's parts have, at the least.
pub(super) const MIN_ROOM_SHARE: f64 = 0.4;
/// Share of the model's layers that a chain may lack to be repaired; beyond it a domain is planned anew,
/// as most of it must be loaded anyway.
const MAX_MISSING_SHARE: f64 = 0.5;

/// The servers of a domain as they are once chains that are not whole have been made whole. For the
/// first one any server outside it may be taken, for further ones only those that hold nothing. Each
/// pass makes at least one server useful.
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
        let useful = mark_on_full_path(&held, model.layers);
        let idle = all.iter().zip(useful).filter(|(_, useful)| !useful);
        let idle: Vec<&ServerPlacement> = idle.map(|(server, _)| *server).collect();
        let is_first = idle.len() == all.len();
        let takes_holders = is_first && scope == PlanScope::IdleServers;
        let Some(filling) = repair_chain(model, &idle, takes_holders) else {
            return servers;
        };
        for server in &mut servers {
            let filled = filling.iter().find(|assigned| assigned.id == server.id);
            server.held = filled.map(|assigned| assigned.layers).or(server.held);
        }
    }
}

/// Makes the chain whole that lacks the fewest layers. Its holes are filled by servers that hold nothing,
/// or else, if those may be taken, by servers that hold layers outside the chain. `None` when that
/// cannot be done or most of the chain is lost.
fn repair_chain(
    model: &ModelShape,
    members: &[&ServerPlacement],
    takes_holders: bool,
) -> Option<Vec<LayerAssignment>> {
    let held: Vec<LayerRange> = members.iter().filter_map(|server| server.held).collect();
    let repair = cheapest_repair(&held, model.layers);
    let missing: u32 = repair.holes.iter().map(|hole| hole.len()).sum();
    let is_lost = f64::from(missing) > f64::from(model.layers) * MAX_MISSING_SHARE;
    if repair.holes.is_empty() || is_lost {
        return None;
    }
    let is_used =
        |server: &&&ServerPlacement| server.held.is_some_and(|h| repair.used.contains(&h));
    let (used, spare): (Vec<&ServerPlacement>, Vec<&ServerPlacement>) =
        members.iter().partition(is_used);
    let room = min_room(model, &used) * MIN_ROOM_SHARE;
    let empties = spare.iter().filter(|server| server.held.is_none()).copied();
    let filling = fill_holes(model, empties.collect(), &repair.holes, room);
    filling.or_else(|| {
        let spare = Some(spare).filter(|_| takes_holders)?;
        fill_holes(model, spare, &repair.holes, room)
    })
}

/// Fills holes with free servers, the largest hole first; `None` when they do not suffice.
fn fill_holes(
    model: &ModelShape,
    mut free: Vec<&ServerPlacement>,
    holes: &[LayerRange],
    room: f64,
) -> Option<Vec<LayerAssignment>> {
    let mut holes = holes.to_vec();
    holes.sort_by_key(|hole| Reverse(hole.len()));
    let mut filling = Vec::new();
    for hole in holes {
        let tiles = tile_range(model, &mut free, hole, room)
            .or_else(|| tile_mixed(model, &mut free, hole, room))?;
        filling.extend(tiles);
    }
    Some(filling)
}

fn min_room(model: &ModelShape, holders: &[&ServerPlacement]) -> f64 {
    let rooms = holders.iter().filter_map(|server| {
        let card = model.card(&server.card)?;
        Some(model.token_capacity(card, server.held?.len()))
    });
    rooms.fold(f64::INFINITY, f64::min).min(1e9)
}
