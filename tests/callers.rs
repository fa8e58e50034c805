//! Callers that hang up, read slowly or want traces.

mod support;

use arbutusmount::{AskRequest, ConnectionCount, ConnectionPool, HttpCall, SseReader, serve_http};
use async_std::net::TcpListener;
use async_std::task;
use http_types::Method;
use rig::{
    FleetSpec, HEAD_OFFICE_TOKEN, LedgerEntry, ProcessFleet, admin_get, free_address,
    reference_text, wait_until,
};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{MODEL, chat_request, ready_fleet, team_client};

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(10);

/// A call of the chat interface.
fn chat_call(daemon: SocketAddr, ask: &AskRequest) -> HttpCall {
    HttpCall::new(daemon, Method::Post, "/v1/chat/completions")
        .header("authorization", &format!("Bearer {HEAD_OFFICE_TOKEN}"))
        .json(&ask.chat)
        .timeout(LIMIT)
        .on_new_connection()
}

/// Stage steps that all engines have run.
async fn count_steps(fleet: &ProcessFleet) -> usize {
    let mut steps = 0;
    for engine in &fleet.engines {
        let ledger: Vec<LedgerEntry> = admin_get(engine.row.address, "/v1/ledger")
            .await
            .expect("the engine shows its ledger");
        steps += ledger.len();
    }
    steps
}

/// Waits until the engines have run no further step for a while.
async fn wait_idle(fleet: &ProcessFleet) {
    let last = AtomicUsize::new(usize::MAX);
    wait_until("the engines are idle", LIMIT, || async {
        task::sleep(Duration::from_millis(300)).await;
        let steps = count_steps(fleet).await;
        last.swap(steps, Ordering::Relaxed) == steps
    })
    .await;
}

#[async_std::test]
async fn caller_that_hangs_up_stops_the_engines() {
    for streamed in [true, false] {
        // Arrange
        let fleet = ready_fleet(FleetSpec::default(), 1).await;
        let mut ask = chat_request("A long question", 3, 4_000);
        ask.chat.stream = streamed;
        let call = chat_call(fleet.daemons[0].addresses.listen, &ask);
        let pool = ConnectionPool::new(LIMIT, 0);

        // Act
        let caller = task::spawn(async move {
            let _held = pool.send(&call).await;
            std::future::pending::<()>().await;
        });
        wait_until("the engines work", LIMIT, || async {
            count_steps(&fleet).await > 60
        })
        .await;
        caller.cancel().await;

        // Assert: 4,000 tokens are 12,000 steps.
        wait_idle(&fleet).await;
        let steps = count_steps(&fleet).await;
        assert!(steps < 6_000, "{steps} steps after the caller hung up");
    }
}

#[async_std::test]
async fn slow_reader_slows_only_itself() {
    // Arrange
    let fleet = ready_fleet(FleetSpec::default(), 1).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let slow = chat_request("A slow question", 8, 8_000);
    let quick = chat_request("A quick question", 9, 60);

    // Act: the slow caller reads the head and nothing else.
    let pool = ConnectionPool::new(LIMIT, 0);
    let held = pool
        .send(&chat_call(daemon, &slow))
        .await
        .expect("the stream starts");
    let mut text = String::new();
    let finish = team_client()
        .ask(daemon, &quick, |piece| text.push_str(piece))
        .await;

    // Assert
    assert_eq!(finish, Ok("length".to_owned()));
    assert_eq!(text, reference_text(MODEL, 9, "A quick question", 60));
    drop(held);
}

#[async_std::test]
async fn slow_reader_gets_the_whole_answer() {
    // Arrange
    let fleet = ready_fleet(FleetSpec::default(), 1).await;
    let ask = chat_request("A slow question", 8, 300);
    let call = chat_call(fleet.daemons[0].addresses.listen, &ask);

    // Act
    let reply = ConnectionPool::new(LIMIT, 0)
        .send(&call)
        .await
        .expect("the stream starts");
    let mut reader = SseReader::new(reply);
    let mut text = String::new();
    let mut events = 0;
    while let Some(data) = reader.next().await.expect("the stream is whole") {
        events += 1;
        if events % 100 == 0 {
            task::sleep(Duration::from_millis(400)).await;
        }
        if let Ok(chunk) = serde_json::from_str::<Value>(&data) {
            text.push_str(
                chunk["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
        }
    }

    // Assert
    assert_eq!(text, reference_text(MODEL, 8, "A slow question", 300));
}

type SpanStore = Arc<Mutex<Vec<Value>>>;

/// A collector that keeps every span it is sent.
async fn start_collector(address: SocketAddr) -> SpanStore {
    let store = SpanStore::default();
    let mut app = tide::with_state(Arc::clone(&store));
    app.at("/v1/traces")
        .post(|mut request: tide::Request<SpanStore>| async move {
            let body: Value = request.body_json().await?;
            let spans = body["resourceSpans"][0]["scopeSpans"][0]["spans"].clone();
            let spans = spans.as_array().cloned().unwrap_or_default();
            request.state().lock().expect("span lock").extend(spans);
            Ok("{}")
        });
    let listener = TcpListener::bind(address)
        .await
        .expect("the collector's address is free");
    task::spawn(serve_http(listener, app, ConnectionCount::default()));
    store
}

#[async_std::test]
async fn resumed_request_is_one_trace_with_a_span_for_each_hop() {
    // Arrange
    let collector = free_address();
    let store = start_collector(collector).await;
    let spec = FleetSpec {
        engines: vec![(rig::EngineKnobs::default(), 8_000); 6],
        settings: serde_json::json!({ "traces": { "collector": collector } }),
        ..FleetSpec::default()
    };
    let mut fleet = ready_fleet(spec, 2).await;
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let ask = chat_request("Trace me", 4, 60);
    let call = chat_call(fleet.daemons[0].addresses.listen, &ask)
        .header("traceparent", &format!("00-{trace}-00f067aa0ba902b7-01"));

    // Act: lose every engine of the chain's last stage but one.
    let reply = ConnectionPool::new(LIMIT, 0)
        .send(&call)
        .await
        .expect("the stream starts");
    let mut reader = SseReader::new(reply);
    let mut events = 0;
    while let Some(_data) = reader.next().await.expect("the stream is whole") {
        events += 1;
        if events == 20 {
            kill_busy_engine(&mut fleet).await;
        }
    }

    // Assert
    wait_until("the request's span is exported", LIMIT, || async {
        let spans = store.lock().expect("span lock");
        spans
            .iter()
            .any(|span| span["traceId"] == trace && span["name"] == "request")
    })
    .await;
    let spans = store.lock().expect("span lock");
    let spans: Vec<&Value> = spans
        .iter()
        .filter(|span| span["traceId"] == trace)
        .collect();
    let mut names: HashMap<&str, usize> = HashMap::new();
    for span in &spans {
        *names
            .entry(span["name"].as_str().unwrap_or_default())
            .or_default() += 1;
    }
    println!("spans: {names:?}");
    assert_eq!(names.get("request"), Some(&1));
    assert_eq!(names.get("admission"), Some(&1));
    assert!(
        names.get("attempt").is_some_and(|count| *count >= 2),
        "{names:?}"
    );
    assert!(names.get("routing") >= names.get("attempt"), "{names:?}");
    let request = spans
        .iter()
        .find(|span| span["name"] == "request")
        .expect("counted above");
    assert_eq!(request["parentSpanId"], "00f067aa0ba902b7");
    let children = spans.iter().filter(|span| span["name"] == "attempt");
    for span in children {
        assert_eq!(span["parentSpanId"], request["spanId"]);
    }
}

/// Kills an engine that runs a middle or last stage of the request in progress.
async fn kill_busy_engine(fleet: &mut ProcessFleet) {
    for index in 0..fleet.engines.len() {
        let address = fleet.engines[index].row.address;
        let ledger: Vec<LedgerEntry> = admin_get(address, "/v1/ledger")
            .await
            .expect("the engine shows its ledger");
        if ledger.last().is_some_and(|entry| entry.layers.from > 0) {
            fleet.engines[index].process.kill();
            return;
        }
    }
    panic!("no engine runs a later stage");
}
