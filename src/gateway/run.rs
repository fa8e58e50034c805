//! Starts and stops the relaying daemon.

use crate::gateway::follow::{
    follow_config, follow_presence, follow_targets, publish_targets, report_notes,
};
use crate::gateway::leader::run_duty;
use crate::gateway::ports::GatewayPorts;
use crate::gateway::targets::TargetRegistry;
use crate::ids::ServiceId;
use crate::kernel::{DaemonPhase, TimerService, TimerSpec};
use crate::loads::exchange_loads;
use crate::mirror::MirrorSet;
use crate::placement::OrderScheduler;
use crate::presence::{LeaseSession, PresenceRow, presence_key};
use crate::relay::{GatewaySettings, RelayContext, serve_callers};
use crate::snapshots::serve_snapshots;
use crate::telemetry::{EventLine, EventLog, MetricSet};
use crate::units::MonoTime;
use crate::wire::WireServer;
use async_std::future::timeout;
use async_std::task;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Result of starting the daemon.
pub type Result<T> = std::result::Result<T, GatewayError>;

/// Period of renewing the lease.
const RENEW_PERIOD: Duration = Duration::from_millis(700);
/// Period of the leader's duties and of dropping lapsed entries.
const DUTY_PERIOD: Duration = Duration::from_millis(200);
/// Time for which callers may still come after the address answer no longer names the daemon.
const KEPT_ANSWERS: Duration = Duration::from_millis(3_600);
/// Time allowed for giving up the lease.
const LEAVE_LIMIT: Duration = Duration::from_millis(500);
/// Period of looking whether requests are in progress while draining.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Why the daemon could not start.
#[derive(Debug)]
pub enum GatewayError {
    /// The callers' address cannot be bound.
    Listen(io::Error),
    /// A metric's name is taken.
    Metric(prometheus::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => write!(f, "cannot listen for callers: {cause}"),
            Self::Metric(cause) => write!(f, "metric: {cause}"),
        }
    }
}

impl std::error::Error for GatewayError {}

/// State of the tasks around the request path.
#[derive(Debug)]
pub struct GatewayState {
    /// State of the request path.
    pub context: Arc<RelayContext>,
    pub(super) ports: GatewayPorts,
    pub(super) keeper: LeaseSession,
    pub(super) presence_key: Arc<str>,
    pub(super) shelf: MirrorSet,
    targets: Mutex<TargetRegistry>,
    orders: Mutex<HashMap<ServiceId, OrderScheduler>>,
    vacant: Mutex<Option<MonoTime>>,
    listed: AtomicBool,
    followed: Mutex<Option<MonoTime>>,
    beliefs: Mutex<HashMap<&'static str, String>>,
}

impl GatewayState {
    pub(super) fn with_targets<T>(
        &self,
        act: impl FnOnce(&mut TargetRegistry, MonoTime) -> T,
    ) -> T {
        let now = self.context.clock.now();
        let mut targets = self.targets.lock().expect("targets are never poisoned");
        act(&mut targets, now)
    }

    pub(super) fn with_orders<T>(
        &self,
        act: impl FnOnce(&mut HashMap<ServiceId, OrderScheduler>) -> T,
    ) -> T {
        let mut orders = self.orders.lock().expect("orders are never poisoned");
        act(&mut orders)
    }

    /// Notes whether the leader's key exists.
    pub(super) fn note_leader(&self, exists: bool) {
        let now = self.context.clock.now();
        let mut vacant = self.vacant.lock().expect("vacancy is never poisoned");
        *vacant = if exists { None } else { vacant.or(Some(now)) };
    }

    /// Since when the leader's key is known not to exist.
    pub(super) fn vacant_since(&self) -> Option<MonoTime> {
        *self.vacant.lock().expect("vacancy is never poisoned")
    }

    /// True when a belief differs from what it was when last asked.
    pub(super) fn is_new_belief(&self, name: &'static str, text: &str) -> bool {
        let mut beliefs = self.beliefs.lock().expect("beliefs are never poisoned");
        beliefs.insert(name, text.to_owned()).as_deref() != Some(text)
    }

    /// Notes whether the list of targets is being followed.
    pub(super) fn note_followed(&self, follows: bool) {
        let now = self.context.clock.now();
        let mut followed = self.followed.lock().expect("list state is never poisoned");
        *followed = if follows {
            followed.or(Some(now))
        } else {
            None
        };
    }

    /// Since when the list of targets has been followed without a break.
    pub fn synced_since(&self) -> Option<MonoTime> {
        *self.followed.lock().expect("list state is never poisoned")
    }

    pub(super) fn mark_listed(&self) {
        self.listed.store(true, Ordering::Release);
        self.mark_ready();
    }

    /// Becomes ready once a configuration and the targets are known.
    pub(super) fn mark_ready(&self) {
        let known = self.context.catalog.load().is_some();
        if known && self.listed.load(Ordering::Acquire) && self.context.lifecycle.mark_ready() {
            self.context.events.emit(EventLine::new("ready"));
        }
    }

    /// True while this daemon is ready and not shutting down.
    pub fn is_serving(&self) -> bool {
        self.context.lifecycle.phase() == DaemonPhase::Ready
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct GatewayHandle {
    state: Arc<GatewayState>,
}

/// Starts the daemon.
///
/// # Errors
/// [`GatewayError`] when the callers' address is taken.
pub fn start_gateway(
    settings: GatewaySettings,
    ports: GatewayPorts,
    metrics: &MetricSet,
    events: EventLog,
) -> Result<GatewayHandle> {
    let server = WireServer::bind(settings.listen.callers).map_err(GatewayError::Listen)?;
    let row = PresenceRow {
        instance: settings.instance.clone(),
        domain: settings.failure_domain.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
    };
    let lease_floor = Duration::from_millis(settings.store.lease_floor_ms);
    let context = RelayContext::new(
        settings,
        ports.relay,
        metrics,
        events,
        ports.targets.clone(),
    );
    let context = context.map_err(GatewayError::Metric)?;
    context
        .events
        .emit(EventLine::new("start").show("listen", context.settings.listen.callers));
    let fleet = ports.schema;
    let state = Arc::new(GatewayState {
        presence_key: presence_key(&row),
        keeper: LeaseSession::new(ports.store.clone(), row, lease_floor),
        targets: Mutex::new(TargetRegistry::new(fleet.target_prefix, fleet.read_target)),
        shelf: MirrorSet::default(),
        orders: Mutex::default(),
        vacant: Mutex::default(),
        listed: AtomicBool::new(false),
        followed: Mutex::default(),
        beliefs: Mutex::default(),
        context,
        ports,
    });
    task::spawn(follow_config(Arc::clone(&state)));
    task::spawn(follow_targets(Arc::clone(&state)));
    task::spawn(follow_presence(Arc::clone(&state)));
    task::spawn(serve_callers(Arc::clone(&state.context), server));
    task::spawn(share_loads(Arc::clone(&state)));
    task::spawn(share_copies(Arc::clone(&state)));
    start_timers(&state);
    Ok(GatewayHandle { state })
}

async fn share_loads(state: Arc<GatewayState>) {
    let context = Arc::clone(&state.context);
    let listen = context.settings.listen.peers;
    if let Err(cause) = exchange_loads(context, listen).await {
        log::error!("loads are not exchanged: {cause}");
    }
}

async fn share_copies(state: Arc<GatewayState>) {
    let listen = state.context.settings.listen.peers;
    if let Err(cause) = serve_snapshots(listen, state.shelf.clone()).await {
        log::error!("copies are not served: {cause}");
    }
}

fn start_timers(state: &Arc<GatewayState>) {
    let timers = TimerService::new(state.context.clock);
    let renewing = Arc::clone(state);
    let renew = move |now| {
        let state = Arc::clone(&renewing);
        Box::pin(async move { renew_lease(&state, now).await }) as futures_lite::future::Boxed<()>
    };
    timers.subscribe(TimerSpec::new("lease", RENEW_PERIOD), Arc::new(renew));
    let leading = Arc::clone(state);
    let duty = move |now| {
        let state = Arc::clone(&leading);
        Box::pin(async move {
            drop_lapsed(&state, now);
            run_duty(&state).await;
        }) as futures_lite::future::Boxed<()>
    };
    timers.subscribe(TimerSpec::new("duty", DUTY_PERIOD), Arc::new(duty));
}

async fn renew_lease(state: &Arc<GatewayState>, now: MonoTime) {
    if state.context.lifecycle.phase() == DaemonPhase::Draining {
        return;
    }
    if let Err(cause) = state.keeper.renew(now, state.is_serving()).await {
        log::debug!("lease not renewed: {cause}");
    }
}

fn drop_lapsed(state: &Arc<GatewayState>, now: MonoTime) {
    let notes = state.with_targets(|targets, _| targets.take_expired(now));
    if !notes.is_empty() {
        report_notes(state, notes);
        publish_targets(state);
    }
}

impl GatewayHandle {
    /// The daemon's state.
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Leaves the address answer and serves until no caller can hold an answer that names this daemon
    /// and no request is in progress, or the grace time ends.
    pub async fn drain(self) {
        let context = &self.state.context;
        context.lifecycle.mark_draining();
        context.start_draining();
        context.events.emit(EventLine::new("draining"));
        let started = context.clock.now();
        match timeout(LEAVE_LIMIT, self.state.keeper.revoke()).await {
            Ok(Ok(())) => {}
            Ok(Err(cause)) => log::warn!("lease not given up: {cause}"),
            Err(_elapsed) => log::warn!("lease not given up in time"),
        }
        let last = context.drain_limit();
        loop {
            let elapsed = context.clock.now().since(started);
            let idle = context.lifecycle.in_progress() == 0;
            if elapsed >= last || (idle && elapsed >= KEPT_ANSWERS) {
                let cut = context.lifecycle.in_progress();
                context.events.emit(EventLine::new("stop").with("cut", cut));
                task::sleep(DRAIN_POLL.saturating_mul(3)).await;
                return;
            }
            task::sleep(DRAIN_POLL).await;
        }
    }
}
