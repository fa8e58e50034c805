//! Declaration of a run's fleet and rows of its instance list.

use crate::load::spec::RunSpec;
use arbutusmount::{FleetDeclaration, InstanceRole, InstanceRow, InstanceState, digest_token};
use serde_json::json;
use std::net::SocketAddr;

/// Result of making a declaration or a row; the error is a text.
type Result<T> = std::result::Result<T, String>;

/// Name of the declared model.
pub(super) const MODEL: &str = "helpdesk";
/// Version of the declared model.
pub(super) const VERSION: &str = "v1";
/// Size of one layer's weights in bytes.
pub(super) const LAYER_BYTES: u64 = 1_000;

/// Maximum number of engines that a rollout may load at once.
const MAX_LOADS: usize = 1_000;

/// Returns the bearer token of a team.
pub(super) fn team_token(team: &str) -> String {
    format!("{team}-secret")
}

/// Returns a function that puts a name before the text of an error.
pub(super) fn with_context<E: std::fmt::Display>(name: &str) -> impl Fn(E) -> String {
    move |cause| format!("{name}: {cause}")
}

/// Returns the instance list's row of a live instance.
///
/// # Errors
/// Returns the name that is invalid.
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

/// Returns the declaration of a run: its model, its service and its teams.
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
