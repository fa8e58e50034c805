//! Responses of services without end, over the product's own interface, to many calls at once.

mod support;

use arbutusmount::{ConnectionPool, HttpCall};
use async_std::task;
use http_types::Method;
use rig::{FleetSpec, HEAD_OFFICE_TOKEN, ProcessFleet};
use std::net::SocketAddr;
use std::time::Duration;
use support::{peak_kib, ready_fleet};

/// Calls at once.
const CALLS: usize = 30;
/// Memory that a daemon may use at the target size, in KiB.
const MEMORY_BOUND_KIB: u64 = 128 << 10;
/// Longest wait for the response to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

async fn start() -> ProcessFleet {
    let spec = FleetSpec {
        daemons: 1,
        settings: serde_json::json!({"bounds": {"body_total_bytes": 16 << 20}}),
        ..FleetSpec::default()
    };
    ready_fleet(spec, 1).await
}

/// Status of the response to a call of the service.
async fn call_service(daemon: SocketAddr, number: usize) -> Option<u16> {
    let pool = ConnectionPool::new(CALL_TIMEOUT, 1);
    let call = HttpCall::new(daemon, Method::Post, "/services/stock/orders")
        .header("authorization", &format!("Bearer {HEAD_OFFICE_TOKEN}"))
        .header("idempotency-key", &format!("key-{number}"))
        .timeout(CALL_TIMEOUT)
        .without_retry();
    let (status, _body): (u16, serde_json::Value) = pool.fetch(&call).await.ok()?;
    Some(status)
}

/// Each response was bounded by itself, to 16 MiB, and all of them together were not.
#[async_std::test]
async fn endless_responses_of_services_stay_within_memory() {
    let mut fleet = start().await;
    let daemon = fleet.daemons[0].addresses.listen;
    let service = fleet.services[0].row.address;
    fleet
        .set_knobs(service, serde_json::json!({"endless": true}))
        .await;

    let calls: Vec<_> = (0..CALLS)
        .map(|number| task::spawn(call_service(daemon, number)))
        .collect();
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(call.await);
    }
    let peak = peak_kib(&fleet);
    println!("{peak} KiB, {statuses:?}");

    assert!(fleet.daemons[0].process.is_running());
    assert!(!statuses.contains(&Some(200)), "{statuses:?}");
    assert!(peak <= MEMORY_BOUND_KIB, "{peak} KiB");
}
