//! Broken responses over the own interface: none counts as a response, and none ends the process.

use arbutusmount::{ConnectionPool, HttpCall};
use async_std::task;
use http_types::Method;
use rig::serve_once;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

/// Longest wait for a response.
const LIMIT: Duration = Duration::from_secs(2);
/// Size of an upload that does not fit into the buffers of the sockets.
const LONG_UPLOAD_BYTES: usize = 3 << 20;
/// Exchanges of a case that a race decides.
const EXCHANGES: usize = 20;
/// A length and a body of this length.
const SIZED_BODY: &str = "Content-Length: 9\r\n\r\na booking";

/// Starts a server that answers one request with these bytes and closes the connection.
fn serve_text(text: &str) -> SocketAddr {
    let text = text.to_owned();
    serve_once(move |stream| {
        // The client may have refused the beginning and closed the connection.
        let _ = stream.write_all(text.as_bytes());
    })
}

/// Status and body of the response to a call; `None` when there is no whole one.
fn send(call: &HttpCall) -> Option<(u16, Vec<u8>)> {
    let pool = ConnectionPool::new(LIMIT, 1);
    task::block_on(async {
        let response = pool.send(call).await.ok()?;
        let status = response.status();
        Some((status, response.bytes().await.ok()?))
    })
}

fn fetch(text: &str) -> Option<(u16, Vec<u8>)> {
    send(&HttpCall::new(serve_text(text), Method::Get, "/").timeout(LIMIT))
}

#[test_case("HTTP/1.1 000 Status"; "zero")]
#[test_case("HTTP/1.1 000"; "zero without a reason")]
#[test_case("HTTP/1.1 099 Status"; "below the lowest")]
#[test_case("HTTP/1.1 600 Status"; "above the highest")]
#[test_case("HTTP/1.1 20 Status"; "two digits")]
#[test_case("HTTP/1.1 2000 Status"; "four digits")]
#[test_case("HTTP/1.1 OK"; "no status")]
fn response_with_an_invalid_status_is_refused(status_line: &str) {
    let sound = format!("HTTP/1.1 200 OK\r\n{SIZED_BODY}");
    for rest in [SIZED_BODY, &format!("\r\n{sound}")] {
        assert_eq!(fetch(&format!("{status_line}\r\n{rest}")), None, "{rest}");
    }
}

#[test_case("X Color: green"; "blank inside")]
#[test_case("X-Color : green"; "blank before the colon")]
#[test_case(" X-Color: green"; "blank first")]
#[test_case("X\tColor: green"; "tab inside")]
#[test_case("X\u{1}Color: green"; "control byte inside")]
#[test_case("X-Color\u{7f}: green"; "delete at the end")]
#[test_case("X\0Color: green"; "zero byte inside")]
#[test_case("X\u{e9}Color: green"; "letter that is not ASCII")]
#[test_case(": green"; "empty")]
#[test_case("X-Color green"; "no colon")]
fn response_with_an_invalid_field_is_refused(field: &str) {
    for rest in [
        format!("{field}\r\n{SIZED_BODY}"),
        format!("Content-Length: 9\r\n{field}\r\n\r\na booking"),
    ] {
        assert_eq!(fetch(&format!("HTTP/1.1 200 OK\r\n{rest}")), None, "{rest}");
    }
}

/// The HTTP library panics at text that is not ASCII in a field, which ended the task that served the caller.
#[test_case("X-Color: gr\u{fc}n\r\n"; "in a field")]
#[test_case("X-Color: green\u{1}\r\n"; "control byte in a field")]
fn response_with_an_invalid_value_is_refused(field: &str) {
    let text = format!("HTTP/1.1 200 OK\r\n{field}{SIZED_BODY}");

    assert_eq!(fetch(&text), None);
}

#[test_case("X Sum: 1"; "blank in a name")]
#[test_case("X\u{1}Sum: 1"; "control byte in a name")]
#[test_case("X-Sum: \u{fc}"; "value that is not ASCII")]
#[test_case("X-Sum"; "no colon")]
fn response_with_an_invalid_trailer_is_refused(trailer: &str) {
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\na booking\r\n0\r\n{trailer}\r\n\r\n"
    );

    assert_eq!(fetch(&text), None);
}

/// A response with an unknown coding was taken for an empty one, and of several lengths the last one counted.
#[test_case("Transfer-Encoding: gzip\r\n")]
#[test_case("Transfer-Encoding: identity\r\n")]
#[test_case("Transfer-Encoding: chunked, gzip\r\n")]
#[test_case("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n")]
#[test_case("Content-Length: 4\r\nContent-Length: 9\r\n")]
#[test_case("Content-Length: 9\r\nContent-Length: 4\r\n")]
#[test_case("Content-Length: 9\r\nTransfer-Encoding: chunked\r\n")]
fn response_with_unclear_framing_is_refused(fields: &str) {
    for body in ["a booking", "4\r\na bo\r\n0\r\n\r\n"] {
        let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{body}");
        assert_eq!(fetch(&text), None, "{body}");
    }
}

/// The name of a coding has no case. The HTTP library knows it in lower case only and took the body for an empty
/// one.
#[test]
fn chunks_are_not_lost_whatever_the_case_of_their_name() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n9\r\na booking\r\n0\r\n\r\n";

    let response = fetch(text);

    assert!(response.is_none_or(|(_, body)| body == b"a booking"));
}

/// A response that ends with its connection is refused, also when the connection is reset in the upload.
#[test]
fn unframed_response_to_half_an_upload_is_refused() {
    for _ in 0..EXCHANGES {
        let address = serve_text("HTTP/1.1 200 OK\r\n\r\na bo");
        let mut call = HttpCall::new(address, Method::Post, "/").timeout(LIMIT);
        call.body = vec![b'x'; LONG_UPLOAD_BYTES];

        assert_eq!(send(&call), None);
    }
}
