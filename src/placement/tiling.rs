//! Assigns ranges of layers to servers.

use crate::catalog::ModelShape;
use crate::placement::plan::{LayerAssignment, ServerPlacement};
use crate::units::LayerRange;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Limit on the servers that together hold the replica of one part.
const MAX_REPLICA_SERVERS: usize = 4;

/// A range of layers and the kind of server that holds it.
pub(super) type LayerTile = (Arc<str>, LayerRange);

/// Number of accelerators of each kind.
pub(super) type CardCounts = BTreeMap<Arc<str>, usize>;

/// Assigns each tile to a free server of its kind: preferably one that already holds those layers,
/// then one that holds none, then any. The caller ensures that there are enough.
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

/// Tiles a range with as few free servers of one kind as have capacity for `capacity` tokens each.
/// Chooses the kind for which the fewest bytes of accelerator memory suffice.
pub(super) fn tile_range(
    model: &ModelShape,
    free: &mut Vec<&ServerPlacement>,
    range: LayerRange,
    capacity: f64,
) -> Option<Vec<LayerAssignment>> {
    let kinds: BTreeSet<Arc<str>> = free.iter().map(|server| Arc::clone(&server.card)).collect();
    let mut best: Option<(usize, f64, Arc<str>)> = None;
    for kind in kinds {
        let Some(card) = model.card(&kind) else {
            continue;
        };
        let max_layers = model.max_layers(card, capacity.max(model.mean_context_tokens()));
        if max_layers == 0 {
            continue;
        }
        let needed = range.len().div_ceil(max_layers) as usize;
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

/// Tiles a range with free servers of any kinds, those with the most capacity first.
pub(super) fn tile_mixed(
    model: &ModelShape,
    free: &mut Vec<&ServerPlacement>,
    range: LayerRange,
    capacity: f64,
) -> Option<Vec<LayerAssignment>> {
    let capacity = capacity.max(model.mean_context_tokens());
    let max_layers = |server: &ServerPlacement| {
        let card = model.card(&server.card);
        card.map_or(0, |card| model.max_layers(card, capacity))
    };
    let mut by_capacity = free.clone();
    by_capacity.sort_by(|a, b| max_layers(b).cmp(&max_layers(a)).then(a.id.cmp(&b.id)));
    let mut next = range.from;
    let mut tiles = Vec::new();
    for server in by_capacity.into_iter().take(MAX_REPLICA_SERVERS) {
        let to = range.to.min(next + max_layers(server));
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
