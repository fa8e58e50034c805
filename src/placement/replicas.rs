//! What servers hold that no chain needs: faster runs of parts, and copies.

use crate::catalog::{CardKind, ModelShape};
use crate::ids::InstanceId;
use crate::paths::{PathSegment, cheapest_path};
use crate::placement::plan::{LayerAssignment, ServerPlacement};
use crate::placement::repair::MIN_ROOM_SHARE;
use crate::placement::tiling::tile_range;
use crate::units::LayerRange;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Usual requests for which a server that takes parts over must have room.
const TAKEOVER_REQUESTS: f64 = 25.0;
/// Time of a token through the fastest chain after a take-over, as a share of the time before it, from
/// which it is worth the load.
const TAKEOVER_TIME_RATIO: f64 = 0.95;

/// Lets free servers hold runs of parts that slower servers hold, so that the fastest chain gets faster:
/// a fast server that returns takes its place again without any other server changing its layers.
pub(super) fn take_over(
    model: &ModelShape,
    members: &[&ServerPlacement],
    free: &mut Vec<&ServerPlacement>,
    plan: &mut Vec<LayerAssignment>,
) {
    let weighed = |assigned: &LayerAssignment| {
        let card = card_of(model, members, &assigned.id)?;
        Some(PathSegment::on_accelerator(assigned.layers, card))
    };
    let mut parts: Vec<PathSegment> = plan.iter().filter_map(weighed).collect();
    let speed =
        |server: &ServerPlacement| model.card(&server.card).map_or(f64::MAX, |c| c.step_factor);
    free.sort_by(|a, b| speed(a).total_cmp(&speed(b)).then(a.id.cmp(&b.id)));
    free.retain(|server| {
        let Some(card) = model.card(&server.card) else {
            return true;
        };
        let Some(layers) = best_takeover(model, card, &parts) else {
            return true;
        };
        parts.push(PathSegment::on_accelerator(layers, card));
        plan.push(LayerAssignment {
            id: server.id.clone(),
            layers,
        });
        false
    });
}

/// The run of parts with which a card makes the fastest chain faster by the most.
fn best_takeover(model: &ModelShape, card: &CardKind, parts: &[PathSegment]) -> Option<LayerRange> {
    let (before, _) = cheapest_path(parts, model.layers)?;
    let most = model.max_layers(card, model.mean_context_tokens() * TAKEOVER_REQUESTS);
    let cuts: BTreeSet<u32> = parts
        .iter()
        .flat_map(|part| [part.layers.from, part.layers.to])
        .collect();
    let mut best: Option<(f64, LayerRange)> = None;
    for from in &cuts {
        for to in cuts.range(from + 1..=from + most) {
            let layers = LayerRange::new(*from, *to);
            let mut with = parts.to_vec();
            with.push(PathSegment::on_accelerator(layers, card));
            let (after, _) = cheapest_path(&with, model.layers)?;
            let gains = after < before * TAKEOVER_TIME_RATIO;
            if gains && best.is_none_or(|(least, _)| after < least) {
                best = Some((after, layers));
            }
        }
    }
    best.map(|(_, layers)| layers)
}

/// Lets free servers hold copies of parts that no other server of the domain holds, the
/// largest first.
pub(super) fn replicate_parts(
    model: &ModelShape,
    members: &[&ServerPlacement],
    free: &mut Vec<&ServerPlacement>,
    plan: &mut Vec<LayerAssignment>,
) {
    let mut parts: Vec<(LayerRange, f64)> = Vec::new();
    for assigned in plan.iter() {
        let card = card_of(model, members, &assigned.id);
        let room = card.map_or(0.0, |card| {
            model.token_capacity(card, assigned.layers.len())
        });
        parts.push((assigned.layers, room));
    }
    // What is left of a copy is made whole before another copy is begun.
    let started_layers = |part: LayerRange| -> u32 {
        let inside = free.iter().filter_map(|server| server.held);
        inside
            .filter(|h| contains(part, *h))
            .map(LayerRange::len)
            .sum()
    };
    parts.sort_by_key(|(part, _)| Reverse((started_layers(*part), part.len(), Reverse(*part))));
    parts.dedup_by(|a, b| a.0 == b.0);
    let held: Vec<LayerRange> = plan.iter().map(|assigned| assigned.layers).collect();
    for (range, room) in parts {
        let replicas = held.iter().filter(|other| **other == range).count();
        let is_piece = held.iter().any(|other| contains(*other, range));
        if replicas > 1 || is_piece || is_covered_by_parts(&held, range) {
            continue;
        }
        if let Some(replica) = tile_range(model, free, range, room * MIN_ROOM_SHARE) {
            plan.extend(replica);
        }
    }
}

/// True when `inner` is a part of `outer`, not all of it: a server that helps to copy `outer` holds it.
fn contains(outer: LayerRange, inner: LayerRange) -> bool {
    outer != inner && outer.from <= inner.from && inner.to <= outer.to
}

/// True when ranges inside `range`, not all of it, already tile it.
fn is_covered_by_parts(held: &[LayerRange], range: LayerRange) -> bool {
    let mut next = range.from;
    while next < range.to {
        let inner = held
            .iter()
            .filter(|part| part.from == next && part.to <= range.to);
        let Some(part) = inner
            .filter(|part| **part != range)
            .max_by_key(|part| part.to)
        else {
            return false;
        };
        next = part.to;
    }
    true
}

/// The kind of a server.
fn card_of<'a>(
    model: &'a ModelShape,
    members: &[&ServerPlacement],
    id: &InstanceId,
) -> Option<&'a CardKind> {
    let server = members.iter().find(|server| &server.id == id)?;
    model.card(&server.card)
}
