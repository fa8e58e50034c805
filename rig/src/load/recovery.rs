//! Recovery from a fault: when each affected stream gets its next token, and when throughput has
//! recovered.

use crate::load::faults::FaultSpec;
use crate::load::latency::{LatencyRecorder, RequestRecord};
use crate::load::spec::RunSpec;
use crate::load::summary::{Percentiles, RecoverySummary};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Fault that was injected, and what it affected.
#[derive(Debug, Clone)]
pub(super) struct InjectedFault {
    /// The fault as the run file describes it.
    pub(super) fault: FaultSpec,
    /// Time of the injection, in microseconds from the start of the run.
    pub(super) at: u64,
    /// Identifiers of the requests of which the affected engines had run steps.
    pub(super) requests: HashSet<String>,
    /// Addresses of the affected daemons.
    pub(super) daemons: Vec<SocketAddr>,
}

/// Length of the window over which throughput is measured, in microseconds.
const RATE_WINDOW_MICROS: u64 = 1_000_000;
/// Distance between the starts of successive windows, in microseconds.
const RATE_STEP_MICROS: u64 = 100_000;
/// Share of the smaller of the throughput before the fault and the new bound at which throughput
/// counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Summarises how the streams that the fault affected went on, and when throughput recovered.
pub(super) fn summarise_recovery(
    spec: &RunSpec,
    records: &[RequestRecord],
    injected: &InjectedFault,
    new_bound: f64,
) -> RecoverySummary {
    let hit: Vec<&RequestRecord> = records
        .iter()
        .filter(|record| is_affected(record, injected))
        .collect();
    let mut recorder = LatencyRecorder::default();
    let mut lost = 0;
    for record in &hit {
        match record.tokens.iter().find(|time| **time > injected.at) {
            Some(time) => recorder.gap.saturating_record(time - injected.at),
            None => lost += 1,
        }
    }
    RecoverySummary {
        fault: format!("{:?} {}", injected.fault.fault, injected.fault.index),
        at_ms: injected.at as f64 / 1_000.0,
        hit: hit.len() as u64,
        lost,
        restarted: hit.iter().filter(|record| record.retries > 0).count() as u64,
        next_token: Percentiles::from_histogram(&recorder.gap),
        new_bound,
        throughput_ms: throughput_recovery_ms(spec, records, injected.at, new_bound),
    }
}

/// True when the stream had delivered a token before the fault, ended after it, and used an
/// affected engine or daemon or was retried.
fn is_affected(record: &RequestRecord, injected: &InjectedFault) -> bool {
    let had_begun = record
        .tokens
        .first()
        .is_some_and(|time| *time < injected.at);
    let was_running = record.ended > injected.at && !record.service;
    let used_engine = record.identifiers.iter().any(|identifier| {
        let request = identifier.strip_prefix("chatcmpl-").unwrap_or(identifier);
        injected.requests.contains(request)
    });
    let used_daemon = record
        .daemon
        .is_some_and(|daemon| injected.daemons.contains(&daemon));
    had_begun && was_running && (used_engine || used_daemon || record.retries > 0)
}

/// Time from the fault to the start of the first window in which throughput has recovered, in
/// milliseconds; `None` when there is none before the end of the run.
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
    let recovered_rate = RECOVERED_SHARE * before.min(new_bound);
    let end = spec.duration_ms * 1_000;
    let mut from = at;
    while from + RATE_WINDOW_MICROS <= end {
        if rate(from) >= recovered_rate {
            return Some((from - at) as f64 / 1_000.0);
        }
        from += RATE_STEP_MICROS;
    }
    None
}
