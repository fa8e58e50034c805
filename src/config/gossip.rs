//! Gossip of the configuration between daemons: a push after each adoption, and a periodic
//! anti-entropy exchange with one random peer for daemons that the push has missed.

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

/// Number of random peers that are notified right after an adoption.
pub const PUSH_FANOUT: usize = 4;
/// Period of checking whether the next exchange is due.
const EXCHANGE_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Timeout of a notice call.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a pull, which may transfer a whole configuration.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Registers the message handler and the timer of the periodic exchange.
pub(super) fn install(host: &mut PluginHost) {
    host.add_handler(PeerTopic::Config, |context, payload| async move {
        handle_request(&context, &payload)
    });
    let last_exchange = Arc::new(AtomicU64::new(0));
    let spec = TimerSpec::new("config exchange", EXCHANGE_CHECK_PERIOD);
    host.add_timer(spec, move |context, now| {
        let last_exchange = Arc::clone(&last_exchange);
        async move {
            let period = context
                .config
                .with_state(|state| state.exchange_period(now));
            let last = MonoTime(last_exchange.load(Ordering::Relaxed));
            if now.since(last) >= period {
                last_exchange.store(now.0, Ordering::Relaxed);
                exchange_with_random_peer(&context).await;
            }
        }
    });
}

/// Handles a peer's request and returns the encoded reply. When the request names a newer revision,
/// a separate task pulls it, so that the reply is not delayed.
fn handle_request(context: &Arc<KernelContext>, payload: &[u8]) -> Vec<u8> {
    let Ok(request) = ConfigRequest::decode(payload) else {
        return Vec::new();
    };
    let now = context.clock.now();
    let (step, reply) = context.config.with_state(|state| {
        let step = request.notice.map(|notice| state.on_notice(notice, now));
        (step, state.answer_request(&request, now))
    });
    if step == Some(NoticeStep::Pull)
        && let Some(peer) = find_peer_address(context, &request.sender)
    {
        let context = Arc::clone(context);
        task::spawn(async move { pull_config(&context, peer).await });
    }
    reply.encode_to_vec()
}

/// Returns the peer address of a daemon; `None` when it is not in the instance list.
fn find_peer_address(context: &KernelContext, name: &str) -> Option<SocketAddr> {
    let list = context.instances.load();
    let mut routers = list.live(InstanceRole::Router);
    routers
        .find(|row| row.instance.as_str() == name)?
        .peer_address
}

/// Returns the addresses of up to `count` random live peers.
fn choose_random_peers(context: &KernelContext, count: usize) -> Vec<SocketAddr> {
    let list = context.instances.load();
    let own = &context.settings.instance;
    let others = list
        .live(InstanceRole::Router)
        .filter(|row| row.instance != *own);
    let addresses: Vec<SocketAddr> = others.filter_map(|row| row.peer_address).collect();
    fastrand::choose_multiple(addresses, count)
}

/// Notifies a few random peers of the configuration in force.
pub(super) async fn push_notice(context: Arc<KernelContext>) {
    let peers = choose_random_peers(&context, PUSH_FANOUT);
    join_all(
        peers
            .into_iter()
            .map(|peer| exchange_notices(&context, peer)),
    )
    .await;
}

async fn exchange_with_random_peer(context: &Arc<KernelContext>) {
    for peer in choose_random_peers(context, 1) {
        exchange_notices(context, peer).await;
    }
}

/// Exchanges notices with a peer and pulls its configuration when that is newer. A peer that is
/// behind pulls from this daemon when it handles the notice.
async fn exchange_notices(context: &Arc<KernelContext>, peer: SocketAddr) {
    let now = context.clock.now();
    let request = context.config.with_state(|state| state.notice_request(now));
    let Some(reply) = call_peer(context, peer, request, NOTICE_TIMEOUT).await else {
        return;
    };
    let Some(notice) = reply.notice else {
        return;
    };
    if process_notice(context, notice) == NoticeStep::Pull {
        pull_config(context, peer).await;
    }
}

fn process_notice(context: &KernelContext, notice: ConfigNotice) -> NoticeStep {
    let now = context.clock.now();
    context
        .config
        .with_state(|state| state.on_notice(notice, now))
}

async fn pull_config(context: &Arc<KernelContext>, peer: SocketAddr) {
    let now = context.clock.now();
    let request = context
        .config
        .with_state(|state| state.try_start_pull().then(|| state.pull_request(now)));
    let Some(request) = request else {
        return;
    };
    let reply = call_peer(context, peer, request, PULL_TIMEOUT).await;
    context.config.with_state(AdoptionState::finish_pull);
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
                process_notice(context, notice);
            }
        }
        Err(cause) => log::debug!("cannot read configuration pulled from {peer}: {cause}"),
    }
}

async fn call_peer(
    context: &KernelContext,
    peer: SocketAddr,
    mut request: ConfigRequest,
    timeout: Duration,
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
        .call(peer, PeerTopic::Config, payload, timeout)
        .await;
    let bytes = reply.ok()?;
    metrics
        .peer_bytes
        .with_label_values(&["received"])
        .inc_by(bytes.len() as u64);
    ConfigReply::decode(bytes.as_slice()).ok()
}
