//! The store as the product needs it; the platform's adapter fills in the calls.

use crate::ids::LeaseId;
use crate::wire::CallError;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, PortError>;

/// A call in progress.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;

/// Why a call to the store has no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PortError {
    /// Nothing was done: the call was not sent, or the store refused it.
    NotExecuted(String),
    /// The call may have taken effect, now or later.
    OutcomeUnknown(String),
}

impl fmt::Display for PortError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotExecuted(cause) => write!(f, "no effect: {cause}"),
            Self::OutcomeUnknown(cause) => write!(f, "effect unknown: {cause}"),
        }
    }
}

impl std::error::Error for PortError {}

impl From<CallError> for PortError {
    fn from(cause: CallError) -> Self {
        match cause {
            CallError::NotSent(_) => Self::NotExecuted(cause.to_string()),
            _ => Self::OutcomeUnknown(cause.to_string()),
        }
    }
}

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Arc<[u8]>,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision of the creation.
    pub create_revision: u64,
}

/// A page of items.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemPage {
    /// Items in the order of their keys.
    pub items: Vec<StoreItem>,
    /// True when further items follow.
    pub has_more: bool,
    /// Revision of the store when it answered.
    pub revision: u64,
}

/// A change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchChange {
    /// The item was written.
    Written(StoreItem),
    /// The key was removed at this revision.
    Removed(Arc<str>, u64),
}

/// Answer of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes, possibly none, and the revision to go on from.
    Changes(Vec<WatchChange>, u64),
    /// The history after the given revision is gone.
    Compacted,
}

/// What a transaction expects of a key: its last revision, 0 when it must not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemGuard {
    /// Key.
    pub key: Arc<str>,
    /// Expected revision.
    pub revision: u64,
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemWrite {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Arc<[u8]>,
    /// Lease with which the key ends, if any.
    pub lease: Option<LeaseId>,
}

/// Writes and removals that happen together, if all guards hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// Conditions.
    pub guards: Vec<ItemGuard>,
    /// Writes.
    pub writes: Vec<ItemWrite>,
    /// Keys to remove.
    pub removals: Vec<Arc<str>>,
}

/// Answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Done, at this revision.
    Done(u64),
    /// A guard did not hold; the present items of the guards' keys.
    Conflict(Vec<StoreItem>),
    /// The lease has ended.
    LeaseExpired,
}

/// A lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Lease.
    pub id: LeaseId,
    /// Time to live, counted from the arrival of the call.
    pub time_to_live: Duration,
}

/// Answer to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewOutcome {
    /// The lease lives on.
    Renewed,
    /// The lease has ended.
    Expired,
}

type PortCall<Q, R> = Arc<dyn Fn(Q) -> PortFuture<R> + Send + Sync>;

/// The calls of the store.
#[derive(Clone)]
pub struct StorePort {
    /// A page of a prefix, from the key after the given one.
    pub list: PortCall<(Arc<str>, Option<Arc<str>>), ItemPage>,
    /// Changes of a prefix after a revision, waiting up to the given time for the first.
    pub watch: PortCall<(Arc<str>, u64, Duration), WatchOutcome>,
    /// A transaction.
    pub commit: PortCall<StoreTransaction, CommitOutcome>,
    /// A new lease.
    pub grant: PortCall<Duration, LeaseGrant>,
    /// Renews a lease.
    pub renew: PortCall<LeaseId, RenewOutcome>,
    /// Ends a lease.
    pub revoke: PortCall<LeaseId, ()>,
}

impl fmt::Debug for StorePort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StorePort").finish_non_exhaustive()
    }
}
