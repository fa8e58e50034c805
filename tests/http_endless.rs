//! Responses over the own interface that have no end: memory and time stay bounded.

use arbutusmount::{ConnectionPool, HttpCall, SseReader};
use async_std::future::timeout;
use async_std::task;
use http_types::Method;
use rig::{EndlessPart, send_endless, serve_once};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;
use test_case::test_case;

/// Most bytes of a response without end that a client takes, with what the sockets' buffers hold.
const MAX_TAKEN_BYTES: usize = 32 << 20;
/// Time after which a call is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a call ends: its timeout, and a second for reading and parsing.
const MAX_CALL_TIME: Duration = Duration::from_secs(3);

/// Starts a server that answers one request with bytes without end. The receiver gets the number of bytes
/// that were taken.
fn serve_endless(part: EndlessPart) -> (SocketAddr, Receiver<usize>) {
    let (sender, taken) = channel();
    let address = serve_once(move |stream| {
        // The test may have failed and ended.
        let _ = sender.send(send_endless(stream, part, ""));
    });
    (address, taken)
}

/// Reads events until the body ends or fails.
async fn read_events(address: SocketAddr) {
    let pool = ConnectionPool::new(CALL_TIMEOUT, 1);
    let call = HttpCall::new(address, Method::Get, "/").timeout(CALL_TIMEOUT);
    let Ok(response) = pool.send(&call).await else {
        return;
    };
    let mut reader = SseReader::new(response);
    while let Ok(Some(_event)) = reader.next().await {}
}

/// Reads a whole response.
async fn fetch(address: SocketAddr) {
    let pool = ConnectionPool::new(CALL_TIMEOUT, 1);
    let call = HttpCall::new(address, Method::Get, "/").timeout(CALL_TIMEOUT);
    let result: Result<(u16, serde_json::Value), _> = pool.fetch(&call).await;
    result.expect_err("a response without end is no answer");
}

/// A response without end ends the call. A line without end was read into memory until the timeout, and
/// the timeout did not come as long as there were bytes to read.
#[test_case(EndlessPart::StatusLine)]
#[test_case(EndlessPart::HeadField)]
#[test_case(EndlessPart::HeadFields)]
#[test_case(EndlessPart::InterimResponses)]
#[test_case(EndlessPart::Body)]
#[test_case(EndlessPart::Chunks)]
#[test_case(EndlessPart::ChunkLine)]
#[test_case(EndlessPart::Trailers)]
#[test_case(EndlessPart::Event)]
#[test_case(EndlessPart::Comments)]
fn endless_response_is_given_up(part: EndlessPart) {
    let (address, taken) = serve_endless(part);
    let (event_address, event_taken) = serve_endless(part);

    let ended = task::block_on(async {
        let fetched = timeout(MAX_CALL_TIME, task::spawn(fetch(address))).await;
        let read = timeout(MAX_CALL_TIME, task::spawn(read_events(event_address))).await;
        (fetched.is_ok(), read.is_ok())
    });

    assert_eq!(ended, (true, true), "a call did not end");
    for taken in [taken, event_taken] {
        let taken = taken
            .recv_timeout(MAX_CALL_TIME)
            .expect("the connection is closed");
        assert!(taken <= MAX_TAKEN_BYTES, "{taken} bytes taken");
    }
}
