//! Plug-in that tells other daemons the demand seen here and keeps the gauges up to date.

use crate::admission::DemandReport;
use crate::instances::InstanceRole;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::peer::PeerTopic;
use prost::Message;
use std::sync::Arc;
use std::time::Duration;

/// Period of telling other daemons the demand seen here.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Time allowed for another daemon to take the message.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(500);

inventory::submit! {
    PluginEntry { name: "admission", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let spec = TimerSpec::new("demand", DEMAND_PERIOD);
    host.add_timer(spec, |context, _now| async move {
        context.admission.update_gauges();
        tell_demand(&context).await;
    });
    host.add_handler(PeerTopic::Limit, |context, payload| async move {
        merge_peer_demand(&context, &payload);
        Vec::new()
    });
    Ok(())
}

async fn tell_demand(context: &Arc<KernelContext>) {
    let rows = context.admission.end_demand_period(DEMAND_PERIOD);
    if rows.is_empty() {
        return;
    }
    let instance = context.settings.instance.to_string();
    let payload = DemandReport { instance, rows }.encode_to_vec();
    let list = context.instances.load();
    let own = &context.settings.instance;
    let peers = list
        .live(InstanceRole::Router)
        .filter(|row| row.instance != *own);
    let calls = peers.filter_map(|row| row.peer_address).map(|address| {
        let payload = payload.clone();
        async move {
            let call = context
                .peers
                .call(address, PeerTopic::Limit, payload, DEMAND_TIMEOUT);
            // A daemon that misses one message hears the next.
            let _missed = call.await.is_err();
        }
    });
    futures_util::future::join_all(calls).await;
}

fn merge_peer_demand(context: &KernelContext, payload: &[u8]) {
    let Ok(share) = DemandReport::decode(payload) else {
        return;
    };
    if let Ok(instance) = share.instance.parse() {
        context.admission.merge_peer_demand(&instance, &share.rows);
    }
}
