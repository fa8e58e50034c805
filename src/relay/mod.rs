//! Relays callers' requests to targets: target selection, retries and local replies.

mod attempt;
mod budget;
mod caller_stream;
mod capacity;
mod choice;
mod closed_heads;
mod context;
mod crashes;
mod distribution;
mod event_progress;
mod exchange;
mod forwarding;
mod lending;
mod limits;
mod listener;
mod load_metrics;
mod local_reply;
mod metadata;
mod metrics;
mod notices;
mod path;
mod plain;
mod refusals;
mod request_refusal;
mod retry;
mod return_time;
mod settings;
mod stall;
mod stream_chain;
mod stream_failure;
mod stream_opening;
mod streaming;
mod suspicion;
mod uploads;
mod via_peer;

pub use budget::{BudgetLimits, RetryBudget};
pub use choice::{ChainRequirement, MAX_RESERVED_SHARE, pick_chain, pick_target};
pub use context::RelayContext;
pub(crate) use crashes::{CRASH_RETENTION, merge_peer_crashes, unstored_crashes};
pub use distribution::{FlowCandidate, FlowTable, RoundRobin, ServiceChains, flow_shares};
pub(crate) use lending::answer_retry_ask;
pub(crate) use limits::{answer_ask, is_resting, known_limits, merge_limits};
pub use listener::{serve_callers, serve_peer_requests};
pub use load_metrics::LoadMetrics;
pub use local_reply::{LocalReply, RefusalCause};
pub use metadata::{DispatchMetadata, RelayCodec, ReplyMetadata, RequestMetadata, TargetNotices};
pub use metrics::RelayMetrics;
pub(crate) use notices::{leaving_runs, merge_leaving_runs, observe_call};
pub(crate) use path::{PATH_WATCH_PERIOD, watch_path};
pub use retry::{RelayFailure, RetryState, RetryStep};
pub use return_time::{RefusalPressure, return_delay};
pub use settings::{
    BalancingSettings, GatewayAdmission, GatewayBounds, GatewayListen, GatewaySettings,
    GatewayStore, ProcessLimits,
};
pub use stall::{StallDetector, StallStep};
pub(crate) use suspicion::count_crashes;
pub use via_peer::PeerDispatch;
