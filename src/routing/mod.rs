//! Routing of model requests: state of the engines, choice of a chain, delivery of the answer.

mod answer;
mod attempt;
mod chain;
mod delivery;
mod reports;
mod targets;

pub use answer::{AnswerEvent, AnswerStream, start_generation};
pub use attempt::{GenerationRequest, TokenMeter, run_generation};
pub use chain::{ChainChoice, ChainQuery, choose_chain};
pub use delivery::{AttemptFailure, DeliveryState, DeliveryStep, FinalAnswer};
pub use targets::{FlightGuard, TargetState, TargetTable};
