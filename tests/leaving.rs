//! Leaving targets get no new work after a few seconds, whichever source reports first that they
//! leave, and their work in progress is finished.

mod support;

use arbutusmount::{ConnectionPool, HttpCall, InstanceState, RequestId};
use async_std::task;
use http_types::Method;
use rig::{
    DaemonAddresses, DirectionFault, EngineKnobs, FaultProxy, FleetSpec, HEAD_OFFICE_TOKEN,
    LedgerEntry, ProcessFleet, ProxyFaults, RunRecord, admin_get, free_address, reference_text,
    sample_declaration, wait_until,
};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::{MODEL, chat_request, programs, ready_fleet, team_client};

/// Time after which a leaving target gets no new work: "a few seconds".
const LEAVING_BOUND: Duration = Duration::from_secs(3);
/// Number of requests that must complete after the bound before the target's work is compared.
const LATER_REQUESTS: usize = 40;
/// Longest wait for those requests.
const TRAFFIC_LIMIT: Duration = Duration::from_secs(30);

/// Six engines for two replicas of the model, so that the model is served without any one of them.
fn two_replicas(services: usize) -> FleetSpec {
    FleetSpec {
        engines: vec![(EngineKnobs::default(), 8_000); 6],
        services,
        ..FleetSpec::default()
    }
}

/// Continuous requests until dropped.
struct Traffic {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Traffic {
    /// Runs `request` repeatedly in four tasks. Each call returns true when the request completed.
    fn start<F, R>(request: F) -> Self
    where
        F: Fn(u64) -> R + Clone + Send + 'static,
        R: Future<Output = bool> + Send,
    {
        let traffic = Self {
            stop: Arc::default(),
            completed: Arc::default(),
        };
        for lane in 0..4 {
            let (stop, completed) = (Arc::clone(&traffic.stop), Arc::clone(&traffic.completed));
            let request = request.clone();
            task::spawn(async move {
                let mut number = lane << 32;
                while !stop.load(Ordering::Relaxed) {
                    if request(number).await {
                        completed.fetch_add(1, Ordering::Relaxed);
                    }
                    number += 1;
                }
            });
        }
        traffic
    }

    fn completed(&self) -> usize {
        self.completed.load(Ordering::Relaxed)
    }

    async fn wait_for_more(&self, count: usize) {
        let wanted = self.completed() + count;
        wait_until("requests complete", TRAFFIC_LIMIT, || async {
            self.completed() >= wanted
        })
        .await;
    }
}

fn chat_traffic(daemon: SocketAddr) -> Traffic {
    Traffic::start(move |seed| async move {
        let ask = chat_request("Where is my slip?", seed, 12);
        let mut text = String::new();
        let finish = team_client()
            .ask(daemon, &ask, |piece| text.push_str(piece))
            .await;
        finish.is_ok() && text == reference_text(MODEL, seed, "Where is my slip?", 12)
    })
}

fn order_traffic(daemon: SocketAddr) -> Traffic {
    let pool = ConnectionPool::new(Duration::from_secs(1), 8);
    Traffic::start(move |number| {
        let pool = Arc::clone(&pool);
        async move {
            let call = HttpCall::new(daemon, Method::Post, "/services/stock/orders")
                .header("authorization", &format!("Bearer {HEAD_OFFICE_TOKEN}"))
                .header("idempotency-key", &format!("key-{number}"));
            let reply = pool.fetch::<serde_json::Value>(&call).await;
            matches!(reply, Ok((200, _)))
        }
    })
}

async fn requests_of(engine: SocketAddr) -> BTreeSet<RequestId> {
    let ledger: Vec<LedgerEntry> = admin_get(engine, "/v1/ledger")
        .await
        .expect("the engine returns its ledger");
    ledger.iter().map(|entry| entry.request).collect()
}

async fn runs_of(service: SocketAddr) -> usize {
    let ledger: Vec<RunRecord> = admin_get(service, "/admin/ledger")
        .await
        .expect("the service returns its ledger");
    ledger.len()
}

/// Waits until the bound since `start` has passed; before that, new work is allowed.
async fn wait_bound(start: Instant) {
    wait_until("the bound has passed", TRAFFIC_LIMIT, || async {
        start.elapsed() >= LEAVING_BOUND
    })
    .await;
}

/// Waits for the bound and for more traffic, and checks that the engine gets no new request after
/// the bound.
async fn assert_no_new_requests(engine: SocketAddr, traffic: &Traffic, start: Instant) {
    wait_bound(start).await;
    let before = requests_of(engine).await;
    traffic.wait_for_more(LATER_REQUESTS).await;
    let after = requests_of(engine).await;
    let new: Vec<_> = after.difference(&before).collect();
    assert!(new.is_empty(), "{} requests after the bound", new.len());
}

async fn wait_for_work(engine: SocketAddr, traffic: &Traffic) {
    wait_until("the engine has work", TRAFFIC_LIMIT, || async {
        !requests_of(engine).await.is_empty() && traffic.completed() > 0
    })
    .await;
}

async fn mark_leaving(fleet: &ProcessFleet, row: &arbutusmount::InstanceRow) {
    let mut row = row.clone();
    row.state = InstanceState::Leaving;
    fleet.register_instance(&row).await;
}

/// Starts a fleet whose second daemon can no longer read the instance list. Also returns the proxy
/// that cuts it off.
async fn fleet_with_cut_daemon(services: usize) -> (ProcessFleet, FaultProxy) {
    let spec = FleetSpec {
        daemons: 1,
        ..two_replicas(services)
    };
    let mut fleet = ProcessFleet::start(spec, programs()).await;
    let proxy = FaultProxy::start(free_address(), fleet.platform).await;
    let proxy = proxy.expect("a proxy listens on a free address");
    let addresses = DaemonAddresses {
        instances: proxy.address(),
        ..fleet.direct_addresses()
    };
    fleet.add_daemon(addresses).await;
    fleet.declare(&sample_declaration(2)).await;
    wait_until("each daemon lists both daemons", LEAVING_BOUND, || async {
        let answer = team_client()
            .addresses(fleet.daemons[1].addresses.listen)
            .await;
        answer.is_ok_and(|answer| answer.addresses.len() == 2)
    })
    .await;
    proxy.set_faults(ProxyFaults {
        to_target: DirectionFault::Drop,
        ..ProxyFaults::default()
    });
    (fleet, proxy)
}

#[async_std::test]
async fn engine_listed_as_leaving_gets_no_new_work_and_ends_its_own() {
    // Arrange: a list that lags by a second, and a long answer that runs on the engine.
    let fleet = ready_fleet(two_replicas(0), 2).await;
    fleet
        .set_knobs(fleet.platform, json!({ "list_lag_ms": 1_000 }))
        .await;
    let daemon = fleet.daemons[0].addresses.listen;
    let traffic = chat_traffic(daemon);
    let engine = fleet.engines[0].row.address;
    wait_for_work(engine, &traffic).await;
    let long = task::spawn(async move {
        let mut text = String::new();
        let ask = chat_request("Which sizes are left?", 9, 600);
        let finish = team_client()
            .ask(daemon, &ask, |piece| text.push_str(piece))
            .await;
        (finish, text)
    });

    // Act
    let start = Instant::now();
    mark_leaving(&fleet, &fleet.engines[0].row).await;

    // Assert
    assert_no_new_requests(engine, &traffic, start).await;
    let (finish, text) = long.await;
    assert_eq!(finish, Ok("length".to_owned()));
    assert_eq!(text, reference_text(MODEL, 9, "Which sizes are left?", 600));
}

#[async_std::test]
async fn engine_that_says_it_leaves_gets_no_new_work_while_the_list_lags() {
    // Arrange: the list will not show anything new within the test.
    let fleet = ready_fleet(two_replicas(0), 2).await;
    fleet
        .set_knobs(fleet.platform, json!({ "list_lag_ms": 60_000 }))
        .await;
    let traffic = chat_traffic(fleet.daemons[0].addresses.listen);
    let engine = fleet.engines[0].row.address;
    wait_for_work(engine, &traffic).await;

    // Act
    let start = Instant::now();
    mark_leaving(&fleet, &fleet.engines[0].row).await;
    fleet.set_knobs(engine, json!({ "leaving": true })).await;

    // Assert
    assert_no_new_requests(engine, &traffic, start).await;
}

#[async_std::test]
async fn engine_dropped_from_the_list_gets_no_new_work() {
    // Arrange
    let fleet = ready_fleet(two_replicas(0), 2).await;
    let traffic = chat_traffic(fleet.daemons[0].addresses.listen);
    let engine = fleet.engines[0].row.address;
    wait_for_work(engine, &traffic).await;

    // Act
    let start = Instant::now();
    fleet.deregister_instance(&fleet.engines[0].row).await;

    // Assert
    assert_no_new_requests(engine, &traffic, start).await;
}

#[async_std::test]
async fn daemon_cut_off_from_the_list_learns_of_leaving_engines_from_others() {
    // Arrange
    let (fleet, _proxy) = fleet_with_cut_daemon(0).await;
    let traffic = chat_traffic(fleet.daemons[1].addresses.listen);
    let engine = fleet.engines[0].row.address;
    wait_for_work(engine, &traffic).await;

    // Act
    let start = Instant::now();
    mark_leaving(&fleet, &fleet.engines[0].row).await;

    // Assert
    assert_no_new_requests(engine, &traffic, start).await;
}

#[async_std::test]
async fn daemon_cut_off_from_the_list_learns_of_leaving_services_from_others() {
    // Arrange
    let (fleet, _proxy) = fleet_with_cut_daemon(2).await;
    let traffic = order_traffic(fleet.daemons[1].addresses.listen);
    let service = fleet.services[0].row.address;
    wait_until("the service has work", TRAFFIC_LIMIT, || async {
        runs_of(service).await > 0
    })
    .await;

    // Act
    let start = Instant::now();
    mark_leaving(&fleet, &fleet.services[0].row).await;

    // Assert
    wait_bound(start).await;
    let before = runs_of(service).await;
    traffic.wait_for_more(LATER_REQUESTS).await;
    assert_eq!(runs_of(service).await, before, "runs after the bound");
}
