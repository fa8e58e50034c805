//! Metrics of admission.

use crate::telemetry::MetricSet;
use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

/// Metrics of admission.
#[derive(Debug, Clone)]
pub(super) struct AdmissionMetrics {
    /// Decisions by kind.
    pub(super) decisions: IntCounterVec,
    /// Requests in progress, waiting and allowed, by model.
    pub(super) load: IntGaugeVec,
    /// Time that admitted requests waited.
    pub(super) wait: HistogramVec,
}

impl AdmissionMetrics {
    /// Registers the metrics.
    pub(super) fn new(set: &MetricSet) -> Result<Self, prometheus::Error> {
        Ok(Self {
            decisions: set.counter(
                "admission_total",
                "Admission decisions: admitted, over_limit, overloaded, abandoned.",
                &["decision"],
            )?,
            load: set.gauge(
                "admission_requests",
                "Requests by state: running, waiting, limit.",
                &["model", "state"],
            )?,
            wait: set.latency(
                "admission_wait_seconds",
                "Time that admitted requests waited.",
                &["model"],
            )?,
        })
    }

    /// Counts a decision.
    pub(super) fn count(&self, decision: &str) {
        self.decisions.with_label_values(&[decision]).inc();
    }
}
