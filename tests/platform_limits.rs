//! Servers that name the requests a second that they take from all daemons together.

#[path = "support/site.rs"]
mod site;

use async_std::task;
use rig::{
    LimitLedger, PlainServer, SiteDaemon, SiteFleet, SiteRequest, SiteResponse, SiteSpec,
    send_site_request,
};
use serde_json::json;
use site::{stream_call, until};
use std::net::SocketAddr;
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
/// Time for which requests are sent so that one gets a permit, also if the target gets another keeper
/// while the list of daemons is still being read.
const HANDOVER_LOAD: Duration = Duration::from_secs(5);
/// Listed daemons that do not reply. Most likely one of them is the keeper of a target.
const SILENT_DAEMONS: usize = 6;
/// Longest time until a request is refused that no server takes.
const REFUSAL_TIME: Duration = Duration::from_millis(600);
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
        is_linked: false,
        ..SiteSpec::default()
    })
}

/// Three failure domains that each hold a chain of two servers.
fn model_site(daemons: usize) -> SiteFleet {
    SiteFleet::start(SiteSpec {
        daemons,
        plain_servers: 0,
        models_per_domain: 2,
        domains: 3,
        is_linked: false,
        ..SiteSpec::default()
    })
}

fn request(kind: &str, attempt: &str) -> SiteRequest {
    match kind {
        "stream" => stream_call(attempt),
        "get" => SiteRequest::new("GET", "/get/x", attempt),
        _ => SiteRequest::new("POST", "/post/x", attempt),
    }
}

fn addresses(site: &SiteFleet) -> Vec<SocketAddr> {
    site.daemons.iter().map(|daemon| daemon.address).collect()
}

/// Sends requests to the daemons in turn for `span` and returns the responses.
fn send_load(addresses: &[SocketAddr], kind: &str, span: Duration) -> Vec<SiteResponse> {
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
                    let address = addresses[(caller + number * CALLERS) % addresses.len()];
                    let attempt = format!("a-{caller}-{number}");
                    let response = send_site_request(address, &request(kind, &attempt));
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
    let responses = send_load(&addresses(&site), kind, CONTACT_TIME + COUNTED_TIME);

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
    send_load(&addresses(&site), "stream", Duration::from_secs(1));
    let limits = busiest_head(&site);
    limits.set_limit(Some(&LIMIT.to_string()));

    let named = Instant::now();
    let responses = send_load(&addresses(&site), "stream", CONTACT_TIME + COUNTED_TIME);

    assert_within_limit(limits, named, LIMIT);
    let refused = responses.iter().filter(|r| r.status != 200).count();
    assert_eq!(refused, 0, "of {} streams", responses.len());
}

/// True when the daemon knows a limit of the plain server.
fn knows_limit(daemon: &SiteDaemon, server: &str) -> bool {
    let id = server.parse().expect("an identifier");
    let view = daemon.state.context.targets.load();
    view.target(&id)
        .is_some_and(|target| target.stats.limit().is_limited())
}

/// Daemons that a server has not told hear of its limit, and of its end, from the others.
#[test]
fn limit_and_its_end_become_known_to_all_daemons() {
    let site = plain_site(8);
    let server = &site.plain_servers[0];
    let first = &addresses(&site)[..1];

    server.limits().set_limit(Some("5.4"));
    send_load(first, "get", Duration::from_millis(500));
    until("all daemons to know the limit", || {
        let mut daemons = site.daemons.iter();
        daemons.all(|daemon| knows_limit(daemon, server.id()))
    });

    server.limits().set_limit(None);
    send_load(first, "get", HANDOVER_LOAD);
    until("all daemons to know that it has ended", || {
        let mut daemons = site.daemons.iter();
        !daemons.any(|daemon| knows_limit(daemon, server.id()))
    });
}

/// A daemon that starts later learns the limit before it sends the server more than its share.
#[test]
fn daemons_that_restart_keep_to_the_limit() {
    let mut site = plain_site(6);
    let server = site.plain_servers[0].clone();
    server.limits().set_limit(Some("5.4"));
    let named = Instant::now();
    let leaving = site.daemons.split_off(2);

    thread::scope(|scope| {
        let staying = addresses(&site);
        let load = scope.spawn(move || send_load(&staying, "get", Duration::from_secs(12)));
        for daemon in leaving {
            scope.spawn(|| task::block_on(daemon.drain()));
            thread::sleep(Duration::from_secs(1));
        }
        for number in 0..4 {
            let daemon = site.start_daemon(&format!("router-new-{number}"), "d0", 0);
            scope.spawn(move || {
                until("the new daemon to serve", || daemon.state.is_serving());
                let address = [daemon.address];
                send_load(&address, "get", Duration::from_secs(4));
            });
            thread::sleep(Duration::from_millis(700));
        }
        load.join().expect("the load ends");
    });

    assert_within_limit(server.limits(), named, LIMIT);
}

/// A listed daemon that does not reply may be the keeper: the server then gets nothing until that daemon
/// has left the list, and the others serve all requests.
#[test]
fn silent_keeper_lets_no_request_through() {
    let site = plain_site(2);
    let ids: Vec<&str> = site.plain_servers.iter().map(PlainServer::id).collect();
    let limits: Vec<&LimitLedger> = site.plain_servers.iter().map(PlainServer::limits).collect();
    limits[..2]
        .iter()
        .for_each(|ledger| ledger.set_limit(Some("5.4")));
    for number in 0..SILENT_DAEMONS {
        let name = format!("router-silent-{number}");
        let row = json!({
            "instance": name, "domain": "d0", "callers": "127.0.0.1:9", "peers": "127.0.0.1:9",
        });
        site.store.put(&format!("arbutusmount/daemon/{name}"), &row);
    }

    let named = Instant::now();
    let responses = send_load(&addresses(&site), "get", CONTACT_TIME + COUNTED_TIME);

    for (id, ledger) in ids.iter().zip(&limits[..2]) {
        let most = ledger.busiest_window(named + CONTACT_TIME, WINDOW);
        assert!(
            most <= most_in_window(LIMIT),
            "{most} requests in 4 s at {id}"
        );
    }
    assert!(responses.iter().all(|response| response.status == 200));
}

/// What no server takes is refused at once, with a time to come back. It would otherwise wait for its
/// deadline.
#[test]
fn requests_over_all_limits_are_refused_at_once() {
    let site = plain_site(4);
    for server in &site.plain_servers {
        server.limits().set_limit(Some("2"));
    }

    let named = Instant::now();
    let responses = send_load(&addresses(&site), "post", CONTACT_TIME + COUNTED_TIME);

    for server in &site.plain_servers {
        assert_within_limit(server.limits(), named, 2.0);
    }
    let refused: Vec<&SiteResponse> = responses.iter().filter(|r| r.status != 200).collect();
    assert!(!refused.is_empty());
    for response in refused {
        assert_eq!(response.status, 503);
        assert!(response.field("Retry-After").is_some());
        assert!(response.elapsed < REFUSAL_TIME, "{:?}", response.elapsed);
    }
}
