//! Arguments and subcommands of the program.

use crate::claims_bench::{ClaimBench, run_claims_bench};
use crate::demo::run_demo;
use crate::engine::{EngineKnobs, EngineStandIn};
use crate::platform::{PlatformKnobs, PlatformStandIn};
use crate::proxy::FaultProxy;
use crate::service::{ServiceKnobs, ServiceStandIn};
use arbutusmount::InstanceId;
use async_std::net::TcpListener;
use async_std::task;
use pico_args::Arguments;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Result of a subcommand; the error is shown to the person who gave it.
type Result<T> = std::result::Result<T, String>;

const HELP: &str = "\
rig - stand-ins, fault proxy and demo for arbutusmount

Usage:
  rig demo                                          run the demo
  rig engine --listen ADDR --instance NAME [--weights ADDR] [--knobs JSON]
  rig service --listen ADDR [--ledger FILE] [--knobs JSON]
  rig platform --listen ADDR [--knobs JSON]
  rig proxy --listen ADDR --target ADDR
  rig claims-bench [--rates N,N] [--daemons N] [--seconds N] [--writes N]
                   [--delay MS] [--spacing MS] [--seed N]
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
        Some("claims-bench") => bench_claims(arguments),
        Some("engine") => run_engine(arguments),
        Some("service") => run_service(arguments),
        Some("platform") => run_platform(arguments),
        Some("proxy") => run_proxy(arguments),
        Some(other) => Err(format!("unknown subcommand {other}\n{HELP}")),
        None => {
            print!("{HELP}");
            Ok(())
        }
    }
}

fn read_value<T: std::str::FromStr>(arguments: &mut Arguments, name: &'static str) -> Result<T>
where
    T::Err: std::fmt::Display,
{
    arguments.value_from_str(name).map_err(|e| e.to_string())
}

fn read_knobs<T: DeserializeOwned + Default>(arguments: &mut Arguments) -> Result<T> {
    let text: Option<String> = arguments
        .opt_value_from_str("--knobs")
        .map_err(|e| e.to_string())?;
    text.map_or(Ok(T::default()), |text| {
        serde_json::from_str(&text).map_err(|e| e.to_string())
    })
}

fn read_or<T: std::str::FromStr>(
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

fn bench_claims(arguments: &mut Arguments) -> Result<()> {
    let rates: String = read_or(arguments, "--rates", "10,100,500,2000".to_owned())?;
    let rates: std::result::Result<Vec<u32>, _> = rates.split(',').map(str::parse).collect();
    let bench = ClaimBench {
        daemons: read_or(arguments, "--daemons", 8)?,
        rates: rates.map_err(|e| format!("--rates: {e}"))?,
        span: Duration::from_secs(read_or(arguments, "--seconds", 10)?),
        writes_per_second: read_or(arguments, "--writes", 300)?,
        delay_ms: read_or(arguments, "--delay", 3)?,
        spacing_ms: read_or(arguments, "--spacing", 80)?,
        seed: read_or(arguments, "--seed", 1)?,
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

fn run_proxy(arguments: &mut Arguments) -> Result<()> {
    let listen: SocketAddr = read_value(arguments, "--listen")?;
    let target: SocketAddr = read_value(arguments, "--target")?;
    task::block_on(async {
        let proxy = FaultProxy::start(listen, target)
            .await
            .map_err(|e| e.to_string())?;
        println!("proxy on {} before {target}", proxy.address());
        std::future::pending::<()>().await;
        Ok(())
    })
}
