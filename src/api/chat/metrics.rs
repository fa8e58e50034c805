//! Metrics of chat requests.

use crate::api::chat::call::ChatCall;
use crate::telemetry::MetricSet;
use prometheus::{HistogramVec, IntCounterVec};

/// Metrics of chat requests.
#[derive(Debug, Clone)]
pub(super) struct ChatMetrics {
    requests: IntCounterVec,
    tokens: IntCounterVec,
    first_token: HistogramVec,
}

impl ChatMetrics {
    /// Registers the metrics.
    pub(super) fn new(set: &MetricSet) -> Result<Self, prometheus::Error> {
        Ok(Self {
            requests: set.counter(
                "chat_requests_total",
                "Chat requests by outcome.",
                &["outcome"],
            )?,
            tokens: set.counter("chat_tokens_total", "Tokens delivered.", &["model"])?,
            first_token: set.latency_histogram(
                "chat_first_token_seconds",
                "Time to first token.",
                &["model"],
            )?,
        })
    }

    /// Counts a request with its outcome.
    pub(super) fn count(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    /// Counts a delivered token; the first one of an answer also records the time to first token.
    pub(super) fn count_token(&self, call: &mut ChatCall, is_first: bool) {
        call.permit.count_token();
        if is_first {
            let seconds = call.start.elapsed().as_secs_f64();
            self.first_token
                .with_label_values(&[&*call.model])
                .observe(seconds);
        }
        self.tokens.with_label_values(&[&*call.model]).inc();
    }
}
