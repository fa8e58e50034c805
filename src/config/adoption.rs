//! Plug-in that brings the configuration in the store into force on this daemon.

use crate::config::{AcceptedConfig, AdoptOutcome, ConfigDocument};
use crate::ids::ConfigRevision;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::store::{StoreEvent, StoreRecord, StoreWatch};
use async_std::future::timeout;
use std::sync::Arc;
use std::time::Duration;

/// Key of the configuration document.
pub const CONFIG_KEY: &str = "arbutusmount/config";
/// Pause before a failed watch is opened again.
const WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Longest time without an event before the key is read again, in case the watch is dead.
const WATCH_RECHECK: Duration = Duration::from_secs(3);

inventory::submit! {
    PluginEntry { name: "config.adoption", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let spec = TimerSpec::new("config watch", WATCH_PAUSE);
    host.add_timer(
        spec,
        |context, _now| async move { follow_store(&context).await },
    );
    Ok(())
}

/// Reads the configuration, then follows its changes until the watch fails.
async fn follow_store(context: &Arc<KernelContext>) {
    let Ok(record) = context.store.get(CONFIG_KEY).await else {
        return;
    };
    if let Some(record) = record {
        adopt_record(context, &record);
    }
    let next = context.config.revision().0 + 1;
    let Ok(mut watch) = context.store.watch(CONFIG_KEY, next).await else {
        return;
    };
    while follow_watch(context, &mut watch).await {}
}

/// Takes the next changes; false when the watch must be opened again.
async fn follow_watch(context: &Arc<KernelContext>, watch: &mut StoreWatch) -> bool {
    let Ok(Ok(events)) = timeout(WATCH_RECHECK, watch.next()).await else {
        return false;
    };
    for event in events {
        if let StoreEvent::Put(record) = event {
            adopt_record(context, &record);
        }
    }
    true
}

/// Adopts a record of the configuration key when it is newer than what is in force.
pub fn adopt_record(context: &KernelContext, record: &StoreRecord) {
    let Ok(document) = serde_json::from_slice::<ConfigDocument>(&record.value) else {
        log::error!("configuration at revision {} is malformed", record.revision);
        return;
    };
    let config = AcceptedConfig::new(ConfigRevision(record.revision), document);
    if context.config.adopt(&Arc::new(config)) == AdoptOutcome::Adopted {
        log::info!("configuration revision {} is in force", record.revision);
        context.lifecycle.mark_ready();
    }
}
