//! Time to choose a chain, by policy and number of engines: `cargo bench --bench routing`.

use arbutusmount::{
    ChainChoice, ChainQuery, EngineReport, HeldStage, LoadDigest, LoadRow, ModelEntry, ModelGraph,
    ModelSpec, MonoTime, PolicyName, StagePlacement, TargetTable, choose_chain,
    compute_flow_weights,
};
use prost::Message;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sizes: a small fleet, today's, a middle one and the target's.
const ENGINE_COUNTS: [usize; 4] = [9, 36, 300, 1_700];
const LAYERS: u32 = 24;
/// Ways in which copies are cut into stages, as on accelerators of unequal memory.
const STAGE_BOUNDS: [&[u32]; 3] = [&[0, 8, 16, 24], &[0, 12, 24], &[0, 6, 12, 18, 24]];
/// Time spent on each figure.
const MEASURE_TIME: Duration = Duration::from_millis(200);
/// A time at which slow start is over.
const NOW: MonoTime = MonoTime(60_000_000);
const SEED: u64 = 4_711;

fn make_entry(count: usize) -> Arc<ModelEntry> {
    let spec: ModelSpec = serde_json::from_value(serde_json::json!({
        "model": "helpdesk", "version": "v1", "layers": LAYERS, "layer_bytes": 1, "replicas": 1,
    }))
    .expect("valid model");
    let ranges = STAGE_BOUNDS
        .iter()
        .cycle()
        .flat_map(|cuts| cuts.windows(2).map(|pair| (pair[0], pair[1])));
    let placements = ranges.take(count).enumerate().map(|(index, (from, to))| {
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

fn make_table(entry: &ModelEntry, rng: &mut fastrand::Rng) -> TargetTable {
    let targets = TargetTable::default();
    let rows = entry.placements.iter();
    targets.replace(rows.map(|row| (row.instance.clone(), row.address)));
    for row in &entry.placements {
        let held = HeldStage {
            model: row.model.clone(),
            version: row.version.clone(),
            layers: row.layers,
            ready: true,
        };
        let report = EngineReport {
            stages: vec![held],
            step_micros: 1_000 * rng.u64(1..8),
            item_micros: 50,
            max_batch: 32,
            sessions: rng.u32(..40),
            ..EngineReport::default()
        };
        let target = targets.get(&row.instance).expect("just added");
        target.publish(report, 0);
    }
    targets
}

/// Nanoseconds for each run of `work`.
fn measure(mut work: impl FnMut()) -> f64 {
    let (start, mut runs) = (Instant::now(), 0_u64);
    while start.elapsed() < MEASURE_TIME {
        work();
        runs += 1;
    }
    start.elapsed().as_nanos() as f64 / runs as f64
}

fn bench_size(count: usize) {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let entry = make_entry(count);
    let targets = make_table(&entry, &mut rng);
    let graph = ModelGraph::build(&entry, &targets);
    graph.publish_weights(compute_flow_weights(&graph, NOW));
    let query = ChainQuery {
        excluded: &[],
        warm: &[],
        ignore_health: false,
        isolated: false,
        now: NOW,
    };
    for policy in PolicyName::all() {
        let nanos = measure(|| {
            let choice = choose_chain(black_box(&graph), &query, policy, &mut rng);
            assert!(matches!(black_box(choice), ChainChoice::Chain(_)));
        });
        println!("{count:>6} engines  choose {policy:<16} {nanos:>12.0} ns");
    }
    let build = measure(|| drop(black_box(ModelGraph::build(&entry, &targets))));
    println!("{count:>6} engines  build graph             {build:>12.0} ns");
    let weigh = measure(|| drop(black_box(compute_flow_weights(&graph, NOW))));
    println!("{count:>6} engines  weigh flows             {weigh:>12.0} ns");
}

/// Bytes of one engine's load on its way between daemons.
fn measure_rows() {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let entry = make_entry(1);
    let targets = make_table(&entry, &mut rng);
    let instance = &entry.placements[0].instance;
    let target = targets.get(instance).expect("just added");
    let report = target.report().expect("just published");
    let bytes = |known| {
        let rows = vec![LoadRow::new(instance, &report, 900, known)];
        LoadDigest { rows }.encoded_len()
    };
    let (load, whole) = (bytes(Some(&report)), bytes(None));
    println!("load row {load} bytes, with the whole report {whole} bytes");
}

fn main() {
    println!("seed {SEED}");
    measure_rows();
    for count in ENGINE_COUNTS {
        bench_size(count);
    }
}
