//! Plug-in that broadcasts this daemon's demand to its peers and updates the gauges.

use crate::admission::DemandReport;
use crate::instances::InstanceRole;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::peer::PeerTopic;
use prost::Message;
use std::sync::Arc;
use std::time::Duration;

/// Period of the demand broadcast.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of the message to one peer.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(500);

inventory::submit! {
    PluginEntry { name: "admission", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let spec = TimerSpec::new("demand", DEMAND_PERIOD);
    host.add_timer(spec, |context, _now| async move {
        context.admission.update_gauges();
        broadcast_demand(&context).await;
    });
    host.add_handler(PeerTopic::Limit, |context, payload| async move {
        merge_peer_demand(&context, &payload);
        Vec::new()
    });
    Ok(())
}

async fn broadcast_demand(context: &Arc<KernelContext>) {
    let rows = context.admission.end_demand_period(DEMAND_PERIOD);
    if rows.is_empty() {
        return;
    }
    let instance = context.settings.instance.to_string();
    let payload = DemandReport { instance, rows }.encode_to_vec();
    let list = context.instances.load();
    let local = &context.settings.instance;
    let peers = list
        .live(InstanceRole::Router)
        .filter(|row| row.instance != *local);
    let calls = peers.filter_map(|row| row.peer_address).map(|address| {
        let payload = payload.clone();
        async move {
            let call = context
                .peers
                .call(address, PeerTopic::Limit, payload, DEMAND_TIMEOUT);
            // No retry: the next period's message replaces a lost one.
            let _is_lost = call.await.is_err();
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
