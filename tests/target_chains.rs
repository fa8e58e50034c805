//! Chains of targets that together hold a model's layers.

#[path = "support/shapes.rs"]
mod shapes;

use arbutusmount::{InstanceId, LayerRange, ModelShape, TargetEntry, find_chains};
use shapes::{model_on, ready_target};
use std::collections::BTreeSet;
use std::sync::Arc;

const LAYERS: u32 = 12;

fn model() -> ModelShape {
    model_on(LAYERS, &[("fast", 2.0), ("slow", 8.0)])
}

/// `replicas` targets for each part of the model.
fn domain(replicas: usize, parts: u32) -> Vec<Arc<TargetEntry>> {
    let size = LAYERS / parts;
    let places = (0..parts).flat_map(|part| (0..replicas).map(move |replica| (part, replica)));
    let card = |replica: usize| {
        if replica.is_multiple_of(2) {
            "fast"
        } else {
            "slow"
        }
    };
    places
        .map(|(part, replica)| {
            let name = format!("t-{part}-{replica}");
            let layers = LayerRange::new(part * size, (part + 1) * size);
            ready_target(&name, "d0", card(replica), Some(layers))
        })
        .collect()
}

/// The kept chains must cover all targets. Of 216 chains the first 24 found all had the same head,
/// so that one of 28 servers took the requests of a whole domain.
#[test]
fn chains_of_a_large_domain_go_through_all_targets() {
    let targets = domain(6, 3);

    let chains = find_chains(&targets, None, &model());

    let used: BTreeSet<&InstanceId> = chains
        .iter()
        .flat_map(|chain| chain.parts.iter().map(|part| &part.target.id))
        .collect();
    assert_eq!(used.len(), targets.len(), "{used:?}");
    let heads = targets
        .iter()
        .filter(|target| target.id.as_str().starts_with("t-0-"));
    for head in heads {
        let share = chains
            .iter()
            .filter(|chain| chain.head().id == head.id)
            .count();
        assert!(
            share <= chains.len() / 3,
            "{} heads {share} of {} chains",
            head.id,
            chains.len()
        );
    }
}

#[test]
fn chains_of_a_small_domain_are_all_found_and_the_fastest_comes_first() {
    let targets = domain(2, 3);

    let chains = find_chains(&targets, None, &model());

    assert_eq!(chains.len(), 8);
    assert!(chains.is_sorted_by(|a, b| a.token_ms <= b.token_ms));
    let fastest = chains[0]
        .parts
        .iter()
        .all(|part| part.target.card.as_deref() == Some("fast"));
    assert!(fastest);
}

#[test]
fn every_chain_is_whole_and_found_once() {
    for (replicas, parts) in [(2, 3), (6, 3), (5, 4), (9, 2)] {
        let chains = find_chains(&domain(replicas, parts), None, &model());

        let mut seen = BTreeSet::new();
        for chain in &chains {
            let mut next = 0;
            for part in &chain.parts {
                assert_eq!(part.layers.from, next);
                next = part.layers.to;
            }
            assert_eq!(next, LAYERS);
            let ids = chain.parts.iter().map(|part| part.target.id.clone());
            assert!(seen.insert(ids.collect::<Vec<_>>()), "chain found twice");
        }
        assert!(!chains.is_empty());
    }
}

/// There are 16^11 partial paths; a search that follows each to its dead end does not finish.
#[test]
fn large_domain_that_lacks_its_last_part_has_no_chain() {
    let mut targets = domain(16, 12);
    targets.retain(|target| target.layers.is_some_and(|held| held.to < LAYERS));

    let chains = find_chains(&targets, None, &model());

    assert!(chains.is_empty());
}
