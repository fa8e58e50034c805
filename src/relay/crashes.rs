//! Crashes of targets under requests: what this daemon has found out, and what other daemons tell.

use crate::poison::{CrashState, OutboxRow, PoisonEntry, PoisonFingerprint, PoisonRow};
use crate::relay::context::RelayContext;
use crate::relay::exchange::ActiveRequest;
use crate::targets::TargetEntry;
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use std::time::Duration;

/// Time for which a crash counts.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Most crashes in one message to other daemons.
const MAX_DIGEST_CRASHES: usize = 16;
/// Time after which a crash is written to the store, or a cleared one removed. Most requests that
/// were beside a crash are answered whole before and cost no call.
const WRITE_DELAY: Duration = Duration::from_secs(1);
/// Time after which a daemon writes a crash to the store that another one has told of.
const PEER_WRITE_DELAY: Duration = Duration::from_secs(2);

/// Records that a target ended under a request.
pub(super) fn record_crash(
    context: &RelayContext,
    fingerprint: PoisonFingerprint,
    target: &TargetEntry,
    now: MonoTime,
) {
    let run = target.crashed_run();
    let entry = PoisonEntry::new([run], CrashState::Counted, now.after(CRASH_RETENTION));
    if !context.poison.merge(fingerprint, &entry, now) {
        return;
    }
    let row = OutboxRow {
        fingerprint,
        run,
        state: CrashState::Counted,
    };
    context.outbox.add(row, now.after(WRITE_DELAY));
    let is_poison = context.poison.refusal_time(&[fingerprint], now).is_some();
    let outcome = if is_poison { "poison" } else { "suspected" };
    context.metrics.suspects.with_label_values(&[outcome]).inc();
    let line = EventLine::new("crash_under_request")
        .with_display("fingerprint", fingerprint)
        .with_display("target", &target.id)
        .with("started_ms", target.started_ms)
        .with("crashes", context.poison.crashes(fingerprint, now));
    context.events.emit(line.with("outcome", outcome));
}

/// Crashes to tell other daemons, as the store may not know them yet.
pub(crate) fn unstored_crashes(context: &RelayContext) -> Vec<PoisonRow> {
    let now = context.clock.now();
    let until = now.after(CRASH_RETENTION);
    let rows = context.outbox.rows(MAX_DIGEST_CRASHES, now).into_iter();
    let rows = rows.map(|row| {
        let entry = PoisonEntry::new([row.run], row.state, until);
        PoisonRow::new(row.fingerprint, &entry, now)
    });
    rows.collect()
}

/// Records the crashes that another daemon tells of. If that daemon does not write them to the
/// store soon, this one does.
pub(crate) fn merge_peer_crashes(context: &RelayContext, rows: &[PoisonRow]) {
    let now = context.clock.now();
    for row in rows {
        let (fingerprint, entry) = (row.fingerprint(), row.entry(now, CRASH_RETENTION));
        let unknown_runs = context.poison.unknown_runs(fingerprint, &entry, now);
        // A merge copies the whole table.
        if !unknown_runs.is_empty() {
            context.poison.merge(fingerprint, &entry, now);
        }
        for (run, state) in unknown_runs {
            let row = OutboxRow {
                fingerprint,
                run,
                state,
            };
            context
                .outbox
                .add_from_peer(row, now.after(PEER_WRITE_DELAY));
        }
    }
}

/// Clears the crashes under a request to which `target` has sent a whole response with this status.
pub(super) fn clear_crashes(request: &ActiveRequest<'_>, target: &TargetEntry, status: u16) {
    let context = request.context;
    let fingerprint = request.fingerprint();
    let cleared = context.poison.clear(fingerprint, u32::MAX);
    if cleared.is_empty() {
        return;
    }
    let now = context.clock.now();
    for run in &cleared {
        let row = OutboxRow {
            fingerprint,
            run: *run,
            state: CrashState::Cleared,
        };
        context.outbox.add(row, now.after(WRITE_DELAY));
    }
    context
        .metrics
        .suspects
        .with_label_values(&["cleared"])
        .inc();
    let line = request
        .log_line("crashes_cleared")
        .with_display("fingerprint", fingerprint)
        .with_display("target", &target.id)
        .with("status", status);
    context.events.emit(line.with("crashes", cleared.len()));
}
