//! Daemons and a store that comes back from an older copy of itself: revisions and leases are given
//! out again, and only the era in each answer shows it.

#[path = "support/site.rs"]
mod site;

use arbutusmount::{InstanceId, TargetEntry};
use async_std::task;
use rig::{
    SiteDaemon, SiteFleet, SiteRequest, SiteSpec, SiteStore, StoreFault, StoreRestore,
    plain_server_entry, send_site_request,
};
use site::{call, model_site, plain_site, stream_call, until};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Longer than the time for which daemons collect changes of the target list.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Time for which the store is away before it comes back from a copy.
const AWAY_TIME: Duration = Duration::from_millis(300);

/// Raises the store's revision by this number.
fn raise_revision(store: &SiteStore, count: usize) {
    for number in 0..count {
        store.put("other/key", &serde_json::json!(number));
    }
}

/// The store is away for a moment and comes back as it was at `copied`; the lost writes of the
/// operator and the servers are not made again.
fn restore_after_outage(store: &SiteStore, copied: Instant) -> Vec<rig::LostWrite> {
    for index in 0..2 {
        store.set_fault(index, StoreFault::Reset);
    }
    thread::sleep(AWAY_TIME);
    let lost = store.restore(StoreRestore {
        age: copied.elapsed(),
        cuts_watches: true,
    });
    for index in 0..2 {
        store.set_fault(index, StoreFault::None);
    }
    lost
}

fn target(daemon: &SiteDaemon, id: &str) -> Option<Arc<TargetEntry>> {
    let id: InstanceId = id.parse().expect("an identifier");
    daemon.state.context.targets.load().target(&id).cloned()
}

fn is_draining(daemon: &SiteDaemon, id: &str) -> bool {
    target(daemon, id).is_some_and(|target| !target.is_ready())
}

/// Guards against a view that holds back a later one: the revisions from before a restore are higher
/// than those of the writes after it.
#[test]
fn change_after_a_restore_is_applied() {
    let site = plain_site();
    let server = &site.plain_servers[0];
    let key = format!("servers/{}", server.id());
    let copied = Instant::now();
    for _ in 0..30 {
        site.store.put(&key, &plain_server_entry(server, "ready"));
    }
    thread::sleep(SETTLE_TIME);

    restore_after_outage(&site.store, copied);
    site.store
        .put(&key, &plain_server_entry(server, "draining"));

    until("the change to be applied", || {
        is_draining(&site.daemons[0], server.id())
    });
}

/// Guards against missed writes: a watch that waits through a restore goes on from a revision that
/// the store has given out again, so nothing fails and no history is missing.
#[test]
fn change_of_era_alone_leads_to_a_list() {
    let site = plain_site();
    let server = &site.plain_servers[0];
    let copied = Instant::now();
    raise_revision(&site.store, 30);
    let other = &site.plain_servers[1];
    let other_key = format!("servers/{}", other.id());
    site.store
        .put(&other_key, &plain_server_entry(other, "ready"));
    thread::sleep(SETTLE_TIME);

    site.store.restore(StoreRestore {
        age: copied.elapsed(),
        cuts_watches: false,
    });
    site.store.put(
        &format!("servers/{}", server.id()),
        &plain_server_entry(server, "draining"),
    );
    raise_revision(&site.store, 60);

    until("the change to be applied", || {
        is_draining(&site.daemons[0], server.id())
    });
}

/// Guards against two daemons on one lease: its identifier is given out again, and the daemon that
/// held it before the restore renews it.
#[test]
fn lease_given_out_again_is_not_taken_for_the_own_one() {
    let mut site = SiteFleet::without_daemons(SiteSpec {
        models_per_domain: 0,
        ..SiteSpec::default()
    });
    let copied = Instant::now();
    for index in 0..2 {
        let daemon = site.start_daemon(&format!("router-{index}"), "d0", index);
        let key = format!("arbutusmount/daemon/router-{index}");
        until("the daemon's entry", || site.store.value(&key).is_some());
        site.daemons.push(daemon);
    }
    site.store.set_fault(0, StoreFault::Reset);

    site.store.restore(StoreRestore {
        age: copied.elapsed(),
        cuts_watches: true,
    });
    let lease = |index: usize| {
        site.store
            .lease(&format!("arbutusmount/daemon/router-{index}"))
    };
    until("the second daemon's entry", || lease(1).is_some());
    site.store.set_fault(0, StoreFault::None);
    until("the first daemon's entry", || lease(0).is_some());

    assert_ne!(lease(0), lease(1));
}

/// Guards against orders refused by all servers: the fencing number of a leader elected after a
/// restore was lower than the one that servers had seen before.
#[test]
fn servers_accept_orders_after_a_restore() {
    let mut site = SiteFleet::without_daemons(SiteSpec {
        plain_servers: 0,
        models_per_domain: 3,
        ..SiteSpec::default()
    });
    let copied = Instant::now();
    raise_revision(&site.store, 60);
    let daemon = site.start_daemon("router-0", "d0", 0);
    site.daemons.push(daemon);
    let has_chain = || site.daemons[0].state.context.targets.load().chain_count() > 0;
    until("a chain", has_chain);
    thread::sleep(SETTLE_TIME);
    let lost = restore_after_outage(&site.store, copied);
    site.store.write_again(lost, Duration::from_millis(500), 23);
    thread::sleep(SETTLE_TIME);

    // The chain needs all of its servers, so the others are ordered to hold other layers.
    let gone = site.model_servers[0].id();
    site.store.remove(&format!("servers/{gone}"));

    let gone: InstanceId = gone.parse().expect("an identifier");
    until("a chain of the other servers", || {
        let view = site.daemons[0].state.context.targets.load();
        view.target(&gone).is_none() && view.chain_count() > 0
    });
}

/// Guards against a starting daemon that takes the older of two snapshots, since the revisions in it
/// are higher.
#[test]
fn snapshot_from_after_a_restore_counts_as_the_newer_one() {
    let mut site = plain_site();
    let server_id = site.plain_servers[0].id().to_owned();
    let other = &site.plain_servers[1];
    let other_key = format!("servers/{}", other.id());
    let copied = Instant::now();
    for _ in 0..60 {
        site.store
            .put(&other_key, &plain_server_entry(other, "ready"));
    }
    let late_hearing = site.start_daemon("router-1", "d0", 1);
    until("the second daemon to be ready", || {
        late_hearing.state.is_serving()
    });
    site.daemons.push(late_hearing);
    site.store.set_fault(1, StoreFault::Reset);
    site.store.restore(StoreRestore {
        age: copied.elapsed(),
        cuts_watches: true,
    });
    site.store.put(
        &format!("servers/{server_id}"),
        &plain_server_entry(&site.plain_servers[0], "draining"),
    );
    until("the first daemon to know the change", || {
        is_draining(&site.daemons[0], &server_id)
    });

    let starting = site.start_daemon("router-2", "d0", 1);

    until("the starting daemon to be ready", || {
        starting.state.is_serving()
    });
    assert!(is_draining(&starting, &server_id));
    assert!(!is_draining(&site.daemons[1], &server_id));
}

/// Guards against late answers, as of a cut connection that heals: they show the state before the
/// restore.
#[test]
fn answer_of_an_earlier_era_is_dropped() {
    let store = SiteStore::start();
    let port = store.port(0);
    let list = || task::block_on((port.list)((Arc::from("servers/"), None)));
    store.set_era_text(Some("5"));
    list().expect("a first answer");

    store.set_era_text(Some("4"));
    let earlier = list();
    store.set_era_text(Some("5"));
    let current = list();

    assert!(earlier.is_err(), "{earlier:?}");
    assert!(current.is_ok(), "{current:?}");
}

/// Guards against new requests for a leaving server: the copy still shows it as ready, until the
/// server writes its state again.
#[test]
fn leaving_server_stays_so_through_a_restore() {
    let site = plain_site();
    let (leaving, other) = (&site.plain_servers[0], &site.plain_servers[1]);
    let entry_key = |server: &rig::PlainServer| format!("servers/{}", server.id());
    thread::sleep(SETTLE_TIME);
    let copied = Instant::now();
    site.store.put(
        &entry_key(leaving),
        &plain_server_entry(leaving, "draining"),
    );
    until("the daemon to know of the leaving", || {
        is_draining(&site.daemons[0], leaving.id())
    });

    restore_after_outage(&site.store, copied);
    site.store
        .put(&entry_key(other), &plain_server_entry(other, "draining"));
    until("the daemon to follow the restored store", || {
        is_draining(&site.daemons[0], other.id())
    });

    assert!(is_draining(&site.daemons[0], leaving.id()));
}

/// Guards against crashes under requests that are forgotten: a key that the copy does not have is
/// not one that a daemon has removed. The store holds crashes of requests that have had two or more.
#[test]
fn crashes_lost_in_a_restore_are_written_again() {
    let site = plain_site();
    let keys = [0x23, 0x24].map(|run| format!("arbutusmount/crash/{:032x}/{run:016x}", 0x17));
    thread::sleep(SETTLE_TIME);
    let copied = Instant::now();
    for key in &keys {
        site.store.put(key, &serde_json::json!("router-9"));
    }
    thread::sleep(SETTLE_TIME);

    restore_after_outage(&site.store, copied);

    let mut found = keys.iter().map(|key| site.store.value(key));
    assert!(found.all(|value| value.is_none()));
    until("the crashes to be in the store", || {
        let mut found = keys.iter().map(|key| site.store.value(key));
        found.all(|value| value.is_some())
    });
}

/// A header that cannot be used is never taken for a restore: nothing is listed again, and the store
/// is followed as before. A store that sends no header works too.
#[test_case(Some("soon"))]
#[test_case(Some("-3"))]
#[test_case(Some(""))]
#[test_case(None)]
fn unusable_era_is_no_restore(text: Option<&str>) {
    let site = plain_site();
    thread::sleep(SETTLE_TIME);
    let state = &site.daemons[0].state;
    let restores = || {
        let counter = &state.context.metrics.store_restores;
        counter.with_label_values(&["back"]).get()
    };

    site.store.set_era_text(text);
    let server = &site.plain_servers[0];
    site.store.put(
        &format!("servers/{}", server.id()),
        &plain_server_entry(server, "draining"),
    );

    until("the change to be applied", || {
        is_draining(&site.daemons[0], server.id())
    });
    assert_eq!(restores(), 0);
}

#[test]
fn daemon_works_with_a_store_that_never_names_an_era() {
    let mut site = SiteFleet::without_daemons(SiteSpec::default());
    site.store.set_era_text(None);

    let daemon = site.start_daemon("router-0", "d0", 0);
    site.daemons.push(daemon);

    until("a chain", || {
        site.daemons[0].state.context.targets.load().chain_count() > 0
    });
}

/// Two restores in a row, the second one while daemons still return from the first.
#[test]
fn daemons_return_from_two_restores_in_a_row() {
    let mut site = plain_site();
    let second = site.start_daemon("router-1", "d0", 1);
    site.daemons.push(second);
    let rows = |daemon: &SiteDaemon| daemon.state.context.presence.rows().len();
    until("both daemons to be known", || {
        site.daemons.iter().all(|daemon| rows(daemon) == 2)
    });
    let copied = Instant::now();
    raise_revision(&site.store, 20);

    restore_after_outage(&site.store, copied);
    restore_after_outage(&site.store, copied);

    let has_entry = |index: usize| {
        let key = format!("arbutusmount/daemon/router-{index}");
        site.store.value(&key).is_some()
    };
    until("both entries to be in the store", || {
        has_entry(0) && has_entry(1)
    });
    until("a leader", || {
        site.store.value("arbutusmount/leader").is_some()
    });
    assert!(site.daemons.iter().all(|daemon| rows(daemon) == 2));
}

/// Longest time from the store's return to all entries of eight daemons being back.
const BACK_TIME: Duration = Duration::from_secs(2);
/// Longest time from the store's return to the first order of a leader.
const ORDER_TIME: Duration = Duration::from_secs(4);

/// Ends the requests when it is dropped, also after a failed wait.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Requests sent to all daemons in turn until `stop` is set. Returns their identities and those that
/// were not answered with 200.
fn send_requests(site: &SiteFleet, stop: &AtomicBool) -> (Vec<String>, Vec<(String, u16)>) {
    let (mut sent, mut failed) = (Vec::new(), Vec::new());
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let attempt = format!("{number:016x}");
        let daemon = &site.daemons[number % site.daemons.len()];
        let (method, target) = [("GET", "/get/x"), ("POST", "/post/x")][number % 2];
        let request = SiteRequest::new(method, target, &attempt);
        let status = send_site_request(daemon.address, &request).status;
        if status != 200 {
            failed.push((attempt.clone(), status));
        }
        sent.push(attempt);
    }
    (sent, failed)
}

/// The purpose of all of this: a restore is a short pause in changes and nothing else.
#[test]
fn eight_daemons_are_back_in_time_and_lose_no_request() {
    let site = SiteFleet::start(SiteSpec {
        daemons: 8,
        plain_servers: 3,
        models_per_domain: 3,
        domains: 1,
        is_linked: false,
        ..SiteSpec::default()
    });
    let entry = |index: usize| format!("arbutusmount/daemon/router-{index}");
    let are_back = || (0..8).all(|index| site.store.value(&entry(index)).is_some());
    until("all entries", are_back);
    thread::sleep(SETTLE_TIME);
    let copied = Instant::now();
    raise_revision(&site.store, 60);
    let calls_before = site.store.calls();
    thread::sleep(Duration::from_secs(2));
    let quiet_calls = (site.store.calls() - calls_before) / 2;
    let layers = || {
        let servers = site.model_servers.iter().skip(1);
        servers.map(rig::ModelServer::layers).collect::<Vec<_>>()
    };
    let stop = AtomicBool::new(false);

    let (back, ordered, calls, (sent, failed)) = thread::scope(|scope| {
        let caller = scope.spawn(|| send_requests(&site, &stop));
        let stop_guard = StopGuard(&stop);
        let lost = restore_after_outage(&site.store, copied);
        let returned = Instant::now();
        let calls_before = site.store.calls();
        site.store
            .remove(&format!("servers/{}", site.model_servers[0].id()));
        scope.spawn(|| {
            site.store
                .write_again(lost, Duration::from_millis(1_500), 8);
        });
        let held = layers();
        until("all entries", are_back);
        let back = returned.elapsed();
        until("an order", || layers() != held);
        let ordered = returned.elapsed();
        let calls = site.store.calls() - calls_before;
        drop(stop_guard);
        (
            back,
            ordered,
            calls,
            caller.join().expect("the caller ends"),
        )
    });

    println!(
        "back after {back:?}, first order after {ordered:?}; store calls: {calls} until then, \
         {quiet_calls} in a quiet second; requests: {} sent, {failed:?} failed",
        sent.len()
    );
    assert!(back <= BACK_TIME, "{back:?}");
    assert!(ordered <= ORDER_TIME, "{ordered:?}");
    assert_eq!(failed, Vec::new());
    let runs = site.plain_servers.iter().map(|server| server.runs().len());
    assert_eq!(runs.sum::<usize>(), sent.len());
}

/// Streams need chains, which the leader and the list of targets keep up.
#[test]
fn streams_go_on_through_a_restore() {
    let site = model_site();
    thread::sleep(SETTLE_TIME);
    let copied = Instant::now();
    raise_revision(&site.store, 60);
    let stop = AtomicBool::new(false);

    let answers = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let mut answers = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let attempt = format!("{:016x}", answers.len());
                let answer = call(&site, &stream_call(&attempt));
                answers.push((answer.status, answer.complete));
            }
            answers
        });
        let stop_guard = StopGuard(&stop);
        thread::sleep(SETTLE_TIME);
        restore_after_outage(&site.store, copied);
        until("the daemon's entry", || {
            site.store.value("arbutusmount/daemon/router-0").is_some()
        });
        thread::sleep(ORDER_TIME);
        drop(stop_guard);
        caller.join().expect("the caller ends")
    });

    assert!(answers.len() > 20, "{} streams", answers.len());
    let failed = answers.iter().filter(|answer| **answer != (200, true));
    assert_eq!(failed.count(), 0, "of {} streams", answers.len());
}

/// A daemon that starts while the store is away has a peer's snapshot of the earlier era.
#[test]
fn daemon_that_starts_during_a_restore_follows_the_restored_store() {
    let site = plain_site();
    let server = &site.plain_servers[0];
    let key = format!("servers/{}", server.id());
    let copied = Instant::now();
    for _ in 0..30 {
        site.store.put(&key, &plain_server_entry(server, "ready"));
    }
    thread::sleep(SETTLE_TIME);
    for index in 0..2 {
        site.store.set_fault(index, StoreFault::Reset);
    }

    let starting = site.start_daemon("router-1", "d0", 1);
    until("the daemon to serve by a snapshot", || {
        starting.state.is_serving()
    });
    restore_after_outage(&site.store, copied);
    site.store
        .put(&key, &plain_server_entry(server, "draining"));

    until("the change to be applied", || {
        is_draining(&starting, server.id())
    });
    until("its entry to be in the store", || {
        site.store.value("arbutusmount/daemon/router-1").is_some()
    });
}
