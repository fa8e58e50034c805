//! Plug-in that compares what engines report with what is declared, and orders the difference.

use crate::config::{AcceptedConfig, StagePlacement};
use crate::engine::{EngineOrder, EngineReport, HeldStage};
use crate::ids::FenceNumber;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::reconcile::LeaderCell;
use std::sync::Arc;
use std::time::Duration;

/// Period of reconciliation.
const RECONCILE_PERIOD: Duration = Duration::from_millis(500);

inventory::submit! {
    PluginEntry { name: "reconcile", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let leader = Arc::new(LeaderCell::default());
    let spec = TimerSpec::new("reconcile", RECONCILE_PERIOD);
    host.add_timer(spec, move |context, _now| {
        let leader = Arc::clone(&leader);
        async move {
            leader.refresh(&context).await;
            send_orders(&context, &leader).await;
        }
    });
    Ok(())
}

async fn send_orders(context: &KernelContext, leader: &LeaderCell) {
    let Some(config) = context.config.load() else {
        return;
    };
    for placement in &config.document().placements {
        let Some(fence) = leader.fence(context.clock.now()) else {
            return;
        };
        let report = context.engines.report(placement.address).await;
        if report.is_ok_and(|report| needs_order(&report, placement)) {
            let order = make_order(&config, placement, fence);
            if let Err(cause) = context.engines.order(placement.address, &order).await {
                log::debug!("order to {} failed: {cause}", placement.instance);
            }
        }
    }
}

/// True when the engine neither holds nor loads the placed stage.
fn needs_order(report: &EngineReport, placement: &StagePlacement) -> bool {
    !report.stages.iter().any(|held| held.matches(placement))
}

fn make_order(
    config: &AcceptedConfig,
    placement: &StagePlacement,
    fence: FenceNumber,
) -> EngineOrder {
    let layer_bytes = config
        .model(&placement.model)
        .map_or(0, |entry| entry.spec.layer_bytes);
    let stage = HeldStage {
        model: placement.model.clone(),
        version: placement.version.clone(),
        layers: placement.layers,
        ready: false,
    };
    EngineOrder {
        fence,
        stage: Some(stage),
        layer_bytes,
    }
}
