//! Starts fleets of real processes on loopback: platform, engines, services and daemons.

mod caller;
mod layout;
mod ports;
mod process;
mod running;

pub use caller::{AddressCaller, CallOutcome};
pub use layout::{
    DISPATCH_TOKEN, DaemonAddresses, FleetSpec, HEAD_OFFICE_TOKEN, OPERATOR_TOKEN, ProgramPaths,
    sample_declaration,
};
pub use ports::free_address;
pub use process::ProcessHandle;
pub use running::{ProcessFleet, wait_until};
