//! Plug-in for the address question: which daemons a team should use.

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
pub struct AddressResponse {
    /// Daemons to use.
    pub addresses: Vec<AddressRow>,
    /// How long the answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

impl AddressResponse {
    /// The addresses in a random order in which each comes first as often as its weight says: a
    /// caller connects to the first, and goes on to the next when one fails.
    pub fn weighted_shuffle(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut draw = |weight: f64| rng.f64().max(f64::MIN_POSITIVE).ln() / weight;
        let rows = self.addresses.iter();
        let mut keyed: Vec<_> = rows.map(|row| (draw(row.weight), row.address)).collect();
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
        async move { answer_addresses(&request, &cache) }
    });
    Ok(())
}

/// The newest plan of addresses; made again when teams or daemons have changed.
#[derive(Debug, Default)]
struct AddressCache {
    current: ArcSwapOption<AddressPlan>,
}

impl AddressCache {
    fn plan(&self, context: &KernelContext, config: &AcceptedConfig) -> Arc<AddressPlan> {
        let teams = &config.document().declaration.teams;
        let teams = share_by_weight(teams.iter().map(|team| (&team.team, team.weight)));
        let members = open_members(context);
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

/// Daemons that callers may be sent to. A daemon that reaches no other doubts itself and adds what
/// the platform lists as suspects.
fn open_members(context: &KernelContext) -> Vec<MemberRow> {
    let view = context.members.view();
    let mut members: Vec<MemberRow> = view.serving_daemons().cloned().collect();
    if view.isolated {
        let list = context.instances.load();
        let unheard = list
            .live(InstanceRole::Router)
            .filter(|row| row.instance != context.settings.instance);
        let suspects = unheard.filter_map(MemberRow::from_listed);
        members.extend(suspects.map(|row| MemberRow {
            state: MemberState::Suspect,
            ..row
        }));
    }
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    members
}

fn answer_addresses(request: &Request<Arc<KernelContext>>, cache: &AddressCache) -> tide::Result {
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
    let answer = AddressResponse {
        addresses: rows.collect(),
        lifetime_ms: context.settings.timing.address_ms,
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_json(&answer)?);
    Ok(response)
}
