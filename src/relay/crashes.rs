//! Crashes of targets under requests: what this daemon has found out, and what other daemons tell.

use crate::feed::is_first_reader;
use crate::poison::{
    CrashState, CrashedRun, OutboxRow, PartId, PoisonEntry, PoisonFingerprint, PoisonRow,
};
use crate::relay::context::RelayContext;
use crate::relay::exchange::ActiveRequest;
use crate::targets::TargetEntry;
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a crash counts.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Most crashes in one message to other daemons, about 1.3 KB.
const MAX_DIGEST_CRASHES: usize = 32;
/// Time after which the first reader of a failure domain writes the crashes of the domain to the store, or
/// removes cleared ones, so that few calls hold many. Most requests that were beside a crash are
/// answered whole before and cost no call.
const READER_WRITE_DELAY: Duration = Duration::from_millis(600);
/// The same for a crash that another daemon has found out itself, if the reader has not written it.
const OWN_WRITE_DELAY: Duration = Duration::from_millis(2_500);
/// The same for a crash that another daemon has been told of.
const PEER_WRITE_DELAY: Duration = Duration::from_millis(3_500);
/// Longest random addition to that time, as many daemons are told at once.
const PEER_WRITE_SPREAD: Duration = Duration::from_millis(1_500);

/// A part of a prompt that a request shares with others.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectPart {
    /// Identifier on the wire.
    pub id: PartId,
    /// Fingerprint under which its crashes are recorded.
    pub fingerprint: PoisonFingerprint,
}

/// A request under which a target has ended.
#[derive(Debug)]
pub(super) struct CrashedRequest {
    /// Id of the request in logs.
    pub log_id: Arc<str>,
    /// Fingerprint of the request.
    pub fingerprint: PoisonFingerprint,
    /// Parts of its prompt that it shares with others.
    pub parts: Vec<SuspectPart>,
    /// Target that ended.
    pub target: Arc<TargetEntry>,
}

impl CrashedRequest {
    /// Fingerprints that may be to blame: that of the request, and those of its parts that no whole
    /// answer has lately shown to be harmless.
    fn suspects(&self, context: &RelayContext, now: MonoTime) -> Vec<PoisonFingerprint> {
        let parts = self.parts.iter().map(|part| part.fingerprint);
        let parts = parts.filter(|part| !context.harmless.contains(*part, now));
        std::iter::once(self.fingerprint).chain(parts).collect()
    }
}

/// Records that targets ended under requests.
pub(super) fn record_crashes(context: &RelayContext, crashed: &[CrashedRequest], now: MonoTime) {
    let mut added = Vec::new();
    let mut logged = Vec::new();
    for request in crashed {
        let run = request.target.crashed_run();
        let entry = PoisonEntry::new([run], CrashState::Counted, now.after(CRASH_RETENTION));
        let is_new = |one: &PoisonFingerprint| {
            let unknown_runs = context.poison.unknown_runs(*one, &entry, now);
            !unknown_runs.is_empty()
        };
        let suspects = request.suspects(context, now);
        if is_new(&request.fingerprint) {
            logged.push((request, suspects.clone()));
        }
        let new = suspects.into_iter().filter(is_new);
        added.extend(new.map(|one| (one, entry.clone())));
    }
    context.poison.merge_all(&added, now);
    for (fingerprint, entry) in &added {
        for run in runs_to_tell(context, *fingerprint, entry, now) {
            add_to_outbox(context, *fingerprint, run, CrashState::Counted, now);
        }
    }
    for (request, suspects) in logged {
        log_crash(context, request, &suspects, now);
    }
}

/// The runs of a fingerprint that go to the store: those of the entry that was added, and the one
/// known before if it was the only one, which the outbox may have dropped.
fn runs_to_tell(
    context: &RelayContext,
    fingerprint: PoisonFingerprint,
    added: &PoisonEntry,
    now: MonoTime,
) -> Vec<CrashedRun> {
    let known = context.poison.entry(fingerprint, now);
    let runs: Vec<CrashedRun> = known.iter().flat_map(PoisonEntry::counted).collect();
    if runs.len() == 2 {
        return runs;
    }
    added.counted().collect()
}

/// Who found a crash out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashSource {
    /// This daemon.
    Own,
    /// Another daemon, which has told of it.
    Peer,
}

/// Time at which this daemon writes a crash to the store, unless another one has done so.
fn write_time(context: &RelayContext, source: CrashSource, now: MonoTime) -> MonoTime {
    let settings = &context.settings;
    let rows = context.presence.rows();
    let is_reader = is_first_reader(rows.values(), &settings.instance, &settings.failure_domain);
    let delay = match source {
        _ if is_reader => READER_WRITE_DELAY,
        CrashSource::Own => OWN_WRITE_DELAY,
        CrashSource::Peer => PEER_WRITE_DELAY + PEER_WRITE_SPREAD.mul_f64(fastrand::f64()),
    };
    now.after(delay)
}

fn add_to_outbox(
    context: &RelayContext,
    fingerprint: PoisonFingerprint,
    run: CrashedRun,
    state: CrashState,
    now: MonoTime,
) {
    let row = OutboxRow {
        fingerprint,
        run,
        state,
    };
    let due = write_time(context, CrashSource::Own, now);
    context.outbox.add(row, due);
}

fn log_crash(
    context: &RelayContext,
    request: &CrashedRequest,
    suspects: &[PoisonFingerprint],
    now: MonoTime,
) {
    let is_poison = context.poison.refusal_time(suspects, now).is_some();
    let outcome = if is_poison { "poison" } else { "suspected" };
    context.metrics.suspects.with_label_values(&[outcome]).inc();
    let parts = request.parts.iter();
    let parts = parts.filter(|part| suspects.contains(&part.fingerprint));
    let parts: Vec<String> = parts
        .map(|part| {
            let crashes = context.poison.crashes(part.fingerprint, now);
            format!("{}={}:{crashes}", part.id, part.fingerprint)
        })
        .collect();
    let target = &request.target;
    let line = EventLine::new("crash_under_request")
        .with("request", request.log_id.as_ref())
        .with_display("fingerprint", request.fingerprint)
        .with_display("target", &target.id)
        .with("started_ms", target.started_ms)
        .with_display("run", target.crashed_run())
        .with("crashes", context.poison.crashes(request.fingerprint, now))
        .with("parts", parts.join(","));
    context.events.emit(line.with("outcome", outcome));
}

/// Crashes to tell other daemons, as the store may not know them yet.
pub(crate) fn unstored_crashes(context: &RelayContext) -> Vec<PoisonRow> {
    let now = context.clock.now();
    let until = now.after(CRASH_RETENTION);
    let known_runs = |fingerprint| context.poison.known_runs(fingerprint, now);
    let rows = context.outbox.rows(MAX_DIGEST_CRASHES, now, known_runs);
    let rows = rows.into_iter().map(|row| {
        let entry = PoisonEntry::new([row.run], row.state, until);
        PoisonRow::new(row.fingerprint, &entry, now)
    });
    rows.collect()
}

/// Records the crashes that another daemon tells of. If that daemon does not write them to the
/// store soon, this one does. Those of parts that are known to be harmless here are cleared.
pub(crate) fn merge_peer_crashes(context: &RelayContext, rows: &[PoisonRow]) {
    let now = context.clock.now();
    let mut added = Vec::new();
    for row in rows {
        let (fingerprint, entry) = (row.fingerprint(), row.entry(now, CRASH_RETENTION));
        let unknown_runs = context.poison.unknown_runs(fingerprint, &entry, now);
        if unknown_runs.is_empty() {
            continue;
        }
        added.push((fingerprint, entry));
        for (run, state) in unknown_runs {
            let row = OutboxRow {
                fingerprint,
                run,
                state,
            };
            let due = write_time(context, CrashSource::Peer, now);
            context.outbox.add_from_peer(row, due);
        }
    }
    context.poison.merge_all(&added, now);
    for (fingerprint, entry) in &added {
        for run in runs_to_tell(context, *fingerprint, entry, now) {
            let row = OutboxRow {
                fingerprint: *fingerprint,
                run,
                state: CrashState::Counted,
            };
            let due = write_time(context, CrashSource::Peer, now);
            context.outbox.add_from_peer(row, due);
        }
        if context.harmless.contains(*fingerprint, now) {
            clear_fingerprint(context, *fingerprint, now);
        }
    }
}

/// Clears the crashes under a request to which `target` has sent a whole response with this status,
/// and those under the parts of its prompt.
pub(super) fn clear_crashes(request: &ActiveRequest<'_>, target: &TargetEntry, status: u16) {
    let context = request.context;
    let now = context.clock.now();
    for fingerprint in request.fingerprints() {
        let crashes = clear_fingerprint(context, fingerprint, now);
        if crashes == 0 {
            continue;
        }
        let line = request
            .log_line("crashes_cleared")
            .with_display("fingerprint", fingerprint)
            .with_display("target", &target.id)
            .with("status", status);
        context.events.emit(line.with("crashes", crashes));
    }
}

/// Clears the crashes under these requests and parts: they were answered, and their targets have gone
/// on running.
pub(super) fn clear_survivors(
    context: &RelayContext,
    survived: &[PoisonFingerprint],
    now: MonoTime,
) {
    context.harmless.record(survived, now);
    for fingerprint in survived {
        clear_fingerprint(context, *fingerprint, now);
    }
}

/// Clears the crashes of a fingerprint and returns their number.
fn clear_fingerprint(
    context: &RelayContext,
    fingerprint: PoisonFingerprint,
    now: MonoTime,
) -> usize {
    let cleared = context.poison.clear(fingerprint, u32::MAX);
    for run in &cleared {
        add_to_outbox(context, fingerprint, *run, CrashState::Cleared, now);
    }
    if !cleared.is_empty() {
        let counter = &context.metrics.suspects;
        counter.with_label_values(&["cleared"]).inc();
    }
    cleared.len()
}
