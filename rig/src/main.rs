//! Command line of the stand-ins, the load tool and the demo.

use std::process::ExitCode;

fn main() -> ExitCode {
    rig::run_program(pico_args::Arguments::from_env())
}
