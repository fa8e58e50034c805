//! Throughput of a chain of given accelerators, and the split of a model's layers over them.

use crate::catalog::{CardKind, ModelShape};

/// Bisection steps of the search for the token capacity of a set of accelerators.
const BISECTION_STEPS: usize = 40;
/// Share of a chain's token capacity that is in use on average under load.
const MEAN_USED_SHARE: f64 = 0.8;

/// Splits the model's layers over accelerators so that all have capacity for about the same number
/// of tokens. Returns the layers of each accelerator, in the given order, and the token capacity of
/// the chain; `None` when they cannot hold the model with capacity for one request.
pub fn split_layers(model: &ModelShape, cards: &[&CardKind]) -> Option<(Vec<u32>, f64)> {
    let groups: Vec<&[&CardKind]> = cards.chunk_by(|a, b| std::ptr::eq(*a, *b)).collect();
    let fits = |tokens: f64| {
        let held = groups
            .iter()
            .map(|group| model.max_layers(group[0], tokens) * group.len() as u32);
        held.sum::<u32>() >= model.layers
    };
    let mut low = model.mean_context_tokens();
    if !fits(low) {
        return None;
    }
    let mut high =
        cards.iter().map(|card| card.memory_bytes).sum::<f64>() / model.kv_bytes_per_token;
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    let mut held: Vec<u32> = cards
        .iter()
        .map(|card| model.max_layers(card, low))
        .collect();
    let mut surplus = held.iter().sum::<u32>() - model.layers;
    // The search may place more layers than the model has; the slowest accelerators give them up.
    let mut order: Vec<usize> = (0..cards.len()).collect();
    order.sort_by(|a, b| cards[*b].step_factor.total_cmp(&cards[*a].step_factor));
    while surplus > 0 {
        for index in &order {
            if surplus > 0 && held[*index] > 1 {
                held[*index] -= 1;
                surplus -= 1;
            }
        }
        if held.iter().all(|layers| *layers <= 1) {
            break;
        }
    }
    let capacities = cards
        .iter()
        .zip(&held)
        .map(|(card, layers)| model.token_capacity(card, *layers));
    let capacity = capacities.fold(f64::INFINITY, f64::min);
    Some((held, capacity))
}

/// Requests per second that a chain of these accelerators can serve within its memory; 0 when they
/// cannot hold the model.
pub fn chain_rate(model: &ModelShape, cards: &[&CardKind]) -> f64 {
    let Some((held, capacity)) = split_layers(model, cards) else {
        return 0.0;
    };
    let streams =
        (capacity / model.mean_context_tokens() * MEAN_USED_SHARE).min(f64::from(model.max_batch));
    let batch = streams / 2.0;
    let context = batch * model.mean_context_tokens() / 1_000.0;
    let reference_ms =
        model.step_ms + model.step_ms_per_request * batch + model.step_ms_per_1k_context * context;
    let share = |layers: u32| f64::from(layers) / f64::from(model.layers);
    let cards_held = || cards.iter().zip(&held);
    let step: f64 = cards_held()
        .map(|(card, layers)| share(*layers) * card.step_factor * reference_ms)
        .sum();
    let prefill_ms = model.mean_prompt_tokens / model.prefill_tokens_per_s * 1_000.0;
    let prefill: f64 = cards_held()
        .map(|(card, layers)| share(*layers) * card.prefill_factor * prefill_ms)
        .sum();
    let seconds = (step * model.mean_answer_tokens + prefill) / 1_000.0;
    streams / seconds.max(0.001)
}
