//! Outcome of each request, and latencies without coordinated omission.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Outcome of a request as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The response was complete and equal to the reference text.
    Completed,
    /// The request was refused and not executed; the response had `Retry-After`, or was a stream
    /// that ended with an error event.
    Refused,
    /// The request was refused and not executed, without `Retry-After`, or no daemon was known.
    RefusedBare,
    /// A part of the answer was delivered, and the response said that it was partial.
    Partial,
    /// Outcome unknown: the daemon said so, the connection failed after a service call was sent, or
    /// all attempts failed.
    Unknown,
    /// The answer differed from the reference text, was malformed, or was cut short although the
    /// response said that it was complete.
    Wrong,
    /// The request was still in flight when the run was closed.
    Unfinished,
}

/// Request of a run after it has ended.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestRecord {
    /// Number of the request within the run.
    pub number: u64,
    /// Index of the team in the run.
    pub team: usize,
    /// True for a service call.
    pub service: bool,
    /// Intended start, in microseconds from the start of the run.
    pub intended: u64,
    /// Actual start, in microseconds from the start of the run.
    pub sent: u64,
    /// End, in microseconds from the start of the run.
    pub ended: u64,
    /// Number of tokens requested.
    pub wanted: u32,
    /// Arrival time of each token that no earlier attempt had delivered, in microseconds from the
    /// start of the run.
    pub tokens: Vec<u64>,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Number of retries, that is attempts after the first one.
    pub retries: u32,
    /// Request identifiers that daemons assigned to the attempts.
    pub identifiers: Vec<Arc<str>>,
    /// Idempotency key, for a service call.
    pub key: Option<Arc<str>>,
    /// Daemon to which the last attempt was sent.
    pub daemon: Option<std::net::SocketAddr>,
}

/// Highest latency that the histograms can record, in microseconds.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// Number of significant digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency histograms of a run. The times to the first token and to the end count from the intended
/// start: when a slow system delays the sending of a request, the delay is part of its latency.
/// This avoids coordinated omission.
#[derive(Debug, Clone)]
pub struct LatencyRecorder {
    /// Time from intended start to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between successive tokens, in microseconds.
    pub gap: Histogram<u64>,
    /// Time from intended start to the end of a completed request, in microseconds.
    pub whole: Histogram<u64>,
}

impl Default for LatencyRecorder {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
                .expect("the maximum and the digits are within their limits")
        };
        Self {
            first_token: histogram(),
            gap: histogram(),
            whole: histogram(),
        }
    }
}

impl LatencyRecorder {
    /// Records the latencies of a request.
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

/// Converts a duration to whole microseconds.
pub(super) fn to_micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}
