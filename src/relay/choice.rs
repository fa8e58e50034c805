//! Chooses the target or chain of an attempt.
//!
//! Several daemons choose at once from what each knows by itself. A daemon's own requests are taken as
//! a sample of all: the callers of a failure domain are spread evenly over its daemons. Among the good
//! choices one is drawn, so that daemons do not act in step.

use crate::catalog::ModelShape;
use crate::ids::{DomainId, InstanceId};
use crate::targets::{LayerChain, TargetEntry};
use crate::units::MonoTime;
use std::sync::Arc;

/// Load added to a target of another failure domain, as a share of its slots: bytes between domains
/// are dear, and its own domain's daemons use it first.
const FOREIGN_LOAD: f64 = 0.25;
/// Share of a chain's room that may be reserved; the rest absorbs wrong estimates, since a chain out of
/// memory preempts requests in mid-answer.
const ROOM_SHARE: f64 = 0.85;
/// Load from which a chain of another failure domain is preferred to a chain of the own one.
const FOREIGN_CHAIN_LOAD: f64 = 0.35;

/// What a request needs of a chain.
#[derive(Debug, Clone, Copy)]
pub struct ChainNeed<'a> {
    /// The daemon's failure domain.
    pub domain: &'a DomainId,
    /// Daemons among which the callers of a domain are spread.
    pub sharers: f64,
    /// Tokens of context.
    pub tokens: f64,
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
        target.is_ready() && !target.gauge.is_replaced() && !tried.contains(&target.id)
    };
    let mut candidates: Vec<&Arc<TargetEntry>> = targets.iter().filter(fits).collect();
    if candidates.iter().any(|target| !target.gauge.is_paused(now)) {
        candidates.retain(|target| !target.gauge.is_paused(now));
    }
    let load = |target: &TargetEntry, rng: &mut fastrand::Rng| {
        let own = f64::from(target.gauge.in_progress()) / f64::from(target.slots.max(1));
        let foreign = if &target.domain == domain {
            0.0
        } else {
            FOREIGN_LOAD
        };
        own + foreign + rng.f64() * 0.02
    };
    let mut loads: Vec<(f64, &Arc<TargetEntry>)> = candidates
        .into_iter()
        .map(|target| (load(target, rng), target))
        .collect();
    loads.sort_by(|a, b| a.0.total_cmp(&b.0));
    loads.first().map(|(_, target)| *target)
}

/// The chain on which the request is expected to end first, among those with room for it.
pub fn pick_chain<'a>(
    chains: &'a [Arc<LayerChain>],
    model: &ModelShape,
    need: ChainNeed<'_>,
    tried: &[InstanceId],
    now: MonoTime,
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<LayerChain>> {
    let usable = chains.iter().filter(|chain| !chain.is_paused(now));
    let fresh = usable.filter(|chain| !tried.contains(&chain.head().id));
    let mut best: Option<(f64, &Arc<LayerChain>)> = None;
    for chain in fresh {
        let foreign = &chain.domain != need.domain;
        let added = need.tokens / chain.token_room.max(1.0);
        let load = chain.reserved_share(model) * need.sharers + added;
        if load > ROOM_SHARE {
            continue;
        }
        let distance = if foreign { FOREIGN_CHAIN_LOAD } else { 0.0 };
        let cost = chain.token_ms * (1.0 + load + distance) * (1.0 + rng.f64() * 0.05);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, chain));
        }
    }
    best.map(|(_, chain)| chain)
}
