//! Test rig of arbutusmount: stand-ins for the systems around it, a fault-injecting proxy, tools
//! for load, experiments and capacity, and a demo.

mod args;
mod bound;
mod capacity;
mod claims_bench;
mod demo;
mod engine;
mod fleet;
mod load;
mod oracle;
mod overhead;
mod platform;
mod proxy;
mod report;
mod service;
mod site;
mod soak;
mod web;

pub use args::run_program;
pub use bound::{StageRate, TokenWork, flow_bound, link_rate};
pub use capacity::{
    CapacityPoint, LinearFit, fit_line, measure_data_structures, measure_decisions,
    measure_idle_daemons, measure_membership, measure_memory, measure_request_path, render_points,
};
pub use claims_bench::{ClaimBench, run_claims_bench};
pub use demo::run_demo;
pub use engine::{EngineKnobs, EngineStandIn, LedgerEntry, LinkKnobs, StreamFault};
pub use fleet::{
    AddressCaller, CallOutcome, DISPATCH_TOKEN, DaemonAddresses, FleetSpec, HEAD_OFFICE_TOKEN,
    OPERATOR_TOKEN, ProcessFleet, ProcessHandle, ProgramPaths, free_address, sample_declaration,
    wait_until,
};
pub use load::{
    ArrivalKind, ArrivalSpec, ArrivalStep, EngineKind, ExperimentSpec, FaultKind, FaultSpec,
    LatencyRecorder, LengthSpec, Percentiles, PlannedRequest, ProcessUsage, RequestKind,
    RequestOutcome, RequestRecord, RunMode, RunSpec, RunSummary, RunTarget, TeamLoad, TeamSummary,
    draw_length, jain_index, mean_lengths, plan_arrivals, plan_workload, read_usage,
    run_experiment, run_load,
};
pub use oracle::{OracleState, reference_answer, reference_text};
pub use platform::{PlatformKnobs, PlatformStandIn};
pub use proxy::{ConnectFault, DirectionFault, FaultProxy, ProxyEvent, ProxyFaults, ProxyObserver};
pub use report::{RunGroup, group_runs, read_summaries, render_recovery, render_runs, write_plots};
pub use service::{RunRecord, ServiceKnobs, ServiceStandIn, read_ledger};
pub use site::{
    BadArrival, BadPart, CrashManner, CrashRegistry, CrashRun, CutEnd, CutScope, EndlessPart,
    LimitLedger, LinkState, LostWrite, ModelKnobs, ModelServer, NoticeLedger, PLAIN_BODY,
    PlainFault, PlainRun, PlainServer, ReplyEnd, ReplyMoment, ScriptedReply, ServerLinks,
    SiteDaemon, SiteFleet, SiteRequest, SiteResponse, SiteSpec, SiteStore, StoreFault,
    StoreRestore, StreamCut, StreamFraming, event_text, leave_site_request, plain_server_entry,
    read_site_response, sample_config, send_endless, send_site_request, serve_once,
};
pub use soak::{
    ConfigState, ExchangeEnd, FAULT_TABLE, FaultPair, FaultScope, FaultSpan, FaultSubject,
    HttpMessage, NamedLimit, OwnEnd, RequestRule, RuleBounds, RuleName, RuleViolation,
    ServerDeparture, ServerRun, SoakEvidence, SoakExchange, SoakFault, SoakReport, SoakSpec,
    UnframedBody, check_rules, find_daemon_program, pairs_of_seed, run_soak,
};
pub use web::{admin_get, admin_send, admin_text, json_response};
