//! Answers to callers: authentication, bad input, and the form of every refusal.

mod support;

use arbutusmount::{ConnectionPool, HttpCall, OperatorClient, OperatorError};
use http_types::Method;
use rig::{
    DISPATCH_TOKEN, FleetSpec, HEAD_OFFICE_TOKEN, OPERATOR_TOKEN, ProcessFleet, sample_declaration,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use support::{chat_request, programs};

/// A fleet whose team `dispatch` may use neither the model nor the service.
async fn restricted_fleet() -> ProcessFleet {
    let fleet = ProcessFleet::start(FleetSpec::default(), programs()).await;
    let mut declaration = sample_declaration(1);
    declaration.teams[1].models = vec!["other".parse().unwrap()];
    declaration.teams[1].services = vec!["other".parse().unwrap()];
    fleet.declare(&declaration).await;
    fleet
}

/// Sends a call and returns its status, headers of interest and JSON body.
async fn send(call: HttpCall) -> (u16, Option<String>, Value) {
    let pool = ConnectionPool::new(Duration::from_secs(2), 1);
    let reply = pool.send(&call).await.expect("the daemon answers");
    let (status, form) = (
        reply.status(),
        reply.header("content-type").map(str::to_owned),
    );
    let body = reply.bytes().await.expect("the answer is whole");
    (
        status,
        form,
        serde_json::from_slice(&body).unwrap_or(Value::Null),
    )
}

fn post(daemon: SocketAddr, path: &str, token: &str, body: &str) -> HttpCall {
    let mut call = HttpCall::new(daemon, Method::Post, path);
    call.body = body.as_bytes().to_vec();
    if token.is_empty() {
        return call;
    }
    call.header("authorization", &format!("Bearer {token}"))
}

fn chat_body(model: &str) -> String {
    json!({ "model": model, "messages": [{ "role": "user", "content": "hello" }] }).to_string()
}

#[async_std::test]
async fn refusals_name_what_is_wrong_and_that_nothing_ran() {
    // Arrange
    let fleet = restricted_fleet().await;
    let daemon = fleet.daemons[0].addresses.listen;
    let chat = "/v1/chat/completions";
    let good = chat_body("helpdesk");
    let no_messages = json!({ "model": "helpdesk", "messages": [] }).to_string();
    let image = json!({ "model": "helpdesk", "messages": [{ "role": "user",
        "content": [{ "type": "image_url" }] }] });
    let many = json!({ "model": "helpdesk", "n": 2, "messages": [{ "role": "user",
        "content": "hello" }] });
    let long = "x".repeat((1 << 20) + 1);
    let cases = [
        ("no token", post(daemon, chat, "", &good), 401),
        ("unknown token", post(daemon, chat, "guess", &good), 401),
        (
            "operator's token",
            post(daemon, chat, OPERATOR_TOKEN, &good),
            401,
        ),
        (
            "another team's model",
            post(daemon, chat, DISPATCH_TOKEN, &good),
            403,
        ),
        (
            "another team's service",
            post(daemon, "/services/stock/a", DISPATCH_TOKEN, "{}"),
            403,
        ),
        (
            "unknown model",
            post(daemon, chat, HEAD_OFFICE_TOKEN, &chat_body("nothing")),
            404,
        ),
        (
            "unknown service",
            post(daemon, "/services/nothing/a", HEAD_OFFICE_TOKEN, "{}"),
            404,
        ),
        (
            "malformed JSON",
            post(daemon, chat, HEAD_OFFICE_TOKEN, "{\"model\":"),
            400,
        ),
        (
            "no messages",
            post(daemon, chat, HEAD_OFFICE_TOKEN, &no_messages),
            400,
        ),
        (
            "an image",
            post(daemon, chat, HEAD_OFFICE_TOKEN, &image.to_string()),
            400,
        ),
        (
            "two answers",
            post(daemon, chat, HEAD_OFFICE_TOKEN, &many.to_string()),
            400,
        ),
        (
            "oversized body",
            post(daemon, chat, HEAD_OFFICE_TOKEN, &long),
            413,
        ),
        (
            "missing idempotency key",
            post(daemon, "/services/stock/a", HEAD_OFFICE_TOKEN, "{}"),
            400,
        ),
        (
            "malformed idempotency key",
            post(daemon, "/services/stock/a", HEAD_OFFICE_TOKEN, "{}")
                .header("idempotency-key", "a b"),
            400,
        ),
        (
            "unknown path",
            post(daemon, "/v2/chat", HEAD_OFFICE_TOKEN, "{}"),
            404,
        ),
        (
            "wrong method",
            post(daemon, "/metrics", HEAD_OFFICE_TOKEN, "{}"),
            405,
        ),
        (
            "a team planning",
            post(daemon, "/operator/plan", HEAD_OFFICE_TOKEN, "{}"),
            401,
        ),
        (
            "malformed plan",
            post(daemon, "/operator/confirm", OPERATOR_TOKEN, "{}"),
            400,
        ),
    ];
    for (name, call, expected) in cases {
        // Act
        let (status, form, body) = send(call).await;

        // Assert
        assert_eq!(status, expected, "{name}: {body}");
        assert_eq!(form.as_deref(), Some("application/problem+json"), "{name}");
        assert_eq!(body["status"], expected, "{name}");
        assert_eq!(body["outcome"], "not_run", "{name}");
        assert!(
            body["detail"].as_str().is_some_and(|text| !text.is_empty()),
            "{name}"
        );
    }
}

#[async_std::test]
async fn daemon_without_configuration_refuses_and_is_not_ready() {
    // Arrange
    let fleet = ProcessFleet::start(FleetSpec::default(), programs()).await;
    let daemon = fleet.daemons[0].addresses.listen;

    // Act
    let chat = send(post(
        daemon,
        "/v1/chat/completions",
        HEAD_OFFICE_TOKEN,
        "{}",
    ))
    .await;
    let ready = send(HttpCall::new(daemon, Method::Get, "/readyz")).await;
    let health = send(HttpCall::new(daemon, Method::Get, "/healthz")).await;

    // Assert
    assert_eq!((chat.0, &chat.2["outcome"]), (503, &json!("not_run")));
    assert!(chat.2["retry_after_ms"].as_u64().is_some());
    assert_eq!(ready.0, 503);
    assert_eq!(health.0, 200);
}

#[async_std::test]
async fn team_over_its_limit_is_told_when_to_come_back() {
    // Arrange: 20 tokens a second with a burst of two seconds.
    let fleet = ProcessFleet::start(FleetSpec::default(), programs()).await;
    let mut declaration = sample_declaration(1);
    declaration.teams[0].tokens_per_second = Some(20.0);
    fleet.declare(&declaration).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let client = OperatorClient::new(HEAD_OFFICE_TOKEN);
    let unlimited = OperatorClient::new(DISPATCH_TOKEN);

    // Act
    let first = client
        .ask(daemon, &chat_request("hello", 1, 60), |_| {})
        .await;
    let second = client
        .ask(daemon, &chat_request("hello", 2, 60), |_| {})
        .await;
    let other = unlimited
        .ask(daemon, &chat_request("hello", 3, 60), |_| {})
        .await;

    // Assert
    assert_eq!(first, Ok("length".to_owned()));
    assert_eq!(other, Ok("length".to_owned()));
    let Err(OperatorError::Problem { status: 429, body }) = second else {
        panic!("expected a refusal, got {second:?}");
    };
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(body["outcome"], "not_run");
    assert!(
        body["retry_after_ms"]
            .as_u64()
            .is_some_and(|millis| millis > 0)
    );
}
