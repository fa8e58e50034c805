//! Broken answers between daemons, while one of them has no path to the targets.

#[path = "support/site.rs"]
mod site;

use rig::{ReplyEnd, ReplyMoment, ScriptedReply, SiteFleet, SiteRequest};
use site::{allow_uploads, call, site_without_a_path, stream_call, until};
use std::net::SocketAddr;
use std::sync::Arc;
use test_case::test_case;

/// Size of an upload that does not fit into the buffers of the sockets.
const LONG_UPLOAD_BYTES: usize = 3 << 20;

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: {id}\r\n\r\na bo";
const UNFRAMED_EVENTS: &str = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: {id}\r\n\
    Content-Type: text/event-stream\r\n\r\nid: 0\ndata: token 0\n\n";

fn early_reply(text: &str, end: ReplyEnd) -> ScriptedReply {
    ScriptedReply {
        moment: ReplyMoment::AfterHead,
        text: text.to_owned(),
        end,
    }
}

fn with_upload(request: SiteRequest) -> SiteRequest {
    SiteRequest {
        body: vec![b'x'; LONG_UPLOAD_BYTES],
        ..request
    }
}

/// Makes the first daemon pass requests on to this address in place of the second daemon.
fn replace_peer(site: &SiteFleet, address: SocketAddr) {
    let context = &site.daemons[0].state.context;
    let rows = context.presence.rows();
    let other = rows
        .iter()
        .find(|(_, row)| row.instance != context.settings.instance);
    let (key, mut row) = other
        .map(|(key, row)| (Arc::clone(key), row.clone()))
        .expect("two daemons");
    let access = row.relay.as_mut();
    access.expect("daemons of a site take requests").address = address;
    site.store
        .put(&key, &serde_json::to_value(&row).expect("a row is JSON"));
    until("the first daemon to know the address", || {
        context.presence.rows().get(&key) == Some(&row)
    });
    context.peer_pool.remove(&row.instance);
}

/// A daemon that is gone before it has received the request was taken for one that ends its response by
/// closing the connection.
#[test_case(ReplyEnd::Close; "reset while the request is written")]
#[test_case(ReplyEnd::HalfClose; "closed while the request is written")]
fn unframed_response_of_another_daemon_is_not_whole(end: ReplyEnd) {
    let site = site_without_a_path(0);
    allow_uploads(&site, LONG_UPLOAD_BYTES);
    let stand_in = &site.plain_servers[0];
    stand_in.set_reply(Some(early_reply(UNFRAMED, end)));
    replace_peer(&site, stand_in.address());

    let answer = call(
        &site,
        &with_upload(SiteRequest::new("POST", "/post/x", "a1")),
    );

    assert_eq!(stand_in.scripted_replies(), 1, "{answer:?}");
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.field("x-server-stamp"), None);
}

/// The same for a stream that ends between two events.
#[test_case(ReplyEnd::Close; "reset while the request is written")]
#[test_case(ReplyEnd::HalfClose; "closed while the request is written")]
fn unframed_stream_of_another_daemon_is_not_whole(end: ReplyEnd) {
    let site = site_without_a_path(2);
    allow_uploads(&site, LONG_UPLOAD_BYTES);
    let stand_in = &site.plain_servers[0];
    stand_in.set_reply(Some(early_reply(UNFRAMED_EVENTS, end)));
    replace_peer(&site, stand_in.address());

    let answer = call(&site, &with_upload(stream_call("s1")));

    assert!(stand_in.scripted_replies() > 0, "{answer:?}");
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
}

/// The daemon in between tells the first one that the server may have run the request.
#[test]
fn broken_response_to_an_upload_that_was_passed_on_is_not_whole() {
    let site = site_without_a_path(0);
    allow_uploads(&site, LONG_UPLOAD_BYTES);
    for server in &site.plain_servers {
        server.set_reply(Some(early_reply(UNFRAMED, ReplyEnd::Close)));
    }

    for number in 0..site.plain_servers.len() {
        let request = SiteRequest::new("POST", "/post/x", &format!("a{number}"));
        let answer = call(&site, &with_upload(request));

        let servers = site.plain_servers.iter();
        let reached: usize = servers.map(rig::PlainServer::scripted_replies).sum();
        assert_eq!((answer.status, reached), (502, number + 1), "{answer:?}");
        assert_eq!(answer.field("x-server-stamp"), None);
    }
}
