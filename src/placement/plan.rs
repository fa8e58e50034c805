//! Plans the layers of all servers of a model. The plan depends only on what servers hold, so that
//! a new leader continues where the last one stopped.
//!
//! Chains stay within a failure domain, as each hop carries the activations of every token.
//! Complete chains are kept. Where a domain has none, the chain that lacks the fewest layers is
//! repaired; where that is not possible the domain is planned from scratch. Free servers form
//! further chains where these are worthwhile, and otherwise hold replicas of parts, so that the
//! loss of one server leaves a complete chain.

use crate::catalog::ModelShape;
use crate::ids::{DomainId, InstanceId};
use crate::paths::mark_on_full_path;
use crate::placement::composition::chain_rate;
use crate::placement::forming::form_chains;
use crate::placement::repair::repair_chains;
use crate::placement::replicas::{replicate_parts, take_over};
use crate::placement::search::CompositionSearch;
use crate::units::LayerRange;
use std::collections::BTreeSet;
use std::sync::Arc;

/// State of a server as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerPlacement {
    /// Identity of the server.
    pub id: InstanceId,
    /// Start of its present run, in milliseconds since 1970; 0 if unknown.
    pub started_ms: u64,
    /// Failure domain.
    pub domain: DomainId,
    /// Accelerator kind.
    pub card: Arc<str>,
    /// Layers that it holds or was ordered to hold.
    pub held: Option<LayerRange>,
    /// True when it came while its domain already had its baseline number of servers of this kind,
    /// so that it probably replaces one that is about to leave.
    pub is_surplus: bool,
}

/// Layers that a server is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerAssignment {
    /// Server that holds the layers.
    pub id: InstanceId,
    /// Layers to hold.
    pub layers: LayerRange,
}

/// Which servers a plan may reassign.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanScope {
    /// All servers that are not part of a complete chain.
    IdleServers,
    /// Only servers that hold no layers.
    EmptyServers,
}

/// Plans the layers of all servers; servers without an assignment stay unchanged.
pub fn plan_layers(
    model: &ModelShape,
    servers: &[ServerPlacement],
    scope: PlanScope,
) -> Vec<LayerAssignment> {
    let domains: BTreeSet<&DomainId> = servers.iter().map(|server| &server.domain).collect();
    let mut search = CompositionSearch::new(model);
    let mut plan = Vec::new();
    for domain in domains {
        let members: Vec<&ServerPlacement> = servers
            .iter()
            .filter(|server| &server.domain == domain)
            .collect();
        plan.extend(plan_domain(model, &mut search, &members, scope));
    }
    plan
}

fn plan_domain(
    model: &ModelShape,
    search: &mut CompositionSearch<'_>,
    members: &[&ServerPlacement],
    scope: PlanScope,
) -> Vec<LayerAssignment> {
    let repaired = repair_chains(model, members, scope);
    let members: Vec<&ServerPlacement> = repaired.iter().collect();
    let held: Vec<Option<LayerRange>> = members.iter().map(|server| server.held).collect();
    let on_full_path = mark_on_full_path(&held, model.layers);
    let (kept, free): (Vec<_>, Vec<_>) = members
        .iter()
        .zip(&on_full_path)
        .partition(|(_, on_full_path)| **on_full_path);
    let kept: Vec<&ServerPlacement> = kept.into_iter().map(|(server, _)| *server).collect();
    let mut free: Vec<&ServerPlacement> = free.into_iter().map(|(server, _)| *server).collect();
    if scope == PlanScope::EmptyServers {
        free.retain(|server| server.held.is_none());
    }
    let mut plan: Vec<LayerAssignment> = kept
        .iter()
        .filter_map(|server| keep_layers(server))
        .collect();
    let existing_rate = existing_rate(model, &members, &plan);
    form_chains(model, search, &mut free, &mut plan, existing_rate);
    // A surplus server first replicates a part whose loss would break the chain.
    let (surplus, mut regular): (Vec<&ServerPlacement>, Vec<&ServerPlacement>) =
        free.into_iter().partition(|server| server.is_surplus);
    take_over(model, &members, &mut regular, &mut plan);
    free = [surplus, regular].concat();
    replicate_parts(model, &members, &mut free, &mut plan);
    take_over(model, &members, &mut free, &mut plan);
    plan
}

fn keep_layers(server: &ServerPlacement) -> Option<LayerAssignment> {
    server.held.map(|layers| LayerAssignment {
        id: server.id.clone(),
        layers,
    })
}

fn existing_rate(
    model: &ModelShape,
    members: &[&ServerPlacement],
    plan: &[LayerAssignment],
) -> f64 {
    let planned = |server: &&&ServerPlacement| plan.iter().any(|assigned| assigned.id == server.id);
    let cards = members
        .iter()
        .filter(planned)
        .filter_map(|server| model.card(&server.card));
    chain_rate(model, &cards.collect::<Vec<_>>())
}
