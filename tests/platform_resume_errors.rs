//! Streams that have begun and break off, and whose rest the next server answers with an error.

#[path = "support/site.rs"]
mod site;

use rig::{CutScope, ModelKnobs, ModelServer, SiteFleet, StreamCut};
use site::{call, model_site, stream_call};
use test_case::test_case;

/// Event in which the first run of a stream breaks off.
const CUT_EVENT: u64 = 10;

/// Has all streams break off and their rest answered with `response`.
fn set_response(site: &SiteFleet, response: &'static str) {
    let cut = StreamCut {
        scope: CutScope::Started,
        ..StreamCut::reset_at(CUT_EVENT)
    };
    let knobs = ModelKnobs {
        cuts: vec![cut],
        resume_response: Some(response),
        ..ModelKnobs::default()
    };
    site.model_servers
        .iter()
        .for_each(|server| server.set_knobs(knobs.clone()));
}

fn is_resumed(server: &ModelServer) -> bool {
    server.runs().iter().any(|run| run.first_event > 0)
}

/// Callers found the text of the error, or its whole head, in the middle of their stream, or the stream ended
/// as if it were complete.
#[test_case("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nerror"; "status 503")]
#[test_case("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nerror"; "not executed")]
#[test_case("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nerror"; "status 500")]
#[test_case("HTTP/1.1 404 Not Found\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nerror"; "status 404")]
#[test_case("HTTP/1.1 204 No Content\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n\r\n"; "status 204")]
#[test_case("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Type: application/json\r\nContent-Length: 17\r\n\r\n{\"error\":\"error\"}"; "success with an error as its body")]
#[test_case("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nerror\n\n\r\n0\r\n\r\n"; "success with a text that looks like an event")]
#[test_case("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"; "success without an event")]
#[test_case("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: 7\r\n\r\n: error"; "success without an end of its only event")]
#[test_case("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"; "success without an event that ends with its connection")]
#[test_case("error error error\r\n\r\n"; "no response at all")]
fn error_of_the_next_server_does_not_reach_the_stream(response: &'static str) {
    let site = model_site();
    set_response(&site, response);

    let answer = call(&site, &stream_call("a1"));

    let text = String::from_utf8_lossy(&answer.body);
    assert_eq!((answer.status, answer.complete), (200, false), "{text}");
    assert_eq!(answer.event_ids(), (0..CUT_EVENT).collect::<Vec<u64>>());
    assert!(!text.contains("error") && !text.contains("HTTP"), "{text}");
    assert!(site.model_servers.iter().any(is_resumed));
}
