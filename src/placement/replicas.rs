//! Layers for servers that no chain needs: runs of consecutive parts that make the fastest chain
//! faster, and replicas.

use crate::catalog::{CardKind, ModelShape};
use crate::ids::InstanceId;
use crate::paths::{PathSegment, cheapest_path};
use crate::placement::plan::{LayerAssignment, ServerPlacement};
use crate::placement::repair::MIN_CAPACITY_SHARE;
use crate::placement::tiling::tile_range;
use crate::units::LayerRange;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// A server that takes parts over must have capacity for this many requests of usual size.
const TAKEOVER_REQUESTS: f64 = 25.0;
/// A takeover is worth the load when it reduces the token time of the fastest chain to at most this
/// share.
const TAKEOVER_TIME_RATIO: f64 = 0.95;

/// Assigns to free servers runs of parts that slower servers hold, so that the fastest chain gets
/// faster: a fast server that returns resumes its part while every other server keeps its layers.
pub(super) fn take_over(
    model: &ModelShape,
    members: &[&ServerPlacement],
    free: &mut Vec<&ServerPlacement>,
    plan: &mut Vec<LayerAssignment>,
) {
    let segment_of = |assigned: &LayerAssignment| {
        let card = card_of(model, members, &assigned.id)?;
        Some(PathSegment::on_accelerator(assigned.layers, card))
    };
    let mut parts: Vec<PathSegment> = plan.iter().filter_map(segment_of).collect();
    let speed =
        |server: &ServerPlacement| model.card(&server.card).map_or(f64::MAX, |c| c.step_factor);
    free.sort_by(|a, b| speed(a).total_cmp(&speed(b)).then(a.id.cmp(&b.id)));
    // Kinds that gain nothing with the parts as they are: other servers of them need no search.
    let mut without_gain: BTreeSet<&str> = BTreeSet::new();
    free.retain(|server| {
        let Some(card) = model.card(&server.card) else {
            return true;
        };
        if without_gain.contains(&*card.name) {
            return true;
        }
        let Some(layers) = best_takeover(model, card, &parts) else {
            without_gain.insert(&card.name);
            return true;
        };
        without_gain.clear();
        parts.push(PathSegment::on_accelerator(layers, card));
        plan.push(LayerAssignment {
            id: server.id.clone(),
            layers,
        });
        false
    });
}

/// The run of parts with which an accelerator speeds up the fastest chain the most.
fn best_takeover(model: &ModelShape, card: &CardKind, parts: &[PathSegment]) -> Option<LayerRange> {
    let (before, _) = cheapest_path(parts, model.layers)?;
    let max_layers = model.max_layers(card, model.mean_context_tokens() * TAKEOVER_REQUESTS);
    let cuts: BTreeSet<u32> = parts
        .iter()
        .flat_map(|part| [part.layers.from, part.layers.to])
        .collect();
    let mut best: Option<(f64, LayerRange)> = None;
    for from in &cuts {
        for to in cuts.range(from + 1..=from + max_layers) {
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

/// Assigns replicas of parts that no other server of the domain holds to free servers, largest part
/// first.
pub(super) fn replicate_parts(
    model: &ModelShape,
    members: &[&ServerPlacement],
    free: &mut Vec<&ServerPlacement>,
    plan: &mut Vec<LayerAssignment>,
) {
    let mut parts: Vec<(LayerRange, f64)> = Vec::new();
    for assigned in plan.iter() {
        let card = card_of(model, members, &assigned.id);
        let capacity = card.map_or(0.0, |card| {
            model.token_capacity(card, assigned.layers.len())
        });
        parts.push((assigned.layers, capacity));
    }
    // A replica of which a piece is left is completed before another one is started.
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
    for (range, capacity) in parts {
        let replicas = held.iter().filter(|other| **other == range).count();
        let is_piece = held.iter().any(|other| contains(*other, range));
        if replicas > 1 || is_piece || is_covered_by_parts(&held, range) {
            continue;
        }
        if let Some(replica) = tile_range(model, free, range, capacity * MIN_CAPACITY_SHARE) {
            plan.extend(replica);
        }
    }
}

/// True when `inner` is a proper part of `outer`: its server helps to replicate `outer`.
fn contains(outer: LayerRange, inner: LayerRange) -> bool {
    outer != inner && outer.from <= inner.from && inner.to <= outer.to
}

/// True when proper parts of `range` already cover it.
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

/// Accelerator kind of a server.
fn card_of<'a>(
    model: &'a ModelShape,
    members: &[&ServerPlacement],
    id: &InstanceId,
) -> Option<&'a CardKind> {
    let server = members.iter().find(|server| &server.id == id)?;
    model.card(&server.card)
}
