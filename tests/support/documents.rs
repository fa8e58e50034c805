//! Fixture: configuration documents of any size.

use arbutusmount::{
    ConfigDocument, FleetDeclaration, LayerRange, StagePlacement, TeamSpec, digest_token,
};
use std::sync::Arc;

/// Changes that a head remembers at least.
pub const RECENT_LIMIT: usize = 16;

/// A document that declares nothing.
pub fn empty_document() -> ConfigDocument {
    ConfigDocument {
        plan: "none".parse().expect("a valid name"),
        author: Arc::from("nobody"),
        declaration: FleetDeclaration::default(),
        placements: Vec::new(),
        serving: Vec::new(),
    }
}

/// A team of its own name and token.
pub fn team(number: usize) -> TeamSpec {
    let digest = digest_token(&number.to_string()).to_string();
    let text = serde_json::json!({ "team": format!("team-{number}"), "token_sha256": digest });
    serde_json::from_value(text).expect("a valid team")
}

/// A document with so many teams and placed stages.
pub fn sized_document(teams: usize, rows: usize) -> ConfigDocument {
    let mut document = empty_document();
    document.declaration.teams = (0..teams).map(team).collect();
    let row = |index: usize| StagePlacement {
        model: "helpdesk-assistant".parse().expect("a valid name"),
        version: "2026-12-01".parse().expect("a valid name"),
        instance: format!("engine-{index:04}").parse().expect("a valid name"),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000).into(),
        layers: LayerRange::new(0, 24),
    };
    document.placements = (0..rows).map(row).collect();
    document
}
