//! Stand-in for the platform's metadata store: revisions, watches, conditional transactions,
//! leases, history compaction, and faults for the clients of one of its two addresses or of both.

use crate::site::http::{AfterReply, Handler, ReceivedRequest, reply, serve};
use crate::site::restore::{LostWrite, StoreJournal, StoreRestore, WriteAuthor};
use arbutusmount::StorePort;
use arbutusmount_platform::platform_ports;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Period at which a pending watch checks for expired leases and for being cut.
const WATCH_POLL: Duration = Duration::from_millis(20);

/// Fault that the clients of one address see.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Calls are refused with status 503.
    Busy,
    /// Connections are reset.
    Reset,
    /// Calls take effect and their replies are lost.
    RepliesLost,
    /// Lists are answered after this time.
    SlowLists(Duration),
}

#[derive(Debug, Clone)]
pub(super) struct StoredItem {
    pub(super) value: String,
    pub(super) revision: u64,
    pub(super) created: u64,
    pub(super) lease: i64,
}

#[derive(Debug)]
struct StoreState {
    /// Everything that was written since the start, to restore older copies from.
    journal: StoreJournal,
    /// Rises by one with each restore.
    era: u64,
    /// Text of the header that names the era; `None` for a store that sends none.
    era_text: Option<String>,
    items: BTreeMap<String, StoredItem>,
    /// Changes in order: revision, key and the new item, or `None` for a removal.
    history: Vec<(u64, String, Option<StoredItem>)>,
    /// Changes up to this revision are compacted.
    compacted: u64,
    revision: u64,
    /// Time to live and expiry of each lease.
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
    /// Watches started under a lower epoch are cut.
    watch_epoch: u64,
    /// True while watches report no events.
    is_muted: bool,
    calls: u64,
    watches: u64,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            journal: StoreJournal::default(),
            era: 1,
            era_text: Some("1".to_owned()),
            items: BTreeMap::new(),
            history: Vec::new(),
            compacted: 0,
            revision: 0,
            leases: HashMap::new(),
            next_lease: 0,
            watch_epoch: 0,
            is_muted: false,
            calls: 0,
            watches: 0,
        }
    }
}

#[derive(Debug, Default)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Condvar,
}

/// Replaces the entry that a server writes under the key given.
type EntryFilter = Arc<dyn Fn(&str, Value) -> Value + Send + Sync>;

/// Address under which the clients of one address of the store reach a server.
type AddressView = Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>;

/// What the clients of one address of the store see.
#[derive(Clone, Default)]
struct StoreFace {
    fault: Arc<Mutex<StoreFault>>,
    view: Option<AddressView>,
}

/// A stand-in metadata store; cheap to clone.
#[derive(Clone)]
pub struct SiteStore {
    shared: Arc<StoreShared>,
    faults: [Arc<Mutex<StoreFault>>; 2],
    addresses: [SocketAddr; 2],
    entry_filter: Arc<Mutex<Option<EntryFilter>>>,
}

impl fmt::Debug for SiteStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SiteStore")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

impl SiteStore {
    /// Starts a store with two addresses.
    pub fn start() -> Self {
        let shared = Arc::new(StoreShared::default());
        let faults = [Arc::default(), Arc::default()];
        let listen = |fault: &Arc<Mutex<StoreFault>>| {
            let face = StoreFace {
                fault: Arc::clone(fault),
                view: None,
            };
            serve_face(&shared, face)
        };
        let addresses = [listen(&faults[0]), listen(&faults[1])];
        Self {
            shared,
            faults,
            addresses,
            entry_filter: Arc::default(),
        }
    }

    /// Replaces the entries that servers write from now on, so that daemons reach servers through
    /// proxies. The filter gets the key and the entry.
    pub fn set_entry_filter(&self, filter: impl Fn(&str, Value) -> Value + Send + Sync + 'static) {
        let mut current = self.entry_filter.lock().expect("filter is never poisoned");
        *current = Some(Arc::new(filter));
    }

    /// The entry as the store keeps it.
    fn filter_entry(&self, key: &str, value: &Value) -> Value {
        let filter = self.entry_filter.lock().expect("filter is never poisoned");
        match filter.clone() {
            Some(filter) if key.starts_with("servers/") => filter(key, value.clone()),
            _ => value.clone(),
        }
    }

    /// Adds an address whose clients see other addresses of the servers than those that these have
    /// written. It has the faults of address 0.
    pub fn add_view(
        &self,
        view: impl Fn(SocketAddr) -> SocketAddr + Send + Sync + 'static,
    ) -> SocketAddr {
        let face = StoreFace {
            fault: Arc::clone(&self.faults[0]),
            view: Some(Arc::new(view)),
        };
        serve_face(&self.shared, face)
    }

    /// Address with this index, 0 or 1.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// A new client's calls to an address.
    pub fn port(&self, index: usize) -> StorePort {
        platform_ports(self.address(index)).store
    }

    /// Sets the fault of an address and cuts the pending watches of both addresses.
    pub fn set_fault(&self, index: usize, fault: StoreFault) {
        *self.faults[index].lock().expect("fault is never poisoned") = fault;
        self.with_state(|state| state.watch_epoch += 1);
    }

    /// Writes any bytes under a key without a lease.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        let text = STANDARD.encode(value);
        self.with_state(|state| state.put(WriteAuthor::Outside, key, text, 0));
    }

    /// Writes a key without a lease, as the operator and the servers do, and returns the value that
    /// the store keeps.
    pub fn put(&self, key: &str, value: &Value) -> Value {
        let value = self.filter_entry(key, value);
        let text = STANDARD.encode(value.to_string());
        self.with_state(|state| state.put(WriteAuthor::Outside, key, text, 0));
        value
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.with_state(|state| state.remove(WriteAuthor::Outside, key));
    }

    /// Decoded value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let text = self.with_state(|state| state.items.get(key).map(|item| item.value.clone()))?;
        STANDARD.decode(text).ok()
    }

    /// Lease to which a key is attached, 0 for none; `None` while there is no such key.
    pub fn lease(&self, key: &str) -> Option<i64> {
        self.with_state(|state| state.items.get(key).map(|item| item.lease))
    }

    /// Makes watches report no events until the next [`Self::compact`].
    pub fn mute_watches(&self) {
        self.with_state(|state| state.is_muted = true);
    }

    /// Compacts the whole history and cuts all watches; new watches report events again.
    pub fn compact(&self) {
        self.with_state(|state| {
            state.is_muted = false;
            state.compacted = state.revision;
            state.history.clear();
            state.watch_epoch += 1;
        });
    }

    /// Ends all leases at once, as if they had expired.
    pub fn expire_all_leases(&self) {
        self.with_state(|state| {
            let ids: Vec<i64> = state.leases.keys().copied().collect();
            for id in ids {
                state.end_lease(id);
            }
        });
    }

    /// Goes back to an older copy and returns the lost writes of the operator and the servers, which
    /// [`Self::write_again`] makes again.
    pub fn restore(&self, restore: StoreRestore) -> Vec<LostWrite> {
        self.with_state(|state| state.restore(restore))
    }

    /// Makes lost writes again in a random order that `seed` decides, evenly spread over `period`.
    /// Returns after the last one.
    pub fn write_again(&self, mut lost: Vec<LostWrite>, period: Duration, seed: u64) {
        fastrand::Rng::with_seed(seed).shuffle(&mut lost);
        let pause = period / u32::try_from(lost.len().max(1)).unwrap_or(u32::MAX);
        for LostWrite { key, value } in lost {
            thread::sleep(pause);
            self.with_state(|state| match value {
                Some(value) => state.put(WriteAuthor::Outside, &key, value, 0),
                None => state.remove(WriteAuthor::Outside, &key),
            });
        }
    }

    /// Sets the text of the header that names the era; `None` sends no such header. A restore sets
    /// it to the new era unless none is sent.
    pub fn set_era_text(&self, text: Option<&str>) {
        self.with_state(|state| state.era_text = text.map(str::to_owned));
    }

    /// Number of calls run so far, without those refused by a fault.
    pub fn calls(&self) -> u64 {
        self.with_state(|state| state.calls)
    }

    /// Number of watches started so far, without those refused by a fault.
    pub fn watches(&self) -> u64 {
        self.with_state(|state| state.watches)
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut StoreState) -> T) -> T {
        let mut state = self.shared.state.lock().expect("store is never poisoned");
        let result = act(&mut state);
        self.shared.changed.notify_all();
        result
    }
}

impl StoreState {
    fn restore(&mut self, restore: StoreRestore) -> Vec<LostWrite> {
        let copy = self.journal.go_back(restore.age);
        self.era += 1;
        self.era_text = self.era_text.take().map(|_| self.era.to_string());
        self.items = copy.items;
        self.history = copy.history;
        self.revision = copy.revision;
        self.next_lease = copy.next_lease;
        self.leases.clear();
        self.watch_epoch += u64::from(restore.cuts_watches);
        self.compacted = self.compacted.min(self.revision);
        // Keys whose lease is gone are not in the copy. Their removal is no change of its own.
        self.items.retain(|_, item| item.lease == 0);
        copy.lost
    }

    fn put(&mut self, author: WriteAuthor, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = StoredItem {
            value,
            revision,
            created,
            lease,
        };
        self.journal
            .record(author, revision, key, Some(&item), self.next_lease);
        self.history
            .push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, author: WriteAuthor, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.journal
                .record(author, self.revision, key, None, self.next_lease);
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let owned = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = owned.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.remove(WriteAuthor::System, key);
        }
    }

    /// Ends the leases that have expired.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, expiry))| *expiry <= now);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    /// True when a key has the revision that a precondition asks for; 0 stands for an absent key.
    fn holds(&self, precondition: &Value) -> bool {
        let key = precondition["Key"].as_str().unwrap_or_default();
        let found = self.items.get(key).map_or(0, |item| item.revision);
        precondition["Revision"].as_u64() == Some(found)
    }

    /// Runs a transaction. If a precondition fails, the reply has status 412 and the present items.
    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let preconditions = rows("Precondition");
        if !preconditions
            .iter()
            .all(|precondition| self.holds(precondition))
        {
            let keys = preconditions
                .iter()
                .filter_map(|precondition| precondition["Key"].as_str());
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
            self.put(WriteAuthor::System, &text("Key"), text("Value"), lease(put));
        }
        for key in rows("Remove").iter().filter_map(Value::as_str) {
            self.remove(WriteAuthor::System, key);
        }
        (200, json!({"Revision": self.revision}))
    }
}

fn wire_item(key: &str, item: &StoredItem) -> Value {
    json!({"Key": key, "Value": item.value, "Revision": item.revision, "Created": item.created,
        "Lease": item.lease})
}

/// Serves calls on a new address.
fn serve_face(shared: &Arc<StoreShared>, face: StoreFace) -> SocketAddr {
    let shared = Arc::clone(shared);
    let handler: Handler =
        Arc::new(move |request, stream| handle_request(&shared, &face, request, stream));
    serve(handler)
}

/// Replaces the addresses in the entries of servers that a reply holds.
fn apply_view(view: &AddressView, body: &mut Value) {
    for list in ["Items", "events"] {
        let items = body[list].as_array_mut();
        for item in items.into_iter().flatten() {
            let is_server = item["Key"]
                .as_str()
                .is_some_and(|key| key.starts_with("servers/"));
            let viewed = item["Value"]
                .as_str()
                .and_then(|text| viewed_entry(view, text));
            if let (true, Some(viewed)) = (is_server, viewed) {
                item["Value"] = viewed.into();
            }
        }
    }
}

/// The entry of a server with the address under which the client reaches it.
fn viewed_entry(view: &AddressView, text: &str) -> Option<String> {
    let mut entry: Value = serde_json::from_slice(&STANDARD.decode(text).ok()?).ok()?;
    let address = entry["Address"].as_str()?.parse().ok()?;
    entry["Address"] = view(address).to_string().into();
    Some(STANDARD.encode(entry.to_string()))
}

fn handle_request(
    shared: &StoreShared,
    face: &StoreFace,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
) -> AfterReply {
    let fault = *face.fault.lock().expect("fault is never poisoned");
    let era_text = || {
        let state = shared.state.lock().expect("store is never poisoned");
        state.era_text.clone()
    };
    match fault {
        StoreFault::Busy => return reply(stream, 503, &era_fields(era_text().as_deref()), b"{}"),
        StoreFault::Reset => return AfterReply::Reset,
        StoreFault::SlowLists(delay) if request.head.path() == "/kv-range" => thread::sleep(delay),
        StoreFault::None | StoreFault::RepliesLost | StoreFault::SlowLists(_) => {}
    }
    let (status, mut body) = run_call(shared, request);
    if let Some(view) = &face.view {
        apply_view(view, &mut body);
    }
    if fault == StoreFault::RepliesLost || status == 0 {
        return AfterReply::Reset;
    }
    let era_text = era_text();
    let mut fields = era_fields(era_text.as_deref());
    fields.push(("Content-Type", "application/json"));
    reply(stream, status, &fields, body.to_string().as_bytes())
}

/// Header fields that name the era.
fn era_fields(text: Option<&str>) -> Vec<(&'static str, &str)> {
    text.map(|text| ("Store-Era", text)).into_iter().collect()
}

/// Runs a call and returns its status and body; status 0 stands for a watch that is cut.
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
        return run_watch(shared, &query("Prefix"), number("After"), wait);
    }
    let mut state = shared.state.lock().expect("store is never poisoned");
    state.calls += 1;
    state.expire_leases();
    let reply = match head.path() {
        "/kv-range" => {
            let (prefix, after) = (query("Prefix"), query("After"));
            let is_wanted = |key: &&String| key.starts_with(&prefix) && **key > after;
            let found = state.items.iter().filter(|(key, _)| is_wanted(key));
            let items: Vec<Value> = found.map(|(key, item)| wire_item(key, item)).collect();
            (
                200,
                json!({"Items": items, "HasMore": false, "StoreRevision": state.revision}),
            )
        }
        "/kv-txn" => state.commit(&body),
        "/kv-lease" => {
            let ttl_ms = body["TtlMs"].as_u64().unwrap_or(1_000);
            state.next_lease += 1;
            let id = state.next_lease;
            let ttl = Duration::from_millis(ttl_ms);
            state.leases.insert(id, (ttl, Instant::now() + ttl));
            (200, json!({"Lease": id, "TtlMs": ttl_ms}))
        }
        path => run_lease_call(&mut state, path),
    };
    drop(state);
    shared.changed.notify_all();
    reply
}

/// Renews or ends the lease that the path names.
fn run_lease_call(state: &mut StoreState, path: &str) -> (u16, Value) {
    let id = path
        .rsplit('/')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let Some((ttl, expiry)) = state.leases.get_mut(&id) else {
        return (404, json!({"Error": "no such lease"}));
    };
    if path.starts_with("/kv-keep/") {
        *expiry = Instant::now() + *ttl;
        return (200, json!({"TtlMs": ttl.as_millis() as u64}));
    }
    state.end_lease(id);
    (200, json!({}))
}

/// Waits until there are changes under `prefix` after revision `after`, at most for `wait`.
fn run_watch(shared: &StoreShared, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
    let deadline = Instant::now() + wait;
    let mut state = shared.state.lock().expect("store is never poisoned");
    state.calls += 1;
    state.watches += 1;
    let epoch = state.watch_epoch;
    // A watch that starts while watches are muted stays muted until it is cut.
    let was_muted = state.is_muted;
    // Only looked at when the watch starts: one that waits through a restore goes on.
    let is_ahead = after > state.revision;
    loop {
        state.expire_leases();
        if state.watch_epoch != epoch {
            return (0, Value::Null);
        }
        if (after < state.compacted || is_ahead) && !was_muted {
            return (
                410,
                json!({"Error": "the history after this revision is compacted"}),
            );
        }
        let is_wanted = |change: &&(u64, String, Option<StoredItem>)| {
            change.0 > after && change.1.starts_with(prefix)
        };
        let events: Vec<Value> = state
            .history
            .iter()
            .filter(is_wanted)
            .map(|(revision, key, item)| match item {
                Some(item) => wire_item(key, item),
                None => json!({"Key": key, "Revision": revision, "Tombstone": true}),
            })
            .collect();
        let reports = !was_muted && !state.is_muted;
        if (reports && !events.is_empty()) || Instant::now() >= deadline {
            let events = if reports { events } else { Vec::new() };
            return (
                200,
                json!({"events": events, "StoreRevision": state.revision}),
            );
        }
        let waited = shared.changed.wait_timeout(state, WATCH_POLL);
        state = waited.expect("store is never poisoned").0;
    }
}
