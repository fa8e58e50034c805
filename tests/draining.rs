//! Graceful shutdown of real daemons under load: no request is cut, and none is refused that has no
//! other daemon to go to.

mod support;

use arbutusmount::{ConnectionPool, HttpCall, MemberSettings, SendError};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::Method;
use rig::{
    AddressCaller, CallOutcome, FleetSpec, HEAD_OFFICE_TOKEN, ProcessFleet, RunRecord, admin_get,
    reference_text, wait_until,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use support::{MODEL, chat_request, ready_fleet, team_client};

/// "A few seconds" in the words of the brief.
const FEW_SECONDS: Duration = Duration::from_secs(3);
/// Longest shutdown of a daemon whose requests take a few seconds.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(30);

/// Time within which a daemon without requests in flight exits.
const EXIT_MARGIN: Duration = Duration::from_secs(1);

fn daemons(count: usize) -> FleetSpec {
    FleetSpec {
        daemons: count,
        ..FleetSpec::default()
    }
}

/// True when every daemon but `gone` responds and none of them lists the address of `gone`.
async fn is_listed_nowhere(fleet: &ProcessFleet, gone: usize) -> bool {
    let address = fleet.daemons[gone].addresses.listen;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        if index == gone {
            continue;
        }
        match team_client().addresses(daemon.addresses.listen).await {
            Ok(answer) if answer.addresses.iter().any(|row| row.address == address) => {
                return false;
            }
            Ok(_) => {}
            Err(_) => return false,
        }
    }
    true
}

async fn is_listed_everywhere(fleet: &ProcessFleet, index: usize) -> bool {
    let address = fleet.daemons[index].addresses.listen;
    for daemon in &fleet.daemons {
        let answer = team_client().addresses(daemon.addresses.listen).await;
        if !answer.is_ok_and(|answer| answer.addresses.iter().any(|row| row.address == address)) {
            return false;
        }
    }
    true
}

async fn wait_until_listed(fleet: &ProcessFleet, index: usize) {
    wait_until(
        "every daemon lists the daemon",
        Duration::from_secs(10),
        || is_listed_everywhere(fleet, index),
    )
    .await;
}

fn order(daemon: SocketAddr, key: &str) -> HttpCall {
    HttpCall::new(daemon, Method::Post, "/services/stock/orders")
        .header("authorization", &format!("Bearer {HEAD_OFFICE_TOKEN}"))
        .header("idempotency-key", key)
        .timeout(SHUTDOWN_LIMIT)
        .without_retry()
}

async fn runs_by_key(fleet: &ProcessFleet) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for service in &fleet.services {
        let ledger: Vec<RunRecord> = admin_get(service.row.address, "/admin/ledger")
            .await
            .expect("the service returns its ledger");
        for record in ledger {
            *runs.entry(record.key).or_default() += 1;
        }
    }
    runs
}

#[async_std::test]
async fn leaving_daemon_is_out_of_every_answer_at_once() {
    // Arrange
    let mut fleet = ready_fleet(daemons(3), 1).await;
    wait_until_listed(&fleet, 0).await;

    // Act
    fleet.daemons[0].process.terminate();

    // Assert: the platform's list still shows the daemon as live.
    wait_until("no daemon lists the draining one", FEW_SECONDS, || {
        is_listed_nowhere(&fleet, 0)
    })
    .await;
    let status = fleet.daemons[0].process.wait(SHUTDOWN_LIMIT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[async_std::test]
async fn shutdown_cuts_no_stream_and_no_call() {
    // Arrange: a stream and a call that outlast the address lifetime.
    let mut fleet = ready_fleet(daemons(2), 1).await;
    let service = fleet.services[0].row.address;
    fleet.set_knobs(service, json!({ "after_ms": 4_500 })).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let tokens = Arc::new(AtomicUsize::new(0));
    let stream = task::spawn(stream_whole(daemon, Arc::clone(&tokens)));
    let pool = ConnectionPool::new(Duration::from_secs(1), 4);
    let call =
        task::spawn(async move { pool.fetch::<serde_json::Value>(&order(daemon, "k1")).await });
    wait_until(
        "the stream and the call are in flight",
        FEW_SECONDS,
        || async { tokens.load(Ordering::Relaxed) > 5 && runs_by_key(&fleet).await.len() == 1 },
    )
    .await;

    // Act
    fleet.daemons[0].process.terminate();

    // Assert
    let text = stream.await;
    let replied = call.await;
    let status = fleet.daemons[0].process.wait(SHUTDOWN_LIMIT);
    assert_eq!(text, reference_text(MODEL, 3, "Which sizes are left?", 800));
    assert!(matches!(&replied, Ok((200, _))), "{replied:?}");
    assert_eq!(
        runs_by_key(&fleet).await,
        BTreeMap::from([("k1".to_owned(), 1)])
    );
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

async fn stream_whole(daemon: SocketAddr, tokens: Arc<AtomicUsize>) -> String {
    let mut text = String::new();
    let ask = chat_request("Which sizes are left?", 3, 800);
    let finish = team_client()
        .ask(daemon, &ask, |piece| {
            text.push_str(piece);
            tokens.fetch_add(1, Ordering::Relaxed);
        })
        .await;
    assert_eq!(finish, Ok("length".to_owned()));
    text
}

#[async_std::test]
async fn callers_that_hold_the_address_are_served_while_it_drains() {
    // Arrange
    let mut fleet = ready_fleet(daemons(2), 1).await;
    wait_until_listed(&fleet, 0).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let held = team_client()
        .addresses(fleet.daemons[1].addresses.listen)
        .await;
    let held = held.expect("the daemon responds");
    let pool = ConnectionPool::new(Duration::from_secs(1), 4);

    // Act: new connections until the address response from before the shutdown has expired.
    fleet.daemons[0].process.terminate();
    let start = std::time::Instant::now();
    let mut served = 0;
    while start.elapsed() < Duration::from_millis(held.lifetime_ms) {
        let call = order(daemon, &format!("held-{served}")).on_new_connection();
        let reply = pool.send(&call).await.expect("a draining daemon responds");
        let closes = reply.header("connection").map(ToOwned::to_owned);
        assert_eq!(reply.status(), 200, "call {served}");
        reply.bytes().await.expect("the response is complete");
        served += 1;
        if fleet.daemons[0].process.is_running() && served > 3 {
            assert_eq!(closes.as_deref(), Some("close"), "call {served}");
        }
    }

    // Assert
    assert!(served > 3, "{served} calls");
    let status = fleet.daemons[0].process.wait(SHUTDOWN_LIMIT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[async_std::test]
async fn idle_connections_end_cleanly_and_unread_answers_arrive() {
    // Arrange: one idle keep-alive connection, and one whose response the caller has not read yet.
    let mut fleet = ready_fleet(daemons(1), 1).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let mut idle = TcpStream::connect(daemon)
        .await
        .expect("the daemon listens");
    let head = "GET /healthz HTTP/1.1\r\nhost: daemon\r\n\r\n";
    idle.write_all(head.as_bytes())
        .await
        .expect("the daemon reads");
    let mut reply = Vec::new();
    while !reply.ends_with(b"ok\n") {
        let mut part = [0; 256];
        let count = idle.read(&mut part).await.expect("the daemon responds");
        assert!(count > 0, "the response was cut off");
        reply.extend(&part[..count]);
    }
    let mut unread = TcpStream::connect(daemon)
        .await
        .expect("the daemon listens");
    let ask = chat_request("Which sizes are left?", 3, 300);
    let body = serde_json::to_string(&ask.chat).expect("requests serialize");
    let length = body.len();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: daemon\r\nauthorization: Bearer {HEAD_OFFICE_TOKEN}\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    unread
        .write_all(head.as_bytes())
        .await
        .expect("the daemon reads");

    // Act
    fleet.daemons[0].process.terminate();
    let status = fleet.daemons[0].process.wait(SHUTDOWN_LIMIT);

    // Assert
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let mut rest = Vec::new();
    let ended = idle.read_to_end(&mut rest).await;
    assert!(matches!(ended, Ok(0)), "{ended:?}");
    let mut answer = String::new();
    let read = unread.read_to_string(&mut answer).await;
    assert!(read.is_ok(), "{read:?}");
    assert!(answer.contains("data: [DONE]"), "the end marker is missing");
    assert!(answer.ends_with("0\r\n\r\n"), "the last chunk is missing");
}

#[async_std::test]
async fn request_that_arrives_slowly_is_answered_after_the_listener_has_closed() {
    // Arrange: an idle connection, and one on which half of a request has arrived.
    let mut fleet = ready_fleet(daemons(1), 1).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let mut idle = TcpStream::connect(daemon)
        .await
        .expect("the daemon listens");
    let mut slow = TcpStream::connect(daemon)
        .await
        .expect("the daemon listens");
    slow.write_all(b"GET /healthz HTTP/1.1\r\nho")
        .await
        .expect("the daemon reads");

    // Act: the end of the idle connection shows that the daemon now waits only for busy ones.
    fleet.daemons[0].process.terminate();
    let mut rest = Vec::new();
    let ended = idle.read_to_end(&mut rest).await;
    assert!(matches!(ended, Ok(0)), "{ended:?}");
    let exited = fleet.daemons[0].process.wait(EXIT_MARGIN);
    assert!(
        exited.is_none(),
        "the daemon exited with half a request read"
    );
    slow.write_all(b"st: daemon\r\n\r\n")
        .await
        .expect("the daemon reads");

    // Assert
    let mut answer = String::new();
    let read = slow.read_to_string(&mut answer).await;
    assert!(read.is_ok(), "{read:?}");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("ok\n"),
        "{answer}"
    );
    let status = fleet.daemons[0].process.wait(SHUTDOWN_LIMIT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[async_std::test]
async fn drain_limit_ends_a_shutdown_and_says_so() {
    // Arrange: a stream that outlasts the limit by far.
    let spec = FleetSpec {
        membership: MemberSettings {
            drain_limit_ms: 500,
            ..MemberSettings::default()
        },
        ..daemons(1)
    };
    let mut fleet = ready_fleet(spec, 1).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let tokens = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&tokens);
    let stream = task::spawn(async move {
        let ask = chat_request("Which sizes are left?", 3, 4_000);
        let count = |_: &str| {
            seen.fetch_add(1, Ordering::Relaxed);
        };
        team_client().ask(daemon, &ask, count).await
    });
    wait_until("the stream runs", FEW_SECONDS, || async {
        tokens.load(Ordering::Relaxed) > 5
    })
    .await;

    // Act
    fleet.daemons[0].process.terminate();
    fleet.daemons[0].process.terminate();

    // Assert: both the exit status and the caller show that the stream was cut.
    let status = fleet.daemons[0].process.wait(SHUTDOWN_LIMIT);
    assert_eq!(status.and_then(|status| status.code()), Some(1));
    let finish = stream.await;
    assert!(finish.is_err(), "{finish:?}");
}

/// Sends chat requests or orders until told to stop. Returns the number of requests and a
/// description of each that did not complete.
async fn run_caller(
    caller: AddressCaller,
    number: u64,
    stop: Arc<AtomicBool>,
) -> (u64, Vec<String>) {
    let mut done = 0;
    let mut faults = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let outcome = if number.is_multiple_of(2) {
            let ask = chat_request("Where is my slip?", done, 24);
            let outcome = caller.ask(&ask).await;
            let wanted = reference_text(MODEL, done, "Where is my slip?", 24);
            match outcome {
                CallOutcome::Completed(text, _) if text != wanted => {
                    CallOutcome::Failed(format!("wrong text {text}"))
                }
                outcome => outcome,
            }
        } else {
            caller
                .call_service("orders", &format!("{number}-{done}"))
                .await
        };
        done += 1;
        if !matches!(outcome, CallOutcome::Completed(..)) {
            faults.push(format!("caller {number} request {done}: {outcome:?}"));
        }
    }
    (done, faults)
}

#[async_std::test]
async fn rolling_restart_under_load_loses_no_request() {
    // Arrange
    let mut fleet = ready_fleet(daemons(3), 1).await;
    for index in 0..3 {
        wait_until_listed(&fleet, index).await;
    }
    let seeds: Vec<SocketAddr> = fleet.daemons.iter().map(|d| d.addresses.listen).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let caller = AddressCaller::new(seeds.clone());
            task::spawn(run_caller(caller, number, Arc::clone(&stop)))
        })
        .collect();

    // Act: each daemon drains, exits and starts again.
    for index in 0..3 {
        fleet.daemons[index].process.terminate();
        let status = fleet.daemons[index]
            .process
            .wait_async(SHUTDOWN_LIMIT)
            .await;
        assert!(
            status.is_some_and(|status| status.success()),
            "daemon {index}: {status:?}"
        );
        fleet.restart_daemon(index).await;
        wait_until_listed(&fleet, index).await;
    }
    stop.store(true, Ordering::Relaxed);

    // Assert
    let mut total = 0;
    let mut faults = Vec::new();
    for caller in callers {
        let (done, wrong) = caller.await;
        assert!(done > 20, "a caller made {done} requests only");
        total += done;
        faults.extend(wrong);
    }
    assert!(
        faults.is_empty(),
        "{} of {total}: {faults:#?}",
        faults.len()
    );
    let runs = runs_by_key(&fleet).await;
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[async_std::test]
async fn callers_go_on_through_kept_addresses_when_a_daemon_is_killed() {
    // Arrange
    let mut fleet = ready_fleet(daemons(3), 1).await;
    wait_until_listed(&fleet, 0).await;
    let caller = AddressCaller::new(vec![fleet.daemons[1].addresses.listen]);
    let first = caller.ask(&chat_request("Where is my slip?", 1, 4)).await;
    assert!(matches!(first, CallOutcome::Completed(..)), "{first:?}");

    // Act
    fleet.daemons[0].process.kill();

    // Assert: all requests after the kill complete, and the other daemons soon stop listing it.
    for seed in 0..30 {
        let outcome = caller
            .ask(&chat_request("Where is my slip?", seed, 4))
            .await;
        assert!(matches!(outcome, CallOutcome::Completed(..)), "{outcome:?}");
    }
    wait_until("no daemon lists the killed one", FEW_SECONDS, || {
        is_listed_nowhere(&fleet, 0)
    })
    .await;
    let refused = ConnectionPool::new(Duration::from_secs(1), 1)
        .send(&order(fleet.daemons[0].addresses.listen, "late"))
        .await;
    assert!(matches!(refused, Err(SendError::NotSent(_))));
}
