//! Metrics of configuration adoption and plan confirmation.

use crate::kernel::KernelContext;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

/// Result of registering the metrics.
pub type Result<T> = std::result::Result<T, prometheus::Error>;

/// Metrics of configuration adoption and plan confirmation.
#[derive(Debug)]
pub struct ConfigMetrics {
    /// Configuration revision in force.
    pub revision: IntGauge,
    /// Number of configurations adopted.
    pub adoptions: IntCounter,
    /// Store reads that returned an older revision than the one in force.
    pub store_behind: IntCounter,
    /// Bytes of configuration messages in calls made by this daemon, by direction.
    pub peer_bytes: IntCounterVec,
    /// Plan confirmations, by outcome.
    pub confirms: IntCounterVec,
}

/// Registers the metrics and stores them in the configuration cell.
pub(super) fn register_config_metrics(context: &KernelContext) -> Result<()> {
    let set = &context.metrics;
    let revision = set.gauge("config_revision", "Configuration revision in force", &[])?;
    let adoptions = set.counter("config_adoptions_total", "Configurations adopted", &[])?;
    let behind = set.counter(
        "config_store_behind_total",
        "Store reads that returned an older revision than the one in force",
        &[],
    )?;
    let peer_bytes = set.counter(
        "config_peer_bytes_total",
        "Bytes of configuration messages in calls made by this daemon, by direction",
        &["direction"],
    )?;
    let confirms = set.counter(
        "config_confirms_total",
        "Plan confirmations by outcome",
        &["outcome"],
    )?;
    context.config.set_metrics(ConfigMetrics {
        revision: revision.with_label_values::<&str>(&[]),
        adoptions: adoptions.with_label_values::<&str>(&[]),
        store_behind: behind.with_label_values::<&str>(&[]),
        peer_bytes,
        confirms,
    });
    Ok(())
}
