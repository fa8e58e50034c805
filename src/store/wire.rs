//! JSON messages of the etcd v3 gateway, limited to the fields that this project uses.
//!
//! They follow the JSON mapping of protocol buffers: 64-bit integers are strings, bytes are base64,
//! and fields with default values may be absent.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Encodes bytes as base64, as the gateway expects them.
pub fn encode_bytes(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes base64 from the gateway; `None` when it is malformed.
pub fn decode_bytes(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// A 64-bit integer that is written as a JSON string, and read from a string or a number.
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
    /// Revision of the store at the time of the reply.
    pub revision: JsonInt64,
}

/// A key with its value and revisions.
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
    /// Number of writes to the key since it was created.
    pub version: JsonInt64,
    /// Lease to which the key is attached; 0 for none.
    pub lease: JsonInt64,
}

/// Body of `POST /v3/kv/range`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key, base64.
    pub key: String,
    /// Exclusive end of the key range, base64; empty for a single key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// Reply to a range request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeReply {
    /// Header of the reply.
    pub header: ReplyHeader,
    /// Keys in the range, with their values.
    pub kvs: Vec<KeyValue>,
}

/// One comparison of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct CompareClause {
    /// Key, base64.
    pub key: String,
    /// Compared property; always `MOD`, the modification revision.
    pub target: String,
    /// Comparison operator; always `EQUAL`.
    pub result: String,
    /// Expected modification revision; 0 when the key must not exist.
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
        /// Lease to attach the key to; 0 for none.
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
    /// Comparisons; the transaction succeeds when all of them hold.
    pub compare: Vec<CompareClause>,
    /// Operations to run when all comparisons hold.
    pub success: Vec<TxnOperation>,
    /// Operations to run when a comparison fails.
    pub failure: Vec<TxnOperation>,
}

/// Result of one operation of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnOperationReply {
    /// Result of a range operation; absent for other operations.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeReply>,
}

/// Reply to a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnReply {
    /// Header of the reply.
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
    /// Lease identifier.
    #[serde(rename = "ID")]
    pub id: JsonInt64,
    /// Granted time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: JsonInt64,
}

/// Body of `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Lease identifier.
    #[serde(rename = "ID")]
    pub id: JsonInt64,
}

/// Reply to a lease renewal; a time to live of 0 means that the lease has expired.
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
    /// Range of keys to watch.
    pub create_request: WatchCreate,
}

/// Range of keys to watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key, base64.
    pub key: String,
    /// Exclusive end of the key range, base64; empty for a single key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// First revision to report; 0 for changes from now on.
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

/// One change of a key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WireEvent {
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The key with its new value.
    pub kv: KeyValue,
}

/// Content of one line of the watch stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchReply {
    /// Header of the reply.
    pub header: ReplyHeader,
    /// True on the first line, which confirms the watch.
    pub created: bool,
    /// Changes of the watched keys.
    pub events: Vec<WireEvent>,
}

/// One line of the watch stream, as it is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchFrame {
    /// Content of the line.
    pub result: WatchReply,
}
