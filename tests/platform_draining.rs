//! Requests that reach a daemon after it was told to stop: those that may outlast the process and may run
//! once only are left to other daemons.

#[path = "support/site.rs"]
mod site;

use arbutusmount::{DaemonPhase, GatewayBounds, GatewaySettings, RetryRule};
use async_std::task;
use rig::{
    ModelKnobs, ModelServer, PlainFault, PlainServer, SiteDaemon, SiteFleet, SiteRequest,
    SiteResponse, SiteSpec, read_site_response, sample_config, send_site_request,
};
use site::{plain_site, stream_call, until};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Timeout of the routes and of callers, which is longer than a daemon runs after it was told to stop.
const LONG_TIMEOUT_MS: u64 = 10_000;
/// Time after which a server turns a request away, while the daemon is told to stop.
const REFUSAL_TIME: Duration = Duration::from_millis(700);
/// Time by which a daemon has exited.
const EXIT_TIME: Duration = Duration::from_secs(8);

const ONE_WAY_STREAM: RetryRule = RetryRule::Stream { resumable: false };
const STREAM: RetryRule = RetryRule::Stream { resumable: true };

/// A site whose routes allow [`LONG_TIMEOUT_MS`].
fn long_site() -> SiteFleet {
    let site = plain_site();
    allow_long_requests(&site);
    site
}

fn allow_long_requests(site: &SiteFleet) {
    let mut config = sample_config(2);
    let routes = config["Routes"].as_array_mut().expect("routes");
    for route in routes {
        route["TimeoutMs"] = LONG_TIMEOUT_MS.into();
    }
    site.store.put("op/config", &config);
    let context = &site.daemons[0].state.context;
    until("the configuration to be in force", || {
        let catalog = context.catalog.load();
        catalog.is_some_and(|catalog| catalog.version == 2)
    });
}

fn long_request(method: &'static str, target: &str) -> SiteRequest {
    SiteRequest {
        deadline_ms: LONG_TIMEOUT_MS,
        ..SiteRequest::new(method, target, "a1")
    }
}

fn runs(site: &SiteFleet) -> usize {
    let servers = site.plain_servers.iter();
    servers.map(|server| server.runs().len()).sum()
}

/// Tells the daemon to stop; returns when it is draining.
fn begin_drain(daemon: SiteDaemon) -> (Arc<AtomicBool>, thread::JoinHandle<()>) {
    let state = Arc::clone(&daemon.state);
    let has_exited = Arc::new(AtomicBool::new(false));
    let exited = Arc::clone(&has_exited);
    let drained = thread::spawn(move || {
        task::block_on(daemon.drain());
        exited.store(true, Ordering::Release);
    });
    until("the daemon to drain", || {
        state.context.lifecycle.phase() == DaemonPhase::Draining
    });
    (has_exited, drained)
}

fn assert_refused(answer: &SiteResponse) {
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.field("retry-after").is_some());
    assert_eq!(answer.field("connection"), Some("close"));
}

/// A request that may run once only and may take 10 s was accepted 3.2 s after the signal and cut off when
/// the process exited, although a server had run it.
#[test]
fn request_that_may_outlast_the_process_is_refused() {
    let mut site = long_site();
    let daemon = site.daemons.remove(0);
    let address = daemon.address;
    let (_, drained) = begin_drain(daemon);

    let answer = send_site_request(address, &long_request("POST", "/post/x"));

    assert_refused(&answer);
    assert_eq!(runs(&site), 0);
    drained.join().expect("the daemon exits");
}

/// A request that may be repeated is served soon after the signal, as it most likely ends in time; refusing
/// it would only send its caller elsewhere.
#[test]
fn repeatable_request_is_served_early_in_the_drain() {
    let mut site = long_site();
    let daemon = site.daemons.remove(0);
    let address = daemon.address;
    let (_, drained) = begin_drain(daemon);

    let answer = send_site_request(address, &long_request("GET", "/get/x"));

    assert_eq!(answer.status, 200, "{answer:?}");
    drained.join().expect("the daemon exits");
}

/// The server that a request has reached since `from`.
fn busy_server(site: &SiteFleet, from: Instant) -> &PlainServer {
    let is_busy = |server: &&PlainServer| server.limits().arrivals_since(from) > 0;
    let find = || site.plain_servers.iter().find(is_busy);
    until("the request to reach a server", || find().is_some());
    find().expect("a server has the request")
}

/// A request that was accepted before the signal and turned away by a server after it went to a second server,
/// where the exit of the process cut it off.
#[test]
fn request_that_was_turned_away_is_not_sent_again_before_the_exit() {
    // Arrange
    let mut site = long_site();
    for server in &site.plain_servers {
        server.set_work_time(REFUSAL_TIME);
        server.set_fault(PlainFault::Full);
    }
    let daemon = site.daemons.remove(0);
    let address = daemon.address;
    let request = long_request("POST", "/post/x");
    let started = Instant::now();
    let caller = thread::spawn(move || send_site_request(address, &request));
    let busy = busy_server(&site, started).id().to_owned();
    let others = site
        .plain_servers
        .iter()
        .filter(|server| server.id() != busy);
    for other in others {
        other.set_work_time(EXIT_TIME);
        other.set_fault(PlainFault::None);
    }

    // Act
    let (_, drained) = begin_drain(daemon);
    let answer = caller.join().expect("the caller ends");

    // Assert
    assert_refused(&answer);
    assert_eq!(runs(&site), 0);
    drained.join().expect("the daemon exits");
}

/// With a short grace period there is no time for requests that may outlast it, whether or not they may be
/// repeated. The time in which streams are accepted did not depend on the grace period.
#[test_case(RetryRule::AtMostOnce, 8.0, 3_000 => true)]
#[test_case(RetryRule::AtMostOnce, 8.0, 10_000 => false)]
#[test_case(ONE_WAY_STREAM, 8.0, 10_000 => false)]
#[test_case(RetryRule::Idempotent, 8.0, 10_000 => true)]
#[test_case(STREAM, 8.0, 10_000 => true)]
#[test_case(RetryRule::AtMostOnce, 4.0, 3_000 => true)]
#[test_case(RetryRule::Idempotent, 4.0, 3_000 => true)]
#[test_case(RetryRule::Idempotent, 4.0, 10_000 => false)]
#[test_case(STREAM, 4.0, 10_000 => false)]
fn request_is_accepted_at_the_start_of_the_drain(
    rule: RetryRule,
    grace_s: f64,
    timeout_ms: u64,
) -> bool {
    let site = plain_site();
    let context = &site.daemons[0].state.context;
    let settings = GatewaySettings {
        bounds: GatewayBounds {
            grace_s,
            ..GatewayBounds::default()
        },
        ..context.settings.clone()
    };
    context.reload(&settings);
    context.start_draining();

    context.accepts_request(rule, Duration::from_millis(timeout_ms))
}

/// Times after the signal at which late requests arrive.
const LATE_TIMES: [Duration; 4] = [
    Duration::from_millis(3_200),
    Duration::from_millis(4_400),
    Duration::from_millis(5_400),
    Duration::from_millis(6_400),
];
/// Time that servers take for a request during the drain.
const LATE_WORK_TIME: Duration = Duration::from_millis(2_500);

/// A connection that has served a request.
fn used_connection(address: SocketAddr, attempt: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the daemon accepts connections");
    let answer = exchange(&mut stream, &SiteRequest::new("GET", "/get/x", attempt));
    assert_eq!(answer.status, 200, "{answer:?}");
    stream
}

fn exchange(stream: &mut TcpStream, request: &SiteRequest) -> SiteResponse {
    stream
        .write_all(&request.encode())
        .expect("the daemon reads the request");
    read_site_response(stream)
}

/// Late requests on connections in use, one of each kind at each time. A stream keeps the daemon from exiting
/// earlier.
fn late_requests(
    address: SocketAddr,
    signalled: Instant,
) -> Vec<thread::JoinHandle<(SiteRequest, SiteResponse)>> {
    let kinds = [
        ("POST", "/post/x", 3_000),
        ("POST", "/post/x", LONG_TIMEOUT_MS),
        ("GET", "/get/x", 3_000),
        ("POST", "/stream/x", LONG_TIMEOUT_MS),
    ];
    let mut callers = Vec::new();
    for (time, at) in LATE_TIMES.into_iter().enumerate() {
        for (kind, (method, target, deadline_ms)) in kinds.into_iter().enumerate() {
            let request = SiteRequest {
                deadline_ms,
                ..SiteRequest::new(method, target, &format!("late-{time}-{kind}"))
            };
            let mut stream = used_connection(address, &format!("before-{time}-{kind}"));
            callers.push(thread::spawn(move || {
                thread::sleep(at.saturating_sub(signalled.elapsed()));
                let answer = exchange(&mut stream, &request);
                (request, answer)
            }));
        }
    }
    callers
}

/// Requests that come late in the grace period are answered whole or refused without having run, whatever
/// their kind; none is passed on and cut off when the process exits.
#[test]
fn late_request_on_a_connection_in_use_is_served_or_refused() {
    // Arrange
    let mut site = SiteFleet::start(SiteSpec::default());
    allow_long_requests(&site);
    for server in &site.model_servers {
        server.set_knobs(ModelKnobs {
            events: 270,
            event_gap: Duration::from_millis(25),
            ..ModelKnobs::default()
        });
    }
    let daemon = site.daemons.remove(0);
    let address = daemon.address;
    let long_stream = SiteRequest {
        deadline_ms: LONG_TIMEOUT_MS,
        ..stream_call("long")
    };
    let signalled = Instant::now();
    let callers = late_requests(address, signalled);
    let holder = thread::spawn(move || send_site_request(address, &long_stream));
    until("the stream to begin", || {
        let mut servers = site.model_servers.iter();
        servers.any(|server| !server.runs().is_empty())
    });
    for server in &site.plain_servers {
        server.set_work_time(LATE_WORK_TIME);
    }

    // Act
    let (_, drained) = begin_drain(daemon);
    let answers: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("the caller ends"))
        .collect();

    // Assert
    let ran = |attempt: &str| {
        let mut runs = site.plain_servers.iter().flat_map(PlainServer::runs);
        let mut streams = site.model_servers.iter().flat_map(ModelServer::runs);
        runs.any(|run| run.attempt_id == attempt) || streams.any(|run| run.attempt_id == attempt)
    };
    for (request, answer) in answers {
        let attempt = &request.attempt_id;
        println!("{attempt}: {} after {:?}", answer.status, answer.elapsed);
        assert!(answer.complete, "{attempt} was cut off: {answer:?}");
        if answer.status == 200 {
            continue;
        }
        assert_refused(&answer);
        assert!(!ran(attempt), "{attempt} was refused and has run");
    }
    holder.join().expect("the caller of the stream ends");
    drained.join().expect("the daemon exits");
}
