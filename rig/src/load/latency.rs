//! What becomes of each request, and latencies free of coordinated omission.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A complete answer, equal to the reference.
    Completed,
    /// Refused and not run, with the time to come back.
    Refused,
    /// Refused and not run, without the time to come back.
    RefusedBare,
    /// Part of an answer, said to be partial.
    Partial,
    /// The daemon does not know, or the connection broke and no other could be used.
    Unknown,
    /// An answer that differs from the reference, or one that is cut short and said to be whole.
    Wrong,
    /// Still running when the run was closed.
    Unfinished,
}

/// One request of a run, after it ended.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestRecord {
    /// Number within the run.
    pub number: u64,
    /// Index of the team.
    pub team: usize,
    /// True for a service call.
    pub service: bool,
    /// Intended start, in microseconds from the start of the run.
    pub intended: u64,
    /// Actual start, in microseconds from the start of the run.
    pub sent: u64,
    /// End, in microseconds from the start of the run.
    pub ended: u64,
    /// Tokens wanted.
    pub wanted: u32,
    /// Arrival of each token that no earlier try had delivered, in microseconds from the start.
    pub tokens: Vec<u64>,
    /// Outcome.
    pub outcome: RequestOutcome,
    /// Tries after the first one.
    pub retries: u32,
    /// Identifiers that daemons gave to the tries.
    pub identifiers: Vec<Arc<str>>,
    /// Idempotency key of a service call.
    pub key: Option<Arc<str>>,
    /// Daemon that answered last.
    pub daemon: Option<std::net::SocketAddr>,
}

/// Longest latency that a histogram holds, in microseconds.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// Significant digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies of a run. Time to first token counts from the intended start, so that a request that
/// was sent late, because the system had slowed its caller down, counts its wait in full.
#[derive(Debug, Clone)]
pub struct LatencyRecorder {
    /// Time to first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub gap: Histogram<u64>,
    /// Time from intended start to the whole answer of a completed request, in microseconds.
    pub whole: Histogram<u64>,
}

impl Default for LatencyRecorder {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
                .expect("bounds are valid")
        };
        Self {
            first_token: histogram(),
            gap: histogram(),
            whole: histogram(),
        }
    }
}

impl LatencyRecorder {
    /// Adds a request.
    pub fn add(&mut self, record: &RequestRecord) {
        if let Some(first) = record.tokens.first() {
            self.first_token
                .saturating_record(first.saturating_sub(record.intended));
        }
        for pair in record.tokens.windows(2) {
            self.gap.saturating_record(pair[1].saturating_sub(pair[0]));
        }
        if record.outcome == RequestOutcome::Completed {
            self.whole
                .saturating_record(record.ended.saturating_sub(record.intended));
        }
    }
}

/// A span as microseconds.
pub(super) fn to_micros(span: Duration) -> u64 {
    span.as_micros() as u64
}
