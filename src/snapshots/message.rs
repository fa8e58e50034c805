//! Messages for fetching a snapshot from a peer, and for asking it for further changes.

use crate::ids::{LeaseId, StoreEra};
use crate::mirror::{StoreItem, StoreVersion};
use crate::snapshots::packing::{pack_message, unpack_message};
use prost::Message;
use prost::bytes::Bytes;
use std::sync::Arc;

/// Requests all keys with a prefix.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct SnapshotRequest {
    /// Prefix of the keys.
    #[prost(string, tag = "1")]
    pub prefix: String,
    /// Asks for a feed in place of a snapshot.
    #[prost(message, optional, tag = "2")]
    pub feed: Option<FeedRequest>,
    /// True if the sender can read compressed replies and frames.
    #[prost(bool, tag = "3")]
    pub reads_packed: bool,
}

/// Asks for all further changes. Daemons that serve no feeds answer with an empty snapshot.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct FeedRequest {
    /// The version that is known of each prefix.
    #[prost(message, repeated, tag = "1")]
    pub positions: Vec<FeedPosition>,
    /// Name of the sender's instance.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// Secret of the sender's run, as its presence entry has it.
    #[prost(string, tag = "3")]
    pub token: String,
}

/// A version of one prefix.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct FeedPosition {
    /// Prefix of the keys.
    #[prost(string, tag = "1")]
    pub prefix: String,
    /// Era of the store.
    #[prost(uint64, tag = "2")]
    pub era: u64,
    /// Revision within the era.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

impl FeedPosition {
    /// The position of `prefix` at `version`.
    pub fn new(prefix: &str, version: StoreVersion) -> Self {
        Self {
            prefix: prefix.to_owned(),
            era: version.era().0,
            revision: version.revision().into(),
        }
    }

    /// The version.
    pub fn version(&self) -> StoreVersion {
        StoreVersion::new(StoreEra(self.era), self.revision)
    }
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
    /// The whole reply as a compressed message, to daemons that have asked for it.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub packed: Option<Bytes>,
}

impl SnapshotReply {
    /// Compresses the reply where it is large.
    #[must_use]
    pub fn into_packed(self) -> Self {
        match pack_message(&self) {
            Some(packed) => Self {
                packed: Some(packed),
                ..Self::default()
            },
            None => self,
        }
    }

    /// Restores a compressed reply.
    ///
    /// # Errors
    /// When it is damaged.
    pub fn into_unpacked(self) -> super::packing::Result<Self> {
        match &self.packed {
            Some(packed) => unpack_message(packed),
            None => Ok(self),
        }
    }
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
