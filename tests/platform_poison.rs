//! Requests that crash each server that begins to run them and come again at any daemon.

#[path = "support/site.rs"]
mod site;

use rig::{
    CrashManner, CrashRun, PLAIN_BODY, SiteDaemon, SiteFleet, SiteRequest, SiteSpec, StoreFault,
    leave_site_request, send_site_request,
};
use site::{stream_call, until};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Daemons that take turns in getting the request.
const DAEMONS: usize = 3;
/// Time from one arrival of the request to the next.
const ARRIVAL_GAP: Duration = Duration::from_millis(150);
/// The same where each server is back before the request comes again.
const SPARSE_GAP: Duration = Duration::from_millis(1_300);
/// Time after the third crash from which further runs are counted.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which the request comes again after that.
const COUNTED_TIME: Duration = Duration::from_secs(3);
/// Most servers that the request may reach in the counted time.
const MAX_LATE_RUNS: usize = 3;

/// Time after a crash within which the server is back and its entry is known.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Plain servers of a site on which crashed servers come back.
const PLAIN_SERVERS: usize = 4;
/// Plain servers of a site whose daemons do not hear of servers that come back.
const MANY_PLAIN_SERVERS: usize = 30;

fn poison_site(plain_servers: usize) -> SiteFleet {
    SiteFleet::start(SiteSpec {
        daemons: DAEMONS,
        plain_servers,
        models_per_domain: 4,
        domains: 3,
        is_linked: false,
        ..SiteSpec::default()
    })
}

/// Waits until all crashed servers are back and the daemon knows the plain ones.
fn wait_for_servers(daemon: &SiteDaemon) {
    thread::sleep(RESTART_TIME);
    let shop = "shop".parse().expect("an identifier");
    until("the servers to be back", || {
        let view = daemon.state.context.targets.load();
        view.service_targets(&shop).len() == PLAIN_SERVERS
    });
}

fn poison(method: &'static str, target: &str, number: usize) -> SiteRequest {
    let attempt = format!("poison-{number}");
    if !target.starts_with("/stream/") {
        return SiteRequest::new(method, target, &attempt);
    }
    SiteRequest {
        target: target.to_owned(),
        ..stream_call(&attempt)
    }
}

fn addresses(site: &SiteFleet) -> Vec<SocketAddr> {
    site.daemons.iter().map(|daemon| daemon.address).collect()
}

/// Sends the request to the daemons in turn, again and again, until `is_over`, and returns what it
/// has crashed.
fn send_again(
    site: &SiteFleet,
    method: &'static str,
    target: &'static str,
    is_over: impl Fn(&[CrashRun]) -> bool,
) -> Vec<CrashRun> {
    let addresses = addresses(site);
    let mut callers = Vec::new();
    for number in 0.. {
        if is_over(&site.crashes.runs()) {
            break;
        }
        let address = addresses[number % addresses.len()];
        callers.push(thread::spawn(move || {
            send_site_request(address, &poison(method, target, number))
        }));
        thread::sleep(ARRIVAL_GAP);
    }
    for caller in callers {
        caller.join().expect("the caller ends");
    }
    site.crashes.runs()
}

/// True when the counted time after the third crash is over, or when there is none for long.
fn counted_time_is_over(started: Instant) -> impl Fn(&[CrashRun]) -> bool {
    move |runs| {
        let from = runs.get(2).map_or(started, |third| third.at);
        from.elapsed() > CONTACT_TIME + COUNTED_TIME
    }
}

fn late_runs(runs: &[CrashRun]) -> usize {
    let third = runs.get(2).expect("the request has crashed three servers");
    let late = runs.iter().filter(|run| run.at > third.at + CONTACT_TIME);
    late.count()
}

/// A request that has crashed three servers is kept from servers, whichever daemon gets it and in
/// whichever attempt. It was sent on without end, as no daemon knew of an earlier attempt.
#[test_case("GET", "/get/crash"; "repeatable")]
#[test_case("POST", "/post/crash"; "at most once")]
#[test_case("POST", "/stream/crash"; "stream at the first server of its chain")]
#[test_case("POST", "/stream/crash-last"; "stream at the last server of its chain")]
#[test_case("POST", "/stream/crash-begun"; "stream at the first server of its chain, after four events")]
fn request_that_crashes_servers_is_kept_from_them(method: &'static str, target: &'static str) {
    let site = poison_site(PLAIN_SERVERS);

    let runs = send_again(&site, method, target, counted_time_is_over(Instant::now()));

    let late = late_runs(&runs);
    assert!(late <= MAX_LATE_RUNS, "{late} of {} runs", runs.len());
}

/// Such a request is kept from servers also if some of them answer it with a failure in between. The
/// failure was taken for proof that servers survive the request, and cleared its crashes.
#[test_case("GET", "/get/crash", 2; "repeatable, every second time")]
#[test_case("POST", "/post/crash", 2; "at most once, every second time")]
#[test_case("GET", "/get/crash", 3; "repeatable, every third time")]
#[test_case("POST", "/post/crash", 3; "at most once, every third time")]
#[test_case("POST", "/stream/crash", 2; "stream, every second time")]
#[test_case("POST", "/stream/crash-last", 3; "stream at the last server of its chain, every third time")]
fn failures_between_crashes_clear_none(method: &'static str, target: &'static str, every: usize) {
    let site = poison_site(PLAIN_SERVERS);
    site.crashes.spare_every(every);

    let runs = send_again(&site, method, target, counted_time_is_over(Instant::now()));

    let late = late_runs(&runs);
    assert!(late <= MAX_LATE_RUNS, "{late} of {} runs", runs.len());
}

/// Such a request is kept from servers also if these start again under their old identifiers. Only the
/// first crash of each identifier was counted, so two servers never crashed often enough.
#[test_case("GET", "/get/crash"; "repeatable")]
#[test_case("POST", "/post/crash"; "at most once")]
fn crashes_of_servers_that_keep_their_identifier_count(method: &'static str, target: &'static str) {
    let site = poison_site(2);
    site.crashes.keep_ids();

    let runs = send_again(&site, method, target, counted_time_is_over(Instant::now()));

    let late = late_runs(&runs);
    assert!(late <= MAX_LATE_RUNS, "{late} of {} runs", runs.len());
}

/// Two such requests that come together are both kept from servers, although each of them may explain
/// the crashes of the other one.
#[test_case(0; "servers fail none of them")]
#[test_case(4; "servers fail every fourth one")]
fn two_requests_that_crash_servers_are_kept_from_them(spare_every: usize) {
    let site = poison_site(PLAIN_SERVERS);
    site.crashes.spare_every(spare_every);
    let targets = ["/get/crash-a", "/get/crash-b"];

    let started = Instant::now();
    thread::scope(|scope| {
        for target in targets {
            let over = counted_time_is_over(started);
            scope.spawn(|| send_again(&site, "GET", target, over));
        }
    });

    for target in targets {
        let runs = site.crashes.runs();
        let runs: Vec<CrashRun> = runs
            .into_iter()
            .filter(|run| &*run.path == target)
            .collect();
        let late = runs.get(2).map_or(0, |_third| late_runs(&runs));
        assert!(
            late <= MAX_LATE_RUNS,
            "{target}: {late} of {} runs",
            runs.len()
        );
    }
}

/// Such a request is kept from servers whatever the daemon sees of their end. A part of a response that
/// ends with its connection was taken for a success, which cleared the crashes.
#[test_case("GET", "/get/crash", CrashManner::Reset; "reset, repeatable")]
#[test_case("POST", "/post/crash", CrashManner::Reset; "reset, at most once")]
#[test_case("GET", "/get/crash", CrashManner::PartialResponse; "part of a response, repeatable")]
#[test_case("POST", "/post/crash", CrashManner::PartialResponse; "part of a response, at most once")]
#[test_case("GET", "/get/crash", CrashManner::Dark; "dark host, repeatable")]
#[test_case("POST", "/post/crash", CrashManner::Dark; "dark host, at most once")]
fn crashes_count_however_servers_end(
    method: &'static str,
    target: &'static str,
    manner: CrashManner,
) {
    let site = poison_site(PLAIN_SERVERS);
    site.crashes.set_manner(manner);

    let runs = send_again(&site, method, target, counted_time_is_over(Instant::now()));

    let late = late_runs(&runs);
    assert!(late <= MAX_LATE_RUNS, "{late} of {} runs", runs.len());
}

/// Such a request is kept from servers also if its callers leave before the server ends and nothing
/// else reaches that server. Its end was then never held against the request.
#[test_case("GET", "/get/crash"; "repeatable")]
#[test_case("POST", "/post/crash"; "at most once")]
fn crashes_after_the_caller_left_count(method: &'static str, target: &'static str) {
    let site = poison_site(PLAIN_SERVERS);
    let work = Duration::from_millis(60);
    site.plain_servers
        .iter()
        .for_each(|server| server.set_work_time(work));
    let counted = CONTACT_TIME + SPARSE_GAP * (MAX_LATE_RUNS as u32 + 2);
    let started = Instant::now();

    for number in 0.. {
        let third = site.crashes.runs().get(2).map_or(started, |third| third.at);
        if third.elapsed() > counted {
            break;
        }
        let address = site.daemons[number % DAEMONS].address;
        leave_site_request(address, &poison(method, target, number), work / 3);
        thread::sleep(SPARSE_GAP);
    }

    let runs = site.crashes.runs();
    let late = late_runs(&runs);
    assert!(late <= MAX_LATE_RUNS, "{late} of {} runs", runs.len());
}

/// Crashes count over all daemons while the store is away, too. Each daemon would otherwise let the
/// request crash three servers.
#[test_case(0; "servers fail none of them")]
#[test_case(3; "servers fail every third one")]
fn crashes_of_all_daemons_count_while_the_store_is_away(spare_every: usize) {
    let site = poison_site(MANY_PLAIN_SERVERS);
    site.crashes.spare_every(spare_every);
    site.store.set_fault(0, StoreFault::Reset);

    let started = Instant::now();
    let over = counted_time_is_over(started);
    let runs = send_again(&site, "POST", "/post/crash", over);

    let late = late_runs(&runs);
    assert!(late <= MAX_LATE_RUNS, "{late} of {} runs", runs.len());
}

/// A daemon that has just started knows the crashes of before. It would otherwise let the request
/// crash three more servers.
#[test]
fn daemon_that_starts_later_knows_the_crashes() {
    let mut site = poison_site(PLAIN_SERVERS);
    let over = counted_time_is_over(Instant::now());
    let before = send_again(&site, "GET", "/get/crash", over).len();
    let late = site.start_daemon("router-late", "d0", 0);
    until("the daemon to serve", || late.state.is_serving());
    wait_for_servers(&late);
    site.daemons = vec![late];

    let answer = send_site_request(site.daemons[0].address, &poison("GET", "/get/crash", 0));

    assert_eq!(answer.status, 503);
    assert_eq!(site.crashes.runs().len(), before);
}

/// Requests that ran on servers when these crashed under another one are served when they come
/// again. Counting crashes alone would condemn them.
#[test]
fn requests_beside_a_crash_are_not_condemned() {
    // Arrange
    let site = poison_site(PLAIN_SERVERS);
    let work = Duration::from_millis(60);
    site.plain_servers
        .iter()
        .for_each(|server| server.set_work_time(work));
    let targets: Vec<String> = (0..12)
        .map(|number| format!("/post/ordinary-{number}"))
        .collect();
    let over = counted_time_is_over(Instant::now());

    // Act: the ordinary requests come all the time while another one crashes servers.
    thread::scope(|scope| {
        let crashing = scope.spawn(|| send_again(&site, "POST", "/post/crash", over));
        let mut round = 0;
        while !crashing.is_finished() {
            round += 1;
            for (number, target) in targets.iter().enumerate() {
                let address = site.daemons[(round + number) % DAEMONS].address;
                let request = SiteRequest::new("POST", target, &format!("o-{round}-{number}"));
                scope.spawn(move || send_site_request(address, &request));
            }
            thread::sleep(ARRIVAL_GAP);
        }
    });

    // Assert
    let late = late_runs(&site.crashes.runs());
    assert!(late <= MAX_LATE_RUNS, "{late} late runs");
    site.daemons.iter().for_each(wait_for_servers);
    for target in &targets {
        for daemon in &site.daemons {
            let answer = send_site_request(daemon.address, &SiteRequest::new("POST", target, "a1"));
            assert_eq!((answer.status, answer.body.as_slice()), (200, PLAIN_BODY));
        }
    }
}
