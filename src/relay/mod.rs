//! Relays callers' requests to targets: target selection, retries and local replies.

mod attempt;
mod budget;
mod caller_stream;
mod choice;
mod context;
mod crashes;
mod event_progress;
mod exchange;
mod forwarding;
mod limits;
mod listener;
mod local_reply;
mod metadata;
mod metrics;
mod plain;
mod refusals;
mod retry;
mod settings;
mod stall;
mod streaming;
mod suspicion;

pub use budget::{BudgetLimits, RetryBudget};
pub use choice::{ChainRequirement, pick_chain, pick_target};
pub use context::RelayContext;
pub(crate) use crashes::{CRASH_RETENTION, merge_peer_crashes, unstored_crashes};
pub(crate) use limits::{answer_ask, known_limits, merge_limits};
pub use listener::serve_callers;
pub use local_reply::{LocalReply, RefusalCause};
pub use metadata::{DispatchMetadata, RelayCodec, ReplyMetadata, RequestMetadata};
pub use metrics::RelayMetrics;
pub use retry::{RelayFailure, RetryState, RetryStep};
pub use settings::{GatewayBounds, GatewayListen, GatewaySettings, GatewayStore};
pub use stall::{StallDetector, StallStep};
pub(crate) use suspicion::count_crashes;
