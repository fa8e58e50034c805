//! A server that answers a request twice on a connection that is used again.

#[path = "support/site.rs"]
mod site;

use rig::{SiteFleet, SiteRequest, SiteSpec};
use site::{call, until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Reads the head of a request; `None` at the end of the connection.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    String::from_utf8(head).ok()
}

fn attempt_id(head: &str) -> &str {
    let lines = head.lines();
    let mut fields = lines.filter_map(|line| line.split_once(": "));
    let field = fields.find(|(name, _)| name.eq_ignore_ascii_case("x-attempt-id"));
    field.map_or("", |(_, value)| value)
}

/// Whole response with the attempt as its body.
fn response(attempt: &str) -> String {
    let length = attempt.len();
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: s\r\n\
         Content-Length: {length}\r\n\r\n{attempt}"
    )
}

/// A server that sends the response before once more ahead of each further one on a connection. Returns its
/// address and the number of such copies.
fn start_repeating_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let copies = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&copies);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let copies = Arc::clone(&counted);
            thread::spawn(move || answer_twice(stream, &copies));
        }
    });
    (address, copies)
}

fn answer_twice(mut stream: TcpStream, copies: &AtomicUsize) {
    let mut before: Option<String> = None;
    while let Some(head) = read_head(&mut stream) {
        let answer = response(attempt_id(&head));
        if let Some(late) = &before {
            copies.fetch_add(1, Ordering::Relaxed);
            if stream.write_all(late.as_bytes()).is_err() {
                return;
            }
        }
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        before = Some(answer);
    }
}

/// Guards against the answer to one caller that reaches the next one: its second copy arrives late, when
/// the connection is already used again.
#[test]
fn late_second_copy_does_not_reach_the_next_caller() {
    let site = SiteFleet::start(SiteSpec {
        models_per_domain: 0,
        plain_servers: 1,
        ..SiteSpec::default()
    });
    let (address, copies) = start_repeating_server();
    let mut entry = rig::plain_server_entry(&site.plain_servers[0], "ready");
    entry["Address"] = address.to_string().into();
    let key = format!("servers/{}", site.plain_servers[0].id());
    site.store.put(&key, &entry);
    until("the server's new address", || {
        let view = site.daemons[0].state.context.targets.load();
        view.targets().any(|target| target.address == address)
    });

    for number in 0..20 {
        let attempt = format!("attempt-{number}");
        let answer = call(&site, &SiteRequest::new("GET", "/get/x", &attempt));

        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(
            answer.status != 200 || body == attempt,
            "{attempt} got {body}"
        );
    }
    assert!(
        copies.load(Ordering::Relaxed) > 0,
        "no connection was used again"
    );
}
