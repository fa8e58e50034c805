//! Claims on idempotency keys. A claim records in the key-value store which attempt may dispatch
//! the call with a key. A call that must not be retried is dispatched only after its key has been
//! claimed, so that it is executed at most once.

mod attempts;
mod cache;
mod event;
mod home;
mod key;
mod metrics;
mod node;
mod operation;
mod page;
mod plugin;
mod refusal;
mod service;
mod settings;
mod wire;
mod writer;
mod writer_action;

pub use attempts::{AttemptState, CachedResponse};
pub use event::{ClaimAction, ClaimDecision, ClaimEvent};
pub use home::choose_home;
pub use key::{
    ClaimAttempt, ClaimRequest, DATED_SLOT_COUNT, KeyDigest, PageSlot, SHARD_COUNT,
    UNDATED_PAGE_COUNT, UNDATED_RETENTION_S, WINDOW_MS,
};
pub use metrics::ClaimMetrics;
pub use node::ClaimNode;
pub use page::{ClaimPage, ClaimRow, ClaimVerdict, MAX_PAGE_CLAIMS, PageChange};
pub use refusal::ClaimRefusal;
pub use service::{ClaimGuard, ClaimOutcome, ClaimService};
pub use settings::{CLAIM_TABLE, ClaimSettings};
pub use writer::PageWriter;
pub use writer_action::{ChangeOrigin, ClaimTime, WriterAction, WriterCounts};
