//! Requests that a daemon without a path to targets passes on to another one.

#[path = "support/site.rs"]
mod site;

use arbutusmount::PeerDispatch;
use rig::{
    ModelKnobs, PLAIN_BODY, PlainRun, PlainServer, SiteFleet, SiteRequest, leave_site_request,
    read_site_response, send_site_request,
};
use site::{site_without_a_path, stream_call, until};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use test_case::test_case;

/// Time after which a caller leaves, and a daemon drains.
const BEGUN_TIME: Duration = Duration::from_millis(250);

fn run_of(site: &SiteFleet, attempt: &str) -> Vec<PlainRun> {
    let runs = site.plain_servers.iter().flat_map(PlainServer::runs);
    runs.filter(|run| run.attempt_id == attempt).collect()
}

fn field<'a>(run: &'a PlainRun, name: &str) -> Option<&'a str> {
    let mut fields = run.fields.iter();
    let found = fields.find(|(found, _)| found.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// The server sees the caller's request: identity, body, query and team, but neither the key nor what
/// daemons tell each other. The time left is the rest of the caller's.
#[test]
fn passed_on_request_reaches_the_server_as_the_caller_sent_it() {
    // Arrange
    let site = site_without_a_path(0);
    let request = SiteRequest {
        body: b"two bays".to_vec(),
        fields: vec![("X-Color", "green".to_owned())],
        ..SiteRequest::new("POST", "/post/x?bay=2", "a1")
    };

    // Act
    let answer = send_site_request(site.daemons[0].address, &request);

    // Assert
    assert_eq!((answer.status, &*answer.body), (200, PLAIN_BODY));
    let runs = run_of(&site, "a1");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, "/post/x?bay=2");
    assert_eq!(runs[0].body, b"two bays");
    assert_eq!(field(&runs[0], "x-color"), Some("green"));
    assert_eq!(field(&runs[0], "x-tenant"), Some("franchise"));
    assert_eq!(field(&runs[0], "authorization"), None);
    assert_eq!(field(&runs[0], "arbutusmount-peer"), None);
    let time_left: u64 = field(&runs[0], "x-deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("the server is told the time left");
    assert!((2_000..=3_000).contains(&time_left), "{time_left} ms");
}

/// A caller that leaves ends its request at the other daemon as well.
#[test]
fn caller_that_leaves_ends_the_request_at_the_other_daemon() {
    let site = site_without_a_path(2);
    let knobs = ModelKnobs {
        events: 400,
        event_gap: Duration::from_millis(20),
        ..ModelKnobs::default()
    };
    for server in &site.model_servers {
        server.set_knobs(knobs.clone());
    }
    let lifecycle = &site.daemons[1].state.context.lifecycle;

    leave_site_request(site.daemons[0].address, &stream_call("s1"), BEGUN_TIME);

    until("the other daemon to be idle", || {
        lifecycle.in_progress() == 0
    });
    let runs: usize = site
        .model_servers
        .iter()
        .map(|server| server.runs().len())
        .sum();
    assert_eq!(runs, 1);
}

/// A daemon that drains while it serves a stream for another one serves it to its end.
#[test]
fn passed_on_stream_survives_the_drain_of_the_other_daemon() {
    // Arrange
    let mut site = site_without_a_path(2);
    let knobs = ModelKnobs {
        events: 80,
        event_gap: Duration::from_millis(20),
        ..ModelKnobs::default()
    };
    for server in &site.model_servers {
        server.set_knobs(knobs.clone());
    }
    let address = site.daemons[0].address;

    // Act
    let caller = thread::spawn(move || send_site_request(address, &stream_call("s1")));
    thread::sleep(BEGUN_TIME);
    let other = site.daemons.remove(1);
    async_std::task::block_on(other.drain());

    // Assert
    let answer = caller.join().expect("the caller ends");
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.event_ids(), (0..80).collect::<Vec<u64>>());
}

/// Only listed daemons may use the address for other daemons.
#[test_case(None; "without a name")]
#[test_case(Some("router-0;0123456789abcdef0123456789abcdef;3000;0;"); "with a token that is not the daemon's")]
#[test_case(Some("router-9;;3000;0;"); "as a daemon that is not listed")]
#[test_case(Some("router-0;;3000;0;"); "with an empty token")]
#[test_case(Some("nonsense"); "with nonsense")]
fn stranger_is_refused_on_the_address_for_other_daemons(name: Option<&str>) {
    // Arrange
    let site = site_without_a_path(0);
    let listen = &site.daemons[1].state.context.settings.listen;
    let address: SocketAddr = listen
        .relay
        .expect("daemons of a site have such an address");
    let mut request = SiteRequest::new("POST", "/post/x", "a1");
    let names = name.map(|name| ("Arbutusmount-Peer", name.to_owned()));
    request.fields.extend(names);

    // Act
    let mut stream = TcpStream::connect(address).expect("the daemon accepts connections");
    stream
        .write_all(&request.encode())
        .expect("the daemon reads");
    let answer = read_site_response(&mut stream);

    // Assert
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(
        answer.field("arbutusmount-local-reply"),
        Some("unknown_peer")
    );
    assert!(run_of(&site, "a1").is_empty());
}

/// A caller that uses the field of daemons is still a caller: its key is checked.
#[test]
fn caller_cannot_pose_as_a_daemon() {
    let site = site_without_a_path(0);
    let token = &site.daemons[0].state.context.relay_token;
    let request = SiteRequest {
        key: "",
        fields: vec![("Arbutusmount-Peer", format!("router-0;{token};3000;0;"))],
        ..SiteRequest::new("POST", "/post/x", "a1")
    };

    let answer = send_site_request(site.daemons[1].address, &request);

    assert_eq!(answer.status, 401);
    assert!(run_of(&site, "a1").is_empty());
}

#[test_case("router-1;00ff;2500;1;17")]
#[test_case("router-1;00ff;0;0;")]
fn dispatch_to_a_peer_is_read_as_it_was_written(text: &str) {
    let dispatch: PeerDispatch = text.parse().expect("the text is valid");
    assert_eq!(dispatch.to_string(), text);
}

#[test_case(""; "empty")]
#[test_case("router-1;00ff;2500;1"; "a part is missing")]
#[test_case("router-1;00ff;2500;1;17;3"; "a part too many")]
#[test_case("router-1;00ff;-1;1;17"; "negative time")]
#[test_case("router-1;00ff;99999999999999999999;1;17"; "time out of range")]
#[test_case("router-1;00ff;2500;x;17"; "executions are no number")]
#[test_case("rou ter;00ff;2500;1;17"; "malformed name")]
fn malformed_dispatch_to_a_peer_is_not_read(text: &str) {
    assert_eq!(text.parse::<PeerDispatch>().ok(), None);
}
