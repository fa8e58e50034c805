//! Reconciler: the declared placement is restored after faults of engines and of reconcilers.

mod support;

use arbutusmount::{
    ConnectionCount, ConnectionPool, EngineOrder, EngineReport, FenceNumber, FleetDeclaration,
    HeldStage, HttpCall, InstanceRow, InstanceState, LayerRange, OperatorClient, OrderReply,
    PlanRequest, StatusResponse, serve_http,
};
use async_std::net::TcpListener;
use http_types::Method;
use rig::{
    DirectionFault, EngineKnobs, FaultProxy, FleetSpec, OPERATOR_TOKEN, ProcessFleet, ProxyFaults,
    admin_get, free_address, reference_text, sample_declaration, wait_until,
};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use support::{MODEL, chat_request, find_leader, programs, read_metric, ready_fleet, team_client};

/// Time within which a running reconciler restores a stage.
const REPAIR_LIMIT: Duration = Duration::from_secs(10);
/// Time within which another daemon takes over and restores a stage; it includes the six seconds of
/// the lease.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(20);

fn operator() -> OperatorClient {
    OperatorClient::new(OPERATOR_TOKEN)
}

fn spec(daemons: usize, engines: usize, knobs: &EngineKnobs) -> FleetSpec {
    FleetSpec {
        daemons,
        engines: vec![(knobs.clone(), 8_000); engines],
        services: 0,
        ..FleetSpec::default()
    }
}

async fn engine_report(address: SocketAddr) -> Option<EngineReport> {
    admin_get(address, "/v1/report").await.ok()
}

/// True when the engine has loaded any stage of this version.
async fn holds_version(address: SocketAddr, version: &str) -> bool {
    let report = engine_report(address).await;
    let is_loaded = |held: &HeldStage| held.ready && held.version.as_str() == version;
    report.is_some_and(|report| report.stages.iter().any(is_loaded))
}

async fn status(fleet: &ProcessFleet, daemon: usize) -> Option<StatusResponse> {
    operator()
        .status(fleet.daemons[daemon].addresses.listen)
        .await
        .ok()
}

async fn wait_holding(fleet: &ProcessFleet, engine: usize, limit: Duration) {
    let address = fleet.engines[engine].row.address;
    let what = format!("engine {engine} holds its stage again");
    wait_until(&what, limit, || holds_version(address, "v1")).await;
}

/// Confirms a declaration through the first daemon.
async fn confirm(fleet: &ProcessFleet, declaration: FleetDeclaration) {
    confirm_through(fleet, 0, declaration).await;
}

async fn confirm_through(fleet: &ProcessFleet, daemon: usize, declaration: FleetDeclaration) {
    let daemon = fleet.daemons[daemon].addresses.listen;
    let wanted = PlanRequest {
        author: Arc::from("somchai"),
        declaration,
    };
    let plan = operator().plan(daemon, &wanted).await;
    let plan = plan.expect("the daemon plans");
    let confirmed = operator().confirm(daemon, &plan).await;
    confirmed.expect("the daemon confirms");
}

const PROMPT: &str = "Where is my delivery slip?";

fn reference(version: &str) -> String {
    reference_text((MODEL.0, version, MODEL.2), 9, PROMPT, 12)
}

async fn ask_text(fleet: &ProcessFleet) -> String {
    let ask = chat_request(PROMPT, 9, 12);
    let mut text = String::new();
    let daemon = fleet.daemons[0].addresses.listen;
    let finish = team_client()
        .ask(daemon, &ask, |piece| text.push_str(piece))
        .await;
    assert_eq!(finish, Ok("length".to_owned()));
    text
}

async fn assert_answers(fleet: &ProcessFleet, version: &str) {
    assert_eq!(ask_text(fleet).await, reference(version));
}

/// True when the loaded stages of this version cover every layer.
fn has_full_replica(stages: &[&HeldStage], version: &str) -> bool {
    let is_loaded = |held: &&&HeldStage| held.ready && held.version.as_str() == version;
    let loaded: Vec<LayerRange> = stages
        .iter()
        .filter(is_loaded)
        .map(|held| held.layers)
        .collect();
    (0..MODEL.2).all(|layer| {
        loaded
            .iter()
            .any(|range| range.from <= layer && layer < range.to)
    })
}

/// Sends an order to an engine, as a former leader would.
async fn send_order(address: SocketAddr, order: &EngineOrder) -> Option<OrderReply> {
    let pool = ConnectionPool::new(Duration::from_secs(1), 1);
    let call = HttpCall::new(address, Method::Post, "/v1/orders").json(order);
    let (_status, reply) = pool.fetch(&call).await.ok()?;
    Some(reply)
}

#[async_std::test]
async fn restarted_engine_gets_its_stage_back() {
    // Arrange
    let mut fleet = ready_fleet(spec(2, 3, &EngineKnobs::default()), 1).await;

    // Act
    fleet.restart_engine(1).await;

    // Assert
    wait_holding(&fleet, 1, REPAIR_LIMIT).await;
    fleet.wait_ready().await;
    assert_answers(&fleet, "v1").await;
}

#[async_std::test]
async fn order_whose_reply_is_lost_is_repeated_without_harm() {
    // Arrange: engine 0 is listed behind a proxy, which will drop its replies.
    let fleet = ProcessFleet::start(spec(1, 3, &EngineKnobs::default()), programs()).await;
    let engine = fleet.engines[0].row.clone();
    let proxy = FaultProxy::start(free_address(), engine.address).await;
    let proxy = proxy.expect("the proxy starts");
    let listed = InstanceRow {
        address: proxy.address(),
        ..engine.clone()
    };
    fleet.register_instance(&listed).await;
    fleet.declare(&sample_declaration(1)).await;

    // Act: the engine is ordered to unload; the reconciler's order reaches it and the reply is
    // lost.
    let forget = EngineOrder {
        fence: FenceNumber(u64::MAX),
        stage: None,
        layer_bytes: 0,
    };
    fleet
        .set_knobs(engine.address, json!({ "honours_fencing": false }))
        .await;
    let taken = send_order(engine.address, &forget).await;
    let loads = fleet.platform_calls().await["weights"].as_u64();
    wait_holding(&fleet, 0, REPAIR_LIMIT).await;
    proxy.set_faults(ProxyFaults {
        to_caller: DirectionFault::Drop,
        ..ProxyFaults::default()
    });
    send_order(engine.address, &forget).await;
    proxy.close_connections();
    proxy.set_faults(ProxyFaults::default());

    // Assert: the stage is restored, and each of the two unloads has cost a single load.
    assert_eq!(taken, Some(OrderReply::Accepted));
    wait_holding(&fleet, 0, REPAIR_LIMIT).await;
    fleet.wait_ready().await;
    let after = fleet.platform_calls().await["weights"].as_u64();
    assert!(after <= loads.map(|loads| loads + 2), "{loads:?} {after:?}");
}

#[async_std::test]
async fn refused_orders_are_sent_again_until_taken() {
    // Arrange: engine 2 has seen a higher fencing number than the reconciler's.
    let fleet = ProcessFleet::start(spec(1, 3, &EngineKnobs::default()), programs()).await;
    let engine = fleet.engines[2].row.address;
    let high = EngineOrder {
        fence: FenceNumber(u64::MAX),
        stage: None,
        layer_bytes: 0,
    };
    send_order(engine, &high).await;

    // Act: the engine refuses orders until it is set to ignore fencing numbers.
    confirm_when_listed(&fleet, sample_declaration(1)).await;
    wait_until("an order was refused", REPAIR_LIMIT, || async {
        metric(
            &fleet,
            0,
            "arbutusmount_reconcile_orders_total{outcome=\"fenced\"}",
        )
        .await
            > 0.0
    })
    .await;
    let held = holds_version(engine, "v1").await;
    fleet
        .set_knobs(engine, json!({ "honours_fencing": false }))
        .await;

    // Assert
    assert!(!held, "a refused order must not be executed");
    wait_holding(&fleet, 2, TAKEOVER_LIMIT).await;
    fleet.wait_ready().await;
}

/// Confirms a declaration as soon as the first daemon sees the engines.
async fn confirm_when_listed(fleet: &ProcessFleet, declaration: FleetDeclaration) {
    let daemon = fleet.daemons[0].addresses.listen;
    let wanted = PlanRequest {
        author: Arc::from("somchai"),
        declaration: declaration.clone(),
    };
    wait_until("the daemon can plan", REPAIR_LIMIT, || async {
        operator().plan(daemon, &wanted).await.is_ok()
    })
    .await;
    confirm(fleet, declaration).await;
}

async fn metric(fleet: &ProcessFleet, daemon: usize, name: &str) -> f64 {
    read_metric(fleet.daemons[daemon].addresses.listen, name).await
}

/// Relay in front of an engine. While `is_holding` is set it delays orders, and nothing else.
#[derive(Clone)]
struct OrderRelay {
    engine: SocketAddr,
    is_holding: Arc<AtomicBool>,
    held: Arc<AtomicUsize>,
    pool: Arc<ConnectionPool>,
}

impl OrderRelay {
    /// Starts a relay in front of `engine` and returns it with its address.
    async fn start(engine: SocketAddr) -> (Self, SocketAddr) {
        let relay = Self {
            engine,
            is_holding: Arc::default(),
            held: Arc::default(),
            pool: ConnectionPool::new(Duration::from_secs(1), 8),
        };
        let listener = TcpListener::bind(free_address()).await;
        let listener = listener.expect("the address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let mut app = tide::with_state(relay.clone());
        app.at("/v1/orders").post(relay_order);
        app.at("/*").all(relay_call);
        async_std::task::spawn(serve_http(listener, app, ConnectionCount::default()));
        (relay, address)
    }

    async fn pass(&self, mut request: tide::Request<Self>) -> tide::Result {
        let mut call = HttpCall::new(self.engine, request.method(), request.url().path());
        call.body = request.body_bytes().await?;
        let call = call.header("content-type", "application/json");
        let (status, body): (u16, serde_json::Value) = self.pool.fetch(&call).await?;
        let mut response = tide::Response::new(status);
        response.set_body(tide::Body::from_json(&body)?);
        Ok(response)
    }
}

async fn relay_call(request: tide::Request<OrderRelay>) -> tide::Result {
    let relay = request.state().clone();
    relay.pass(request).await
}

/// Forwards an order once the relay no longer holds orders, even if its sender has timed out.
async fn relay_order(request: tide::Request<OrderRelay>) -> tide::Result {
    let relay = request.state().clone();
    let order = async move {
        if relay.is_holding.load(Ordering::Acquire) {
            relay.held.fetch_add(1, Ordering::AcqRel);
        }
        while relay.is_holding.load(Ordering::Acquire) {
            async_std::task::sleep(Duration::from_millis(5)).await;
        }
        relay.pass(request).await
    };
    async_std::task::spawn(order).await
}

#[async_std::test]
async fn late_order_of_a_paused_reconciler_is_corrected_where_fencing_is_ignored() {
    // Arrange: engine 1 ignores fencing numbers and is reached through a relay.
    let knobs = EngineKnobs {
        honours_fencing: false,
        ..EngineKnobs::default()
    };
    let fleet = ProcessFleet::start(spec(3, 3, &knobs), programs()).await;
    let engine = fleet.engines[1].row.clone();
    let (relay, address) = OrderRelay::start(engine.address).await;
    fleet
        .register_instance(&InstanceRow {
            address,
            ..engine.clone()
        })
        .await;
    fleet.declare(&sample_declaration(1)).await;
    let leader = find_leader(&fleet, &[0, 1, 2]).await;
    let leader = leader.expect("one daemon is the leader");
    let others: Vec<usize> = (0..3).filter(|daemon| *daemon != leader).collect();

    // Act: the leader is paused while its order for v2 is in flight. Another daemon takes over and
    // v1 is declared again; then the order arrives and the paused leader resumes.
    relay.is_holding.store(true, Ordering::Release);
    let mut declaration = sample_declaration(1);
    declaration.models[0].version = "v2".parse().expect("the version name is valid");
    confirm_through(&fleet, others[0], declaration).await;
    wait_until("the order is in flight", REPAIR_LIMIT, || async {
        relay.held.load(Ordering::Acquire) > 0
    })
    .await;
    fleet.daemons[leader].process.freeze();
    wait_until("another daemon takes over", TAKEOVER_LIMIT, || async {
        find_leader(&fleet, &others).await.is_some()
    })
    .await;
    confirm_through(&fleet, others[0], sample_declaration(1)).await;
    relay.is_holding.store(false, Ordering::Release);
    fleet.daemons[leader].process.thaw();

    // Assert: v1 is restored on every engine, and a single daemon is the leader.
    wait_until("v1 is restored on every engine", TAKEOVER_LIMIT, || async {
        let mut holding = 0;
        for engine in &fleet.engines {
            holding += usize::from(holds_version(engine.row.address, "v1").await);
        }
        holding == 3
    })
    .await;
    fleet.wait_ready().await;
    assert_answers(&fleet, "v1").await;
    let name = "arbutusmount_reconcile_leader";
    wait_until("a single daemon is the leader", REPAIR_LIMIT, || async {
        let mut leaders = 0.0;
        for daemon in 0..3 {
            leaders += metric(&fleet, daemon, name).await;
        }
        (leaders - 1.0).abs() < f64::EPSILON
    })
    .await;
}

#[async_std::test]
async fn stage_of_a_vanished_engine_moves_to_a_spare_one() {
    // Arrange: a spare engine, and a short time until a missing engine is replaced.
    let fleet = ProcessFleet::start(spec(2, 4, &EngineKnobs::default()), programs()).await;
    let mut declaration = sample_declaration(1);
    declaration.rollout.replace_seconds = 2;
    fleet.declare(&declaration).await;
    let mut fleet = fleet;
    let held = status(&fleet, 0).await.expect("the daemon answers");
    let mut lost = 0;
    for engine in 0..4 {
        if holds_version(fleet.engines[engine].row.address, "v1").await {
            lost = engine;
        }
    }

    // Act
    let row = fleet.engines[lost].row.clone();
    fleet.engines[lost].process.kill();
    fleet.deregister_instance(&row).await;

    // Assert: a new revision with the same stages, all of them loaded.
    wait_until("the stage has moved", TAKEOVER_LIMIT, || async {
        status(&fleet, 1)
            .await
            .is_some_and(|now| now.revision > held.revision)
    })
    .await;
    fleet.wait_ready().await;
    let now = status(&fleet, 1).await.expect("the daemon answers");
    assert_eq!(now.models[0].stages, held.models[0].stages);
    assert_answers(&fleet, "v1").await;
}

#[async_std::test]
async fn version_change_keeps_the_floor_and_the_weight_stores_rate() {
    // Arrange: two replicas on six engines with a floor of one; the weight store is slow.
    let fleet = ProcessFleet::start(spec(2, 6, &EngineKnobs::default()), programs()).await;
    let mut declaration = sample_declaration(2);
    declaration.models[0].floor = 1;
    declaration.rollout.loads_at_once = 2;
    fleet.declare(&declaration).await;
    fleet
        .set_knobs(fleet.platform, json!({ "weight_rate": 24_000 }))
        .await;

    // Act
    declaration.models[0].version = "v2".parse().expect("the version name is valid");
    confirm(&fleet, declaration).await;

    // Assert: at every observation a full replica is loaded, at most two engines load, and every
    // answer is from a single version.
    let observe = async || {
        let mut reports = Vec::new();
        for engine in &fleet.engines {
            reports.extend(engine_report(engine.row.address).await);
        }
        let stages: Vec<&HeldStage> = reports.iter().flat_map(|report| &report.stages).collect();
        let (old, new) = (
            has_full_replica(&stages, "v1"),
            has_full_replica(&stages, "v2"),
        );
        assert!(old || new, "no full replica is loaded: {stages:?}");
        let loading = stages.iter().filter(|held| !held.ready).count();
        assert!(loading <= 2, "{loading} engines load at once");
        let text = ask_text(&fleet).await;
        let whole = ["v1", "v2"].map(reference);
        assert!(
            whole.contains(&text),
            "the answer is of neither version: {text}"
        );
        let is_new = |held: &&&HeldStage| held.ready && held.version.as_str() == "v2";
        stages.iter().filter(is_new).count() == 6
    };
    wait_until(
        "both replicas have the new version",
        TAKEOVER_LIMIT,
        observe,
    )
    .await;
    fleet.wait_ready().await;
    assert_answers(&fleet, "v2").await;
}

#[async_std::test]
async fn removed_model_is_unloaded_and_a_leaving_engine_is_replaced() {
    // Arrange
    let fleet = ProcessFleet::start(spec(1, 4, &EngineKnobs::default()), programs()).await;
    let mut declaration = sample_declaration(1);
    declaration.rollout.replace_seconds = 1;
    fleet.declare(&declaration).await;
    let mut leaving = 0;
    for engine in 0..4 {
        if holds_version(fleet.engines[engine].row.address, "v1").await {
            leaving = engine;
        }
    }

    // Act
    let mut row = fleet.engines[leaving].row.clone();
    let before = status(&fleet, 0)
        .await
        .expect("the daemon answers")
        .revision;
    row.state = InstanceState::Leaving;
    fleet.register_instance(&row).await;
    wait_until("the leaving engine is replaced", TAKEOVER_LIMIT, || async {
        status(&fleet, 0)
            .await
            .is_some_and(|now| now.revision > before)
    })
    .await;
    fleet.wait_ready().await;
    declaration.models.clear();
    confirm(&fleet, declaration).await;

    // Assert
    wait_until("live engines hold no stage", REPAIR_LIMIT, || async {
        for (index, engine) in fleet.engines.iter().enumerate() {
            let report = engine_report(engine.row.address).await;
            let is_empty = report.is_some_and(|report| report.stages.is_empty());
            if index != leaving && !is_empty {
                return false;
            }
        }
        true
    })
    .await;
}
