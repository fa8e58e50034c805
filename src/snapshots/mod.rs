//! Snapshots of the store's keys that peers hand to daemons that start while the store does not
//! answer.
//!
//! A snapshot holds only what the peer itself knows, so a starting daemon acts on no other data
//! than a running daemon that is cut off from the store. The store's own reply replaces it.

mod message;
mod packing;
mod recent;
mod request;

pub use message::{FeedPosition, FeedRequest, SnapshotItem, SnapshotReply, SnapshotRequest};
pub use packing::{PackingError, pack_message, unpack_message};
pub use recent::RecentPeers;
pub use request::fetch_snapshot;
