//! JSON messages of the etcd v3 gateway, as far as this project uses them.
//!
//! Follows the protocol buffers JSON mapping: 64-bit integers are strings, bytes are base64 and
//! fields with default values may be absent.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Encodes bytes as the gateway expects them.
pub fn encode_bytes(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes bytes as the gateway sends them; `None` when they are malformed.
pub fn decode_bytes(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// A 64-bit integer that travels as a string.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct JsonInt64(pub i64);

impl Serialize for JsonInt64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for JsonInt64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum EitherForm {
            Text(String),
            Number(i64),
        }
        match EitherForm::deserialize(deserializer)? {
            EitherForm::Number(number) => Ok(Self(number)),
            EitherForm::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

/// Header of every reply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ReplyHeader {
    /// Revision of the store when it answered.
    pub revision: JsonInt64,
}

/// One key with its value.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key, base64.
    pub key: String,
    /// Value, base64.
    pub value: String,
    /// Revision that created the key.
    pub create_revision: JsonInt64,
    /// Revision that last changed the key.
    pub mod_revision: JsonInt64,
    /// Changes since the key was created.
    pub version: JsonInt64,
    /// Lease that the key is attached to, 0 for none.
    pub lease: JsonInt64,
}

/// Body of `POST /v3/kv/range`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key, base64.
    pub key: String,
    /// Key after the last one, base64; empty for a single key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// Reply to a range request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeReply {
    /// Header.
    pub header: ReplyHeader,
    /// Keys found.
    pub kvs: Vec<KeyValue>,
}

/// One comparison of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct CompareClause {
    /// Key, base64.
    pub key: String,
    /// What is compared; this project uses `MOD`.
    pub target: String,
    /// How it is compared; this project uses `EQUAL`.
    pub result: String,
    /// Expected modification revision, 0 when the key must not exist.
    pub mod_revision: JsonInt64,
}

/// One operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TxnOperation {
    /// Reads keys.
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    /// Writes a key.
    #[serde(rename = "request_put")]
    Put {
        /// Key, base64.
        key: String,
        /// Value, base64.
        #[serde(default)]
        value: String,
        /// Lease to attach the key to, 0 for none.
        #[serde(default)]
        lease: JsonInt64,
    },
    /// Deletes keys.
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
}

/// Body of `POST /v3/kv/txn`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Comparisons, all of which must hold.
    pub compare: Vec<CompareClause>,
    /// Operations when they hold.
    pub success: Vec<TxnOperation>,
    /// Operations when one does not.
    pub failure: Vec<TxnOperation>,
}

/// Result of one operation of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnOperationReply {
    /// Result of a range operation.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeReply>,
}

/// Reply to a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnReply {
    /// Header.
    pub header: ReplyHeader,
    /// True when all comparisons held.
    pub succeeded: bool,
    /// One result for each operation that ran.
    pub responses: Vec<TxnOperationReply>,
}

/// Body of `POST /v3/lease/grant`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: JsonInt64,
}

/// Reply to a lease grant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantReply {
    /// Lease number.
    #[serde(rename = "ID")]
    pub id: JsonInt64,
    /// Time to live granted, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: JsonInt64,
}

/// Body of `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Lease number.
    #[serde(rename = "ID")]
    pub id: JsonInt64,
}

/// Reply to a keep-alive; a time to live of 0 means that the lease is gone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseKeepAliveReply {
    /// The renewed lease.
    pub result: LeaseGrantReply,
}

/// Body of `POST /v3/watch`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// Keys to watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key, base64.
    pub key: String,
    /// Key after the last one, base64; empty for a single key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// First revision wanted, 0 for changes from now on.
    pub start_revision: JsonInt64,
}

/// Kind of a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

/// One change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WireEvent {
    /// Kind of change.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// Key with its new value.
    pub kv: KeyValue,
}

/// One line of a watch reply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchReply {
    /// Header.
    pub header: ReplyHeader,
    /// True on the first line.
    pub created: bool,
    /// Changes.
    pub events: Vec<WireEvent>,
}

/// Envelope of a watch line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchFrame {
    /// The line's content.
    pub result: WatchReply,
}
