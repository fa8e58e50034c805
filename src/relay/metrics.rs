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
    /// Seconds to the response, or to the first event of a stream, by kind.
    pub latency: HistogramVec,
    /// Calls to the store by call and outcome.
    pub store_calls: IntCounterVec,
    /// Version of the configuration and numbers of targets, chains and daemons that this daemon
    /// knows.
    pub known_state: IntGaugeVec,
}

impl RelayMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// When a metric name is already registered.
    pub fn register(metrics: &MetricSet) -> prometheus::Result<Self> {
        Ok(Self {
            requests: metrics.counter(
                "relay_requests_total",
                "Requests by final outcome",
                &["outcome"],
            )?,
            attempts: metrics.counter(
                "relay_attempts_total",
                "Attempts by outcome",
                &["outcome"],
            )?,
            latency: metrics.latency_histogram(
                "relay_answer_seconds",
                "Time to the response or first event",
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
