//! Daemons that learn of changes of the store from other daemons.

#[path = "support/site.rs"]
mod site;

use arbutusmount::{DomainId, InstanceId, PresenceRow, ReadingRole, reading_role};
use async_std::task;
use futures_lite::future::block_on;
use rig::{SiteDaemon, SiteFleet, SiteRequest, SiteSpec, StoreFault, sample_config};
use rig::{send_site_request, wait_until};
use serde_json::{Value, json};
use site::until;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Daemons of the one failure domain: three readers and five followers.
const DAEMONS: usize = 8;
/// Shortest bound on the time until a change of the configuration is in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// Time after which the lease of a daemon that does not renew it has run out.
const LEASE_TIME: Duration = Duration::from_millis(2_500);
/// Longest wait for feeds to begin.
const FEED_TIMEOUT: Duration = Duration::from_secs(20);

fn names() -> Vec<String> {
    (0..DAEMONS)
        .map(|number| format!("router-{number}"))
        .collect()
}

fn row(name: &str, peers: SocketAddr) -> PresenceRow {
    PresenceRow {
        instance: name.parse().expect("a name"),
        domain: domain(),
        callers: peers,
        peers,
        relay: None,
    }
}

fn domain() -> DomainId {
    "d0".parse().expect("a domain")
}

fn unused_address() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

/// True for the daemons that read the store while all of `names` are listed.
fn is_reader(names: &[String], name: &str) -> bool {
    let rows: Vec<PresenceRow> = names
        .iter()
        .map(|name| row(name, unused_address()))
        .collect();
    let instance: InstanceId = name.parse().expect("a name");
    reading_role(rows.iter(), &instance, &domain()) == ReadingRole::Reader
}

/// Site whose readers use address 1 of the store, so that it can fail for them alone.
fn fed_site(saves_calls: bool) -> SiteFleet {
    let mut site = SiteFleet::without_daemons(SiteSpec {
        models_per_domain: 0,
        saves_calls,
        ..SiteSpec::default()
    });
    let names = names();
    for name in &names {
        let address = usize::from(is_reader(&names, name));
        let daemon = site.start_daemon(name, "d0", address);
        site.daemons.push(daemon);
    }
    wait_fed(&site);
    site
}

fn followers(site: &SiteFleet) -> Vec<&SiteDaemon> {
    let names = names();
    let numbered = site.daemons.iter().zip(&names);
    numbered
        .filter(|(_, name)| !is_reader(&names, name))
        .map(|(daemon, _)| daemon)
        .collect()
}

fn wait_fed(site: &SiteFleet) {
    // A follower that leads reads the store itself.
    let is_settled =
        |daemon: &&SiteDaemon| daemon.state.is_fed() || daemon.state.leads(now(daemon));
    let wait = wait_until("the followers to be fed", FEED_TIMEOUT, || async {
        followers(site).iter().all(is_settled)
    });
    task::block_on(wait);
}

fn now(daemon: &SiteDaemon) -> arbutusmount::MonoTime {
    daemon.state.context.clock.now()
}

fn version(daemon: &SiteDaemon) -> u64 {
    let catalog = daemon.state.context.catalog.load();
    catalog.map_or(0, |catalog| catalog.version)
}

/// Writes a configuration and returns the time until these daemons have it in force.
fn time_to_adopt(site: &SiteFleet, daemons: &[&SiteDaemon], wanted: u64) -> Duration {
    let started = Instant::now();
    site.store.put("op/config", &sample_config(wanted));
    until("the configuration to be in force", || {
        daemons.iter().all(|daemon| version(daemon) == wanted)
    });
    started.elapsed()
}

/// Guards against a store that is called by each daemon at each change.
#[test]
fn change_costs_one_watch_for_each_reader() {
    let site = fed_site(false);
    let all: Vec<&SiteDaemon> = site.daemons.iter().collect();
    let before = site.store.watches();

    for wanted in 2..12 {
        time_to_adopt(&site, &all, wanted);
    }

    // Three readers, a leader that may read beside them, and watches whose time is over.
    let watches = site.store.watches() - before;
    assert!(watches <= 10 * 4 + 12, "{watches} watches for ten changes");
}

/// The store turns the readers away, or cuts them off, and serves the others: these are in touch and have
/// to follow the configuration within its bound.
#[test_case(StoreFault::Busy, false)]
#[test_case(StoreFault::Reset, false)]
#[test_case(StoreFault::RepliesLost, false)]
#[test_case(StoreFault::Busy, true; "busy with readers that stand by")]
#[test_case(StoreFault::Reset, true; "reset with readers that stand by")]
#[test_case(StoreFault::RepliesLost, true; "replies lost with readers that stand by")]
fn followers_of_readers_that_lose_the_store_keep_the_bound(fault: StoreFault, saves_calls: bool) {
    let site = fed_site(saves_calls);
    site.store.set_fault(1, fault);

    let followers = followers(&site);
    let mut slowest = Duration::ZERO;
    for wanted in 2..12 {
        slowest = slowest.max(time_to_adopt(&site, &followers, wanted));
        thread::sleep(Duration::from_millis(150));
    }

    assert!(slowest < CONFIG_LIMIT, "{slowest:?}");
}

/// A key is taken away just when the readers lose the store.
#[test]
fn key_taken_away_while_the_readers_are_cut_off_stops_working() {
    let site = fed_site(false);
    let followers = followers(&site);
    site.store.set_fault(1, StoreFault::RepliesLost);
    let mut config = sample_config(2);
    config["Tenants"] = json!([{"Name": "franchise", "ApiKeys": ["key-2"], "Priority": 1}]);

    site.store.put("op/config", &config);
    thread::sleep(CONFIG_LIMIT);

    for (number, daemon) in followers.iter().enumerate() {
        let request = SiteRequest::new("GET", "/get/x", &format!("a{number}"));
        assert_eq!(send_site_request(daemon.address, &request).status, 401);
    }
}

/// Guards against daemons that give their feed up when the store turns them away for so long that their
/// lease runs out: the feed is then all that they have.
#[test]
fn followers_that_lose_the_store_still_learn_of_changes() {
    let site = fed_site(false);
    site.store.set_fault(0, StoreFault::Reset);
    thread::sleep(LEASE_TIME + Duration::from_secs(1));

    let followers = followers(&site);
    let mut slowest = Duration::ZERO;
    for wanted in 2..5 {
        slowest = slowest.max(time_to_adopt(&site, &followers, wanted));
    }

    assert!(slowest < CONFIG_LIMIT, "{slowest:?}");
}

/// After the readers have the store again, feeds resume and nobody lists everything again and again.
#[test_case(false; "all readers watch")]
#[test_case(true; "one reader watches")]
fn feeds_resume_after_an_outage_of_the_store(saves_calls: bool) {
    let site = fed_site(saves_calls);
    for index in [0, 1] {
        site.store.set_fault(index, StoreFault::Busy);
    }
    thread::sleep(Duration::from_secs(2));
    for index in [0, 1] {
        site.store.set_fault(index, StoreFault::None);
    }

    wait_fed(&site);
    let all: Vec<&SiteDaemon> = site.daemons.iter().collect();
    assert!(time_to_adopt(&site, &all, 2) < CONFIG_LIMIT);
}

/// Readers are shut down one after the other while the configuration changes.
#[test_case(false; "all readers watch")]
#[test_case(true; "one reader watches")]
fn readers_that_shut_down_are_replaced(saves_calls: bool) {
    let mut site = fed_site(saves_calls);
    let names = names();
    let mut wanted = 1;
    let numbers = (0..DAEMONS).rev();
    let leaving: Vec<usize> = numbers
        .filter(|number| is_reader(&names, &names[*number]))
        .collect();
    for number in leaving {
        let reader = site.daemons.remove(number);
        block_on(reader.drain());
        wanted += 1;
        let all: Vec<&SiteDaemon> = site.daemons.iter().collect();
        assert!(time_to_adopt(&site, &all, wanted) < CONFIG_LIMIT);
    }
}

/// What stand-ins of other daemons do with a request for a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerManner {
    /// Answers with an empty snapshot and closes, like a daemon that serves no feeds.
    NoFeeds,
    /// Sends bytes that are no message.
    Garbage,
    /// Accepts the connection and sends nothing.
    Silent,
}

fn start_peer(manner: PeerManner) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut kept = Vec::new();
        for stream in listener.incoming().flatten() {
            let mut stream = stream;
            let _request = stream.read(&mut [0; 1_024]);
            match manner {
                PeerManner::NoFeeds => drop(stream.write_all(&[0, 0, 0, 0])),
                PeerManner::Garbage => drop(stream.write_all(&[0, 0, 0, 4, 255, 255, 255, 255])),
                PeerManner::Silent => kept.push(stream),
            }
        }
    });
    address
}

/// Names of three daemons that are chosen as readers before `name`.
fn readers_before(name: &str) -> Vec<String> {
    let mut all: Vec<String> = (0..40).map(|number| format!("old-{number}")).collect();
    all.push(name.to_owned());
    let readers: Vec<String> = all
        .iter()
        .filter(|reader| is_reader(&all, reader))
        .cloned()
        .collect();
    assert!(!readers.contains(&name.to_owned()), "{readers:?}");
    readers
}

/// A daemon of an earlier version, or a broken one, is chosen as a reader: changes still arrive.
#[test_case(PeerManner::NoFeeds)]
#[test_case(PeerManner::Garbage)]
#[test_case(PeerManner::Silent)]
fn changes_arrive_although_no_listed_reader_serves_a_feed(manner: PeerManner) {
    let site = SiteFleet::without_daemons(SiteSpec {
        models_per_domain: 0,
        ..SiteSpec::default()
    });
    let name = "router-new";
    for peer in readers_before(name) {
        let row = row(&peer, start_peer(manner));
        let value: Value = serde_json::to_value(&row).expect("rows are JSON");
        site.store
            .put(&format!("arbutusmount/daemon/{peer}"), &value);
    }
    let daemon = site.start_daemon(name, "d0", 0);
    until("the daemon to be a follower", || {
        let role = daemon.state.reading_role();
        matches!(role, ReadingRole::Follower(_)) || daemon.state.leads(now(&daemon))
    });

    let mut slowest = Duration::ZERO;
    for wanted in 2..10 {
        slowest = slowest.max(time_to_adopt(&site, &[&daemon], wanted));
        thread::sleep(Duration::from_millis(200));
    }

    assert!(slowest < CONFIG_LIMIT, "{slowest:?}");
}
