//! Stand-in for the platform's metadata store (PROTOCOL, "The platform's metadata store").

use crate::http::{Message, read_request, write_response};
use crate::json::Json;
use crate::record::note;
use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: i64,
}

struct Change {
    revision: u64,
    key: String,
    /// `None` for a removal.
    item: Option<Item>,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    /// Starts a store at an address of the loopback range.
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the address of the store is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let store = Arc::new(Self {
            address,
            content: Mutex::new(Content {
                revision: 100,
                next_lease: 7000,
                ..Content::default()
            }),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.expire_leases();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().expect("no thread of the store panics")
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut content = self.lock();
        let revision = content.put(key, value.as_bytes().to_vec(), 0);
        drop(content);
        self.changed.notify_all();
        revision
    }

    /// Removes a key, as when a server has left.
    pub fn remove(&self, key: &str) {
        let mut content = self.lock();
        content.remove(key);
        drop(content);
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut content = self.lock();
        let ended: Vec<i64> = content
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            content.end_lease(*id);
        }
        drop(content);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let fields = [("Content-Type", "application/json".to_owned())];
            if write_response(&mut stream, status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path().to_owned();
        match (request.method(), path.as_str()) {
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-key") => self.key(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(request),
            ("POST", "/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/kv-keep/") => {
                self.keep(&path["/kv-keep/".len()..])
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                self.end(&path["/kv-lease-end/".len()..])
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn key(&self, request: &Message) -> (u16, String) {
        let key = request.query("Key").unwrap_or_default();
        let content = self.lock();
        match content.items.get(&key) {
            Some(item) => (200, item_json(&key, item).to_string()),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("Prefix").unwrap_or_default();
        let after = request.query("After").unwrap_or_default();
        let content = self.lock();
        let found = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let rows: Vec<(&String, &Item)> = found.take(501).collect();
        let has_more = rows.len() > 500;
        let items = rows
            .iter()
            .take(500)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let reply = Json::Table(vec![
            ("Items".to_owned(), Json::List(items)),
            ("HasMore".to_owned(), Json::Bool(has_more)),
            (
                "StoreRevision".to_owned(),
                Json::Number(content.revision as f64),
            ),
        ]);
        (200, reply.to_string())
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("Prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("After").unwrap_or(0);
        let wait = Duration::from_millis(number("WaitMs").unwrap_or(0).min(30_000));
        let end = Instant::now() + wait;
        let mut content = self.lock();
        loop {
            let is_new =
                |change: &&Change| change.revision > after && change.key.starts_with(&prefix);
            let events: Vec<Json> = content
                .history
                .iter()
                .filter(is_new)
                .map(change_json)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let reply = Json::Table(vec![
                    ("events".to_owned(), Json::List(events)),
                    (
                        "StoreRevision".to_owned(),
                        Json::Number(content.revision as f64),
                    ),
                ]);
                return (200, reply.to_string());
            }
            content = self
                .changed
                .wait_timeout(content, left)
                .expect("no thread panics")
                .0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let text = |row: &Json, name: &str| {
            row.get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let mut content = self.lock();
        let guards = rows("Precondition");
        let holds = guards.iter().all(|guard| {
            let expected = guard.get("Revision").and_then(Json::number).unwrap_or(0.0) as u64;
            let known = content
                .items
                .get(&text(guard, "Key"))
                .map_or(0, |item| item.revision);
            expected == known
        });
        if !holds {
            let items = guards.iter().filter_map(|guard| {
                let key = text(guard, "Key");
                content.items.get(&key).map(|item| item_json(&key, item))
            });
            let reply = Json::Table(vec![("Items".to_owned(), Json::List(items.collect()))]);
            return (412, reply.to_string());
        }
        let lease = |row: &Json| row.get("Lease").and_then(Json::number).unwrap_or(0.0) as i64;
        let puts = rows("Puts");
        if puts
            .iter()
            .any(|put| lease(put) != 0 && !content.leases.contains_key(&lease(put)))
        {
            return (404, "{}".to_owned());
        }
        for put in &puts {
            let value = decode_base64(&text(put, "Value"));
            content.put(&text(put, "Key"), value, lease(put));
            note(&format!("store: a daemon writes {}", text(put, "Key")));
        }
        for key in rows("Remove") {
            content.remove(key.text().unwrap_or_default());
        }
        let revision = content.revision;
        drop(content);
        self.changed.notify_all();
        (200, format!("{{\"Revision\":{revision}}}"))
    }

    fn grant(&self, request: &Message) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let ttl = body
            .get("TtlMs")
            .and_then(Json::number)
            .unwrap_or(1000.0)
            .max(1000.0) as u64;
        let mut content = self.lock();
        content.next_lease += 1;
        let id = content.next_lease;
        let span = Duration::from_millis(ttl);
        content.leases.insert(id, (span, Instant::now() + span));
        (200, format!("{{\"Lease\":{id},\"TtlMs\":{ttl}}}"))
    }

    fn keep(&self, id: &str) -> (u16, String) {
        let mut content = self.lock();
        let lease = id
            .parse()
            .ok()
            .and_then(|id: i64| content.leases.get_mut(&id));
        match lease {
            Some((span, end)) => {
                *end = Instant::now() + *span;
                (200, format!("{{\"TtlMs\":{}}}", span.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end(&self, id: &str) -> (u16, String) {
        let mut content = self.lock();
        let Some(id) = id
            .parse()
            .ok()
            .filter(|id: &i64| content.leases.contains_key(id))
        else {
            return (404, "{}".to_owned());
        };
        content.end_lease(id);
        drop(content);
        self.changed.notify_all();
        (200, "{}".to_owned())
    }
}

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: i64) -> u64 {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        let revision = self.revision;
        self.history.push(Change {
            revision,
            key: key.to_owned(),
            item: Some(item),
        });
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change {
                revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    Json::Table(vec![
        ("Key".to_owned(), Json::Text(key.to_owned())),
        ("Value".to_owned(), Json::Text(encode_base64(&item.value))),
        ("Revision".to_owned(), Json::Number(item.revision as f64)),
        ("Created".to_owned(), Json::Number(item.created as f64)),
        ("Lease".to_owned(), Json::Number(item.lease as f64)),
    ])
}

fn change_json(change: &Change) -> Json {
    match &change.item {
        Some(item) => item_json(&change.key, item),
        None => Json::Table(vec![
            ("Key".to_owned(), Json::Text(change.key.clone())),
            ("Revision".to_owned(), Json::Number(change.revision as f64)),
            ("Tombstone".to_owned(), Json::Bool(true)),
        ]),
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= group.len() {
                text.push(ALPHABET[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for character in text.bytes().filter(|byte| *byte != b'=') {
        let Some(value) = ALPHABET.iter().position(|known| *known == character) else {
            continue;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
