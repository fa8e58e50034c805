//! Measures daemon processes: idle ones at several sizes, and the CPU time of the request path.

use crate::capacity::CapacityPoint;
use crate::fleet::ProgramPaths;
use crate::load::{LoadFleet, RunSpec, RunTarget, TrafficGroup, run_load};
use async_std::task;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Result of a measurement; the error is a text.
type Result<T> = std::result::Result<T, String>;

/// Time from the start of a fleet to the start of the measurement, in which it reaches a steady
/// state.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Duration of a measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Numbers of engines, daemons and teams, for those that do not vary.
const BASE_SIZES: (usize, usize, usize) = (36, 2, 10);
/// Numbers of engines to measure.
const ENGINE_COUNTS: [usize; 3] = [36, 108, 216];
/// Numbers of daemons to measure.
const DAEMON_COUNTS: [usize; 4] = [2, 8, 24, 64];
/// Numbers of teams to measure.
const TEAM_COUNTS: [usize; 3] = [10, 600, 2_400];
/// Numbers of requests in flight to measure the request path with.
const STREAM_COUNTS: [u32; 4] = [2, 8, 24, 48];

/// Returns a run file for this size. Each engine holds a third of the model's layers.
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

/// Measures the CPU time, memory and traffic of an idle daemon, by the numbers of engines, daemons
/// and teams.
///
/// # Errors
/// Returns why a fleet did not start.
pub async fn measure_idle_daemons(programs: &ProgramPaths) -> Result<Vec<CapacityPoint>> {
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

/// Counters of a fleet at one point in time.
struct FleetCounters {
    cpu_time: Duration,
    resident_kib: u64,
    engine_bytes: u64,
    platform_bytes: u64,
    peer_bytes: u64,
    store_calls: u64,
}

async fn read_counters(fleet: &LoadFleet) -> FleetCounters {
    let usage = fleet.daemon_usage();
    let calls = fleet.platform_calls().await;
    let store_calls = calls
        .iter()
        .filter(|(name, _)| *name != "list" && *name != "weights");
    FleetCounters {
        cpu_time: usage.iter().map(|usage| usage.cpu_time).sum(),
        resident_kib: usage.iter().map(|usage| usage.resident_kib).sum(),
        engine_bytes: fleet.meters.bytes(TrafficGroup::Engines),
        platform_bytes: fleet.meters.bytes(TrafficGroup::Platform),
        peer_bytes: fleet.meters.bytes(TrafficGroup::Peers),
        store_calls: store_calls.map(|(_, count)| count).sum(),
    }
}

/// Measures one size of an idle fleet. `per` and `size` are those of the points.
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
    let cpu_time = after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64();
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    let memory = after.resident_kib as f64 / 1_024.0 / daemons as f64;
    let values = [
        ("idle daemon, % of a core", 100.0 * cpu_time / seconds),
        ("idle daemon, resident MiB", memory),
        (
            "traffic with engines, B/s",
            rate(after.engine_bytes, before.engine_bytes),
        ),
        (
            "traffic with the platform, B/s",
            rate(after.platform_bytes, before.platform_bytes),
        ),
        (
            "traffic from daemons, B/s",
            rate(after.peer_bytes, before.peer_bytes),
        ),
        (
            "store calls of all daemons, 1/s",
            rate(after.store_calls, before.store_calls) * daemons as f64,
        ),
    ];
    let point = |(measure, value)| CapacityPoint::new(measure, per, size as f64, value);
    Ok(values.into_iter().map(point).collect())
}

/// Measures the CPU time of one daemon by the tokens per second that it forwards.
///
/// # Errors
/// Returns why a fleet did not start.
pub async fn measure_request_path(programs: &ProgramPaths) -> Result<Vec<CapacityPoint>> {
    let mut points = Vec::new();
    for in_flight in STREAM_COUNTS {
        let mut run = sized_run(36, 1, 10);
        run["closed_loop"] = json!(in_flight);
        let spec = parse_run(&run)?;
        let target = RunTarget::ManagedFleet(Some(programs.clone()));
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
