//! Requests to plain services: the response is buffered and forwarded only when complete.

use crate::relay::attempt::{FailedAttempt, OpenReply, keep_connection, open_reply};
use crate::relay::choice::pick_target;
use crate::relay::exchange::{ActiveRequest, ExchangeEnd, forward_head};
use crate::relay::local_reply::RefusalCause;
use crate::relay::retry::{RelayFailure, RetryState, RetryStep};
use crate::targets::TargetEntry;
use crate::wire::{BodyEnd, WireHead, read_body};
use async_std::future::timeout;
use std::sync::Arc;
use std::time::Duration;

/// Size limit of a response, which is buffered until it is complete. A longer one fails the
/// attempt.
const MAX_RESPONSE_BYTES: usize = 512 * 1024;
/// Share of the remaining time that one attempt of a repeatable request may take.
const ATTEMPT_TIME_SHARE: f64 = 0.5;

/// A complete response of a target.
struct BufferedReply {
    head: WireHead,
    body: Vec<u8>,
}

/// Relays a request to a plain service, with retries where they are allowed.
pub(super) async fn relay_plain(request: &ActiveRequest<'_>) -> ExchangeEnd {
    let context = request.context;
    let due = request.deadline.since(context.clock.now());
    if !context.accepts_plain_requests(due) {
        let detail = "process exits before the response is due";
        return request.refuse(RefusalCause::Draining, detail).await;
    }
    let mut rng = fastrand::Rng::new();
    let route = &request.route;
    let mut state = RetryState::new(route.retry_rule, route.max_targets, request.deadline);
    let mut failed_reply: Option<BufferedReply> = None;
    let mut detail = String::from("no target is ready");
    loop {
        let now = context.clock.now();
        let view = context.targets.load();
        let targets = view.service_targets(&request.service.name);
        let local_domain = &context.settings.failure_domain;
        let target = pick_target(targets, state.tried(), local_domain, now, &mut rng).cloned();
        let step = request.next_step(&state, target.is_some());
        let (Some(target), RetryStep::TryNext) = (target, step) else {
            return finish_request(request, &state, step, failed_reply, &detail).await;
        };
        let outcome = attempt_plain(request, &state, &target).await;
        let failure = match outcome {
            Ok(reply) if is_retryable(&reply) && route.retry_rule.allows_reexecution() => {
                detail = format!("status {} at {}", reply.head.status(), target.id);
                failed_reply = Some(reply);
                RelayFailure::Failed
            }
            Ok(reply) => {
                target.stats.record_success();
                return forward_reply(request, &reply, state.tried().len()).await;
            }
            Err(failed) => {
                record_failure(request, &target, &failed);
                detail = format!("{} at {}", failed.cause, target.id);
                failed.failure
            }
        };
        state.on_failure(&target.id, failure, context.clock.now());
    }
}

fn is_retryable(reply: &BufferedReply) -> bool {
    reply.head.status() >= 500
}

/// Logs a failed attempt and updates the statistics of its target.
fn record_failure(request: &ActiveRequest<'_>, target: &Arc<TargetEntry>, failed: &FailedAttempt) {
    let context = request.context;
    let now = context.clock.now();
    match failed.failure {
        RelayFailure::NotExecuted if failed.misdirected => target.stats.mark_replaced(),
        RelayFailure::NotExecuted => {}
        RelayFailure::NotSent => target.stats.record_failure(now),
        _ if failed.timed_out => target.stats.record_failure(now),
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
) -> Result<BufferedReply, FailedAttempt> {
    let context = request.context;
    let _reserved = target.stats.reserve(0);
    let now = context.clock.now();
    let time_left = state.time_left(now);
    let repeatable = request.route.retry_rule.allows_reexecution();
    let last = state.tried().len() + 1 >= request.route.max_targets as usize;
    let limit = if repeatable && !last {
        time_left.mul_f64(ATTEMPT_TIME_SHARE)
    } else {
        time_left
    };
    let dispatch = request.dispatch(time_left, target, None, None);
    // A request that may be executed only once gets a new connection: on a reused one it could not
    // be told whether the target read the request before closing the connection.
    let reply = open_reply(
        context,
        &request.outgoing(),
        &dispatch,
        target,
        repeatable,
        limit,
    )
    .await?;
    let left = limit.saturating_sub(context.clock.now().since(now));
    read_reply_body(request, target, reply, left).await
}

async fn read_reply_body(
    request: &ActiveRequest<'_>,
    target: &Arc<TargetEntry>,
    mut reply: OpenReply,
    limit: Duration,
) -> Result<BufferedReply, FailedAttempt> {
    let read = read_body(&mut reply.stream, &mut reply.decoder, MAX_RESPONSE_BYTES);
    let read = timeout(limit, read).await;
    let read =
        read.map_err(|_elapsed| FailedAttempt::timed_out("response body incomplete in time"))?;
    let (body, end) =
        read.map_err(|cause| FailedAttempt::new(RelayFailure::OutcomeUnknown, cause))?;
    let head = reply.head.clone();
    if end == BodyEnd::Framed {
        keep_connection(request.context, &target.id, reply);
    }
    Ok(BufferedReply { head, body })
}

async fn forward_reply(
    request: &ActiveRequest<'_>,
    reply: &BufferedReply,
    retries: usize,
) -> ExchangeEnd {
    let status = reply.head.status();
    let declared = reply.head.content_length();
    let bodiless = request.head.method() == "HEAD" || matches!(status, 204 | 304);
    let length = match (bodiless, declared) {
        (true, declared) => declared,
        (false, _) => Some(reply.body.len() as u64),
    };
    let mut head = forward_head(&reply.head, request.close);
    if let Some(length) = length {
        head = head.field("Content-Length", length);
    }
    let mut bytes = head.finish();
    bytes.extend_from_slice(&reply.body);
    request.log_success(status, retries);
    if request.send(&bytes).await {
        ExchangeEnd::Relayed(status)
    } else {
        ExchangeEnd::Truncated
    }
}

/// Ends a request without a further attempt. A failure that a target responded with is forwarded.
async fn finish_request(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    step: RetryStep,
    failed_reply: Option<BufferedReply>,
    detail: &str,
) -> ExchangeEnd {
    if let Some(reply) = failed_reply {
        return forward_reply(request, &reply, state.tried().len()).await;
    }
    let expired = state.time_left(request.context.clock.now()).is_zero();
    let cause = RefusalCause::from_retry_step(step, expired, state.is_retry());
    request.refuse(cause, detail).await
}
