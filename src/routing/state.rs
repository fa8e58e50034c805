//! Routing state shared within one daemon, and the plug-in that registers the routing metrics.

use crate::kernel::{PluginEntry, PluginError, PluginHost};
use crate::poison::PoisonTable;
use crate::routing::{GraphTable, IsolationGrants, RoutingMetrics};
use std::sync::OnceLock;

inventory::submit! {
    PluginEntry { name: "routing.metrics", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let metrics = RoutingMetrics::register(&host.context.metrics)?;
    if host.context.routing.metrics.set(metrics).is_err() {
        return Err(PluginError::Metric(
            "routing metrics are registered already".to_owned(),
        ));
    }
    Ok(())
}

/// State that requests and the routing plug-ins share.
#[derive(Debug, Default)]
pub struct RoutingState {
    /// Layer graphs of the models.
    pub graphs: GraphTable,
    /// Crash counts of requests that crash engines.
    pub poison: PoisonTable,
    /// Engines reserved for isolated runs of peers.
    pub grants: IsolationGrants,
    metrics: OnceLock<RoutingMetrics>,
}

impl RoutingState {
    /// Calls `count` with the metrics; does nothing before they are registered.
    pub fn with_metrics(&self, count: impl FnOnce(&RoutingMetrics)) {
        if let Some(metrics) = self.metrics.get() {
            count(metrics);
        }
    }
}
