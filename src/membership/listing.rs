//! Plug-in that reads the platform's instance list and marks engines that are leaving.

use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::platform::{InstanceRole, InstanceState};
use std::sync::Arc;
use std::time::Duration;

inventory::submit! {
    PluginEntry { name: "membership.listing", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let period = Duration::from_millis(host.context.settings.timing.instances_ms);
    let spec = TimerSpec::new("instances", period);
    host.add_timer(spec, |context, _now| async move {
        read_instances(&context).await;
    });
    Ok(())
}

async fn read_instances(context: &Arc<KernelContext>) {
    // While the list cannot be read, the last one stays in use.
    if let Ok(list) = context.instance_client.read().await {
        context.instances.publish(list);
    }
    refresh_targets(context);
}

fn refresh_targets(context: &KernelContext) {
    let Some(config) = context.config.load() else {
        return;
    };
    let placements = &config.document().placements;
    context.targets.replace(
        placements
            .iter()
            .map(|row| (row.instance.clone(), row.address)),
    );
    let list = context.instances.load();
    for row in list
        .instances
        .iter()
        .filter(|row| row.role == InstanceRole::Engine)
    {
        if let Some(target) = context.targets.get(&row.instance) {
            target.set_leaving(row.state == InstanceState::Leaving);
        }
    }
}
