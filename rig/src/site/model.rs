//! A model server of the platform: holds layers, takes orders, reports, and streams events.

use crate::site::http::{AfterReply, Handler, ReceivedRequest, reply, serve};
use crate::site::store::SiteStore;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a model server does, and does wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelKnobs {
    /// Time between events.
    pub event_gap: Duration,
    /// Events of an answer.
    pub events: u64,
    /// Event in the middle of which the stream is reset.
    pub reset_at_event: Option<u64>,
    /// Event before which the stream stops for ever, as when a part behind the head is dead.
    pub hang_at_event: Option<u64>,
    /// Event before which the stream stops for a time, and goes on.
    pub pause_at_event: Option<(u64, Duration)>,
    /// Address that reports name as the one that requests wait for.
    pub stalled_address: Option<SocketAddr>,
}

impl Default for ModelKnobs {
    fn default() -> Self {
        Self {
            event_gap: Duration::from_millis(5),
            events: 20,
            reset_at_event: None,
            hang_at_event: None,
            pause_at_event: None,
            stalled_address: None,
        }
    }
}

/// A stream that a model server began: the caller's try, the event it went on from, and the hops.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRun {
    /// Identity of the caller's try.
    pub attempt_id: String,
    /// First event sent.
    pub first_event: u64,
    /// Value of the hops field.
    pub hops: String,
}

#[derive(Debug)]
struct ModelState {
    knobs: ModelKnobs,
    layers: Option<(u64, u64)>,
    sequence: u64,
    fence: u64,
    runs: Vec<StreamRun>,
}

/// A model server.
#[derive(Debug, Clone)]
pub struct ModelServer {
    id: Arc<str>,
    zone: Arc<str>,
    card: Arc<str>,
    address: SocketAddr,
    state: Arc<Mutex<ModelState>>,
}

impl ModelServer {
    /// Starts a server without layers and enters it into the store's list.
    pub fn start(store: &SiteStore, id: &str, zone: &str, card: &str) -> Self {
        let state = Arc::new(Mutex::new(ModelState {
            knobs: ModelKnobs::default(),
            layers: None,
            sequence: 0,
            fence: 0,
            runs: Vec::new(),
        }));
        let cell: Arc<Mutex<Option<ModelServer>>> = Arc::default();
        let (own, store_copy) = (Arc::clone(&cell), store.clone());
        let handler: Handler = Arc::new(move |request, stream| {
            let server = own.lock().expect("server is never poisoned").clone();
            match server {
                Some(server) => server.answer(&store_copy, request, stream),
                None => AfterReply::Close,
            }
        });
        let server = Self {
            id: Arc::from(id),
            zone: Arc::from(zone),
            card: Arc::from(card),
            address: serve(handler),
            state,
        };
        *cell.lock().expect("server is never poisoned") = Some(server.clone());
        server.enter(store);
        server
    }

    /// Identity.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does.
    pub fn set_knobs(&self, knobs: ModelKnobs) {
        self.with(|state| state.knobs = knobs);
    }

    /// Layers that it holds, first and after the last.
    pub fn layers(&self) -> Option<(u64, u64)> {
        self.with(|state| state.layers)
    }

    /// Streams that it began.
    pub fn runs(&self) -> Vec<StreamRun> {
        self.with(|state| state.runs.clone())
    }

    fn with<T>(&self, act: impl FnOnce(&mut ModelState) -> T) -> T {
        act(&mut self.state.lock().expect("model server is never poisoned"))
    }

    fn enter(&self, store: &SiteStore) {
        let layers = self
            .layers()
            .map(|(from, to)| json!({"From": from, "To": to, "Version": 1}));
        let entry = json!({
            "Service": "desk", "Address": self.address.to_string(), "Zone": &*self.zone,
            "Version": "v1", "Slots": 64, "State": "ready", "ColdRemainingMs": 0,
            "RouteType": &*self.card, "Layers": layers, "Sequence": 1,
        });
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn answer(
        &self,
        store: &SiteStore,
        request: &ReceivedRequest,
        stream: &mut TcpStream,
    ) -> AfterReply {
        match request.head.path() {
            "/order" => self.take_order(store, request, stream),
            "/report" => {
                let stalled = self.with(|state| state.knobs.stalled_address);
                let rows: Vec<Value> = stalled
                    .iter()
                    .map(|address| json!({"Id": "x", "Address": address.to_string()}))
                    .collect();
                let body = json!({"Waiting": 0, "Running": 0, "Stalled": rows}).to_string();
                reply(stream, 200, &[], body.as_bytes())
            }
            _ => self.stream_events(request, stream),
        }
    }

    fn take_order(
        &self,
        store: &SiteStore,
        request: &ReceivedRequest,
        stream: &mut TcpStream,
    ) -> AfterReply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let status = self.with(|state| {
            if number("FencingToken") < state.fence {
                return 412;
            }
            state.fence = number("FencingToken");
            state.sequence += 1;
            state.layers = Some((number("From"), number("To")));
            202
        });
        self.enter(store);
        reply(stream, status, &[], b"{}")
    }

    fn stream_events(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> AfterReply {
        let head = &request.head;
        let field = |name: &str| head.field(name).unwrap_or_default().to_owned();
        let attempt_id = field("X-Attempt-Id");
        let expected = field("X-Expect-Instance");
        let hops = field("X-Hops");
        if (!expected.is_empty() && expected != *self.id) || !self.holds_first(&hops) {
            return reply(stream, 421, &[("X-Instance-Id", &self.id)], b"");
        }
        let first_event = field("Last-Event-Id")
            .parse()
            .map_or(0, |last: u64| last + 1);
        let run = StreamRun {
            attempt_id: attempt_id.clone(),
            first_event,
            hops,
        };
        let knobs = self.with(|state| {
            state.runs.push(run);
            state.knobs.clone()
        });
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Stamp: stamp-{}\r\n\
             X-Attempt-Id: {attempt_id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return AfterReply::Close;
        }
        for number in first_event..knobs.events {
            thread::sleep(knobs.event_gap);
            let event = format!("id: {number}\ndata: token {number}\n\n");
            if let Some((event, time)) = knobs.pause_at_event
                && event == number
            {
                thread::sleep(time);
            }
            if knobs.hang_at_event == Some(number) {
                thread::sleep(Duration::from_secs(5));
                return AfterReply::Close;
            }
            let cut = knobs.reset_at_event == Some(number);
            let text = if cut {
                &event[..event.len() / 2]
            } else {
                &event
            };
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return AfterReply::Close;
            }
            if cut {
                thread::sleep(Duration::from_millis(30));
                return AfterReply::Reset;
            }
        }
        match stream.write_all(b"0\r\n\r\n") {
            Ok(()) => AfterReply::Keep,
            Err(_) => AfterReply::Close,
        }
    }

    /// True when the first hop is this server's, with the layers that it holds.
    fn holds_first(&self, hops: &str) -> bool {
        let Some((from, to)) = self.layers() else {
            return false;
        };
        let own = format!("{}={from}-{to}", self.address);
        hops.split(',').next() == Some(own.as_str())
    }
}
