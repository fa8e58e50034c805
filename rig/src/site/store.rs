//! The platform's metadata store: revisions, watches, conditions, leases, a history that may be
//! forgotten, and outages for the callers of one of its two addresses or of both.

use crate::site::http::{AfterReply, Handler, ReceivedRequest, reply, serve};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Period at which waiting watches look for faults and leases that have ended.
const WATCH_TICK: Duration = Duration::from_millis(20);

/// How the store treats the callers of one address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It serves them.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It resets their connections.
    Reset,
    /// It does what they ask and the answer is lost.
    RepliesLost,
}

#[derive(Debug, Clone)]
struct StoredItem {
    value: String,
    revision: u64,
    created: u64,
    lease: i64,
}

#[derive(Debug, Default)]
struct StoreState {
    items: BTreeMap<String, StoredItem>,
    /// Changes in order: revision, key and the item, or `None` for a removal.
    history: Vec<(u64, String, Option<StoredItem>)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    revision: u64,
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
    /// Watches that began before this number are cut.
    watch_epoch: u64,
    deaf: bool,
    calls: u64,
}

#[derive(Debug, Default)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Condvar,
}

/// The store.
#[derive(Debug, Clone)]
pub struct SiteStore {
    shared: Arc<StoreShared>,
    faults: [Arc<Mutex<StoreFault>>; 2],
    addresses: [SocketAddr; 2],
}

impl SiteStore {
    /// Starts a store with two addresses.
    pub fn start() -> Self {
        let shared = Arc::new(StoreShared::default());
        let faults = [Arc::default(), Arc::default()];
        let listen = |fault: &Arc<Mutex<StoreFault>>| {
            let (shared, fault) = (Arc::clone(&shared), Arc::clone(fault));
            let handler: Handler =
                Arc::new(move |request, stream| answer(&shared, &fault, request, stream));
            serve(handler)
        };
        let addresses = [listen(&faults[0]), listen(&faults[1])];
        Self {
            shared,
            faults,
            addresses,
        }
    }

    /// One of the two addresses, 0 or 1.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// Changes how the callers of an address are treated; their waiting watches are cut.
    pub fn set_fault(&self, index: usize, fault: StoreFault) {
        *self.faults[index].lock().expect("fault is never poisoned") = fault;
        self.with(|state| state.watch_epoch += 1);
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        let value = STANDARD.encode(value.to_string());
        self.with(|state| state.put(key, value, 0));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.with(|state| state.remove(key));
    }

    /// Value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let text = self.with(|state| state.items.get(key).map(|item| item.value.clone()))?;
        STANDARD.decode(text).ok()
    }

    /// Watches hear nothing from now on.
    pub fn mute_watches(&self) {
        self.with(|state| state.deaf = true);
    }

    /// Forgets the history and cuts all watches; new ones hear again.
    pub fn compact(&self) {
        self.with(|state| {
            state.deaf = false;
            state.forgotten = state.revision;
            state.history.clear();
            state.watch_epoch += 1;
        });
    }

    /// Ends all leases.
    pub fn expire_all_leases(&self) {
        self.with(|state| {
            let ids: Vec<i64> = state.leases.keys().copied().collect();
            for id in ids {
                state.end_lease(id);
            }
        });
    }

    /// Calls answered so far.
    pub fn calls(&self) -> u64 {
        self.with(|state| state.calls)
    }

    fn with<T>(&self, act: impl FnOnce(&mut StoreState) -> T) -> T {
        let mut state = self.shared.state.lock().expect("store is never poisoned");
        let result = act(&mut state);
        self.shared.changed.notify_all();
        result
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = StoredItem {
            value,
            revision,
            created,
            lease,
        };
        self.history
            .push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let owned = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = owned.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn holds(&self, guard: &Value) -> bool {
        let key = guard["Key"].as_str().unwrap_or_default();
        let found = self.items.get(key).map_or(0, |item| item.revision);
        guard["Revision"].as_u64() == Some(found)
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let guards = rows("Precondition");
        if !guards.iter().all(|guard| self.holds(guard)) {
            let keys = guards.iter().filter_map(|guard| guard["Key"].as_str());
            let present = keys.filter_map(|key| Some(wire_item(key, self.items.get(key)?)));
            return (412, json!({"Items": present.collect::<Vec<Value>>()}));
        }
        let puts = rows("Puts");
        let lease = |put: &Value| put["Lease"].as_i64().unwrap_or(0);
        if puts
            .iter()
            .any(|put| lease(put) != 0 && !self.leases.contains_key(&lease(put)))
        {
            return (404, json!({"Error": "no such lease"}));
        }
        for put in &puts {
            let text = |name: &str| put[name].as_str().unwrap_or_default().to_owned();
            self.put(&text("Key"), text("Value"), lease(put));
        }
        for key in rows("Remove").iter().filter_map(Value::as_str) {
            self.remove(key);
        }
        (200, json!({"Revision": self.revision}))
    }
}

fn wire_item(key: &str, item: &StoredItem) -> Value {
    json!({"Key": key, "Value": item.value, "Revision": item.revision, "Created": item.created,
        "Lease": item.lease})
}

fn answer(
    shared: &StoreShared,
    fault: &Mutex<StoreFault>,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
) -> AfterReply {
    let fault = *fault.lock().expect("fault is never poisoned");
    match fault {
        StoreFault::Busy => return reply(stream, 503, &[], b"{}"),
        StoreFault::Reset => return AfterReply::Reset,
        StoreFault::None | StoreFault::RepliesLost => {}
    }
    let (status, body) = run_call(shared, request);
    if fault == StoreFault::RepliesLost || status == 0 {
        return AfterReply::Reset;
    }
    reply(
        stream,
        status,
        &[("Content-Type", "application/json")],
        body.to_string().as_bytes(),
    )
}

/// Runs a call; status 0 stands for a watch that is cut.
fn run_call(shared: &StoreShared, request: &ReceivedRequest) -> (u16, Value) {
    let head = &request.head;
    let query = |name: &str| {
        head.query_parameter(name)
            .unwrap_or_default()
            .replace("%2F", "/")
    };
    let number = |name: &str| query(name).parse::<u64>().unwrap_or(0);
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    if head.path() == "/kv-watch" {
        let wait = Duration::from_millis(number("WaitMs"));
        return watch(shared, &query("Prefix"), number("After"), wait);
    }
    let mut state = shared.state.lock().expect("store is never poisoned");
    state.calls += 1;
    state.expire();
    let answer = match head.path() {
        "/kv-range" => {
            let (prefix, after) = (query("Prefix"), query("After"));
            let fits = |key: &&String| key.starts_with(&prefix) && **key > after;
            let found = state.items.iter().filter(|(key, _)| fits(key));
            let items: Vec<Value> = found.map(|(key, item)| wire_item(key, item)).collect();
            (
                200,
                json!({"Items": items, "HasMore": false, "StoreRevision": state.revision}),
            )
        }
        "/kv-txn" => state.commit(&body),
        "/kv-lease" => {
            let time_to_live = body["TtlMs"].as_u64().unwrap_or(1_000);
            state.next_lease += 1;
            let id = state.next_lease;
            let span = Duration::from_millis(time_to_live);
            state.leases.insert(id, (span, Instant::now() + span));
            (200, json!({"Lease": id, "TtlMs": time_to_live}))
        }
        path => lease_call(&mut state, path),
    };
    drop(state);
    shared.changed.notify_all();
    answer
}

fn lease_call(state: &mut StoreState, path: &str) -> (u16, Value) {
    let id = path
        .rsplit('/')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let Some((span, until)) = state.leases.get_mut(&id) else {
        return (404, json!({"Error": "no such lease"}));
    };
    if path.starts_with("/kv-keep/") {
        *until = Instant::now() + *span;
        return (200, json!({"TtlMs": span.as_millis() as u64}));
    }
    state.end_lease(id);
    (200, json!({}))
}

fn watch(shared: &StoreShared, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
    let ends = Instant::now() + wait;
    let mut state = shared.state.lock().expect("store is never poisoned");
    state.calls += 1;
    let epoch = state.watch_epoch;
    // A watch that begins while the store is deaf hears nothing until it is cut.
    let deaf = state.deaf;
    loop {
        state.expire();
        if state.watch_epoch != epoch {
            return (0, Value::Null);
        }
        if after < state.forgotten && !deaf {
            return (410, json!({"Error": "history is gone"}));
        }
        let fits = |change: &&(u64, String, Option<StoredItem>)| {
            change.0 > after && change.1.starts_with(prefix)
        };
        let events: Vec<Value> = state
            .history
            .iter()
            .filter(fits)
            .map(|(revision, key, item)| match item {
                Some(item) => wire_item(key, item),
                None => json!({"Key": key, "Revision": revision, "Tombstone": true}),
            })
            .collect();
        let hears = !deaf && !state.deaf;
        if (hears && !events.is_empty()) || Instant::now() >= ends {
            let events = if hears { events } else { Vec::new() };
            return (
                200,
                json!({"events": events, "StoreRevision": state.revision}),
            );
        }
        let waited = shared.changed.wait_timeout(state, WATCH_TICK);
        state = waited.expect("store is never poisoned").0;
    }
}
