//! Stand-in for a plain server of the platform, with faults.

use crate::site::http::{AfterReply, Handler, ReceivedRequest, reply, serve};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
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
    /// Refuses the request as not executed: status 503 with `X-Not-Executed`.
    Full,
    /// Runs the request and replies with status 500.
    Fails,
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
    fault: Arc<Mutex<PlainFault>>,
    runs: Arc<Mutex<Vec<PlainRun>>>,
}

/// Body of a complete response.
pub const PLAIN_BODY: &[u8] = b"a booking";
/// Time for which a server with [`PlainFault::Silent`] keeps the connection open.
const SILENT_PERIOD: Duration = Duration::from_secs(5);

impl PlainServer {
    /// Starts a server with this identifier.
    pub fn start(id: &str) -> Self {
        let id: Arc<str> = Arc::from(id);
        let fault: Arc<Mutex<PlainFault>> = Arc::default();
        let runs: Arc<Mutex<Vec<PlainRun>>> = Arc::default();
        let (handler_id, handler_fault, ledger) =
            (Arc::clone(&id), Arc::clone(&fault), Arc::clone(&runs));
        let handler: Handler = Arc::new(move |request, stream| {
            let fault = *handler_fault.lock().expect("fault is never poisoned");
            handle_request(&handler_id, fault, &ledger, request, stream)
        });
        Self {
            id,
            address: serve(handler),
            fault,
            runs,
        }
    }

    /// Identifier of the server.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Address on which it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault; [`PlainFault::None`] ends it.
    pub fn set_fault(&self, fault: PlainFault) {
        *self.fault.lock().expect("fault is never poisoned") = fault;
    }

    /// Requests that it has run.
    pub fn runs(&self) -> Vec<PlainRun> {
        self.runs.lock().expect("ledger is never poisoned").clone()
    }
}

fn handle_request(
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
    let stamp_fields = [
        ("X-Server-Stamp", "stamp"),
        ("X-Attempt-Id", attempt_id.as_str()),
    ];
    let send = |stream: &mut TcpStream, text: String, after: AfterReply| match stream
        .write_all(text.as_bytes())
    {
        Ok(()) => after,
        Err(_) => AfterReply::Close,
    };
    let stamp_lines = format!("X-Server-Stamp: stamp\r\nX-Attempt-Id: {attempt_id}\r\n");
    match fault {
        PlainFault::None | PlainFault::Full => reply(stream, 200, &stamp_fields, PLAIN_BODY),
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
        PlainFault::Silent => {
            thread::sleep(SILENT_PERIOD);
            AfterReply::Close
        }
    }
}
