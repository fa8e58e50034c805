//! Key space of the stand-in store: revisions, transactions, leases and watches.

use arbutusmount::{
    CompareClause, EventKind, JsonInt64, KeyValue, RangeReply, RangeRequest, ReplyHeader,
    TxnOperation, TxnOperationReply, TxnReply, TxnRequest, WireEvent, decode_bytes, encode_bytes,
};
use async_std::channel::{Receiver, Sender, unbounded};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Largest value accepted, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Events kept for watches that start at an earlier revision and for reads of the past.
const MAX_HISTORY_EVENTS: usize = 10_000;

/// One stored key.
#[derive(Debug, Clone)]
struct StoredValue {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

#[derive(Debug, Clone, Copy)]
struct LeaseState {
    ttl: Duration,
    expires: Instant,
}

struct WatcherState {
    key: Vec<u8>,
    sender: Sender<WireEvent>,
}

/// Keys, leases and watches of the stand-in store.
pub(super) struct KeySpace {
    revision: i64,
    next_lease: i64,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    /// Value of each key before its last change.
    previous: BTreeMap<Vec<u8>, StoredValue>,
    leases: HashMap<i64, LeaseState>,
    watchers: Vec<WatcherState>,
    history: Vec<(Vec<u8>, WireEvent)>,
}

impl Default for KeySpace {
    fn default() -> Self {
        Self {
            revision: 1,
            next_lease: 1,
            keys: BTreeMap::new(),
            previous: BTreeMap::new(),
            leases: HashMap::new(),
            watchers: Vec::new(),
            history: Vec::new(),
        }
    }
}

impl KeySpace {
    /// Header of a reply: the current revision.
    pub(super) fn header(&self) -> ReplyHeader {
        ReplyHeader {
            revision: JsonInt64(self.revision),
        }
    }

    /// Reads keys; with `stale`, the value of each key before its last change.
    pub(super) fn range(&mut self, range: &RangeRequest, stale: bool) -> RangeReply {
        self.expire_leases();
        let keys = if stale { &self.previous } else { &self.keys };
        let found = decode_bounds(range).map(|(from, to)| match to {
            None => keys
                .get(&from)
                .map(|stored| to_wire(&from, stored))
                .into_iter()
                .collect(),
            Some(to) => keys
                .range(from..to)
                .map(|(key, stored)| to_wire(key, stored))
                .collect::<Vec<_>>(),
        });
        RangeReply {
            header: self.header(),
            kvs: found.unwrap_or_default(),
        }
    }

    /// Reads keys as they were at a revision, as far as the history goes back.
    pub(super) fn range_as_of(&self, range: &RangeRequest, as_of: i64) -> RangeReply {
        let mut found: BTreeMap<&[u8], &WireEvent> = BTreeMap::new();
        let Some((from, to)) = decode_bounds(range) else {
            return RangeReply::default();
        };
        let is_in_range = |key: &[u8]| match &to {
            None => key == from,
            Some(to) => *key >= *from && *key < **to,
        };
        let is_past = |(key, event): &&(Vec<u8>, WireEvent)| {
            event.kv.mod_revision.0 <= as_of && is_in_range(key)
        };
        for (key, event) in self.history.iter().filter(is_past) {
            found.insert(key, event);
        }
        let present = found
            .into_values()
            .filter(|event| event.kind == EventKind::Put);
        RangeReply {
            header: ReplyHeader {
                revision: JsonInt64(as_of),
            },
            kvs: present.map(|event| event.kv.clone()).collect(),
        }
    }

    /// Runs a transaction; `None` when it is malformed, a value exceeds [`MAX_VALUE_BYTES`] or a
    /// lease does not exist.
    pub(super) fn txn(&mut self, txn: &TxnRequest) -> Option<TxnReply> {
        self.expire_leases();
        let mut succeeded = true;
        for clause in &txn.compare {
            succeeded &= self.holds(clause)?;
        }
        let operations = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        if operations.iter().any(is_write) {
            self.revision += 1;
        }
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.run_operation(operation)?);
        }
        Some(TxnReply {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Whether a comparison holds; `None` when it is malformed or not one of modification
    /// revisions.
    fn holds(&self, clause: &CompareClause) -> Option<bool> {
        let key = decode_bytes(&clause.key)?;
        let revision = self.keys.get(&key).map_or(0, |stored| stored.mod_revision);
        (clause.target == "MOD" && clause.result == "EQUAL")
            .then_some(revision == clause.mod_revision.0)
    }

    fn run_operation(&mut self, operation: &TxnOperation) -> Option<TxnOperationReply> {
        match operation {
            TxnOperation::Range(range) => {
                let response_range = Some(self.range(range, false));
                Some(TxnOperationReply { response_range })
            }
            TxnOperation::Put { key, value, lease } => {
                let (key, value) = (decode_bytes(key)?, decode_bytes(value)?);
                if value.len() > MAX_VALUE_BYTES {
                    return None;
                }
                self.put(key, value, lease.0)?;
                Some(TxnOperationReply::default())
            }
            TxnOperation::Delete(range) => {
                let (from, to) = decode_bounds(range)?;
                let keys: Vec<Vec<u8>> = match to {
                    None => vec![from],
                    Some(to) => self
                        .keys
                        .range(from..to)
                        .map(|(key, _)| key.clone())
                        .collect(),
                };
                for key in &keys {
                    self.delete(key);
                }
                Some(TxnOperationReply::default())
            }
        }
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) -> Option<()> {
        if lease != 0 && !self.leases.contains_key(&lease) {
            return None;
        }
        let previous = self.keys.get(&key).cloned();
        let stored = StoredValue {
            value,
            create_revision: previous
                .as_ref()
                .map_or(self.revision, |stored| stored.create_revision),
            mod_revision: self.revision,
            version: previous.as_ref().map_or(1, |stored| stored.version + 1),
            lease,
        };
        if let Some(previous) = previous {
            self.previous.insert(key.clone(), previous);
        }
        let kv = to_wire(&key, &stored);
        self.keys.insert(key.clone(), stored);
        self.publish(
            key,
            WireEvent {
                kind: EventKind::Put,
                kv,
            },
        );
        Some(())
    }

    fn delete(&mut self, key: &[u8]) {
        if self.keys.remove(key).is_some() {
            let kv = KeyValue {
                key: encode_bytes(key),
                mod_revision: JsonInt64(self.revision),
                ..KeyValue::default()
            };
            self.publish(
                key.to_vec(),
                WireEvent {
                    kind: EventKind::Delete,
                    kv,
                },
            );
        }
    }

    /// Sends an event to the watches of its key and adds it to the history.
    fn publish(&mut self, key: Vec<u8>, event: WireEvent) {
        self.watchers
            .retain(|watcher| watcher.key != key || watcher.sender.try_send(event.clone()).is_ok());
        if self.history.len() == MAX_HISTORY_EVENTS {
            self.history.remove(0);
        }
        self.history.push((key, event));
    }

    /// Grants a lease and returns its identifier.
    pub(super) fn grant(&mut self, ttl: Duration) -> i64 {
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(
            lease,
            LeaseState {
                ttl,
                expires: Instant::now() + ttl,
            },
        );
        lease
    }

    /// Renews a lease and returns its time to live; zero when it has ended.
    pub(super) fn keep_alive(&mut self, lease: i64) -> Duration {
        self.expire_leases();
        let Some(state) = self.leases.get_mut(&lease) else {
            return Duration::ZERO;
        };
        state.expires = Instant::now() + state.ttl;
        state.ttl
    }

    /// Ends a lease and deletes its keys.
    pub(super) fn revoke(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let attached = self.keys.iter().filter(|(_, stored)| stored.lease == lease);
        let keys: Vec<Vec<u8>> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in &keys {
            self.delete(key);
        }
    }

    /// Ends all leases at once, as if they had expired.
    pub(super) fn revoke_all(&mut self) {
        let leases: Vec<i64> = self.leases.keys().copied().collect();
        for lease in leases {
            self.revoke(lease);
        }
    }

    /// Ends the leases that have expired.
    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, state)| state.expires <= now);
        let expired: Vec<i64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.revoke(lease);
        }
    }

    /// Watches a key from revision `start` on; 0 watches for changes from now on.
    pub(super) fn watch(&mut self, key: Vec<u8>, start: i64) -> Receiver<WireEvent> {
        let (sender, receiver) = unbounded();
        if start > 0 {
            let is_wanted = |(at, event): &&(Vec<u8>, WireEvent)| {
                *at == key && event.kv.mod_revision.0 >= start
            };
            for (_, event) in self.history.iter().filter(is_wanted) {
                sender
                    .try_send(event.clone())
                    .expect("the channel is unbounded and open");
            }
        }
        self.watchers.push(WatcherState { key, sender });
        receiver
    }
}

fn is_write(operation: &TxnOperation) -> bool {
    !matches!(operation, TxnOperation::Range(_))
}

/// First key and end of a range; without an end, the one key.
type KeyBounds = (Vec<u8>, Option<Vec<u8>>);

fn decode_bounds(range: &RangeRequest) -> Option<KeyBounds> {
    let from = decode_bytes(&range.key)?;
    let to = decode_bytes(&range.range_end)?;
    Some((from, (!to.is_empty()).then_some(to)))
}

fn to_wire(key: &[u8], stored: &StoredValue) -> KeyValue {
    KeyValue {
        key: encode_bytes(key),
        value: encode_bytes(&stored.value),
        create_revision: JsonInt64(stored.create_revision),
        mod_revision: JsonInt64(stored.mod_revision),
        version: JsonInt64(stored.version),
        lease: JsonInt64(stored.lease),
    }
}
