//! Placement of a model's layers where a failure domain has many free servers of many kinds.

use arbutusmount::{
    CardKind, DomainId, InstanceId, LayerAssignment, ModelShape, PlanScope, ServerPlacement,
    chain_rate, plan_layers,
};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;

const LAYERS: u32 = 80;
/// Requests that are due wait no longer than this for their answer, so a plan may not take longer even where
/// it shares a core with them.
const MAX_PLAN_TIME: Duration = Duration::from_millis(500);
/// Least rate of the chains, as a share of those of an exhaustive search.
const MIN_RATE_SHARE: f64 = 0.98;
/// Share of the highest rate from which a further chain is formed.
const WORTHWHILE_SHARE: f64 = 0.35;
/// Most parts of a chain that servers accept.
const MAX_PARTS: usize = 32;

fn card(name: &str, gigabytes: f64, step_factor: f64, prefill_factor: f64) -> CardKind {
    CardKind {
        name: Arc::from(name),
        memory_bytes: gigabytes * 1e9,
        step_factor,
        prefill_factor,
    }
}

fn model() -> ModelShape {
    ModelShape {
        layers: LAYERS,
        layer_bytes: 1.75e9,
        kv_bytes_per_token: 918_000.0,
        step_ms: 1.02,
        step_ms_per_request: 0.007,
        step_ms_per_1k_context: 0.0096,
        prefill_tokens_per_s: 105_000.0,
        mean_prompt_tokens: 774.0,
        mean_answer_tokens: 200.0,
        max_batch: 192,
        cards: vec![
            card("a", 76.0, 1.4, 1.5),
            card("b", 72.0, 2.4, 3.2),
            card("c", 43.0, 5.6, 2.7),
            card("d", 30.0, 9.0, 6.0),
            card("e", 22.0, 16.0, 8.2),
        ],
    }
}

/// Servers without layers in one domain, `counts` of each kind of the model.
fn free_servers(model: &ModelShape, counts: &[usize]) -> Vec<ServerPlacement> {
    let domain: DomainId = "d0".parse().expect("an identifier");
    let server = |kind: &CardKind, number: usize| ServerPlacement {
        id: format!("{}-{number}", kind.name)
            .parse()
            .expect("an identifier"),
        started_ms: 0,
        domain: domain.clone(),
        card: Arc::clone(&kind.name),
        held: None,
        is_surplus: false,
    };
    let kinds = model.cards.iter().zip(counts);
    kinds
        .flat_map(|(kind, count)| (0..*count).map(move |number| (kind, number)))
        .map(|(kind, number)| server(kind, number))
        .collect()
}

fn card_of<'a>(model: &'a ModelShape, id: &InstanceId) -> &'a CardKind {
    let (kind, _) = id.as_str().split_once('-').expect("a name of this test");
    model.card(kind).expect("a kind of the model")
}

/// Accelerators of the chains that a plan of free servers begins with; replicas follow them.
fn planned_chains<'a>(model: &'a ModelShape, plan: &[LayerAssignment]) -> Vec<Vec<&'a CardKind>> {
    let mut chains = Vec::new();
    let mut chain = Vec::new();
    let mut next = 0;
    for assigned in plan {
        if assigned.layers.from != next {
            break;
        }
        chain.push(card_of(model, &assigned.id));
        next = assigned.layers.to;
        if next == model.layers {
            chains.push(std::mem::take(&mut chain));
            next = 0;
        }
    }
    chains
}

/// All counts up to these.
fn all_counts(limits: &[usize]) -> Vec<Vec<usize>> {
    let mut found = vec![Vec::new()];
    for limit in limits {
        let grow = |counts: &Vec<usize>| {
            let counts = counts.clone();
            (0..=*limit).map(move |count| [counts.as_slice(), &[count]].concat())
        };
        found = found.iter().flat_map(grow).collect();
    }
    found
}

fn rate_of(model: &ModelShape, counts: &[usize]) -> f64 {
    if counts.iter().sum::<usize>() > MAX_PARTS {
        return 0.0;
    }
    let kinds = model.cards.iter().zip(counts);
    let cards: Vec<&CardKind> = kinds
        .flat_map(|(kind, count)| std::iter::repeat_n(kind, *count))
        .collect();
    chain_rate(model, &cards)
}

/// Rates of the chains that are formed when all pairs of a next and a further chain are compared.
fn exhaustive_rates(model: &ModelShape, counts: &[usize]) -> Vec<f64> {
    let candidates: Vec<(Vec<usize>, f64)> = all_counts(counts)
        .into_iter()
        .map(|counts| {
            let rate = rate_of(model, &counts);
            (counts, rate)
        })
        .filter(|(_, rate)| *rate > 0.0)
        .collect();
    let mut left = counts.to_vec();
    let mut rates: Vec<f64> = Vec::new();
    loop {
        let fits = |used: &[usize]| used.iter().zip(&left).all(|(used, left)| used <= left);
        let fitting: Vec<_> = candidates.iter().filter(|(used, _)| fits(used)).collect();
        let total = |(used, rate): &(Vec<usize>, f64)| {
            let fits_beside = |other: &[usize]| {
                let mut kinds = other.iter().zip(used).zip(&left);
                kinds.all(|((other, used), left)| other + used <= *left)
            };
            let beside = fitting.iter().filter(|(other, _)| fits_beside(other));
            rate + beside.map(|(_, rate)| *rate).fold(0.0, f64::max)
        };
        let best = fitting
            .iter()
            .max_by(|a, b| total(a).total_cmp(&total(b)).then(a.1.total_cmp(&b.1)));
        let highest = rates.iter().copied().fold(0.0, f64::max);
        let Some((used, rate)) = best.filter(|best| best.1 >= highest * WORTHWHILE_SHARE) else {
            return rates;
        };
        rates.push(*rate);
        left = left
            .iter()
            .zip(used)
            .map(|(left, used)| left - used)
            .collect();
    }
}

/// All daemons hung, one after the other as they led: comparing all compositions of 33 free servers of five
/// kinds with each other took a minute on the thread that serves requests and renews the lease.
#[test_case(&[6, 7, 6, 7, 7]; "33 servers of five kinds")]
#[test_case(&[10, 10, 10, 10, 0]; "40 servers of four kinds")]
#[test_case(&[24, 24, 24, 24, 24]; "120 servers of five kinds")]
fn plan_for_many_kinds_is_made_at_once(counts: &[usize]) {
    let model = model();
    let servers = free_servers(&model, counts);
    let started = Instant::now();

    let plan = plan_layers(&model, &servers, PlanScope::IdleServers);

    let took = started.elapsed();
    assert!(!planned_chains(&model, &plan).is_empty());
    assert!(took < MAX_PLAN_TIME, "{took:?}");
}

/// The number of kinds is what the search grew with: with nine of them, not even the points between none and
/// all of each kind can all be tried.
#[test]
fn plan_for_more_kinds_than_can_be_compared_is_made_at_once() {
    let mut model = model();
    let more = ["f", "g", "h", "i", "j", "k", "l"].map(|name| card(name, 24.0, 12.0, 7.0));
    model.cards.extend(more);
    let servers = free_servers(&model, &[3; 12]);
    let started = Instant::now();

    let plan = plan_layers(&model, &servers, PlanScope::IdleServers);

    let took = started.elapsed();
    assert!(!planned_chains(&model, &plan).is_empty());
    assert!(took < MAX_PLAN_TIME, "{took:?}");
}

/// A search that leaves compositions out must not form worse chains.
#[test_case(&[4, 5, 3, 4, 5])]
#[test_case(&[1, 2, 6, 3, 5])]
#[test_case(&[5, 0, 5, 6, 5])]
#[test_case(&[0, 3, 5, 5, 6])]
#[test_case(&[2, 6, 1, 6, 6])]
#[test_case(&[6, 4, 6, 4, 0]; "four kinds")]
#[test_case(&[0, 0, 6, 7, 9]; "three kinds")]
fn chains_of_many_kinds_serve_as_much_as_the_best_ones(counts: &[usize]) {
    let model = model();
    let servers = free_servers(&model, counts);

    let plan = plan_layers(&model, &servers, PlanScope::IdleServers);

    let chains = planned_chains(&model, &plan);
    let best = exhaustive_rates(&model, counts);
    let rate: f64 = chains
        .iter()
        .take(best.len())
        .map(|cards| chain_rate(&model, cards))
        .sum();
    let best_rate: f64 = best.iter().sum();
    assert!(best_rate > 0.0);
    assert!(rate >= best_rate * MIN_RATE_SHARE, "{rate} of {best_rate}");
}

/// Servers reject requests that name more parts than 32, so a chain of 40 serves nobody.
#[test]
fn no_chain_has_more_parts_than_servers_accept() {
    let mut model = model();
    for kind in &mut model.cards {
        kind.memory_bytes = 4.6e9;
    }
    let servers = free_servers(&model, &[10; 5]);

    let plan = plan_layers(&model, &servers, PlanScope::IdleServers);

    assert_eq!(plan, []);
}
