//! A server that sends an extra response on a connection that is used again, before that to the request.

#[path = "support/site.rs"]
mod site;

use rig::{SiteFleet, SiteRequest, SiteSpec};
use site::{call, until};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use test_case::test_case;

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

/// The extra response, given the attempt id of the request before.
type ExtraResponse = fn(&str) -> String;

fn anonymous_success(_before: &str) -> String {
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nnobody".to_owned()
}

/// An earlier refusal of the server, once more.
fn refusal(before: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {before}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

fn anonymous_refusal(_before: &str) -> String {
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
}

/// What a server with extra responses has done.
#[derive(Debug, Default)]
struct ExtraLedger {
    /// Number of extra responses.
    extras: AtomicUsize,
    /// Attempts that it has run.
    runs: Mutex<BTreeSet<String>>,
}

/// A server that sends an extra response ahead of each further one on a connection.
fn start_extra_server(extra: ExtraResponse) -> (SocketAddr, Arc<ExtraLedger>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let ledger = Arc::new(ExtraLedger::default());
    let kept = Arc::clone(&ledger);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ledger = Arc::clone(&kept);
            thread::spawn(move || answer_with_extras(stream, extra, &ledger));
        }
    });
    (address, ledger)
}

fn answer_with_extras(mut stream: TcpStream, extra: ExtraResponse, ledger: &ExtraLedger) {
    let mut before: Option<String> = None;
    while let Some(head) = read_head(&mut stream) {
        let attempt = attempt_id(&head).to_owned();
        let mut runs = ledger.runs.lock().expect("ledger is never poisoned");
        runs.insert(attempt.clone());
        drop(runs);
        if let Some(before) = &before {
            ledger.extras.fetch_add(1, Ordering::Relaxed);
            if stream.write_all(extra(before).as_bytes()).is_err() {
                return;
            }
        }
        if stream.write_all(response(&attempt).as_bytes()).is_err() {
            return;
        }
        before = Some(attempt);
    }
}

/// Guards against a response that reaches the next caller: an extra one arrives late, when the connection is
/// already used again. Without an attempt id it was taken for that to the request, and a refusal for the
/// promise that a request that was running had not run.
#[test_case(response; "late second copy")]
#[test_case(anonymous_success; "success without an id")]
#[test_case(refusal; "earlier refusal")]
#[test_case(anonymous_refusal; "refusal without an id")]
fn extra_response_does_not_reach_the_next_caller(extra: ExtraResponse) {
    let site = SiteFleet::start(SiteSpec {
        models_per_domain: 0,
        plain_servers: 1,
        ..SiteSpec::default()
    });
    let (address, ledger) = start_extra_server(extra);
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
        let runs = ledger.runs.lock().expect("ledger is never poisoned");
        assert!(
            answer.status != 503 || !runs.contains(&attempt),
            "{attempt} has run"
        );
    }
    assert!(
        ledger.extras.load(Ordering::Relaxed) > 0,
        "no connection was used again"
    );
}
