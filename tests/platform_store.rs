//! Daemons and the platform's store: outages, compacted history, malformed values, expired leases
//! and leader election.

#[path = "support/site.rs"]
mod site;

use arbutusmount::{CrashState, CrashedRun, InstanceId, OutboxRow, PoisonEntry, PoisonFingerprint};
use async_std::task;
use rig::{
    SiteFleet, SiteRequest, SiteSpec, StoreFault, plain_server_entry, sample_config,
    send_site_request,
};
use site::{call, plain_site, until};
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn daemon_without_a_configuration_says_503() {
    let spec = SiteSpec {
        models_per_domain: 0,
        ..SiteSpec::default()
    };
    let site = SiteFleet::without_daemons(spec);
    site.store.set_fault(1, StoreFault::Busy);
    let daemon = site.start_daemon("router-1", "d0", 1);
    let body = vec![b'x'; 2_000];

    let answer = send_site_request(
        daemon.address,
        &SiteRequest {
            body,
            ..SiteRequest::new("POST", "/post/x", "a")
        },
    );

    assert_eq!(answer.status, 503);
    assert!(answer.field("retry-after").is_some());
    site.store.set_fault(1, StoreFault::None);
    until("the daemon to be ready", || daemon.state.is_serving());
}

#[test_case(StoreFault::Busy)]
#[test_case(StoreFault::Reset)]
fn service_goes_on_without_the_store(fault: StoreFault) {
    let site = plain_site();
    site.store.set_fault(0, fault);

    for number in 0..5 {
        let answer = call(
            &site,
            &SiteRequest::new("GET", "/get/x", &format!("a{number}")),
        );
        assert_eq!(answer.status, 200);
    }
}

/// Guards against daemons that refuse all requests because they were restarted during a store
/// outage, as in shieldwear-bkk inc-95f1.
#[test_case(StoreFault::Busy)]
#[test_case(StoreFault::Reset)]
#[test_case(StoreFault::RepliesLost)]
fn daemon_started_in_a_store_outage_serves_by_a_peers_snapshot(fault: StoreFault) {
    let site = plain_site();
    until("the daemon to be in the list of daemons", || {
        !site.daemons[0].state.context.presence.rows().is_empty()
    });
    site.store.set_fault(1, fault);

    let late = site.start_daemon("router-late", "d0", 1);
    until("the late daemon to be ready", || late.state.is_serving());
    let answer = send_site_request(late.address, &SiteRequest::new("GET", "/get/x", "a"));

    assert_eq!(answer.status, 200);
    until("the late daemon to know the others", || {
        !late.state.context.presence.rows().is_empty()
    });
    assert!(
        late.state.synced_since().is_none(),
        "a snapshot of a peer must not count as the store's list"
    );
}

/// A snapshot of a peer is replaced by the state in the store.
#[test]
fn store_replaces_a_peers_snapshot() {
    let site = plain_site();
    site.store.set_fault(1, StoreFault::Busy);
    let late = site.start_daemon("router-late", "d0", 1);
    until("the late daemon to be ready", || late.state.is_serving());

    let gone = site.plain_servers[0].id();
    site.store.put("op/config", &sample_config(2));
    site.store.remove(&format!("servers/{gone}"));
    site.store.set_fault(1, StoreFault::None);

    let id: InstanceId = gone.parse().expect("an identifier");
    until("the state in the store to be in force", || {
        let context = &late.state.context;
        let version = context.catalog.load().map_or(0, |catalog| catalog.version);
        version == 2 && context.targets.load().target(&id).is_none()
    });
}

fn version(site: &SiteFleet) -> u64 {
    site.daemons[0]
        .state
        .context
        .catalog
        .load()
        .map_or(0, |catalog| catalog.version)
}

/// The watch misses a change and is cut, and the history of the change is compacted.
#[test]
fn change_in_compacted_history_is_applied() {
    let site = plain_site();
    site.store.mute_watches();
    site.store.put("op/config", &sample_config(5));

    site.store.compact();

    until("the version to be in force", || version(&site) == 5);
}

#[test]
fn older_version_is_never_put_in_force() {
    let site = plain_site();
    site.store.put("op/config", &sample_config(5));
    until("the version to be in force", || version(&site) == 5);

    site.store.put("op/config", &sample_config(4));
    site.store.put("op/config", &sample_config(6));

    until("the newest version to be in force", || version(&site) == 6);
}

#[test]
fn unusable_configuration_and_entries_change_nothing() {
    let site = plain_site();
    site.store
        .put("op/config", &serde_json::json!({"Version": "seven"}));
    site.store.put(
        "servers/odd",
        &serde_json::json!({"Service": "shop", "Address": "nowhere"}),
    );
    site.store.put("op/config", &sample_config(2));
    until("the next version to be in force", || version(&site) == 2);

    let answer = call(&site, &SiteRequest::new("GET", "/get/x", "a1"));

    assert_eq!(answer.status, 200);
    let odd: InstanceId = "odd".parse().expect("an identifier");
    assert!(
        site.daemons[0]
            .state
            .context
            .targets
            .load()
            .target(&odd)
            .is_none()
    );
}

#[test]
fn leaving_target_gets_no_new_request() {
    let site = plain_site();
    let leaving = &site.plain_servers[0];
    site.store.put(
        &format!("servers/{}", leaving.id()),
        &plain_server_entry(leaving, "draining"),
    );
    let id: InstanceId = leaving.id().parse().expect("an identifier");
    let is_leaving = || {
        let view = site.daemons[0].state.context.targets.load();
        view.target(&id).is_some_and(|target| !target.is_ready())
    };
    until("the list to change", is_leaving);
    let before = leaving.runs().len();

    for number in 0..6 {
        call(
            &site,
            &SiteRequest::new("GET", "/get/x", &format!("a{number}")),
        );
    }

    assert_eq!(leaving.runs().len(), before);
}

/// Leases expire during a store outage. After it, the daemons must be in the list of daemons again.
#[test]
fn presence_that_lapsed_in_an_outage_is_written_again() {
    let site = SiteFleet::start(SiteSpec {
        daemons: 2,
        models_per_domain: 0,
        ..SiteSpec::default()
    });
    let known = || {
        site.daemons
            .iter()
            .all(|d| d.state.context.presence.rows().len() == 2)
    };
    until("both daemons to be known", known);
    site.store.set_fault(0, StoreFault::Busy);
    let failed = |daemon: &rig::SiteDaemon| {
        let calls = &daemon.state.context.metrics.store_calls;
        calls.with_label_values(&["presence", "failed"]).get()
    };
    until("both to notice the outage", || {
        site.daemons.iter().all(|d| failed(d) > 0)
    });
    site.store.expire_all_leases();
    site.store.set_fault(0, StoreFault::None);

    until("both to be in the store", || {
        (0..2).all(|n| {
            site.store
                .value(&format!("arbutusmount/daemon/router-{n}"))
                .is_some()
        })
    });

    let rows: Vec<_> = site
        .daemons
        .iter()
        .map(|d| d.state.context.presence.rows())
        .collect();
    assert!(rows.iter().all(|rows| rows.len() == 2), "{rows:?}");
}

#[test]
fn another_daemon_leads_when_the_leader_is_gone() {
    let spec = SiteSpec {
        daemons: 2,
        ..SiteSpec::default()
    };
    let mut site = SiteFleet::start(spec);
    let leader = || site.store.value("arbutusmount/leader");
    until("a leader", || leader().is_some());
    let first = leader().expect("a leader");
    let index = usize::from(first != b"router-0");
    let gone = site.daemons.remove(index);

    let drained = task::spawn(gone.drain());

    until("another leader", || {
        site.store
            .value("arbutusmount/leader")
            .is_some_and(|l| l != first)
    });
    task::block_on(drained);
}

#[test]
fn reloaded_settings_change_bounds_and_name_what_needs_a_restart() {
    let site = plain_site();
    let context = &site.daemons[0].state.context;
    let mut settings = context.settings.clone();
    settings.bounds.grace_s = 3.0;

    let whole = context.reload(&settings);
    settings.listen.callers = "127.0.0.1:1".parse().expect("an address");
    let partly = context.reload(&settings);

    assert_eq!((whole, partly), (true, false));
    assert_eq!(context.bounds().grace(), Duration::from_secs(3));
}

/// Pattern: a whole fleet starts, and the answers to its first lists share the store's link. Guards against
/// lists that are cut off and begun anew, so that daemons have no configuration for seconds.
#[test]
fn first_list_that_takes_long_is_not_cut_off() {
    let spec = SiteSpec {
        models_per_domain: 0,
        ..SiteSpec::default()
    };
    let site = SiteFleet::without_daemons(spec);
    let delay = Duration::from_millis(1_300);
    site.store.set_fault(1, StoreFault::SlowLists(delay));
    let started = Instant::now();

    let daemon = site.start_daemon("router-1", "d0", 1);
    until("the daemon to be ready", || daemon.state.is_serving());

    assert!(started.elapsed() < delay * 2, "{:?}", started.elapsed());
}

/// Guards against refusals of requests that arrive at a daemon a moment before its configuration.
#[test]
fn request_waits_for_a_configuration_that_is_on_its_way() {
    let spec = SiteSpec {
        models_per_domain: 0,
        ..SiteSpec::default()
    };
    let site = SiteFleet::without_daemons(spec);
    let delay = Duration::from_millis(150);
    site.store.set_fault(1, StoreFault::SlowLists(delay));
    let daemon = site.start_daemon("router-1", "d0", 1);
    assert!(!daemon.state.is_serving());

    let answer = send_site_request(daemon.address, &SiteRequest::new("GET", "/get/x", "a"));

    // The targets may not be known yet.
    assert!(daemon.state.context.catalog.load().is_some());
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(!body.contains("no_configuration"), "{body}");
}

/// Guards against daemons that keep writing while the store is away: each that knew of crashes tried every
/// 0.4 s, and each that took the lead to be free every 0.2 s.
#[test]
fn writes_become_rarer_while_the_store_is_away() {
    let site = plain_site();
    let state = &site.daemons[0].state;
    let context = &state.context;
    until("the daemon's entry", || state.is_serving());
    let now = context.clock.now();
    let runs = [CrashedRun(1), CrashedRun(2)];
    let fingerprint = PoisonFingerprint(7);
    let until_time = now.after(Duration::from_secs(60));
    let entry = PoisonEntry::new(runs, CrashState::Counted, until_time);
    context.poison.merge(fingerprint, &entry, now);
    site.store.set_fault(0, StoreFault::Busy);
    let commits = context
        .metrics
        .store_requests
        .with_label_values(&["commit"]);
    let before = commits.get();

    for run in runs {
        let state = CrashState::Counted;
        context.outbox.add(
            OutboxRow {
                fingerprint,
                run,
                state,
            },
            now,
        );
    }
    std::thread::sleep(Duration::from_secs(4));

    let made = commits.get() - before;
    // At most five for the crashes, and a campaign every 0.8 s.
    assert!((1..=11).contains(&made), "{made} calls");
}
