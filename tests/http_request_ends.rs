//! Requests over the own interface that end early, at any byte: none is executed.

use arbutusmount::{ConnectionCount, ProblemResponse, read_body, serve_http};
use async_std::net::TcpListener as AsyncListener;
use async_std::task;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use test_case::test_case;

/// Longest wait for the answer of a server.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Size limit of request bodies.
const BODY_LIMIT: usize = 1_000;
/// Bytes after the line of the last chunk. Without them, no part of the body is missing.
const AFTER_LAST_CHUNK: &str = "\r\n";

/// Starts a server that records the bodies that it takes for complete.
fn recording_server() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let bodies: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut app = tide::with_state(Arc::clone(&bodies));
    app.at("/").post(record_body);
    let listener = task::block_on(AsyncListener::bind("127.0.0.1:0")).expect("a port is free");
    let address = listener.local_addr().expect("a listener has an address");
    task::spawn(serve_http(listener, app, ConnectionCount::default()));
    (address, bodies)
}

async fn record_body(mut request: tide::Request<Arc<Mutex<Vec<String>>>>) -> tide::Result {
    let body: Result<Vec<u8>, ProblemResponse> = read_body(&mut request, BODY_LIMIT).await;
    let Ok(body) = body else {
        return Ok(tide::Response::new(400));
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let mut bodies = request.state().lock().expect("bodies are never poisoned");
    bodies.push(text);
    Ok(tide::Response::new(200))
}

const SIZED_REQUEST: &str = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\na booking";
const CHUNKED_REQUEST: &str = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
                               2\r\na \r\n7\r\nbooking\r\n0\r\n\r\n";

/// A request whose body ended early was executed with the part that had arrived.
#[test_case(SIZED_REQUEST)]
#[test_case(CHUNKED_REQUEST)]
fn request_cut_at_any_byte_is_not_executed(text: &str) {
    let (address, bodies) = recording_server();
    for length in 0..text.len() - AFTER_LAST_CHUNK.len() {
        let mut stream = TcpStream::connect(address).expect("the server accepts");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a read timeout can be set");
        stream
            .write_all(&text.as_bytes()[..length])
            .expect("the server reads");
        stream
            .shutdown(Shutdown::Write)
            .expect("the connection is open");
        let mut answer = Vec::new();
        // The server may reset a connection with a request that it has not read.
        let _read = stream.read_to_end(&mut answer);

        let recorded = bodies.lock().expect("bodies are never poisoned").clone();
        assert_eq!(recorded, Vec::<String>::new(), "{length} bytes");
    }
}

#[test_case(SIZED_REQUEST)]
#[test_case(CHUNKED_REQUEST)]
fn whole_request_is_executed(text: &str) {
    let (address, bodies) = recording_server();
    let mut stream = TcpStream::connect(address).expect("the server accepts");
    stream.write_all(text.as_bytes()).expect("the server reads");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a read timeout can be set");
    let mut answer = [0; 512];

    let _read = stream.read(&mut answer).expect("the server answers");

    let recorded = bodies.lock().expect("bodies are never poisoned").clone();
    assert_eq!(recorded, vec!["a booking".to_owned()]);
}
