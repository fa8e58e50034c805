//! Messages for fetching a snapshot from a peer.

use crate::mirror::StoreItem;
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
}

impl From<&StoreItem> for SnapshotItem {
    fn from(item: &StoreItem) -> Self {
        Self {
            key: item.key.to_string(),
            value: item.value.to_vec(),
            revision: item.revision,
            create_revision: item.create_revision,
        }
    }
}

impl From<SnapshotItem> for StoreItem {
    fn from(item: SnapshotItem) -> Self {
        Self {
            key: Arc::from(item.key),
            value: Arc::from(item.value),
            revision: item.revision,
            create_revision: item.create_revision,
        }
    }
}
