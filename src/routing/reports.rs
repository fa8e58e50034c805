//! Plug-in that reads the engines' load reports.

use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use std::sync::Arc;
use std::time::Duration;

inventory::submit! {
    PluginEntry { name: "routing.reports", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let timing = &host.context.settings.timing;
    let load = TimerSpec::new("load", Duration::from_millis(timing.load_ms));
    host.add_timer(
        load,
        |context, _now| async move { read_reports(&context).await },
    );
    Ok(())
}

async fn read_reports(context: &Arc<KernelContext>) {
    let reads = context.targets.all().into_iter().map(|target| {
        let engines = context.engines.clone();
        async move {
            if let Ok(report) = engines.report(target.address).await {
                target.publish(report);
            }
        }
    });
    futures_util::future::join_all(reads).await;
}
