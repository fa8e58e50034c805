//! Number of servers that one stream reaches, when servers leave the list or end meanwhile.

#[path = "support/site.rs"]
mod site;

use arbutusmount::InstanceId;
use rig::{
    CutEnd, CutScope, ModelKnobs, ModelServer, SiteFleet, SiteResponse, SiteSpec, StreamCut,
    event_text, send_site_request,
};
use site::{stream_call, until};
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

/// Servers on which the route of streams allows a request to run.
const MAX_TARGETS: usize = 2;
/// Events of an answer.
const EVENTS: u64 = 40;
/// Event after which a stream that its first server began may be reset.
const FIRST_CUT: u64 = 5;
/// Event after which a stream that was moved is reset, more than a second later.
const SECOND_CUT: u64 = 35;
/// Time before each event.
const EVENT_GAP: Duration = Duration::from_millis(40);
/// Attempt identifier of the stream.
const ATTEMPT: &str = "a1";

/// A site with three chains, of which every head resets the streams of these scopes.
fn site_with_cuts(cuts: &[StreamCut]) -> SiteFleet {
    let site = SiteFleet::start(SiteSpec {
        plain_servers: 0,
        domains: 3,
        ..SiteSpec::default()
    });
    let knobs = ModelKnobs {
        event_gap: EVENT_GAP,
        events: EVENTS,
        cuts: cuts.to_vec(),
        ..ModelKnobs::default()
    };
    for server in &site.model_servers {
        server.set_knobs(knobs.clone());
    }
    site
}

/// Resets a stream after `event`; the server goes on serving.
fn reset(scope: CutScope, event: u64) -> StreamCut {
    StreamCut {
        scope,
        event,
        bytes: event_text(event).len(),
        end: CutEnd::Reset,
    }
}

fn start_stream(site: &SiteFleet) -> JoinHandle<SiteResponse> {
    let daemon = site.daemons[0].address;
    spawn(move || send_site_request(daemon, &stream_call(ATTEMPT)))
}

/// Servers that have run the stream.
fn servers_reached(site: &SiteFleet) -> Vec<&ModelServer> {
    let has_run = |server: &&ModelServer| server.runs().iter().any(|run| run.attempt_id == ATTEMPT);
    site.model_servers.iter().filter(has_run).collect()
}

/// Some servers never announce that they leave: their entry is removed and they go on serving. A
/// request that one of them had run was sent to one server more than its route allows.
#[test]
fn stream_reaches_no_further_server_because_one_left_the_list() {
    // Arrange
    let cuts = [
        reset(CutScope::Started, FIRST_CUT),
        reset(CutScope::Resumed, SECOND_CUT),
    ];
    let site = site_with_cuts(&cuts);
    let caller = start_stream(&site);
    until("the first server to run the stream", || {
        servers_reached(&site).len() == 1
    });
    let first = servers_reached(&site)[0];
    let id: InstanceId = first.id().parse().expect("the name is valid");
    until("the stream to be moved", || {
        servers_reached(&site).len() == MAX_TARGETS
    });

    // Act
    site.store.remove(&format!("servers/{id}"));
    let targets = &site.daemons[0].state.context.targets;
    until("the first server to have left the list", || {
        targets.load().target(&id).is_none()
    });
    assert!(!caller.is_finished(), "the stream goes on meanwhile");
    let answer = caller.join().expect("the caller ends");

    // Assert
    assert_eq!(servers_reached(&site).len(), MAX_TARGETS, "{answer:?}");
    assert!(!answer.complete, "{answer:?}");
}

/// A server that has ended under a stream no longer runs it, so the stream may be moved once more.
#[test]
fn stream_reaches_a_further_server_when_one_has_ended() {
    // Arrange
    let site = site_with_cuts(&[reset(CutScope::All, SECOND_CUT)]);
    let caller = start_stream(&site);
    until("the first server to run the stream", || {
        servers_reached(&site).len() == 1
    });

    // Act
    site.crashes.end(servers_reached(&site)[0].address());
    let answer = caller.join().expect("the caller ends");

    // Assert
    assert_eq!(servers_reached(&site).len(), MAX_TARGETS + 1, "{answer:?}");
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.event_ids(), (0..EVENTS).collect::<Vec<u64>>());
}
