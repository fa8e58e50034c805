//! Counters and gauges of how capacity is handed out and load is distributed.

use crate::telemetry::MetricSet;
use prometheus::{IntCounterVec, IntGaugeVec};

/// Metrics of the load on targets.
#[derive(Debug, Clone)]
pub struct LoadMetrics {
    /// Requests distributed by shares, by kind: `stream` or `plain`.
    pub distributed: IntCounterVec,
    /// Reserved shares of the failure domain's chains in per cent: `largest` and `mean`.
    pub reserved_shares: IntGaugeVec,
    /// Requests refused for lack of capacity where it is handed out by priority, by cause
    /// (`line_too_long`, `wait_expired`) and priority.
    pub capacity_refusals: IntCounterVec,
    /// Share of the capacity that requests leave to higher priorities, in per cent, by service and priority.
    pub headroom: IntGaugeVec,
    /// Requests that wait for such capacity, by service and priority.
    pub capacity_waiting: IntGaugeVec,
    /// Parts of chains that turned a request away at once and are avoided for a moment.
    pub saturated_parts: IntCounterVec,
}

impl LoadMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// When a metric name is already registered.
    pub fn register(metrics: &MetricSet) -> prometheus::Result<Self> {
        Ok(Self {
            distributed: metrics.counter(
                "relay_distributed_total",
                "Requests distributed over targets by shares, by kind",
                &["kind"],
            )?,
            reserved_shares: metrics.gauge(
                "relay_reserved_share_percent",
                "Reserved shares of the failure domain's chains in per cent",
                &["statistic"],
            )?,
            capacity_refusals: metrics.counter(
                "relay_capacity_refusals_total",
                "Requests refused for lack of capacity, by cause and priority",
                &["cause", "priority"],
            )?,
            headroom: metrics.gauge(
                "relay_headroom_percent",
                "Share of the capacity left to higher priorities in per cent, by service and priority",
                &["service", "priority"],
            )?,
            capacity_waiting: metrics.gauge(
                "relay_capacity_waiting",
                "Requests that wait for capacity, by service and priority",
                &["service", "priority"],
            )?,
            saturated_parts: metrics.counter(
                "relay_saturated_parts_total",
                "Parts of chains that turned a request away at once",
                &["service"],
            )?,
        })
    }
}
