//! Replies of the platform's store that end early, at any byte: none counts as complete.

use arbutusmount::{PortResult, StoreEra, StorePort, StoreTransaction, StoreVersion, WireClient};
use arbutusmount_platform::store_port;
use async_std::task;
use rig::serve_once;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

/// Head of a reply with neither a length nor chunks, which ends with its connection.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
const LIST_REPLY: &str = r#"{"Items":[{"Key":"a/b","Value":"YQ==","Revision":4,"Created":4,"Lease":0}],"HasMore":false,"StoreRevision":7}"#;
const WATCH_REPLY: &str =
    r#"{"events":[{"Key":"a/b","Revision":8,"Tombstone":true}],"StoreRevision":8}"#;
const COMMIT_REPLY: &str = r#"{"Revision":12}"#;
const GRANT_REPLY: &str = r#"{"Lease":12,"TtlMs":1000}"#;

/// Starts a store that replies once with these bytes and closes the connection.
fn serve_reply(text: &str) -> SocketAddr {
    let text = text.to_owned();
    serve_once(move |stream| {
        stream
            .write_all(text.as_bytes())
            .expect("the client is connected");
    })
}

/// Calls a store that replies with this text.
fn call<T>(text: &str, send: impl AsyncFnOnce(StorePort) -> PortResult<T>) -> PortResult<T> {
    let port = store_port(WireClient::default(), serve_reply(text));
    task::block_on(send(port))
}

async fn list(port: StorePort) -> PortResult<()> {
    (port.list)((Arc::from("a/"), None)).await.map(|_page| ())
}

async fn watch(port: StorePort) -> PortResult<()> {
    let after = StoreVersion::new(StoreEra::default(), 7);
    let outcome = (port.watch)((Arc::from("a/"), after, Duration::from_millis(50))).await;
    outcome.map(|_changes| ())
}

async fn commit(port: StorePort) -> PortResult<()> {
    (port.commit)(StoreTransaction::default())
        .await
        .map(|_outcome| ())
}

async fn grant(port: StorePort) -> PortResult<()> {
    (port.grant)(Duration::from_secs(1)).await.map(|_lease| ())
}

/// A reply that was cut off must not be taken for a whole one, at whatever byte the store closed.
#[test_case(LIST_REPLY, list)]
#[test_case(WATCH_REPLY, watch)]
#[test_case(COMMIT_REPLY, commit)]
#[test_case(GRANT_REPLY, grant)]
fn reply_without_a_length_is_whole_or_fails(
    body: &str,
    send: impl AsyncFn(StorePort) -> PortResult<()>,
) {
    for length in 0..=body.len() {
        let text = format!("{UNFRAMED_HEAD}{}", &body[..length]);

        let outcome = call(&text, &send);

        assert_eq!(outcome.is_ok(), length == body.len(), "{length} bytes");
    }
}

/// A page that is not known to be the last one was taken for it, so that the keys of further pages
/// would have counted as removed.
#[test_case(r#"{"Items":[],"StoreRevision":7}"#; "without a flag")]
#[test_case(r#"{"Items":[],"HasMore":true,"StoreRevision":7}"#; "empty, but more follow")]
fn page_that_may_not_be_the_last_one_fails(body: &str) {
    let text = format!("{UNFRAMED_HEAD}{body}");

    let outcome = call(&text, list);

    assert!(outcome.is_err());
}
