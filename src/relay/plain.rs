//! Requests to plain services, that is, services without a model: the response is buffered and
//! forwarded only when complete.

use crate::relay::attempt::{
    FailedAttempt, FailureKind, PendingResponse, keep_connection, open_response,
};
use crate::relay::choice::pick_target;
use crate::relay::exchange::{ActiveRequest, ExchangeEnd, forward_head};
use crate::relay::limits::{AT_LIMIT, PermitOutcome, acquire_permit, any_held_back, return_permit};
use crate::relay::local_reply::RefusalCause;
use crate::relay::retry::{RelayFailure, RetryState, RetryStep};
use crate::relay::suspicion::{AttemptSuspicion, check_for_crash, separate_suspects};
use crate::targets::TargetEntry;
use crate::wire::{BodyEnd, WireHead, read_body};
use async_std::future::timeout;
use futures_lite::future::or;
use std::sync::Arc;
use std::time::Duration;

/// Size limit of a response, which is buffered until it is complete. A longer one fails the
/// attempt.
const MAX_RESPONSE_BYTES: usize = 512 * 1024;
/// Share of the remaining time that one attempt may take, when the request may be executed again
/// and the attempt is not the last one that the route allows.
const ATTEMPT_TIME_SHARE: f64 = 0.5;
/// Longest time for which targets with a rate limit are asked for one after the other.
const PERMIT_WAIT: Duration = Duration::from_millis(250);

/// A complete response of a target.
struct BufferedResponse {
    head: WireHead,
    body: Vec<u8>,
    end: BodyEnd,
}

/// Relays a request to a plain service, with retries where they are allowed.
pub(super) async fn relay_plain(request: &ActiveRequest<'_>) -> ExchangeEnd {
    let context = request.context;
    let due = request.deadline.since(context.clock.now());
    if !context.accepts_plain_requests(due) {
        let detail = "draining: process may exit before the response is complete";
        return request.reply_locally(RefusalCause::Draining, detail).await;
    }
    let mut rng = fastrand::Rng::new();
    let route = &request.route;
    let mut state = RetryState::new(route.retry_rule, route.max_targets, request.deadline);
    let mut error_response: Option<BufferedResponse> = None;
    let mut detail = String::from("no target is ready");
    loop {
        separate_suspects(request).await;
        let allowed = state.next_step(context.clock.now());
        let target = if allowed == RetryStep::TryNext && !request.is_poison() {
            find_target(request, &state, &mut rng).await
        } else {
            None
        };
        if target.is_none() && is_held_back(request) {
            detail = String::from(AT_LIMIT);
        }
        let step = request.next_step(&state, target.is_some());
        let (Some(target), RetryStep::TryNext) = (target.as_ref(), step) else {
            if let Some(target) = &target {
                return_permit(context, target);
            }
            return finish_request(request, &state, step, error_response, &detail).await;
        };
        let mut suspicion = AttemptSuspicion::start(request, vec![Arc::clone(target)]);
        let attempt = attempt_plain(request, &state, target);
        let outcome = or(attempt, suspicion.watch_departure()).await;
        match &outcome {
            Ok(response) => suspicion.on_response(response.head.status(), response.end),
            Err(failed) => suspicion.on_failure(failed),
        }
        drop(suspicion);
        if let Ok(response) = &outcome
            && is_failure(response)
        {
            log_failure(request, target, response);
        }
        let failure = match outcome {
            Ok(response) if is_failure(&response) && route.retry_rule.allows_reexecution() => {
                // Any such status counts as executed. No statistics of the target are updated.
                detail = format!("status {} at {}", response.head.status(), target.id);
                error_response = Some(response);
                RelayFailure::Failed
            }
            Ok(response) => {
                target.stats.record_success();
                return forward_response(request, &response, state.tried().len()).await;
            }
            Err(failed) => {
                record_failure(request, target, &failed);
                check_for_crash(request, target, &failed).await;
                detail = format!("{} at {}", failed.cause, target.id);
                failed.failure
            }
        };
        state.on_failure(&target.id, failure, context.clock.now());
    }
}

/// True when a target gets no request because of its rate limit.
fn is_held_back(request: &ActiveRequest<'_>) -> bool {
    let context = request.context;
    let now = context.clock.now();
    let view = context.targets.load();
    let targets = view.service_targets(&request.service.name);
    any_held_back(targets.iter(), now)
}

/// Selects a target that takes one more request under its rate limit.
async fn find_target(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    rng: &mut fastrand::Rng,
) -> Option<Arc<TargetEntry>> {
    let context = request.context;
    let local_domain = &context.settings.failure_domain;
    let started = context.clock.now();
    loop {
        let now = context.clock.now();
        if now.since(started) >= PERMIT_WAIT {
            return None;
        }
        let view = context.targets.load();
        let targets = view.service_targets(&request.service.name);
        let target = pick_target(targets, state.tried(), local_domain, now, rng)?;
        if acquire_permit(context, target).await == PermitOutcome::Granted {
            return Some(Arc::clone(target));
        }
    }
}

fn is_failure(response: &BufferedResponse) -> bool {
    response.head.status() >= 500
}

/// Logs that a target responded with a failure.
fn log_failure(request: &ActiveRequest<'_>, target: &TargetEntry, response: &BufferedResponse) {
    let line = request
        .log_line("target_failed_request")
        .with_display("target", &target.id)
        .with("status", response.head.status())
        .with_display("fingerprint", request.fingerprint());
    request.context.events.emit(line);
}

/// Logs a failed attempt and updates the statistics of its target.
fn record_failure(request: &ActiveRequest<'_>, target: &Arc<TargetEntry>, failed: &FailedAttempt) {
    let context = request.context;
    let now = context.clock.now();
    match failed.failure {
        RelayFailure::NotExecuted if failed.kind == FailureKind::Misdirected => {
            target.stats.mark_replaced();
        }
        RelayFailure::NotExecuted => {}
        RelayFailure::NotSent => target.stats.record_failure(now),
        _ if failed.kind == FailureKind::TimedOut => target.stats.record_failure(now),
        _ => target.stats.record_bad_reply(now),
    }
    context.pool.remove(&target.id);
    let line = request
        .log_line("attempt_failed")
        .with_display("target", &target.id);
    request.record_failed_attempt(failed, line);
}

async fn attempt_plain(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    target: &Arc<TargetEntry>,
) -> Result<BufferedResponse, FailedAttempt> {
    let context = request.context;
    // Counts the request as in flight; plain requests reserve no tokens.
    let _reserved = target.stats.reserve(0);
    let now = context.clock.now();
    let time_left = state.time_left(now);
    let may_reexecute = request.route.retry_rule.allows_reexecution();
    let last = state.tried().len() + 1 >= request.route.max_targets as usize;
    let limit = if may_reexecute && !last {
        time_left.mul_f64(ATTEMPT_TIME_SHARE)
    } else {
        time_left
    };
    let dispatch = request.dispatch(time_left, target, None, None);
    // A request that may be executed only once gets a new connection: if a target closes a reused
    // one, there is no way to know whether it has read the request.
    let response = open_response(
        context,
        &request.outgoing(),
        &dispatch,
        target,
        may_reexecute,
        limit,
    )
    .await?;
    let left = limit.saturating_sub(context.clock.now().since(now));
    read_response_body(request, target, response, left).await
}

async fn read_response_body(
    request: &ActiveRequest<'_>,
    target: &Arc<TargetEntry>,
    mut response: PendingResponse,
    limit: Duration,
) -> Result<BufferedResponse, FailedAttempt> {
    let read = read_body(
        &mut response.stream,
        &mut response.decoder,
        MAX_RESPONSE_BYTES,
    );
    let read = timeout(limit, read).await;
    let read = read
        .map_err(|_elapsed| FailedAttempt::timed_out("timeout while reading the response body"))?;
    let (body, end) = read.map_err(|cause| FailedAttempt::unreadable(&cause))?;
    let head = response.head.clone();
    if end == BodyEnd::Framed {
        keep_connection(request.context, &target.id, response);
    }
    Ok(BufferedResponse { head, body, end })
}

async fn forward_response(
    request: &ActiveRequest<'_>,
    response: &BufferedResponse,
    retries: usize,
) -> ExchangeEnd {
    let status = response.head.status();
    let declared = response.head.content_length();
    let bodiless = request.head.method() == "HEAD" || matches!(status, 204 | 304);
    let length = match (bodiless, declared) {
        (true, declared) => declared,
        (false, _) => Some(response.body.len() as u64),
    };
    let mut head = forward_head(&response.head, request.close);
    if let Some(length) = length {
        head = head.field("Content-Length", length);
    }
    let mut bytes = head.finish();
    bytes.extend_from_slice(&response.body);
    request.log_success(status, retries);
    if request.send(&bytes).await {
        ExchangeEnd::Relayed(status)
    } else {
        ExchangeEnd::Truncated
    }
}

/// Ends a request without a further attempt. If targets sent error responses (status 500 or above),
/// the last of them is forwarded, else a local reply is sent.
async fn finish_request(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    step: RetryStep,
    error_response: Option<BufferedResponse>,
    detail: &str,
) -> ExchangeEnd {
    if let Some(response) = error_response {
        return forward_response(request, &response, state.tried().len()).await;
    }
    let cause = request.final_cause(state, step);
    request.reply_locally(cause, detail).await
}
