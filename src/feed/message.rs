//! Messages of a daemon that reads the store to those that follow it.

use crate::ids::StoreEra;
use crate::mirror::{MirrorDelta, StoreVersion, WatchChange};
use crate::snapshots::{FeedPosition, SnapshotItem};
use prost::Message;
use prost::bytes::Bytes;
use std::sync::Arc;

/// Changes since the last frame, and the state of the sender's contact with the store.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct FeedFrame {
    /// True while the sender serves the feed.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// Time since the sender's last contact with the store, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Number of the sender's calls that the store has not answered. When it rises, leases may have
    /// expired because the store was away.
    #[prost(uint64, tag = "3")]
    pub failures: u64,
    /// Prefixes of which the sender knows a later version than it has told.
    #[prost(message, repeated, tag = "4")]
    pub parts: Vec<FeedPart>,
    /// Such prefixes as a compressed [`FeedParts`], to daemons that have asked for it.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub packed: Option<Bytes>,
}

/// Changes of several prefixes.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct FeedParts {
    /// The changes by prefix.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<FeedPart>,
}

/// Changes of one prefix.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct FeedPart {
    /// Version up to which the changes are complete.
    #[prost(message, required, tag = "1")]
    pub position: FeedPosition,
    /// Changes in the order of their versions.
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<FeedChange>,
    /// True if removals may be missing from the changes, so that all keys that exist are listed.
    #[prost(bool, tag = "3")]
    pub is_listed: bool,
    /// The keys that exist at the position, if they are listed.
    #[prost(string, repeated, tag = "4")]
    pub keys: Vec<String>,
}

impl FeedPart {
    /// What has changed in a prefix.
    pub fn new(prefix: &str, delta: &MirrorDelta) -> Self {
        let keys = delta.listed.iter().flatten();
        Self {
            position: FeedPosition::new(prefix, delta.version),
            changes: delta.changes.iter().map(FeedChange::from).collect(),
            is_listed: delta.listed.is_some(),
            keys: keys.map(ToString::to_string).collect(),
        }
    }

    /// The changes.
    pub fn into_delta(self) -> MirrorDelta {
        let keys = self.keys.into_iter().map(Arc::from);
        MirrorDelta {
            listed: self.is_listed.then(|| keys.collect()),
            changes: self.changes.into_iter().map(WatchChange::from).collect(),
            version: self.position.version(),
        }
    }
}

/// Write or removal of a key.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct FeedChange {
    /// The key, with the version of the change.
    #[prost(message, required, tag = "1")]
    pub item: SnapshotItem,
    /// True if the key was removed.
    #[prost(bool, tag = "2")]
    pub is_removed: bool,
}

impl From<&WatchChange> for FeedChange {
    fn from(change: &WatchChange) -> Self {
        match change {
            WatchChange::Written(item) => Self {
                item: SnapshotItem::from(item),
                is_removed: false,
            },
            WatchChange::Removed(key, version) => Self {
                item: SnapshotItem {
                    key: key.to_string(),
                    revision: version.revision().into(),
                    era: version.era().0,
                    ..SnapshotItem::default()
                },
                is_removed: true,
            },
        }
    }
}

impl From<FeedChange> for WatchChange {
    fn from(change: FeedChange) -> Self {
        let FeedChange { item, is_removed } = change;
        if is_removed {
            let version = StoreVersion::new(StoreEra(item.era), item.revision);
            Self::Removed(Arc::from(item.key), version)
        } else {
            Self::Written(item.into())
        }
    }
}
