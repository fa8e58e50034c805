//! Requests to models: a stream of events that goes on at another chain when its own fails.

use crate::catalog::ModelShape;
use crate::relay::answer::RefusalCause;
use crate::relay::attempt::{FailedAttempt, open_reply};
use crate::relay::choice::{ChainNeed, pick_chain};
use crate::relay::context::RelayContext;
use crate::relay::course::{CourseStep, RelayFailure, RequestCourse};
use crate::relay::exchange::{ActiveRequest, ExchangeEnd};
use crate::relay::pace::StreamPace;
use crate::relay::passing::{Delivered, StreamEnd, StreamPass};
use crate::targets::{GaugeGuard, LayerChain};
use crate::telemetry::EventLine;
use async_io::Timer;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Least time allowed until a stream's first event, while other chains may be tried.
const FIRST_EVENT_FLOOR: Duration = Duration::from_millis(250);
/// Most time allowed until a stream's first event, while other chains may be tried.
const FIRST_EVENT_CEILING: Duration = Duration::from_secs(1);
/// Time for which a request waits for room on a chain.
const ROOM_WAIT: Duration = Duration::from_millis(250);
/// The same for a stream that has begun: its caller loses more than one that is asked to come back.
const RESUME_ROOM_WAIT: Duration = Duration::from_millis(1_400);
/// Period of looking for room.
const ROOM_POLL: Duration = Duration::from_millis(25);

pub(super) async fn relay_stream(request: &ActiveRequest<'_>) -> ExchangeEnd {
    let context = request.context;
    let route = &request.route;
    let Some(model) = &request.service.model else {
        return request
            .refuse(RefusalCause::NoTarget, "the service has no model")
            .await;
    };
    if !context.takes_streams() {
        return request
            .refuse(
                RefusalCause::Draining,
                "no stream is started while shutting down",
            )
            .await;
    }
    let mut course = RequestCourse::new(route.retry_rule, route.max_targets, request.ends);
    let mut delivered = Delivered {
        head_sent: false,
        last_id: request.facts.resume_after,
    };
    let mut detail = String::from("no chain has room");
    loop {
        course.note_ended(count_ended(request, &course));
        let chain = find_chain(request, model, &course, &delivered).await;
        let step = request.next_step(&course, chain.is_some());
        let (Some(chain), CourseStep::TryNext) = (chain, step) else {
            return end_stream(request, &course, &delivered, step, &detail).await;
        };
        let _reserved = reserve(&chain, request.facts.expected_tokens());
        match attempt_stream(request, &course, &chain, &mut delivered).await {
            StreamEnd::Complete(status) => {
                chain
                    .parts
                    .iter()
                    .for_each(|part| part.target.gauge.record_success());
                request.log_success(status, course.tried().len());
                return ExchangeEnd::Relayed(status);
            }
            StreamEnd::CallerGone => return ExchangeEnd::BrokenOff,
            StreamEnd::Failed(failed) => {
                detail = format!("{} at {}", failed.cause, chain.head().id);
                note_failure(request, &chain, &failed, &delivered);
                course.on_failure(&chain.head().id, failed.failure, context.clock.now());
            }
        }
    }
}

/// Tried targets that have left the list since.
fn count_ended(request: &ActiveRequest<'_>, course: &RequestCourse) -> usize {
    let view = request.context.targets.load();
    let ended = course.tried().iter().filter(|id| view.target(id).is_none());
    ended.count()
}

/// The chain to use, waiting a little for room on one.
async fn find_chain(
    request: &ActiveRequest<'_>,
    model: &ModelShape,
    course: &RequestCourse,
    delivered: &Delivered,
) -> Option<Arc<LayerChain>> {
    let context = request.context;
    let mut rng = fastrand::Rng::new();
    let own = &context.settings.failure_domain;
    let started = context.clock.now();
    let tokens = f64::from(request.facts.expected_tokens()) + delivered.last_id.unwrap_or(0) as f64;
    loop {
        let now = context.clock.now();
        let need = ChainNeed {
            domain: own,
            tokens,
            resumes: delivered.head_sent,
        };
        let view = context.targets.load();
        let chains = view.chains(&request.service.name);
        if let Some(chain) = pick_chain(chains, model, need, course.tried(), now, &mut rng) {
            return Some(Arc::clone(chain));
        }
        let waited = now.since(started);
        let longest = if delivered.head_sent {
            RESUME_ROOM_WAIT
        } else {
            ROOM_WAIT
        };
        if waited >= longest || course.time_left(now) <= ROOM_POLL {
            return None;
        }
        Timer::after(ROOM_POLL).await;
    }
}

fn reserve(chain: &LayerChain, tokens: u32) -> Vec<GaugeGuard> {
    chain
        .parts
        .iter()
        .map(|part| part.target.gauge.enter(tokens))
        .collect()
}

fn note_failure(
    request: &ActiveRequest<'_>,
    chain: &LayerChain,
    failed: &FailedAttempt,
    delivered: &Delivered,
) {
    let context = request.context;
    let now = context.clock.now();
    let named = failed.facts.faulty;
    let blamed = chain
        .parts
        .iter()
        .find(|part| Some(part.target.address) == named);
    let target = blamed.map_or(chain.head(), |part| &part.target);
    match failed.failure {
        RelayFailure::NotRun if failed.misdirected && blamed.is_none() => {
            target.gauge.mark_replaced();
        }
        RelayFailure::NotSent => target.gauge.record_failure(now),
        _ if failed.silent || blamed.is_some() => target.gauge.record_failure(now),
        _ => target.gauge.record_flaw(now),
    }
    if failed.silent {
        inquire(context, chain);
    }
    context.pool.forget(&chain.head().id);
    let line = request
        .line("attempt_failed")
        .show("target", &chain.head().id)
        .show("blamed", &target.id)
        .with("last_event", delivered.last_id);
    request.note_failed(failed, line);
}

/// Asks the head of a chain that has stalled which of its parts does not answer, so that the part is
/// passed over and not the head. Requests do not wait for the answer.
fn inquire(context: &Arc<RelayContext>, chain: &LayerChain) {
    let head = chain.head();
    if chain.parts.len() < 2 || !head.gauge.may_inquire(context.clock.now()) {
        return;
    }
    let context = Arc::clone(context);
    let chain = chain.clone();
    task::spawn(async move {
        let head = chain.head();
        let report = match (context.target_port.report)(head.address).await {
            Ok(report) => report,
            Err(cause) => {
                let line = EventLine::new("report_failed").show("target", &head.id);
                context.events.emit(line.show("cause", cause));
                return;
            }
        };
        let now = context.clock.now();
        let stalled = chain.parts.iter().filter(|part| {
            part.target.id != head.id && report.stalled_on.contains(&part.target.address)
        });
        for part in stalled {
            part.target.gauge.record_failure(now);
            part.target.gauge.note_reached(false);
            head.gauge.clear_pause();
            let line = EventLine::new("part_stalled").show("target", &part.target.id);
            context.events.emit(line.show("head", &head.id));
        }
    });
}

async fn attempt_stream(
    request: &ActiveRequest<'_>,
    course: &RequestCourse,
    chain: &LayerChain,
    delivered: &mut Delivered,
) -> StreamEnd {
    let context = request.context;
    let now = context.clock.now();
    let time_left = course.time_left(now);
    let head = chain.head();
    let dispatch = request.dispatch(time_left, head, Some(chain), delivered.last_id);
    let repeatable = request.route.retry_rule.allows_reexecution();
    let limit = if repeatable {
        let expected = head
            .gauge
            .first_event_limit(FIRST_EVENT_FLOOR, FIRST_EVENT_CEILING);
        // Each further attempt may take longer: when all chains are slow, moving on helps nobody.
        time_left.min(expected.saturating_mul(1 + course.tried().len() as u32))
    } else {
        time_left
    };
    let opened = open_reply(
        context,
        &request.outgoing(),
        &dispatch,
        head,
        repeatable,
        limit,
    )
    .await;
    match opened {
        Err(failed) => StreamEnd::Failed(failed),
        Ok(reply) if reply.head.status() >= 500 && repeatable && !delivered.head_sent => {
            let cause = format!("status {}", reply.head.status());
            StreamEnd::Failed(FailedAttempt {
                facts: reply.facts,
                ..FailedAttempt::new(RelayFailure::Failed, cause)
            })
        }
        Ok(reply) if delivered.head_sent && reply.head.status() != 200 => {
            let cause = format!("status {} when resuming", reply.head.status());
            StreamEnd::Failed(FailedAttempt::new(RelayFailure::Unknown, cause))
        }
        Ok(reply) => {
            let pace = StreamPace::new(now, limit);
            let pass = StreamPass {
                request,
                chain,
                course,
                pace,
            };
            pass.run(reply, delivered).await
        }
    }
}

async fn end_stream(
    request: &ActiveRequest<'_>,
    course: &RequestCourse,
    delivered: &Delivered,
    step: CourseStep,
    detail: &str,
) -> ExchangeEnd {
    if delivered.head_sent {
        let line = request.line("broken_off").with("detail", detail);
        request
            .context
            .events
            .emit(line.with("last_event", delivered.last_id));
        return ExchangeEnd::BrokenOff;
    }
    let expired = course.time_left(request.context.clock.now()).is_zero();
    let cause = RefusalCause::of_course(step, expired, course.is_repeat());
    request.refuse(cause, detail).await
}
