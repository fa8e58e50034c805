//! Odd entries among those of the servers, left by another writer: they name no server, and everything else
//! holds.

#[path = "support/site.rs"]
mod site;

use rig::{PlainServer, SiteFleet, SiteRequest, SiteSpec};
use site::{call, stream_call, until};
use std::time::Duration;
use test_case::test_case;

/// Time in which a leader plans several times.
const LEADER_ROUNDS: Duration = Duration::from_millis(500);
/// Depth of nesting at which a recursive parser runs out of stack.
const DEPTH: usize = 200_000;

/// An entry of a model server, with one field set to `value`.
fn model_entry(field: &str, value: &str) -> Vec<u8> {
    let fields = [
        ("Service", r#""desk""#),
        ("Address", r#""127.0.0.1:9""#),
        ("Zone", r#""d0""#),
        ("Slots", "64"),
        ("State", r#""ready""#),
        ("RouteType", r#""card""#),
        ("Layers", r#"{"From":0,"To":4,"Version":1}"#),
        ("ColdRemainingMs", "0"),
        ("Sequence", "1"),
        ("born", "1"),
    ];
    let mut parts = Vec::new();
    for (name, usual) in fields {
        let value = if name == field { value } else { usual };
        parts.push(format!("\"{name}\":{value}"));
    }
    format!("{{{}}}", parts.join(",")).into_bytes()
}

fn nested(open: &str, close: &str) -> String {
    open.repeat(DEPTH) + &close.repeat(DEPTH)
}

/// Starts a site with plain and model servers, and waits until it serves both.
fn site() -> SiteFleet {
    SiteFleet::start(SiteSpec::default())
}

/// The daemon still learns of a server that registers later, and serves requests of both kinds.
fn assert_follows(site: &SiteFleet) {
    let later = PlainServer::start(&site.store, &site.crashes, "p-later");
    let context = &site.daemons[0].state.context;
    until("the daemon to learn of a later server", || {
        let view = context.targets.load();
        view.targets()
            .any(|target| target.id.as_str() == later.id())
    });
    let plain = call(site, &SiteRequest::new("POST", "/post/x", "a1"));
    assert_eq!(plain.status, 200, "{plain:?}");
    let stream = call(site, &stream_call("a2"));
    assert_eq!((stream.status, stream.complete), (200, true), "{stream:?}");
}

/// Machines that read the list ended again and again, or stopped following it.
#[test_case(nested("[", "]").as_bytes(); "nested lists")]
#[test_case(nested("[", "").as_bytes(); "nested lists without an end")]
#[test_case((nested("{\"a\":", "1") + "}").as_bytes(); "nested objects")]
#[test_case(&model_entry("Layers", &nested("[", "]")); "nested lists in a known field")]
#[test_case(&model_entry("Slots", "1e400"); "number of places beyond all numbers")]
#[test_case(&model_entry("Slots", "99999999999999999999"); "number of places too large")]
#[test_case(&model_entry("Slots", "-1"); "negative number of places")]
#[test_case(&model_entry("born", "1e400"); "start beyond all numbers")]
#[test_case(&model_entry("Address", r#""10.0.0.1:99999""#); "port out of range")]
#[test_case(&model_entry("Address", r#""10.0.0.1""#); "no port")]
#[test_case(&model_entry("Layers", r#"{"From":0,"To":99999999999}"#); "layer too large")]
#[test_case(b""; "nothing")]
#[test_case(b"\xff\xfe\x00"; "bytes that are no text")]
#[test_case(b"null"; "null")]
fn entry_that_cannot_be_read_names_no_server(entry: &[u8]) {
    let site = site();

    site.store.put_bytes("servers/x-1", entry);

    assert_follows(&site);
    let view = site.daemons[0].state.context.targets.load();
    assert!(view.targets().all(|target| target.id.as_str() != "x-1"));
}

/// A field that is not known may hold anything.
#[test]
fn unknown_field_of_any_depth_is_ignored() {
    let site = site();
    let more = format!("null,\"More\":{}", nested("[", "]"));

    site.store
        .put_bytes("servers/x-1", &model_entry("Layers", &more));

    assert_harmless(&site);
}

/// Values that can be read and that no server has. The entry is used or not; nothing else suffers, and the
/// leader continues to plan.
#[test_case("Slots", "4294967295")]
#[test_case("Slots", "0")]
#[test_case("born", "1e300")]
#[test_case("born", "-1e300")]
#[test_case("Layers", r#"{"From":0,"To":4294967295}"#)]
#[test_case("Layers", r#"{"From":4294967295,"To":4294967295}"#)]
#[test_case("Layers", r#"{"From":4294967294,"To":4294967295}"#)]
#[test_case("Layers", r#"{"From":3,"To":1}"#)]
#[test_case("RouteType", r#""unknown""#)]
#[test_case("RouteType", "null")]
#[test_case("Address", r#""0.0.0.0:0""#)]
#[test_case("Address", r#""[::1]:9""#)]
fn entry_with_a_value_that_no_server_has_harms_nothing(field: &str, value: &str) {
    let site = site();

    site.store
        .put_bytes("servers/x-1", &model_entry(field, value));

    assert_harmless(&site);
}

/// The entry is in the list, and the daemon follows, serves and plans all the same.
fn assert_harmless(site: &SiteFleet) {
    let context = &site.daemons[0].state.context;
    until("the entry to be read", || {
        let view = context.targets.load();
        view.targets().any(|target| target.id.as_str() == "x-1")
    });
    let read_at = context.clock.now();
    until("some rounds of the leader", || {
        context.clock.now().since(read_at) > LEADER_ROUNDS
    });
    assert_follows(site);
}
