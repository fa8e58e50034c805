//! What the decisions and the state behind them cost, without sockets.

use crate::capacity::CapacityPoint;
use crate::load::read_usage;
use arbutusmount::{
    AcceptedConfig, ChainQuery, ConfigDocument, ConfigRevision, EngineReport, FleetDeclaration,
    HeldStage, LayerRange, ModelEntry, ModelGraph, ModelSpec, MonoTime, PlanId, PolicyName,
    StagePlacement, TargetTable, choose_chain, compute_flow_weights, digest_token,
};
use serde_json::json;
use std::any::Any;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Engines of one model: today's, and up to a sixth of the target's 14,000.
const TARGET_COUNTS: [usize; 6] = [36, 150, 300, 800, 1_700, 2_333];
/// Engines of a whole fleet.
const FLEET_ENGINE_COUNTS: [usize; 4] = [36, 300, 1_700, 14_000];
/// Teams.
const TEAM_COUNTS: [usize; 4] = [10, 300, 1_000, 2_400];
/// Layers of the model.
const LAYERS: u32 = 24;
/// Layers that each engine holds.
const STAGE_LAYERS: u32 = 8;
/// Least time over which an operation is repeated.
const MIN_BATCH_TIME: Duration = Duration::from_millis(20);
/// Batches of repetitions, of which the fastest counts.
const BATCHES: usize = 15;
/// Memory that copies of a state take together at least, in bytes, to stand out in the resident
/// memory of the process.
const MIN_TOTAL_BYTES: usize = 48 << 20;

/// Time of one operation in nanoseconds: that of the fastest of several batches, since other work on
/// the machine can only slow a batch down.
pub(super) fn time_operation<T>(mut operation: impl FnMut() -> T) -> f64 {
    let mut fastest = f64::INFINITY;
    for _ in 0..BATCHES {
        let (start, mut count) = (Instant::now(), 0_u32);
        while start.elapsed() < MIN_BATCH_TIME {
            black_box(operation());
            count += 1;
        }
        fastest = fastest.min(start.elapsed().as_nanos() as f64 / f64::from(count));
    }
    fastest
}

fn stage_layers(index: usize) -> LayerRange {
    let from = index as u32 % (LAYERS / STAGE_LAYERS) * STAGE_LAYERS;
    LayerRange::new(from, from + STAGE_LAYERS)
}

fn make_placements(engines: usize) -> Vec<StagePlacement> {
    let place = |index: usize| {
        let high = (index >> 8) as u8;
        let address = SocketAddr::from(([10, 0, high, index as u8], 7_000));
        StagePlacement {
            model: "helpdesk".parse().expect("valid name"),
            version: "v1".parse().expect("valid name"),
            instance: format!("engine-{index:05}").parse().expect("valid name"),
            address,
            layers: stage_layers(index),
        }
    };
    (0..engines).map(place).collect()
}

fn make_spec() -> ModelSpec {
    ModelSpec {
        model: "helpdesk".parse().expect("valid name"),
        version: "v1".parse().expect("valid name"),
        layers: LAYERS,
        layer_bytes: 1_000,
        replicas: 1,
        floor: 0,
    }
}

/// A table of engines that have all reported, and the model that they hold.
fn make_targets(engines: usize) -> (Arc<ModelEntry>, TargetTable) {
    let placements = make_placements(engines);
    let table = TargetTable::default();
    let rows = placements.iter();
    table.replace(rows.map(|row| (row.instance.clone(), row.address)));
    for (index, row) in placements.iter().enumerate() {
        let stage = HeldStage {
            model: row.model.clone(),
            version: row.version.clone(),
            layers: row.layers,
            ready: true,
        };
        let report = EngineReport {
            stages: vec![stage],
            step_micros: 5_000 + 1_000 * (index as u64 % 8),
            item_micros: 600,
            max_batch: 16,
            sessions: index as u32 % 7,
            ..EngineReport::default()
        };
        if let Some(target) = table.get(&row.instance) {
            target.publish(report, 0);
        }
    }
    let entry = ModelEntry {
        spec: make_spec(),
        placements,
    };
    (Arc::new(entry), table)
}

/// A document with these numbers of teams and engines.
pub(super) fn make_document(teams: usize, engines: usize) -> ConfigDocument {
    let team = |index: usize| {
        json!({
            "team": format!("team-{index:04}"),
            "token_sha256": digest_token(&format!("secret-{index}")).to_string(),
            "priority": index % 3,
            "weight": 1 + index % 5,
            "tokens_per_second": 2_000.0,
        })
    };
    let declaration = json!({
        "models": [make_spec()],
        "teams": (0..teams).map(team).collect::<Vec<_>>(),
    });
    let plan: PlanId = "plan-1".parse().expect("valid name");
    ConfigDocument {
        plan,
        author: Arc::from("capacity"),
        declaration: FleetDeclaration::parse(&declaration.to_string()).expect("valid declaration"),
        placements: make_placements(engines),
        serving: Vec::new(),
    }
}

/// Times of the decisions of the request path and of the state that they read, at several sizes.
pub fn measure_decisions() -> Vec<CapacityPoint> {
    let mut points = Vec::new();
    for engines in TARGET_COUNTS {
        measure_chains(engines, &mut points);
    }
    for teams in TEAM_COUNTS {
        measure_teams(teams, &mut points);
    }
    for engines in FLEET_ENGINE_COUNTS {
        let document = make_document(10, engines);
        measure_document(&document, "target", engines as f64, &mut points);
    }
    points
}

fn measure_chains(engines: usize, points: &mut Vec<CapacityPoint>) {
    let (entry, table) = make_targets(engines);
    let size = engines as f64;
    let graph = ModelGraph::build(&entry, &table);
    let now = MonoTime(1_000_000);
    graph.publish_weights(compute_flow_weights(&graph, now));
    let query = ChainQuery {
        excluded: &[],
        warm: &[],
        ignore_health: false,
        isolated: false,
        now,
    };
    let mut rng = fastrand::Rng::with_seed(1);
    for policy in PolicyName::all() {
        let nanos = time_operation(|| choose_chain(&graph, &query, policy, &mut rng));
        let measure = format!("choose chain by {policy}, ns");
        points.push(CapacityPoint::new(&measure, "target", size, nanos));
    }
    let micros = time_operation(|| ModelGraph::build(&entry, &table)) / 1_000.0;
    points.push(CapacityPoint::new(
        "build graph, us",
        "target",
        size,
        micros,
    ));
    let micros = time_operation(|| compute_flow_weights(&graph, now)) / 1_000.0;
    points.push(CapacityPoint::new(
        "weigh flows, us",
        "target",
        size,
        micros,
    ));
}

/// Size of a configuration document, and the time of indexing it.
fn measure_document(
    document: &ConfigDocument,
    unit: &str,
    size: f64,
    points: &mut Vec<CapacityPoint>,
) {
    let bytes = serde_json::to_vec(document)
        .expect("documents serialize")
        .len();
    points.push(CapacityPoint::new(
        "document, bytes",
        unit,
        size,
        bytes as f64,
    ));
    let index = || AcceptedConfig::new(ConfigRevision(1), document.clone());
    let micros = time_operation(index) / 1_000.0;
    points.push(CapacityPoint::new("index document, us", unit, size, micros));
}

fn measure_teams(teams: usize, points: &mut Vec<CapacityPoint>) {
    let document = make_document(teams, 36);
    let size = teams as f64;
    measure_document(&document, "team", size, points);
    let config = AcceptedConfig::new(ConfigRevision(1), document);
    let token = format!("secret-{}", teams / 2);
    let nanos = time_operation(|| config.team(&digest_token(&token)).is_some());
    points.push(CapacityPoint::new(
        "look up team by token, ns",
        "team",
        size,
        nanos,
    ));
}

/// Resident memory of the state of targets and teams, at several sizes, in bytes. States are kept
/// until the end, so that none reuses the memory of another.
pub fn measure_memory() -> Vec<CapacityPoint> {
    let mut kept: Vec<Box<dyn Any>> = Vec::new();
    let mut points = Vec::new();
    for engines in TARGET_COUNTS {
        let copies = MIN_TOTAL_BYTES / (engines * 1_000);
        let bytes = resident_bytes_each(copies, &mut kept, || {
            let (entry, table) = make_targets(engines);
            let graph = ModelGraph::build(&entry, &table);
            graph.publish_weights(compute_flow_weights(&graph, MonoTime(1)));
            (entry, table, graph)
        });
        let size = engines as f64;
        points.push(CapacityPoint::new(
            "targets with reports and graph, bytes",
            "target",
            size,
            bytes,
        ));
    }
    for teams in TEAM_COUNTS {
        let copies = MIN_TOTAL_BYTES / (teams * 500 + 40_000);
        let bytes = resident_bytes_each(copies, &mut kept, || {
            AcceptedConfig::new(ConfigRevision(1), make_document(teams, 36))
        });
        points.push(CapacityPoint::new(
            "indexed document, bytes",
            "team",
            teams as f64,
            bytes,
        ));
    }
    points
}

fn resident_bytes_each<T: 'static>(
    copies: usize,
    kept: &mut Vec<Box<dyn Any>>,
    make: impl Fn() -> T,
) -> f64 {
    let resident = || read_usage(std::process::id()).resident_kib as f64 * 1_024.0;
    // The first copy warms up the allocator.
    kept.push(Box::new(make()));
    let before = resident();
    for _ in 0..copies {
        kept.push(Box::new(make()));
    }
    (resident() - before) / copies as f64
}
