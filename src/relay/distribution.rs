//! Distributes the requests of one daemon over chains or targets in proportion to shares.
//!
//! What a daemon knows of the others' reservations is some hundred milliseconds old, and all daemons
//! choose at the same time. If each takes the least loaded server, they overload servers in turn. Here,
//! each daemon gives every server a share of its flow, corrected toward equal reserved shares over a time
//! that is longer than the age of the reports. Smooth weighted round robin keeps the requests of each
//! daemon within about one request of its shares.

use crate::catalog::ModelShape;
use crate::hash::stable_hash;
use crate::ids::{DomainId, InstanceId, ServiceId};
use crate::relay::choice::{
    ChainRequirement, REMOTE_DOMAIN_COST, REMOTE_DOMAIN_LOAD, chain_cost, is_usable_chain,
    preferred_targets,
};
use crate::relay::exchange::ActiveRequest;
use crate::targets::{LayerChain, TargetEntry};
use crate::units::MonoTime;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time over which a deviation from the mean reserved share is corrected. It exceeds the age of reports,
/// so that all daemons together do not overshoot. With 1 s, 42 daemons that choose 1.4 times a second each
/// overshot: a changed share takes some requests of a daemon to take effect.
const CORRECTION_TIME: Duration = Duration::from_secs(3);
/// Mean reserved share below which deviations are not corrected in full, as they are single requests.
const MIN_MEAN_SHARE: f64 = 0.05;
/// Largest factor by which a share is corrected. It lets a server that has just joined fill up without
/// getting the whole flow.
const MAX_CORRECTION: f64 = 4.0;
/// Gain of the correction for plain services. Their requests are shorter than the age of reports, which
/// therefore say little about the present load.
const PLAIN_CORRECTION_GAIN: f64 = 0.25;
/// Maximum number of services with state; the state of a further one replaces all others.
const MAX_SERVICES: usize = 256;

/// One chain or target that a request can go to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FlowCandidate {
    /// Identity, the same in all snapshots of the targets.
    pub key: u64,
    /// Flow that it can carry, in any unit.
    pub weight: f64,
    /// Share of its capacity that is reserved.
    pub reserved_share: f64,
    /// Duration of a request in relation to the time of correction.
    pub gain: f64,
    /// Divisor of its share.
    pub remoteness: f64,
}

/// Corrected shares of the flow, which add up to 1 unless all weights are 0.
pub fn flow_shares(candidates: &[FlowCandidate]) -> Vec<f64> {
    let weights: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let weighted = |candidate: &FlowCandidate| candidate.weight * candidate.reserved_share;
    // A candidate's flow times the duration of its requests is what it holds when it carries its
    // part, so capacities are the weights of the mean.
    let capacity = |candidate: &FlowCandidate| candidate.weight * candidate.gain;
    let capacities: f64 = candidates.iter().map(capacity).sum();
    let mean = if capacities > 0.0 {
        let held = candidates
            .iter()
            .map(|candidate| weighted(candidate) * candidate.gain);
        held.sum::<f64>() / capacities
    } else {
        candidates.iter().map(weighted).sum::<f64>() / weights.max(f64::MIN_POSITIVE)
    };
    let corrected = |candidate: &FlowCandidate| {
        let deviation = (mean - candidate.reserved_share) / mean.max(MIN_MEAN_SHARE);
        let correction = (1.0 + candidate.gain * deviation).clamp(0.0, MAX_CORRECTION);
        candidate.weight * correction / candidate.remoteness
    };
    let mut shares: Vec<f64> = candidates.iter().map(corrected).collect();
    let total: f64 = shares.iter().sum();
    if total > 0.0 {
        for share in &mut shares {
            *share /= total;
        }
    }
    shares
}

/// Smooth weighted round robin over the candidates of one service: credits by key, in tokens.
#[derive(Debug, Default)]
pub struct RoundRobin {
    credits: HashMap<u64, f64>,
}

impl RoundRobin {
    /// Picks the candidate with the most credit after each got its share of `tokens`. A candidate that
    /// is new starts with a random credit below one request.
    pub fn pick(
        &mut self,
        candidates: &[FlowCandidate],
        tokens: f64,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let shares = flow_shares(candidates);
        let mut best: Option<(usize, f64)> = None;
        for (index, (candidate, share)) in candidates.iter().zip(&shares).enumerate() {
            let credit = self
                .credits
                .entry(candidate.key)
                .or_insert_with(|| rng.f64() * tokens);
            *credit += share * tokens;
            if *share > 0.0 && best.is_none_or(|(_, most)| *credit > most) {
                best = Some((index, *credit));
            }
        }
        let (index, _) = best?;
        *self.credits.entry(candidates[index].key).or_default() -= tokens;
        Some(index)
    }

    /// Drops the credits of candidates that are not in `keys`.
    fn retain(&mut self, keys: &[u64]) {
        self.credits.retain(|key, _| keys.contains(key));
    }
}

/// What does not change while a chain is listed.
#[derive(Debug)]
struct PreparedChain {
    chain: Arc<LayerChain>,
    key: u64,
    /// Tokens that it can carry when the capacity of its targets is divided among the chains through
    /// them.
    carried_tokens: f64,
}

/// State of one service.
#[derive(Debug, Default)]
struct ServiceFlow {
    prepared: Vec<PreparedChain>,
    round_robin: RoundRobin,
}

impl ServiceFlow {
    /// Prepares the chains of a new snapshot, in which all are allocated anew.
    fn update(&mut self, chains: &[Arc<LayerChain>], model: &ModelShape) {
        let is_known = self.prepared.len() == chains.len()
            && self
                .prepared
                .first()
                .zip(chains.first())
                .is_none_or(|(known, chain)| Arc::ptr_eq(&known.chain, chain));
        if is_known {
            return;
        }
        let mut uses: HashMap<&InstanceId, u32> = HashMap::new();
        for part in chains.iter().flat_map(|chain| &chain.parts) {
            *uses.entry(&part.target.id).or_default() += 1;
        }
        let prepare = |chain: &Arc<LayerChain>| {
            let parts = chain.parts.iter();
            let carried =
                parts.map(|part| part.token_capacity(model) / f64::from(uses[&part.target.id]));
            let ids: Vec<&[u8]> = chain
                .parts
                .iter()
                .map(|part| part.target.id.as_str().as_bytes())
                .collect();
            PreparedChain {
                chain: Arc::clone(chain),
                key: stable_hash(&ids),
                carried_tokens: carried.fold(f64::INFINITY, f64::min),
            }
        };
        self.prepared = chains.iter().map(prepare).collect();
        let keys: Vec<u64> = self.prepared.iter().map(|chain| chain.key).collect();
        self.round_robin.retain(&keys);
    }
}

/// A model service and its chains.
#[derive(Debug, Clone, Copy)]
pub struct ServiceChains<'a> {
    /// Name of the service.
    pub name: &'a ServiceId,
    /// Its chains in the latest snapshot.
    pub chains: &'a [Arc<LayerChain>],
    /// Its model.
    pub model: &'a ModelShape,
}

/// Distribution of the requests of all services of a daemon.
#[derive(Debug, Default)]
pub struct FlowTable {
    services: Mutex<HashMap<ServiceId, ServiceFlow>>,
    /// Interval at which a daemon of the own failure domain is heard, in milliseconds.
    report_interval_ms: AtomicU64,
}

impl FlowTable {
    fn with_service<T>(&self, service: &ServiceId, run: impl FnOnce(&mut ServiceFlow) -> T) -> T {
        let mut services = self.services.lock().expect("flows are never poisoned");
        if !services.contains_key(service) {
            if services.len() >= MAX_SERVICES {
                services.clear();
            }
            services.insert(service.clone(), ServiceFlow::default());
        }
        run(services.entry(service.clone()).or_default())
    }

    /// Sets the interval at which a daemon of the own failure domain is heard.
    pub fn set_report_interval(&self, interval: Duration) {
        self.report_interval_ms
            .store(interval.as_millis() as u64, Ordering::Relaxed);
    }

    /// Interval at which a daemon of the own failure domain is heard; 0 before the first digest.
    pub fn report_interval_ms(&self) -> u64 {
        self.report_interval_ms.load(Ordering::Relaxed)
    }

    /// Selects the chain of a new request. Degraded chains are selected only when no other has capacity.
    pub fn pick_chain(
        &self,
        service: ServiceChains<'_>,
        requirement: ChainRequirement<'_>,
        tried: &[InstanceId],
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<Arc<LayerChain>> {
        let model = service.model;
        self.with_service(service.name, |flow| {
            flow.update(service.chains, model);
            let usable = flow
                .prepared
                .iter()
                .filter(|prepared| is_usable_chain(&prepared.chain, tried, now));
            let (degraded, healthy): (Vec<_>, Vec<_>) =
                usable.partition(|prepared| prepared.chain.is_degraded(now));
            let mut choose = |prepared: &[&PreparedChain]| {
                let candidates = chain_candidates(prepared, model, requirement);
                let flows: Vec<FlowCandidate> =
                    candidates.iter().map(|(candidate, _)| *candidate).collect();
                let index = flow.round_robin.pick(&flows, requirement.tokens, rng)?;
                Some(Arc::clone(candidates[index].1))
            };
            choose(&healthy).or_else(|| choose(&degraded))
        })
    }

    /// Selects the target of a request to a plain service, by slots.
    pub fn pick_target<'a>(
        &self,
        service: &ServiceId,
        targets: &'a [Arc<TargetEntry>],
        tried: &[InstanceId],
        domain: &DomainId,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<&'a Arc<TargetEntry>> {
        let occupancy = |target: &TargetEntry| {
            f64::from(target.stats.total_requests()) / f64::from(target.slots.max(1))
        };
        let mut candidates = preferred_targets(targets, tried, now);
        if candidates.iter().any(|target| occupancy(target) < 1.0) {
            candidates.retain(|target| occupancy(target) < 1.0);
        }
        let least = |is_local: bool| {
            let domain = candidates
                .iter()
                .filter(|target| (&target.domain == domain) == is_local);
            domain
                .map(|target| occupancy(target))
                .fold(f64::INFINITY, f64::min)
        };
        // A remote target's cost is its occupancy plus a fixed load, as in `pick_target`.
        if least(true) <= least(false) + REMOTE_DOMAIN_LOAD {
            candidates.retain(|target| &target.domain == domain);
        }
        let flow = |target: &&Arc<TargetEntry>| FlowCandidate {
            key: stable_hash(&[target.id.as_str().as_bytes()]),
            weight: f64::from(target.slots.max(1)),
            reserved_share: occupancy(target),
            gain: PLAIN_CORRECTION_GAIN,
            remoteness: if &target.domain == domain {
                1.0
            } else {
                REMOTE_DOMAIN_COST
            },
        };
        let flows: Vec<FlowCandidate> = candidates.iter().map(flow).collect();
        let index = self.with_service(service, |state| {
            if state.round_robin.credits.len() > 2 * targets.len() {
                let keys: Vec<u64> = flows.iter().map(|flow| flow.key).collect();
                state.round_robin.retain(&keys);
            }
            state.round_robin.pick(&flows, 1.0, rng)
        })?;
        Some(candidates[index])
    }
}

/// True when new requests to the service are distributed by shares instead of going to the cheapest
/// chain or target.
pub(super) fn uses_distribution(request: &ActiveRequest<'_>) -> bool {
    let context = request.context;
    let stale_report_ms = context.settings.balancing.stale_report_ms;
    stale_report_ms.is_some_and(|limit| context.flows.report_interval_ms() >= limit)
}

/// The chains with capacity for the request. Those of other failure domains are included only when the
/// cheapest local one costs more than [`REMOTE_DOMAIN_COST`] times the cheapest of them, or when there
/// is no local one.
fn chain_candidates<'a>(
    prepared: &[&'a PreparedChain],
    model: &ModelShape,
    requirement: ChainRequirement<'_>,
) -> Vec<(FlowCandidate, &'a Arc<LayerChain>)> {
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    let (mut local_cost, mut remote_cost) = (f64::INFINITY, f64::INFINITY);
    let is_local = |prepared: &&PreparedChain| &prepared.chain.domain == requirement.domain;
    let candidate = |prepared: &PreparedChain, reserved_share: f64, remoteness: f64| {
        let hold_ms = model.mean_answer_tokens * prepared.chain.token_ms;
        FlowCandidate {
            key: prepared.key,
            weight: prepared.carried_tokens / prepared.chain.token_ms.max(f64::MIN_POSITIVE),
            reserved_share,
            gain: hold_ms / CORRECTION_TIME.as_millis() as f64,
            remoteness,
        }
    };
    for prepared in prepared
        .iter()
        .copied()
        .filter(|prepared| is_local(prepared))
    {
        let reserved_share = prepared.chain.reserved_share(model);
        if let Some(cost) = chain_cost(&prepared.chain, reserved_share, requirement) {
            local_cost = local_cost.min(cost);
            local.push((candidate(prepared, reserved_share, 1.0), &prepared.chain));
        }
    }
    for prepared in prepared
        .iter()
        .copied()
        .filter(|prepared| !is_local(prepared))
    {
        // The cost includes REMOTE_DOMAIN_COST. Most remote chains are too slow even when idle, so that
        // their reserved share is not needed.
        let least = chain_cost(&prepared.chain, 0.0, requirement);
        if least.is_none_or(|cost| cost >= local_cost) {
            continue;
        }
        let reserved_share = prepared.chain.reserved_share(model);
        if let Some(cost) = chain_cost(&prepared.chain, reserved_share, requirement) {
            remote_cost = remote_cost.min(cost);
            remote.push((
                candidate(prepared, reserved_share, REMOTE_DOMAIN_COST),
                &prepared.chain,
            ));
        }
    }
    if local_cost > remote_cost {
        local.append(&mut remote);
    }
    local
}
