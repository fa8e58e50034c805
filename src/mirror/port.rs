//! The store's calls as the library needs them; the platform's adapter implements them.

use crate::ids::{LeaseId, StoreEra};
use crate::mirror::era::EraCell;
use crate::mirror::version::StoreVersion;
use crate::wire::CallError;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, PortError>;

/// Future of a call through a port.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;

/// Why a call has no usable reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PortError {
    /// The call was not executed: it was not sent, or it was refused.
    NotExecuted(String),
    /// The call may have been executed, or may still be.
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

/// Key of the store with its value and versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Arc<[u8]>,
    /// Version of the last write.
    pub version: StoreVersion,
    /// Version that created the key.
    pub created: StoreVersion,
    /// Lease with which the key ends; 0 for none.
    pub lease: LeaseId,
}

/// Page of a list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemPage {
    /// Items in the order of their keys.
    pub items: Vec<StoreItem>,
    /// True when the list has further pages.
    pub has_more: bool,
    /// Version of the store at the time of the reply.
    pub version: StoreVersion,
}

/// Change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchChange {
    /// The key was written.
    Written(StoreItem),
    /// The key was removed at this version.
    Removed(Arc<str>, StoreVersion),
}

impl WatchChange {
    /// Version of the write or removal.
    pub fn version(&self) -> StoreVersion {
        match self {
            Self::Written(item) => item.version,
            Self::Removed(_, version) => *version,
        }
    }

    /// Key that was written or removed.
    pub fn key(&self) -> &Arc<str> {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed(key, _) => key,
        }
    }
}

/// Reply to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes, possibly none, and the version from which to watch next.
    Changes(Vec<WatchChange>, StoreVersion),
    /// The store does not have the history after the given version, or the version is of another
    /// era.
    Compacted,
}

/// Condition of a transaction on a key (compare-and-swap).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemGuard {
    /// Key.
    pub key: Arc<str>,
    /// Expected version of the last write; `None` when the key must not exist.
    pub expected: Option<StoreVersion>,
}

/// Write of a key in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemWrite {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Arc<[u8]>,
    /// Lease with which the key ends, if any.
    pub lease: Option<LeaseId>,
}

/// Writes and removals that are executed atomically if all guards hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// Conditions on keys.
    pub guards: Vec<ItemGuard>,
    /// Keys to write.
    pub writes: Vec<ItemWrite>,
    /// Keys to remove.
    pub removals: Vec<Arc<str>>,
}

/// Reply to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Executed, at this version.
    Done(StoreVersion),
    /// A guard did not hold; the current items of the guards' keys.
    Conflict(Vec<StoreItem>),
    /// The lease of a write has expired.
    LeaseExpired,
}

/// Lease that the store granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Identifier of the lease. After a restore it may be that of another lease.
    pub id: LeaseId,
    /// Era in which the lease was granted.
    pub era: StoreEra,
    /// Time to live, counted from the arrival of the call at the store.
    pub time_to_live: Duration,
}

/// Reply to a lease renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewOutcome {
    /// The lease was renewed.
    Renewed,
    /// The lease has expired.
    Expired,
}

/// One kind of call to the store.
pub type PortCall<Q, R> = Arc<dyn Fn(Q) -> PortFuture<R> + Send + Sync>;

/// Calls to the store.
#[derive(Clone)]
pub struct StorePort {
    /// Era of the store according to the answers to these calls. Answers of an earlier era are
    /// errors.
    pub era: Arc<EraCell>,
    /// Lists a page of a prefix, from the key after the given one.
    pub list: PortCall<(Arc<str>, Option<Arc<str>>), ItemPage>,
    /// Watches a prefix for changes after a version, waiting up to the given time for the first.
    pub watch: PortCall<(Arc<str>, StoreVersion, Duration), WatchOutcome>,
    /// Executes a transaction.
    pub commit: PortCall<StoreTransaction, CommitOutcome>,
    /// Grants a lease with the given time to live.
    pub grant: PortCall<Duration, LeaseGrant>,
    /// Renews a lease.
    pub renew: PortCall<LeaseId, RenewOutcome>,
    /// Revokes a lease; the keys attached to it are removed.
    pub revoke: PortCall<LeaseId, ()>,
}

impl fmt::Debug for StorePort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StorePort").finish_non_exhaustive()
    }
}
