//! Routing of model requests: engine state, choice of a chain, and delivery of the answer over
//! several attempts.

mod answer;
mod attempt;
mod attempt_source;
mod delivery;
mod flow;
mod gap_estimate;
mod graph;
mod health;
mod isolation;
mod load;
mod load_digest;
mod load_reports;
mod machine;
mod metrics;
mod poison_gossip;
mod policy;
mod settings;
mod stage_fault;
mod stage_probe;
mod state;
mod targets;

pub use answer::{AnswerEvent, AnswerStream, start_generation};
pub use attempt::{GenerationRequest, TokenMeter, run_generation};
pub use delivery::{AttemptFailure, DeliveryState, DeliveryStep, FinalAnswer};
pub use flow::{FlowWeights, compute_flow_weights};
pub use gap_estimate::GapEstimate;
pub use graph::{GraphTable, ModelGraph, StageEdge};
pub use health::TargetHealth;
pub use isolation::IsolationGrants;
pub use load::{InFlightHistory, StageKey, StepTiming, TargetLoad};
pub use load_digest::{LoadDigest, LoadRow, choose_report_reader, hash_engine_name};
pub use machine::{
    AttemptEvent, AttemptLimits, AttemptMachine, AttemptNotice, AttemptStep, ChainConstraints,
};
pub use metrics::RoutingMetrics;
pub use policy::{ChainChoice, ChainQuery, choose_chain, expected_token_micros};
pub use settings::{PolicyError, PolicyName, ROUTING_TABLE, RoutingSettings};
pub use stage_fault::{AwaitedStep, StageFault, StageProbe, find_stage_faults};
pub use state::RoutingState;
pub use targets::{InFlightGuard, TargetReservation, TargetState, TargetTable};
