//! Command line for operators and callers.

use arbutusmount::{OperatorCommand, run_command};
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match OperatorCommand::from_args(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(cause) => {
            eprintln!("arbutusmount: {cause}; see --help");
            return ExitCode::from(2);
        }
    };
    let token = std::env::var("ARBUTUSMOUNT_TOKEN").unwrap_or_default();
    match async_std::task::block_on(run_command(command, &token)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("arbutusmount: {cause}");
            ExitCode::FAILURE
        }
    }
}
