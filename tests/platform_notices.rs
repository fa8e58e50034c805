//! Servers that ask for rest, and servers that say in their answers that they leave.

#[path = "support/site.rs"]
mod site;

use rig::{
    ModelServer, PlainServer, SiteFleet, SiteRequest, SiteResponse, SiteSpec, send_site_request,
};
use site::{model_site, stream_call, until};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time for which servers ask for rest, in seconds.
const REST: &str = "3";
/// Requests that may reach a server from one daemon during its rest.
const ALLOWED_IN_A_REST: usize = 2;
/// Time for which requests are sent: longer than a rest.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Callers, and the time from one request of a caller to the next: about 50 requests a second.
const CALLERS: usize = 5;
const CALL_GAP: Duration = Duration::from_millis(100);
/// Time from the first answer of a leaving server until requests that were on their way have arrived.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// Longest time until a request is refused that no server takes.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

fn plain_site() -> SiteFleet {
    SiteFleet::start(SiteSpec {
        plain_servers: 3,
        models_per_domain: 0,
        ..SiteSpec::default()
    })
}

/// Sends requests of a kind to the first daemon for `span` and returns the responses.
fn send_load(site: &SiteFleet, kind: &str, span: Duration) -> Vec<SiteResponse> {
    let address = site.daemons[0].address;
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
                    let attempt = format!("{kind}-{caller}-{number}");
                    let request = match kind {
                        "get" => SiteRequest::new("GET", "/get/x", &attempt),
                        "post" => SiteRequest::new("POST", "/post/x", &attempt),
                        _ => stream_call(&attempt),
                    };
                    let response = send_site_request(address, &request);
                    responses.lock().expect("never poisoned").push(response);
                    thread::sleep(CALL_GAP);
                }
            });
        }
    });
    responses.into_inner().expect("never poisoned")
}

fn count_refused(responses: &[SiteResponse]) -> usize {
    let refused = responses.iter().filter(|answer| answer.status != 200);
    refused.count()
}

/// The chain heads of a site with two chains, the one that serves first.
fn heads(site: &SiteFleet) -> Vec<&ModelServer> {
    send_load(site, "stream", Duration::from_millis(300));
    let mut heads: Vec<&ModelServer> = site
        .model_servers
        .iter()
        .filter(|server| server.layers().is_some_and(|(from, _)| from == 0))
        .collect();
    heads.sort_by_key(|head| std::cmp::Reverse(head.runs().len()));
    heads
}

/// A server that had asked for rest was asked again by each request; it gets nothing until its time is
/// over, and the others serve.
#[test_case("get", 1)]
#[test_case("post", 1)]
#[test_case("get", 2)]
#[test_case("post", 2)]
fn resting_server_gets_no_requests(kind: &str, resting: usize) {
    let site = plain_site();
    for server in &site.plain_servers[..resting] {
        server.notices().set_rest(Some(REST));
    }

    let responses = send_load(&site, kind, LOAD_TIME);

    for server in &site.plain_servers {
        let most = server.notices().most_in_a_rest();
        assert!(
            most <= ALLOWED_IN_A_REST,
            "{most} in a rest of {}",
            server.id()
        );
    }
    assert_eq!(count_refused(&responses), 0, "of {}", responses.len());
}

/// The same for the first server of a chain.
#[test]
fn resting_head_of_a_chain_gets_no_streams() {
    let site = model_site();
    let head = heads(&site)[0];
    head.notices().set_rest(Some(REST));

    let responses = send_load(&site, "stream", LOAD_TIME);

    let most = head.notices().most_in_a_rest();
    assert!(most <= ALLOWED_IN_A_REST, "{most} in a rest");
    assert_eq!(count_refused(&responses), 0, "of {}", responses.len());
}

/// When all servers rest, requests are refused at once, with a time to return after the first rest has
/// ended, and not all with the same one.
#[test_case("get")]
#[test_case("post")]
fn requests_are_refused_at_once_while_all_servers_rest(kind: &str) {
    let site = plain_site();
    for server in &site.plain_servers {
        server.notices().set_rest(Some(REST));
    }
    send_load(&site, kind, Duration::from_millis(600));

    let started = Instant::now();
    let responses = send_load(&site, kind, Duration::from_millis(800));

    for server in &site.plain_servers {
        assert!(server.notices().most_in_a_rest() <= ALLOWED_IN_A_REST);
    }
    let delays: Vec<f64> = responses
        .iter()
        .map(|answer| {
            assert_eq!(answer.status, 503);
            assert!(answer.elapsed < REFUSAL_TIME, "{answer:?}");
            let text = answer.field("retry-after").expect("a time to return");
            text.parse().expect("a number")
        })
        .collect();
    let elapsed = started.elapsed().as_secs_f64();
    let least = 3.0 - 0.6 - elapsed - 0.4;
    assert!(delays.iter().all(|delay| *delay >= least), "{delays:?}");
    let spread = delays.iter().fold(0.0_f64, |a, b| a.max(*b))
        - delays.iter().fold(f64::MAX, |a, b| a.min(*b));
    assert!(spread > 0.2, "all callers return within {spread} s");
}

/// After the rest, servers get a few requests first, not all that come at once.
#[test]
fn servers_get_a_few_requests_first_after_their_rest() {
    // Arrange
    let site = plain_site();
    for server in &site.plain_servers {
        server.set_work_time(Duration::from_millis(300));
        server.notices().set_rest(Some("1"));
    }
    send_load(&site, "get", Duration::from_millis(400));
    for server in &site.plain_servers {
        server.notices().set_rest(None);
    }
    thread::sleep(Duration::from_secs(1));
    let before = arrivals(&site);
    let address = site.daemons[0].address;

    // Act
    let callers: Vec<_> = (0..30)
        .map(|number| {
            let request = SiteRequest::new("GET", "/get/x", &format!("h{number}"));
            thread::spawn(move || send_site_request(address, &request))
        })
        .collect();
    thread::sleep(Duration::from_millis(150));

    // Assert
    let first = arrivals(&site) - before;
    assert!((1..=6).contains(&first), "{first} requests at once");
    for caller in callers {
        caller.join().expect("the caller ends");
    }
}

fn arrivals(site: &SiteFleet) -> usize {
    let servers = site.plain_servers.iter();
    servers.map(|server| server.notices().arrivals()).sum()
}

/// Times that are no number of seconds are no rest, and nothing breaks.
#[test_case("abc")]
#[test_case("-5")]
#[test_case("")]
#[test_case("NaN")]
#[test_case("Wed, 21 Oct 2026 07:28:00 GMT")]
fn odd_rest_is_ignored(text: &str) {
    let site = plain_site();
    site.plain_servers[0].notices().set_rest(Some(text));
    send_load(&site, "get", Duration::from_millis(500));
    let asked = site.plain_servers[0].notices().arrivals();

    send_load(&site, "get", Duration::from_millis(500));

    assert!(site.plain_servers[0].notices().arrivals() > asked);
}

/// One of two servers turns all requests away and names no time that can be read, so it looks idle: each
/// request asked it first, and two in five were refused though the other server was sound.
#[test_case("get", "abc")]
#[test_case("post", "-5")]
#[test_case("post", "Wed, 21 Oct 2026 07:28:00 GMT")]
#[test_case("post", "")]
fn other_server_serves_while_one_sheds_load(kind: &str, text: &str) {
    let site = SiteFleet::start(SiteSpec {
        plain_servers: 2,
        models_per_domain: 0,
        ..SiteSpec::default()
    });
    site.plain_servers[0].notices().set_rest(Some(text));

    let responses = send_load(&site, kind, Duration::from_millis(1_500));

    assert_eq!(count_refused(&responses), 0, "of {}", responses.len());
}

fn assert_left_alone(server: &PlainServer) {
    let late = server.notices().arrivals_after_leaving(ON_THE_WAY);
    assert_eq!(late, 0, "requests at {}", server.id());
}

/// A server says that it leaves in its answers, while its entry still says that it is ready.
#[test_case("get")]
#[test_case("post")]
fn leaving_server_gets_no_requests(kind: &str) {
    let site = plain_site();
    site.plain_servers[0].notices().set_leaving(true);

    let responses = send_load(&site, kind, LOAD_TIME);

    assert_left_alone(&site.plain_servers[0]);
    assert_eq!(count_refused(&responses), 0, "of {}", responses.len());
}

/// The same with a failure as the answer.
#[test]
fn server_that_leaves_and_rests_gets_no_requests() {
    let site = plain_site();
    site.plain_servers[0].notices().set_leaving(true);
    site.plain_servers[0].notices().set_rest(Some("0.1"));

    send_load(&site, "get", LOAD_TIME);

    assert_left_alone(&site.plain_servers[0]);
}

/// When all servers leave, requests are refused rather than sent to them.
#[test]
fn requests_are_refused_while_all_servers_leave() {
    let site = plain_site();
    for server in &site.plain_servers {
        server.notices().set_leaving(true);
    }

    let responses = send_load(&site, "post", Duration::from_secs(2));

    site.plain_servers.iter().for_each(assert_left_alone);
    let last = responses.last().expect("requests were sent");
    assert_eq!(last.status, 503);
}

/// The head of a chain that leaves gets no new streams; those that it serves go on.
#[test]
fn leaving_head_of_a_chain_gets_no_streams() {
    let site = model_site();
    let head = heads(&site)[0];
    head.notices().set_leaving(true);

    let responses = send_load(&site, "stream", LOAD_TIME);

    assert_eq!(head.notices().arrivals_after_leaving(ON_THE_WAY), 0);
    assert_eq!(count_refused(&responses), 0, "of {}", responses.len());
    assert!(responses.iter().all(|answer| answer.complete));
}

/// A later run under the same identity is not leaving.
#[test]
fn later_run_of_a_server_that_left_is_used() {
    // Arrange
    let site = plain_site();
    let server = &site.plain_servers[0];
    server.notices().set_leaving(true);
    send_load(&site, "get", Duration::from_secs(1));
    let view = site.daemons[0].state.context.targets.load();
    let id = server.id().parse().expect("an identifier");
    assert!(
        view.target(&id)
            .is_some_and(|target| target.stats.is_leaving())
    );

    // Act
    server.notices().set_leaving(false);
    site.crashes.keep_ids();
    site.crashes.crash(server.address(), "");

    // Assert
    let runs = server.runs().len();
    until("the later run to be used", || {
        send_load(&site, "get", Duration::from_millis(200));
        server.runs().len() > runs
    });
}

/// A daemon hears from another one that a server leaves, without a response of its own.
#[test]
fn other_daemons_hear_that_a_server_leaves() {
    let site = SiteFleet::start(SiteSpec {
        daemons: 2,
        plain_servers: 3,
        models_per_domain: 0,
        ..SiteSpec::default()
    });
    let server = &site.plain_servers[0];
    server.notices().set_leaving(true);

    send_load(&site, "get", Duration::from_millis(300));

    let id = server.id().parse().expect("an identifier");
    until("the other daemon to hear of it", || {
        let view = site.daemons[1].state.context.targets.load();
        view.target(&id).is_some_and(|target| !target.is_ready())
    });
}
