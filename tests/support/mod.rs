//! Fixtures shared by the integration tests.

#![allow(dead_code, reason = "each test program uses a part of the fixtures")]

use arbutusmount::{AskRequest, ChatMessage, ChatRequest, OperatorClient};
use rig::{FleetSpec, ProcessFleet, ProgramPaths, TEAM_TOKEN, sample_declaration};
use std::sync::Arc;

/// Model of the sample declaration: name, version and layers.
pub const MODEL: (&str, &str, u32) = ("helpdesk", "v1", 24);

/// The programs under test.
pub fn programs() -> ProgramPaths {
    ProgramPaths::beside(env!("CARGO_BIN_EXE_arbutusmountd"))
}

/// A fleet with this many copies of the sample model declared and ready.
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
    OperatorClient::new(TEAM_TOKEN)
}
