//! Reads from a connection on which more has arrived than one read takes.

use arbutusmount::{HeadLimits, HeadOutcome, WireStream, read_request_head};
use async_io::Async;
use async_std::task;
use futures_lite::future::or;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Bytes that one read takes at most.
const READ_BYTES: usize = 16 * 1024;
/// Size limit of a head in these tests.
const LIMITS: HeadLimits = HeadLimits {
    max_bytes: 64 * 1024,
};

/// A connection on which these bytes wait to be read, and its other end.
fn stream_with(bytes: &[u8]) -> (WireStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let mut peer = TcpStream::connect(address).expect("the listener accepts");
    let (socket, _) = listener.accept().expect("the peer connects");
    peer.write_all(bytes).expect("the socket takes the bytes");
    let mut buffer = vec![0; bytes.len()];
    while !bytes.is_empty() && socket.peek(&mut buffer).expect("the peer has sent") < bytes.len() {
        std::thread::yield_now();
    }
    let socket = Async::new(socket).expect("the socket is valid");
    (WireStream::new(socket), peer)
}

/// A read that fills its buffer is not lost when something else is ready at the same time. It let other
/// tasks run before it returned, and was dropped then.
#[test]
fn full_read_is_returned_at_once() {
    let (mut stream, _peer) = stream_with(&vec![b'x'; READ_BYTES + 1]);

    let read = or(async { Some(stream.fill().await) }, async { None });
    let read = task::block_on(read);

    assert_eq!(read, Some(Ok(READ_BYTES)));
}

/// A long request that waits in the socket when the idle limit passes is read. It was taken from the socket,
/// and the connection was closed as idle, without an answer.
#[test]
fn long_request_that_has_arrived_outlives_the_idle_limit() {
    let head = format!("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: {READ_BYTES}\r\n\r\n");
    let mut request = head.into_bytes();
    request.resize(request.len() + READ_BYTES, b'x');
    let (mut stream, _peer) = stream_with(&request);

    let idle_limit = Duration::ZERO;
    let read = read_request_head(&mut stream, LIMITS, idle_limit, Duration::from_secs(1));
    let outcome = task::block_on(read);

    assert!(matches!(outcome, HeadOutcome::Request(_)), "{outcome:?}");
}

/// An idle connection is still given up.
#[test]
fn connection_without_a_request_is_idle() {
    let (mut stream, peer) = stream_with(b"");

    let idle_limit = Duration::from_millis(20);
    let read = read_request_head(&mut stream, LIMITS, idle_limit, Duration::from_secs(1));
    let outcome = task::block_on(read);

    assert!(matches!(outcome, HeadOutcome::Idle), "{outcome:?}");
    let unread = peer
        .set_nonblocking(true)
        .and_then(|()| peer.peek(&mut [0]));
    assert!(unread.is_err_and(|cause| cause.kind() == ErrorKind::WouldBlock));
}
