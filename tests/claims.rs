//! Calls that must not be retried run at most once, whatever fails before, during or after the
//! claim on their idempotency key.

#[path = "support/calls.rs"]
mod calls;

use arbutusmount::ClaimSettings;
use async_std::task;
use calls::{
    CallResponse, FleetPermit, WAIT_TIMEOUT, committed_writes, cut_off, dated_key, granted_claims,
    is_claimed, key_homed_at, order, order_and_hang_up, order_until, order_with_retries,
    proxied_fleet, run_count, seeded_rng, service_fleet, service_spec, start_proxy, wait_arrival,
    wait_committed,
};
use rig::{DirectionFault, FleetSpec, ProxyFaults, wait_until};
use serde_json::json;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Longest time for a refusal while the store is down; it includes the timeout of the store calls.
const REFUSAL_LIMIT: Duration = Duration::from_secs(5);
/// Prefix of the store keys of claim pages.
const CLAIM_PREFIX: &str = "arbutusmount/claims/";

#[test_case(true; "of a dated key")]
#[test_case(false; "of an undated key")]
#[async_std::test]
async fn completed_call_repeats_its_answer(dated: bool) {
    // Arrange
    let _permit = FleetPermit::acquire();
    let fleet = service_fleet(service_spec(2, 1)).await;
    let mut rng = seeded_rng();
    let key = if dated {
        dated_key(&mut rng)
    } else {
        format!("order-{}", rng.u64(..))
    };
    let [first, second] = [0, 1].map(|index: usize| fleet.daemons[index].addresses.listen);

    // Act
    let answer = order(first, &key, "two coveralls").await.unwrap();
    let same = order(first, &key, "two coveralls").await.unwrap();
    let other = order(second, &key, "two coveralls").await.unwrap();
    let conflict = order(second, &key, "three coveralls").await.unwrap();

    // Assert
    assert!(answer.is_completed() && !answer.replayed, "{answer:?}");
    for repeated in [same, other] {
        assert!(repeated.is_completed() && repeated.replayed, "{repeated:?}");
        assert_eq!(repeated.body, answer.body);
    }
    assert_eq!((conflict.status, &*conflict.outcome), (409, "not_run"));
    assert_eq!(run_count(&fleet, &key), 1);
}

#[async_std::test]
async fn same_key_at_once_runs_once() {
    // Arrange
    let _permit = FleetPermit::acquire();
    let fleet = service_fleet(service_spec(2, 1)).await;
    let service = fleet.services[0].row.address;
    fleet.set_knobs(service, json!({ "after_ms": 100 })).await;
    let mut rng = seeded_rng();
    let keys: Vec<String> = (0..20).map(|_| dated_key(&mut rng)).collect();

    // Act
    let calls = keys.iter().flat_map(|key| {
        let daemons = fleet.daemons.iter().map(|daemon| daemon.addresses.listen);
        daemons.map(move |daemon| {
            let key = key.clone();
            task::spawn(async move { (order(daemon, &key, "a bay").await.unwrap(), key) })
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut responses = Vec::new();
    for call in calls {
        responses.push(call.await);
    }

    // Assert
    for key in &keys {
        assert_eq!(run_count(&fleet, key), 1, "{responses:?}");
    }
    let fresh = responses
        .iter()
        .filter(|(r, _)| r.is_completed() && !r.replayed);
    assert_eq!(fresh.count(), keys.len(), "{responses:?}");
    let refused = responses
        .iter()
        .filter(|(response, _)| !response.is_completed());
    for (response, _) in refused {
        assert_eq!((response.status, &*response.outcome), (409, "unknown"));
    }
}

#[async_std::test]
async fn lost_claim_reply_is_recognised() {
    // Arrange
    let _permit = FleetPermit::acquire();
    let fleet = service_fleet(service_spec(2, 1)).await;
    let key = dated_key(&mut seeded_rng());
    let lose = json!({ "lose_replies": 1, "lose_prefix": CLAIM_PREFIX });
    fleet.set_knobs(fleet.platform, lose).await;

    // Act
    let response = order(fleet.daemons[0].addresses.listen, &key, "a bay").await;

    // Assert
    let response = response.unwrap();
    assert!(
        response.is_completed() && !response.replayed,
        "{response:?}"
    );
    assert_eq!(fleet.platform_calls().await["lost"], 1);
    assert_eq!(run_count(&fleet, &key), 1);
}

#[test_case("outage"; "that refuses")]
#[test_case("hang"; "that never answers")]
#[async_std::test]
async fn store_outage_before_the_claim_refuses_at_once(fault: &str) {
    // Arrange
    let _permit = FleetPermit::acquire();
    let fleet = service_fleet(service_spec(2, 1)).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let key = dated_key(&mut seeded_rng());

    // Act
    fleet
        .set_knobs(fleet.platform, json!({ fault: true }))
        .await;
    let start = Instant::now();
    let refused = order(daemon, &key, "a bay").await.unwrap();
    let took = start.elapsed();
    let again = order(daemon, &key, "a bay").await.unwrap();
    let runs_in_outage = run_count(&fleet, &key);
    fleet
        .set_knobs(fleet.platform, json!({ fault: false }))
        .await;
    let completed = order_with_retries(daemon, &key, "a bay").await;

    // Assert
    for refused in [refused, again] {
        assert_eq!((refused.status, &*refused.outcome), (503, "not_run"));
        assert!(refused.retry_after.is_some());
    }
    assert!(took < REFUSAL_LIMIT, "{took:?}");
    assert_eq!(runs_in_outage, 0);
    assert!(completed.is_completed(), "{completed:?}");
    assert_eq!(run_count(&fleet, &key), 1);
}

#[async_std::test]
async fn store_outage_after_the_claim_does_not_hurt_the_call() {
    // Arrange
    let _permit = FleetPermit::acquire();
    let fleet = service_fleet(service_spec(2, 1)).await;
    let service = fleet.services[0].row.address;
    fleet.set_knobs(service, json!({ "before_ms": 400 })).await;
    let [first, second] = [0, 1].map(|index: usize| fleet.daemons[index].addresses.listen);
    let key = key_homed_at(0, 2, &mut seeded_rng());

    // Act
    let before = committed_writes(first).await;
    let sent = key.clone();
    let call = task::spawn(async move { order(first, &sent, "a bay").await.unwrap() });
    wait_committed(first, before).await;
    fleet
        .set_knobs(fleet.platform, json!({ "outage": true }))
        .await;
    let answer = call.await;
    let same = order(first, &key, "a bay").await.unwrap();
    let other = order(second, &key, "a bay").await.unwrap();

    // Assert: the home has cached the claim and the owner the response, so neither needs the store.
    assert!(answer.is_completed() && !answer.replayed, "{answer:?}");
    assert!(same.is_completed() && same.replayed, "{same:?}");
    assert!(other.is_completed() && other.replayed, "{other:?}");
    assert_eq!(run_count(&fleet, &key), 1);
}

/// Step of a call after which its daemon is killed.
#[derive(Debug, Clone, Copy)]
enum KillStep {
    Claimed,
    Dispatched,
    Run,
    Answered,
}

#[test_case(KillStep::Claimed, 0; "before it receives its verdict")]
#[test_case(KillStep::Dispatched, 1; "before the run")]
#[test_case(KillStep::Run, 1; "after the run")]
#[test_case(KillStep::Answered, 1; "after the answer")]
#[async_std::test]
async fn killed_daemon_leaves_no_second_run(step: KillStep, runs: usize) {
    // Arrange
    let _permit = FleetPermit::acquire();
    let (mut fleet, proxies) = proxied_fleet(service_spec(2, 1)).await;
    let service = fleet.services[0].row.address;
    let [killed, home] = [0, 1].map(|index: usize| fleet.daemons[index].addresses.listen);
    let key = key_homed_at(1, 2, &mut seeded_rng());
    match step {
        KillStep::Claimed => proxies.peers.set_faults(ProxyFaults {
            to_caller: DirectionFault::Hold,
            ..ProxyFaults::default()
        }),
        KillStep::Dispatched => {
            fleet
                .set_knobs(service, json!({ "before_ms": 1_500 }))
                .await;
        }
        KillStep::Run => {
            fleet
                .set_knobs(service, json!({ "after_ms": 10_000 }))
                .await;
        }
        KillStep::Answered => {}
    }

    // Act
    let before = committed_writes(home).await;
    let sent = key.clone();
    let call = task::spawn(async move { order(killed, &sent, "a bay").await });
    match step {
        KillStep::Claimed => wait_committed(home, before).await,
        KillStep::Dispatched => wait_arrival(service, &key).await,
        KillStep::Run => {
            wait_until("the call has run", WAIT_TIMEOUT, || async {
                run_count(&fleet, &key) > 0
            })
            .await;
        }
        KillStep::Answered => assert!(call.await.unwrap().is_completed()),
    }
    fleet.daemons[0].process.kill();
    proxies.peers.set_faults(ProxyFaults::default());
    let retry = order_with_retries(home, &key, "a bay").await;
    fleet.restart_daemon(0).await;
    fleet.wait_ready().await;
    let late = order_with_retries(killed, &key, "a bay").await;

    // Assert
    for retry in [retry, late] {
        assert_eq!((retry.status, &*retry.outcome), (409, "unknown"));
    }
    wait_until(
        "the call has run as often as expected",
        WAIT_TIMEOUT,
        || async { run_count(&fleet, &key) == runs },
    )
    .await;
}

#[async_std::test]
async fn daemon_paused_past_the_dispatch_timeout_does_not_dispatch() {
    // Arrange: the daemon is frozen while it waits for the verdict on its claim.
    let _permit = FleetPermit::acquire();
    let claims = ClaimSettings {
        claim_ms: 60_000,
        peer_ms: 30_000,
        dispatch_ms: 1_000,
        ..ClaimSettings::default()
    };
    let spec = FleetSpec {
        claims,
        ..service_spec(2, 1)
    };
    let (fleet, proxies) = proxied_fleet(spec).await;
    let [paused, home] = [0, 1].map(|index: usize| fleet.daemons[index].addresses.listen);
    let key = key_homed_at(1, 2, &mut seeded_rng());
    proxies.peers.set_faults(ProxyFaults {
        to_caller: DirectionFault::Hold,
        ..ProxyFaults::default()
    });

    // Act
    let granted = granted_claims(paused).await;
    let written = committed_writes(paused).await;
    let before = committed_writes(home).await;
    let sent = key.clone();
    let call = task::spawn(async move { order(paused, &sent, "a bay").await.unwrap() });
    wait_committed(home, before).await;
    wait_until("the call is claimed", WAIT_TIMEOUT, || {
        is_claimed(&fleet, &key)
    })
    .await;
    let still_granted = granted_claims(paused).await;
    let still_written = committed_writes(paused).await;
    fleet.daemons[0].process.freeze();
    let frozen = Instant::now();
    proxies.peers.set_faults(ProxyFaults::default());
    wait_until("the dispatch timeout has ended", WAIT_TIMEOUT, || async {
        frozen.elapsed() > Duration::from_millis(1_100)
    })
    .await;
    fleet.daemons[0].process.thaw();
    let refused = call.await;
    let runs_when_refused = run_count(&fleet, &key);
    let retry = order_with_retries(home, &key, "a bay").await;

    // Assert
    let has_no_verdict = (still_granted, still_written) == (granted, written);
    assert!(
        has_no_verdict,
        "the daemon got a verdict before its pause: {refused:?}"
    );
    assert_eq!((refused.status, &*refused.outcome), (503, "not_run"));
    assert_eq!(runs_when_refused, 0);
    assert!(retry.is_completed(), "{retry:?}");
    assert_eq!(run_count(&fleet, &key), 1);
}

#[test_case(json!({ "die_before": true }), 0; "before the run")]
#[test_case(json!({ "die_after": true }), 1; "after the run")]
#[async_std::test]
async fn call_is_not_sent_again_after_its_target_died(knobs: serde_json::Value, runs: usize) {
    // Arrange
    let _permit = FleetPermit::acquire();
    let mut fleet = service_fleet(service_spec(2, 1)).await;
    fleet.set_knobs(fleet.services[0].row.address, knobs).await;
    let key = dated_key(&mut seeded_rng());

    // Act
    let failed = order(fleet.daemons[0].addresses.listen, &key, "a bay")
        .await
        .unwrap();
    fleet.restart_service(0).await;
    let mut retries = Vec::new();
    for daemon in &fleet.daemons {
        retries.push(order_with_retries(daemon.addresses.listen, &key, "a bay").await);
    }

    // Assert
    assert_eq!((failed.status, &*failed.outcome), (502, "unknown"));
    for retry in retries {
        assert_eq!((retry.status, &*retry.outcome), (409, "unknown"));
    }
    assert_eq!(run_count(&fleet, &key), runs);
}

#[async_std::test]
async fn connection_cut_after_the_call_is_unknown_everywhere() {
    // Arrange: both instances of the service are behind proxies that close connections on a
    // response.
    let _permit = FleetPermit::acquire();
    let fleet = service_fleet(service_spec(2, 2)).await;
    for member in &fleet.services {
        let proxy = start_proxy(member.row.address).await;
        proxy.set_faults(ProxyFaults {
            to_caller: DirectionFault::Close,
            ..ProxyFaults::default()
        });
        let mut row = member.row.clone();
        row.address = proxy.address();
        fleet.register_instance(&row).await;
    }
    let daemon = fleet.daemons[0].addresses.listen;
    let mut rng = seeded_rng();

    // Act: until the daemon has read the new instance list, calls are still answered.
    let is_cut = |response: &CallResponse| !response.is_completed();
    let (key, response) = order_until(daemon, "a bay", || dated_key(&mut rng), is_cut).await;
    let mut retries = Vec::new();
    for daemon in &fleet.daemons {
        retries.push(order_with_retries(daemon.addresses.listen, &key, "a bay").await);
    }

    // Assert
    assert_eq!((response.status, &*response.outcome), (502, "unknown"));
    for retry in retries {
        assert_eq!((retry.status, &*retry.outcome), (409, "unknown"));
    }
    assert_eq!(run_count(&fleet, &key), 1);
}

#[async_std::test]
async fn refused_connections_leave_the_key_free() {
    // Arrange
    let _permit = FleetPermit::acquire();
    let mut fleet = service_fleet(service_spec(2, 2)).await;
    let mut rng = seeded_rng();
    let [first, second] = [0, 1].map(|index: usize| fleet.daemons[index].addresses.listen);

    // Act
    fleet.services[0].process.kill();
    let mut over_one = Vec::new();
    for _ in 0..6 {
        let key = dated_key(&mut rng);
        over_one.push((order(first, &key, "a bay").await.unwrap(), key));
    }
    fleet.services[1].process.kill();
    let key = dated_key(&mut rng);
    let refused = order(first, &key, "a bay").await.unwrap();
    let runs_when_refused = run_count(&fleet, &key);
    fleet.restart_service(1).await;
    let retry = order_with_retries(second, &key, "a bay").await;

    // Assert
    for (response, key) in over_one {
        assert!(response.is_completed(), "{response:?}");
        assert_eq!(run_count(&fleet, &key), 1);
    }
    assert_eq!((refused.status, &*refused.outcome), (503, "not_run"));
    assert!(refused.retry_after.is_some());
    assert_eq!(runs_when_refused, 0);
    assert!(retry.is_completed(), "{retry:?}");
    assert_eq!(run_count(&fleet, &key), 1);
}

#[async_std::test]
async fn call_in_a_send_buffer_is_never_reported_as_not_executed() {
    // Arrange: the target accepts the connection and reads nothing for a while, so that the call is
    // in a send buffer when the timeout ends and may still run later.
    let _permit = FleetPermit::acquire();
    let claims = ClaimSettings {
        service_ms: 800,
        ..ClaimSettings::default()
    };
    let spec = FleetSpec {
        claims,
        ..service_spec(2, 1)
    };
    let fleet = service_fleet(spec).await;
    let target = fleet.services[0].row.address;
    let proxy = start_proxy(target).await;
    let mut row = fleet.services[0].row.clone();
    row.address = proxy.address();
    fleet.register_instance(&row).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let mut rng = seeded_rng();
    proxy.set_faults(ProxyFaults {
        to_target: DirectionFault::Hold,
        ..ProxyFaults::default()
    });

    // Act
    let body = "x".repeat(900 << 10);
    let is_held = |response: &CallResponse| !response.is_completed();
    let (key, response) = order_until(daemon, &body, || dated_key(&mut rng), is_held).await;
    proxy.set_faults(ProxyFaults::default());
    let retry = order_with_retries(daemon, &key, &body).await;

    // Assert
    assert_eq!(response.outcome, "unknown", "{response:?}");
    assert_eq!((retry.status, &*retry.outcome), (409, "unknown"));
    assert!(run_count(&fleet, &key) <= 1);
}

#[async_std::test]
async fn caller_that_hangs_up_does_not_cancel_its_call() {
    // Arrange
    let _permit = FleetPermit::acquire();
    let fleet = service_fleet(service_spec(2, 1)).await;
    let service = fleet.services[0].row.address;
    fleet.set_knobs(service, json!({ "before_ms": 600 })).await;
    let key = dated_key(&mut seeded_rng());
    let hang_up_after = Duration::from_millis(300);

    // Act
    let [first, second] = [0, 1].map(|index: usize| fleet.daemons[index].addresses.listen);
    order_and_hang_up(first, &key, "a bay", hang_up_after).await;
    let retry = order_with_retries(second, &key, "a bay").await;

    // Assert
    assert!(retry.is_completed() && retry.replayed, "{retry:?}");
    assert_eq!(run_count(&fleet, &key), 1);
}

/// Fault of the home of a shard.
#[derive(Debug, Clone, Copy)]
enum HomeFault {
    Killed,
    Frozen,
    CutOffFromPeers,
    CutOffFromStore,
}

#[test_case(HomeFault::Killed; "killed")]
#[test_case(HomeFault::Frozen; "frozen")]
#[test_case(HomeFault::CutOffFromPeers; "cut off from its peers")]
#[test_case(HomeFault::CutOffFromStore; "cut off from the store")]
#[async_std::test]
async fn claims_go_on_without_their_home(fault: HomeFault) {
    // Arrange
    let _permit = FleetPermit::acquire();
    let (mut fleet, proxies) = proxied_fleet(service_spec(2, 1)).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let mut rng = seeded_rng();
    let keys: Vec<String> = (0..3).map(|_| key_homed_at(1, 2, &mut rng)).collect();

    // Act
    match fault {
        HomeFault::Killed => fleet.daemons[1].process.kill(),
        HomeFault::Frozen => fleet.daemons[1].process.freeze(),
        HomeFault::CutOffFromPeers => cut_off(&proxies.peers),
        HomeFault::CutOffFromStore => cut_off(&proxies.store),
    }
    let mut responses = Vec::new();
    for key in &keys {
        responses.push(order(daemon, key, "a bay").await.unwrap());
    }

    // Assert
    for (key, response) in keys.iter().zip(responses) {
        assert!(response.is_completed(), "{response:?}");
        assert_eq!(run_count(&fleet, key), 1);
    }
}

#[async_std::test]
async fn lost_claim_reply_and_dying_home_together_run_once() {
    // Arrange: the home's write takes effect, its reply is lost, and then the home is killed.
    let _permit = FleetPermit::acquire();
    let (mut fleet, _proxies) = proxied_fleet(service_spec(2, 1)).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let key = key_homed_at(1, 2, &mut seeded_rng());
    let lose = json!({ "lose_replies": 1, "lose_prefix": CLAIM_PREFIX });
    fleet.set_knobs(fleet.platform, lose).await;

    // Act
    let sent = key.clone();
    let call = task::spawn(async move { order(daemon, &sent, "a bay").await.unwrap() });
    wait_until("the reply is lost", WAIT_TIMEOUT, || async {
        fleet.platform_calls().await["lost"] == 1
    })
    .await;
    fleet.daemons[1].process.kill();
    let response = call.await;

    // Assert: the first daemon recognises the claim in the page by its attempt, although the home
    // wrote it.
    assert!(
        response.is_completed() && !response.replayed,
        "{response:?}"
    );
    assert_eq!(run_count(&fleet, &key), 1);
}

#[async_std::test]
async fn daemon_without_the_store_claims_through_the_home() {
    // Arrange
    let _permit = FleetPermit::acquire();
    let (fleet, proxies) = proxied_fleet(service_spec(2, 1)).await;
    let key = key_homed_at(0, 2, &mut seeded_rng());

    // Act
    cut_off(&proxies.store);
    let response = order(fleet.daemons[1].addresses.listen, &key, "a bay").await;

    // Assert
    let response = response.unwrap();
    assert!(response.is_completed(), "{response:?}");
    assert_eq!(run_count(&fleet, &key), 1);
}
