//! Load tool: arrivals, lengths, the throughput bound, latencies, run and experiment files, and
//! small runs.

use arbutusmount::{CheckError, InstanceId, LayerRange};
use rig::{
    ArrivalKind, ArrivalSpec, ArrivalStep, EngineKnobs, ExperimentSpec, LatencyRecorder,
    LengthSpec, RequestOutcome, RequestRecord, RunSpec, RunTarget, StageRate, TokenWork,
    draw_length, flow_bound, jain_index, plan_arrivals, plan_workload, run_load,
};
use serde_json::{Value, json};
use std::time::Duration;
use test_case::test_case;

const TODAY: &str = include_str!("../../experiments/today.json");
const ONE_CHAIN: &str = include_str!("../../experiments/one-chain.json");

fn today_with(changes: &[(&str, Value)]) -> String {
    let mut run: Value = serde_json::from_str(TODAY).unwrap();
    for (pointer, change) in changes {
        *run.pointer_mut(pointer).unwrap() = change.clone();
    }
    run.to_string()
}

fn paths(errors: &[CheckError]) -> Vec<&str> {
    errors.iter().map(|error| &*error.path).collect()
}

fn stage(name: &str, from: u32, to: u32, tokens_per_second: f64) -> StageRate {
    StageRate {
        instance: name.parse().unwrap(),
        layers: LayerRange::new(from, to),
        layer_rate: tokens_per_second * f64::from(to - from),
    }
}

fn open_links(_from: &InstanceId, _to: &InstanceId) -> f64 {
    1e6
}

fn assert_near(found: f64, wanted: f64, tolerance: f64) {
    let is_near = (found - wanted).abs() <= tolerance;
    assert!(is_near, "{found} is not within {tolerance} of {wanted}");
}

#[test]
fn poisson_arrivals_have_the_rate_and_spread_of_their_process() {
    let mut rng = fastrand::Rng::with_seed(3);
    let length = Duration::from_secs(400);

    let arrivals = plan_arrivals(&ArrivalSpec::default(), 50.0, length, &mut rng);

    // Arrivals in windows of one second have mean and variance 50.
    let mut counts = vec![0.0; 400];
    for at in &arrivals {
        counts[at.as_secs() as usize] += 1.0;
    }
    let mean = counts.iter().sum::<f64>() / 400.0;
    let variance = counts.iter().map(|n| (n - mean) * (n - mean)).sum::<f64>() / 400.0;
    assert_near(mean, 50.0, 2.0);
    assert_near(variance / mean, 1.0, 0.25);
    assert!(arrivals.is_sorted());
}

#[test]
fn bursts_keep_the_rate_and_fall_within_their_part_of_the_period() {
    let spec = ArrivalSpec {
        kind: ArrivalKind::Bursts,
        period_ms: 1_000,
        on_percent: 20,
        steps: Vec::new(),
    };
    let mut rng = fastrand::Rng::with_seed(4);

    let arrivals = plan_arrivals(&spec, 100.0, Duration::from_secs(100), &mut rng);

    assert_near(arrivals.len() as f64, 10_000.0, 400.0);
    assert!(arrivals.iter().all(|at| at.subsec_millis() < 200));
}

#[test]
fn arrival_steps_change_the_rate() {
    let step = |at_ms, percent| ArrivalStep { at_ms, percent };
    let spec = ArrivalSpec {
        kind: ArrivalKind::Steps,
        steps: vec![step(0, 50.0), step(50_000, 300.0)],
        ..ArrivalSpec::default()
    };
    let mut rng = fastrand::Rng::with_seed(5);

    let arrivals = plan_arrivals(&spec, 20.0, Duration::from_secs(100), &mut rng);

    let early = arrivals.iter().filter(|at| at.as_secs() < 50).count();
    assert_near(early as f64, 500.0, 90.0);
    assert_near((arrivals.len() - early) as f64, 3_000.0, 220.0);
}

#[test]
fn lengths_are_log_normal_and_capped() {
    let spec = LengthSpec {
        median: 40.0,
        sigma: 1.0,
        cap: 400,
    };
    let mut rng = fastrand::Rng::with_seed(6);

    let mut lengths: Vec<u32> = (0..10_000).map(|_| draw_length(spec, &mut rng)).collect();

    lengths.sort_unstable();
    assert_near(f64::from(lengths[5_000]), 40.0, 3.0);
    // The 84th percentile lies one standard deviation above the median.
    assert_near(f64::from(lengths[8_413]), 108.7, 9.0);
    assert_eq!(lengths.last(), Some(&400));
    assert!(lengths[0] >= 1);
}

#[test]
fn seed_decides_the_requests() {
    let spec = RunSpec::parse(TODAY).unwrap();
    let other = RunSpec::parse(&today_with(&[("/seed", json!(2))])).unwrap();

    let first = plan_workload(&spec, 30.0);
    let again = plan_workload(&spec, 30.0);

    assert_eq!(first, again);
    assert_ne!(first, plan_workload(&other, 30.0));
}

#[test]
fn bound_of_one_chain_is_its_slowest_stage() {
    let stages = [
        stage("a", 0, 8, 90.0),
        stage("b", 8, 16, 40.0),
        stage("c", 16, 24, 70.0),
    ];

    let bound = flow_bound(24, &stages, open_links);

    assert_near(bound, 40.0, 0.1);
}

#[test]
fn bound_adds_replicas_and_paths_between_them() {
    // Two replicas, a with a slow second half and b with a slow first half: 30 tokens per second
    // stay within each replica, and 40 go from the fast first half of a to the fast second half of
    // b.
    let stages = [
        stage("a1", 0, 12, 70.0),
        stage("a2", 12, 24, 30.0),
        stage("b1", 0, 12, 30.0),
        stage("b2", 12, 24, 70.0),
    ];

    let bound = flow_bound(24, &stages, open_links);

    assert_near(bound, 100.0, 0.1);
}

#[test]
fn bound_counts_slow_links() {
    let stages = [
        stage("a1", 0, 12, 70.0),
        stage("a2", 12, 24, 30.0),
        stage("b1", 0, 12, 30.0),
        stage("b2", 12, 24, 70.0),
    ];
    let slow_between_replicas = |from: &InstanceId, to: &InstanceId| {
        let same_replica = from.as_str()[..1] == to.as_str()[..1];
        if same_replica { 1e6 } else { 5.0 }
    };

    let bound = flow_bound(24, &stages, slow_between_replicas);

    // 30 tokens per second within each replica and 5 from a1 to b2; b1 has no capacity left for a2.
    assert_near(bound, 65.0, 0.1);
}

#[test]
fn bound_of_overlapping_ranges_counts_time_once() {
    // The second engine runs 720 layers per second, and each token needs the last 18 layers from
    // it.
    let stages = [stage("a", 0, 6, 1_000.0), stage("b", 0, 24, 30.0)];

    let bound = flow_bound(24, &stages, open_links);

    assert_near(bound, 40.0, 0.1);
}

#[test]
fn bound_without_a_layer_is_zero() {
    let stages = [stage("a", 0, 8, 90.0), stage("c", 16, 24, 70.0)];

    let bound = flow_bound(24, &stages, open_links);

    assert_near(bound, 0.0, 0.001);
}

#[test]
fn engine_rate_counts_batch_and_prefill() {
    let knobs = EngineKnobs {
        layer_micros: 1_000,
        item_micros: 200,
        prefill_micros: 50,
        max_batch: 4,
        ..EngineKnobs::default()
    };
    let work = TokenWork { prompt_ratio: 3.0 };

    let rate = StageRate::new("a".parse().unwrap(), LayerRange::new(0, 8), &knobs, work);

    // A batch takes 1,600 us per layer, that is 400 us per token, and each token comes with 4
    // tokens to prefill.
    assert_near(rate.layer_rate, 1e6 / 600.0, 0.001);
}

fn record(intended: u64, sent: u64, tokens: &[u64]) -> RequestRecord {
    RequestRecord {
        number: 0,
        team: 0,
        service: false,
        intended,
        sent,
        ended: *tokens.last().unwrap(),
        wanted: tokens.len() as u32,
        tokens: tokens.to_vec(),
        outcome: RequestOutcome::Completed,
        retries: 0,
        identifiers: Vec::new(),
        key: None,
        daemon: None,
    }
}

#[test]
fn latency_counts_from_the_intended_start() {
    // One request per millisecond, each served in 100 us, except for a stall of 100 ms that delays
    // the sending of the requests after it. Measured from the time of sending, only 1 in 1,000
    // would look slow.
    let mut recorder = LatencyRecorder::default();

    for number in 0..1_000 {
        let intended = number * 1_000;
        let sent = intended.max(if number >= 500 { 600_000 } else { 0 });
        recorder.add(&record(intended, sent, &[sent + 100]));
    }

    let slow = recorder.first_token.count_between(1_000, 1_000_000);
    assert_near(slow as f64, 100.0, 2.0);
    assert_near(recorder.first_token.max() as f64, 100_100.0, 200.0);
}

#[test]
fn gaps_are_those_between_tokens() {
    let mut recorder = LatencyRecorder::default();

    recorder.add(&record(0, 0, &[1_000, 3_000, 8_000]));

    assert_eq!(recorder.gap.len(), 2);
    assert_near(recorder.gap.max() as f64, 5_000.0, 5.0);
    assert_near(recorder.whole.max() as f64, 8_000.0, 8.0);
}

#[test_case(&[1.0, 1.0, 1.0, 1.0], 1.0; "equal shares")]
#[test_case(&[1.0, 0.0, 0.0, 0.0], 0.25; "one team has everything")]
#[test_case(&[2.0, 1.0], 0.9; "two to one")]
fn jain_index_of_known_shares(shares: &[f64], wanted: f64) {
    let index = jain_index(shares);

    assert_near(index, wanted, 1e-9);
}

#[test_case(&[("/seed", json!("x"))], "$.seed"; "wrong type")]
#[test_case(&[("/engines/3", json!("k9"))], "$.engines[3]"; "unknown kind")]
#[test_case(&[("/kinds/1/max_batch", json!(0))], "$.kinds[1].max_batch"; "out of range")]
#[test_case(&[("/arrivals/kind", json!("tide"))], "$.arrivals.kind"; "unknown arrivals")]
#[test_case(&[("/warmup_ms", json!(14_000))], "$.warmup_ms"; "nothing is measured")]
#[test_case(&[("/teams", json!([]))], "$.teams"; "no team")]
fn run_file_errors_name_their_place(changes: &[(&str, Value)], path: &str) {
    let errors = RunSpec::parse(&today_with(changes)).unwrap_err();

    assert_eq!(paths(&errors), [path]);
}

#[test]
fn killing_needs_processes() {
    let mut run: Value = serde_json::from_str(TODAY).unwrap();
    run["faults"] = json!([{ "at_ms": 5_000, "fault": "kill_engine", "index": 2 }]);

    let errors = RunSpec::parse(&run.to_string()).unwrap_err();

    assert_eq!(paths(&errors), ["$.faults[0]"]);
}

#[test]
fn experiment_changes_runs_and_checks_them() {
    let text = |change: Value| {
        let variants = json!([{ "name": "v", "run": change }]);
        json!({ "base": "today.json", "variants": variants, "loads": [50], "seeds": [7] })
            .to_string()
    };
    let read_base = |name: &str| match name {
        "today.json" => Ok(TODAY.to_owned()),
        other => Err(format!("{other} is missing")),
    };
    let settings = json!({ "settings": { "routing": { "policy": "x" } } });
    let good = ExperimentSpec::parse(&text(settings), read_base);
    let bad = ExperimentSpec::parse(&text(json!({ "daemons": 0 })), read_base);
    let missing = ExperimentSpec::parse(&text(json!({})).replace("today", "other"), read_base);

    let good = good.unwrap();
    let made = RunSpec::parse(&good.run_file_text(&good.variants[0], 50.0, 7)).unwrap();

    assert_eq!((made.seed, made.load_percent), (7, 50.0));
    assert_eq!(made.settings["routing"]["policy"], "x");
    assert_eq!(paths(&bad.unwrap_err()), ["$.run.daemons"]);
    assert_eq!(paths(&missing.unwrap_err()), ["$.base"]);
}

#[test_case("admission"; "admission")]
#[test_case("arrivals"; "arrival kinds")]
#[test_case("policies"; "policies")]
#[test_case("recovery"; "recovery")]
#[test_case("saturation"; "saturation")]
#[test_case("signals"; "misleading signals")]
fn committed_experiments_are_valid(name: &str) {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../experiments");
    let read = |file: &str| std::fs::read_to_string(format!("{folder}/{file}"));
    let text = read(&format!("{name}.json")).unwrap();

    let experiment = ExperimentSpec::parse(&text, |base| read(base).map_err(|e| e.to_string()));

    assert!(!experiment.unwrap().variants.is_empty());
}

#[async_std::test]
async fn saturated_chain_stays_below_its_bound() {
    // One chain of three engines; the middle one is the slowest.
    let spec = RunSpec::parse(ONE_CHAIN).unwrap();

    let (summary, records) = run_load(&spec, &RunTarget::ManagedFleet(None))
        .await
        .unwrap();

    // The slow engine runs a batch of two in 8 x (2,000 + 500) us: 100 tokens per second.
    assert_near(summary.bound, 100.0, 0.1);
    assert!(
        summary.ratio > 0.0 && summary.ratio <= 1.02,
        "ratio {}",
        summary.ratio
    );
    let is_complete = |record: &RequestRecord| record.outcome == RequestOutcome::Completed;
    assert!(records.iter().all(is_complete), "{:?}", summary.outcomes);
}

#[async_std::test]
async fn open_loop_run_counts_every_request() {
    let mut run: Value = serde_json::from_str(ONE_CHAIN).unwrap();
    run.as_object_mut().unwrap().remove("closed_loop");
    run["requests_per_second"] = json!(4);
    run["service_calls_per_second"] = json!(10);
    run["duration_ms"] = json!(2_000);
    let spec = RunSpec::parse(&run.to_string()).unwrap();

    let (summary, records) = run_load(&spec, &RunTarget::ManagedFleet(None))
        .await
        .unwrap();

    let planned = plan_workload(&spec, 4.0);
    let calls = records.iter().filter(|record| record.service).count() as u64;
    let is_complete = |record: &RequestRecord| record.outcome == RequestOutcome::Completed;
    assert_eq!(records.len(), planned.len());
    assert!(calls > 0 && records.iter().all(is_complete), "{records:?}");
    assert_eq!(summary.service_outcomes[&RequestOutcome::Completed], calls);
    assert_eq!(summary.service_faults, 0);
}
