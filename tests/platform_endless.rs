//! Servers that send bytes without end: memory and time stay bounded, and others are served meanwhile.

#[path = "support/site.rs"]
mod site;

use rig::{
    EndlessPart, ModelKnobs, PLAIN_BODY, PlainFault, SiteFleet, SiteRequest, SiteResponse,
    SiteSpec, send_site_request,
};
use site::{stream_call, until};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Most bytes of a response without end that a daemon takes, with what the sockets' buffers hold.
const MAX_TAKEN_BYTES: usize = 16 << 20;
/// Time within which a request is answered: its timeout, and half a second.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(3_500);
/// Time within which an ordinary request beside it is served.
const MAX_OTHER_TIME: Duration = Duration::from_secs(1);
/// Time from one ordinary request to the next.
const OTHER_GAP: Duration = Duration::from_millis(50);

/// Sends the request, and ordinary plain ones beside it until it is answered. Returns its response and
/// the longest time that an ordinary one took.
fn send_beside_others(site: &SiteFleet, request: &SiteRequest) -> (SiteResponse, Duration) {
    let address = site.daemons[0].address;
    thread::scope(|scope| {
        let answered = scope.spawn(|| send_site_request(address, request));
        let mut longest = Duration::ZERO;
        while !answered.is_finished() {
            let started = Instant::now();
            let other = SiteRequest::new("GET", "/get/other", "other");
            let response = send_site_request(address, &other);
            assert_eq!(response.body.as_slice(), PLAIN_BODY);
            longest = longest.max(started.elapsed());
            thread::sleep(OTHER_GAP);
        }
        (answered.join().expect("the request ends"), longest)
    })
}

fn assert_bounded_time(answer: &SiteResponse, longest_other: Duration) {
    assert!(answer.elapsed <= MAX_ANSWER_TIME, "{:?}", answer.elapsed);
    assert!(longest_other <= MAX_OTHER_TIME, "{longest_other:?}");
}

fn assert_bounded_memory(taken: &[usize]) {
    let most = taken.iter().copied().max().unwrap_or(0);
    assert!(most <= MAX_TAKEN_BYTES, "{most} bytes taken");
}

/// A plain server's response without end fails the attempt, and another server serves the request if it
/// may run again. Interim responses and trailers without end were read until the timeout, and kept other
/// requests waiting meanwhile.
#[test]
fn endless_response_of_a_plain_server_is_given_up() {
    for part in EndlessPart::ALL {
        let site = SiteFleet::start(SiteSpec {
            plain_servers: 2,
            models_per_domain: 0,
            ..SiteSpec::default()
        });
        let faulty = &site.plain_servers[0];
        faulty.set_fault(PlainFault::Endless(part));

        let request = SiteRequest::new("GET", "/get/x", "a1");
        while faulty.runs().is_empty() {
            let (answer, longest_other) = send_beside_others(&site, &request);
            assert_eq!((answer.status, answer.body.as_slice()), (200, PLAIN_BODY));
            assert_bounded_time(&answer, longest_other);
        }

        until("the daemon to have closed the connections", || {
            faulty.endless_bytes().len() == faulty.runs().len()
        });
        assert_bounded_memory(&faulty.endless_bytes());
    }
}

/// A model server's response without end fails the attempt; another chain serves the stream. An event
/// without end filled the memory until the timeout.
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
fn endless_response_of_a_model_server_is_given_up(part: EndlessPart) {
    let site = SiteFleet::start(SiteSpec {
        plain_servers: 1,
        domains: 2,
        ..SiteSpec::default()
    });
    let faulty: Vec<_> = site.model_servers[..2].iter().collect();
    for server in &faulty {
        server.set_knobs(ModelKnobs {
            endless: Some(part),
            ..ModelKnobs::default()
        });
    }

    let (answer, longest_other) = send_beside_others(&site, &stream_call("a1"));

    until("the daemon to have closed the connections", || {
        let mut servers = faulty.iter();
        servers.all(|server| server.endless_bytes().len() == server.runs().len())
    });
    let taken: Vec<usize> = faulty.iter().flat_map(|s| s.endless_bytes()).collect();
    assert!(!taken.is_empty(), "no faulty server was tried");
    assert_bounded_time(&answer, longest_other);
    assert_bounded_memory(&taken);
    assert_eq!(answer.status, 200);
    assert!(answer.complete);
}
