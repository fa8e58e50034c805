//! Selects the target or chain of an attempt.
//!
//! Several daemons select at the same time, each from its own load figures and from those that the
//! other daemons sent some hundred milliseconds ago. The local requests count immediately, and
//! random jitter keeps the daemons from all picking the same target.

use crate::catalog::ModelShape;
use crate::ids::{DomainId, InstanceId};
use crate::targets::{LayerChain, TargetEntry};
use crate::units::MonoTime;
use std::sync::Arc;

/// Load added to a target of another failure domain, as a share of the requests that it runs
/// concurrently: traffic between domains is expensive, and the daemons of its own domain use it
/// first.
pub(super) const REMOTE_DOMAIN_LOAD: f64 = 0.25;
/// Share of a chain's token capacity that may be reserved. The rest absorbs wrong estimates: a
/// chain that runs out of memory preempts requests in the middle of their responses.
pub const MAX_RESERVED_SHARE: f64 = 0.93;
/// The same limit for resumed streams, above the whole capacity: their tokens were already admitted
/// at the chain that failed.
const MAX_RESUMED_SHARE: f64 = 1.03;
/// Cost factor of a chain in another failure domain.
pub(super) const REMOTE_DOMAIN_COST: f64 = 3.0;
/// Reserved share at which the cost of a chain becomes infinite. It must exceed
/// [`MAX_RESUMED_SHARE`], else the cost of a chain within that limit could be negative.
const SATURATED_SHARE: f64 = 1.06;
/// Largest random addition to a chain's cost, as a share, so that daemons with equal figures choose
/// differently.
const COST_JITTER: f64 = 0.1;

/// Requirements of a request on its chain.
#[derive(Debug, Clone, Copy)]
pub struct ChainRequirement<'a> {
    /// Local failure domain.
    pub domain: &'a DomainId,
    /// Context tokens to reserve.
    pub tokens: f64,
    /// True for a resumed stream, which may use more of a chain: its tokens were already admitted
    /// at the chain that failed.
    pub is_resumed: bool,
    /// Share of a chain's token capacity up to which a new request may fill it. Resumed streams have a
    /// limit of their own.
    pub max_share: f64,
}

/// Selects the least loaded ready target that is not in `tried`, preferring the local failure
/// domain. Targets that are not ejected come first, and among those, targets that are not degraded.
///
/// An ejected target did not respond lately, a degraded one responded incorrectly. A replaced one,
/// whose address another target has taken over, is never selected.
pub fn pick_target<'a>(
    targets: &'a [Arc<TargetEntry>],
    tried: &[InstanceId],
    domain: &DomainId,
    now: MonoTime,
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<TargetEntry>> {
    let candidates = preferred_targets(targets, tried, now);
    // The random part of up to 0.02 makes daemons with equal figures choose differently.
    let load = |target: &TargetEntry, rng: &mut fastrand::Rng| {
        let occupancy = f64::from(target.stats.total_requests()) / f64::from(target.slots.max(1));
        let remote = if &target.domain == domain {
            0.0
        } else {
            REMOTE_DOMAIN_LOAD
        };
        occupancy + remote + rng.f64() * 0.02
    };
    let mut loads: Vec<(f64, &Arc<TargetEntry>)> = candidates
        .into_iter()
        .map(|target| (load(target, rng), target))
        .collect();
    loads.sort_by(|a, b| a.0.total_cmp(&b.0));
    loads.first().map(|(_, target)| *target)
}

/// The ready targets that are not in `tried`; only those that are not ejected if there are any, and of
/// these only those that are not degraded if there are any.
pub(super) fn preferred_targets<'a>(
    targets: &'a [Arc<TargetEntry>],
    tried: &[InstanceId],
    now: MonoTime,
) -> Vec<&'a Arc<TargetEntry>> {
    let is_candidate = |target: &&Arc<TargetEntry>| {
        target.is_ready()
            && !target.stats.is_replaced()
            && !target.stats.limit().is_held_back(now)
            && !tried.contains(&target.id)
    };
    let mut candidates: Vec<&Arc<TargetEntry>> = targets.iter().filter(is_candidate).collect();
    if candidates
        .iter()
        .any(|target| !target.stats.is_ejected(now))
    {
        candidates.retain(|target| !target.stats.is_ejected(now));
    }
    if candidates
        .iter()
        .any(|target| !target.stats.is_degraded(now))
    {
        candidates.retain(|target| !target.stats.is_degraded(now));
    }
    candidates
}

/// Selects a chain that has capacity for the request. The cost of a chain grows with its time per token and
/// with its reserved share, so that slow chains take the load that fast ones have no capacity for.
/// Degraded chains are selected only when no other has capacity.
///
/// New requests get the cheapest chain. Streams that are resumed come in a herd when servers crash, from
/// daemons that do not know of each other's choices yet, so they are spread over all chains by
/// their costs.
pub fn pick_chain<'a>(
    chains: &'a [Arc<LayerChain>],
    model: &ModelShape,
    requirement: ChainRequirement<'_>,
    tried: &[InstanceId],
    now: MonoTime,
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<LayerChain>> {
    let usable = |chain: &&Arc<LayerChain>| is_usable_chain(chain, tried, now);
    let (degraded, healthy): (Vec<_>, Vec<_>) = chains
        .iter()
        .filter(usable)
        .partition(|chain| chain.is_degraded(now));
    let mut choose = |chains: &[&'a Arc<LayerChain>]| {
        let costs = chain_costs(chains, model, requirement);
        if requirement.is_resumed {
            draw_by_cost(&costs, rng)
        } else {
            least_cost(&costs, rng)
        }
    };
    choose(&healthy).or_else(|| choose(&degraded))
}

/// True when new requests may use the chain: none of its targets is ejected, leaves or rests, and its
/// first one is neither held back by a rate limit nor tried already.
pub(super) fn is_usable_chain(chain: &LayerChain, tried: &[InstanceId], now: MonoTime) -> bool {
    !chain.is_ejected(now)
        && !chain.head().stats.limit().is_held_back(now)
        && !chain.rests(now)
        && !chain.leaves()
        && !chain.is_saturated(now)
        && !tried.contains(&chain.head().id)
}

/// Largest share of a chain that may be reserved with the request.
fn share_limit(requirement: ChainRequirement<'_>) -> f64 {
    if requirement.is_resumed {
        MAX_RESUMED_SHARE
    } else {
        requirement.max_share
    }
}

/// Cost of a chain of which `reserved_share` is reserved; `None` when it has no capacity for the request.
pub(super) fn chain_cost(
    chain: &LayerChain,
    reserved_share: f64,
    requirement: ChainRequirement<'_>,
) -> Option<f64> {
    let load = reserved_share + requirement.tokens / chain.token_capacity.max(1.0);
    let domain_factor = if &chain.domain == requirement.domain {
        1.0
    } else {
        REMOTE_DOMAIN_COST
    };
    let cost = chain.token_ms / (SATURATED_SHARE - load) * domain_factor;
    (load <= share_limit(requirement)).then_some(cost)
}

/// Costs of the chains with capacity for the request.
fn chain_costs<'a>(
    chains: &[&'a Arc<LayerChain>],
    model: &ModelShape,
    requirement: ChainRequirement<'_>,
) -> Vec<(f64, &'a Arc<LayerChain>)> {
    let cost = |chain: &&'a Arc<LayerChain>| {
        let cost = chain_cost(chain, chain.reserved_share(model), requirement);
        cost.map(|cost| (cost, *chain))
    };
    chains.iter().filter_map(cost).collect()
}

/// The chain of the lowest cost, give or take the jitter.
fn least_cost<'a>(
    costs: &[(f64, &'a Arc<LayerChain>)],
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<LayerChain>> {
    let mut best: Option<(f64, &Arc<LayerChain>)> = None;
    for (cost, chain) in costs {
        let cost = cost * (1.0 + rng.f64() * COST_JITTER);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, chain));
        }
    }
    best.map(|(_, chain)| chain)
}

/// A random chain, the more likely the lower its cost.
fn draw_by_cost<'a>(
    costs: &[(f64, &'a Arc<LayerChain>)],
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<LayerChain>> {
    let weight = |cost: f64| 1.0 / cost.max(f64::MIN_POSITIVE);
    let total: f64 = costs.iter().map(|(cost, _)| weight(*cost)).sum();
    let mut left = rng.f64() * total;
    for (cost, chain) in costs {
        left -= weight(*cost);
        if left <= 0.0 {
            return Some(chain);
        }
    }
    costs.last().map(|(_, chain)| *chain)
}
