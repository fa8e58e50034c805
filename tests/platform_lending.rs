//! Daemons that borrow retries from each other, with sockets.

#[path = "support/site.rs"]
mod site;

use arbutusmount::ReachStatement;
use rig::{ModelKnobs, SiteFleet};
use site::{allow_retries, call, model_site, stream_call, until};
use std::net::UdpSocket;
use std::time::Duration;

/// Silence of a chain in the middle of a stream; longer than its pace explains, and shorter than the
/// pause that callers accept.
const HALT: Duration = Duration::from_millis(240);

/// Lists daemons that have been heard and answer no question, as those of an earlier version.
fn list_silent_daemons(site: &SiteFleet, count: usize) -> Vec<UdpSocket> {
    let context = &site.daemons[0].state.context;
    let sockets: Vec<UdpSocket> = (0..count)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket"))
        .collect();
    for (number, socket) in sockets.iter().enumerate() {
        let address = socket.local_addr().expect("an address");
        let name = format!("silent-{number}");
        let row = serde_json::json!({
            "instance": name, "domain": "d9", "callers": address, "peers": address,
        });
        site.store.put(&format!("arbutusmount/daemon/{name}"), &row);
        let statement = ReachStatement {
            version: 1,
            is_lost: false,
        };
        let sender = number as u64 + 1;
        let now = context.clock.now();
        context.peer_reach.record(address, sender, statement, now);
    }
    until("the daemons to be listed", || {
        context.sound_peers().len() == count
    });
    sockets
}

/// Guards against streams that are not read while one silent daemon after the other is asked for a retry: a
/// short halt became a pause of more than half a second.
#[test]
fn stream_is_read_again_soon_although_no_daemon_answers() {
    let site = model_site();
    let _silent = list_silent_daemons(&site, 6);
    allow_retries(&site, 0.0);
    let halting = ModelKnobs {
        event_gap: Duration::from_millis(5),
        pause_at_event: Some((7, HALT)),
        ..ModelKnobs::default()
    };
    for model in &site.model_servers {
        model.set_knobs(halting.clone());
    }

    let answer = call(&site, &stream_call("a1"));

    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert!(
        answer.longest_pause < HALT + Duration::from_millis(100),
        "{:?}",
        answer.longest_pause
    );
}
