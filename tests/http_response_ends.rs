//! Responses and events over the own interface that end early, at any byte: none counts as complete.

use arbutusmount::{ConnectionPool, HttpCall, SseReader};
use async_std::task;
use http_types::Method;
use rig::serve_once;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use test_case::test_case;

/// Time before a reset, so that the bytes sent before are received.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// How a scripted server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkEnd {
    Close,
    Reset,
}

/// Starts a server that answers one request with these bytes and ends the connection.
fn serve_bytes(bytes: &[u8], end: LinkEnd) -> SocketAddr {
    let bytes = bytes.to_vec();
    serve_once(move |stream| {
        stream.write_all(&bytes).expect("the client reads");
        if end == LinkEnd::Reset {
            thread::sleep(RESET_DELAY);
            let options = socket2::SockRef::from(&*stream);
            options
                .set_linger(Some(Duration::ZERO))
                .expect("SO_LINGER can be set");
        }
    })
}

/// Reads the events of a response; the flag tells whether it ended without an error.
fn read_events(address: SocketAddr) -> (Vec<String>, bool) {
    let pool = ConnectionPool::new(Duration::from_secs(2), 1);
    let call = HttpCall::new(address, Method::Get, "/");
    task::block_on(async {
        let Ok(response) = pool.send(&call).await else {
            return (Vec::new(), false);
        };
        let mut reader = SseReader::new(response);
        let mut events = Vec::new();
        loop {
            match reader.next().await {
                Ok(Some(event)) => events.push(event),
                Ok(None) => return (events, true),
                Err(_cause) => return (events, false),
            }
        }
    })
}

/// Reads a whole response; `None` when it is not complete.
fn fetch(address: SocketAddr) -> Option<Vec<u8>> {
    let pool = ConnectionPool::new(Duration::from_secs(2), 1);
    let call = HttpCall::new(address, Method::Get, "/");
    task::block_on(async { pool.send(&call).await.ok()?.bytes().await.ok() })
}

const SIZED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na booking";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na \r\n7\r\nbooking\r\n0\r\n\r\n";
/// Bytes after the line of the last chunk. Without them, no part of the body is missing.
const AFTER_LAST_CHUNK: &str = "\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na booking";

#[test_case(SIZED)]
#[test_case(CHUNKED)]
fn whole_response_is_read(text: &str) {
    let address = serve_bytes(text.as_bytes(), LinkEnd::Close);

    let body = fetch(address);

    assert_eq!(body.as_deref(), Some(b"a booking".as_slice()));
}

/// A response that ended early was taken for a whole one.
#[test_case(SIZED, LinkEnd::Close)]
#[test_case(SIZED, LinkEnd::Reset)]
#[test_case(CHUNKED, LinkEnd::Close)]
#[test_case(CHUNKED, LinkEnd::Reset)]
fn response_cut_at_any_byte_is_not_complete(text: &str, end: LinkEnd) {
    for length in 0..text.len() - AFTER_LAST_CHUNK.len() {
        let address = serve_bytes(&text.as_bytes()[..length], end);

        let body = fetch(address);

        assert_eq!(body, None, "{length} bytes");
    }
}

/// A response with neither a length nor chunks was taken for an empty one.
#[test_case(LinkEnd::Close)]
#[test_case(LinkEnd::Reset)]
fn response_without_framing_is_not_taken_for_an_empty_one(end: LinkEnd) {
    for length in 0..=UNFRAMED.len() {
        let address = serve_bytes(&UNFRAMED.as_bytes()[..length], end);

        let body = fetch(address);

        assert_eq!(body, None, "{length} bytes");
    }
}

/// A response that has no body by its status has no framing either.
#[test]
fn response_with_status_204_needs_no_framing() {
    let address = serve_bytes(b"HTTP/1.1 204 No Content\r\n\r\n", LinkEnd::Close);

    let body = fetch(address);

    assert_eq!(body, Some(Vec::new()));
}

const EVENTS: &str = "data: one\n\ndata: two\n\n";

/// A part of an event was taken for an event, or its end for the end of the events.
#[test_case(22, LinkEnd::Close; "closed inside the length")]
#[test_case(22, LinkEnd::Reset; "reset inside the length")]
#[test_case(0, LinkEnd::Close; "length inside an event")]
fn events_cut_at_any_byte_are_whole_or_not_read(declared: usize, end: LinkEnd) {
    let first = EVENTS.len() / 2;
    for length in 0..EVENTS.len() {
        let body_length = declared.max(length);
        let events = &EVENTS[..length];
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {body_length}\r\n\r\n{events}");
        let address = serve_bytes(text.as_bytes(), end);

        let (events, is_complete) = read_events(address);

        let whole = usize::from(length >= first);
        assert_eq!(events, vec!["one"; whole], "{length} bytes");
        let is_whole = body_length == length && (length == 0 || length == first);
        assert_eq!(is_complete, is_whole, "{length} bytes");
    }
}
