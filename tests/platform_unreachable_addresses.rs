//! Which daemons address responses name while some have lost the path to all targets.

#[path = "support/site.rs"]
mod site;

use arbutusmount::AddressReply;
use rig::{LinkState, SiteFleet, SiteRequest, SiteSpec, send_site_request};
use site::until;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time from the loss of the path until no response names the daemon any more.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Time between two requests that arrive at each daemon.
const PAUSE: Duration = Duration::from_millis(50);

fn plain_site() -> SiteFleet {
    SiteFleet::start(SiteSpec {
        daemons: 4,
        plain_servers: 4,
        models_per_domain: 0,
        domains: 2,
        is_linked: true,
        ..SiteSpec::default()
    })
}

fn addresses(site: &SiteFleet, daemons: &[usize]) -> Vec<SocketAddr> {
    let daemons = daemons.iter();
    daemons
        .map(|number| site.daemons[*number].address)
        .collect()
}

/// Addresses that all daemons name to callers of a failure domain.
fn named(site: &SiteFleet, domain: &str) -> Vec<SocketAddr> {
    let responses = site.daemons.iter().filter_map(|daemon| {
        let response = AddressReply::for_caller(&daemon.state.context, Some(domain));
        response.map(|response| response.addresses)
    });
    let mut named: Vec<SocketAddr> = responses.flatten().collect();
    named.sort();
    named.dedup();
    named
}

/// Cuts daemons off and sends requests to all daemons for [`NOTICE_TIME`].
fn cut_under_traffic(site: &SiteFleet, daemons: &[usize], state: LinkState) {
    for daemon in daemons {
        site.daemons[*daemon].links.set_state(state);
    }
    let started = Instant::now();
    while started.elapsed() < NOTICE_TIME {
        for address in addresses(site, &[0, 1, 2, 3]) {
            let id = format!("t{:?}", started.elapsed());
            // In a thread of its own: a request may take its whole time.
            thread::spawn(move || {
                send_site_request(address, &SiteRequest::new("POST", "/post/x", &id));
            });
        }
        thread::sleep(PAUSE);
    }
}

/// Responses went on naming a daemon that reached no target, its own included.
#[test_case(&[0], LinkState::Silent; "one daemon with hanging links")]
#[test_case(&[0], LinkState::Reset; "one daemon with reset links")]
#[test_case(&[0], LinkState::Refusing; "one daemon whose new connections are refused")]
#[test_case(&[0, 2], LinkState::Silent; "a whole domain with hanging links")]
#[test_case(&[0, 2], LinkState::Reset; "a whole domain with reset links")]
fn daemon_without_a_path_to_targets_is_not_named(daemons: &[usize], state: LinkState) {
    let site = plain_site();

    cut_under_traffic(&site, daemons, state);

    let cut = addresses(&site, daemons);
    for domain in ["d0", "d1"] {
        let named = named(&site, domain);
        assert!(!named.is_empty());
        assert!(
            named.iter().all(|address| !cut.contains(address)),
            "{named:?}"
        );
    }
}

/// Once the path is back, the daemon is named again.
#[test]
fn daemon_is_named_again_when_its_path_is_back() {
    let site = plain_site();
    cut_under_traffic(&site, &[0], LinkState::Silent);
    let cut = addresses(&site, &[0]);
    assert!(!named(&site, "d0").contains(&cut[0]));

    site.daemons[0].links.set_state(LinkState::Open);

    until("the daemon to be named by all", || {
        site.daemons.iter().all(|daemon| {
            let response = AddressReply::for_caller(&daemon.state.context, Some("d0"));
            response.is_some_and(|response| response.addresses.contains(&cut[0]))
        })
    });
}

/// If no daemon reaches a target, all are named: a caller is better off with any of them than with none.
#[test]
fn all_daemons_are_named_when_none_reaches_a_target() {
    let site = plain_site();

    cut_under_traffic(&site, &[0, 1, 2, 3], LinkState::Reset);

    assert_eq!(named(&site, "d0"), {
        let mut own = addresses(&site, &[0, 2]);
        own.sort();
        own
    });
}

/// Number of the daemon that leads.
fn leader(site: &SiteFleet) -> Option<usize> {
    site.daemons.iter().position(|daemon| {
        let now = daemon.state.context.clock.now();
        daemon.state.leads(now)
    })
}

/// A leader without a path to targets kept the lead, although its orders reached no server.
#[test]
fn leader_without_a_path_to_targets_gives_the_lead_to_a_daemon_with_one() {
    let site = plain_site();
    until("a leader", || leader(&site).is_some());
    let first = leader(&site).expect("a daemon leads");

    cut_under_traffic(&site, &[first], LinkState::Silent);

    until("another leader", || {
        leader(&site).is_some_and(|number| number != first)
    });
}
