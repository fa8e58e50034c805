//! Plug-in that spreads fingerprints of requests that crash targets to every daemon.

use crate::instances::InstanceRole;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::peer::PeerTopic;
use crate::routing::isolation::join_trial;
use crate::routing::{PoisonEntry, PoisonFingerprint};
use async_std::task;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time allowed for one message.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Times a notice is sent to a daemon that does not answer.
const NOTICE_TRIES: u32 = 3;
/// Period of exchanging all fingerprints with a random daemon, for those that missed a notice.
const SYNC_PERIOD: Duration = Duration::from_secs(1);

/// One fingerprint as it travels; times are relative, as daemons share no clock.
#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
pub(super) struct PoisonRow {
    #[prost(uint64, tag = "1")]
    high: u64,
    #[prost(uint64, tag = "2")]
    low: u64,
    /// Crashes; zero clears the fingerprint.
    #[prost(uint32, tag = "3")]
    crashes: u32,
    #[prost(uint64, tag = "4")]
    ttl_ms: u64,
}

/// Engines that a request wants for itself, because it may crash them.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub(super) struct TrialRow {
    /// Request identifier, upper half.
    #[prost(uint64, tag = "1")]
    pub(super) high: u64,
    /// Request identifier, lower half.
    #[prost(uint64, tag = "2")]
    pub(super) low: u64,
    /// Engine names; none ends the trial.
    #[prost(string, repeated, tag = "3")]
    pub(super) instances: Vec<String>,
    /// Longest time of the trial, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub(super) ttl_ms: u64,
}

/// What daemons tell each other about requests that crash engines.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub(super) struct PoisonNotice {
    #[prost(message, repeated, tag = "1")]
    pub(super) rows: Vec<PoisonRow>,
    /// Trial that the sender wants to begin or has ended.
    #[prost(message, optional, tag = "2")]
    pub(super) trial: Option<TrialRow>,
    /// True in a reply that refuses the trial.
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
            merge(&context, &notice);
            let trial = notice.trial.as_ref();
            reply.refused = trial.is_some_and(|row| !join_trial(&context, row));
        }
        reply.encode_to_vec()
    });
    host.add_timer(
        TimerSpec::new("poison sync", SYNC_PERIOD),
        |context, _now| async move {
            sync_with_one(&context).await;
        },
    );
    Ok(())
}

fn make_row(fingerprint: PoisonFingerprint, crashes: u32, ttl: Duration) -> PoisonRow {
    PoisonRow {
        high: (fingerprint.0 >> 64) as u64,
        low: fingerprint.0 as u64,
        crashes,
        ttl_ms: ttl.as_millis() as u64,
    }
}

fn make_notice(context: &KernelContext) -> PoisonNotice {
    let now = context.clock.now();
    let entries = context.routing.poison.entries(now).into_iter();
    let row = |(key, entry): (_, PoisonEntry)| make_row(key, entry.crashes, entry.until.since(now));
    PoisonNotice {
        rows: entries.map(row).collect(),
        ..PoisonNotice::default()
    }
}

fn merge(context: &KernelContext, notice: &PoisonNotice) {
    let now = context.clock.now();
    let limit = context.settings.routing.poison_crashes;
    let longest = context.settings.routing.poison_time();
    for row in &notice.rows {
        let fingerprint = PoisonFingerprint(u128::from(row.high) << 64 | u128::from(row.low));
        if row.crashes == 0 {
            context.routing.poison.clear(fingerprint, limit);
            continue;
        }
        let ttl = Duration::from_millis(row.ttl_ms).min(longest);
        let entry = PoisonEntry {
            crashes: row.crashes,
            until: now.after(ttl),
        };
        context.routing.poison.record(fingerprint, entry, now);
    }
}

/// Addresses of the other daemons that the instance list names.
pub(super) fn other_daemons(context: &KernelContext) -> Vec<SocketAddr> {
    let list = context.instances.load();
    let others = list
        .instances
        .iter()
        .filter(|row| row.role == InstanceRole::Router)
        .filter(|row| row.instance != context.settings.instance);
    others.filter_map(|row| row.peer_address).collect()
}

async fn sync_with_one(context: &Arc<KernelContext>) {
    let others = other_daemons(context);
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
        merge(context, &notice);
    }
}

/// Tells every daemon of crashes under a request; zero crashes clear it.
pub(super) fn spread(
    context: &Arc<KernelContext>,
    fingerprint: PoisonFingerprint,
    crashes: u32,
    ttl: Duration,
) {
    let notice = PoisonNotice {
        rows: vec![make_row(fingerprint, crashes, ttl)],
        ..PoisonNotice::default()
    };
    for address in other_daemons(context) {
        let (context, payload) = (Arc::clone(context), notice.encode_to_vec());
        task::spawn(async move {
            for _ in 0..NOTICE_TRIES {
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
