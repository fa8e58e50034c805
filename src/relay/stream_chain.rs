//! Selects the chain of the next attempt of a stream.

use crate::admission::QueueOrder;
use crate::catalog::ModelShape;
use crate::ids::InstanceId;
use crate::relay::capacity::{
    QueueExit, QueuePlace, describe_exit, max_share, others_wait, wait_limit,
};
use crate::relay::choice::{ChainRequirement, pick_chain};
use crate::relay::closed_heads::ClosedHeads;
use crate::relay::distribution::{ServiceChains, uses_distribution};
use crate::relay::event_progress::DeliveryProgress;
use crate::relay::exchange::ActiveRequest;
use crate::relay::lending::{StalledAttempt, secure_retry, secure_retry_beside};
use crate::relay::limits::{PermitOutcome, acquire_permit, any_held_back, return_permit};
use crate::relay::notices::{held_back_detail, rest_left};
use crate::relay::retry::{RetryState, RetryStep};
use crate::relay::suspicion::separate_suspects;
use crate::targets::{LayerChain, ReservationGuard};
use async_io::Timer;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a request waits for a chain with capacity.
const CAPACITY_WAIT: Duration = Duration::from_millis(250);
/// The same for a stream that has begun. It is longer because the caller of such a stream loses
/// more than one that is asked to retry its request.
const RESUME_CAPACITY_WAIT: Duration = Duration::from_millis(1_400);
/// Interval at which chains are checked for capacity.
const CAPACITY_POLL: Duration = Duration::from_millis(25);

/// Finds the chain of the next attempt, or the step that ends the request without one.
pub(super) async fn find_next_chain(
    request: &ActiveRequest<'_>,
    model: &ModelShape,
    state: &mut RetryState,
    closed_heads: &ClosedHeads,
    delivered: &DeliveryProgress,
    queue_order: &mut Option<QueueOrder>,
    detail: &mut String,
) -> std::result::Result<Arc<LayerChain>, RetryStep> {
    let context = request.context;
    if request.is_poison() {
        return Err(state.final_step());
    }
    separate_suspects(request).await;
    state.set_ended(closed_heads.count_ended());
    if state.next_step(context.clock.now()) != RetryStep::TryNext {
        closed_heads.probe(context).await;
        state.set_ended(closed_heads.count_ended());
    }
    let allowed = state.next_step(context.clock.now());
    if allowed != RetryStep::TryNext {
        return Err(allowed);
    }
    let chain = if request.is_by_priority() && !delivered.head_sent {
        let found = find_chain_in_order(request, model, state, delivered, queue_order).await;
        if let Err(Some(exit)) = found {
            *detail = describe_exit(request, exit);
        }
        found.ok()
    } else {
        find_chain(request, model, state, delivered).await
    };
    if chain.is_none() && is_held_back(request) {
        *detail = String::from(held_back_detail(request));
    }
    if chain.is_some() {
        secure_retry(request, state).await;
    }
    let step = request.next_step(state, chain.is_some());
    match (chain, step) {
        (Some(chain), RetryStep::TryNext) => Ok(chain),
        (chain, step) => {
            if let Some(chain) = chain {
                return_permit(context, chain.head());
            }
            Err(step)
        }
    }
}

/// Why no other chain takes a stalled stream over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimFailure {
    /// The route allows no further attempt.
    AttemptsSpent,
    /// No other chain has capacity.
    NoChain,
    /// Neither this daemon's retry budget nor those of others have a retry left for it.
    NoRetry,
    /// The chain's first target is at its rate limit.
    HeldBack,
}

impl fmt::Display for ClaimFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AttemptsSpent => "attempts_spent",
            Self::NoChain => "no_chain",
            Self::NoRetry => "no_retry",
            Self::HeldBack => "held_back",
        })
    }
}

/// Claims a chain that can take a stalled stream over at once: with capacity, a permit of its head and a
/// retry of the budget. `state` counts the stalled attempt as running.
pub(super) async fn claim_chain(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    delivered: &DeliveryProgress,
    running: StalledAttempt,
) -> std::result::Result<Arc<LayerChain>, ClaimFailure> {
    let context = request.context;
    if state.next_step(context.clock.now()) != RetryStep::TryNext {
        return Err(ClaimFailure::AttemptsSpent);
    }
    if !delivered.head_sent && others_wait(request) {
        // Capacity goes to requests that have no attempt yet.
        return Err(ClaimFailure::NoChain);
    }
    // A retry is borrowed only when there is a use for it.
    let model = request.service.model.as_ref();
    let chain = model.and_then(|model| choose_chain(request, model, state, delivered));
    let chain = chain.ok_or(ClaimFailure::NoChain)?;
    if !secure_retry_beside(context, &request.service.name, running).await {
        return Err(ClaimFailure::NoRetry);
    }
    if acquire_permit(context, chain.head()).await == PermitOutcome::HeldBack {
        return Err(ClaimFailure::HeldBack);
    }
    if request.next_step(state, true) == RetryStep::TryNext {
        return Ok(chain);
    }
    return_permit(context, chain.head());
    Err(ClaimFailure::NoRetry)
}

/// Claims the chain of a target that was left because it was silent, for a stream whose route allows no
/// further target. `None` when the target cannot resume the stream, or no retry is left for that.
pub(super) async fn claim_left_chain(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    head: &InstanceId,
) -> Option<Arc<LayerChain>> {
    let context = request.context;
    if state.next_step_at_used(context.clock.now()) != RetryStep::TryNext {
        return None;
    }
    let chain = find_left_chain(request, head)?;
    secure_retry(request, state).await;
    if acquire_permit(context, chain.head()).await == PermitOutcome::HeldBack {
        return None;
    }
    if request.spend_retry(state) {
        return Some(chain);
    }
    return_permit(context, chain.head());
    None
}

/// The chain of a first target that takes requests. The target itself may be ejected, as it was left for
/// its silence; the others may not.
fn find_left_chain(request: &ActiveRequest<'_>, head: &InstanceId) -> Option<Arc<LayerChain>> {
    let context = request.context;
    let now = context.clock.now();
    let view = context.targets.load();
    let is_usable = |chain: &&Arc<LayerChain>| {
        let mut others = chain.parts.iter().skip(1);
        chain.head().id == *head
            && !chain.head().stats.limit().is_held_back(now)
            && !chain.rests(now)
            && !chain.leaves()
            && others.all(|part| !part.target.stats.is_ejected(now))
    };
    let mut chains = view.chains(&request.service.name).iter();
    chains.find(is_usable).cloned()
}

/// True when the first target of a chain gets no request because of its rate limit.
fn is_held_back(request: &ActiveRequest<'_>) -> bool {
    let context = request.context;
    let now = context.clock.now();
    let view = context.targets.load();
    let chains = view.chains(&request.service.name);
    any_held_back(chains.iter().map(|chain| chain.head()), now)
}

/// Selects a chain that has capacity for the request now.
fn choose_chain(
    request: &ActiveRequest<'_>,
    model: &ModelShape,
    state: &RetryState,
    delivered: &DeliveryProgress,
) -> Option<Arc<LayerChain>> {
    let context = request.context;
    // Event ids are used as a count of the tokens generated so far. They are added to the expected
    // tokens, which already include the whole expected response; [`reserve`] counts only the
    // expected tokens.
    let tokens =
        f64::from(request.metadata.expected_tokens()) + delivered.last_id.unwrap_or(0) as f64;
    let view = context.targets.load();
    let requirement = ChainRequirement {
        domain: &context.settings.failure_domain,
        tokens,
        is_resumed: delivered.head_sent,
        max_share: max_share(request, model, &view),
    };
    let chains = view.chains(&request.service.name);
    let now = context.clock.now();
    let mut rng = fastrand::Rng::new();
    let tried = state.tried();
    if delivered.head_sent || !uses_distribution(request) {
        return pick_chain(chains, model, requirement, tried, now, &mut rng).cloned();
    }
    let service = ServiceChains {
        name: &request.service.name,
        chains,
        model,
    };
    let chosen = context
        .flows
        .pick_chain(service, requirement, tried, now, &mut rng);
    if chosen.is_some() {
        let distributed = &context.metrics.load.distributed;
        distributed.with_label_values(&["stream"]).inc();
    }
    chosen
}

/// Selects a chain, waiting for one with capacity up to [`CAPACITY_WAIT`] or, when the stream has
/// begun, [`RESUME_CAPACITY_WAIT`].
async fn find_chain(
    request: &ActiveRequest<'_>,
    model: &ModelShape,
    state: &RetryState,
    delivered: &DeliveryProgress,
) -> Option<Arc<LayerChain>> {
    let context = request.context;
    let started = context.clock.now();
    loop {
        if let Some(chain) = choose_chain(request, model, state, delivered) {
            if acquire_permit(context, chain.head()).await == PermitOutcome::Granted {
                return Some(chain);
            }
            continue;
        }
        if rest_left(request).is_some() {
            return None;
        }
        let now = context.clock.now();
        let waited = now.since(started);
        let limit = if delivered.head_sent {
            RESUME_CAPACITY_WAIT
        } else {
            CAPACITY_WAIT
        };
        if waited >= limit || state.time_left(now) <= CAPACITY_POLL {
            return None;
        }
        Timer::after(CAPACITY_POLL).await;
    }
}

/// Selects a chain for a stream that has not begun, once no other request takes capacity first. Waits up to
/// the latency goal of the route. `queue_order` is the place in the queue that the request had before its
/// last attempt. The error is `None` when waiting is of no use.
async fn find_chain_in_order(
    request: &ActiveRequest<'_>,
    model: &ModelShape,
    state: &RetryState,
    delivered: &DeliveryProgress,
    queue_order: &mut Option<QueueOrder>,
) -> std::result::Result<Arc<LayerChain>, Option<QueueExit>> {
    let context = request.context;
    let place = QueuePlace::enter(request, *queue_order).map_err(Some)?;
    *queue_order = Some(place.order());
    let expires = request.arrived.after(wait_limit(request));
    loop {
        if place.may_take()
            && let Some(chain) = choose_chain(request, model, state, delivered)
        {
            if acquire_permit(context, chain.head()).await == PermitOutcome::Granted {
                place.start();
                return Ok(chain);
            }
            continue;
        }
        if rest_left(request).is_some() {
            return Err(None);
        }
        let now = context.clock.now();
        if now >= expires || state.time_left(now) <= CAPACITY_POLL {
            return Err(Some(place.give_up()));
        }
        place.wait().await;
    }
}

/// Counts the request and reserves its tokens at every target of the chain.
pub(super) fn reserve(chain: &LayerChain, tokens: u32) -> Vec<ReservationGuard> {
    chain
        .parts
        .iter()
        .map(|part| part.target.stats.reserve(tokens))
        .collect()
}
