//! Counters and latencies of relaying.

use crate::telemetry::MetricSet;
use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

/// Metrics of relaying.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    /// Requests by final outcome.
    pub requests: IntCounterVec,
    /// Attempts by outcome.
    pub attempts: IntCounterVec,
    /// Time to the answer, or to a stream's first event, by kind.
    pub latency: HistogramVec,
    /// Calls to the store by kind and outcome.
    pub store_calls: IntCounterVec,
    /// What is believed: version of the configuration, targets, chains, daemons.
    pub known_state: IntGaugeVec,
}

impl RelayMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// When a name is taken.
    pub fn register(metrics: &MetricSet) -> prometheus::Result<Self> {
        Ok(Self {
            requests: metrics.counter(
                "relay_requests_total",
                "Requests by outcome",
                &["outcome"],
            )?,
            attempts: metrics.counter(
                "relay_attempts_total",
                "Attempts by outcome",
                &["outcome"],
            )?,
            latency: metrics.latency_histogram(
                "relay_answer_seconds",
                "Time to the answer",
                &["kind"],
            )?,
            store_calls: metrics.counter(
                "store_calls_total",
                "Calls to the store",
                &["call", "outcome"],
            )?,
            known_state: metrics.gauge(
                "relay_beliefs",
                "What this daemon believes",
                &["belief"],
            )?,
        })
    }
}
