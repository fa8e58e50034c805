//! Plug-in that exchanges the fingerprints of requests that crash engines with its peers:
//! each change is broadcast, and periodic anti-entropy repairs missed messages.

use crate::instances::InstanceRole;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::peer::PeerTopic;
use crate::poison::{PoisonFingerprint, PoisonRow};
use crate::routing::isolation::grant_isolation;
use async_std::task;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of one message.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most sends of a notice to a peer that does not reply.
const MAX_NOTICE_SENDS: u32 = 3;
/// Period of the exchange of all fingerprints with a random peer, which repairs missed notices.
const SYNC_PERIOD: Duration = Duration::from_secs(1);

/// Engines that a request needs for itself because it may crash them.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub(super) struct IsolationRow {
    /// Identifier of the isolated run, upper half.
    #[prost(uint64, tag = "1")]
    pub(super) high: u64,
    /// Identifier of the isolated run, lower half.
    #[prost(uint64, tag = "2")]
    pub(super) low: u64,
    /// Engine names; an empty list ends the isolation.
    #[prost(string, repeated, tag = "3")]
    pub(super) instances: Vec<String>,
    /// Longest time of the isolation, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub(super) ttl_ms: u64,
}

/// Message between peers about requests that crash engines.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub(super) struct PoisonNotice {
    /// Crash counts by fingerprint.
    #[prost(message, repeated, tag = "1")]
    pub(super) rows: Vec<PoisonRow>,
    /// Isolation that the sender asks for or has ended.
    #[prost(message, optional, tag = "2")]
    pub(super) isolation: Option<IsolationRow>,
    /// True in a reply that refuses the isolation.
    #[prost(bool, tag = "3")]
    pub(super) refused: bool,
}

inventory::submit! {
    PluginEntry { name: "routing.poison", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    host.add_handler(PeerTopic::Poison, |context, payload| async move {
        let mut reply = make_notice(&context);
        if let Ok(notice) = PoisonNotice::decode(payload.as_slice()) {
            merge_notice(&context, &notice);
            let isolation = notice.isolation.as_ref();
            reply.refused = isolation.is_some_and(|row| !grant_isolation(&context, row));
        }
        reply.encode_to_vec()
    });
    host.add_timer(
        TimerSpec::new("poison sync", SYNC_PERIOD),
        |context, now| async move {
            context.routing.poison.take_expired(now, Duration::ZERO);
            sync_with_random_peer(&context).await;
        },
    );
    Ok(())
}

fn make_notice(context: &KernelContext) -> PoisonNotice {
    let now = context.clock.now();
    let entries = context.routing.poison.entries(now).into_iter();
    PoisonNotice {
        rows: entries
            .map(|(key, entry)| PoisonRow::new(key, &entry, now))
            .collect(),
        ..PoisonNotice::default()
    }
}

fn merge_notice(context: &KernelContext, notice: &PoisonNotice) {
    let now = context.clock.now();
    let max_ttl = context.settings.routing.poison_time();
    for row in &notice.rows {
        let entry = row.entry(now, max_ttl);
        context.routing.poison.merge(row.fingerprint(), &entry, now);
    }
}

/// Addresses of the peers: all other daemons in the instance list.
pub(super) fn peer_addresses(context: &KernelContext) -> Vec<SocketAddr> {
    let list = context.instances.load();
    let others = list
        .instances
        .iter()
        .filter(|row| row.role == InstanceRole::Router)
        .filter(|row| row.instance != context.settings.instance);
    others.filter_map(|row| row.peer_address).collect()
}

async fn sync_with_random_peer(context: &Arc<KernelContext>) {
    let others = peer_addresses(context);
    let Some(address) = fastrand::choice(&others) else {
        return;
    };
    let payload = make_notice(context).encode_to_vec();
    let topic = PeerTopic::Poison;
    let reply = context
        .peers
        .call(*address, topic, payload, NOTICE_TIMEOUT)
        .await;
    if let Ok(reply) = reply
        && let Ok(notice) = PoisonNotice::decode(reply.as_slice())
    {
        merge_notice(context, &notice);
    }
}

/// Sends the crashes of a fingerprint to every peer.
pub(super) fn broadcast_entry(context: &Arc<KernelContext>, fingerprint: PoisonFingerprint) {
    let now = context.clock.now();
    let Some(entry) = context.routing.poison.entry(fingerprint, now) else {
        return;
    };
    let notice = PoisonNotice {
        rows: vec![PoisonRow::new(fingerprint, &entry, now)],
        ..PoisonNotice::default()
    };
    for address in peer_addresses(context) {
        let (context, payload) = (Arc::clone(context), notice.encode_to_vec());
        task::spawn(async move {
            for _ in 0..MAX_NOTICE_SENDS {
                let topic = PeerTopic::Poison;
                let call = context
                    .peers
                    .call(address, topic, payload.clone(), NOTICE_TIMEOUT);
                if call.await.is_ok() {
                    return;
                }
            }
        });
    }
}
