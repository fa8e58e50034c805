//! Stand-ins for servers: model servers that hold layers, and plain servers (PROTOCOL, "Servers").

use crate::http::{Message, read_request, write_head, write_response};
use crate::json::Json;
use crate::record::note;
use crate::store::Store;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Period of heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that a server takes to load new layers before the first request.
const LOAD_TIME: Duration = Duration::from_millis(30);

/// Bytes after a complete answer: a second one, without the id of any attempt.
const EXTRA_BYTES: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 16\r\n\r\nnobody's answer\n";

/// What a server is.
#[derive(Clone)]
pub struct ServerSpec {
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Accelerator kind, its memory and the size of a layer; `None` for a plain server.
    pub card: Option<Card>,
    pub slots: u32,
    /// Layers that it holds already.
    pub layers: Option<(u32, u32)>,
}

/// An accelerator.
#[derive(Clone)]
pub struct Card {
    pub kind: &'static str,
    pub size_mb: f64,
    pub layer_mb: f64,
}

/// What a run of a request does.
pub enum RunStep {
    /// Waits.
    Pause(Duration),
    /// Sends the next event of the stream.
    Event,
    /// The server breaks its answer off inside an event and closes the connection.
    BreakOff,
}

/// Steps of a run, given the server, the id of the attempt, and the last event that the caller has.
pub type RunPlan = dyn Fn(&Server, &str, u64) -> Vec<RunStep> + Send + Sync;

struct State {
    layers: Option<(u32, u32)>,
    sequence: u64,
    fence: f64,
    draining: bool,
    connections: Vec<TcpStream>,
}

/// One incarnation of a server.
pub struct Server {
    pub id: String,
    pub spec: ServerSpec,
    store: Arc<Store>,
    alive: AtomicBool,
    state: Mutex<State>,
    runs: AtomicU64,
    plan: Arc<RunPlan>,
    /// One in this many answers is followed by bytes that belong to no request; 0 for none.
    pub extra_every: AtomicU64,
    answers: AtomicU64,
    /// How often such bytes were sent.
    pub extras: AtomicU64,
    /// When requests have arrived that it runs, and their attempts.
    pub arrivals: Mutex<Vec<(Instant, String)>>,
    /// Set when it was ordered to hold more than its memory holds.
    pub overfull: AtomicBool,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Server {
    /// Starts a server with a new id; it registers itself at once.
    pub fn start(store: &Arc<Store>, spec: ServerSpec, plan: Arc<RunPlan>) -> Arc<Self> {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{number:04x}{:04x}", number.wrapping_mul(40_503) & 0xffff);
        let listener = TcpListener::bind(spec.address).expect("the server's address is free");
        listener
            .set_nonblocking(true)
            .expect("a listener can be non-blocking");
        let server = Arc::new(Self {
            id,
            store: Arc::clone(store),
            alive: AtomicBool::new(true),
            state: Mutex::new(State {
                layers: spec.layers,
                sequence: 0,
                fence: 0.0,
                draining: false,
                connections: Vec::new(),
            }),
            spec,
            runs: AtomicU64::new(0),
            plan,
            extra_every: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            arrivals: Mutex::default(),
            overfull: AtomicBool::new(false),
        });
        note(&format!(
            "server {} of {} starts at {}, {} in {}",
            server.id,
            server.spec.service,
            server.spec.address,
            server.spec.card.as_ref().map_or("plain", |card| card.kind),
            server.spec.zone
        ));
        server.register();
        let accepting = Arc::clone(&server);
        thread::spawn(move || accepting.accept_all(&listener));
        let beating = Arc::clone(&server);
        thread::spawn(move || beating.beat());
        server
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread of a server panics")
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    pub fn layers(&self) -> Option<(u32, u32)> {
        self.lock().layers
    }

    /// Ends without a word, as a process that is killed. Its entry stays until three heartbeats have
    /// been missed.
    pub fn crash(&self) {
        if !self.alive.swap(false, Ordering::SeqCst) {
            return;
        }
        note(&format!("server {} crashes", self.id));
        let connections = std::mem::take(&mut self.lock().connections);
        for connection in connections {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        let (store, key) = (Arc::clone(&self.store), self.key());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove(&key);
            note(&format!(
                "store: {key} is removed after three heartbeats of silence"
            ));
        });
    }

    /// Leaves without reporting `draining`: its entry is removed, and it serves on for `serve`.
    pub fn leave(self: &Arc<Self>, serve: Duration) {
        self.lock().draining = true;
        self.store.remove(&self.key());
        note(&format!(
            "store: {} is removed, the server leaves",
            self.key()
        ));
        let server = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(serve);
            note(&format!("server {} exits", server.id));
            server.alive.store(false, Ordering::SeqCst);
            let connections = std::mem::take(&mut server.lock().connections);
            for connection in connections {
                let _ = connection.shutdown(std::net::Shutdown::Both);
            }
        });
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn register(&self) {
        let state = self.lock();
        if state.draining {
            return;
        }
        let mut fields = vec![
            ("Service".to_owned(), Json::Text(self.spec.service.clone())),
            (
                "Address".to_owned(),
                Json::Text(self.spec.address.to_string()),
            ),
            ("Zone".to_owned(), Json::Text(self.spec.zone.clone())),
            ("Version".to_owned(), Json::Text("v1".to_owned())),
            ("Slots".to_owned(), Json::Number(f64::from(self.spec.slots))),
            ("State".to_owned(), Json::Text("ready".to_owned())),
            ("ColdRemainingMs".to_owned(), Json::Number(0.0)),
            ("Sequence".to_owned(), Json::Number(state.sequence as f64)),
        ];
        if let Some(card) = &self.spec.card {
            fields.push(("Stage".to_owned(), Json::Text("hybrid".to_owned())));
            fields.push(("RouteType".to_owned(), Json::Text(card.kind.to_owned())));
            if let Some((from, to)) = state.layers {
                let layers = vec![
                    ("From".to_owned(), Json::Number(f64::from(from))),
                    ("To".to_owned(), Json::Number(f64::from(to))),
                    ("Version".to_owned(), Json::Number(1.0)),
                ];
                fields.push(("Layers".to_owned(), Json::Table(layers)));
            }
        }
        // Under the lock, so that entries are written in the order of the states.
        self.store
            .put(&self.key(), &Json::Table(fields).to_string());
    }

    fn beat(&self) {
        loop {
            thread::sleep(HEARTBEAT);
            if !self.is_alive() {
                return;
            }
            self.lock().sequence += 1;
            self.register();
        }
    }

    fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        while self.is_alive() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(clone) = stream.try_clone() {
                        self.lock().connections.push(clone);
                    }
                    let server = Arc::clone(self);
                    thread::spawn(move || {
                        let _ = server.serve(stream);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut owes_extra = false;
        while let Some(request) = read_request(&mut reader)? {
            if !self.is_alive() {
                return Ok(());
            }
            if std::mem::take(&mut owes_extra) {
                // They arrive late, at the point where the next answer is expected.
                note(&format!(
                    "server {} sends bytes that belong to no request",
                    self.id
                ));
                self.extras.fetch_add(1, Ordering::SeqCst);
                stream.write_all(EXTRA_BYTES)?;
            }
            match (request.method(), request.path()) {
                ("POST", "/order") => {
                    let status = self.order(&request);
                    if self.is_alive() {
                        write_response(&mut stream, status, &[], b"")?;
                    }
                }
                ("GET", "/report") => self.report(&mut stream)?,
                ("GET", "/healthz") => {
                    write_response(&mut stream, 200, &[("X-Instance-Id", self.id.clone())], b"")?;
                }
                _ if self.spec.card.is_some() => self.stream_events(&mut stream, &request)?,
                _ => {
                    self.run_plain(&mut stream, &request)?;
                    let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
                    let every = self.extra_every.load(Ordering::SeqCst);
                    owes_extra = every > 0 && answers.is_multiple_of(every);
                }
            }
        }
        Ok(())
    }

    /// True if the request names another server.
    fn is_misdirected(&self, request: &Message) -> bool {
        request
            .field("X-Expect-Instance")
            .is_some_and(|id| id != self.id)
    }

    fn order(&self, request: &Message) -> u16 {
        let expected = request
            .field("X-Expect-Instance")
            .unwrap_or("none")
            .to_owned();
        let text = String::from_utf8_lossy(&request.body).into_owned();
        note(&format!(
            "server {} gets the order {text}, X-Expect-Instance {expected}",
            self.id
        ));
        if self.is_misdirected(request) {
            return 421;
        }
        let Some(card) = &self.spec.card else {
            return 400;
        };
        let body = Json::parse(&text).unwrap_or(Json::Null);
        let number = |name: &str| body.get(name).and_then(Json::number);
        if body.get("Op").and_then(Json::text) != Some("place") {
            return 400;
        }
        let (Some(from), Some(to)) = (number("From"), number("To")) else {
            return 400;
        };
        let mut state = self.lock();
        if let Some(fence) = number("FencingToken") {
            if fence < state.fence {
                return 412;
            }
            state.fence = fence;
        }
        if state.layers == Some((from as u32, to as u32)) {
            return 200;
        }
        if (to - from) * card.layer_mb > card.size_mb {
            drop(state);
            note(&format!(
                "server {} was ordered to hold {} MB and has {} MB",
                self.id,
                (to - from) * card.layer_mb,
                card.size_mb
            ));
            self.overfull.store(true, Ordering::SeqCst);
            self.crash();
            return 202;
        }
        state.sequence += 1;
        state.layers = None;
        drop(state);
        self.register();
        // Loads, and then reports what it holds.
        let held = (from as u32, to as u32);
        thread::sleep(LOAD_TIME);
        self.lock().layers = Some(held);
        self.register();
        note(&format!(
            "server {} holds layers {}..{}",
            self.id, held.0, held.1
        ));
        202
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let body = format!(
            "{{\"Stage\":\"hybrid\",\"Models\":[],\"Busy\":false,\"Sequence\":{},\"Waiting\":0,\"Running\":1,\"KvUsed\":0,\"KvTotal\":100000,\"Handles\":0,\"Stalled\":[]}}",
            self.lock().sequence
        );
        write_response(
            stream,
            200,
            &[("Content-Type", "application/json".to_owned())],
            body.as_bytes(),
        )
    }

    fn refuse(&self, stream: &mut TcpStream, status: u16) -> io::Result<()> {
        let fields = [
            ("X-Instance-Id", self.id.clone()),
            ("X-Not-Executed", "1".to_owned()),
        ];
        write_response(stream, status, &fields, b"")
    }

    /// True if the first part of the path, or the whole model, is what this server holds.
    fn holds_part(&self, request: &Message) -> bool {
        let Some(hops) = request.field("X-Hops") else {
            return true;
        };
        let own = self.spec.address.to_string();
        let mut parts = hops.split(',').filter_map(|part| part.split_once('='));
        let held = self.layers();
        parts.next().is_some_and(|(address, layers)| {
            let range = layers.split_once('-');
            let range = range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
            address == own && range.is_some() && range == held
        })
    }

    fn stream_events(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let attempt = request.field("X-Attempt-Id").unwrap_or("none").to_owned();
        if self.is_misdirected(request) || !self.holds_part(request) {
            note(&format!("server {} answers 421 to {attempt}", self.id));
            return self.refuse(stream, 421);
        }
        let last = request
            .field("Last-Event-Id")
            .and_then(|text| text.parse().ok());
        let run = format!("{}/{}", self.id, self.runs.fetch_add(1, Ordering::SeqCst));
        note(&format!(
            "server {} begins run {run} of {attempt}, Last-Event-Id {}",
            self.id,
            last.map_or("none".to_owned(), |last: u64| last.to_string())
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {run}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let mut next = last.unwrap_or(0) + 1;
        for step in (self.plan)(self, &attempt, last.unwrap_or(0)) {
            match step {
                RunStep::Pause(pause) => thread::sleep(pause),
                RunStep::BreakOff => {
                    let part = format!("id: {next}\ndata: run");
                    stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())?;
                    note(&format!(
                        "run {run} of {attempt} is broken off inside event {next}"
                    ));
                    return stream.shutdown(std::net::Shutdown::Both);
                }
                RunStep::Event => {
                    let event = format!("id: {next}\ndata: run {run} event {next}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    stream.write_all(chunk.as_bytes())?;
                    note(&format!("run {run} of {attempt} sends event {next}"));
                    next += 1;
                }
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn run_plain(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let attempt = request.field("X-Attempt-Id").unwrap_or("none").to_owned();
        if self.is_misdirected(request) {
            return self.refuse(stream, 421);
        }
        let run = format!("{}/{}", self.id, self.runs.fetch_add(1, Ordering::SeqCst));
        note(&format!("server {} begins run {run} of {attempt}", self.id));
        let started = Instant::now();
        self.arrivals
            .lock()
            .expect("no thread panics")
            .push((started, attempt.clone()));
        for step in (self.plan)(self, &attempt, 0) {
            match step {
                RunStep::Pause(pause) => {
                    // A server drops a request when its connection closes.
                    let end = Instant::now() + pause;
                    while Instant::now() < end {
                        thread::sleep(
                            Duration::from_millis(5)
                                .min(end.saturating_duration_since(Instant::now())),
                        );
                        if is_closed(stream) {
                            let lasted = started.elapsed().as_millis();
                            note(&format!(
                                "run {run} of {attempt} is dropped after {lasted} ms: its connection is closed"
                            ));
                            return Err(io::ErrorKind::ConnectionReset.into());
                        }
                    }
                }
                RunStep::BreakOff => return stream.shutdown(std::net::Shutdown::Both),
                RunStep::Event => {}
            }
        }
        note(&format!("run {run} of {attempt} ends"));
        let fields = [("X-Attempt-Id", attempt), ("X-Server-Stamp", run)];
        let body: &[u8] = b"whole body of the server";
        if request.method() == "HEAD" {
            return write_head(stream, 200, &fields, body.len());
        }
        write_response(stream, 200, &fields, body)
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(cause) => cause.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}
