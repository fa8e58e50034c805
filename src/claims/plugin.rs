//! Plug-in that installs the claim service and its handler for requests of other daemons.

use crate::claims::metrics::ClaimMetrics;
use crate::claims::service::ClaimService;
use crate::kernel::{PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::peer::PeerTopic;
use std::sync::Arc;
use std::time::Duration;

/// Period at which the size metrics are refreshed.
const METRICS_PERIOD: Duration = Duration::from_secs(2);

inventory::submit! {
    PluginEntry { name: "claims", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let metrics = ClaimMetrics::register(&host.context.metrics)?;
    let service = ClaimService::new(&host.context, metrics);
    if host.context.claims.set(Arc::clone(&service)).is_err() {
        let cause = "the claim service was installed twice".to_owned();
        return Err(PluginError::Settings(cause));
    }
    let peer_service = Arc::clone(&service);
    host.add_handler(PeerTopic::Claim, move |_context, payload| {
        Arc::clone(&peer_service).reply_to_peer(payload)
    });
    let spec = TimerSpec::new("claim metrics", METRICS_PERIOD);
    host.add_timer(spec, move |_context, _now| {
        service.refresh_metrics();
        std::future::ready(())
    });
    Ok(())
}
