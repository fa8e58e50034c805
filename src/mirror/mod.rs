//! Mirrors of the store's keys that daemons keep in memory, and the port for calls to the store.

mod counting;
mod era;
mod expiry;
mod port;
mod prefix;
mod set;
mod version;

pub use counting::{CALL_KINDS, count_calls};
pub use era::{EraCell, EraReading};
pub use expiry::{ExpiryHold, RemovalStep};
pub use port::{
    CommitOutcome, ItemGuard, ItemPage, ItemWrite, LeaseGrant, PortError, PortFuture, RenewOutcome,
    Result as PortResult, StoreItem, StorePort, StoreTransaction, WatchChange, WatchOutcome,
};
pub use prefix::{MirrorChange, MirrorDelta, MirrorStep, PrefixMirror};
pub use set::{MirrorSet, SharedMirror};
pub use version::{RevisionNumber, StoreVersion};
