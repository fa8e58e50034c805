//! What real daemons cost when no request runs, at several sizes, and what the request path costs.

use crate::capacity::CapacityPoint;
use crate::fleet::ProgramPaths;
use crate::load::{LoadFleet, RunSpec, RunTarget, TrafficGroup, run_load};
use async_std::task;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Result of a measurement.
type Result<T> = std::result::Result<T, String>;

/// Time for the fleet to settle before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time over which it is measured.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Engines, daemons and teams when they are not the size that varies.
const BASE_SIZES: (usize, usize, usize) = (36, 2, 10);
/// Engines before the daemons.
const ENGINE_COUNTS: [usize; 3] = [36, 108, 216];
/// Daemons.
const DAEMON_COUNTS: [usize; 4] = [2, 8, 24, 64];
/// Teams.
const TEAM_COUNTS: [usize; 3] = [10, 600, 2_400];
/// Requests in progress at once while the request path is measured.
const STREAM_COUNTS: [u32; 4] = [2, 8, 24, 48];

/// A run of this size; engines hold a third of the model each.
fn sized_run(engines: usize, daemons: usize, teams: usize) -> Value {
    let team = |index: usize| json!({ "team": format!("team-{index}"), "share": 1 });
    json!({
        "name": "capacity", "seed": 1, "mode": "daemons",
        "duration_ms": 6_000, "warmup_ms": 1_000, "closed_loop": 1,
        "prompt": { "median": 40, "sigma": 0.5, "cap": 200 },
        "answer": { "median": 60, "sigma": 0.5, "cap": 300 },
        "teams": (0..teams).map(team).collect::<Vec<_>>(),
        "layers": 24, "replicas": engines / 3, "daemons": daemons, "services": 0,
        "domains": ["bangna", "lat-krabang", "rangsit"],
        "kinds": [{ "kind": "k", "layers": 8, "layer_micros": 400, "item_micros": 20,
            "prefill_micros": 1, "max_batch": 32 }],
        "engines": vec!["k"; engines / 3],
        "near": { "delay_micros": 0, "per_second": 0 },
        "far": { "delay_micros": 0, "per_second": 0 },
        "report_lag_ms": 1_000,
    })
}

fn parse_run(run: &Value) -> Result<RunSpec> {
    RunSpec::parse(&run.to_string()).map_err(|errors| format!("{errors:?}"))
}

/// What one daemon costs without requests, by the numbers of engines, daemons and teams.
///
/// # Errors
/// When a fleet does not start.
pub async fn measure_daemons(programs: &ProgramPaths) -> Result<Vec<CapacityPoint>> {
    let (engines, daemons, teams) = BASE_SIZES;
    let mut points = Vec::new();
    for size in ENGINE_COUNTS {
        points.extend(measure_idle(programs, (size, daemons, teams), ("target", size)).await?);
    }
    for size in DAEMON_COUNTS {
        points.extend(measure_idle(programs, (engines, size, teams), ("daemon", size)).await?);
    }
    for size in TEAM_COUNTS {
        points.extend(measure_idle(programs, (engines, daemons, size), ("team", size)).await?);
    }
    Ok(points)
}

/// Counters of a fleet at one moment.
struct FleetCounters {
    processor: Duration,
    resident_kib: u64,
    engines: u64,
    platform: u64,
    peers: u64,
    calls: u64,
}

async fn read_counters(fleet: &LoadFleet) -> FleetCounters {
    let usage = fleet.daemon_usage();
    let calls = fleet.platform_calls().await;
    let store = calls
        .iter()
        .filter(|(name, _)| *name != "list" && *name != "weights");
    FleetCounters {
        processor: usage.iter().map(|usage| usage.processor).sum(),
        resident_kib: usage.iter().map(|usage| usage.resident_kib).sum(),
        engines: fleet.meters.bytes(TrafficGroup::Engines),
        platform: fleet.meters.bytes(TrafficGroup::Platform),
        peers: fleet.meters.bytes(TrafficGroup::Peers),
        calls: store.map(|(_, count)| count).sum(),
    }
}

async fn measure_idle(
    programs: &ProgramPaths,
    (engines, daemons, teams): (usize, usize, usize),
    (per, size): (&str, usize),
) -> Result<Vec<CapacityPoint>> {
    eprintln!("idle: {engines} engines, {daemons} daemons, {teams} teams");
    let spec = parse_run(&sized_run(engines, daemons, teams))?;
    let fleet = LoadFleet::start_metered(&spec, Some(programs.clone()), true).await?;
    task::sleep(SETTLE_TIME).await;
    let (start, before) = (Instant::now(), read_counters(&fleet).await);
    task::sleep(MEASURE_TIME).await;
    let after = read_counters(&fleet).await;
    let seconds = start.elapsed().as_secs_f64() * daemons as f64;
    let processor = after
        .processor
        .saturating_sub(before.processor)
        .as_secs_f64();
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    let memory = after.resident_kib as f64 / 1_024.0 / daemons as f64;
    let values = [
        ("idle daemon, % of a core", 100.0 * processor / seconds),
        ("idle daemon, resident MiB", memory),
        (
            "traffic with engines, B/s",
            rate(after.engines, before.engines),
        ),
        (
            "traffic with the platform, B/s",
            rate(after.platform, before.platform),
        ),
        ("traffic from daemons, B/s", rate(after.peers, before.peers)),
        (
            "store calls of all daemons, 1/s",
            rate(after.calls, before.calls) * daemons as f64,
        ),
    ];
    let point = |(measure, value)| CapacityPoint::new(measure, per, size as f64, value);
    Ok(values.into_iter().map(point).collect())
}

/// Processor time of one daemon by the tokens a second that pass it.
///
/// # Errors
/// When a fleet does not start.
pub async fn measure_request_path(programs: &ProgramPaths) -> Result<Vec<CapacityPoint>> {
    let mut points = Vec::new();
    for streams in STREAM_COUNTS {
        let mut run = sized_run(36, 1, 10);
        run["closed_loop"] = json!(streams);
        let spec = parse_run(&run)?;
        let target = RunTarget::OwnFleet(Some(programs.clone()));
        let (summary, _records) = run_load(&spec, &target).await?;
        eprintln!("\n{summary}");
        let percent = 100.0 * summary.daemon_cores;
        let measure = "request path, % of a core";
        points.push(CapacityPoint::new(
            measure,
            "token/s",
            summary.throughput,
            percent,
        ));
    }
    Ok(points)
}
