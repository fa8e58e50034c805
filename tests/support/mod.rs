//! Fixtures shared by the integration tests.

#![allow(dead_code, reason = "each test program uses a part of the fixtures")]

pub mod documents;
pub mod proxied;

use arbutusmount::{
    AskRequest, ChatMessage, ChatRequest, ConnectionPool, HttpCall, OperatorClient,
};
use http_types::Method;
use rig::{FleetSpec, HEAD_OFFICE_TOKEN, ProcessFleet, ProgramPaths, sample_declaration};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Model of the sample declaration: name, version and number of layers.
pub const MODEL: (&str, &str, u32) = ("helpdesk", "v1", 24);

/// Paths of the programs under test.
pub fn programs() -> ProgramPaths {
    ProgramPaths::beside(env!("CARGO_BIN_EXE_arbutusmountd"))
}

/// Starts a fleet and declares the sample model with this many replicas; returns once it is ready.
pub async fn ready_fleet(spec: FleetSpec, replicas: u32) -> ProcessFleet {
    let fleet = ProcessFleet::start(spec, programs()).await;
    fleet.declare(&sample_declaration(replicas)).await;
    fleet
}

/// A chat request with a single user message.
pub fn chat_request(message: &str, seed: u64, max_tokens: u32) -> AskRequest {
    let chat = ChatRequest {
        model: MODEL.0.to_owned(),
        messages: vec![ChatMessage {
            role: Arc::from("user"),
            content: Arc::from(message),
        }],
        max_tokens: Some(max_tokens),
        stream: true,
        seed: Some(seed),
        ..ChatRequest::default()
    };
    AskRequest { chat }
}

/// A client of the team `head-office`.
pub fn team_client() -> OperatorClient {
    OperatorClient::new(HEAD_OFFICE_TOKEN)
}

/// Value of a daemon's metric; 0 when it is missing.
pub async fn read_metric(daemon: SocketAddr, name: &str) -> f64 {
    let pool = ConnectionPool::new(Duration::from_secs(1), 1);
    let call = HttpCall::new(daemon, Method::Get, "/metrics");
    let Ok(reply) = pool.send(&call).await else {
        return 0.0;
    };
    let body = reply.bytes().await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    value.unwrap_or(0.0)
}

/// The daemon of `among` that reports that it leads and sends orders to engines; `None` if there is
/// none.
pub async fn find_leader(fleet: &ProcessFleet, among: &[usize]) -> Option<usize> {
    for daemon in among {
        let address = fleet.daemons[*daemon].addresses.listen;
        if read_metric(address, "arbutusmount_reconcile_leader").await > 0.0 {
            return Some(*daemon);
        }
    }
    None
}

/// Highest memory of the first daemon so far, in KiB.
pub fn peak_kib(fleet: &ProcessFleet) -> u64 {
    let path = format!("/proc/{}/status", fleet.daemons[0].process.id());
    let text = std::fs::read_to_string(path).expect("the daemon lives");
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let figure = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    figure.expect("the peak is a number")
}
