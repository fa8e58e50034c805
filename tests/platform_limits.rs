//! Servers that name the requests a second that they take from all daemons together.

#[path = "support/site.rs"]
mod site;

use rig::{LimitLedger, SiteFleet, SiteRequest, SiteResponse, SiteSpec, send_site_request};
use site::stream_call;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Requests a second that the limited server takes.
const LIMIT: f64 = 5.4;
/// Time from the first response that names the limit until it holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the contact time for which requests are counted.
const COUNTED_TIME: Duration = Duration::from_secs(6);
/// Callers that send requests, one after the other.
const CALLERS: usize = 12;
/// Time from one request of a caller to the next.
const CALL_GAP: Duration = Duration::from_millis(150);

/// Most requests in a window: one and a half times what the limit allows, and five.
fn most_in_window(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

fn plain_site(daemons: usize) -> SiteFleet {
    SiteFleet::start(SiteSpec {
        daemons,
        plain_servers: 3,
        models_per_domain: 0,
        domains: 1,
    })
}

/// Three failure domains that each hold a chain of two servers.
fn model_site(daemons: usize) -> SiteFleet {
    SiteFleet::start(SiteSpec {
        daemons,
        plain_servers: 0,
        models_per_domain: 2,
        domains: 3,
    })
}

fn request(kind: &str, attempt: &str) -> SiteRequest {
    match kind {
        "stream" => stream_call(attempt),
        "get" => SiteRequest::new("GET", "/get/x", attempt),
        _ => SiteRequest::new("POST", "/post/x", attempt),
    }
}

/// Sends requests to all daemons in turn for `span` and returns the responses.
fn send_load(site: &SiteFleet, kind: &str, span: Duration) -> Vec<SiteResponse> {
    let end = Instant::now() + span;
    let responses = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let responses = &responses;
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() > end {
                        break;
                    }
                    let daemon = &site.daemons[(caller + number * CALLERS) % site.daemons.len()];
                    let attempt = format!("a-{caller}-{number}");
                    let response = send_site_request(daemon.address, &request(kind, &attempt));
                    let mut responses = responses.lock().expect("responses are never poisoned");
                    responses.push(response);
                    drop(responses);
                    thread::sleep(CALL_GAP);
                }
            });
        }
    });
    responses
        .into_inner()
        .expect("responses are never poisoned")
}

/// First server of the chain that has had most requests.
fn busiest_head(site: &SiteFleet) -> &LimitLedger {
    let servers = site.model_servers.iter();
    let head = servers.max_by_key(|server| server.runs().len());
    head.expect("a site with models").limits()
}

fn assert_within_limit(limits: &LimitLedger, named: Instant, limit: f64) {
    let from = named + CONTACT_TIME;
    let most = limits.busiest_window(from, WINDOW);
    let allowed = most_in_window(limit);
    assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed");
}

/// A plain server gets no more requests than the limit that it has named, from all daemons together, and
/// the others take over what it does not get. The limit was not read.
#[test_case(8, "get"; "8 daemons, repeatable")]
#[test_case(8, "post"; "8 daemons, at most once")]
#[test_case(83, "get"; "83 daemons")]
fn plain_server_gets_no_more_than_its_limit(daemons: usize, kind: &str) {
    let site = plain_site(daemons);
    let limits = site.plain_servers[0].limits();
    limits.set_limit(Some(&LIMIT.to_string()));

    let named = Instant::now();
    let responses = send_load(&site, kind, CONTACT_TIME + COUNTED_TIME);

    assert_within_limit(limits, named, LIMIT);
    let served = limits.arrivals_since(named + CONTACT_TIME) as f64;
    let least = LIMIT * COUNTED_TIME.as_secs_f64() / 2.0;
    assert!(served >= least, "only {served} requests reached it");
    let refused = responses.iter().filter(|r| r.status != 200).count();
    assert_eq!(refused, 0, "of {} requests", responses.len());
}

/// The first server of a chain gets no more streams than the limit that it has named; other chains take
/// them. The limit was not read.
#[test_case(8; "8 daemons")]
fn first_server_of_a_chain_gets_no_more_than_its_limit(daemons: usize) {
    let site = model_site(daemons);
    send_load(&site, "stream", Duration::from_secs(1));
    let limits = busiest_head(&site);
    limits.set_limit(Some(&LIMIT.to_string()));

    let named = Instant::now();
    let responses = send_load(&site, "stream", CONTACT_TIME + COUNTED_TIME);

    assert_within_limit(limits, named, LIMIT);
    let refused = responses.iter().filter(|r| r.status != 200).count();
    assert_eq!(refused, 0, "of {} streams", responses.len());
}
