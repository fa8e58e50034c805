//! Recovery from a fault: when each stream that it hit goes on, and when throughput is back.

use crate::load::faults::FaultSpec;
use crate::load::latency::{LatencyRecorder, RequestRecord};
use crate::load::spec::RunSpec;
use crate::load::summary::{Percentiles, RecoverySummary};
use std::collections::HashSet;
use std::net::SocketAddr;

/// A fault that has come, and what it hit.
#[derive(Debug, Clone)]
pub(super) struct InjectedFault {
    /// Fault.
    pub(super) fault: FaultSpec,
    /// Time, in microseconds from the start of the run.
    pub(super) at: u64,
    /// Requests of which the hit engines had run steps.
    pub(super) requests: HashSet<String>,
    /// Daemons that were hit.
    pub(super) daemons: Vec<SocketAddr>,
}

/// Window over which throughput is taken, in microseconds.
const RATE_WINDOW_MICROS: u64 = 1_000_000;
/// Step between windows, in microseconds.
const RATE_STEP_MICROS: u64 = 100_000;
/// Share of the new bound at which throughput counts as back.
const RECOVERED_SHARE: f64 = 0.95;

/// Sums up what became of the streams that were open when the fault came.
pub(super) fn summarise_recovery(
    spec: &RunSpec,
    records: &[RequestRecord],
    moment: &InjectedFault,
    new_bound: f64,
) -> RecoverySummary {
    let hit: Vec<&RequestRecord> = records
        .iter()
        .filter(|record| is_affected(record, moment))
        .collect();
    let mut recorder = LatencyRecorder::default();
    let mut lost = 0;
    for record in &hit {
        match record.tokens.iter().find(|time| **time > moment.at) {
            Some(time) => recorder.gap.saturating_record(time - moment.at),
            None => lost += 1,
        }
    }
    RecoverySummary {
        fault: format!("{:?} {}", moment.fault.fault, moment.fault.index),
        at_ms: moment.at as f64 / 1_000.0,
        hit: hit.len() as u64,
        lost,
        restarted: hit.iter().filter(|record| record.retries > 0).count() as u64,
        next_token: Percentiles::read(&recorder.gap),
        new_bound,
        throughput_ms: throughput_recovery_ms(spec, records, moment.at, new_bound),
    }
}

/// True when the stream had begun, had tokens to come, and ran through what the fault hit.
fn is_affected(record: &RequestRecord, moment: &InjectedFault) -> bool {
    let began = record.tokens.first().is_some_and(|time| *time < moment.at);
    let runs = record.ended > moment.at && !record.service;
    let through_engine = record.identifiers.iter().any(|identifier| {
        let request = identifier.strip_prefix("chatcmpl-").unwrap_or(identifier);
        moment.requests.contains(request)
    });
    let through_daemon = record
        .daemon
        .is_some_and(|daemon| moment.daemons.contains(&daemon));
    began && runs && (through_engine || through_daemon || record.retries > 0)
}

/// Time from the fault until a window's throughput is back, in milliseconds.
fn throughput_recovery_ms(
    spec: &RunSpec,
    records: &[RequestRecord],
    at: u64,
    new_bound: f64,
) -> Option<f64> {
    let mut times: Vec<u64> = records
        .iter()
        .flat_map(|record| record.tokens.iter().copied())
        .collect();
    times.sort_unstable();
    let rate = |from: u64| {
        let to = from + RATE_WINDOW_MICROS;
        let count = times.partition_point(|time| *time < to) - times.partition_point(|t| *t < from);
        count as f64 * 1e6 / RATE_WINDOW_MICROS as f64
    };
    let before = rate(at.saturating_sub(RATE_WINDOW_MICROS));
    let goal = RECOVERED_SHARE * before.min(new_bound);
    let end = spec.duration_ms * 1_000;
    let mut from = at;
    while from + RATE_WINDOW_MICROS <= end {
        if rate(from) >= goal {
            return Some((from - at) as f64 / 1_000.0);
        }
        from += RATE_STEP_MICROS;
    }
    None
}
