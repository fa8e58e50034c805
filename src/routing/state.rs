//! Shared state of routing in one daemon, and the plug-in that registers its metrics.

use crate::kernel::{PluginEntry, PluginError, PluginHost};
use crate::routing::{GraphTable, IsolationGrants, PoisonTable, RoutingMetrics};
use std::sync::OnceLock;

inventory::submit! {
    PluginEntry { name: "routing.metrics", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let metrics = RoutingMetrics::register(&host.context.metrics)?;
    if host.context.routing.metrics.set(metrics).is_err() {
        return Err(PluginError::Metric("routing is installed twice".to_owned()));
    }
    Ok(())
}

/// What requests and the routing plug-ins share.
#[derive(Debug, Default)]
pub struct RoutingState {
    /// Layer graphs of the models.
    pub graphs: GraphTable,
    /// Requests that crash targets.
    pub poison: PoisonTable,
    /// Engines reserved for trials of other daemons.
    pub grants: IsolationGrants,
    metrics: OnceLock<RoutingMetrics>,
}

impl RoutingState {
    /// Runs `count` on the metrics, once they are registered.
    pub fn with_metrics(&self, count: impl FnOnce(&RoutingMetrics)) {
        if let Some(metrics) = self.metrics.get() {
            count(metrics);
        }
    }
}
