//! Requests to models: an event stream that resumes at another chain when its own fails.

use crate::catalog::ModelShape;
use crate::relay::attempt::{FailedAttempt, FailureKind, open_response, probe_target};
use crate::relay::choice::{ChainRequirement, pick_chain};
use crate::relay::context::RelayContext;
use crate::relay::event_progress::DeliveryProgress;
use crate::relay::exchange::{ActiveRequest, ExchangeEnd};
use crate::relay::forwarding::{StreamEnd, StreamForwarder};
use crate::relay::limits::{AT_LIMIT, PermitOutcome, acquire_permit, any_held_back, return_permit};
use crate::relay::local_reply::RefusalCause;
use crate::relay::retry::{RelayFailure, RetryState, RetryStep};
use crate::relay::stall::StallDetector;
use crate::relay::suspicion::{AttemptSuspicion, check_for_crash, separate_suspects};
use crate::targets::{LayerChain, ReservationGuard, TargetEntry};
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use async_io::Timer;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Shortest timeout for the first event of a stream while other chains may be tried.
const MIN_FIRST_EVENT_TIME: Duration = Duration::from_millis(250);
/// Longest timeout for the first event of a stream while other chains may be tried.
const MAX_FIRST_EVENT_TIME: Duration = Duration::from_secs(1);
/// Longest time that a request waits for a chain with capacity.
const CAPACITY_WAIT: Duration = Duration::from_millis(250);
/// The same for a stream that has begun. It is longer because the caller of such a stream loses
/// more than one that is asked to retry its request.
const RESUME_CAPACITY_WAIT: Duration = Duration::from_millis(1_400);
/// Interval at which chains are checked for capacity.
const CAPACITY_POLL: Duration = Duration::from_millis(25);

/// Relays a request to a model and resumes the stream at other chains as long as that is allowed.
pub(super) async fn relay_stream(request: &ActiveRequest<'_>) -> ExchangeEnd {
    let context = request.context;
    let route = &request.route;
    let Some(model) = &request.service.model else {
        return request
            .reply_locally(
                RefusalCause::NoTarget,
                "the route is for streams, but the service has no model",
            )
            .await;
    };
    if !context.accepts_streams() {
        return request
            .reply_locally(RefusalCause::Draining, "no new streams while draining")
            .await;
    }
    let mut state = RetryState::new(route.retry_rule, route.max_targets, request.deadline);
    let mut delivered = DeliveryProgress {
        head_sent: false,
        last_id: request.metadata.resume_after,
    };
    let mut detail = String::from("no chain has room");
    let mut closed_heads = Vec::new();
    loop {
        if request.is_poison() {
            return end_stream(request, &state, &delivered, state.final_step(), &detail).await;
        }
        separate_suspects(request).await;
        state.set_ended(count_ended(&closed_heads));
        if state.next_step(context.clock.now()) != RetryStep::TryNext {
            probe_heads(request, &closed_heads).await;
            state.set_ended(count_ended(&closed_heads));
        }
        let allowed = state.next_step(context.clock.now());
        if allowed != RetryStep::TryNext {
            return end_stream(request, &state, &delivered, allowed, &detail).await;
        }
        let chain = find_chain(request, model, &state, &delivered).await;
        if chain.is_none() && is_held_back(request) {
            detail = String::from(AT_LIMIT);
        }
        let step = request.next_step(&state, chain.is_some());
        let (Some(chain), RetryStep::TryNext) = (chain.as_ref(), step) else {
            if let Some(chain) = &chain {
                return_permit(context, chain.head());
            }
            return end_stream(request, &state, &delivered, step, &detail).await;
        };
        let _reserved = reserve(chain, request.metadata.expected_tokens());
        let started = context.clock.now();
        match attempt_stream(request, &state, chain, &mut delivered).await {
            StreamEnd::Complete(status) => {
                chain
                    .parts
                    .iter()
                    .for_each(|part| part.target.stats.record_success());
                request.log_success(status, state.tried().len());
                return ExchangeEnd::Relayed(status);
            }
            StreamEnd::CallerGone => return ExchangeEnd::Truncated,
            StreamEnd::Failed(failed) => {
                detail = format!("{} at {}", failed.cause, chain.head().id);
                let target = record_failure(request, chain, &failed, &delivered);
                check_for_crash(request, &target, &failed).await;
                if failed.kind == FailureKind::Disconnected {
                    let target = Arc::clone(chain.head());
                    closed_heads.push(ClosedHead { target, started });
                }
                state.on_failure(&chain.head().id, failed.failure, context.clock.now());
            }
        }
    }
}

/// A target that closed the connection of an attempt.
struct ClosedHead {
    target: Arc<TargetEntry>,
    /// Start of the attempt.
    started: MonoTime,
}

impl ClosedHead {
    /// True when the target is known to have ended. One that has merely left the list may go on
    /// serving.
    fn has_ended(&self) -> bool {
        self.target.stats.was_refused_since(self.started)
    }
}

fn count_ended(closed_heads: &[ClosedHead]) -> usize {
    closed_heads.iter().filter(|head| head.has_ended()).count()
}

/// Finds out which targets have ended since they closed their connection: a target that is about to
/// exit may close connections before it stops listening.
async fn probe_heads(request: &ActiveRequest<'_>, closed_heads: &[ClosedHead]) {
    for head in closed_heads.iter().filter(|head| !head.has_ended()) {
        probe_target(request.context, &head.target).await;
    }
}

/// True when the first target of a chain gets no request because of its rate limit.
fn is_held_back(request: &ActiveRequest<'_>) -> bool {
    let context = request.context;
    let now = context.clock.now();
    let view = context.targets.load();
    let chains = view.chains(&request.service.name);
    any_held_back(chains.iter().map(|chain| chain.head()), now)
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
    let mut rng = fastrand::Rng::new();
    let local_domain = &context.settings.failure_domain;
    let started = context.clock.now();
    // Event ids are used as a count of the tokens generated so far. They are added to the expected
    // tokens, which already include the whole expected response; [`reserve`] counts only the
    // expected tokens.
    let tokens =
        f64::from(request.metadata.expected_tokens()) + delivered.last_id.unwrap_or(0) as f64;
    loop {
        let now = context.clock.now();
        let requirement = ChainRequirement {
            domain: local_domain,
            tokens,
            is_resumed: delivered.head_sent,
        };
        let view = context.targets.load();
        let chains = view.chains(&request.service.name);
        if let Some(chain) = pick_chain(chains, model, requirement, state.tried(), now, &mut rng) {
            if acquire_permit(context, chain.head()).await == PermitOutcome::Granted {
                return Some(Arc::clone(chain));
            }
            continue;
        }
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

/// Counts the request and reserves its tokens at every target of the chain.
fn reserve(chain: &LayerChain, tokens: u32) -> Vec<ReservationGuard> {
    chain
        .parts
        .iter()
        .map(|part| part.target.stats.reserve(tokens))
        .collect()
}

/// Logs a failed attempt and updates the statistics of the target that caused it: the one that the
/// response names, or else the first target of the chain. Returns this target.
fn record_failure(
    request: &ActiveRequest<'_>,
    chain: &LayerChain,
    failed: &FailedAttempt,
    delivered: &DeliveryProgress,
) -> Arc<TargetEntry> {
    let context = request.context;
    let now = context.clock.now();
    let faulty_address = failed.metadata.faulty_address;
    let faulty_part = chain
        .parts
        .iter()
        .find(|part| Some(part.target.address) == faulty_address);
    let target = faulty_part.map_or(chain.head(), |part| &part.target);
    match failed.failure {
        RelayFailure::NotExecuted
            if failed.kind == FailureKind::Misdirected && faulty_part.is_none() =>
        {
            target.stats.mark_replaced();
        }
        RelayFailure::NotSent => target.stats.record_failure(now),
        _ if failed.kind == FailureKind::TimedOut || faulty_part.is_some() => {
            target.stats.record_failure(now);
        }
        _ => target.stats.record_bad_reply(now),
    }
    if failed.kind == FailureKind::TimedOut {
        query_stalled_parts(context, chain);
    }
    context.pool.remove(&chain.head().id);
    let line = request
        .log_line("attempt_failed")
        .with_display("target", &chain.head().id)
        .with_display("blamed", &target.id)
        .with("last_event", delivered.last_id);
    request.record_failed_attempt(failed, line);
    Arc::clone(target)
}

/// Asks the first target of a stalled chain for its report, which names the targets that it waits
/// for, so that those of the chain are ejected instead of the first one. Requests do not wait for
/// the report.
fn query_stalled_parts(context: &Arc<RelayContext>, chain: &LayerChain) {
    let first_target = chain.head();
    if chain.parts.len() < 2 || !first_target.stats.try_begin_report(context.clock.now()) {
        return;
    }
    let context = Arc::clone(context);
    let chain = chain.clone();
    task::spawn(async move {
        let first_target = chain.head();
        if acquire_permit(&context, first_target).await == PermitOutcome::HeldBack {
            return;
        }
        let report = match (context.target_port.report)(first_target.address).await {
            Ok(report) => report,
            Err(cause) => {
                let line = EventLine::new("report_failed").with_display("target", &first_target.id);
                context.events.emit(line.with_display("cause", cause));
                return;
            }
        };
        let now = context.clock.now();
        let stalled = chain.parts.iter().filter(|part| {
            part.target.id != first_target.id && report.stalled_on.contains(&part.target.address)
        });
        for part in stalled {
            part.target.stats.record_failure(now);
            part.target.stats.record_connect(false);
            first_target.stats.clear_ejection();
            probe_target(&context, &part.target).await;
            let line = EventLine::new("part_stalled").with_display("target", &part.target.id);
            context
                .events
                .emit(line.with_display("head", &first_target.id));
        }
    });
}

/// Makes one attempt at a chain and forwards its events.
async fn attempt_stream(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    chain: &LayerChain,
    delivered: &mut DeliveryProgress,
) -> StreamEnd {
    let context = request.context;
    let now = context.clock.now();
    let time_left = state.time_left(now);
    let first_target = chain.head();
    let dispatch = request.dispatch(time_left, first_target, Some(chain), delivered.last_id);
    let may_reexecute = request.route.retry_rule.allows_reexecution();
    let limit = if may_reexecute {
        let expected = first_target
            .stats
            .first_event_timeout(MIN_FIRST_EVENT_TIME, MAX_FIRST_EVENT_TIME);
        // The timeout grows with each attempt: when all chains are slow, trying others gains
        // nothing.
        time_left.min(expected.saturating_mul(1 + state.tried().len() as u32))
    } else {
        time_left
    };
    let targets = chain.parts.iter().map(|part| Arc::clone(&part.target));
    let mut suspicion = AttemptSuspicion::start(request, targets.collect());
    let opened = open_response(
        context,
        &request.outgoing(),
        &dispatch,
        first_target,
        may_reexecute,
        limit,
    )
    .await;
    match opened {
        Err(failed) => {
            suspicion.on_failure(&failed);
            StreamEnd::Failed(failed)
        }
        Ok(response) if response.head.status() >= 500 && may_reexecute && !delivered.head_sent => {
            suspicion.dismiss();
            let cause = format!("status {}", response.head.status());
            StreamEnd::Failed(FailedAttempt {
                metadata: response.metadata,
                ..FailedAttempt::new(RelayFailure::Failed, cause)
            })
        }
        Ok(response) if delivered.head_sent && response.head.status() != 200 => {
            suspicion.dismiss();
            let cause = format!("status {} when resuming", response.head.status());
            StreamEnd::Failed(FailedAttempt::new(RelayFailure::OutcomeUnknown, cause))
        }
        Ok(response) => {
            let detector = StallDetector::new(now, limit);
            let forwarder = StreamForwarder {
                request,
                chain,
                state,
                detector,
                suspicion,
            };
            forwarder.run(response, delivered).await
        }
    }
}

/// Ends a request without a further attempt. A response that has begun is truncated, any other
/// request gets a local reply.
async fn end_stream(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    delivered: &DeliveryProgress,
    step: RetryStep,
    detail: &str,
) -> ExchangeEnd {
    if delivered.head_sent {
        let line = request.log_line("broken_off").with("detail", detail);
        request
            .context
            .events
            .emit(line.with("last_event", delivered.last_id));
        return ExchangeEnd::Truncated;
    }
    let cause = request.final_cause(state, step);
    request.reply_locally(cause, detail).await
}
