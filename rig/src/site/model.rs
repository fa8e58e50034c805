//! Stand-in for a model server of the platform: accepts layer orders, reports stalls and streams
//! events.

use crate::site::crash::{BEGUN_EVENTS, BEGUN_TIME, CrashPlace, CrashRegistry, StartServer};
use crate::site::endless::{EndlessPart, send_endless};
use crate::site::http::{AfterReply, Handler, ReceivedRequest, reply, serve_scripted, unix_ms};
use crate::site::limit::{LIMIT_FIELD, LimitLedger};
use crate::site::model_stream::{StreamCut, StreamFraming, send_beginning, send_stream};
use crate::site::notice::{NoticeLedger, REST_FIELD};
use crate::site::plain::leaving_field;
use crate::site::script::{ReplyScript, ScriptedReply};
use crate::site::store::SiteStore;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time after which a server cuts off a request whose chain has lost a server.
const STALL_TIME: Duration = Duration::from_secs(3);

/// Behaviour and faults of a model server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelKnobs {
    /// Time before each event. When it is zero, events are sent together as far as possible.
    pub event_gap: Duration,
    /// Number of events in a response.
    pub events: u64,
    /// True when each event names the run that it is of, see [`StreamRun::name`].
    pub names_runs: bool,
    /// How the end of a stream is shown.
    pub framing: StreamFraming,
    /// Part of the response that has no end, in place of the events.
    pub endless: Option<EndlessPart>,
    /// Where streams are broken off; the first cut that applies counts.
    pub cuts: Vec<StreamCut>,
    /// Event before which the stream stalls, as when a later stage of the chain is dead; the
    /// connection closes after 5 s.
    pub hang_at_event: Option<u64>,
    /// Event before which the stream pauses, and the length of the pause.
    pub pause_at_event: Option<(u64, Duration)>,
    /// Address that reports name as stalled.
    pub stalled_address: Option<SocketAddr>,
    /// Response to a request that resumes a stream, in place of the rest of the stream. `{id}` is replaced by
    /// the attempt id; the connection closes after it.
    pub resume_response: Option<&'static str>,
}

impl Default for ModelKnobs {
    fn default() -> Self {
        Self {
            event_gap: Duration::from_millis(5),
            events: 20,
            names_runs: false,
            framing: StreamFraming::Chunked,
            endless: None,
            cuts: Vec::new(),
            hang_at_event: None,
            pause_at_event: None,
            stalled_address: None,
            resume_response: None,
        }
    }
}

/// A stream that a model server has started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRun {
    /// Its server and its number there.
    pub name: String,
    /// Value of `X-Attempt-Id`.
    pub attempt_id: String,
    /// Number of the first event; above 0 when the stream was resumed.
    pub first_event: u64,
    /// Value of `X-Hops`: the chain as `address=from-to`, separated by commas.
    pub hops: String,
}

#[derive(Debug)]
struct ModelState {
    knobs: ModelKnobs,
    layers: Option<(u64, u64)>,
    /// Address under which the store lists the server.
    listed_address: Option<String>,
    /// Other addresses under which daemons reach the server.
    fronts: Vec<SocketAddr>,
    sequence: u64,
    fence: u64,
    runs: Vec<StreamRun>,
    /// Bytes that peers have taken of responses without end, before they closed the connection.
    endless_bytes: Vec<usize>,
}

/// A stand-in model server; cheap to clone.
#[derive(Debug, Clone)]
pub struct ModelServer {
    id: Arc<str>,
    zone: Arc<str>,
    card: Arc<str>,
    address: SocketAddr,
    /// Time of its start, in milliseconds since 1970.
    born_ms: u64,
    crashes: CrashRegistry,
    state: Arc<Mutex<ModelState>>,
    limits: Arc<LimitLedger>,
    notices: Arc<NoticeLedger>,
    script: Arc<ReplyScript>,
}

impl ModelServer {
    /// Starts a server without layers and registers it in the store.
    pub fn start(
        store: &SiteStore,
        crashes: &CrashRegistry,
        id: &str,
        zone: &str,
        card: &str,
    ) -> Self {
        let state = Arc::new(Mutex::new(ModelState {
            knobs: ModelKnobs::default(),
            layers: None,
            listed_address: None,
            fronts: Vec::new(),
            sequence: 0,
            fence: 0,
            runs: Vec::new(),
            endless_bytes: Vec::new(),
        }));
        let server_cell: Arc<Mutex<Option<ModelServer>>> = Arc::default();
        let (handler_cell, handler_store) = (Arc::clone(&server_cell), store.clone());
        let handler: Handler = Arc::new(move |request, stream| {
            let server = handler_cell
                .lock()
                .expect("server is never poisoned")
                .clone();
            match server {
                Some(server) => server.handle_request(&handler_store, request, stream),
                None => AfterReply::Close,
            }
        });
        let script = Arc::default();
        let switch = serve_scripted(handler, Arc::clone(&script));
        let server = Self {
            id: Arc::from(id),
            zone: Arc::from(zone),
            card: Arc::from(card),
            address: switch.address(),
            born_ms: unix_ms(),
            crashes: crashes.clone(),
            state,
            limits: Arc::default(),
            notices: Arc::default(),
            script,
        };
        let (next_store, next) = (store.clone(), server.clone());
        let start_again: StartServer = Arc::new(move |id: &str| {
            let server = Self::start(&next_store, &next.crashes, id, &next.zone, &next.card);
            server.set_knobs(ModelKnobs {
                stalled_address: None,
                ..next.with_state(|state| state.knobs.clone())
            });
        });
        crashes.add(id, switch, start_again);
        *server_cell.lock().expect("server is never poisoned") = Some(server.clone());
        server.register(store);
        server
    }

    /// Identifier of the server in the store.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Address on which it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its behaviour.
    pub fn set_knobs(&self, knobs: ModelKnobs) {
        self.with_state(|state| state.knobs = knobs);
    }

    /// Sets the reply to requests for streams; `None` ends it.
    pub fn set_reply(&self, reply: Option<ScriptedReply>) {
        self.script.set(reply);
    }

    /// Number of scripted replies.
    pub fn scripted_replies(&self) -> usize {
        self.script.sent()
    }

    /// Layers that it holds: the first one and the one after the last.
    pub fn layers(&self) -> Option<(u64, u64)> {
        self.with_state(|state| state.layers)
    }

    /// Bytes taken of each response without end that is over.
    pub fn endless_bytes(&self) -> Vec<usize> {
        self.with_state(|state| state.endless_bytes.clone())
    }

    /// Limit that it names in its responses to requests, and the requests that reach it.
    pub fn limits(&self) -> &LimitLedger {
        &self.limits
    }

    /// What it says beside its answers, and the requests, orders and questions for reports that reach it.
    pub fn notices(&self) -> &NoticeLedger {
        &self.notices
    }

    /// Streams that it has started.
    pub fn runs(&self) -> Vec<StreamRun> {
        self.with_state(|state| state.runs.clone())
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut ModelState) -> T) -> T {
        act(&mut self.state.lock().expect("model server is never poisoned"))
    }

    /// Writes the entry of this server under `servers/` in the store.
    fn register(&self, store: &SiteStore) {
        let layers = self
            .layers()
            .map(|(from, to)| json!({"From": from, "To": to, "Version": 1}));
        let entry = json!({
            "Service": "desk", "Address": self.address.to_string(), "Zone": &*self.zone,
            "Version": "v1", "Slots": 64, "State": "ready", "ColdRemainingMs": 0,
            "RouteType": &*self.card, "Layers": layers, "Sequence": 1, "born": self.born_ms,
        });
        let listed = store.put(&format!("servers/{}", self.id), &entry);
        let address = listed["Address"].as_str().map(str::to_owned);
        self.with_state(|state| state.listed_address = address);
    }

    fn handle_request(
        &self,
        store: &SiteStore,
        request: &ReceivedRequest,
        stream: &mut TcpStream,
    ) -> AfterReply {
        self.notices.record_arrival();
        if let Some(rest) = self.notices.take_rest() {
            let attempt_id = request.head.field("X-Attempt-Id").unwrap_or_default();
            let mut fields = vec![
                ("X-Not-Executed", "1"),
                ("X-Attempt-Id", attempt_id),
                (REST_FIELD, &*rest),
            ];
            fields.extend(leaving_field(&self.notices));
            return reply(stream, 503, &fields, b"");
        }
        match request.head.path() {
            "/order" => self.handle_order(store, request, stream),
            "/report" => {
                let stalled = self.with_state(|state| state.knobs.stalled_address);
                let rows: Vec<Value> = stalled
                    .iter()
                    .map(|address| json!({"Id": "x", "Address": address.to_string()}))
                    .collect();
                let body = json!({"Waiting": 0, "Running": 0, "Stalled": rows}).to_string();
                let leaving: Vec<_> = leaving_field(&self.notices).into_iter().collect();
                reply(stream, 200, &leaving, body.as_bytes())
            }
            _ => self.stream_events(request, stream),
        }
    }

    fn handle_order(
        &self,
        store: &SiteStore,
        request: &ReceivedRequest,
        stream: &mut TcpStream,
    ) -> AfterReply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let expected = request.head.field("X-Expect-Instance").unwrap_or(&self.id);
        if expected != &*self.id {
            return reply(stream, 421, &[("X-Instance-Id", &self.id)], b"");
        }
        let status = self.with_state(|state| {
            if number("FencingToken") < state.fence {
                return 412;
            }
            state.fence = number("FencingToken");
            state.sequence += 1;
            state.layers = Some((number("From"), number("To")));
            202
        });
        self.register(store);
        let leaving: Vec<_> = leaving_field(&self.notices).into_iter().collect();
        reply(stream, status, &leaving, b"{}")
    }

    fn stream_events(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> AfterReply {
        self.limits.record_arrival();
        let head = &request.head;
        let field = |name: &str| head.field(name).unwrap_or_default().to_owned();
        let attempt_id = field("X-Attempt-Id");
        let expected = field("X-Expect-Instance");
        let hops = field("X-Hops");
        if (!expected.is_empty() && expected != *self.id) || !self.is_first_hop(&hops) {
            return reply(stream, 421, &[("X-Instance-Id", &self.id)], b"");
        }
        let bad_part = self.crashes.bad_part(&field("X-Prompt-Prefix"));
        let place = match &bad_part {
            Some(part) if part.is_begun => CrashPlace::Begun,
            Some(_part) => CrashPlace::First,
            None => CrashPlace::of(head.path()),
        };
        let is_spared = place != CrashPlace::Nowhere && self.crashes.spares_next();
        if let Some(part) = &bad_part {
            self.crashes.record_bad_arrival(part, !is_spared);
        }
        if is_spared {
            let stamp = [("X-Server-Stamp", "stamp"), ("X-Attempt-Id", &attempt_id)];
            return reply(stream, 500, &stamp, b"failed");
        }
        match place {
            CrashPlace::Nowhere | CrashPlace::Begun => {}
            CrashPlace::First => {
                self.crashes.crash(self.address, head.path());
                return AfterReply::Close;
            }
            CrashPlace::Last => {
                if let Some(address) = last_hop(&hops) {
                    self.crashes.crash(address, head.path());
                    self.with_state(|state| state.knobs.stalled_address = Some(address));
                }
                thread::sleep(STALL_TIME);
                return AfterReply::Close;
            }
        }
        let first_event = field("Last-Event-Id")
            .parse()
            .map_or(0, |last: u64| last + 1);
        let (knobs, run) = self.with_state(|state| {
            let name = format!("{}-{}", self.id, state.runs.len());
            state.runs.push(StreamRun {
                name: name.clone(),
                attempt_id: attempt_id.clone(),
                first_event,
                hops,
            });
            (state.knobs.clone(), name)
        });
        let fields = format!(
            "Content-Type: text/event-stream\r\nX-Server-Stamp: stamp-{}\r\n\
             X-Attempt-Id: {attempt_id}\r\n{}{}",
            self.id,
            self.limit_line(),
            self.leaving_line(),
        );
        if place == CrashPlace::Begun {
            send_beginning(stream, &fields, first_event, &knobs, BEGUN_EVENTS);
            thread::sleep(BEGUN_TIME);
            self.crashes.crash(self.address, head.path());
            return AfterReply::Close;
        }
        if let Some(response) = knobs.resume_response.filter(|_| first_event > 0) {
            // The daemon may have closed the connection.
            let _sent = stream.write_all(response.replace("{id}", &attempt_id).as_bytes());
            return AfterReply::Close;
        }
        let Some(part) = knobs.endless else {
            return send_stream(stream, &fields, first_event, &knobs, &run);
        };
        let sent = send_endless(stream, part, &fields);
        self.with_state(|state| state.endless_bytes.push(sent));
        AfterReply::Close
    }

    /// Header line with the limit, if it names one.
    fn limit_line(&self) -> String {
        let limit = self.limits.limit();
        limit.map_or_else(String::new, |limit| format!("{LIMIT_FIELD}: {limit}\r\n"))
    }

    /// Header line of a server that leaves.
    fn leaving_line(&self) -> String {
        let field = leaving_field(&self.notices);
        field.map_or_else(String::new, |(name, value)| format!("{name}: {value}\r\n"))
    }

    /// True when the server is listed at `address` or serves there.
    pub fn is_at(&self, address: SocketAddr) -> bool {
        let listed = self.with_state(|state| state.listed_address.clone());
        self.address == address || listed.is_some_and(|listed| listed == address.to_string())
    }

    /// Takes `address` for one of its own: a daemon reaches the server through a proxy there.
    pub fn add_front(&self, address: SocketAddr) {
        self.with_state(|state| state.fronts.push(address));
    }

    /// True when the first hop names this server and the layers that it holds.
    fn is_first_hop(&self, hops: &str) -> bool {
        let Some((from, to)) = self.layers() else {
            return false;
        };
        let first_hop = hops.split(',').next().and_then(|hop| hop.split_once('='));
        let Some((address, layers)) = first_hop else {
            return false;
        };
        let is_own = self.with_state(|state| {
            let is_front = |front: &SocketAddr| front.to_string() == address;
            state.listed_address.as_deref() == Some(address) || state.fronts.iter().any(is_front)
        });
        is_own && layers == format!("{from}-{to}")
    }
}

/// Address of the last hop of a chain.
fn last_hop(hops: &str) -> Option<SocketAddr> {
    let hop = hops.rsplit(',').next()?;
    hop.split('=').next()?.parse().ok()
}
