//! Puts ranges of layers on servers.

use crate::catalog::ModelShape;
use crate::placement::plan::{LayerAssignment, ServerPlacement};
use crate::units::LayerRange;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most servers that together copy one part.
const MAX_REPLICA_SERVERS: usize = 4;

/// A range of layers and the kind of server that is to hold it.
pub(super) type LayerTile = (Arc<str>, LayerRange);

pub(super) type CardCounts = BTreeMap<Arc<str>, usize>;

/// Gives each tile to a free server of its kind: one that holds those layers already, else one that
/// holds none, else any. There are enough of them.
pub(super) fn assign_tiles(
    free: &mut Vec<&ServerPlacement>,
    tiles: Vec<LayerTile>,
) -> Vec<LayerAssignment> {
    let holds: [fn(&ServerPlacement, LayerRange) -> bool; 3] = [
        |server, layers| server.held == Some(layers),
        |server, _| server.held.is_none(),
        |_, _| true,
    ];
    let mut plan = Vec::new();
    let mut remaining = tiles;
    for fits in holds {
        remaining.retain(|(kind, layers)| {
            let found = free
                .iter()
                .position(|server| &server.card == kind && fits(server, *layers));
            if let Some(index) = found {
                plan.push(LayerAssignment {
                    id: free.remove(index).id.clone(),
                    layers: *layers,
                });
            }
            found.is_none()
        });
    }
    plan
}

/// Tiles a range with as few free servers of one kind as have room for `room` tokens.
pub(super) fn tile_range(
    model: &ModelShape,
    free: &mut Vec<&ServerPlacement>,
    range: LayerRange,
    room: f64,
) -> Option<Vec<LayerAssignment>> {
    let kinds: BTreeSet<Arc<str>> = free.iter().map(|server| Arc::clone(&server.card)).collect();
    let mut best: Option<(usize, f64, Arc<str>)> = None;
    for kind in kinds {
        let Some(card) = model.card(&kind) else {
            continue;
        };
        let most = model.max_layers(card, room.max(model.mean_context_tokens()));
        if most == 0 {
            continue;
        }
        let needed = range.len().div_ceil(most) as usize;
        let available = free.iter().filter(|server| server.card == kind).count();
        if needed > available.min(MAX_REPLICA_SERVERS) {
            continue;
        }
        let cost = needed as f64 * card.memory_bytes;
        if best.as_ref().is_none_or(|(_, least, _)| cost < *least) {
            best = Some((needed, cost, kind));
        }
    }
    let (needed, _, kind) = best?;
    let mut from = range.from;
    let tiles = (1..=needed as u32).rev().map(|left| {
        let layers = LayerRange::new(from, from + (range.to - from).div_ceil(left));
        from = layers.to;
        (Arc::clone(&kind), layers)
    });
    Some(assign_tiles(free, tiles.collect()))
}

/// Tiles a range with free servers of any kinds, those with the most room first.
pub(super) fn tile_mixed(
    model: &ModelShape,
    free: &mut Vec<&ServerPlacement>,
    range: LayerRange,
    room: f64,
) -> Option<Vec<LayerAssignment>> {
    let room = room.max(model.mean_context_tokens());
    let most = |server: &ServerPlacement| {
        let card = model.card(&server.card);
        card.map_or(0, |card| model.max_layers(card, room))
    };
    let mut by_room = free.clone();
    by_room.sort_by(|a, b| most(b).cmp(&most(a)).then(a.id.cmp(&b.id)));
    let mut next = range.from;
    let mut tiles = Vec::new();
    for server in by_room.into_iter().take(MAX_REPLICA_SERVERS) {
        let to = range.to.min(next + most(server));
        if to > next {
            tiles.push(LayerAssignment {
                id: server.id.clone(),
                layers: LayerRange::new(next, to),
            });
        }
        next = to;
    }
    if next < range.to {
        return None;
    }
    free.retain(|server| !tiles.iter().any(|tile| tile.id == server.id));
    Some(tiles)
}
