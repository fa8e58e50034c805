//! Forms new chains of free servers.

use crate::catalog::{CardKind, ModelShape};
use crate::placement::composition::split_layers;
use crate::placement::plan::{LayerAssignment, ServerPlacement};
use crate::placement::search::CompositionSearch;
use crate::placement::tiling::{CardCounts, LayerTile, assign_tiles};
use crate::units::LayerRange;
use std::sync::Arc;

/// A further chain is formed when its rate is at least this share of the domain's highest.
const MIN_RATE_SHARE: f64 = 0.35;

/// Forms chains of free servers while one is worthwhile. `existing_rate` is the rate of the
/// domain's existing chains.
pub(super) fn form_chains(
    model: &ModelShape,
    search: &mut CompositionSearch<'_>,
    free: &mut Vec<&ServerPlacement>,
    plan: &mut Vec<LayerAssignment>,
    existing_rate: f64,
) {
    let mut best_rate = existing_rate;
    while let Some((chosen, rate)) = search.best_composition(&count_cards(free)) {
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

fn count_cards(servers: &[&ServerPlacement]) -> CardCounts {
    let mut counts = CardCounts::new();
    for server in servers {
        *counts.entry(Arc::clone(&server.card)).or_default() += 1;
    }
    counts
}

/// Layer ranges of a whole model for a composition, fastest accelerators first.
fn tile_model(model: &ModelShape, counts: &CardCounts) -> Option<Vec<LayerTile>> {
    let kinds = counts
        .iter()
        .filter_map(|(name, count)| model.card(name).map(|card| (card, *count)));
    let mut cards: Vec<&CardKind> = kinds
        .flat_map(|(card, count)| std::iter::repeat_n(card, count))
        .collect();
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
