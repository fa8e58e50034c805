//! Proxies in front of the servers: the store lists their addresses, and what passes through them is
//! recorded as what servers receive and answer.

use crate::fleet::free_address;
use crate::proxy::{FaultProxy, ProxyEvent, ProxyObserver};
use crate::soak::evidence::ServerRun;
use crate::soak::message::{HttpMessage, UnframedBody};
use crate::soak::shared::SoakShared;
use async_std::task;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Bytes of a response that are kept; the rest of a response without end is not needed.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Service of the servers that a route is moved to.
pub const SECOND_SERVICE: &str = "shop-b";
/// Plain servers of that service; they come after the others.
pub const SECOND_SERVERS: [&str; 2] = ["p-4", "p-5"];

/// The proxies in front of all servers; cheap to clone.
#[derive(Debug, Clone)]
pub struct ServerFronts {
    shared: Arc<SoakShared>,
    by_server: Arc<Mutex<HashMap<SocketAddr, FaultProxy>>>,
}

impl ServerFronts {
    /// Creates the set of proxies, at first none.
    pub fn new(shared: Arc<SoakShared>) -> Self {
        Self {
            shared,
            by_server: Arc::default(),
        }
    }

    /// Proxy in front of the server at `address`.
    pub fn proxy(&self, address: SocketAddr) -> Option<FaultProxy> {
        let proxies = self.by_server.lock().expect("proxies are never poisoned");
        proxies.get(&address).cloned()
    }

    /// The entry of a server with the address of its proxy, and with its service in this run.
    pub fn filter_entry(&self, key: &str, mut entry: Value) -> Value {
        let id = key.trim_start_matches("servers/");
        let name = id.split('.').next().unwrap_or(id);
        if SECOND_SERVERS.contains(&name) {
            entry["Service"] = SECOND_SERVICE.into();
        }
        let address = entry["Address"].as_str().and_then(|text| text.parse().ok());
        let service = entry["Service"].as_str().unwrap_or_default().to_owned();
        if let Some(address) = address {
            entry["Address"] = self.front_address(address, id, &service).to_string().into();
        }
        entry
    }

    /// Address of the proxy in front of `address`, which may be that of a proxy already.
    fn front_address(&self, address: SocketAddr, id: &str, service: &str) -> SocketAddr {
        let mut proxies = self.by_server.lock().expect("proxies are never poisoned");
        if proxies.values().any(|proxy| proxy.address() == address) {
            return address;
        }
        let proxy = proxies.entry(address).or_insert_with(|| {
            let observer = observe_server(&self.shared, id, service);
            let started = FaultProxy::start_faithful(free_address(), address, Some(observer));
            task::block_on(started).expect("a loopback address is free")
        });
        proxy.address()
    }
}

/// One connection of a daemon to a server.
#[derive(Debug, Default)]
struct ServerConnection {
    request: Vec<u8>,
    response: Vec<u8>,
    /// Index of the latest run in the evidence.
    run: Option<usize>,
    /// True while a response is due.
    is_due: bool,
}

/// Records the requests and responses of one server.
struct ServerObserver {
    shared: Arc<SoakShared>,
    server: Arc<str>,
    service: Arc<str>,
    connections: Mutex<HashMap<u64, ServerConnection>>,
}

fn observe_server(shared: &Arc<SoakShared>, id: &str, service: &str) -> ProxyObserver {
    let observer = ServerObserver {
        shared: Arc::clone(shared),
        server: Arc::from(id),
        service: Arc::from(service),
        connections: Mutex::default(),
    };
    ProxyObserver::new(move |number, event| observer.observe(number, event))
}

impl ServerObserver {
    fn observe(&self, number: u64, event: ProxyEvent<'_>) {
        let mut connections = self
            .connections
            .lock()
            .expect("connections are never poisoned");
        let connection = connections.entry(number).or_default();
        match event {
            ProxyEvent::ToTarget(bytes) => self.add_request(connection, bytes),
            ProxyEvent::FromTarget(bytes) => self.add_response(connection, bytes),
            ProxyEvent::CallerEnded => self.end_run(connection, UnframedBody::Open, true),
            ProxyEvent::TargetEnded { reset: true } => {
                self.end_run(connection, UnframedBody::Open, false);
            }
            ProxyEvent::TargetEnded { reset: false } => {
                self.end_run(connection, UnframedBody::Closed, false);
            }
        }
    }

    /// Collects the bytes of a request and records it once it is complete.
    fn add_request(&self, connection: &mut ServerConnection, bytes: &[u8]) {
        connection.request.extend_from_slice(bytes);
        let Some(request) = HttpMessage::parse(&connection.request, UnframedBody::Empty) else {
            return;
        };
        if !request.complete {
            return;
        }
        connection.request.drain(..request.length);
        connection.response.clear();
        connection.run = None;
        connection.is_due = true;
        // Health checks, reports and orders bear no identity of a caller's request.
        let Some(attempt) = request.field("x-attempt-id").map(str::to_owned) else {
            return;
        };
        let at = self.shared.now();
        let mut evidence = self.shared.evidence();
        evidence.runs.push(ServerRun {
            attempt,
            server: Arc::clone(&self.server),
            service: Arc::clone(&self.service),
            at,
            request,
            answers: Vec::new(),
            ended: None,
            dropped: false,
            broke_off: false,
        });
        connection.run = Some(evidence.runs.len() - 1);
    }

    fn add_response(&self, connection: &mut ServerConnection, bytes: &[u8]) {
        let room = MAX_RESPONSE_BYTES.saturating_sub(connection.response.len());
        connection
            .response
            .extend_from_slice(&bytes[..bytes.len().min(room)]);
        self.record_answers(connection, UnframedBody::Open);
    }

    /// Writes the responses read so far into the evidence; true when one for the run is complete.
    fn record_answers(&self, connection: &mut ServerConnection, unframed: UnframedBody) -> bool {
        let Some(run) = connection.run else {
            return true;
        };
        let answers = split_answers(&connection.response, unframed);
        let now = self.shared.now();
        let mut evidence = self.shared.evidence();
        let run = &mut evidence.runs[run];
        run.answers = answers;
        let is_complete = run.answer().is_some_and(|answer| answer.complete);
        if is_complete && connection.is_due {
            connection.is_due = false;
            run.ended = Some(now);
        }
        is_complete
    }

    /// Ends the run of a connection that has ended, unless its response is complete.
    fn end_run(&self, connection: &mut ServerConnection, unframed: UnframedBody, by_daemon: bool) {
        if !connection.is_due || self.record_answers(connection, unframed) {
            return;
        }
        connection.is_due = false;
        let Some(run) = connection.run else {
            return;
        };
        let mut evidence = self.shared.evidence();
        let run = &mut evidence.runs[run];
        run.ended = Some(self.shared.now());
        run.dropped = by_daemon;
        run.broke_off = !by_daemon;
    }
}

/// All responses in `bytes`, the last one perhaps incomplete.
fn split_answers(mut bytes: &[u8], unframed: UnframedBody) -> Vec<HttpMessage> {
    let mut answers = Vec::new();
    while let Some(answer) = HttpMessage::parse(bytes, unframed) {
        bytes = &bytes[answer.length..];
        let is_last = !answer.complete || bytes.is_empty();
        answers.push(answer);
        if is_last {
            break;
        }
    }
    answers
}
