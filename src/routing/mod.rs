//! Routing of model requests: state of the engines, choice of a chain, delivery of the answer.

mod answer;
mod attempt;
mod delivery;
mod flow;
mod graph;
mod health;
mod load;
mod policy;
mod reports;
mod settings;
mod state;
mod targets;

pub use answer::{AnswerEvent, AnswerStream, start_generation};
pub use attempt::{GenerationRequest, TokenMeter, run_generation};
pub use delivery::{AttemptFailure, DeliveryState, DeliveryStep, FinalAnswer};
pub use flow::{FlowWeights, weigh_flows};
pub use graph::{GraphTable, ModelGraph, StageEdge};
pub use health::TargetHealth;
pub use load::{OwnHistory, StepRate, TargetLoad};
pub use policy::{ChainChoice, ChainQuery, choose_chain, expected_micros};
pub use settings::{PolicyError, PolicyName, ROUTING_TABLE, RoutingSettings};
pub use state::RoutingState;
pub use targets::{FlightGuard, TargetReservation, TargetState, TargetTable};
