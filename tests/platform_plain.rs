//! Requests to plain services over the platform's protocol: faults and hazards between callers and
//! targets.

#[path = "support/site.rs"]
mod site;

use arbutusmount::{InstanceId, RetryRule};
use rig::{
    PLAIN_BODY, PlainFault, SiteFleet, SiteRequest, plain_server_entry, read_site_response,
    send_site_request,
};
use site::{call, plain_site, until};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use test_case::test_case;

fn runs(site: &SiteFleet) -> usize {
    site.plain_servers
        .iter()
        .map(|server| server.runs().len())
        .sum()
}

fn set_fault(site: &SiteFleet, fault: PlainFault) {
    site.plain_servers
        .iter()
        .for_each(|server| server.set_fault(fault));
}

/// Sends repeatable requests one after the other; each must get a target's complete response.
fn check_served(site: &SiteFleet, requests: usize) {
    for number in 0..requests {
        let attempt = format!("a{number}");
        let answer = call(site, &SiteRequest::new("GET", "/get/x", &attempt));
        assert_eq!(
            (answer.status, answer.body.as_slice()),
            (200, PLAIN_BODY),
            "{answer:?}"
        );
    }
}

#[test_case("/get/a/../b"; "dot segments")]
#[test_case("/get/%7euser/%2e%2e/z?q=%20&r=/../"; "escapes")]
fn target_and_body_arrive_byte_for_byte(target: &str) {
    let site = plain_site();
    let body = b"\0\xffbytes\r\n0\r\n\r\n".to_vec();
    let sent = SiteRequest {
        body: body.clone(),
        ..SiteRequest::new("PUT", target, "a1")
    };

    let answer = call(&site, &sent);

    assert_eq!((answer.status, answer.body.as_slice()), (200, PLAIN_BODY));
    let run = site
        .plain_servers
        .iter()
        .flat_map(rig::PlainServer::runs)
        .next()
        .expect("a target ran the request");
    assert_eq!(
        (run.target.as_str(), run.body, run.attempt_id.as_str()),
        (target, body, "a1")
    );
}

#[test]
fn target_sees_the_team_and_not_the_key() {
    let site = plain_site();
    let forged = vec![
        ("X-Tenant", "somebody".to_owned()),
        ("X-Hops", "1.2.3.4:5=0-8".to_owned()),
    ];

    call(
        &site,
        &SiteRequest {
            fields: forged,
            ..SiteRequest::new("GET", "/get/x", "a1")
        },
    );

    let run = site
        .plain_servers
        .iter()
        .flat_map(rig::PlainServer::runs)
        .next()
        .expect("a target ran the request");
    let values = |name: &str| {
        let found = run
            .fields
            .iter()
            .filter(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).collect::<Vec<_>>()
    };
    assert_eq!(values("X-Tenant"), vec!["franchise".to_owned()]);
    assert_eq!(values("Authorization"), Vec::<String>::new());
    assert_eq!(values("X-Hops"), Vec::<String>::new());
    let left: u64 = values("X-Deadline-Ms")[0].parse().expect("a number");
    assert!(left <= 3_000);
}

#[test_case("/get/x", "key-1" => 200)]
#[test_case("/get/x", "" => 401; "no key")]
#[test_case("/get/x", "key-2" => 401; "unknown key")]
#[test_case("/nowhere/x", "key-1" => 404)]
fn access_follows_the_configuration(target: &str, key: &'static str) -> u16 {
    let site = plain_site();

    call(
        &site,
        &SiteRequest {
            key,
            ..SiteRequest::new("GET", target, "a1")
        },
    )
    .status
}

#[test_case("Content-Length: 1\r\nContent-Length: 1\r\n\r\nx"; "length twice")]
#[test_case("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"; "length and chunks")]
#[test_case("A: b\r\n c\r\n\r\n"; "folded field")]
#[test_case("A: b\n\r\n"; "bare line feed")]
fn smuggled_request_gets_400_and_a_closed_connection(rest: &str) {
    let site = plain_site();
    let mut stream =
        TcpStream::connect(site.daemons[0].address).expect("the daemon accepts connections");
    let head = format!("POST /post/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a1\r\n{rest}");
    stream
        .write_all(head.as_bytes())
        .expect("the daemon reads the request");

    let answer = read_site_response(&mut stream);

    assert_eq!(
        (answer.status, answer.field("connection")),
        (400, Some("close"))
    );
    assert_eq!(runs(&site), 0);
}

#[test_case(PlainFault::ResetAfterRun)]
#[test_case(PlainFault::ShortBody)]
#[test_case(PlainFault::NoLengthReset)]
#[test_case(PlainFault::WrongAttemptId)]
#[test_case(PlainFault::Garbage)]
fn invalid_response_is_neither_forwarded_nor_retried(fault: PlainFault) {
    let site = plain_site();
    set_fault(&site, fault);

    let answer = call(&site, &SiteRequest::new("POST", "/post/x", "a1"));

    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.field("x-server-stamp"), None);
    assert_eq!(runs(&site), 1);
}

#[test_case(PlainFault::ResetAfterRun)]
#[test_case(PlainFault::ShortBody)]
#[test_case(PlainFault::NoLengthReset)]
#[test_case(PlainFault::WrongAttemptId)]
#[test_case(PlainFault::Garbage)]
#[test_case(PlainFault::Fails)]
#[test_case(PlainFault::Full)]
fn repeatable_request_is_served_by_another_target(fault: PlainFault) {
    let site = plain_site();
    site.plain_servers[0].set_fault(fault);

    check_served(&site, 6);
}

#[test]
fn answer_without_a_length_is_whole_at_a_clean_close() {
    let site = plain_site();
    set_fault(&site, PlainFault::NoLength);

    let answer = call(&site, &SiteRequest::new("POST", "/post/x", "a1"));

    assert_eq!((answer.status, answer.body.as_slice()), (200, PLAIN_BODY));
}

#[test]
fn extra_answer_reaches_no_other_request() {
    let site = plain_site();
    set_fault(&site, PlainFault::ExtraResponse);

    check_served(&site, 8);
}

#[test]
fn refusal_has_retry_after_and_nothing_was_executed() {
    let site = plain_site();
    set_fault(&site, PlainFault::Full);

    let answer = call(&site, &SiteRequest::new("POST", "/post/x", "a1"));

    assert_eq!(answer.status, 503);
    let delay: f64 = answer
        .field("retry-after")
        .expect("a Retry-After field")
        .parse()
        .expect("a number");
    assert!(delay > 0.0 && delay <= 1.0, "{delay}");
    assert_eq!(runs(&site), 0);
    assert!(
        answer.elapsed < Duration::from_millis(500),
        "held for {:?}",
        answer.elapsed
    );
}

#[test]
fn failure_of_the_target_is_passed_on_unchanged() {
    let site = plain_site();
    set_fault(&site, PlainFault::Fails);

    let answer = call(&site, &SiteRequest::new("POST", "/post/x", "a1"));

    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (500, b"failed".as_slice())
    );
    assert_eq!(answer.field("x-server-stamp"), Some("stamp"));
}

#[test]
fn target_at_a_reused_address_does_not_run_the_request() {
    let site = plain_site();
    let other = &site.plain_servers[1];
    let mut entry = plain_server_entry(other, "ready");
    entry["Service"] = "shop".into();
    site.store
        .remove(&format!("servers/{}", site.plain_servers[0].id()));
    site.store.remove(&format!("servers/{}", other.id()));
    site.store.put("servers/p-gone", &entry);
    let gone: InstanceId = "p-gone".parse().expect("an identifier");
    let view = || site.daemons[0].state.context.targets.load();
    until("the list to change", || {
        view().target(&gone).is_some() && view().targets().count() == 1
    });

    let answer = call(&site, &SiteRequest::new("POST", "/post/x", "a1"));

    assert_eq!(answer.status, 503);
    assert_eq!(runs(&site), 0);
}

#[test]
fn caller_that_leaves_ends_the_work_at_the_target() {
    let site = plain_site();
    set_fault(&site, PlainFault::Silent);
    let mut stream =
        TcpStream::connect(site.daemons[0].address).expect("the daemon accepts connections");
    stream
        .write_all(&SiteRequest::new("POST", "/post/x", "a1").encode())
        .expect("the daemon reads the request");
    until("the request to run", || runs(&site) == 1);
    let lifecycle = &site.daemons[0].state.context.lifecycle;
    assert_eq!(lifecycle.in_progress(), 1);

    stream
        .shutdown(Shutdown::Both)
        .expect("the connection is open");

    until("the daemon to give the request up", || {
        lifecycle.in_progress() == 0
    });
}

/// During shutdown a daemon accepts no request that may outlive its process. A request accepted 7.6
/// s after SIGTERM was cut off when the process exited.
#[test]
fn draining_daemon_accepts_no_request_that_may_outlive_it() {
    // Arrange: a request in progress keeps the daemon from exiting as soon as callers have left.
    let mut site = plain_site();
    let daemon = site.daemons.remove(0);
    let address = daemon.address;
    let state = std::sync::Arc::clone(&daemon.state);
    set_fault(&site, PlainFault::Silent);
    let held = std::thread::spawn(move || {
        send_site_request(address, &SiteRequest::new("POST", "/post/x", "a1"))
    });
    until("the request to run", || runs(&site) == 1);
    set_fault(&site, PlainFault::None);
    let accepts = |time_left: Duration| {
        let context = &state.context;
        context.accepts_request(RetryRule::AtMostOnce, time_left)
    };
    assert!(accepts(Duration::from_secs(30)));

    // Act
    let drained = async_std::task::spawn(daemon.drain());
    until("the daemon to accept no more requests", || {
        !accepts(Duration::from_secs(3))
    });
    let answer = send_site_request(address, &SiteRequest::new("POST", "/post/x", "a2"));

    // Assert
    assert_eq!(answer.status, 503);
    assert!(answer.field("retry-after").is_some());
    assert_eq!(answer.field("connection"), Some("close"));
    assert_eq!(runs(&site), 1);
    async_std::task::block_on(drained);
    held.join().expect("the caller ends");
}

/// Time that a target takes in the test of a daemon that stops, and the pause of its caller between
/// two requests. The pause is shorter than the time between the decision to stop and the exit.
const STOP_WORK_TIME: Duration = Duration::from_millis(400);
const STOP_PAUSE: Duration = Duration::from_millis(100);

/// A daemon that had found no request in progress took another one before its process exited, and
/// cut it off.
#[test]
fn stopping_daemon_cuts_off_no_request() {
    // Arrange
    let mut site = plain_site();
    let daemon = site.daemons.remove(0);
    let (address, state) = (daemon.address, std::sync::Arc::clone(&daemon.state));
    let set_time = |server: &rig::PlainServer| server.set_work_time(STOP_WORK_TIME);
    site.plain_servers.iter().for_each(set_time);
    let has_stopped = std::sync::Arc::new(AtomicBool::new(false));
    let stop_flag = std::sync::Arc::clone(&has_stopped);
    let caller = std::thread::spawn(move || {
        let mut statuses = Vec::new();
        while !stop_flag.load(Ordering::Acquire) {
            let attempt = format!("a{}", statuses.len());
            let answer = send_site_request(address, &SiteRequest::new("POST", "/post/x", &attempt));
            statuses.push(answer.status);
            std::thread::sleep(STOP_PAUSE);
        }
        statuses
    });

    // Act
    async_std::task::block_on(daemon.drain());
    let cut_off = state.context.lifecycle.in_progress();
    has_stopped.store(true, Ordering::Release);

    // Assert
    let statuses = caller.join().expect("the caller ends");
    assert_eq!(cut_off, 0, "{statuses:?}");
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(
        statuses.iter().all(|status| [200, 503].contains(status)),
        "{statuses:?}"
    );
}
