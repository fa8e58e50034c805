//! Plug-in for `GET /v1/addresses`: names the daemons to which a team should send its requests.

use crate::api::auth::authenticate_team;
use crate::config::AcceptedConfig;
use crate::ids::{DomainId, InstanceId};
use crate::instances::InstanceRole;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost};
use crate::membership::{AddressPlan, MemberRow, MemberState, share_by_weight};
use arc_swap::ArcSwapOption;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use tide::{Body, Request, Response, StatusCode};

/// One daemon of an address response.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AddressRow {
    /// Identity of the daemon.
    pub instance: InstanceId,
    /// Address on which the daemon serves callers.
    pub address: SocketAddr,
    /// Failure domain of the daemon.
    pub failure_domain: DomainId,
    /// Share of the team's requests to send to the daemon, relative to the other rows.
    pub weight: f64,
}

/// Body of the response to `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AddressResponse {
    /// Daemons to use.
    pub addresses: Vec<AddressRow>,
    /// Time for which a caller may cache the response, in milliseconds.
    pub lifetime_ms: u64,
}

impl AddressResponse {
    /// Shuffles the addresses so that each one comes first with a probability in proportion to its
    /// weight. A caller connects to the first and fails over to the next.
    pub fn weighted_shuffle(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        // Weighted sampling without replacement: sorts by ln(u) / weight, u uniform in (0, 1).
        let mut sort_key = |weight: f64| rng.f64().max(f64::MIN_POSITIVE).ln() / weight;
        let rows = self.addresses.iter();
        let mut keyed: Vec<_> = rows
            .map(|row| (sort_key(row.weight), row.address))
            .collect();
        keyed.sort_by(|a, b| b.0.total_cmp(&a.0));
        keyed.into_iter().map(|(_, address)| address).collect()
    }
}

inventory::submit! {
    PluginEntry { name: "api.addresses", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let cache = Arc::new(AddressCache::default());
    host.app.at("/v1/addresses").get(move |request| {
        let cache = Arc::clone(&cache);
        async move { handle_addresses(&request, &cache) }
    });
    Ok(())
}

/// Caches the address plan until the teams or the daemons change.
#[derive(Debug, Default)]
struct AddressCache {
    current: ArcSwapOption<AddressPlan>,
}

impl AddressCache {
    fn plan(&self, context: &KernelContext, config: &AcceptedConfig) -> Arc<AddressPlan> {
        let teams = &config.document().declaration.teams;
        let teams = share_by_weight(teams.iter().map(|team| (&team.team, team.weight)));
        let members = eligible_members(context);
        if let Some(plan) = self.current.load_full()
            && plan.is_current_for(&teams, &members)
        {
            return plan;
        }
        let minimum = context.settings.membership.subset_daemons;
        let plan = Arc::new(AddressPlan::new(teams, members, minimum));
        self.current.store(Some(Arc::clone(&plan)));
        plan
    }
}

/// Daemons that a response may name. A daemon that reaches no other daemon may itself be the one
/// that is cut off: it also names the daemons that the platform lists, as suspects.
fn eligible_members(context: &KernelContext) -> Vec<MemberRow> {
    let view = context.members.view();
    let mut members: Vec<MemberRow> = view.serving_daemons().cloned().collect();
    if view.isolated {
        let list = context.instances.load();
        let others = list
            .live(InstanceRole::Router)
            .filter(|row| row.instance != context.settings.instance);
        let suspects = others.filter_map(MemberRow::from_listed);
        members.extend(suspects.map(|row| MemberRow {
            state: MemberState::Suspect,
            ..row
        }));
    }
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    members
}

fn handle_addresses(request: &Request<Arc<KernelContext>>, cache: &AddressCache) -> tide::Result {
    let (config, team) = match authenticate_team(request) {
        Ok(caller) => caller,
        Err(problem) => return Ok(problem.to_response().into()),
    };
    let context = request.state();
    let plan = cache.plan(context, &config);
    let rows = plan.subset(&team.team).map(|(row, weight)| AddressRow {
        instance: row.instance.clone(),
        address: row.address,
        failure_domain: row.failure_domain.clone(),
        weight,
    });
    let body = AddressResponse {
        addresses: rows.collect(),
        lifetime_ms: context.settings.timing.address_ms,
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_json(&body)?);
    Ok(response)
}
