//! Routing of model requests: state of the engines, choice of a chain, delivery of the answer.

mod answer;
mod attempt;
mod delivery;
mod flow;
mod gaps;
mod graph;
mod health;
mod load;
mod machine;
mod metrics;
mod poison;
mod poison_gossip;
mod policy;
mod probe;
mod probing;
mod reports;
mod settings;
mod share;
mod source;
mod state;
mod targets;
mod trial;

pub use answer::{AnswerEvent, AnswerStream, start_generation};
pub use attempt::{GenerationRequest, TokenMeter, run_generation};
pub use delivery::{AttemptFailure, DeliveryState, DeliveryStep, FinalAnswer};
pub use flow::{FlowWeights, weigh_flows};
pub use gaps::GapEstimate;
pub use graph::{GraphTable, ModelGraph, StageEdge};
pub use health::TargetHealth;
pub use load::{OwnHistory, StageKey, StepRate, TargetLoad};
pub use machine::{
    AttemptEvent, AttemptMachine, AttemptNotice, AttemptStep, ChainWish, MachineSpec,
};
pub use metrics::RoutingMetrics;
pub use poison::{PoisonEntry, PoisonFingerprint, PoisonTable};
pub use policy::{ChainChoice, ChainQuery, choose_chain, expected_micros};
pub use probe::{AwaitedStep, StageFault, StageProbe, judge_probes};
pub use settings::{PolicyError, PolicyName, ROUTING_TABLE, RoutingSettings};
pub use share::{LoadDigest, LoadRow, engine_key, pick_reader};
pub use state::RoutingState;
pub use targets::{FlightGuard, TargetReservation, TargetState, TargetTable};
pub use trial::GrantTable;
