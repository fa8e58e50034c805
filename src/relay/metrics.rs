//! Counters and latencies of relaying.

use crate::relay::load_metrics::LoadMetrics;
use crate::telemetry::MetricSet;
use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

/// Metrics of relaying.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    /// Requests by final outcome.
    pub requests: IntCounterVec,
    /// Attempts by outcome.
    pub attempts: IntCounterVec,
    /// Requests suspected of crashing targets, by event: `suspected` and `poison` at a crash,
    /// `cleared` at a whole response with success.
    pub suspects: IntCounterVec,
    /// Streams whose target ended them, by how: `framed` by a length or last chunk, and `closed` or
    /// `closed_inside_event` by the end of the connection.
    pub stream_ends: IntCounterVec,
    /// Rate limits of targets, by event: `learned`, `changed` and `ended`, `held_back` for a request
    /// that found no permit, `keeper_silent` for a question without a reply.
    pub limits: IntCounterVec,
    /// Retries between daemons: `borrowed` and `lent` ones, `none_lent` for each time when no daemon that was
    /// asked lent any, and `no_reply` for each question without a reply.
    pub loans: IntCounterVec,
    /// Requests between daemons: `passed_on` to another one, `failed` there, and `taken` from another
    /// one.
    pub peer_requests: IntCounterVec,
    /// Connections that were ended for lack of memory or descriptors, by cause: `idle`, `head`,
    /// `upload_for_others`, and `no_memory` for a request that waited for memory in vain.
    pub ended_connections: IntCounterVec,
    /// Bytes held for heads and bodies (`bytes`) and connections of callers (`connections`).
    pub uploads: IntGaugeVec,
    /// Changes of this daemon's path to all targets: `lost` and `regained`.
    pub paths: IntCounterVec,
    /// Seconds from the arrival of the request head, by kind. The only kind is `first_event`, until
    /// the first bytes of a stream are ready to be forwarded.
    pub latency: HistogramVec,
    /// Calls to the store by call and outcome. With the outcome `fed`, changes came from the feed of
    /// another daemon instead.
    pub store_calls: IntCounterVec,
    /// Calls to the store by their kind.
    pub store_requests: IntCounterVec,
    /// Feeds of other daemons by event: `began`, `ended`, and `rejected` for frames that cannot be used.
    pub feeds: IntCounterVec,
    /// Restores of the store from an older copy, by whether this daemon's entries are back.
    pub store_restores: IntCounterVec,
    /// How capacity is handed out and load is distributed.
    pub load: LoadMetrics,
    /// Seconds of work that is done apart from the threads that serve requests, by kind. The only kind
    /// is `plan`, the placement of a model's layers.
    pub work: HistogramVec,
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
            suspects: metrics.counter(
                "relay_suspects_total",
                "Crashes of targets under requests and requests cleared of them",
                &["event"],
            )?,
            stream_ends: metrics.counter(
                "relay_stream_ends_total",
                "Streams ended by their targets, by how the end was determined",
                &["end"],
            )?,
            limits: metrics.counter(
                "relay_target_limits_total",
                "Rate limits of targets and requests that were held back, by event",
                &["event"],
            )?,
            loans: metrics.counter(
                "relay_retry_loans_total",
                "Retries that daemons lend each other, by event",
                &["event"],
            )?,
            peer_requests: metrics.counter(
                "relay_peer_requests_total",
                "Requests that daemons pass on to each other, by event",
                &["event"],
            )?,
            ended_connections: metrics.counter(
                "relay_ended_connections_total",
                "Connections ended for lack of memory or descriptors, by cause",
                &["cause"],
            )?,
            uploads: metrics.gauge(
                "relay_uploads",
                "Bytes held for heads and bodies of requests, and connections of callers",
                &["figure"],
            )?,
            paths: metrics.counter(
                "relay_paths_total",
                "Changes of the path to all targets, by event",
                &["event"],
            )?,
            latency: metrics.latency_histogram(
                "relay_answer_seconds",
                "Seconds from the arrival of a request to its first event",
                &["kind"],
            )?,
            store_calls: metrics.counter(
                "store_calls_total",
                "Calls to the store by call and outcome",
                &["call", "outcome"],
            )?,
            store_requests: metrics.counter(
                "store_requests_total",
                "Calls to the store by kind",
                &["kind"],
            )?,
            feeds: metrics.counter(
                "store_feeds_total",
                "Feeds of other daemons by event",
                &["event"],
            )?,
            store_restores: metrics.counter(
                "store_restores_total",
                "Restores of the store from an older copy, by outcome for this daemon",
                &["outcome"],
            )?,
            load: LoadMetrics::register(metrics)?,
            work: metrics.latency_histogram(
                "work_seconds",
                "Seconds of work apart from the threads that serve requests",
                &["kind"],
            )?,
            known_state: metrics.gauge(
                "relay_beliefs",
                "Configuration version and numbers of known targets, chains and daemons",
                &["belief"],
            )?,
        })
    }
}
