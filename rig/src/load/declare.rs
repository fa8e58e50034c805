//! What the fleet of a run is declared with, and its rows of the instance list.

use crate::load::spec::RunSpec;
use arbutusmount::{FleetDeclaration, InstanceRole, InstanceRow, InstanceState, digest_token};
use serde_json::json;
use std::net::SocketAddr;

/// Result of describing a fleet.
type Result<T> = std::result::Result<T, String>;

/// Name of the model.
pub(super) const MODEL: &str = "helpdesk";
/// Version of the model.
pub(super) const VERSION: &str = "v1";
/// Bytes of one layer's weights.
pub(super) const LAYER_BYTES: u64 = 1_000;

/// Most engines that a rollout may load at once.
const MAX_LOADS: usize = 1_000;

/// Bearer token of a team.
pub(super) fn team_token(team: &str) -> String {
    format!("{team}-secret")
}

/// Puts a name before the cause of an error.
pub(super) fn with_context<E: std::fmt::Display>(name: &str) -> impl Fn(E) -> String {
    move |cause| format!("{name}: {cause}")
}

/// A live instance's row.
pub(super) fn make_row(
    name: &str,
    address: SocketAddr,
    role: InstanceRole,
    domain: &str,
) -> Result<InstanceRow> {
    Ok(InstanceRow {
        instance: name.parse().map_err(with_context(name))?,
        address,
        peer_address: None,
        role,
        failure_domain: domain.parse().map_err(with_context(name))?,
        state: InstanceState::Live,
        memory_bytes: 0,
        service: None,
    })
}

/// The declaration of a run: its model, its service and its teams.
pub(super) fn make_declaration(spec: &RunSpec) -> Result<FleetDeclaration> {
    let teams = spec.teams.iter().map(|load| {
        json!({
            "team": load.team,
            "token_sha256": digest_token(&team_token(&load.team)).to_string(),
            "priority": load.priority,
            "weight": load.weight,
        })
    });
    let services = if spec.services > 0 {
        json!([{ "service": "stock" }])
    } else {
        json!([])
    };
    let text = json!({
        "models": [{
            "model": MODEL, "version": VERSION, "layers": spec.layers,
            "layer_bytes": LAYER_BYTES, "replicas": spec.replicas, "floor": 0,
        }],
        "services": services,
        "rollout": { "loads_at_once": spec.engine_count().min(MAX_LOADS) },
        "teams": teams.collect::<Vec<_>>(),
    });
    FleetDeclaration::parse(&text.to_string()).map_err(|errors| format!("{errors:?}"))
}
