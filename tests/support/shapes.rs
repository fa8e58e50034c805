//! Models and targets for tests of routing decisions.

use arbutusmount::{CardKind, LayerRange, ModelShape, TargetEntry, TargetPhase};
use std::sync::Arc;

/// A small model on these accelerator kinds, given by name and step factor.
pub fn model_on(layers: u32, cards: &[(&str, f64)]) -> ModelShape {
    let card = |(name, step_factor): &(&str, f64)| CardKind {
        name: Arc::from(*name),
        memory_bytes: 2e10,
        step_factor: *step_factor,
        prefill_factor: 2.0,
    };
    ModelShape {
        layers,
        layer_bytes: 1e9,
        kv_bytes_per_token: 1e7,
        step_ms: 1.0,
        step_ms_per_request: 0.01,
        step_ms_per_1k_context: 0.01,
        prefill_tokens_per_s: 1e5,
        mean_prompt_tokens: 700.0,
        mean_answer_tokens: 200.0,
        max_batch: 100,
        cards: cards.iter().map(card).collect(),
    }
}

/// A ready target of the service `desk`.
pub fn ready_target(
    name: &str,
    domain: &str,
    card: &str,
    layers: Option<LayerRange>,
) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        id: name.parse().expect("an identifier"),
        started_ms: 0,
        service: "desk".parse().expect("an identifier"),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: domain.parse().expect("an identifier"),
        phase: TargetPhase::Ready,
        slots: 6,
        card: Some(Arc::from(card)),
        layers,
        stats: Arc::default(),
    })
}
