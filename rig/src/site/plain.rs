//! Stand-in for a plain server of the platform, with faults.

use crate::site::crash::{CrashManner, CrashPlace, CrashRegistry, StartServer};
use crate::site::endless::{EndlessPart, send_endless};
use crate::site::fleet::plain_server_entry;
use crate::site::http::{AfterReply, Handler, ReceivedRequest, reply, serve_scripted, unix_ms};
use crate::site::limit::{LIMIT_FIELD, LimitLedger};
use crate::site::notice::{LEAVING_FIELD, NoticeLedger, REST_FIELD};
use crate::site::script::{ReplyScript, ScriptedReply};
use crate::site::store::SiteStore;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Fault of a plain server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlainFault {
    /// No fault.
    #[default]
    None,
    /// Runs the request and resets the connection.
    ResetAfterRun,
    /// Sends a part of the announced body and closes the connection.
    ShortBody,
    /// Sends a complete response without a length and closes the connection.
    NoLength,
    /// Sends a part of a response without a length and resets the connection.
    NoLengthReset,
    /// Sends a second response after the first one.
    ExtraResponse,
    /// Replies with the attempt identifier of another request.
    WrongAttemptId,
    /// Sends bytes that are no HTTP response.
    Garbage,
    /// Refuses the request as not executed, after the work time: status 503 with `X-Not-Executed`.
    Full,
    /// Runs the request and replies with status 500.
    Fails,
    /// Runs the request and replies with bytes without end.
    Endless(EndlessPart),
    /// Runs the request and does not reply.
    Silent,
}

/// A request that a plain server has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainRun {
    /// Value of `X-Attempt-Id`.
    pub attempt_id: String,
    /// Request target as received.
    pub target: String,
    /// Body as received.
    pub body: Vec<u8>,
    /// All header fields as received.
    pub fields: Vec<(String, String)>,
}

/// A stand-in plain server; cheap to clone.
#[derive(Debug, Clone)]
pub struct PlainServer {
    id: Arc<str>,
    address: SocketAddr,
    /// Time of its start, in milliseconds since 1970.
    born_ms: u64,
    state: Arc<PlainState>,
}

/// State that the runs of a server share.
#[derive(Debug, Default)]
struct PlainState {
    fault: Mutex<PlainFault>,
    work_time: Mutex<Duration>,
    runs: Mutex<Vec<PlainRun>>,
    limits: LimitLedger,
    notices: NoticeLedger,
    script: Arc<ReplyScript>,
    /// True to name the request in the body of each complete response.
    names_requests: AtomicBool,
    /// Bytes that peers have taken of responses without end, before they closed the connection.
    endless_bytes: Mutex<Vec<usize>>,
}

/// Body of a complete response.
pub const PLAIN_BODY: &[u8] = b"a booking";
/// Time for which a server with [`PlainFault::Silent`] keeps the connection open.
const SILENT_PERIOD: Duration = Duration::from_secs(5);

impl PlainServer {
    /// Starts a server with this identifier and registers it in the store.
    pub fn start(store: &SiteStore, crashes: &CrashRegistry, id: &str) -> Self {
        Self::start_run(store, crashes, id, &Arc::default())
    }

    fn start_run(
        store: &SiteStore,
        crashes: &CrashRegistry,
        id: &str,
        state: &Arc<PlainState>,
    ) -> Self {
        let id: Arc<str> = Arc::from(id);
        let (handler_id, handler_state) = (Arc::clone(&id), Arc::clone(state));
        let handler_crashes = crashes.clone();
        let handler: Handler = Arc::new(move |request, stream| {
            match handle_request(
                &handler_id,
                &handler_state,
                &handler_crashes,
                request,
                stream,
            ) {
                HandlerEnd::Replied(after) => after,
                HandlerEnd::Crash(path) => crash(&handler_crashes, &path, request, stream),
            }
        });
        let switch = serve_scripted(handler, Arc::clone(&state.script));
        let server = Self {
            id,
            address: switch.address(),
            born_ms: unix_ms(),
            state: Arc::clone(state),
        };
        let (next_store, next_crashes) = (store.clone(), crashes.clone());
        let next_state = Arc::clone(state);
        let start_again: StartServer = Arc::new(move |id: &str| {
            Self::start_run(&next_store, &next_crashes, id, &next_state);
        });
        crashes.add(&server.id, switch, start_again);
        store.put(
            &format!("servers/{}", server.id),
            &plain_server_entry(&server, "ready"),
        );
        server
    }

    /// Identifier of the server.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Address on which it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Time of its start, in milliseconds since 1970.
    pub fn born_ms(&self) -> u64 {
        self.born_ms
    }

    /// Sets the fault, also of later runs; [`PlainFault::None`] ends it.
    pub fn set_fault(&self, fault: PlainFault) {
        *self.state.fault.lock().expect("fault is never poisoned") = fault;
    }

    /// Sets the reply to all requests, also of later runs; `None` ends it.
    pub fn set_reply(&self, reply: Option<ScriptedReply>) {
        self.state.script.set(reply);
    }

    /// Number of scripted replies, also of later runs.
    pub fn scripted_replies(&self) -> usize {
        self.state.script.sent()
    }

    /// Sets the time that a request takes, also in later runs.
    pub fn set_work_time(&self, time: Duration) {
        *self.state.work_time.lock().expect("time is never poisoned") = time;
    }

    /// From now on, the body of a complete response names the request, so that no two are alike.
    pub fn name_requests(&self) {
        self.state.names_requests.store(true, Ordering::Relaxed);
    }

    /// Limit that it names in its responses, and the requests that reach it, also in later runs.
    pub fn limits(&self) -> &LimitLedger {
        &self.state.limits
    }

    /// What it says beside its answers, and the requests that reach it, also in later runs.
    pub fn notices(&self) -> &NoticeLedger {
        &self.state.notices
    }

    /// Bytes taken of each response without end that is over.
    pub fn endless_bytes(&self) -> Vec<usize> {
        let bytes = self.state.endless_bytes.lock();
        bytes.expect("ledger is never poisoned").clone()
    }

    /// Requests that it has run, also in later runs.
    pub fn runs(&self) -> Vec<PlainRun> {
        let runs = self.state.runs.lock();
        runs.expect("ledger is never poisoned").clone()
    }
}

impl PlainState {
    fn work_time(&self) -> Duration {
        *self.work_time.lock().expect("time is never poisoned")
    }
}

/// How the handler of a request ends.
enum HandlerEnd {
    Replied(AfterReply),
    /// The request crashes the server; contains its path.
    Crash(String),
}

fn handle_request(
    id: &str,
    state: &PlainState,
    crashes: &CrashRegistry,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
) -> HandlerEnd {
    state.limits.record_arrival();
    state.notices.record_arrival();
    let fault = *state.fault.lock().expect("fault is never poisoned");
    match begin_run(id, fault, state, request, stream) {
        Some(after) => return HandlerEnd::Replied(after),
        None => thread::sleep(state.work_time()),
    }
    let path = request.head.path();
    if CrashPlace::of(path) == CrashPlace::Nowhere {
        HandlerEnd::Replied(end_run(fault, state, request, stream))
    } else if crashes.spares_next() {
        HandlerEnd::Replied(end_run(PlainFault::Fails, state, request, stream))
    } else {
        HandlerEnd::Crash(path.to_owned())
    }
}

/// Crashes the server under a request with this path.
fn crash(
    crashes: &CrashRegistry,
    path: &str,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
) -> AfterReply {
    let manner = crashes.manner();
    if manner == CrashManner::PartialResponse {
        let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", stamp_lines(request));
        // The daemon may have closed the connection.
        let _ = stream.write_all(head.as_bytes());
    }
    if let Ok(address) = stream.local_addr() {
        crashes.crash(address, path);
    }
    match manner {
        CrashManner::Close | CrashManner::PartialResponse => AfterReply::Close,
        CrashManner::Reset => AfterReply::Reset,
        CrashManner::Dark => {
            thread::sleep(SILENT_PERIOD);
            AfterReply::Close
        }
    }
}

/// Refuses a request or records that the server runs it; `None` when it does.
fn begin_run(
    id: &str,
    fault: PlainFault,
    state: &PlainState,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
) -> Option<AfterReply> {
    let head = &request.head;
    let attempt_id = head.field("X-Attempt-Id").unwrap_or_default().to_owned();
    let expected = head.field("X-Expect-Instance").unwrap_or(id);
    if expected != id {
        let fields = [("X-Instance-Id", id), ("X-Attempt-Id", &attempt_id)];
        return Some(reply(stream, 421, &fields, b""));
    }
    let rest = state.notices.take_rest();
    if fault == PlainFault::Full {
        thread::sleep(state.work_time());
    }
    if fault == PlainFault::Full || rest.is_some() {
        let mut fields = vec![
            ("X-Not-Executed", "1"),
            ("X-Attempt-Id", attempt_id.as_str()),
        ];
        fields.extend(rest.iter().map(|rest| (REST_FIELD, &**rest)));
        fields.extend(leaving_field(&state.notices));
        return Some(reply(stream, 503, &fields, b""));
    }
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let fields = head
        .fields()
        .map(|(name, value)| (name.to_owned(), text(value)));
    state
        .runs
        .lock()
        .expect("ledger is never poisoned")
        .push(PlainRun {
            attempt_id,
            target: head.request_target().to_owned(),
            body: request.body.clone(),
            fields: fields.collect(),
        });
    None
}

/// The field of a server that leaves.
pub(super) fn leaving_field(notices: &NoticeLedger) -> Option<(&'static str, &'static str)> {
    notices.take_leaving().then_some((LEAVING_FIELD, "1"))
}

/// Header lines of a response that a server has signed.
fn stamp_lines(request: &ReceivedRequest) -> String {
    let attempt_id = request.head.field("X-Attempt-Id").unwrap_or_default();
    format!("X-Server-Stamp: stamp\r\nX-Attempt-Id: {attempt_id}\r\n")
}

/// Replies to a request that has run.
fn end_run(
    fault: PlainFault,
    state: &PlainState,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
) -> AfterReply {
    let attempt_id = request.head.field("X-Attempt-Id").unwrap_or_default();
    let limit = state.limits.limit();
    let mut stamp_fields = vec![("X-Server-Stamp", "stamp"), ("X-Attempt-Id", attempt_id)];
    stamp_fields.extend(leaving_field(&state.notices));
    stamp_fields.extend(limit.iter().map(|limit| (LIMIT_FIELD, &**limit)));
    let send = |stream: &mut TcpStream, text: String, after: AfterReply| match stream
        .write_all(text.as_bytes())
    {
        Ok(()) => after,
        Err(_) => AfterReply::Close,
    };
    let stamp_lines = stamp_lines(request);
    let body = if state.names_requests.load(Ordering::Relaxed) {
        [PLAIN_BODY, b" for ", attempt_id.as_bytes()].concat()
    } else {
        PLAIN_BODY.to_vec()
    };
    match fault {
        PlainFault::None | PlainFault::Full => reply(stream, 200, &stamp_fields, &body),
        PlainFault::ResetAfterRun => AfterReply::Reset,
        PlainFault::ShortBody => {
            let text = format!("HTTP/1.1 200 OK\r\n{stamp_lines}Content-Length: 9\r\n\r\na bo");
            send(stream, text, AfterReply::Close)
        }
        PlainFault::NoLength => send(
            stream,
            format!("HTTP/1.1 200 OK\r\n{stamp_lines}\r\na booking"),
            AfterReply::Close,
        ),
        PlainFault::NoLengthReset => {
            let after = send(
                stream,
                format!("HTTP/1.1 200 OK\r\n{stamp_lines}\r\na bo"),
                AfterReply::Reset,
            );
            // The bytes must reach the daemon before the reset discards them.
            thread::sleep(Duration::from_millis(50));
            after
        }
        PlainFault::ExtraResponse => {
            reply(stream, 200, &stamp_fields, PLAIN_BODY);
            reply(stream, 200, &[("X-Attempt-Id", "another")], b"not yours")
        }
        PlainFault::WrongAttemptId => {
            reply(stream, 200, &[("X-Attempt-Id", "another")], b"not yours")
        }
        PlainFault::Garbage => send(
            stream,
            "no answer at all\r\n\r\n".to_owned(),
            AfterReply::Close,
        ),
        PlainFault::Fails => reply(stream, 500, &stamp_fields, b"failed"),
        PlainFault::Endless(part) => {
            let sent = send_endless(stream, part, &stamp_lines);
            let ledger = state.endless_bytes.lock();
            ledger.expect("ledger is never poisoned").push(sent);
            AfterReply::Close
        }
        PlainFault::Silent => {
            thread::sleep(SILENT_PERIOD);
            AfterReply::Close
        }
    }
}
