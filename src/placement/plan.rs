//! Plans the layers of all servers of a model. The plan depends only on what servers hold, so that a
//! new leader goes on where the last one ended.
//!
//! Chains stay within a failure domain, as a hop carries the activations of each token. What makes a
//! whole chain stays as it is. Where there is none, the chain that lacks the fewest layers is made whole;
//! where that cannot be done the domain is planned anew. Free servers form chains of their own where these
//! are worth it, and otherwise hold copies of parts, so that the loss of one server leaves the chain
//! whole.

use crate::catalog::ModelShape;
use crate::ids::{DomainId, InstanceId};
use crate::paths::mark_on_full_path;
use crate::placement::composition::chain_rate;
use crate::placement::forming::form_chains;
use crate::placement::repair::repair_chains;
use crate::placement::replicas::{replicate_parts, take_over};
use crate::units::LayerRange;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A server as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerPlacement {
    /// Identity.
    pub id: InstanceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Kind of accelerator.
    pub card: Arc<str>,
    /// Layers that it holds or was ordered to hold.
    pub held: Option<LayerRange>,
    /// It came while its domain had all its servers of this kind, so it likely follows one that is about
    /// to leave.
    pub is_surplus: bool,
}

/// Layers that a server is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerAssignment {
    /// Server.
    pub id: InstanceId,
    /// Layers.
    pub layers: LayerRange,
}

/// Which servers a plan may give other layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanScope {
    /// All that serve nothing where they are.
    IdleServers,
    /// Only those that hold no layers.
    EmptyServers,
}

/// Plans the layers of all servers; servers without an assignment stay as they are.
pub fn plan_layers(
    model: &ModelShape,
    servers: &[ServerPlacement],
    scope: PlanScope,
) -> Vec<LayerAssignment> {
    let domains: BTreeSet<&DomainId> = servers.iter().map(|server| &server.domain).collect();
    let mut plan = Vec::new();
    for domain in domains {
        let members: Vec<&ServerPlacement> = servers
            .iter()
            .filter(|server| &server.domain == domain)
            .collect();
        plan.extend(plan_domain(model, &members, scope));
    }
    plan
}

fn plan_domain(
    model: &ModelShape,
    members: &[&ServerPlacement],
    scope: PlanScope,
) -> Vec<LayerAssignment> {
    let repaired = repair_chains(model, members, scope);
    let members: Vec<&ServerPlacement> = repaired.iter().collect();
    let held: Vec<Option<LayerRange>> = members.iter().map(|server| server.held).collect();
    let useful = mark_on_full_path(&held, model.layers);
    let (kept, free): (Vec<_>, Vec<_>) = members
        .iter()
        .zip(&useful)
        .partition(|(_, useful)| **useful);
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
    form_chains(model, &mut free, &mut plan, existing_rate);
    // A successor first stands in for a part whose loss would break the chain.
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
