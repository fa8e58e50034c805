//! Stand-ins for the systems around arbutusmount, a fault-injecting proxy, a load tool and a demo.

mod args;
mod claims_bench;
mod demo;
mod engine;
mod fleet;
mod oracle;
mod platform;
mod proxy;
mod service;
mod web;

pub use args::run_program;
pub use claims_bench::{ClaimBench, run_claims_bench};
pub use demo::run_demo;
pub use engine::{EngineKnobs, EngineStandIn, LedgerEntry};
pub use fleet::{
    AGENT_TOKEN, DaemonSeat, FleetSpec, OPERATOR_TOKEN, ProcessFleet, ProcessHandle, ProgramPaths,
    TEAM_TOKEN, free_address, sample_declaration, wait_until,
};
pub use oracle::{OracleState, reference_answer, reference_text};
pub use platform::{PlatformKnobs, PlatformStandIn};
pub use proxy::{DirectionFault, FaultProxy, ProxyFaults};
pub use service::{RunRecord, ServiceKnobs, ServiceStandIn, read_ledger};
pub use web::{admin_get, admin_send, json_response};
