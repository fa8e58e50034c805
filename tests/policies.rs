//! Policies that choose chains, and the load data that they use, without sockets or clocks.

use arbutusmount::{
    ChainChoice, ChainQuery, EngineReport, HeldStage, InFlightHistory, InstanceId, LayerRange,
    LoadRow, ModelEntry, ModelGraph, ModelSpec, MonoTime, PolicyName, StagePlacement, TargetTable,
    choose_chain, choose_report_reader, compute_flow_weights,
};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const LAYERS: u32 = 24;
const SEED: u64 = 4_711;
/// Time at which slow start is over.
const LATER: MonoTime = MonoTime(60_000_000);

/// Model with one engine per layer range; each engine is named after its index.
fn entry(ranges: &[(u32, u32)]) -> Arc<ModelEntry> {
    let spec: ModelSpec = serde_json::from_value(serde_json::json!({
        "model": "helpdesk", "version": "v1", "layers": LAYERS, "layer_bytes": 1, "replicas": 1,
    }))
    .expect("valid model");
    let placements = ranges.iter().enumerate().map(|(index, (from, to))| {
        let row = serde_json::json!({
            "model": "helpdesk", "version": "v1", "instance": format!("engine-{index}"),
            "address": format!("127.0.0.1:{}", 1_000 + index),
            "layers": { "from": from, "to": to },
        });
        serde_json::from_value::<StagePlacement>(row).expect("valid placement")
    });
    Arc::new(ModelEntry {
        placements: placements.collect(),
        spec,
    })
}

fn table(entry: &ModelEntry) -> TargetTable {
    let targets = TargetTable::default();
    let rows = entry.placements.iter();
    targets.replace(rows.map(|row| (row.instance.clone(), row.address)));
    targets
}

/// Ranges that the engines of these tests may hold.
const RANGES: [(u32, u32); 3] = [(0, 24), (0, 12), (12, 24)];

fn held_stage((from, to): (u32, u32)) -> HeldStage {
    HeldStage {
        model: "helpdesk".parse().expect("valid name"),
        version: "v1".parse().expect("valid name"),
        layers: LayerRange::new(from, to),
        ready: true,
    }
}

fn report(step_micros: u64, sessions: u32) -> EngineReport {
    EngineReport {
        stages: RANGES.map(held_stage).to_vec(),
        step_micros,
        item_micros: step_micros / 20,
        max_batch: 16,
        sessions,
        ..EngineReport::default()
    }
}

fn query(now: MonoTime) -> ChainQuery<'static> {
    ChainQuery {
        excluded: &[],
        warm: &[],
        ignore_health: false,
        isolated: false,
        now,
    }
}

/// Number of times that each engine is part of `count` choices. The requests stay in flight when
/// `keeps`.
fn count_choices(graph: &ModelGraph, policy: PolicyName, count: usize, keeps: bool) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut counts = vec![0; graph.entry().placements.len()];
    let mut guards = Vec::new();
    for _ in 0..count {
        let choice = choose_chain(graph, &query(LATER), policy, &mut rng);
        let ChainChoice::Chain(chain) = choice else {
            panic!("no chain, seed {SEED}: {choice:?}");
        };
        for index in chain {
            let target = &graph.edges()[index].target;
            let name = target.instance.as_str().trim_start_matches("engine-");
            counts[name.parse::<usize>().expect("named by index")] += 1;
            if keeps {
                guards.push(target.start_request());
            }
        }
    }
    counts
}

#[test_case(PolicyName::RoundRobin)]
#[test_case(PolicyName::LeastInFlight)]
#[test_case(PolicyName::TwoChoices)]
#[test_case(PolicyName::ExpectedTime)]
#[test_case(PolicyName::FlowWeighted)]
fn policy_tiles_the_model_over_unequal_ranges(policy: PolicyName) {
    // Arrange: replicas that are split at different layers.
    let entry = entry(&[
        (0, 8),
        (8, 16),
        (16, 24),
        (0, 12),
        (12, 24),
        (0, 24),
        (8, 24),
    ]);
    let targets = table(&entry);
    let graph = ModelGraph::build(&entry, &targets);
    graph.publish_weights(compute_flow_weights(&graph, LATER));
    let mut rng = fastrand::Rng::with_seed(SEED);

    for _ in 0..500 {
        // Act
        let choice = choose_chain(&graph, &query(LATER), policy, &mut rng);

        // Assert
        let ChainChoice::Chain(chain) = choice else {
            panic!("no chain, seed {SEED}: {choice:?}");
        };
        let mut next = 0;
        for index in chain {
            let layers = graph.edges()[index].stage.layers;
            assert_eq!(layers.from, next, "seed {SEED}");
            next = layers.to;
        }
        assert_eq!(next, LAYERS, "seed {SEED}");
    }
}

#[test_case(PolicyName::RoundRobin)]
#[test_case(PolicyName::LeastInFlight)]
#[test_case(PolicyName::TwoChoices)]
#[test_case(PolicyName::ExpectedTime)]
#[test_case(PolicyName::FlowWeighted)]
fn policy_never_uses_an_excluded_or_leaving_engine(policy: PolicyName) {
    // Arrange
    let entry = entry(&[(0, 24), (0, 24), (0, 24)]);
    let targets = table(&entry);
    let graph = ModelGraph::build(&entry, &targets);
    let states: Vec<_> = entry.placements.iter().map(|row| &row.instance).collect();
    targets.get(states[0]).expect("known").set_leaving(true);
    let excluded = [states[1].clone()];
    let wanted = ChainQuery {
        excluded: &excluded,
        ..query(LATER)
    };
    let mut rng = fastrand::Rng::with_seed(SEED);

    for _ in 0..100 {
        // Act
        let choice = choose_chain(&graph, &wanted, policy, &mut rng);

        // Assert
        let ChainChoice::Chain(chain) = choice else {
            panic!("no chain, seed {SEED}: {choice:?}");
        };
        assert_eq!(
            graph.edges()[chain[0]].stage.instance,
            *states[2],
            "seed {SEED}"
        );
    }
}

#[test]
fn missing_layers_are_named() {
    // Arrange
    let entry = entry(&[(0, 8), (16, 24)]);
    let targets = table(&entry);
    let graph = ModelGraph::build(&entry, &targets);

    // Act
    let mut rng = fastrand::Rng::with_seed(SEED);
    let choice = choose_chain(&graph, &query(LATER), PolicyName::ExpectedTime, &mut rng);

    // Assert
    assert_eq!(choice, ChainChoice::NoChain { missing: 8 });
}

/// An engine that is eight times faster gets the larger share under the policies that know rates.
#[test_case(PolicyName::ExpectedTime)]
#[test_case(PolicyName::FlowWeighted)]
fn faster_engines_get_more_requests(policy: PolicyName) {
    // Arrange: one engine eight times faster than the other.
    let entry = entry(&[(0, 24), (0, 24)]);
    let targets = table(&entry);
    for (row, step) in entry.placements.iter().zip([1_000, 8_000]) {
        let target = targets.get(&row.instance).expect("known");
        target.publish(report(step, 0), 0);
    }
    let graph = ModelGraph::build(&entry, &targets);
    graph.publish_weights(compute_flow_weights(&graph, LATER));

    // Act
    let counts = count_choices(&graph, policy, 450, true);

    // Assert: the ratio of the rates is 8 to 1.
    assert!(counts[0] >= 6 * counts[1], "seed {SEED}: {counts:?}");
    assert!(counts[1] > 0, "seed {SEED}: {counts:?}");
}

#[test]
fn flow_through_a_bottleneck_follows_its_rate() {
    // Arrange: the second half is held by a slow engine, and by a fast engine with all layers.
    let entry = entry(&[(0, 12), (12, 24), (0, 24)]);
    let targets = table(&entry);
    for (row, step) in entry.placements.iter().zip([1_000, 4_000, 2_000]) {
        let target = targets.get(&row.instance).expect("known");
        target.publish(report(step, 0), 0);
    }
    let graph = ModelGraph::build(&entry, &targets);

    // Act
    let weights = compute_flow_weights(&graph, LATER);

    // Assert: the flow is a quarter of the first engine's rate plus the rate of the fast engine.
    // Use of the fast engine from layer 12 on adds nothing, since it is at its capacity.
    let rate = |step: f64| 16.0 * 1e6 / (step * (1.0 + 15.0 / 20.0));
    let bound = rate(4_000.0) + rate(2_000.0);
    let ratio = weights.tokens_per_second / bound;
    assert!((0.99..1.01).contains(&ratio), "{ratio}");
}

/// Several daemons choose by the same stale report, and none knows the requests of the others.
#[test]
fn random_choices_spread_the_requests_of_several_daemons() {
    const DAEMONS: usize = 8;
    const REQUESTS: usize = 12;
    let most = |policy| {
        // Arrange: 12 equal engines, of which the report shows one as idle and the others as busy.
        let mut total = [0; 12];
        for _ in 0..DAEMONS {
            let entry = entry(&[(0, 24); 12]);
            let targets = table(&entry);
            for (index, row) in entry.placements.iter().enumerate() {
                let target = targets.get(&row.instance).expect("known");
                target.publish(report(1_000, if index == 0 { 0 } else { 12 }), 0);
            }
            let graph = ModelGraph::build(&entry, &targets);
            graph.publish_weights(compute_flow_weights(&graph, LATER));

            // Act
            let counts = count_choices(&graph, policy, REQUESTS, true);
            for (sum, count) in total.iter_mut().zip(counts) {
                *sum += count;
            }
        }
        total[0]
    };

    // Assert: the fair share of the idle engine is 8 requests. The least-cost choice sends nearly
    // all requests to it.
    let (herded, spread) = (
        most(PolicyName::ExpectedTime),
        most(PolicyName::FlowWeighted),
    );
    assert!(herded >= 80, "seed {SEED}: {herded}");
    assert!(spread <= 32, "seed {SEED}: {spread}");
}

#[test]
fn failing_engine_attracts_one_trial_at_a_time() {
    // Arrange: an engine that reports no load but fails each request, and two busy healthy engines.
    let entry = entry(&[(0, 24), (0, 24), (0, 24)]);
    let targets = table(&entry);
    for (index, row) in entry.placements.iter().enumerate() {
        let target = targets.get(&row.instance).expect("known");
        target.publish(report(1_000, if index == 0 { 0 } else { 30 }), 0);
    }
    let graph = ModelGraph::build(&entry, &targets);
    let failing = targets.get(&entry.placements[0].instance).expect("known");
    let mut rng = fastrand::Rng::with_seed(SEED);

    // Act: 100 requests a second over 20 s.
    let mut hits = 0;
    for step in 0..2_000_u32 {
        let now = LATER.after(Duration::from_millis(10) * step);
        let wanted = ChainQuery { now, ..query(now) };
        let choice = choose_chain(&graph, &wanted, PolicyName::ExpectedTime, &mut rng);
        let ChainChoice::Chain(chain) = choice else {
            panic!("no chain, seed {SEED}: {choice:?}");
        };
        if Arc::ptr_eq(&graph.edges()[chain[0]].target, &failing) {
            hits += 1;
            failing.health.record_request(now);
            failing.health.record_failure(now, false);
        }
    }

    // Assert: the ejection time doubles from 0.5 s on, so at most six trials fit into 20 s.
    assert!((1..=6).contains(&hits), "seed {SEED}: {hits}");
}

#[test]
fn own_requests_are_not_counted_twice() {
    // Arrange
    let mut history = InFlightHistory::default();
    history.record(MonoTime(1_000_000), 2);
    history.record(MonoTime(2_000_000), 7);
    let entry = entry(&[(0, 24)]);
    let targets = table(&entry);
    let target = targets.get(&entry.placements[0].instance).expect("known");
    let _guards: Vec<_> = (0..7).map(|_| target.start_request()).collect();

    // Act: the report was made at 1.5 s, when two of its five requests came from this daemon.
    target.publish(report(1_000, 5), history.at(MonoTime(1_500_000)));

    // Assert: three requests of peers, and seven of this daemon now.
    assert_eq!(target.sessions(), 10);
}

#[test]
fn new_engine_starts_slowly() {
    // Arrange
    let entry = entry(&[(0, 24), (0, 24)]);
    let targets = table(&entry);
    let graph = ModelGraph::build(&entry, &targets);
    let target = targets.get(&entry.placements[0].instance).expect("known");

    // Act
    target.health.record_join(LATER);

    // Assert
    let at = |millis| {
        target
            .health
            .slow_start_factor(LATER.after(Duration::from_millis(millis)))
    };
    assert!(at(1) > 3.5 && at(1_000) < 3.0 && at(2_000) <= 1.0);
    drop(graph);
}

#[test]
fn daemons_share_the_reading_of_reports_evenly_and_stably() {
    // Arrange
    let names = |prefix: &str, count: usize| -> Vec<InstanceId> {
        let name = |index| format!("{prefix}-{index}").parse().expect("valid name");
        (0..count).map(name).collect()
    };
    let (engines, daemons) = (names("engine", 1_700), names("router", 430));

    // Act
    let readers = |daemons: &[InstanceId]| -> Vec<InstanceId> {
        let pick = |engine| {
            choose_report_reader(engine, daemons.iter())
                .expect("a daemon")
                .clone()
        };
        engines.iter().map(pick).collect()
    };
    let before = readers(&daemons);
    let after = readers(&daemons[1..]);

    // Assert: each daemon reads about four engines, and only the engines of the lost daemon move.
    let share = |daemon: &InstanceId| before.iter().filter(|reader| *reader == daemon).count();
    let most = daemons.iter().map(share).max().unwrap_or(0);
    assert!(most <= 16, "{most}");
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    assert!(moved.map(|(old, _)| old).all(|old| *old == daemons[0]));
}

#[test]
fn load_row_without_the_whole_report_needs_the_same_base() {
    // Arrange
    let engine = "engine-1".parse().expect("valid name");
    let old = report(1_000, 3);
    let busy = EngineReport {
        sessions: 9,
        queued: 4,
        ..old.clone()
    };
    let leaving = EngineReport {
        leaving: true,
        ..busy.clone()
    };

    // Act
    let first = LoadRow::new(&engine, &old, 5, None);
    let small = LoadRow::new(&engine, &busy, 7, Some(&old));
    let changed = LoadRow::new(&engine, &leaving, 7, Some(&old));

    // Assert
    assert_eq!(first.to_report(None).map(|report| report.sessions), Some(3));
    assert!(small.full_report.is_none() && changed.full_report.is_some());
    assert_eq!(small.to_report(None), None);
    assert_eq!(small.to_report(Some(&leaving)), None, "a change was missed");
    let rebuilt = small.to_report(Some(&old)).expect("same base");
    assert_eq!((rebuilt.sessions, rebuilt.age_ms), (9, 7));
    assert!(changed.to_report(None).expect("whole").leaving);
}
