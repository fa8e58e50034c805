//! Fixtures for calls to the stand-in service `stock` through real daemons.

#![allow(dead_code, reason = "each test program uses a part of the fixtures")]

use arbutusmount::{
    ClaimPage, ClaimRequest, ConnectionPool, FleetDeclaration, HttpCall, InstanceId, SendError,
    StoreClient, choose_home, digest_token,
};
use async_std::future::timeout;
use rig::{
    FaultProxy, FleetSpec, HEAD_OFFICE_TOKEN, ProcessFleet, ProgramPaths, ProxyFaults, admin_get,
    free_address, wait_until,
};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tide::http::Method;

/// Timeout of calls and waits in the tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Most fleets that run at once in one test program.
const MAX_FLEETS: usize = 4;

/// Number of running fleets.
static RUNNING_FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// Permit to run a fleet, at most [`MAX_FLEETS`] at once. Declare it before the fleet, so that it
/// is dropped after the fleet.
pub struct FleetPermit;

impl FleetPermit {
    /// Waits for a permit.
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

/// Reply as a caller of the service sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResponse {
    pub status: u16,
    pub outcome: String,
    pub replayed: bool,
    pub retry_after: Option<String>,
    pub body: String,
}

impl CallResponse {
    pub fn is_completed(&self) -> bool {
        self.status == 200
    }
}

/// Sends `POST /services/stock/orders` to a daemon.
pub async fn order(daemon: SocketAddr, key: &str, body: &str) -> Result<CallResponse, SendError> {
    let pool = ConnectionPool::new(Duration::from_secs(5), 0);
    let mut call = HttpCall::new(daemon, Method::Post, "/services/stock/orders")
        .header("authorization", &format!("Bearer {HEAD_OFFICE_TOKEN}"))
        .header("idempotency-key", key)
        .timeout(WAIT_TIMEOUT)
        .on_new_connection();
    call.body = body.as_bytes().to_vec();
    let response = pool.send(&call).await?;
    let header = |name| response.header(name).map(str::to_owned);
    let (outcome, replayed) = (header("x-outcome"), header("idempotency-replayed"));
    let (status, retry_after) = (response.status(), header("retry-after"));
    let bytes = response.bytes().await?;
    Ok(CallResponse {
        status,
        outcome: outcome.unwrap_or_else(|| "none".to_owned()),
        replayed: replayed.is_some(),
        retry_after,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

/// Orders with `next_key` until a response is as `wanted`; returns its key and the response.
pub async fn order_until(
    daemon: SocketAddr,
    body: &str,
    mut next_key: impl FnMut() -> String,
    wanted: impl Fn(&CallResponse) -> bool,
) -> (String, CallResponse) {
    let found = RefCell::new(None);
    wait_until("an order is answered as wanted", WAIT_TIMEOUT, || {
        let (key, found, wanted) = (next_key(), &found, &wanted);
        async move {
            let Ok(response) = order(daemon, &key, body).await else {
                return false;
            };
            let is_wanted = wanted(&response);
            found.replace(Some((key, response)));
            is_wanted
        }
    })
    .await;
    found.take().expect("the last order was answered")
}

/// Orders until a response has no Retry-After; returns that response.
pub async fn order_with_retries(daemon: SocketAddr, key: &str, body: &str) -> CallResponse {
    let is_final = |response: &CallResponse| response.retry_after.is_none();
    order_until(daemon, body, || key.to_owned(), is_final)
        .await
        .1
}

/// Starts an order and closes the connection after `hang_up_after`, before the response.
pub async fn order_and_hang_up(daemon: SocketAddr, key: &str, body: &str, hang_up_after: Duration) {
    let answered = timeout(hang_up_after, Box::pin(order(daemon, key, body))).await;
    assert!(
        answered.is_err(),
        "the order was answered before the caller hung up"
    );
}

/// Creates a dated key: a UUID of version 7 with the current time.
pub fn dated_key(rng: &mut fastrand::Rng) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let millis = now.as_millis() as u64;
    let (high, low) = (millis >> 16, millis & 0xffff);
    let (a, b, c) = (rng.u16(..) & 0xfff, rng.u16(..) & 0x3fff, rng.u64(..) >> 16);
    format!("{high:08x}-{low:04x}-7{a:03x}-{:04x}-{c:012x}", b | 0x8000)
}

/// Creates a dated key whose shard has the daemon `home` as its home, out of the first `daemons`
/// daemons.
pub fn key_homed_at(home: usize, daemons: usize, rng: &mut fastrand::Rng) -> String {
    let members: Vec<InstanceId> = (0..daemons)
        .map(|index| format!("router-{index}").parse().unwrap())
        .collect();
    loop {
        let key = dated_key(rng);
        let shard = claim_on(&key).slot().shard();
        if choose_home(shard, &members) == Some(&members[home]) {
            return key;
        }
    }
}

/// Claim on the key of a call to `stock`, without the digest of the call.
fn claim_on(key: &str) -> ClaimRequest {
    let (team, service) = ("head-office".parse().unwrap(), "stock".parse().unwrap());
    ClaimRequest::new(&team, &service, key, 0)
}

/// True when the store holds a claim on this key.
pub async fn is_claimed(fleet: &ProcessFleet, key: &str) -> bool {
    let pool = ConnectionPool::new(WAIT_TIMEOUT, 0);
    let store = StoreClient::new(pool, fleet.platform, WAIT_TIMEOUT);
    let claim = claim_on(key);
    let record = store.get(&claim.slot().to_string()).await;
    let page = record
        .expect("the store answers")
        .and_then(|record| ClaimPage::decode(&record.value));
    page.is_some_and(|page| page.find(&claim).is_some())
}

/// Creates the random generator of a test and prints its seed, which `ARBUTUSMOUNT_SEED` sets.
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
        "teams": [{ "team": "head-office", "token_sha256": digest_token(HEAD_OFFICE_TOKEN).to_string() }],
    });
    FleetDeclaration::parse(&text.to_string()).expect("the declaration is valid")
}

/// Specification of a fleet without engines.
pub fn service_spec(daemons: usize, services: usize) -> FleetSpec {
    FleetSpec {
        daemons,
        services,
        engines: Vec::new(),
        ..FleetSpec::default()
    }
}

/// Starts a fleet without engines that serves `stock`.
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
            let call = HttpCall::new(
                daemon.addresses.listen,
                Method::Get,
                "/services/stock/ready",
            )
            .header("authorization", &format!("Bearer {HEAD_OFFICE_TOKEN}"));
            pool.send(&call)
                .await
                .is_ok_and(|response| response.status() == 200)
        })
        .await;
    }
}

/// Proxies around the second of two daemons, which the tests use as the home.
pub struct HomeProxies {
    /// Between its peers and this daemon.
    pub peers: FaultProxy,
    /// Between this daemon and the key-value store.
    pub store: FaultProxy,
}

/// Starts a fleet of two daemons, the second one behind proxies.
pub async fn proxied_fleet(spec: FleetSpec) -> (ProcessFleet, HomeProxies) {
    let daemons = ProgramPaths::beside(env!("CARGO_BIN_EXE_arbutusmountd"));
    let mut fleet = ProcessFleet::start(FleetSpec { daemons: 1, ..spec }, daemons).await;
    let mut addresses = fleet.direct_addresses();
    let proxies = HomeProxies {
        peers: start_proxy(addresses.peer_listen).await,
        store: start_proxy(addresses.store).await,
    };
    addresses.peer_advertised = proxies.peers.address();
    addresses.store = proxies.store.address();
    fleet.add_daemon(addresses).await;
    declare_service(&fleet).await;
    wait_for_home(&fleet).await;
    (fleet, proxies)
}

/// Starts a proxy without faults in front of `target`.
pub async fn start_proxy(target: SocketAddr) -> FaultProxy {
    let proxy = FaultProxy::start(free_address(), target).await;
    proxy.expect("the proxy starts")
}

/// Closes all connections of a proxy and refuses new ones.
pub fn cut_off(proxy: &FaultProxy) {
    proxy.set_faults(ProxyFaults {
        refuse: true,
        ..ProxyFaults::default()
    });
    proxy.close_connections();
}

/// Waits until the first of two daemons forwards claims to the second one.
async fn wait_for_home(fleet: &ProcessFleet) {
    let [daemon, home] = [0, 1].map(|index: usize| fleet.daemons[index].addresses.listen);
    let mut rng = fastrand::Rng::new();
    wait_until("the home writes the claims", WAIT_TIMEOUT, || {
        let key = key_homed_at(1, 2, &mut rng);
        async move {
            let _response = order(daemon, &key, "a bay").await;
            committed_writes(home).await > 0.0
        }
    })
    .await;
}

/// Waits until a daemon has committed more claim writes than `before`.
pub async fn wait_committed(daemon: SocketAddr, before: f64) {
    wait_until("the claim is committed", WAIT_TIMEOUT, || async {
        committed_writes(daemon).await > before
    })
    .await;
}

/// Counts the runs of a key in the ledgers of all services.
pub fn run_count(fleet: &ProcessFleet, key: &str) -> usize {
    let ledgers = (0..fleet.services.len()).flat_map(|index| fleet.service_runs(index));
    ledgers.filter(|run| run.key == key).count()
}

/// Sums the values of the metric lines that start with `prefix`.
pub async fn read_metric(daemon: SocketAddr, prefix: &str) -> f64 {
    let pool = ConnectionPool::new(Duration::from_secs(5), 0);
    let call = HttpCall::new(daemon, Method::Get, "/metrics");
    let Ok(response) = pool.send(&call).await else {
        return 0.0;
    };
    let text = response.bytes().await.unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Number of claim writes that a daemon has committed.
pub async fn committed_writes(daemon: SocketAddr) -> f64 {
    read_metric(
        daemon,
        "arbutusmount_claim_store_calls_total{kind=\"committed\"}",
    )
    .await
}

/// Number of claims that a daemon has been granted, by the home or by its own write.
pub async fn granted_claims(daemon: SocketAddr) -> f64 {
    read_metric(daemon, "arbutusmount_claims_total{outcome=\"granted\"}").await
}

/// Waits until a call with this key has arrived at a service; it may not have run yet.
pub async fn wait_arrival(service: SocketAddr, key: &str) {
    wait_until("the call arrives at the target", WAIT_TIMEOUT, || async {
        let arrivals = admin_get::<Vec<String>>(service, "/admin/arrivals").await;
        arrivals.is_ok_and(|arrivals| arrivals.iter().any(|arrived| arrived == key))
    })
    .await;
}
