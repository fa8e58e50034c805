//! Responses without a body on connections that are used again.

#[path = "support/site.rs"]
mod site;

use rig::{PLAIN_BODY, PlainFault, SiteFleet, SiteRequest, SiteSpec, read_site_response};
use site::allow_retries;
use std::io::{Read, Write};
use std::net::TcpStream;
use test_case::test_case;

fn site() -> SiteFleet {
    SiteFleet::start(SiteSpec::default())
}

/// Reads one head, up to the empty line.
fn read_head(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream
            .read_exact(&mut byte)
            .expect("the daemon sends a whole head");
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).expect("a head is text")
}

/// The body of a reply stood on the connection before the next response, which its caller could not read.
#[test_case("/get/x", "key-9", 401; "unknown key")]
#[test_case("/nothing/x", "key-1", 404; "no route")]
#[test_case("/post/x", "key-1", 503; "refused")]
#[test_case("/stream/x", "key-1", 200; "stream")]
fn reply_to_a_head_request_has_no_body(target: &str, key: &'static str, status: u16) {
    // Arrange
    let site = site();
    let is_refused = status == 503;
    if is_refused {
        allow_retries(&site, 0.0);
        let servers = site.plain_servers.iter();
        servers.for_each(|server| server.set_fault(PlainFault::Full));
    }
    let mut stream =
        TcpStream::connect(site.daemons[0].address).expect("the daemon accepts connections");
    let head_request = SiteRequest {
        key,
        ..SiteRequest::new("HEAD", target, "a1")
    };

    // Act
    stream
        .write_all(&head_request.encode())
        .expect("the daemon reads the request");
    let head = read_head(&mut stream);
    let servers = site.plain_servers.iter();
    servers.for_each(|server| server.set_fault(PlainFault::None));
    let next = SiteRequest::new("GET", "/get/x", "a2");
    stream
        .write_all(&next.encode())
        .expect("the daemon reads the next request");
    let answer = read_site_response(&mut stream);

    // Assert
    assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
    assert!(answer.head.starts_with("HTTP/1."), "{}", answer.head);
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (200, PLAIN_BODY),
        "{answer:?}"
    );
}
