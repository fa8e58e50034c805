//! Runs the daemon with the settings file that `--settings` names.

use arbutusmount::{DaemonSettings, init_logging, run_daemon};
use std::process::ExitCode;

const HELP: &str = "Usage: arbutusmountd --settings FILE\n";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("arbutusmountd: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let path: String = arguments
        .value_from_str("--settings")
        .map_err(|e| e.to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let settings = DaemonSettings::parse(&text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        format!("{path} is invalid:\n{}", lines.join("\n"))
    })?;
    init_logging(&settings.log, settings.instance.as_str()).map_err(|e| e.to_string())?;
    async_std::task::block_on(run_daemon(settings)).map_err(|e| e.to_string())
}
