//! Logs what is refused for crashing targets, as daemons find it out together.

use crate::poison::{PoisonEntry, PoisonFingerprint, PoisonTable};
use crate::relay::context::RelayContext;
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use std::collections::BTreeSet;
use std::sync::Mutex;

/// Fingerprints whose requests are refused according to the log.
#[derive(Debug, Default)]
pub struct RefusalLog {
    known: Mutex<BTreeSet<PoisonFingerprint>>,
}

/// Logs the fingerprints whose requests are refused from now on, with the runs that decided it, and
/// those that are not refused any more.
pub(super) fn log_refusals(context: &RelayContext, now: MonoTime) {
    let mut known = context
        .refusals
        .known
        .lock()
        .expect("log is never poisoned");
    if known.is_empty() && context.poison.is_empty() {
        return;
    }
    let refused = context.poison.verdict(now).refused;
    for fingerprint in refused.difference(&known) {
        context
            .metrics
            .suspects
            .with_label_values(&["refused"])
            .inc();
        emit_line(context, EventLine::new("refusal_began"), *fingerprint, now);
    }
    for fingerprint in known.difference(&refused) {
        emit_line(context, EventLine::new("refusal_ended"), *fingerprint, now);
    }
    *known = refused;
}

fn emit_line(
    context: &RelayContext,
    line: EventLine,
    fingerprint: PoisonFingerprint,
    now: MonoTime,
) {
    let line = line
        .with_display("fingerprint", fingerprint)
        .with("crashes", context.poison.crashes(fingerprint, now))
        .with("runs", counted_runs(&context.poison, fingerprint, now));
    context.events.emit(line);
}

/// The runs that count for a fingerprint, separated by commas.
fn counted_runs(poison: &PoisonTable, fingerprint: PoisonFingerprint, now: MonoTime) -> String {
    let entry = poison.entry(fingerprint, now);
    let runs = entry.iter().flat_map(PoisonEntry::counted);
    let runs: Vec<String> = runs.map(|run| run.to_string()).collect();
    runs.join(",")
}
