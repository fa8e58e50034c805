//! Arguments and subcommands of the program.

use crate::capacity::{
    measure_data_structures, measure_decisions, measure_idle_daemons, measure_membership,
    measure_memory, measure_request_path, render_points,
};
use crate::claims_bench::{ClaimBench, run_claims_bench};
use crate::demo::run_demo;
use crate::engine::{EngineKnobs, EngineStandIn};
use crate::load::{
    ExperimentSpec, RunSpec, RunSummary, RunTarget, find_programs, run_experiment, run_load,
};
use crate::overhead::measure_overhead;
use crate::platform::{PlatformKnobs, PlatformStandIn};
use crate::proxy::FaultProxy;
use crate::report::{group_runs, read_summaries, render_recovery, render_runs, write_plots};
use crate::service::{ServiceKnobs, ServiceStandIn};
use crate::soak::{SoakSpec, find_daemon_program, run_soak};
use arbutusmount::{CheckError, InstanceId};
use async_std::net::TcpListener;
use async_std::task;
use pico_args::Arguments;
use serde::de::DeserializeOwned;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Result of a subcommand; the error text is printed to standard error.
type Result<T> = std::result::Result<T, String>;

const HELP: &str = "\
rig - stand-ins, fault proxy, load tool and demo for arbutusmount

Usage:
  rig demo                                          run the demo
  rig engine --listen ADDR --instance NAME [--weights ADDR] [--knobs JSON]
  rig service --listen ADDR [--ledger FILE] [--knobs JSON]
  rig platform --listen ADDR [--knobs JSON]
  rig proxy --listen ADDR --target ADDR
  rig claims-bench [--rates N,N] [--daemons N] [--seconds N] [--writes N]
                   [--delay MS] [--spacing MS] [--seed N]
  rig soak [--seed N | --seeds A..B] [--seconds S] [--daemons N] [--out DIR]
           [--pairs FAULT+FAULT,...]
                                                    play faults and check the rules
  rig load --run FILE [--daemon ADDR]... --out FILE [--requests FILE]
                                                    run one load and append its summary
  rig experiment FILE --out FILE                    run variants and append their summaries
  rig report FILE... --out DIR                      table and plots of several runs
  rig overhead                                      measure the latency that the daemon adds
  rig capacity core|daemons|path --out FILE         measure the cost of a daemon by size
";

/// Runs the program.
pub fn run_program(mut arguments: Arguments) -> ExitCode {
    match run_subcommand(&mut arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("rig: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn run_subcommand(arguments: &mut Arguments) -> Result<()> {
    let name = arguments.subcommand().map_err(|e| e.to_string())?;
    match name.as_deref() {
        Some("demo") => task::block_on(run_demo()),
        Some("claims-bench") => run_claims(arguments),
        Some("engine") => run_engine(arguments),
        Some("service") => run_service(arguments),
        Some("platform") => run_platform(arguments),
        Some("soak") => run_soak_seeds(arguments),
        Some("proxy") => run_proxy(arguments),
        Some("load") => run_load_file(arguments),
        Some("experiment") => run_experiment_file(arguments),
        Some("report") => run_report(arguments),
        Some("overhead") => run_overhead(),
        Some("capacity") => run_capacity(arguments),
        Some(other) => Err(format!("unknown subcommand {other}\n{HELP}")),
        None => {
            print!("{HELP}");
            Ok(())
        }
    }
}

/// Reads a required option.
fn read_value<T: std::str::FromStr>(arguments: &mut Arguments, name: &'static str) -> Result<T>
where
    T::Err: std::fmt::Display,
{
    arguments.value_from_str(name).map_err(|e| e.to_string())
}

/// Reads the JSON of `--knobs`; knobs that are not given keep their defaults.
fn read_knobs<T: DeserializeOwned + Default>(arguments: &mut Arguments) -> Result<T> {
    let text: Option<String> = arguments
        .opt_value_from_str("--knobs")
        .map_err(|e| e.to_string())?;
    text.map_or(Ok(T::default()), |text| {
        serde_json::from_str(&text).map_err(|e| e.to_string())
    })
}

/// Reads an option with a default.
fn read_or_default<T: std::str::FromStr>(
    arguments: &mut Arguments,
    name: &'static str,
    default: T,
) -> Result<T>
where
    T::Err: std::fmt::Display,
{
    let given = arguments.opt_value_from_str(name);
    given
        .map(|value| value.unwrap_or(default))
        .map_err(|e| e.to_string())
}

fn run_claims(arguments: &mut Arguments) -> Result<()> {
    let rates: String = read_or_default(arguments, "--rates", "10,100,500,2000".to_owned())?;
    let rates: std::result::Result<Vec<u32>, _> = rates.split(',').map(str::parse).collect();
    let bench = ClaimBench {
        daemons: read_or_default(arguments, "--daemons", 8)?,
        rates: rates.map_err(|e| format!("--rates: {e}"))?,
        row_duration: Duration::from_secs(read_or_default(arguments, "--seconds", 10)?),
        writes_per_second: read_or_default(arguments, "--writes", 300)?,
        delay_ms: read_or_default(arguments, "--delay", 3)?,
        write_spacing_ms: read_or_default(arguments, "--spacing", 80)?,
        seed: read_or_default(arguments, "--seed", 1)?,
    };
    task::block_on(run_claims_bench(bench))
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|e| format!("{address}: {e}"))
}

fn run_engine(arguments: &mut Arguments) -> Result<()> {
    let listen: SocketAddr = read_value(arguments, "--listen")?;
    let instance: InstanceId = read_value(arguments, "--instance")?;
    let weights = arguments
        .opt_value_from_str("--weights")
        .map_err(|e| e.to_string())?;
    let knobs: EngineKnobs = read_knobs(arguments)?;
    task::block_on(async {
        let engine = EngineStandIn::new(instance, weights, knobs);
        engine
            .serve(bind(listen).await?)
            .await
            .map_err(|e| e.to_string())
    })
}

fn run_overhead() -> Result<()> {
    let programs = find_programs().ok_or(
        "arbutusmountd is missing in the folder of this program; build the workspace first",
    )?;
    task::block_on(measure_overhead(programs))
}

fn run_service(arguments: &mut Arguments) -> Result<()> {
    let listen: SocketAddr = read_value(arguments, "--listen")?;
    let ledger: Option<PathBuf> = arguments
        .opt_value_from_str("--ledger")
        .map_err(|e| e.to_string())?;
    let knobs: ServiceKnobs = read_knobs(arguments)?;
    let service = match ledger {
        None => ServiceStandIn::new(knobs),
        Some(path) => ServiceStandIn::with_ledger(knobs, &path).map_err(|e| e.to_string())?,
    };
    task::block_on(async {
        service
            .serve(bind(listen).await?)
            .await
            .map_err(|e| e.to_string())
    })
}

fn run_platform(arguments: &mut Arguments) -> Result<()> {
    let listen: SocketAddr = read_value(arguments, "--listen")?;
    let knobs: PlatformKnobs = read_knobs(arguments)?;
    task::block_on(async {
        let platform = PlatformStandIn::new(knobs);
        platform
            .serve(bind(listen).await?)
            .await
            .map_err(|e| e.to_string())
    })
}

/// Reads the seeds to play: `--seed N`, or `--seeds A..B` without B.
fn read_seeds(arguments: &mut Arguments) -> Result<std::ops::Range<u64>> {
    let range: Option<String> = arguments
        .opt_value_from_str("--seeds")
        .map_err(|e| e.to_string())?;
    let Some(range) = range else {
        let seed: u64 = read_or_default(arguments, "--seed", 1)?;
        return Ok(seed..seed + 1);
    };
    let ends = range.split_once("..").and_then(|(from, to)| {
        let from: u64 = from.parse().ok()?;
        Some(from..to.parse().ok()?)
    });
    ends.filter(|ends| !ends.is_empty())
        .ok_or_else(|| format!("--seeds: {range} is no range such as 1..50"))
}

fn run_soak_seeds(arguments: &mut Arguments) -> Result<()> {
    let seeds = read_seeds(arguments)?;
    let program = find_daemon_program().ok_or(
        "arbutusmount-platform is missing in the folder of this program; build the workspace first",
    )?;
    let pairs: Option<String> = arguments
        .opt_value_from_str("--pairs")
        .map_err(|e| e.to_string())?;
    let pairs = pairs.iter().flat_map(|pairs| pairs.split(','));
    let mut spec = SoakSpec {
        seed: 0,
        pairs: pairs.map(str::parse).collect::<Result<_>>()?,
        span: Duration::from_secs(read_or_default(arguments, "--seconds", 20)?),
        daemons: read_or_default(arguments, "--daemons", 3)?,
        out: read_or_default(arguments, "--out", std::env::temp_dir().join("rig-soak"))?,
        program,
    };
    let mut failed = Vec::new();
    for seed in seeds {
        spec.seed = seed;
        let report = run_soak(&spec)?;
        print!("{report}");
        if !report.failures().is_empty() {
            failed.push(seed);
        }
    }
    if failed.is_empty() {
        Ok(())
    } else {
        Err(format!("failed seeds: {failed:?}"))
    }
}

fn run_proxy(arguments: &mut Arguments) -> Result<()> {
    let listen: SocketAddr = read_value(arguments, "--listen")?;
    let target: SocketAddr = read_value(arguments, "--target")?;
    task::block_on(async {
        let proxy = FaultProxy::start(listen, target)
            .await
            .map_err(|e| e.to_string())?;
        println!("proxy on {} forwards to {target}", proxy.address());
        std::future::pending::<()>().await;
        Ok(())
    })
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn format_errors(path: &Path, errors: &[CheckError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    format!("{} is invalid:\n{}", path.display(), lines.join("\n"))
}

/// Appends values to a file, one JSON document a line.
fn append_lines<T: serde::Serialize>(path: &Path, values: &[T]) -> Result<()> {
    let file = OpenOptions::new().create(true).append(true).open(path);
    let mut file = file.map_err(|e| format!("{}: {e}", path.display()))?;
    for value in values {
        let line = serde_json::to_string(value).map_err(|e| e.to_string())?;
        writeln!(file, "{line}").map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn run_load_file(arguments: &mut Arguments) -> Result<()> {
    let path: PathBuf = read_value(arguments, "--run")?;
    let out: PathBuf = read_value(arguments, "--out")?;
    let requests: Option<PathBuf> = arguments
        .opt_value_from_str("--requests")
        .map_err(|e| e.to_string())?;
    let variant: Option<String> = arguments
        .opt_value_from_str("--variant")
        .map_err(|e| e.to_string())?;
    let daemons: Vec<SocketAddr> = arguments
        .values_from_str("--daemon")
        .map_err(|e| e.to_string())?;
    let spec =
        RunSpec::parse(&read_file(&path)?).map_err(|errors| format_errors(&path, &errors))?;
    let target = if daemons.is_empty() {
        RunTarget::ManagedFleet(find_programs())
    } else {
        RunTarget::ExistingDaemons(daemons)
    };
    let (summary, records) = task::block_on(run_load(&spec, &target))?;
    let summary = RunSummary {
        variant: Arc::from(variant.unwrap_or_default()),
        ..summary
    };
    println!("{summary}");
    append_lines(&out, &[summary])?;
    requests.map_or(Ok(()), |path| append_lines(&path, &records))
}

fn run_experiment_file(arguments: &mut Arguments) -> Result<()> {
    let path: PathBuf = arguments.free_from_str().map_err(|e| e.to_string())?;
    let out: PathBuf = read_value(arguments, "--out")?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let spec = ExperimentSpec::parse(&read_file(&path)?, |name| read_file(&folder.join(name)));
    let spec = spec.map_err(|errors| format_errors(&path, &errors))?;
    run_experiment(&spec, &out)
}

fn run_capacity(arguments: &mut Arguments) -> Result<()> {
    let part: String = arguments.free_from_str().map_err(|e| e.to_string())?;
    let out: PathBuf = read_value(arguments, "--out")?;
    let programs = || {
        find_programs().ok_or(
            "arbutusmountd is missing in the folder of this program; build the workspace first",
        )
    };
    let points = match &*part {
        "core" => {
            let mut points = measure_memory();
            points.extend(measure_decisions());
            points.extend(measure_data_structures());
            points.extend(measure_membership());
            points
        }
        "daemons" => task::block_on(measure_idle_daemons(&programs()?))?,
        "path" => task::block_on(measure_request_path(&programs()?))?,
        other => return Err(format!("unknown part {other}; use core, daemons or path")),
    };
    print!("{}", render_points(&points));
    append_lines(&out, &points)
}

fn run_report(arguments: &mut Arguments) -> Result<()> {
    let folder: PathBuf = read_value(arguments, "--out")?;
    let mut summaries = Vec::new();
    while let Some(path) = arguments
        .opt_free_from_str::<PathBuf>()
        .map_err(|e| e.to_string())?
    {
        let read = read_summaries(&read_file(&path)?);
        summaries.extend(read.map_err(|cause| format!("{}: {cause}", path.display()))?);
    }
    let groups = group_runs(summaries);
    let plots = write_plots(&groups, &folder)?;
    let mut text = render_runs(&groups);
    let recovery = render_recovery(&groups);
    if !recovery.is_empty() {
        text = format!("{text}\n{recovery}");
    }
    print!("{text}");
    let table = folder.join("table.md");
    std::fs::write(&table, &text).map_err(|e| format!("{}: {e}", table.display()))?;
    for plot in plots {
        println!("{}", plot.display());
    }
    Ok(())
}
