//! Program `rig`: command line of the stand-ins, the measuring tools and the demo.

use std::process::ExitCode;

fn main() -> ExitCode {
    rig::run_program(pico_args::Arguments::from_env())
}
