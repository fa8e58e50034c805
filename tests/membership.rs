//! Membership of daemon processes that reach each other through fault-injecting proxies: one-way
//! cuts, flapping links, pauses, kills and replacement.

mod support;

use arbutusmount::AddressRow;
use async_std::task;
use rig::{
    DirectionFault, FaultProxy, FleetSpec, ProcessFleet, ProxyFaults, admin_text, wait_until,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{programs, team_client};

/// Time within which all daemons must agree after a change; the requirement says "within seconds".
const AGREE_LIMIT: Duration = Duration::from_secs(6);
/// Time limit for a process to start or end.
const PROCESS_LIMIT: Duration = Duration::from_secs(30);

fn no_daemons() -> FleetSpec {
    FleetSpec {
        daemons: 0,
        ..FleetSpec::default()
    }
}

/// Starts a fleet whose daemons reach each other only through proxies.
async fn proxied_fleet(daemons: usize) -> (ProcessFleet, Vec<FaultProxy>) {
    let mut fleet = ProcessFleet::start(no_daemons(), programs()).await;
    let mut proxies = Vec::new();
    for _ in 0..daemons {
        let (addresses, proxy) = fleet.proxied_addresses().await;
        fleet.add_daemon(addresses).await;
        proxies.push(proxy);
    }
    fleet.declare(&rig::sample_declaration(1)).await;
    wait_for_agreement(&fleet, &(0..daemons).collect::<Vec<_>>()).await;
    (fleet, proxies)
}

fn addresses_of(fleet: &ProcessFleet, indexes: &[usize]) -> BTreeSet<SocketAddr> {
    let addresses = indexes
        .iter()
        .map(|index| fleet.daemons[*index].addresses.listen);
    addresses.collect()
}

async fn answered_addresses(daemon: SocketAddr) -> Option<BTreeSet<SocketAddr>> {
    let answer = team_client().addresses(daemon).await.ok()?;
    Some(
        answer
            .addresses
            .iter()
            .map(|row: &AddressRow| row.address)
            .collect(),
    )
}

/// Waits until each of the given daemons lists exactly these daemons to callers.
async fn wait_for_agreement(fleet: &ProcessFleet, indexes: &[usize]) {
    let wanted = addresses_of(fleet, indexes);
    for daemon in &wanted {
        wait_until("the daemons agree", AGREE_LIMIT, || async {
            answered_addresses(*daemon).await.as_ref() == Some(&wanted)
        })
        .await;
    }
}

/// Returns the value of a metric of one daemon; 0 when the metric is missing.
async fn metric(daemon: SocketAddr, name: &str) -> f64 {
    let text = admin_text(daemon, "/metrics").await.unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or_default()
}

#[async_std::test]
async fn killed_daemon_leaves_the_answers_and_comes_back_restarted() {
    // Arrange
    let (mut fleet, _proxies) = proxied_fleet(4).await;

    // Act
    fleet.daemons[3].process.kill();

    // Assert: the others drop it although the platform still lists it.
    wait_for_agreement(&fleet, &[0, 1, 2]).await;
    fleet.restart_daemon(3).await;
    wait_for_agreement(&fleet, &[0, 1, 2, 3]).await;
}

#[async_std::test]
async fn paused_daemon_is_let_in_again_and_keeps_its_own_view() {
    // Arrange
    let (fleet, _proxies) = proxied_fleet(4).await;

    // Act
    fleet.daemons[0].process.freeze();
    wait_for_agreement(&fleet, &[1, 2, 3]).await;
    fleet.daemons[0].process.thaw();

    // Assert
    wait_for_agreement(&fleet, &[0, 1, 2, 3]).await;
    let dead = r#"arbutusmount_members{state="dead"}"#;
    assert!(metric(fleet.daemons[0].addresses.listen, dead).await.abs() < 0.5);
}

#[async_std::test]
async fn daemon_that_only_others_cannot_reach_stays_named() {
    // Arrange
    let (fleet, proxies) = proxied_fleet(4).await;
    let everyone = addresses_of(&fleet, &[0, 1, 2, 3]);
    let probes = r#"arbutusmount_membership_events_total{event="probe"}"#;
    let watcher = fleet.daemons[1].addresses.listen;
    let before = metric(watcher, probes).await;

    // Act: daemon 0 receives nothing, but can still call all others.
    proxies[0].set_faults(ProxyFaults {
        to_target: DirectionFault::Drop,
        ..ProxyFaults::default()
    });

    // Assert: no daemon drops it from its answers while 40 probes are sent.
    wait_until("40 probes were sent", PROCESS_LIMIT, || async {
        for daemon in &everyone {
            let answered = answered_addresses(*daemon).await;
            assert_eq!(answered.as_ref(), Some(&everyone), "view of {daemon}");
        }
        metric(watcher, probes).await >= before + 40.0
    })
    .await;
    proxies[0].set_faults(ProxyFaults::default());
    wait_for_agreement(&fleet, &[0, 1, 2, 3]).await;
}

#[async_std::test]
async fn views_agree_after_links_flap() {
    // Arrange
    let (fleet, proxies) = proxied_fleet(4).await;
    let seed = fastrand::u64(..);
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let faults = [
        DirectionFault::Pass,
        DirectionFault::Drop,
        DirectionFault::Hold,
        DirectionFault::Close,
        DirectionFault::Delay(150),
    ];

    // Act: for 5 s, the faults of each direction of each link change every 100 ms.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(5) {
        for proxy in &proxies {
            proxy.set_faults(ProxyFaults {
                to_target: faults[rng.usize(..faults.len())],
                to_caller: faults[rng.usize(..faults.len())],
                refuse: rng.u8(..) < 64,
            });
            if rng.u8(..) < 32 {
                proxy.close_connections();
            }
        }
        task::sleep(Duration::from_millis(100)).await;
    }
    for proxy in &proxies {
        proxy.set_faults(ProxyFaults::default());
    }

    // Assert
    wait_for_agreement(&fleet, &[0, 1, 2, 3]).await;
}

#[async_std::test]
async fn all_daemons_are_replaced_one_after_another() {
    // Arrange
    let (mut fleet, _proxies) = proxied_fleet(3).await;

    // Act: three times, a new daemon starts and an old one shuts down.
    for old in 0..3 {
        let (addresses, _proxy) = fleet.proxied_addresses().await;
        fleet.add_daemon(addresses).await;
        fleet.daemons[old].process.terminate();
        let current: Vec<usize> = (old + 1..=old + 3).collect();
        wait_for_agreement(&fleet, &current).await;
        let status = fleet.daemons[old].process.wait(PROCESS_LIMIT);
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        let row = fleet.daemons[old].row.clone();
        fleet.deregister_instance(&row).await;
    }

    // Assert
    wait_for_agreement(&fleet, &[3, 4, 5]).await;
}
