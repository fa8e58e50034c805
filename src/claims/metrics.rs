//! Metrics of the claim protocol.

use crate::claims::event::ClaimDecision;
use crate::claims::writer_action::WriterCounts;
use crate::telemetry::MetricSet;
use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

/// Metrics of the claim protocol.
#[derive(Debug, Clone)]
pub struct ClaimMetrics {
    claims: IntCounterVec,
    store_calls: IntCounterVec,
    batched_changes: IntCounterVec,
    latency: HistogramVec,
    memory: IntGaugeVec,
}

impl ClaimMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// When a metric of the same name is registered already.
    pub fn register(set: &MetricSet) -> Result<Self, prometheus::Error> {
        Ok(Self {
            claims: set.counter(
                "claims_total",
                "Claims on idempotency keys by outcome.",
                &["outcome"],
            )?,
            store_calls: set.counter(
                "claim_store_calls_total",
                "Store calls for claims by kind: read, write, committed, conflict, failed.",
                &["kind"],
            )?,
            batched_changes: set.counter(
                "claim_batched_changes_total",
                "Claims and releases in committed writes; divide by those for the mean batch size.",
                &[],
            )?,
            latency: set.latency_histogram(
                "claim_seconds",
                "Time to claim an idempotency key.",
                &[],
            )?,
            memory: set.gauge(
                "claim_memory",
                "Cached claims (rows) and cached responses (bytes).",
                &["kind"],
            )?,
        })
    }

    pub(super) fn count_claim(&self, decision: &ClaimDecision, seconds: f64) {
        let outcome = match decision {
            ClaimDecision::Dispatch => "granted",
            ClaimDecision::Replay(_) => "repeated",
            ClaimDecision::Refuse(refusal) => refusal.name(),
        };
        self.claims.with_label_values(&[outcome]).inc();
        self.latency.with_label_values::<&str>(&[]).observe(seconds);
    }

    pub(super) fn count_store_calls(&self, counts: WriterCounts) {
        let table = [
            ("read", counts.reads),
            ("write", counts.writes),
            ("committed", counts.committed),
            ("conflict", counts.conflicts),
            ("failed", counts.failures),
        ];
        for (kind, count) in table {
            if count > 0 {
                self.store_calls.with_label_values(&[kind]).inc_by(count);
            }
        }
        if counts.changes > 0 {
            self.batched_changes
                .with_label_values::<&str>(&[])
                .inc_by(counts.changes);
        }
    }

    pub(super) fn set_sizes(&self, rows: usize, bytes: usize) {
        for (kind, size) in [("rows", rows), ("bytes", bytes)] {
            let size = i64::try_from(size).unwrap_or(i64::MAX);
            self.memory.with_label_values(&[kind]).set(size);
        }
    }
}
