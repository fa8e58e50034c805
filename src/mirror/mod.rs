//! Mirrors of the store's keys that daemons keep in memory, and the port for calls to the store.

mod era;
mod expiry;
mod follow;
mod port;
mod prefix;
mod set;
mod version;

pub use era::{EraCell, EraReading};
pub use expiry::{ExpiryHold, RemovalStep};
pub use follow::{FollowNotice, FollowSpec, SnapshotSource, follow_prefix, next_list_timeout};
pub use port::{
    CommitOutcome, ItemGuard, ItemPage, ItemWrite, LeaseGrant, PortError, PortFuture, RenewOutcome,
    Result as PortResult, StoreItem, StorePort, StoreTransaction, WatchChange, WatchOutcome,
};
pub use prefix::{MirrorChange, MirrorStep, PrefixMirror};
pub use set::MirrorSet;
pub use version::{RevisionNumber, StoreVersion};
