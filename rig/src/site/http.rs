//! Blocking HTTP server of the stand-ins.

use crate::site::script::{ReplyMoment, ReplyScript};
use arbutusmount::{HeadLimits, HeadStep, WireHead, parse_request};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// Longest request head that a stand-in accepts.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 64 * 1024,
};

/// A request that a stand-in has received.
pub(super) struct ReceivedRequest {
    /// Request line and header fields.
    pub head: WireHead,
    /// Complete body.
    pub body: Vec<u8>,
}

/// What happens to a connection after a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AfterReply {
    /// It serves further requests.
    Keep,
    /// It is closed.
    Close,
    /// It is closed so that the peer sees a reset.
    Reset,
}

/// Handles one request and writes its response to the connection.
pub(super) type Handler = Arc<dyn Fn(&ReceivedRequest, &mut TcpStream) -> AfterReply + Send + Sync>;

/// Connections of a listening stand-in; `None` once it is closed.
type OpenStreams = Arc<Mutex<Option<Vec<TcpStream>>>>;

/// Closes a listening stand-in, as when its process ends; cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct ListenerSwitch {
    address: SocketAddr,
    streams: OpenStreams,
}

impl ListenerSwitch {
    /// Address on which it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections; further ones are refused.
    pub(super) fn close(&self) {
        let Some(streams) = self.lock().take() else {
            return;
        };
        for stream in streams {
            // The peer may have closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then drops the listener.
        while TcpStream::connect(self.address).is_ok() {
            thread::yield_now();
        }
    }

    /// Adds a connection; false when the listener is closed.
    fn add(&self, stream: &TcpStream) -> bool {
        let mut streams = self.lock();
        match (streams.as_mut(), stream.try_clone()) {
            (Some(open), Ok(clone)) => {
                open.push(clone);
                true
            }
            _ => false,
        }
    }

    /// Forgets a connection that is served no longer.
    fn forget(&self, peer: Option<SocketAddr>) {
        if let Some(open) = self.lock().as_mut() {
            open.retain(|stream| stream.peer_addr().ok() != peer);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Vec<TcpStream>>> {
        self.streams.lock().expect("streams are never poisoned")
    }
}

/// Time of day, in milliseconds since 1970.
pub(super) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}

/// Listens on a free loopback port, accepts one connection, reads what arrives first, and then lets `act`
/// write to it. The connection is closed afterwards.
///
/// # Panics
/// The thread that serves panics when the client does not connect or sends nothing.
pub fn serve_once(act: impl FnOnce(&mut TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("the client connects");
        let mut request = [0; 4_096];
        let _read = stream.read(&mut request).expect("the client sends");
        act(&mut stream);
    });
    address
}

/// Listens on a free loopback port and serves every request with `handler`, one thread per
/// connection.
pub(super) fn serve(handler: Handler) -> SocketAddr {
    serve_scripted(handler, Arc::default()).address()
}

/// Does the same as [`serve`], with scripted replies, and returns what closes the listener.
pub(super) fn serve_scripted(handler: Handler, script: Arc<ReplyScript>) -> ListenerSwitch {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let streams = Arc::new(Mutex::new(Some(Vec::new())));
    let switch = ListenerSwitch { address, streams };
    accept_streams(listener, &switch, handler, script);
    switch
}

fn accept_streams(
    listener: TcpListener,
    switch: &ListenerSwitch,
    handler: Handler,
    script: Arc<ReplyScript>,
) {
    let switch = switch.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if !switch.add(&stream) {
                return;
            }
            let (handler, switch) = (Arc::clone(&handler), switch.clone());
            let script = Arc::clone(&script);
            thread::spawn(move || {
                let peer = stream.peer_addr().ok();
                serve_connection(stream, &handler, &script);
                switch.forget(peer);
            });
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler, script: &ReplyScript) {
    // Otherwise, small writes wait for the acknowledgement of earlier ones, and a reset discards
    // them. The peer may have closed the connection already.
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    while let Some(after) = serve_request(&mut stream, &mut input, handler, script) {
        match after {
            AfterReply::Keep => {}
            AfterReply::Close => return,
            AfterReply::Reset => {
                let options = socket2::SockRef::from(&stream);
                let set = options.set_linger(Some(std::time::Duration::ZERO));
                set.expect("SO_LINGER can be set on an open socket");
                return;
            }
        }
    }
}

/// Reads one request and replies to it; `None` when the connection has ended.
fn serve_request(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    handler: &Handler,
    script: &ReplyScript,
) -> Option<AfterReply> {
    let head = read_head(stream, input)?;
    let early = script.send(ReplyMoment::AfterHead, &head, stream);
    if let Some(after @ (AfterReply::Close | AfterReply::Reset)) = early {
        return Some(after);
    }
    let body = read_body(stream, input, &head)?;
    let scripted = early.or_else(|| script.send(ReplyMoment::AfterRequest, &head, stream));
    Some(scripted.unwrap_or_else(|| handler(&ReceivedRequest { head, body }, stream)))
}

fn read_head(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<WireHead> {
    loop {
        if let HeadStep::Complete(head, length) = parse_request(input, HEAD_LIMITS).ok()? {
            input.drain(..length);
            return Some(head);
        }
        read_more(stream, input)?;
    }
}

fn read_body(stream: &mut TcpStream, input: &mut Vec<u8>, head: &WireHead) -> Option<Vec<u8>> {
    let size = head.content_length().unwrap_or(0) as usize;
    while input.len() < size {
        read_more(stream, input)?;
    }
    Some(input.drain(..size).collect())
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 16 * 1024];
    match stream.read(&mut buffer) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            input.extend_from_slice(&buffer[..count]);
            Some(())
        }
    }
}

/// Writes a complete response; closes the connection if that fails.
pub(super) fn reply(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> AfterReply {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        text.extend([name, ": ", value, "\r\n"]);
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    match stream.write_all(&bytes) {
        Ok(()) => AfterReply::Keep,
        Err(_) => AfterReply::Close,
    }
}
