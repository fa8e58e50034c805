//! Typed client of the key-value store.

use crate::http::{ConnectionPool, HttpCall, SendError};
use crate::ids::LeaseId;
use crate::store::watch::StoreWatch;
use crate::store::wire::{
    CompareClause, JsonInt64, KeyValue, LeaseGrantReply, LeaseGrantRequest, LeaseKeepAliveReply,
    LeaseRequest, RangeReply, RangeRequest, TxnOperation, TxnReply, TxnRequest, WatchCreate,
    WatchRequest, decode_bytes, encode_bytes,
};
use http_types::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Failure of a call to the store, by whether the store may have executed the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not execute the call: it was not sent, or the store refused it.
    NotExecuted(String),
    /// The store may have executed the call or may still execute it.
    OutcomeUnknown(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotExecuted(cause) => write!(f, "store call was not executed: {cause}"),
            Self::OutcomeUnknown(cause) => write!(f, "store call may have been executed: {cause}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<SendError> for StoreError {
    fn from(cause: SendError) -> Self {
        match cause {
            SendError::NotSent(cause) => Self::NotExecuted(cause),
            other => Self::OutcomeUnknown(other.to_string()),
        }
    }
}

/// A key with its value and revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRecord {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision that last changed the key.
    pub revision: u64,
    /// Lease to which the key is attached, if any.
    pub lease: Option<LeaseId>,
}

impl StoreRecord {
    pub(super) fn from_wire(kv: &KeyValue) -> Result<Self> {
        let malformed =
            || StoreError::OutcomeUnknown("malformed base64 in the reply of the store".to_owned());
        let key = decode_bytes(&kv.key).ok_or_else(malformed)?;
        Ok(Self {
            key: String::from_utf8_lossy(&key).into_owned(),
            value: decode_bytes(&kv.value).ok_or_else(malformed)?,
            revision: kv.mod_revision.0.cast_unsigned(),
            lease: (kv.lease.0 != 0).then_some(LeaseId(kv.lease.0)),
        })
    }
}

/// State of the key that a compare-and-swap expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedRevision {
    /// The key does not exist.
    Absent,
    /// The key was last changed at this revision.
    Exactly(u64),
}

impl ExpectedRevision {
    fn to_wire(self) -> JsonInt64 {
        match self {
            Self::Absent => JsonInt64(0),
            Self::Exactly(revision) => JsonInt64(revision.cast_signed()),
        }
    }
}

/// Further keys that a compare-and-swap writes and deletes in the same transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreBatch {
    /// Keys to write, with their values.
    pub puts: Vec<(String, Arc<[u8]>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Outcome of a compare-and-swap that the store has replied to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The transaction was executed, at this revision.
    Swapped(u64),
    /// The key was not as expected; holds its current record, if it exists.
    Conflict(Option<StoreRecord>),
}

/// Client of the key-value store; cheap to clone, as clones share the connection pool.
#[derive(Debug, Clone)]
pub struct StoreClient {
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
    timeout: Duration,
    calls: Arc<AtomicU64>,
}

impl StoreClient {
    /// Creates a client of the store at `address`. `timeout` applies to each call, but not to the
    /// changes that a watch waits for.
    pub fn new(pool: Arc<ConnectionPool>, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            pool,
            address,
            timeout,
            calls: Arc::default(),
        }
    }

    /// Number of calls made so far, by all clones.
    pub fn call_count(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads one key.
    ///
    /// # Errors
    /// [`StoreError`] when the store did not reply or the reply was malformed.
    pub async fn get(&self, key: &str) -> Result<Option<StoreRecord>> {
        let range = RangeRequest {
            key: encode_bytes(key.as_bytes()),
            ..RangeRequest::default()
        };
        let records = self.read_range(&range).await?;
        Ok(records.into_iter().next())
    }

    /// Reads all keys that start with `prefix`.
    ///
    /// # Errors
    /// [`StoreError`] when the store did not reply or the reply was malformed.
    pub async fn list(&self, prefix: &str) -> Result<Vec<StoreRecord>> {
        let range = RangeRequest {
            key: encode_bytes(prefix.as_bytes()),
            range_end: encode_bytes(&prefix_end(prefix)),
        };
        self.read_range(&range).await
    }

    /// Writes `value` if the key is as expected, atomically, and attaches the key to `lease`, if
    /// any.
    ///
    /// # Errors
    /// [`StoreError::NotExecuted`] when nothing was written. [`StoreError::OutcomeUnknown`] when
    /// the value may have been written; the caller must read the key to find out.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: ExpectedRevision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome> {
        let put = TxnOperation::Put {
            key: encode_bytes(key.as_bytes()),
            value: encode_bytes(value),
            lease: JsonInt64(lease.map_or(0, |lease| lease.0)),
        };
        self.run_swap(key, expected, vec![put]).await
    }

    /// Writes `value` and the changes of `batch` if the key is as expected, in one atomic
    /// transaction. The keys of `batch` must differ from `key` and from each other.
    ///
    /// # Errors
    /// As for [`StoreClient::compare_and_swap`].
    pub async fn compare_and_swap_batch(
        &self,
        key: &str,
        expected: ExpectedRevision,
        value: &[u8],
        batch: &StoreBatch,
    ) -> Result<SwapOutcome> {
        let put = |key: &str, value: &[u8]| TxnOperation::Put {
            key: encode_bytes(key.as_bytes()),
            value: encode_bytes(value),
            lease: JsonInt64(0),
        };
        let delete = |key: &String| {
            TxnOperation::Delete(RangeRequest {
                key: encode_bytes(key.as_bytes()),
                ..RangeRequest::default()
            })
        };
        let mut operations = vec![put(key, value)];
        operations.extend(batch.puts.iter().map(|(key, value)| put(key, value)));
        operations.extend(batch.deletes.iter().map(delete));
        self.run_swap(key, expected, operations).await
    }

    /// Deletes the key if it is as expected, atomically.
    ///
    /// # Errors
    /// As for [`StoreClient::compare_and_swap`].
    pub async fn compare_and_delete(
        &self,
        key: &str,
        expected: ExpectedRevision,
    ) -> Result<SwapOutcome> {
        let key_bytes = encode_bytes(key.as_bytes());
        let range = RangeRequest {
            key: key_bytes,
            ..RangeRequest::default()
        };
        self.run_swap(key, expected, vec![TxnOperation::Delete(range)])
            .await
    }

    /// Requests a lease with a time to live of `ttl`, rounded up to whole seconds.
    ///
    /// # Errors
    /// [`StoreError`] when the lease was not granted or the outcome is unknown. A lease whose grant
    /// got no reply expires by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let seconds = ttl.as_millis().div_ceil(1_000) as i64;
        let grant = LeaseGrantRequest {
            ttl: JsonInt64(seconds),
        };
        let reply: LeaseGrantReply = self.post("/v3/lease/grant", &grant).await?;
        Ok(LeaseId(reply.id.0))
    }

    /// Renews a lease; false when it has expired.
    ///
    /// # Errors
    /// [`StoreError`] when the lease was not renewed or the outcome is unknown.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let renew = LeaseRequest {
            id: JsonInt64(lease.0),
        };
        let reply: LeaseKeepAliveReply = self.post("/v3/lease/keepalive", &renew).await?;
        Ok(reply.result.ttl.0 > 0)
    }

    /// Revokes a lease; the store deletes the keys attached to it.
    ///
    /// # Errors
    /// [`StoreError`] when the lease was not revoked or the outcome is unknown.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<()> {
        let revoke = LeaseRequest {
            id: JsonInt64(lease.0),
        };
        let _reply: serde_json::Value = self.post("/v3/lease/revoke", &revoke).await?;
        Ok(())
    }

    /// Watches the changes of a key from `start_revision` on, or from now on when it is 0.
    ///
    /// # Errors
    /// [`StoreError`] when the watch could not be opened.
    pub async fn watch(&self, key: &str, start_revision: u64) -> Result<StoreWatch> {
        let create_request = WatchCreate {
            key: encode_bytes(key.as_bytes()),
            start_revision: JsonInt64(start_revision.cast_signed()),
            ..WatchCreate::default()
        };
        let call = self.call("/v3/watch", &WatchRequest { create_request });
        let reply = self.pool.send(&call).await?;
        match reply.status() {
            200 => Ok(StoreWatch::new(reply)),
            status => Err(StoreError::NotExecuted(format!(
                "watch refused with status {status}"
            ))),
        }
    }

    async fn read_range(&self, range: &RangeRequest) -> Result<Vec<StoreRecord>> {
        let reply: RangeReply = self.post("/v3/kv/range", range).await?;
        reply.kvs.iter().map(StoreRecord::from_wire).collect()
    }

    async fn run_swap(
        &self,
        key: &str,
        expected: ExpectedRevision,
        operations: Vec<TxnOperation>,
    ) -> Result<SwapOutcome> {
        let key = encode_bytes(key.as_bytes());
        let clause = CompareClause {
            key: key.clone(),
            target: "MOD".to_owned(),
            result: "EQUAL".to_owned(),
            mod_revision: expected.to_wire(),
        };
        let read_back = TxnOperation::Range(RangeRequest {
            key,
            ..RangeRequest::default()
        });
        let txn = TxnRequest {
            compare: vec![clause],
            success: operations,
            failure: vec![read_back],
        };
        let reply: TxnReply = self.post("/v3/kv/txn", &txn).await?;
        if reply.succeeded {
            return Ok(SwapOutcome::Swapped(
                reply.header.revision.0.cast_unsigned(),
            ));
        }
        let ranges = reply
            .responses
            .iter()
            .filter_map(|r| r.response_range.as_ref());
        let present = ranges.flat_map(|range| &range.kvs).next();
        present
            .map(StoreRecord::from_wire)
            .transpose()
            .map(SwapOutcome::Conflict)
    }

    async fn post<Q: Serialize, R: DeserializeOwned>(&self, path: &str, body: &Q) -> Result<R> {
        let reply = self.pool.send(&self.call(path, body)).await?;
        let status = reply.status();
        let body = async_std::future::timeout(self.timeout, reply.bytes()).await;
        let body = body.map_err(|_elapsed| SendError::TimedOut)??;
        match status {
            200 => serde_json::from_slice(&body).map_err(|cause| {
                StoreError::OutcomeUnknown(format!("malformed reply of the store: {cause}"))
            }),
            429 | 503 => Err(StoreError::NotExecuted(format!(
                "store refused with status {status}"
            ))),
            _ => Err(StoreError::OutcomeUnknown(format!(
                "store replied with status {status}"
            ))),
        }
    }

    fn call<Q: Serialize>(&self, path: &str, body: &Q) -> HttpCall {
        self.calls.fetch_add(1, Ordering::Relaxed);
        HttpCall::new(self.address, Method::Post, path)
            .json(body)
            .timeout(self.timeout)
            .without_retry()
    }
}

/// Exclusive end of the range of keys that start with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
