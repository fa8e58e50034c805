//! The messages by which a copy is handed over.

use crate::mirror::StoreItem;
use prost::Message;
use std::sync::Arc;

/// Asks for the keys with a prefix.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct CopyRequest {
    /// Prefix.
    #[prost(string, tag = "1")]
    pub prefix: String,
}

/// The keys that the daemon asked knows.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct CopyAnswer {
    /// False when it does not know all keys of the prefix itself.
    #[prost(bool, tag = "1")]
    pub known: bool,
    /// Keys and values.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<CopiedItem>,
}

/// A key and its value.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct CopiedItem {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Revision of the last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Revision of the creation.
    #[prost(uint64, tag = "4")]
    pub create_revision: u64,
}

impl From<&StoreItem> for CopiedItem {
    fn from(item: &StoreItem) -> Self {
        Self {
            key: item.key.to_string(),
            value: item.value.to_vec(),
            revision: item.revision,
            create_revision: item.create_revision,
        }
    }
}

impl From<CopiedItem> for StoreItem {
    fn from(item: CopiedItem) -> Self {
        Self {
            key: Arc::from(item.key),
            value: Arc::from(item.value),
            revision: item.revision,
            create_revision: item.create_revision,
        }
    }
}
