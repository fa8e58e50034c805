//! Requests to plain services: one whole answer.

use crate::relay::answer::RefusalCause;
use crate::relay::attempt::{FailedAttempt, OpenReply, keep_connection, open_reply};
use crate::relay::choice::pick_target;
use crate::relay::course::{CourseStep, RelayFailure, RequestCourse};
use crate::relay::exchange::{ActiveRequest, ExchangeEnd, forward_head};
use crate::targets::TargetEntry;
use crate::wire::{BodyEnd, WireHead, read_body};
use async_std::future::timeout;
use std::sync::Arc;
use std::time::Duration;

/// Longest answer that is held back until it is complete; longer ones are passed on as they come.
const WHOLE_ANSWER_BYTES: usize = 512 * 1024;
/// Part of the time left that one attempt of a repeatable request may take.
const ATTEMPT_PART: f64 = 0.5;

/// A target's whole answer.
struct WholeAnswer {
    head: WireHead,
    body: Vec<u8>,
}

pub(super) async fn relay_plain(request: &ActiveRequest<'_>) -> ExchangeEnd {
    let context = request.context;
    let due = request.ends.since(context.clock.now());
    if !context.takes_whole_answers(due) {
        let detail = "the process ends before the answer is due";
        return request.refuse(RefusalCause::Draining, detail).await;
    }
    let mut rng = fastrand::Rng::new();
    let route = &request.route;
    let mut course = RequestCourse::new(route.retry_rule, route.max_targets, request.ends);
    let mut failed_answer: Option<WholeAnswer> = None;
    let mut detail = String::from("no target is known");
    loop {
        let now = context.clock.now();
        let view = context.targets.load();
        let targets = view.of_service(&request.service.name);
        let own = &context.settings.failure_domain;
        let target = pick_target(targets, course.tried(), own, now, &mut rng).cloned();
        let step = request.next_step(&course, target.is_some());
        let (Some(target), CourseStep::TryNext) = (target, step) else {
            return end_request(request, &course, step, failed_answer, &detail).await;
        };
        let outcome = attempt_whole(request, &course, &target).await;
        let failure = match outcome {
            Ok(answer) if is_retryable(&answer) && route.retry_rule.allows_reexecution() => {
                detail = format!("status {} at {}", answer.head.status(), target.id);
                failed_answer = Some(answer);
                RelayFailure::Failed
            }
            Ok(answer) => {
                target.gauge.record_success();
                return pass_on(request, &answer, course.tried().len()).await;
            }
            Err(failed) => {
                note_failure(request, &target, &failed);
                detail = format!("{} at {}", failed.cause, target.id);
                failed.failure
            }
        };
        course.on_failure(&target.id, failure, context.clock.now());
    }
}

fn is_retryable(answer: &WholeAnswer) -> bool {
    answer.head.status() >= 500
}

fn note_failure(request: &ActiveRequest<'_>, target: &Arc<TargetEntry>, failed: &FailedAttempt) {
    let context = request.context;
    let now = context.clock.now();
    match failed.failure {
        RelayFailure::NotRun if failed.misdirected => target.gauge.mark_replaced(),
        RelayFailure::NotRun => {}
        RelayFailure::NotSent => target.gauge.record_failure(now),
        _ if failed.silent => target.gauge.record_failure(now),
        _ => target.gauge.record_flaw(now),
    }
    context.pool.forget(&target.id);
    let line = request.line("attempt_failed").show("target", &target.id);
    request.note_failed(failed, line);
}

async fn attempt_whole(
    request: &ActiveRequest<'_>,
    course: &RequestCourse,
    target: &Arc<TargetEntry>,
) -> Result<WholeAnswer, FailedAttempt> {
    let context = request.context;
    let _counted = target.gauge.enter(0);
    let now = context.clock.now();
    let time_left = course.time_left(now);
    let repeatable = request.route.retry_rule.allows_reexecution();
    let last = course.tried().len() + 1 >= request.route.max_targets as usize;
    let limit = if repeatable && !last {
        time_left.mul_f64(ATTEMPT_PART)
    } else {
        time_left
    };
    let dispatch = request.dispatch(time_left, target, None, None);
    // A request that may run only once gets a connection of its own: on a kept one it could not be
    // told whether the target read it before it closed the connection.
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
    read_whole(request, target, reply, left).await
}

async fn read_whole(
    request: &ActiveRequest<'_>,
    target: &Arc<TargetEntry>,
    mut reply: OpenReply,
    limit: Duration,
) -> Result<WholeAnswer, FailedAttempt> {
    let read = read_body(&mut reply.stream, &mut reply.decoder, WHOLE_ANSWER_BYTES);
    let read = timeout(limit, read).await;
    let read = read.map_err(|_elapsed| FailedAttempt::silent("answer not complete in time"))?;
    let (body, end) = read.map_err(|cause| FailedAttempt::new(RelayFailure::Unknown, cause))?;
    let head = reply.head.clone();
    if end == BodyEnd::Framed {
        keep_connection(request.context, &target.id, reply);
    }
    Ok(WholeAnswer { head, body })
}

async fn pass_on(request: &ActiveRequest<'_>, answer: &WholeAnswer, repeats: usize) -> ExchangeEnd {
    let status = answer.head.status();
    let declared = answer.head.content_length();
    let bare = request.head.method() == "HEAD" || matches!(status, 204 | 304);
    let length = match (bare, declared) {
        (true, declared) => declared,
        (false, _) => Some(answer.body.len() as u64),
    };
    let mut head = forward_head(&answer.head, request.close);
    if let Some(length) = length {
        head = head.field("Content-Length", length);
    }
    let mut bytes = head.finish();
    bytes.extend_from_slice(&answer.body);
    request.log_success(status, repeats);
    if request.send(&bytes).await {
        ExchangeEnd::Relayed(status)
    } else {
        ExchangeEnd::BrokenOff
    }
}

async fn end_request(
    request: &ActiveRequest<'_>,
    course: &RequestCourse,
    step: CourseStep,
    failed_answer: Option<WholeAnswer>,
    detail: &str,
) -> ExchangeEnd {
    if let Some(answer) = failed_answer {
        return pass_on(request, &answer, course.tried().len()).await;
    }
    let expired = course.time_left(request.context.clock.now()).is_zero();
    let cause = RefusalCause::of_course(step, expired, course.is_repeat());
    request.refuse(cause, detail).await
}
