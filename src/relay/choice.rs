//! Chooses the target or chain of an attempt.
//!
//! Several daemons choose at once from their own figures and those that the others sent some hundred
//! milliseconds ago. Own requests count at once, and the figures are drawn a little apart, so that
//! daemons do not all rush to the same target.

use crate::catalog::ModelShape;
use crate::ids::{DomainId, InstanceId};
use crate::targets::{LayerChain, TargetEntry};
use crate::units::MonoTime;
use std::sync::Arc;

/// Load added to a target of another failure domain, as a share of its slots: bytes between domains
/// are dear, and its own domain's daemons use it first.
const REMOTE_DOMAIN_LOAD: f64 = 0.25;
/// Share of a chain's room that may be reserved; the rest absorbs wrong estimates, since a chain out of
/// memory preempts requests in mid-answer.
const MAX_RESERVED_SHARE: f64 = 0.93;
/// The same for streams that go on.
const MAX_RESUMED_SHARE: f64 = 1.03;
/// Factor on the cost of a chain in another failure domain.
const REMOTE_DOMAIN_COST: f64 = 3.0;
/// Share of its room at which the cost of a chain becomes infinite.
const SATURATED_SHARE: f64 = 1.06;
/// Random part of a chain's cost, so that daemons with equal figures choose differently.
const COST_JITTER: f64 = 0.1;

/// What a request needs of a chain.
#[derive(Debug, Clone, Copy)]
pub struct ChainRequirement<'a> {
    /// The daemon's failure domain.
    pub domain: &'a DomainId,
    /// Tokens of context.
    pub tokens: f64,
    /// True for a stream that goes on: its room was counted before, at the chain that failed.
    pub is_resumed: bool,
}

/// A ready target that was not tried, by load and domain. Paused targets are used when there is no
/// other.
pub fn pick_target<'a>(
    targets: &'a [Arc<TargetEntry>],
    tried: &[InstanceId],
    domain: &DomainId,
    now: MonoTime,
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<TargetEntry>> {
    let fits = |target: &&Arc<TargetEntry>| {
        target.is_ready() && !target.stats.is_replaced() && !tried.contains(&target.id)
    };
    let mut candidates: Vec<&Arc<TargetEntry>> = targets.iter().filter(fits).collect();
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

/// The chain on which the request costs least, among those with room for it. A chain costs more the
/// slower it is and the fuller it becomes, so that slow chains take what fast ones have no room for.
/// One that answers wrongly is used when no other has room.
pub fn pick_chain<'a>(
    chains: &'a [Arc<LayerChain>],
    model: &ModelShape,
    need: ChainRequirement<'_>,
    tried: &[InstanceId],
    now: MonoTime,
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<LayerChain>> {
    let usable =
        |chain: &&Arc<LayerChain>| !chain.is_ejected(now) && !tried.contains(&chain.head().id);
    let (degraded, healthy): (Vec<_>, Vec<_>) = chains
        .iter()
        .filter(usable)
        .partition(|chain| chain.is_degraded(now));
    least_cost(&healthy, model, need, rng).or_else(|| least_cost(&degraded, model, need, rng))
}

fn least_cost<'a>(
    chains: &[&'a Arc<LayerChain>],
    model: &ModelShape,
    need: ChainRequirement<'_>,
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<LayerChain>> {
    let mut best: Option<(f64, &Arc<LayerChain>)> = None;
    for chain in chains {
        let load = chain.reserved_share(model) + need.tokens / chain.token_capacity.max(1.0);
        let limit = if need.is_resumed {
            MAX_RESUMED_SHARE
        } else {
            MAX_RESERVED_SHARE
        };
        if load > limit {
            continue;
        }
        let distance = if &chain.domain == need.domain {
            1.0
        } else {
            REMOTE_DOMAIN_COST
        };
        let jitter = 1.0 + rng.f64() * COST_JITTER;
        let cost = chain.token_ms / (SATURATED_SHARE - load) * distance * jitter;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, chain));
        }
    }
    best.map(|(_, chain)| chain)
}
