//! Plug-in that runs the membership protocol over the peer connections.

use crate::kernel::{
    DaemonPhase, KernelContext, MonoClock, PluginEntry, PluginError, PluginHost, TimerSpec,
};
use crate::membership::actions::{MemberCall, ProtocolTiming, RequestStep};
use crate::membership::leaving::LeavingTarget;
use crate::membership::protocol::MemberProtocol;
use crate::membership::row::{IncarnationNumber, MemberRow, MemberState};
use crate::membership::view::{MemberView, MemberViewCell};
use crate::membership::wire::MemberMessage;
use crate::peer::PeerTopic;
use crate::settings::DaemonSettings;
use crate::units::MonoTime;
use async_std::task;
use prometheus::{IntCounterVec, IntGaugeVec};
use prost::Message;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

inventory::submit! {
    PluginEntry { name: "membership.service", install }
}

/// Protocol periods added to the suspicion time when leaving: for a failed probe, its indirect
/// probes, and publication of the view.
const LEAVE_MARGIN_PERIODS: u32 = 4;

/// Membership service of this daemon: runs the protocol and publishes its view.
#[derive(Debug)]
pub struct MemberService {
    protocol: Mutex<MemberProtocol>,
    view_cell: MemberViewCell,
    clock: MonoClock,
}

impl MemberService {
    /// Creates the service; the first view contains only this daemon.
    pub fn new(settings: &DaemonSettings, clock: MonoClock) -> Self {
        let own = MemberRow {
            instance: settings.instance.clone(),
            incarnation: first_incarnation(),
            state: MemberState::Alive,
            ready: false,
            address: settings.listen,
            peer_address: settings.peer_listen,
            failure_domain: settings.failure_domain.clone(),
        };
        let timing = ProtocolTiming::new(Duration::from_millis(settings.timing.heartbeat_ms));
        let protocol = MemberProtocol::new(own, timing, fastrand::u64(..));
        let view_cell = MemberViewCell::default();
        view_cell.publish(protocol.view());
        Self {
            protocol: Mutex::new(protocol),
            view_cell,
            clock,
        }
    }

    /// Returns this daemon's current view of the fleet.
    pub fn view(&self) -> Arc<MemberView> {
        self.view_cell.load()
    }

    /// Returns the other daemons that are alive, including suspects.
    pub fn live_peers(&self) -> Vec<MemberRow> {
        self.view_cell.live_peers()
    }

    /// Returns the time after which no other daemon lists this one to callers once it is leaving.
    /// By then, the others have received the announcement or, if partitioned from this daemon, have
    /// declared it dead.
    pub fn leave_propagation_time(&self) -> Duration {
        let protocol = self.lock();
        protocol.suspicion_time() + protocol.period() * LEAVE_MARGIN_PERIODS
    }

    /// Returns the targets that this daemon or another one has seen leaving.
    pub(super) fn marked_targets(&self) -> BTreeSet<LeavingTarget> {
        self.lock().leaving_marks_mut().targets().cloned().collect()
    }

    /// Runs `act` on the protocol at the current time, then logs state changes and publishes the
    /// view.
    pub(super) fn update<T>(&self, act: impl FnOnce(&mut MemberProtocol, MonoTime) -> T) -> T {
        let mut protocol = self.lock();
        let result = act(&mut protocol, self.clock.now());
        for change in protocol.take_changes() {
            match change.from {
                Some(from) => log::info!("{}: {from} to {}", change.instance, change.to),
                None => log::info!("{}: new, {}", change.instance, change.to),
            }
        }
        let view = protocol.view();
        if view != *self.view_cell.load() {
            self.view_cell.publish(view);
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, MemberProtocol> {
        self.protocol
            .lock()
            .expect("membership lock is never poisoned")
    }
}

/// Returns the first incarnation number: the wall-clock time in seconds, so that a restarted daemon
/// supersedes updates about its previous run. After the clock was set back, the daemon has to
/// refute those updates once.
fn first_incarnation() -> IncarnationNumber {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    IncarnationNumber(since_epoch.map_or(1, |span| span.as_secs().max(1)))
}

/// Metrics of the membership protocol.
#[derive(Debug, Clone)]
struct MemberMetrics {
    members: IntGaugeVec,
    events: IntCounterVec,
    bytes: IntCounterVec,
}

impl MemberMetrics {
    fn new(host: &PluginHost) -> Result<Self, PluginError> {
        let set = &host.context.metrics;
        Ok(Self {
            members: set.gauge(
                "members",
                "Number of daemons by state, as seen by this one.",
                &["state"],
            )?,
            events: set.counter(
                "membership_events_total",
                "Probes, failed probes, suspicions raised and refutations sent by this daemon.",
                &["event"],
            )?,
            bytes: set.counter(
                "membership_bytes_total",
                "Bytes of membership messages without framing, by direction.",
                &["direction"],
            )?,
        })
    }

    fn count_bytes(&self, direction: &str, bytes: usize) {
        self.bytes
            .with_label_values(&[direction])
            .inc_by(bytes as u64);
    }

    /// Updates gauges and counters from the protocol's view and counts.
    fn refresh(&self, service: &MemberService) {
        let view = service.view();
        for state in [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Leaving,
            MemberState::Dead,
        ] {
            let gauge = self.members.with_label_values(&[&*state.to_string()]);
            gauge.set(i64::try_from(view.count(state)).unwrap_or(i64::MAX));
        }
        let counts = service.lock().counts();
        for (event, total) in [
            ("probe", counts.probes),
            ("probe_failure", counts.failed_probes),
            ("suspicion", counts.suspicions),
            ("refutation", counts.refutations),
        ] {
            let counter = self.events.with_label_values(&[event]);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let metrics = MemberMetrics::new(host)?;
    let period = Duration::from_millis(host.context.settings.timing.heartbeat_ms);
    let tick_metrics = metrics.clone();
    host.add_timer(
        TimerSpec::new("membership", period),
        move |context, _now| {
            tick(&context, &tick_metrics);
            std::future::ready(())
        },
    );
    let drain_metrics = metrics.clone();
    let context = Arc::clone(&host.context);
    task::spawn(async move {
        context.lifecycle.wait_for_drain().await;
        let calls = context.members.update(MemberProtocol::leave);
        make_calls(&context, &drain_metrics, calls);
    });
    host.add_handler(PeerTopic::Membership, move |context, payload| {
        let metrics = metrics.clone();
        async move { handle_request(&context, &metrics, &payload).await }
    });
    Ok(())
}

fn tick(context: &Arc<KernelContext>, metrics: &MemberMetrics) {
    let is_ready = context.lifecycle.phase() == DaemonPhase::Ready;
    let calls = context.members.update(|protocol, now| {
        let mut calls = protocol.tick(now);
        if is_ready {
            calls.extend(protocol.set_ready(now));
        }
        calls.extend(announce_listed_addresses(context, protocol, now));
        calls
    });
    metrics.refresh(&context.members);
    make_calls(context, metrics, calls);
}

/// Adopts the addresses under which the platform lists this daemon; returns the calls that announce
/// a change.
fn announce_listed_addresses(
    context: &KernelContext,
    protocol: &mut MemberProtocol,
    now: MonoTime,
) -> Vec<MemberCall> {
    let list = context.instances.load();
    let own = |row: &&crate::instances::InstanceRow| row.instance == context.settings.instance;
    match list.instances.iter().find(own) {
        Some(row) => {
            let peer_address = row.peer_address.unwrap_or(context.settings.peer_listen);
            protocol.set_addresses(row.address, peer_address, now)
        }
        None => Vec::new(),
    }
}

fn make_calls(context: &Arc<KernelContext>, metrics: &MemberMetrics, calls: Vec<MemberCall>) {
    for call in calls {
        task::spawn(make_call(Arc::clone(context), metrics.clone(), call));
    }
}

async fn make_call(context: Arc<KernelContext>, metrics: MemberMetrics, call: MemberCall) {
    let reply = perform_call(&context, &metrics, &call).await;
    let further_calls = context
        .members
        .update(|protocol, now| protocol.receive_reply(call.number, reply.as_ref(), now));
    make_calls(&context, &metrics, further_calls);
}

async fn perform_call(
    context: &KernelContext,
    metrics: &MemberMetrics,
    call: &MemberCall,
) -> Option<MemberMessage> {
    send_request(context, metrics, call.address, &call.message, call.timeout).await
}

async fn send_request(
    context: &KernelContext,
    metrics: &MemberMetrics,
    address: std::net::SocketAddr,
    message: &MemberMessage,
    timeout: Duration,
) -> Option<MemberMessage> {
    let payload = message.encode_to_vec();
    metrics.count_bytes("sent", payload.len());
    let pending_reply = context
        .peers
        .call(address, PeerTopic::Membership, payload, timeout);
    let reply = pending_reply.await.ok()?;
    metrics.count_bytes("received", reply.len());
    MemberMessage::decode(reply.as_slice()).ok()
}

/// Handles a request from another daemon and returns the encoded reply. An empty reply does not
/// count as an acknowledgement.
async fn handle_request(
    context: &Arc<KernelContext>,
    metrics: &MemberMetrics,
    payload: &[u8],
) -> Vec<u8> {
    metrics.count_bytes("received", payload.len());
    let Ok(message) = MemberMessage::decode(payload) else {
        return Vec::new();
    };
    let step = context
        .members
        .update(|protocol, now| protocol.receive_request(&message, now));
    let reply = match step {
        RequestStep::Ignore => return Vec::new(),
        RequestStep::Reply(reply) => reply,
        RequestStep::Relay {
            address,
            target,
            timeout,
            message,
        } => {
            let target_reply = send_request(context, metrics, address, &message, timeout).await;
            context
                .members
                .update(|protocol, now| protocol.finish_relay(&target, target_reply.as_ref(), now))
        }
    };
    let payload = reply.encode_to_vec();
    metrics.count_bytes("sent", payload.len());
    payload
}
