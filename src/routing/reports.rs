//! Plug-in that reads the engines' load reports and keeps the flow weights up to date.

use crate::ids::InstanceId;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::routing::{OwnHistory, TargetState, weigh_flows};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

inventory::submit! {
    PluginEntry { name: "routing.reports", install }
}

/// Own requests on each engine over the last reads.
type HistoryTable = Mutex<HashMap<InstanceId, OwnHistory>>;

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let timing = &host.context.settings.timing;
    let load = TimerSpec::new("load", Duration::from_millis(timing.load_ms));
    let histories = Arc::new(HistoryTable::default());
    host.add_timer(load, move |context, _now| {
        let histories = Arc::clone(&histories);
        async move {
            read_reports(&context, &histories).await;
            update_weights(&context);
        }
    });
    Ok(())
}

async fn read_reports(context: &Arc<KernelContext>, histories: &HistoryTable) {
    let targets = context.targets.all();
    record_own(context, histories, &targets);
    let reads = targets.into_iter().map(|target| async move {
        if let Ok(report) = context.engines.report(target.address).await {
            let now = context.clock.now();
            let age = Duration::from_millis(report.age_ms).as_micros() as u64;
            let made = crate::units::MonoTime(now.0.saturating_sub(age));
            let histories = histories.lock().expect("history lock is never poisoned");
            let history = histories.get(&target.instance);
            let own_then = history.map_or(0, |history| history.at(made));
            target.publish(report, own_then);
            target.health.join(now);
        }
    });
    futures_util::future::join_all(reads).await;
}

fn record_own(context: &KernelContext, histories: &HistoryTable, targets: &[Arc<TargetState>]) {
    let now = context.clock.now();
    let mut histories = histories.lock().expect("history lock is never poisoned");
    histories.retain(|instance, _| context.targets.get(instance).is_some());
    for target in targets {
        let history = histories.entry(target.instance.clone()).or_default();
        history.record(now, target.in_flight());
    }
}

/// Recomputes the flow weights of every model, as engines and their rates may have changed.
fn update_weights(context: &KernelContext) {
    let Some(config) = context.config.load() else {
        return;
    };
    let now = context.clock.now();
    for entry in config.models() {
        let graph = context.routing.graphs.graph(entry, &context.targets);
        graph.publish_weights(weigh_flows(&graph, now));
    }
}
