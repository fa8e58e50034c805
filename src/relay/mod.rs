//! Relaying of callers' requests to targets: which target, what is repeated, what is answered.

mod answer;
mod attempt;
mod budget;
mod choice;
mod context;
mod course;
mod exchange;
mod listener;
mod metrics;
mod pace;
mod passing;
mod plain;
mod ports;
mod settings;
mod streaming;

pub use answer::{OwnAnswer, RefusalCause};
pub use budget::{BudgetLimits, RetryBudget};
pub use choice::{ChainNeed, pick_chain, pick_target};
pub use context::RelayContext;
pub use course::{CourseStep, RelayFailure, RequestCourse};
pub use listener::serve_callers;
pub use metrics::RelayMetrics;
pub use pace::{SilenceStep, StreamPace};
pub use ports::{DispatchFacts, RelayWords, ReplyFacts, RequestFacts};
pub use settings::{GatewayBounds, GatewayListen, GatewaySettings, GatewayStore};
