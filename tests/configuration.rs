//! Distribution of the configuration: a confirmed plan comes into force on every daemon, during
//! store outages and with stale store reads too, and is never reverted.

mod support;

use arbutusmount::{
    ConfigRevision, ConnectionPool, HttpCall, InstanceId, RouterCandidate, STORE_WATCHERS,
    rank_routers,
};
use http_types::Method;
use rig::{ProcessFleet, reference_text, sample_declaration, wait_until};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::proxied::{ADOPTION_LIMIT, ProxiedFleet, operator, teams_only, with_team};
use support::{MODEL, chat_request, find_leader, read_metric, team_client};

/// Maximum rate of store calls by 8 daemons in an outage, in calls per second. At one per daemon, a
/// fleet of 430 daemons stays far below the 2,000 reads per second that the store can answer.
const MAX_CALLS_A_SECOND: f64 = 8.0;
/// Time limit for processes to start and reach a steady state.
const START_LIMIT: Duration = Duration::from_secs(20);

async fn ready_status(address: SocketAddr) -> Option<u16> {
    let pool = ConnectionPool::new(Duration::from_secs(1), 1);
    let call = HttpCall::new(address, Method::Get, "/readyz");
    let reply = pool.send(&call).await.ok()?;
    Some(reply.status())
}

#[async_std::test]
async fn configuration_reaches_daemons_that_only_see_their_peers() {
    // Arrange
    let proxied = ProxiedFleet::declared(4).await;
    let plan = proxied.plan(0, "somchai", with_team("audit")).await;
    for daemon in 1..4 {
        proxied.cut_store(daemon);
    }

    // Act
    let confirmed = operator().confirm(proxied.address(0), &plan).await;
    proxied.set_platform(json!({ "outage": true })).await;

    // Assert: the store fails right after the confirmation, yet all daemons adopt the revision.
    let revision = confirmed.expect("the plan is confirmed").revision;
    let elapsed = proxied.wait_revision(&[0, 1, 2, 3], revision).await;
    println!("in force on 4 daemons after {elapsed:?}, with the store unreachable for all");
}

#[async_std::test]
async fn daemon_started_in_an_outage_learns_from_its_peers() {
    // Arrange
    let mut proxied = ProxiedFleet::declared(2).await;
    let plan = proxied.plan(0, "somchai", with_team("audit")).await;
    let confirmed = operator().confirm(proxied.address(0), &plan).await;
    let revision = confirmed.expect("the plan is confirmed").revision;
    proxied.wait_revision(&[0, 1], revision).await;
    proxied.set_platform(json!({ "outage": true })).await;

    // Act
    proxied.add_daemon().await;

    // Assert
    proxied.wait_revision(&[2], revision).await;
    assert_eq!(ready_status(proxied.address(2)).await, Some(200));
}

#[async_std::test]
async fn daemon_started_alone_in_an_outage_is_not_ready() {
    // Arrange
    let mut proxied = ProxiedFleet::start(0, 0).await;
    proxied.set_platform(json!({ "outage": true })).await;

    // Act
    proxied.add_daemon().await;
    let in_outage = ready_status(proxied.address(0)).await;
    proxied.set_platform(json!({ "outage": false })).await;
    proxied.fleet.declare(&teams_only()).await;

    // Assert
    assert_eq!(in_outage, Some(503));
    assert_eq!(ready_status(proxied.address(0)).await, Some(200));
}

#[async_std::test]
async fn older_store_value_never_reverts_a_daemon() {
    // Arrange: two changes, so that the store's older value is itself a complete configuration.
    let mut proxied = ProxiedFleet::declared(3).await;
    let (mut older, mut revision) = (0, ConfigRevision(0));
    for team in ["audit", "returns"] {
        let plan = proxied.plan(0, "somchai", with_team(team)).await;
        let confirmed = operator().confirm(proxied.address(0), &plan).await;
        older = revision.0;
        revision = confirmed.expect("the plan is confirmed").revision;
        proxied.wait_revision(&[0, 1, 2], revision).await;
    }
    let adoptions = "arbutusmount_config_adoptions_total";
    let count = async |daemon: usize| read_metric(proxied.address(daemon), adoptions).await as u64;
    let before = [count(0).await, count(1).await];

    // Act: the store returns the older value to daemons whose watches were cut and to a restarted
    // one.
    proxied.set_platform(json!({ "stale_as_of": older })).await;
    for proxy in &proxied.proxies {
        proxy.close_connections();
    }
    proxied.fleet.restart_daemon(2).await;

    // Assert: both daemons have read the older value. The adoption counter shows that neither has
    // adopted it even temporarily, until corrected by a peer.
    let behind = "arbutusmount_config_store_behind_total";
    for daemon in 0..2 {
        let address = proxied.address(daemon);
        wait_until("the older value was read", START_LIMIT, || async {
            read_metric(address, behind).await > 1.0
        })
        .await;
    }
    let count = async |daemon: usize| read_metric(proxied.address(daemon), adoptions).await as u64;
    assert_eq!([count(0).await, count(1).await], before);
    proxied.wait_revision(&[0, 1, 2], revision).await;
}

/// Returns the daemons in the order of their rank for watching the store.
fn watch_order(fleet: &ProcessFleet) -> Vec<usize> {
    let daemons = fleet.daemons.iter();
    let routers: Vec<RouterCandidate> = daemons
        .map(|daemon| RouterCandidate {
            instance: daemon.row.instance.clone(),
            domain: daemon.row.failure_domain.clone(),
        })
        .collect();
    let ranked = rank_routers("config watcher", &routers);
    let index = |name: &InstanceId| routers.iter().position(|r| r.instance == *name);
    ranked.iter().filter_map(index).collect()
}

#[async_std::test]
async fn next_in_line_reads_the_store_when_no_watcher_reaches_it() {
    // Arrange: the watchers are cut off from the store, and the confirming daemon is killed before
    // it learns that its write took effect. No peer then has the new revision.
    let mut proxied = ProxiedFleet::declared(5).await;
    let order = watch_order(&proxied.fleet);
    let leader = find_leader(&proxied.fleet, &order).await;
    // The reconciliation leader reads the store as well, so it must not be the daemon under test.
    let (confirming, next) = match leader {
        Some(leader) if leader == order[3] => (order[3], order[4]),
        _ => (order[4], order[3]),
    };
    let watchers = &order[..STORE_WATCHERS];
    let plan = proxied
        .plan(confirming, "somchai", with_team("audit"))
        .await;
    for watcher in watchers {
        proxied.cut_store(*watcher);
    }
    proxied.set_platform(json!({ "lose_replies": 1_000 })).await;
    let before = proxied.revision(next).await.expect("the daemon answers");

    // Act
    let address = proxied.address(confirming);
    let confirm = async_std::task::spawn(async move { operator().confirm(address, &plan).await });
    wait_until("the write has taken effect", START_LIMIT, || async {
        proxied.fleet.platform_calls().await["lost"].as_u64() > Some(0)
    })
    .await;
    proxied.fleet.daemons[confirming].process.kill();
    proxied.set_platform(json!({ "lose_replies": 0 })).await;

    // Assert
    let rest: Vec<usize> = order.iter().copied().filter(|d| *d != confirming).collect();
    let start = Instant::now();
    wait_until("the survivors have the change", ADOPTION_LIMIT, || async {
        for daemon in &rest {
            if proxied.revision(*daemon).await <= Some(before) {
                return false;
            }
        }
        true
    })
    .await;
    println!(
        "in force on {} survivors after {:?}",
        rest.len(),
        start.elapsed()
    );
    assert!(confirm.await.is_err(), "its daemon was killed");
}

/// Returns the number of store calls made by daemons so far, without those for the instance list.
async fn store_calls(fleet: &ProcessFleet) -> u64 {
    let calls = fleet.platform_calls().await;
    let kinds = calls.as_object().expect("calls are counted by kind");
    let is_store = |kind: &str| !["list", "weights", "lost", "refused"].contains(&kind);
    let counts = kinds.iter().filter(|(kind, _)| is_store(kind));
    counts.filter_map(|(_, count)| count.as_u64()).sum()
}

/// Measures the rate of store calls over a time span, in calls per second.
async fn measure_call_rate(fleet: &ProcessFleet, span: Duration) -> f64 {
    let (start, before) = (Instant::now(), store_calls(fleet).await);
    wait_until("the span has passed", span * 2, || async {
        start.elapsed() >= span
    })
    .await;
    (store_calls(fleet).await - before) as f64 / start.elapsed().as_secs_f64()
}

#[async_std::test]
async fn store_outage_leaves_traffic_alone_and_recovery_meets_no_stampede() {
    // Arrange
    let proxied = ProxiedFleet::serving(8).await;
    let steady = measure_call_rate(&proxied.fleet, Duration::from_secs(4)).await;

    // Act
    proxied.set_platform(json!({ "outage": true })).await;
    let mut text = String::new();
    let ask = chat_request("Where is my delivery slip?", 3, 24);
    let finish = team_client()
        .ask(proxied.address(7), &ask, |piece| text.push_str(piece))
        .await;
    let in_outage = measure_call_rate(&proxied.fleet, Duration::from_secs(8)).await;
    proxied.set_platform(json!({ "outage": false })).await;
    let recovering = measure_call_rate(&proxied.fleet, Duration::from_secs(2)).await;
    let plan = proxied.plan(0, "somchai", sample_declaration(1)).await;
    let confirmed = operator().confirm(proxied.address(0), &plan).await;

    // Assert
    println!(
        "store calls/s: {steady:.1} steady, {in_outage:.1} in outage, {recovering:.1} recovering"
    );
    assert_eq!(finish, Ok("length".to_owned()));
    assert_eq!(
        text,
        reference_text(MODEL, 3, "Where is my delivery slip?", 24)
    );
    assert!(
        in_outage <= MAX_CALLS_A_SECOND,
        "{in_outage} calls per second in the outage"
    );
    assert!(
        recovering <= 2.0 * MAX_CALLS_A_SECOND,
        "{recovering} calls per second after the outage"
    );
    let revision = confirmed.expect("the plan is confirmed").revision;
    proxied
        .wait_revision(&[0, 1, 2, 3, 4, 5, 6, 7], revision)
        .await;
}
