//! Claims on idempotency keys: a call that may not be repeated is dispatched only after its key
//! was claimed in the store, so that it runs at most once.

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
mod step;
mod wire;
mod writer;

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
pub use step::{ChangeOrigin, ClaimTime, WriterAction, WriterCounts};
pub use writer::PageWriter;
