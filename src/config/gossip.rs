//! Spreads configurations among the daemons: a push after each adoption, and a periodic exchange
//! with one random peer that mends what the push has missed.

use crate::config::adoption::offer_bundle;
use crate::config::messages::{ConfigNotice, ConfigReply, ConfigRequest};
use crate::config::state::{AdoptionState, NoticeStep};
use crate::instances::InstanceRole;
use crate::kernel::{KernelContext, PluginHost, TimerSpec};
use crate::peer::PeerTopic;
use crate::units::MonoTime;
use async_std::task;
use futures_util::future::join_all;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Peers told at once after an adoption.
pub const PUSH_FANOUT: usize = 4;
/// Period of checking whether the next exchange is due.
const EXCHANGE_TICK: Duration = Duration::from_millis(50);
/// Time allowed for a notice.
const NOTICE_LIMIT: Duration = Duration::from_millis(800);
/// Time allowed for a whole configuration.
const PULL_LIMIT: Duration = Duration::from_secs(2);

/// Adds the message handler and the periodic exchange.
pub(super) fn install(host: &mut PluginHost) {
    host.add_handler(PeerTopic::Config, |context, payload| async move {
        answer_peer(&context, &payload)
    });
    let last_exchange = Arc::new(AtomicU64::new(0));
    let spec = TimerSpec::new("config exchange", EXCHANGE_TICK);
    host.add_timer(spec, move |context, now| {
        let last_exchange = Arc::clone(&last_exchange);
        async move {
            let period = context
                .config
                .with_state(|state| state.exchange_period(now));
            let last = MonoTime(last_exchange.load(Ordering::Relaxed));
            if now.since(last) >= period {
                last_exchange.store(now.0, Ordering::Relaxed);
                exchange_notice(&context).await;
            }
        }
    });
}

/// Answers a peer. A newer revision named in its request is pulled from another task.
fn answer_peer(context: &Arc<KernelContext>, payload: &[u8]) -> Vec<u8> {
    let Ok(request) = ConfigRequest::decode(payload) else {
        return Vec::new();
    };
    let now = context.clock.now();
    let (step, reply) = context.config.with_state(|state| {
        let step = request.notice.map(|notice| state.on_notice(notice, now));
        (step, state.answer_request(&request, now))
    });
    if step == Some(NoticeStep::Pull)
        && let Some(peer) = find_peer(context, &request.sender)
    {
        let context = Arc::clone(context);
        task::spawn(async move { pull_config(&context, peer).await });
    }
    reply.encode_to_vec()
}

/// Address of a daemon, if it is listed.
fn find_peer(context: &KernelContext, name: &str) -> Option<SocketAddr> {
    let list = context.instances.load();
    let mut routers = list.live(InstanceRole::Router);
    routers
        .find(|row| row.instance.as_str() == name)?
        .peer_address
}

/// Addresses of up to `count` random live peers.
fn pick_peers(context: &KernelContext, count: usize) -> Vec<SocketAddr> {
    let list = context.instances.load();
    let own = &context.settings.instance;
    let others = list
        .live(InstanceRole::Router)
        .filter(|row| row.instance != *own);
    let addresses: Vec<SocketAddr> = others.filter_map(|row| row.peer_address).collect();
    fastrand::choose_multiple(addresses, count)
}

/// Tells a few random peers about the configuration in force.
pub(super) async fn push_notice(context: Arc<KernelContext>) {
    let peers = pick_peers(&context, PUSH_FANOUT);
    join_all(peers.into_iter().map(|peer| meet_peer(&context, peer))).await;
}

async fn exchange_notice(context: &Arc<KernelContext>) {
    for peer in pick_peers(context, 1) {
        meet_peer(context, peer).await;
    }
}

/// Exchanges notices with a peer, then lets whoever is behind catch up.
async fn meet_peer(context: &Arc<KernelContext>, peer: SocketAddr) {
    let now = context.clock.now();
    let request = context.config.with_state(|state| state.notice_request(now));
    let Some(reply) = ask_peer(context, peer, request, NOTICE_LIMIT).await else {
        return;
    };
    let Some(notice) = reply.notice else {
        return;
    };
    if take_notice(context, notice) == NoticeStep::Pull {
        pull_config(context, peer).await;
    }
}

fn take_notice(context: &KernelContext, notice: ConfigNotice) -> NoticeStep {
    let now = context.clock.now();
    context
        .config
        .with_state(|state| state.on_notice(notice, now))
}

async fn pull_config(context: &Arc<KernelContext>, peer: SocketAddr) {
    let now = context.clock.now();
    let request = context
        .config
        .with_state(|state| state.start_pull().then(|| state.pull_request(now)));
    let Some(request) = request else {
        return;
    };
    let reply = ask_peer(context, peer, request, PULL_LIMIT).await;
    context.config.with_state(AdoptionState::end_pull);
    let Some(reply) = reply else {
        return;
    };
    let bundle = context
        .config
        .with_state(|state| state.bundle_from_reply(&reply));
    match bundle {
        Ok(bundle) => {
            offer_bundle(context, bundle);
            if let Some(notice) = reply.notice {
                take_notice(context, notice);
            }
        }
        Err(cause) => log::debug!("configuration from {peer}: {cause}"),
    }
}

async fn ask_peer(
    context: &KernelContext,
    peer: SocketAddr,
    mut request: ConfigRequest,
    limit: Duration,
) -> Option<ConfigReply> {
    context
        .settings
        .instance
        .as_str()
        .clone_into(&mut request.sender);
    let payload = request.encode_to_vec();
    let metrics = context.config.metrics();
    metrics
        .peer_bytes
        .with_label_values(&["sent"])
        .inc_by(payload.len() as u64);
    let reply = context
        .peers
        .call(peer, PeerTopic::Config, payload, limit)
        .await;
    let bytes = reply.ok()?;
    metrics
        .peer_bytes
        .with_label_values(&["received"])
        .inc_by(bytes.len() as u64);
    ConfigReply::decode(bytes.as_slice()).ok()
}
