//! Daemons that have lost the path to all targets, while callers, the store and the other daemons still
//! reach them: what arrives at them is served over daemons that reach targets.

#[path = "support/site.rs"]
mod site;

use arbutusmount::{InstanceId, TargetEntry};
use rig::{
    LinkState, ModelKnobs, PlainServer, SiteFleet, SiteRequest, SiteResponse, SiteSpec,
    send_site_request,
};
use site::{stream_call, until};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use test_case::test_case;

/// Requests that a test sends one after the other.
const REQUESTS: usize = 12;
/// Time between them.
const PAUSE: Duration = Duration::from_millis(40);
/// Time from the start of a stream until links are cut.
const BEGUN_TIME: Duration = Duration::from_millis(250);

/// Two failure domains with two daemons each, and plain servers.
fn plain_site() -> SiteFleet {
    start_site(4, 0)
}

/// Two failure domains with two daemons and a chain each.
fn model_site() -> SiteFleet {
    start_site(2, 2)
}

fn start_site(plain_servers: usize, models_per_domain: usize) -> SiteFleet {
    let site = SiteFleet::start(SiteSpec {
        daemons: 4,
        plain_servers,
        models_per_domain,
        domains: 2,
        is_linked: true,
        ..SiteSpec::default()
    });
    until("the daemons to know each other", || {
        let mut daemons = site.daemons.iter();
        daemons.all(|daemon| daemon.state.context.sound_peers().len() == 3)
    });
    site
}

fn cut(site: &SiteFleet, daemons: &[usize], state: LinkState) {
    for daemon in daemons {
        site.daemons[*daemon].links.set_state(state);
    }
}

/// Sends requests to the first daemon, one after the other.
fn send_all(site: &SiteFleet, method: &'static str, path: &str) -> Vec<SiteResponse> {
    let requests = (0..REQUESTS).map(|number| {
        let request = SiteRequest::new(method, path, &format!("{method}-{number}"));
        thread::sleep(PAUSE);
        send_site_request(site.daemons[0].address, &request)
    });
    requests.collect()
}

fn assert_all_served(answers: &[SiteResponse]) {
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses, vec![200; answers.len()]);
}

fn assert_whole(answer: &SiteResponse, events: u64) {
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.event_ids(), (0..events).collect::<Vec<u64>>());
}

/// Runs of the plain servers for one request.
fn runs_of(site: &SiteFleet, attempt: &str) -> usize {
    let runs = site.plain_servers.iter().flat_map(PlainServer::runs);
    runs.filter(|run| run.attempt_id == attempt).count()
}

/// A daemon that reached no target refused every request, although other daemons reached all of them.
#[test_case(LinkState::Silent, "GET", "/get/x"; "hanging links and requests that may be repeated")]
#[test_case(LinkState::Silent, "POST", "/post/x"; "hanging links and requests that may run once")]
#[test_case(LinkState::Reset, "GET", "/get/x"; "reset links and requests that may be repeated")]
#[test_case(LinkState::Reset, "POST", "/post/x"; "reset links and requests that may run once")]
#[test_case(LinkState::Refusing, "POST", "/post/x"; "refused connections and requests that may run once")]
fn requests_at_a_daemon_without_a_path_to_targets_are_served(
    state: LinkState,
    method: &'static str,
    path: &str,
) {
    // Arrange
    let site = plain_site();
    assert_all_served(&send_all(&site, method, path)[..1]);
    cut(&site, &[0], state);

    // Act
    let answers = send_all(&site, method, path);

    // Assert
    assert_all_served(&answers);
    for number in 0..REQUESTS {
        // Each number was sent before the cut as well.
        assert_eq!(runs_of(&site, &format!("{method}-{number}")), 2);
    }
}

/// The same for streams: new ones, with all events once and in order.
#[test_case(LinkState::Silent)]
#[test_case(LinkState::Reset)]
fn streams_at_a_daemon_without_a_path_to_targets_are_served(state: LinkState) {
    let site = model_site();
    cut(&site, &[0], state);

    for number in 0..REQUESTS {
        let answer =
            send_site_request(site.daemons[0].address, &stream_call(&format!("s{number}")));
        assert_whole(&answer, 20);
    }
}

/// A stream that has begun when the path is lost is resumed over another daemon. It was cut off.
#[test_case(LinkState::Silent)]
#[test_case(LinkState::Reset)]
fn stream_is_resumed_when_the_path_to_targets_is_lost(state: LinkState) {
    // Arrange
    let site = model_site();
    let knobs = ModelKnobs {
        events: 60,
        event_gap: Duration::from_millis(20),
        ..ModelKnobs::default()
    };
    for server in &site.model_servers {
        server.set_knobs(knobs.clone());
    }
    let address = site.daemons[0].address;

    // Act
    let caller = thread::spawn(move || send_site_request(address, &stream_call("s")));
    thread::sleep(BEGUN_TIME);
    cut(&site, &[0], state);

    // Assert
    assert_whole(&caller.join().expect("the caller ends"), 60);
}

/// All daemons of a failure domain at once: its requests are served by those of the other one.
#[test]
fn requests_are_served_when_a_whole_domain_has_no_path_to_targets() {
    let site = plain_site();
    cut(&site, &[0, 2], LinkState::Silent);

    let answers = send_all(&site, "POST", "/post/x");

    assert_all_served(&answers);
}

/// While no daemon reaches a target, requests are refused as not executed, with a time to return.
#[test_case(LinkState::Silent)]
#[test_case(LinkState::Reset)]
fn requests_are_refused_at_once_when_no_daemon_reaches_a_target(state: LinkState) {
    // Arrange
    let site = plain_site();
    cut(&site, &[0, 1, 2, 3], state);
    for daemon in &site.daemons {
        for number in 0..3 {
            send_site_request(
                daemon.address,
                &SiteRequest::new("POST", "/post/x", &format!("w{number}")),
            );
        }
    }

    // Act
    let answers = send_all(&site, "POST", "/post/x");

    // Assert
    for answer in answers {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.field("retry-after").is_some(), "{answer:?}");
        assert!(answer.elapsed < Duration::from_secs(1), "{answer:?}");
    }
}

/// The daemon's own blindness is not taken for the end of targets: none counts as lost at the other
/// daemons, no request as one that crashes targets, and once the path is back no target is passed over.
#[test_case(LinkState::Silent)]
#[test_case(LinkState::Reset)]
fn lost_path_is_not_taken_for_the_end_of_targets(state: LinkState) {
    // Arrange
    let site = plain_site();
    let addresses: Vec<SocketAddr> = [0, 2].map(|number| site.daemons[number].address).into();
    send_all(&site, "GET", "/get/x");

    // Act
    cut(&site, &[0, 2], state);
    let callers: Vec<_> = addresses
        .into_iter()
        .flat_map(|address| (0..8).map(move |number| (address, number)))
        .map(|(address, number)| {
            thread::spawn(move || {
                for turn in 0..10 {
                    let id = format!("c-{address}-{number}-{turn}");
                    send_site_request(address, &SiteRequest::new("GET", "/get/x", &id));
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let mut lost: BTreeSet<InstanceId> = BTreeSet::new();
    while callers.iter().any(|caller| !caller.is_finished()) {
        for daemon in [1, 3] {
            let view = site.daemons[daemon].state.context.targets.load();
            let targets = view.targets().filter(|target| target.stats.is_lost());
            lost.extend(targets.map(|target| target.id.clone()));
        }
        thread::sleep(PAUSE);
    }
    cut(&site, &[0, 2], LinkState::Open);

    // Assert
    assert_eq!(lost, BTreeSet::new());
    for daemon in &site.daemons {
        assert!(daemon.state.context.poison.is_empty());
    }
    let context = &site.daemons[0].state.context;
    until("the targets to be used again", || {
        let now = context.clock.now();
        let view = context.targets.load();
        let is_passed_over = |target: &&Arc<TargetEntry>| {
            target.stats.is_ejected(now) || target.stats.is_unreachable()
        };
        view.targets().find(is_passed_over).is_none()
    });
}

/// Sound servers that fall silent together for a second are no loss of the path: they still accept
/// connections.
#[test]
fn silence_of_all_servers_is_no_loss_of_the_path() {
    // Arrange
    let site = model_site();
    let silence = Duration::from_millis(1_100);
    for server in &site.model_servers {
        server.set_knobs(ModelKnobs {
            pause_at_event: Some((5, silence)),
            ..ModelKnobs::default()
        });
    }
    for server in &site.plain_servers {
        server.set_work_time(silence);
    }
    let address = site.daemons[0].address;

    // Act
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let request = match number % 2 {
                0 => stream_call(&format!("s{number}")),
                _ => SiteRequest::new("POST", "/post/x", &format!("p{number}")),
            };
            thread::spawn(move || send_site_request(address, &request))
        })
        .collect();
    let reach = &site.daemons[0].state.context.reach;
    while callers.iter().any(|caller| !caller.is_finished()) {
        assert!(!reach.is_lost());
        thread::sleep(PAUSE);
    }

    // Assert
    for caller in callers {
        let answer = caller.join().expect("the caller ends");
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    assert_eq!(reach.statement().version, 0);
}
