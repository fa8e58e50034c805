//! Plug-in for the address question: which daemons a team should use.

use crate::api::auth::authenticate_team;
use crate::ids::{DomainId, InstanceId};
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use tide::{Body, Request, Response, StatusCode};

/// One address of the answer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AddressRow {
    /// Daemon.
    pub instance: InstanceId,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Failure domain of the daemon.
    pub failure_domain: DomainId,
    /// Share of the team's requests to send there, relative to the other rows.
    pub weight: f64,
}

/// Answer to `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Daemons to use.
    pub addresses: Vec<AddressRow>,
    /// How long the answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

inventory::submit! {
    PluginEntry { name: "api.addresses", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    host.app
        .at("/v1/addresses")
        .get(|request| async move { answer_addresses(&request) });
    Ok(())
}

fn answer_addresses(request: &Request<Arc<KernelContext>>) -> tide::Result {
    if let Err(problem) = authenticate_team(request) {
        return Ok(problem.to_response().into());
    }
    let context = request.state();
    let view = context.members.view();
    let rows = view.open_daemons().map(|row| AddressRow {
        instance: row.instance.clone(),
        address: row.address,
        failure_domain: row.failure_domain.clone(),
        weight: 1.0,
    });
    let answer = AddressAnswer {
        addresses: rows.collect(),
        lifetime_ms: context.settings.timing.address_ms,
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_json(&answer)?);
    Ok(response)
}
