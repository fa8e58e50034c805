//! A plain server of the platform, with the faults of such servers.

use crate::site::http::{AfterReply, Handler, ReceivedRequest, reply, serve};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a plain server does wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlainFault {
    /// Nothing.
    #[default]
    None,
    /// It runs the request and resets the connection.
    ResetAfterRun,
    /// It sends half of the declared body and closes the connection.
    ShortBody,
    /// It sends an answer without a length and closes the connection.
    NoLength,
    /// It sends half of an answer without a length and resets the connection.
    NoLengthReset,
    /// It sends a second answer behind the first.
    ExtraResponse,
    /// It answers under another request's identity.
    WrongAttemptId,
    /// It sends bytes that are no answer.
    Garbage,
    /// It says that it is full and did not run the request.
    Full,
    /// It runs the request and fails.
    Fails,
    /// It runs the request and never answers.
    Silent,
}

/// A request that a plain server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainRun {
    /// Identity of the caller's try.
    pub attempt_id: String,
    /// Target as it arrived.
    pub target: String,
    /// Body as it arrived.
    pub body: Vec<u8>,
    /// All fields as they arrived.
    pub fields: Vec<(String, String)>,
}

/// A plain server.
#[derive(Debug, Clone)]
pub struct PlainServer {
    id: Arc<str>,
    address: SocketAddr,
    fault: Arc<Mutex<PlainFault>>,
    runs: Arc<Mutex<Vec<PlainRun>>>,
}

/// Body of a whole answer.
pub const PLAIN_BODY: &[u8] = b"a booking";
/// Time for which a silent server holds its connection.
const SILENCE: Duration = Duration::from_secs(5);

impl PlainServer {
    /// Starts a server with this identity.
    pub fn start(id: &str) -> Self {
        let id: Arc<str> = Arc::from(id);
        let fault: Arc<Mutex<PlainFault>> = Arc::default();
        let runs: Arc<Mutex<Vec<PlainRun>>> = Arc::default();
        let (own, faults, ledger) = (Arc::clone(&id), Arc::clone(&fault), Arc::clone(&runs));
        let handler: Handler = Arc::new(move |request, stream| {
            let fault = *faults.lock().expect("fault is never poisoned");
            answer(&own, fault, &ledger, request, stream)
        });
        Self {
            id,
            address: serve(handler),
            fault,
            runs,
        }
    }

    /// Identity.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches a fault on.
    pub fn set_fault(&self, fault: PlainFault) {
        *self.fault.lock().expect("fault is never poisoned") = fault;
    }

    /// Requests that it ran.
    pub fn runs(&self) -> Vec<PlainRun> {
        self.runs.lock().expect("ledger is never poisoned").clone()
    }
}

fn answer(
    id: &str,
    fault: PlainFault,
    ledger: &Mutex<Vec<PlainRun>>,
    request: &ReceivedRequest,
    stream: &mut TcpStream,
) -> AfterReply {
    let head = &request.head;
    let attempt_id = head.field("X-Attempt-Id").unwrap_or_default().to_owned();
    let expected = head.field("X-Expect-Instance").unwrap_or(id);
    if expected != id {
        return reply(
            stream,
            421,
            &[("X-Instance-Id", id), ("X-Attempt-Id", &attempt_id)],
            b"",
        );
    }
    if fault == PlainFault::Full {
        let fields = [
            ("X-Not-Executed", "1"),
            ("X-Attempt-Id", attempt_id.as_str()),
        ];
        return reply(stream, 503, &fields, b"");
    }
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let fields = head
        .fields()
        .map(|(name, value)| (name.to_owned(), text(value)));
    ledger
        .lock()
        .expect("ledger is never poisoned")
        .push(PlainRun {
            attempt_id: attempt_id.clone(),
            target: head.request_target().to_owned(),
            body: request.body.clone(),
            fields: fields.collect(),
        });
    let stamped = [
        ("X-Server-Stamp", "stamp"),
        ("X-Attempt-Id", attempt_id.as_str()),
    ];
    let send = |stream: &mut TcpStream, text: String, after: AfterReply| match stream
        .write_all(text.as_bytes())
    {
        Ok(()) => after,
        Err(_) => AfterReply::Close,
    };
    let marks = format!("X-Server-Stamp: stamp\r\nX-Attempt-Id: {attempt_id}\r\n");
    match fault {
        PlainFault::None | PlainFault::Full => reply(stream, 200, &stamped, PLAIN_BODY),
        PlainFault::ResetAfterRun => AfterReply::Reset,
        PlainFault::ShortBody => {
            let text = format!("HTTP/1.1 200 OK\r\n{marks}Content-Length: 9\r\n\r\na bo");
            send(stream, text, AfterReply::Close)
        }
        PlainFault::NoLength => send(
            stream,
            format!("HTTP/1.1 200 OK\r\n{marks}\r\na booking"),
            AfterReply::Close,
        ),
        PlainFault::NoLengthReset => {
            let after = send(
                stream,
                format!("HTTP/1.1 200 OK\r\n{marks}\r\na bo"),
                AfterReply::Reset,
            );
            // The bytes must reach the daemon before the reset discards them.
            thread::sleep(Duration::from_millis(50));
            after
        }
        PlainFault::ExtraResponse => {
            reply(stream, 200, &stamped, PLAIN_BODY);
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
        PlainFault::Fails => reply(stream, 500, &stamped, b"failed"),
        PlainFault::Silent => {
            thread::sleep(SILENCE);
            AfterReply::Close
        }
    }
}
