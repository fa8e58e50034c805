//! Metrics of admission decisions, load and waits.

use crate::telemetry::MetricSet;
use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

/// Metrics of admission.
#[derive(Debug, Clone)]
pub(super) struct AdmissionMetrics {
    /// Decisions by kind.
    pub(super) decisions: IntCounterVec,
    /// Requests in progress, waiting and allowed, by model.
    pub(super) load: IntGaugeVec,
    /// Time that admitted requests waited for admission, by model.
    pub(super) wait: HistogramVec,
}

impl AdmissionMetrics {
    /// Registers the metrics.
    pub(super) fn new(set: &MetricSet) -> Result<Self, prometheus::Error> {
        Ok(Self {
            decisions: set.counter(
                "admission_total",
                "Admission decisions: admitted, over_limit, overloaded.",
                &["decision"],
            )?,
            load: set.gauge(
                "admission_requests",
                "Requests in progress (running) and waiting, and the concurrency limit, by model.",
                &["model", "state"],
            )?,
            wait: set.latency_histogram(
                "admission_wait_seconds",
                "Time that admitted requests waited for admission.",
                &["model"],
            )?,
        })
    }

    /// Counts a decision: `admitted`, `over_limit` or `overloaded`.
    pub(super) fn count(&self, decision: &str) {
        self.decisions.with_label_values(&[decision]).inc();
    }
}
