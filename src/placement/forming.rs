//! Forms new chains of free servers.

use crate::catalog::{CardKind, ModelShape};
use crate::placement::composition::{chain_rate, split_layers};
use crate::placement::plan::{LayerAssignment, ServerPlacement};
use crate::placement::tiling::{CardCounts, LayerTile, assign_tiles};
use crate::units::LayerRange;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A further chain is formed when its rate is at least this share of the domain's highest.
const MIN_RATE_SHARE: f64 = 0.35;
/// Limit on the accelerators of one kind in a composition; more would only lengthen the chain.
const MAX_CARDS_OF_KIND: usize = 10;

/// Forms chains of free servers while one is worthwhile. `existing_rate` is the rate of the
/// domain's existing chains.
pub(super) fn form_chains(
    model: &ModelShape,
    free: &mut Vec<&ServerPlacement>,
    plan: &mut Vec<LayerAssignment>,
    existing_rate: f64,
) {
    let mut best_rate = existing_rate;
    while let Some((chosen, rate)) = best_composition(model, free) {
        if rate < best_rate * MIN_RATE_SHARE {
            return;
        }
        best_rate = best_rate.max(rate);
        let Some(tiles) = tile_model(model, &chosen) else {
            return;
        };
        plan.extend(assign_tiles(free, tiles));
    }
}

/// The composition and rate of the next chain: the one that has the highest rate together with the
/// best further chain of the remaining servers. On a tie, the one with fewer accelerators.
fn best_composition(model: &ModelShape, free: &[&ServerPlacement]) -> Option<(CardCounts, f64)> {
    let mut available: CardCounts = BTreeMap::new();
    for server in free {
        *available.entry(Arc::clone(&server.card)).or_default() += 1;
    }
    let candidates: Vec<(CardCounts, f64)> = compositions(&available)
        .into_iter()
        .map(|counts| {
            let rate = chain_rate(model, &cards_of(model, &counts));
            (counts, rate)
        })
        .filter(|(_, rate)| *rate > 0.0)
        .collect();
    let remaining_rate = |used: &CardCounts| {
        let fits = |counts: &CardCounts| {
            counts
                .iter()
                .all(|(card, n)| n + used.get(card).unwrap_or(&0) <= available[card])
        };
        let rates = candidates
            .iter()
            .filter(|(counts, _)| fits(counts))
            .map(|(_, rate)| *rate);
        rates.fold(0.0, f64::max)
    };
    let total = |(counts, rate): &(CardCounts, f64)| rate + remaining_rate(counts);
    let mut best: Option<(f64, &(CardCounts, f64))> = None;
    for candidate in &candidates {
        let sum = total(candidate);
        let size = |(counts, _): &(CardCounts, f64)| counts.values().sum::<usize>();
        let better = best.is_none_or(|(most, held)| {
            let tie = (sum - most).abs() < 1e-9 && size(candidate) < size(held);
            sum > most + 1e-9 || tie
        });
        if better {
            best = Some((sum, candidate));
        }
    }
    best.map(|(_, candidate)| candidate.clone())
}

/// All counts of accelerators up to the available ones.
fn compositions(available: &CardCounts) -> Vec<CardCounts> {
    let mut found = vec![CardCounts::new()];
    for (card, most) in available {
        let grow = |counts: &CardCounts| {
            let counts = counts.clone();
            (0..=(*most).min(MAX_CARDS_OF_KIND)).map(move |n| {
                let mut next = counts.clone();
                next.insert(Arc::clone(card), n);
                next
            })
        };
        found = found.iter().flat_map(grow).collect();
    }
    found
}

fn cards_of<'a>(model: &'a ModelShape, counts: &CardCounts) -> Vec<&'a CardKind> {
    let kinds = counts
        .iter()
        .filter_map(|(name, n)| model.card(name).map(|card| (card, *n)));
    kinds
        .flat_map(|(card, n)| std::iter::repeat_n(card, n))
        .collect()
}

/// Layer ranges of a whole model for a composition, fastest accelerators first.
fn tile_model(model: &ModelShape, counts: &CardCounts) -> Option<Vec<LayerTile>> {
    let mut cards = cards_of(model, counts);
    cards.sort_by(|a, b| a.step_factor.total_cmp(&b.step_factor));
    let (held, _capacity) = split_layers(model, &cards)?;
    let mut from = 0;
    let tiles = cards.iter().zip(held).map(|(card, layers)| {
        let layers = LayerRange::new(from, from + layers);
        from = layers.to;
        (Arc::clone(&card.name), layers)
    });
    Some(tiles.collect())
}
