//! Records failed and stalled attempts of a stream, and finds out which target is at fault.

use crate::relay::attempt::{FailedAttempt, FailureKind};
use crate::relay::context::RelayContext;
use crate::relay::event_progress::DeliveryProgress;
use crate::relay::exchange::ActiveRequest;
use crate::relay::limits::{PermitOutcome, acquire_permit};
use crate::relay::notices::observe_call;
use crate::relay::path::probe_target;
use crate::relay::retry::RelayFailure;
use crate::targets::{ChainPart, LayerChain, TargetEntry};
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Time within which a part that has no capacity turns a request away. One that does not respond is given up
/// later.
const SATURATED_REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Reserved share from which a part that turns a request away at once counts as full. One that has crashed
/// also does so, but its requests have ended.
const FULL_PART_SHARE: f64 = 0.7;

/// Logs a failed attempt and updates the statistics of the target that caused it: the one that the
/// response names, or else the first target of the chain. Returns this target.
pub(super) fn record_failure(
    request: &ActiveRequest<'_>,
    chain: &LayerChain,
    failed: &FailedAttempt,
    delivered: &DeliveryProgress,
    started: Option<MonoTime>,
) -> Arc<TargetEntry> {
    let context = request.context;
    let now = context.clock.now();
    let refused_at_once =
        started.is_some_and(|started| now.since(started) <= SATURATED_REFUSAL_TIME);
    let faulty_address = failed.metadata.faulty_address;
    let faulty_part = chain
        .parts
        .iter()
        .find(|part| Some(part.target.address) == faulty_address);
    let target = faulty_part.map_or(chain.head(), |part| &part.target);
    match failed.failure {
        RelayFailure::NotExecuted if refused_at_once && is_full(request, faulty_part) => {
            target.stats.record_saturation(now);
            let service = request.service.name.as_str();
            let saturated = &context.metrics.load.saturated_parts;
            saturated.with_label_values(&[service]).inc();
        }
        _ if failed.is_own() || context.is_cut_off() => {}
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
    if failed.kind == FailureKind::TimedOut && !context.is_cut_off() {
        query_stalled_parts(context, chain);
    }
    context.pool.remove(&chain.head().id);
    log_failure(request, chain, target, failed, delivered);
    Arc::clone(target)
}

/// True when a part of a chain that has turned a request away has no capacity left, rather than being
/// unable to serve.
fn is_full(request: &ActiveRequest<'_>, part: Option<&ChainPart>) -> bool {
    let (Some(part), Some(model)) = (part, &request.service.model) else {
        return false;
    };
    request.is_by_priority() && part.reserved_share(model) >= FULL_PART_SHARE
}

/// Logs and counts a failed attempt.
pub(super) fn log_failure(
    request: &ActiveRequest<'_>,
    chain: &LayerChain,
    blamed: &TargetEntry,
    failed: &FailedAttempt,
    delivered: &DeliveryProgress,
) {
    let line = request
        .log_line("attempt_failed")
        .with_display("target", &chain.head().id)
        .with_display("blamed", &blamed.id)
        .with("last_event", delivered.last_id);
    request.record_failed_attempt(failed, line);
}

/// Makes a chain that has been silent for long count as failing, and finds out which part is at fault.
pub(super) fn report_stalled_chain(context: &Arc<RelayContext>, chain: &LayerChain) {
    if context.is_cut_off() {
        return;
    }
    chain.head().stats.record_failure(context.clock.now());
    query_stalled_parts(context, chain);
}

/// Asks the first target of a stalled chain for its report, which names the targets that it waits
/// for, so that those of the chain are ejected instead of the first one. Requests do not wait for
/// the report.
pub(super) fn query_stalled_parts(context: &Arc<RelayContext>, chain: &LayerChain) {
    let first_target = chain.head();
    if context.is_cut_off() {
        return;
    }
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
        let (id, address) = (first_target.id.clone(), first_target.address);
        let call = (context.target_port.report)(id, address).await;
        if let Some((status, notices)) = call.notices {
            observe_call(&context, first_target, status, notices);
        }
        let report = match call.outcome {
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
