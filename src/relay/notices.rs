//! What targets say about themselves in their responses, beside the response itself.

use crate::relay::context::RelayContext;
use crate::relay::exchange::ActiveRequest;
use crate::relay::limits::AT_LIMIT;
use crate::relay::metadata::TargetNotices;
use crate::targets::{LayerChain, TargetEntry};
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Detail of a local reply to a request for which all targets rest.
pub(super) const AT_REST: &str = "targets have asked for rest";

/// Most runs of targets that leave in one message.
const MAX_LEAVING_RUNS: usize = 64;

/// Takes what a response says about its target. One with status 421 comes from another target.
pub(super) fn observe_notices(
    context: &RelayContext,
    target: &TargetEntry,
    status: u16,
    notices: TargetNotices,
) {
    if status == 421 {
        return;
    }
    let now = context.clock.now();
    if notices.is_leaving {
        mark_leaving(context, target, "response");
    }
    match notices.rest {
        Some(rest) => begin_rest(context, target, rest, now),
        None => target.stats.limit().on_response(now),
    }
}

/// Takes what the response to a call other than a request says about its target. With status 421 another
/// target has taken over the address: requests may also be misdirected in other ways, calls may not.
pub(crate) fn observe_call(
    context: &RelayContext,
    target: &TargetEntry,
    status: u16,
    notices: TargetNotices,
) {
    if status != 421 {
        return observe_notices(context, target, status, notices);
    }
    target.stats.mark_replaced();
    context.targets_changed.store(true, Ordering::Release);
    let line = EventLine::new("target_replaced").with_display("target", &target.id);
    context.events.emit(line);
}

/// Takes what the first target of a chain says of the part at `faulty`, which could not take a request.
pub(super) fn observe_part(
    context: &RelayContext,
    chain: Option<&LayerChain>,
    faulty: Option<SocketAddr>,
    notices: TargetNotices,
) {
    let parts = chain.iter().flat_map(|chain| &chain.parts);
    let faulty_part = parts
        .skip(1)
        .find(|part| Some(part.target.address) == faulty);
    if let (Some(part), Some(rest)) = (faulty_part, notices.rest) {
        begin_rest(context, &part.target, rest, context.clock.now());
    }
}

/// Records that a target leaves; no more requests are sent to it.
fn mark_leaving(context: &RelayContext, target: &TargetEntry, source: &'static str) {
    if !target.stats.mark_leaving() {
        return;
    }
    context.targets_changed.store(true, Ordering::Release);
    let line = EventLine::new("target_leaves")
        .with_display("target", &target.id)
        .with("source", source);
    context.events.emit(line);
}

/// Runs of targets that leave, to tell other daemons.
pub(crate) fn leaving_runs(context: &RelayContext) -> Vec<u64> {
    let view = context.targets.load();
    let leaving = view.targets().filter(|target| target.stats.is_leaving());
    leaving
        .map(|target| target.run_hash())
        .take(MAX_LEAVING_RUNS)
        .collect()
}

/// Takes the runs of targets of which another daemon says that they leave.
pub(crate) fn merge_leaving_runs(context: &RelayContext, runs: &[u64]) {
    if runs.is_empty() {
        return;
    }
    let view = context.targets.load();
    for target in runs.iter().filter_map(|run| view.run(*run)) {
        mark_leaving(context, target, "peer");
    }
}

fn begin_rest(context: &RelayContext, target: &TargetEntry, rest: Duration, now: MonoTime) {
    if !target.stats.limit().begin_rest(rest, now) {
        return;
    }
    let events = &context.metrics.limits;
    events.with_label_values(&["rest"]).inc();
    let line = EventLine::new("target_rests")
        .with_display("target", &target.id)
        .with("rest_ms", rest.as_millis() as u64);
    context.events.emit(line);
}

/// Detail of a local reply to a request that targets did not get because of their limits or their rest.
pub(super) fn held_back_detail(request: &ActiveRequest<'_>) -> &'static str {
    if rest_left(request).is_some() {
        AT_REST
    } else {
        AT_LIMIT
    }
}

/// Shortest time until one of the targets that could serve the request has rested; `None` if one of them
/// does not rest, or none is there.
pub(super) fn rest_left(request: &ActiveRequest<'_>) -> Option<Duration> {
    let context = request.context;
    let now = context.clock.now();
    let view = context.targets.load();
    let service = &request.service.name;
    let until = |target: &Arc<TargetEntry>| target.stats.limit().resting_until(now);
    let ends: Vec<Option<MonoTime>> = if request.service.model.is_some() {
        let chains = view.chains(service).iter();
        let ends = chains.map(|chain| chain.parts.iter().filter_map(|part| until(&part.target)));
        ends.map(Iterator::max).collect()
    } else {
        let targets = view.service_targets(service).iter();
        targets
            .filter(|target| target.is_ready())
            .map(until)
            .collect()
    };
    let ends: Option<Vec<MonoTime>> = ends.into_iter().collect();
    let first = ends?.into_iter().min()?;
    Some(first.since(now))
}
