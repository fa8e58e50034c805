//! Messages for fetching a snapshot from a peer.

use crate::ids::{LeaseId, StoreEra};
use crate::mirror::{StoreItem, StoreVersion};
use prost::Message;
use std::sync::Arc;

/// Requests all keys with a prefix.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct SnapshotRequest {
    /// Prefix of the keys.
    #[prost(string, tag = "1")]
    pub prefix: String,
}

/// Keys that the peer knows.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct SnapshotReply {
    /// False when the peer's own mirror of the prefix is incomplete.
    #[prost(bool, tag = "1")]
    pub complete: bool,
    /// Keys and values.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<SnapshotItem>,
}

/// A key, its value and its revisions.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct SnapshotItem {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Revision of the last write.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Revision at which the key was created.
    #[prost(uint64, tag = "4")]
    pub create_revision: u64,
    /// Era of the store in which the item was read.
    #[prost(uint64, tag = "5")]
    pub era: u64,
    /// Lease with which the key ends; 0 for none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

impl From<&StoreItem> for SnapshotItem {
    fn from(item: &StoreItem) -> Self {
        Self {
            key: item.key.to_string(),
            value: item.value.to_vec(),
            revision: item.version.revision().into(),
            create_revision: item.created.revision().into(),
            era: item.version.era().0,
            lease: item.lease.0,
        }
    }
}

impl From<SnapshotItem> for StoreItem {
    fn from(item: SnapshotItem) -> Self {
        let era = StoreEra(item.era);
        Self {
            key: Arc::from(item.key),
            value: Arc::from(item.value),
            version: StoreVersion::new(era, item.revision),
            created: StoreVersion::new(era, item.create_revision),
            lease: LeaseId(item.lease),
        }
    }
}
