//! A blocking HTTP server for stand-ins.

use arbutusmount::{HeadLimits, HeadStep, WireHead, parse_request};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Longest head that a stand-in reads.
const HEAD: HeadLimits = HeadLimits {
    max_bytes: 64 * 1024,
};

/// A request as a stand-in sees it.
pub(super) struct ReceivedRequest {
    /// Head.
    pub head: WireHead,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Whether a connection is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AfterReply {
    Keep,
    Close,
    /// Close so that the peer sees a reset.
    Reset,
}

pub(super) type Handler = Arc<dyn Fn(&ReceivedRequest, &mut TcpStream) -> AfterReply + Send + Sync>;

/// Listens on a free loopback port and answers every request with `handler`.
pub(super) fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let mut input = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut input) {
        match handler(&request, &mut stream) {
            AfterReply::Keep => {}
            AfterReply::Close => return,
            AfterReply::Reset => {
                let options = socket2::SockRef::from(&stream);
                let set = options.set_linger(Some(std::time::Duration::ZERO));
                set.expect("lingering can be set on an open socket");
                return;
            }
        }
    }
}

fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        if let HeadStep::Complete(head, length) = parse_request(input, HEAD).ok()? {
            input.drain(..length);
            let size = head.content_length().unwrap_or(0) as usize;
            while input.len() < size {
                read_more(stream, input)?;
            }
            let body = input.drain(..size).collect();
            return Some(ReceivedRequest { head, body });
        }
        read_more(stream, input)?;
    }
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<()> {
    let mut space = [0; 16 * 1024];
    match stream.read(&mut space) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            input.extend_from_slice(&space[..count]);
            Some(())
        }
    }
}

/// Writes a whole answer; the connection is closed when the peer has gone.
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
