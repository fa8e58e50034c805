//! Copies of the store's keys that daemons keep, and the port through which the store is called.

mod expiry;
mod follow;
mod port;
mod prefix;
mod set;

pub use expiry::{ExpiryHold, RemovalStep};
pub use follow::{CopySource, FollowNotice, FollowSpec, follow_prefix, next_list_timeout};
pub use port::{
    CommitOutcome, ItemGuard, ItemPage, ItemWrite, LeaseGrant, PortError, PortFuture, RenewOutcome,
    Result as PortResult, StoreItem, StorePort, StoreTransaction, WatchChange, WatchOutcome,
};
pub use prefix::{MirrorChange, MirrorStep, PrefixMirror};
pub use set::MirrorSet;
