//! Orders to servers whose address another server has taken over.

#[path = "support/site.rs"]
mod site;

use arbutusmount::InstanceId;
use serde_json::json;
use site::{call, model_site, stream_call, until};

/// An order named no server. One for a server that had crashed was carried out by the server that had taken over
/// its address, which then held more layers than its memory has room for.
#[test]
fn order_for_another_server_is_not_carried_out() {
    // Arrange: an entry that is still listed names the address of a server that holds layers.
    let site = model_site();
    let taken_over = &site.model_servers[0];
    let held = taken_over.layers();
    let arrivals = taken_over.notices().arrivals();
    let entry = json!({
        "Service": "desk", "Address": taken_over.address().to_string(), "Zone": "d0",
        "Version": "v1", "Slots": 64, "State": "ready", "ColdRemainingMs": 0,
        "RouteType": "card", "Layers": null, "Sequence": 1, "born": 1,
    });
    let gone: InstanceId = "m-gone".parse().expect("an identifier");

    // Act
    site.store.put("servers/m-gone", &entry);

    // Assert
    let context = &site.daemons[0].state.context;
    until("the server to be known as replaced", || {
        let view = context.targets.load();
        view.target(&gone)
            .is_some_and(|target| target.stats.is_replaced())
    });
    assert_eq!(taken_over.layers(), held);
    assert!(taken_over.notices().arrivals() > arrivals);
    let answer = call(&site, &stream_call("a1"));
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
}
