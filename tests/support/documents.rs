//! Fixture: configuration documents of a given size.

use arbutusmount::{
    ConfigDocument, FleetDeclaration, LayerRange, StagePlacement, TeamSpec, digest_token,
};
use std::sync::Arc;

/// Minimum number of changes in a head's history.
pub const RECENT_LIMIT: usize = 16;

/// Creates a document with an empty declaration.
pub fn empty_document() -> ConfigDocument {
    ConfigDocument {
        plan: "none".parse().expect("a valid name"),
        author: Arc::from("nobody"),
        declaration: FleetDeclaration::default(),
        placements: Vec::new(),
        serving: Vec::new(),
    }
}

/// Creates a team with a name and token derived from `number`.
pub fn team(number: usize) -> TeamSpec {
    let digest = digest_token(&number.to_string()).to_string();
    let text = serde_json::json!({ "team": format!("team-{number}"), "token_sha256": digest });
    serde_json::from_value(text).expect("a valid team")
}

/// Creates a document with the given numbers of teams and placed stages.
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
