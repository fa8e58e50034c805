//! Metrics of attempts, faults and load reports.

use crate::routing::StageFault;
use crate::telemetry::MetricSet;
use prometheus::{HistogramVec, IntCounterVec};
use std::time::Duration;

/// Metrics of routing. All labels have a small, fixed set of values.
#[derive(Debug, Clone)]
pub struct RoutingMetrics {
    attempts: IntCounterVec,
    faults: IntCounterVec,
    detection: HistogramVec,
    recovery: HistogramVec,
    ejections: IntCounterVec,
    suspects: IntCounterVec,
    load_messages: IntCounterVec,
    load_bytes: IntCounterVec,
}

impl RoutingMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// When a metric of the same name is registered already.
    pub fn register(set: &MetricSet) -> Result<Self, prometheus::Error> {
        let fault = &["fault"];
        Ok(Self {
            attempts: set.counter(
                "routing_attempts_total",
                "Attempts started, by whether they are the first of a request or resume an answer.",
                &["kind"],
            )?,
            faults: set.counter(
                "routing_faults_total",
                "Stages found at fault, by kind of fault.",
                fault,
            )?,
            detection: set.latency_histogram(
                "routing_detection_seconds",
                "Time from the last progress of a request to the detection of the stage at fault.",
                fault,
            )?,
            recovery: set.latency_histogram(
                "routing_recovery_seconds",
                "Time from the last token before a fault to the first token after it.",
                &[],
            )?,
            ejections: set.counter(
                "routing_ejections_total",
                "Ejections of engines after a failure, in full or capped to a short time.",
                &["kind"],
            )?,
            suspects: set.counter(
                "routing_suspects_total",
                "Requests suspected of crashing engines: suspected, cleared, poisoned, refused.",
                &["event"],
            )?,
            load_messages: set.counter(
                "routing_load_messages_total",
                "Load reports read from engines, and load digests sent to peers.",
                &["kind"],
            )?,
            load_bytes: set.counter(
                "routing_load_bytes_total",
                "Bytes of load reports read and of load digests sent.",
                &["kind"],
            )?,
        })
    }

    /// Counts an attempt, which is the first of its request unless `is_resume`.
    pub fn count_attempt(&self, is_resume: bool) {
        let kind = if is_resume { "resume" } else { "first" };
        self.attempts.with_label_values(&[kind]).inc();
    }

    /// Counts a stage at fault and records the time that its detection took.
    pub fn count_fault(&self, fault: StageFault, detection: Duration) {
        let labels = [fault.name()];
        self.faults.with_label_values(&labels).inc();
        let seconds = detection.as_secs_f64();
        self.detection.with_label_values(&labels).observe(seconds);
    }

    /// Records the time from the last token before a fault to the first token after it.
    pub fn observe_recovery(&self, span: Duration) {
        let labels: [&str; 0] = [];
        self.recovery
            .with_label_values(&labels)
            .observe(span.as_secs_f64());
    }

    /// Counts an ejection, which is shortened when `is_capped`.
    pub fn count_ejection(&self, is_capped: bool) {
        let kind = if is_capped { "capped" } else { "full" };
        self.ejections.with_label_values(&[kind]).inc();
    }

    /// Counts a load report that was read from an engine (`read`) or a load digest that was sent to
    /// a peer (`digest`), and its bytes.
    pub fn count_load(&self, kind: &str, bytes: usize) {
        self.load_messages.with_label_values(&[kind]).inc();
        let bytes = bytes as u64;
        self.load_bytes.with_label_values(&[kind]).inc_by(bytes);
    }

    /// Counts an event of a suspected request: `suspected`, `cleared`, `poisoned` or `refused`.
    pub fn count_suspect(&self, event: &str) {
        self.suspects.with_label_values(&[event]).inc();
    }
}
