//! Fixtures for calls of the stand-in service `stock` through real daemons.

#![allow(dead_code, reason = "each test program uses a part of the fixtures")]

use arbutusmount::{
    ClaimRequest, ConnectionPool, FleetDeclaration, HttpCall, InstanceId, SendError, choose_home,
    digest_token,
};
use async_std::future::timeout;
use rig::{
    FaultProxy, FleetSpec, ProcessFleet, ProgramPaths, ProxyFaults, TEAM_TOKEN, admin_get,
    free_address, wait_until,
};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tide::http::Method;

/// Longest wait for anything that should come about soon.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Fleets running at once in one test program.
const MAX_FLEETS: usize = 4;

static RUNNING_FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// Bounds the number of fleets that run at once; declare it before the fleet.
pub struct FleetPermit;

impl FleetPermit {
    pub fn acquire() -> Self {
        let running = RUNNING_FLEETS.lock().unwrap();
        let mut running = FLEET_ENDED
            .wait_while(running, |running| *running >= MAX_FLEETS)
            .unwrap();
        *running += 1;
        Self
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING_FLEETS.lock().unwrap() -= 1;
        FLEET_ENDED.notify_one();
    }
}

/// What a caller of the service sees.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReply {
    pub status: u16,
    pub outcome: String,
    pub replayed: bool,
    pub retry_after: Option<String>,
    pub body: String,
}

impl CallReply {
    pub fn is_completed(&self) -> bool {
        self.status == 200
    }
}

/// Calls `POST /services/stock/orders` on a daemon.
pub async fn order(daemon: SocketAddr, key: &str, body: &str) -> Result<CallReply, SendError> {
    let pool = ConnectionPool::new(Duration::from_secs(5), 0);
    let mut call = HttpCall::new(daemon, Method::Post, "/services/stock/orders")
        .header("authorization", &format!("Bearer {TEAM_TOKEN}"))
        .header("idempotency-key", key)
        .timeout(WAIT_TIMEOUT)
        .fresh();
    call.body = body.as_bytes().to_vec();
    let reply = pool.send(&call).await?;
    let header = |name| reply.header(name).map(str::to_owned);
    let (outcome, replayed) = (header("x-outcome"), header("idempotency-replayed"));
    let (status, retry_after) = (reply.status(), header("retry-after"));
    let bytes = reply.bytes().await?;
    Ok(CallReply {
        status,
        outcome: outcome.unwrap_or_else(|| "none".to_owned()),
        replayed: replayed.is_some(),
        retry_after,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

/// Orders with `next_key` until an answer is as `wanted`; its key and the answer.
pub async fn order_until(
    daemon: SocketAddr,
    body: &str,
    mut next_key: impl FnMut() -> String,
    wanted: impl Fn(&CallReply) -> bool,
) -> (String, CallReply) {
    let found = RefCell::new(None);
    wait_until("an order is answered as wanted", WAIT_TIMEOUT, || {
        let (key, found, wanted) = (next_key(), &found, &wanted);
        async move {
            let Ok(reply) = order(daemon, &key, body).await else {
                return false;
            };
            let is_wanted = wanted(&reply);
            found.replace(Some((key, reply)));
            is_wanted
        }
    })
    .await;
    found.take().expect("the last order was answered")
}

/// Orders until the answer is not one to come back after; that answer.
pub async fn order_with_retries(daemon: SocketAddr, key: &str, body: &str) -> CallReply {
    let is_final = |reply: &CallReply| reply.retry_after.is_none();
    order_until(daemon, body, || key.to_owned(), is_final)
        .await
        .1
}

/// Starts an order and gives up waiting for its answer after `hang_up_after`.
pub async fn order_and_hang_up(daemon: SocketAddr, key: &str, body: &str, hang_up_after: Duration) {
    let answered = timeout(hang_up_after, Box::pin(order(daemon, key, body))).await;
    assert!(answered.is_err(), "the order was to take longer");
}

/// A key with the present time: a UUID of version 7.
pub fn dated_key(rng: &mut fastrand::Rng) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let millis = now.as_millis() as u64;
    let (high, low) = (millis >> 16, millis & 0xffff);
    let (a, b, c) = (rng.u16(..) & 0xfff, rng.u16(..) & 0x3fff, rng.u64(..) >> 16);
    format!("{high:08x}-{low:04x}-7{a:03x}-{:04x}-{c:012x}", b | 0x8000)
}

/// A dated key whose shard has this home among the first `daemons` daemons.
pub fn key_homed_at(home: usize, daemons: usize, rng: &mut fastrand::Rng) -> String {
    let members: Vec<InstanceId> = (0..daemons)
        .map(|index| format!("router-{index}").parse().unwrap())
        .collect();
    let (team, service) = ("head-office".parse().unwrap(), "stock".parse().unwrap());
    loop {
        let key = dated_key(rng);
        let claim = ClaimRequest::new(&team, &service, &key, 0);
        if choose_home(claim.slot().shard(), &members) == Some(&members[home]) {
            return key;
        }
    }
}

/// Prints the seed of a test's random choices and returns their source.
pub fn seeded_rng() -> fastrand::Rng {
    let seed = std::env::var("ARBUTUSMOUNT_SEED").map_or_else(
        |_unset| fastrand::u64(..),
        |text| text.parse().expect("ARBUTUSMOUNT_SEED is a number"),
    );
    println!("ARBUTUSMOUNT_SEED={seed}");
    fastrand::Rng::with_seed(seed)
}

fn service_declaration() -> FleetDeclaration {
    let text = serde_json::json!({
        "services": [{ "service": "stock" }],
        "teams": [{ "team": "head-office", "token_sha256": digest_token(TEAM_TOKEN).to_string() }],
    });
    FleetDeclaration::parse(&text.to_string()).expect("the declaration is valid")
}

/// Size and behaviour of a fleet without engines.
pub fn service_spec(daemons: usize, services: usize) -> FleetSpec {
    FleetSpec {
        daemons,
        services,
        engines: Vec::new(),
        ..FleetSpec::default()
    }
}

/// A fleet without engines that serves `stock`.
pub async fn service_fleet(spec: FleetSpec) -> ProcessFleet {
    let daemons = ProgramPaths::beside(env!("CARGO_BIN_EXE_arbutusmountd"));
    let fleet = ProcessFleet::start(spec, daemons).await;
    declare_service(&fleet).await;
    fleet
}

/// Declares `stock` and waits until every daemon serves it and knows its peers.
pub async fn declare_service(fleet: &ProcessFleet) {
    fleet.declare(&service_declaration()).await;
    for daemon in &fleet.daemons {
        wait_until("the daemon reaches the service", WAIT_TIMEOUT, || async {
            let pool = ConnectionPool::new(Duration::from_secs(5), 0);
            let call = HttpCall::new(daemon.seat.listen, Method::Get, "/services/stock/ready")
                .header("authorization", &format!("Bearer {TEAM_TOKEN}"));
            pool.send(&call)
                .await
                .is_ok_and(|reply| reply.status() == 200)
        })
        .await;
    }
}

/// Proxies around the second of two daemons.
pub struct HomeProxies {
    /// Between its peers and itself.
    pub peers: FaultProxy,
    /// Between itself and the key-value service.
    pub store: FaultProxy,
}

/// A fleet of two daemons, the second one behind proxies.
pub async fn proxied_fleet(spec: FleetSpec) -> (ProcessFleet, HomeProxies) {
    let daemons = ProgramPaths::beside(env!("CARGO_BIN_EXE_arbutusmountd"));
    let mut fleet = ProcessFleet::start(FleetSpec { daemons: 1, ..spec }, daemons).await;
    let mut seat = fleet.plain_seat();
    let proxies = HomeProxies {
        peers: start_proxy(seat.peer_listen).await,
        store: start_proxy(seat.store).await,
    };
    seat.peer_listed = proxies.peers.address();
    seat.store = proxies.store.address();
    fleet.add_daemon(seat).await;
    declare_service(&fleet).await;
    wait_for_home(&fleet).await;
    (fleet, proxies)
}

/// A proxy without faults before `target`.
pub async fn start_proxy(target: SocketAddr) -> FaultProxy {
    let proxy = FaultProxy::start(free_address(), target).await;
    proxy.expect("the proxy starts")
}

/// Closes all connections of a proxy and refuses new ones.
pub fn cut_off(proxy: &FaultProxy) {
    proxy.set(ProxyFaults {
        refuse: true,
        ..ProxyFaults::default()
    });
    proxy.cut();
}

/// Waits until the first of two daemons sends claims to the second one.
async fn wait_for_home(fleet: &ProcessFleet) {
    let [daemon, home] = [0, 1].map(|index: usize| fleet.daemons[index].seat.listen);
    let mut rng = fastrand::Rng::new();
    wait_until("the home writes the claims", WAIT_TIMEOUT, || {
        let key = key_homed_at(1, 2, &mut rng);
        async move {
            let _reply = order(daemon, &key, "a bay").await;
            committed_writes(home).await > 0.0
        }
    })
    .await;
}

/// Waits until a daemon has committed more writes of claims than `before`.
pub async fn wait_committed(daemon: SocketAddr, before: f64) {
    wait_until("the claim is committed", WAIT_TIMEOUT, || async {
        committed_writes(daemon).await > before
    })
    .await;
}

/// Runs of a key in the ledgers of all services.
pub fn run_count(fleet: &ProcessFleet, key: &str) -> usize {
    let ledgers = (0..fleet.services.len()).flat_map(|index| fleet.service_runs(index));
    ledgers.filter(|run| run.key == key).count()
}

/// Sum of a metric's samples whose line starts with `prefix`.
pub async fn read_metric(daemon: SocketAddr, prefix: &str) -> f64 {
    let pool = ConnectionPool::new(Duration::from_secs(5), 0);
    let call = HttpCall::new(daemon, Method::Get, "/metrics");
    let Ok(reply) = pool.send(&call).await else {
        return 0.0;
    };
    let text = reply.bytes().await.unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Writes of claims that a daemon has committed.
pub async fn committed_writes(daemon: SocketAddr) -> f64 {
    read_metric(
        daemon,
        "arbutusmount_claim_store_calls_total{kind=\"committed\"}",
    )
    .await
}

/// Waits until a call with this key has arrived at a service, before it runs.
pub async fn wait_arrival(service: SocketAddr, key: &str) {
    wait_until("the call arrives at the target", WAIT_TIMEOUT, || async {
        let arrivals = admin_get::<Vec<String>>(service, "/admin/arrivals").await;
        arrivals.is_ok_and(|arrivals| arrivals.iter().any(|arrived| arrived == key))
    })
    .await;
}
