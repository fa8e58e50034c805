//! Connects to targets and finds out, when that fails, whether the target or this daemon's path to all
//! targets is at fault. What fails for want of a path is not held against targets.

use crate::reach::{PathLoss, ReachCandidate, ReachChange, ReachStep};
use crate::relay::context::RelayContext;
use crate::targets::TargetEntry;
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use crate::wire::{StreamError, WireStream};
use futures_util::future::join_all;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for a connection that shows whether a target can be reached. A host that runs answers within
/// a round trip, whether it accepts or refuses.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without a byte of any target, while requests are in progress, after which the path is checked.
const MAX_SILENCE: Duration = Duration::from_millis(400);
/// Shortest time between two such checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Targets tried in each check of a path that is lost.
const LOST_SAMPLE: usize = 3;
/// Most samples of targets in one round. A failure of this host, such as a lack of descriptors, is no
/// evidence, so a round may end without a verdict.
const MAX_SAMPLES: usize = 4;
/// Detail of a local reply to a request for which no target could be reached.
pub(super) const NO_PATH: &str = "no path to any target";
/// Period of calling [`watch_path`].
pub(crate) const PATH_WATCH_PERIOD: Duration = Duration::from_millis(200);

/// Connects to a target within `limit`. A failure counts against the target only if other targets can be
/// reached.
pub(super) async fn connect_target(
    context: &RelayContext,
    target: &TargetEntry,
    limit: Duration,
) -> Result<WireStream, StreamError> {
    let connected = connect_settled(context, target, limit).await;
    if connected.is_ok() || !context.is_cut_off() {
        target.stats.record_connect(connected.is_ok());
    }
    connected
}

/// Finds out whether a target has ended by connecting to it, which records a refusal.
pub(super) async fn probe_target(context: &RelayContext, target: &TargetEntry) {
    // Only the evidence counts.
    let _connected = connect_settled(context, target, PROBE_TIMEOUT).await;
}

/// Connects to a target. After a failure, finds out whether the path is lost, and records a refusal if it is
/// not.
async fn connect_settled(
    context: &RelayContext,
    target: &TargetEntry,
    limit: Duration,
) -> Result<WireStream, StreamError> {
    let started = context.clock.now();
    let connected = WireStream::connect(target.address, limit).await;
    let Err(cause) = &connected else {
        note_connected(context);
        return connected;
    };
    note_failed(context, target, started, cause);
    settle_path(context).await;
    let is_refused = *cause == StreamError::NotConnected(ErrorKind::ConnectionRefused);
    if is_refused && !context.is_cut_off() {
        target.stats.record_refusal(context.clock.now());
    }
    connected
}

/// How the path may have been lost; `None` for a failure of this host, such as a lack of descriptors.
fn path_loss(cause: &StreamError) -> Option<PathLoss> {
    match cause {
        StreamError::NotConnected(ErrorKind::TimedOut) => Some(PathLoss::Silent),
        StreamError::NotConnected(
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable,
        ) => Some(PathLoss::Refused),
        _ => None,
    }
}

/// Tries other targets until the evidence shows whether there is a path to any.
pub(super) async fn settle_path(context: &RelayContext) {
    let _round = context.reach.begin_round().await;
    for _sample in 0..MAX_SAMPLES {
        let targets = probe_candidates(context);
        let rows: Vec<ReachCandidate> = targets.iter().map(|target| candidate(target)).collect();
        match context.reach.next_step(&rows, context.clock.now()) {
            ReachStep::Reachable => return,
            ReachStep::Unreachable => {
                let change = context.reach.mark_lost(context.clock.now());
                return apply_change(context, change);
            }
            ReachStep::Probe(indices) => {
                let probes = indices
                    .iter()
                    .map(|index| try_target(context, &targets[*index]));
                join_all(probes).await;
            }
        }
    }
}

/// Targets that accept connections as far as is known.
fn probe_candidates(context: &RelayContext) -> Vec<Arc<TargetEntry>> {
    let view = context.targets.load();
    let is_candidate =
        |target: &&Arc<TargetEntry>| target.is_ready() && !target.stats.is_replaced();
    view.targets().filter(is_candidate).cloned().collect()
}

fn candidate(target: &TargetEntry) -> ReachCandidate {
    ReachCandidate {
        run: target.run_hash(),
        service: target.service.clone(),
    }
}

/// Connects to a target only for the evidence about the path.
async fn try_target(context: &RelayContext, target: &TargetEntry) {
    let started = context.clock.now();
    match WireStream::connect(target.address, PROBE_TIMEOUT).await {
        Ok(_stream) => note_connected(context),
        Err(cause) => note_failed(context, target, started, &cause),
    }
}

fn note_failed(
    context: &RelayContext,
    target: &TargetEntry,
    started: MonoTime,
    cause: &StreamError,
) {
    if let Some(loss) = path_loss(cause) {
        context.reach.on_failed(target.run_hash(), started, loss);
    }
}

fn note_connected(context: &RelayContext) {
    let change = context.reach.on_connected(context.clock.now());
    apply_change(context, change);
}

/// Logs a change of the path and forgets what failures for want of it have left behind.
fn apply_change(context: &RelayContext, change: ReachChange) {
    let is_cut_off = context.is_cut_off();
    let (label, line) = match change {
        ReachChange::None => return,
        ReachChange::Lost(loss, targets) => {
            let line = EventLine::new("targets_unreachable")
                .with_display("loss", loss)
                .with("targets", targets)
                .with("cut_off", is_cut_off);
            ("lost", line)
        }
        ReachChange::Regained(after) => {
            let line = EventLine::new("targets_reachable");
            ("regained", line.with("after_ms", after.as_millis() as u64))
        }
    };
    context.events.emit(line);
    context.metrics.paths.with_label_values(&[label]).inc();
    if let ReachChange::Lost(PathLoss::Silent, _) = change {
        // Idle connections are as silent as new ones.
        context.pool.sweep(|_| false);
    }
    if is_cut_off || matches!(change, ReachChange::Regained(_)) {
        let view = context.targets.load();
        view.targets()
            .for_each(|target| target.stats.forgive_failures());
        context.suspicions.clear();
    }
}

/// Checks the path when targets have been silent for a while, and whether a lost one is back.
pub(crate) async fn watch_path(context: &RelayContext) {
    let now = context.clock.now();
    if context.reach.is_lost() {
        probe_sample(context, LOST_SAMPLE).await;
        return;
    }
    let view = context.targets.load();
    let in_progress: u32 = view
        .targets()
        .map(|target| target.stats.in_progress())
        .sum();
    let is_silent = now.since(context.reach.heard_at()) > MAX_SILENCE;
    if in_progress > 0 && is_silent && context.reach.try_begin_check(MIN_CHECK_INTERVAL, now) {
        probe_sample(context, 1).await;
        settle_path(context).await;
    }
}

/// Tries some targets, of different services first.
async fn probe_sample(context: &RelayContext, count: usize) {
    let mut targets = probe_candidates(context);
    fastrand::shuffle(&mut targets);
    let mut services = BTreeSet::new();
    targets.sort_by_cached_key(|target| !services.insert(target.service.clone()));
    let probes = targets
        .iter()
        .take(count)
        .map(|target| try_target(context, target));
    join_all(probes).await;
}
