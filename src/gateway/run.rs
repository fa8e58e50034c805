//! Start and graceful shutdown of the relaying daemon.

use crate::feed::{FeedInbox, StoreContactCell};
use crate::gateway::crashes::{CrashStoreDelay, sync_crashes};
use crate::gateway::feeding::{follow_feeds, share_copies};
use crate::gateway::follow::{
    follow_config, follow_presence, follow_targets, log_target_notices, publish_targets,
};
use crate::gateway::leader::run_leader_duty;
use crate::gateway::ports::GatewayPorts;
use crate::gateway::publisher::TargetPublisher;
use crate::gateway::restores::report_restores;
use crate::gateway::targets::TargetRegistry;
use crate::ids::ServiceId;
use crate::kernel::{DaemonPhase, TimerService, TimerSpec};
use crate::loads::exchange_loads;
use crate::mirror::{CALL_KINDS, MirrorSet, count_calls};
use crate::placement::OrderScheduler;
use crate::presence::{
    LeaseSession, LeaseStep, PRESENCE_PREFIX, PresenceRow, RelayAccess, presence_key,
};
use crate::relay::{
    GatewaySettings, PATH_WATCH_PERIOD, RelayContext, serve_callers, serve_peer_requests,
    watch_path,
};
use crate::telemetry::{EventLine, EventLog, MetricSet};
use crate::units::MonoTime;
use crate::wire::WireServer;
use async_std::future::timeout;
use async_std::task;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Result of starting the daemon.
pub type Result<T> = std::result::Result<T, GatewayError>;

/// Period of lease renewal.
const RENEW_PERIOD: Duration = Duration::from_millis(700);
/// Time for each known daemon over which leases of an earlier era of the store are replaced. With
/// two write calls each, it keeps a fleet at 250 write calls a second.
const REJOIN_SPREAD: Duration = Duration::from_millis(8);
/// Period of the leader's duties.
const DUTY_PERIOD: Duration = Duration::from_millis(200);
/// Period of dropping entries whose grace period is over.
const REFRESH_PERIOD: Duration = Duration::from_millis(200);
/// Period of writing crashes under requests to the store.
const CRASH_SYNC_PERIOD: Duration = Duration::from_millis(400);
/// Time for which callers with a cached address response may still connect after this daemon has
/// been removed from new responses.
const CACHED_ADDRESS_TIME: Duration = Duration::from_millis(3_600);
/// Period of logging the calls to the store and how this daemon learns of its changes.
const STORE_LINE_PERIOD: Duration = Duration::from_secs(10);
/// Time limit for revoking the lease at shutdown.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which the last lines of the log are awaited before the process exits.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(150);
/// Period of checking for requests in flight while draining.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Reason why the daemon could not start.
#[derive(Debug)]
pub enum GatewayError {
    /// The address for callers, or the one for requests of other daemons, cannot be bound.
    Listen(io::Error),
    /// A metric cannot be registered because its name is taken.
    Metric(prometheus::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => write!(f, "cannot listen for requests: {cause}"),
            Self::Metric(cause) => write!(f, "cannot register metric: {cause}"),
        }
    }
}

impl std::error::Error for GatewayError {}

/// State of the background tasks around the request path.
#[derive(Debug)]
pub struct GatewayState {
    /// State that is shared with the request path.
    pub context: Arc<RelayContext>,
    pub(super) ports: GatewayPorts,
    pub(super) session: LeaseSession,
    pub(super) presence_key: Arc<str>,
    pub(super) mirrors: MirrorSet,
    /// Changes of the store that another daemon hands on.
    pub(super) inbox: Arc<FeedInbox>,
    /// This daemon's contact with the store.
    pub(super) contact: Arc<StoreContactCell>,
    pub(super) targets: TargetPublisher,
    schedulers: Mutex<HashMap<ServiceId, OrderScheduler>>,
    leaderless_since: Mutex<Option<MonoTime>>,
    crash_delay: Mutex<CrashStoreDelay>,
    /// Earliest time of the next campaign, in microseconds of the clock.
    next_campaign: AtomicU64,
    targets_listed: AtomicBool,
    synced_since: Mutex<Option<MonoTime>>,
    logged: Mutex<HashMap<&'static str, String>>,
}

impl GatewayState {
    pub(super) fn with_targets<T>(
        &self,
        act: impl FnOnce(&mut TargetRegistry, MonoTime) -> T,
    ) -> T {
        let now = self.context.clock.now();
        self.targets.update(|targets| act(targets, now))
    }

    pub(super) fn with_schedulers<T>(
        &self,
        act: impl FnOnce(&mut HashMap<ServiceId, OrderScheduler>) -> T,
    ) -> T {
        let mut schedulers = self
            .schedulers
            .lock()
            .expect("scheduler lock is never poisoned");
        act(&mut schedulers)
    }

    pub(super) fn with_crash_delay<T>(&self, act: impl FnOnce(&mut CrashStoreDelay) -> T) -> T {
        let mut delay = self
            .crash_delay
            .lock()
            .expect("crash delay is never poisoned");
        act(&mut delay)
    }

    /// Earliest time of the next campaign for the lead.
    pub(super) fn next_campaign(&self) -> MonoTime {
        MonoTime(self.next_campaign.load(Ordering::Relaxed))
    }

    /// Sets the earliest time of the next campaign for the lead.
    pub(super) fn postpone_campaign(&self, until: MonoTime) {
        self.next_campaign.store(until.0, Ordering::Relaxed);
    }

    /// Records whether the leader's key exists.
    pub(super) fn record_leader(&self, exists: bool) {
        let now = self.context.clock.now();
        let mut since = self
            .leaderless_since
            .lock()
            .expect("leader lock is never poisoned");
        *since = if exists { None } else { since.or(Some(now)) };
    }

    /// Time since which the leader's key is known to be missing; `None` while there is a leader.
    pub(super) fn leaderless_since(&self) -> Option<MonoTime> {
        *self
            .leaderless_since
            .lock()
            .expect("leader lock is never poisoned")
    }

    /// Remembers `text` as last logged under `name`. True when it differs from the text before.
    pub(super) fn replace_logged(&self, name: &'static str, text: &str) -> bool {
        let mut logged = self.logged.lock().expect("log text lock is never poisoned");
        logged.insert(name, text.to_owned()).as_deref() != Some(text)
    }

    /// Records whether the target list is in sync with the store.
    pub(super) fn record_target_sync(&self, is_synced: bool) {
        let now = self.context.clock.now();
        let mut since = self
            .synced_since
            .lock()
            .expect("sync lock is never poisoned");
        *since = if is_synced { since.or(Some(now)) } else { None };
    }

    /// Time since which the target list has been in sync with the store without interruption.
    pub fn synced_since(&self) -> Option<MonoTime> {
        *self
            .synced_since
            .lock()
            .expect("sync lock is never poisoned")
    }

    /// Records that the target list has been read completely, from the store or from a peer.
    pub(super) fn mark_targets_listed(&self) {
        self.targets_listed.store(true, Ordering::Release);
        self.mark_ready();
    }

    /// Marks the daemon as ready once a configuration and the targets are known.
    pub(super) fn mark_ready(&self) {
        let is_configured = self.context.catalog.load().is_some();
        if is_configured
            && self.targets_listed.load(Ordering::Acquire)
            && self.context.lifecycle.mark_ready()
        {
            self.context.events.emit(EventLine::new("ready"));
        }
    }

    /// True while this daemon leads with a valid lease.
    pub fn leads(&self, now: MonoTime) -> bool {
        self.session.leads(now)
    }

    /// True while the feed of another daemon continues all mirrors.
    pub fn is_fed(&self) -> bool {
        let now = self.context.clock.now();
        let is_covered =
            |(prefix, version): (Arc<str>, _)| self.inbox.covers(&prefix, version, now);
        let versions = self.mirrors.resume_versions();
        versions.is_some_and(|versions| versions.into_iter().all(is_covered))
    }

    /// True while this daemon is ready and not shutting down.
    pub fn is_serving(&self) -> bool {
        self.context.lifecycle.phase() == DaemonPhase::Ready
    }
}

/// Handle of a running daemon.
#[derive(Debug)]
pub struct GatewayHandle {
    state: Arc<GatewayState>,
}

/// Starts the daemon and its background tasks.
///
/// # Errors
/// [`GatewayError::Listen`] when an address for requests cannot be bound, [`GatewayError::Metric`]
/// when a metric's name is taken.
pub fn start_gateway(
    settings: GatewaySettings,
    ports: GatewayPorts,
    metrics: &MetricSet,
    events: EventLog,
) -> Result<GatewayHandle> {
    let server = WireServer::bind(settings.listen.callers).map_err(GatewayError::Listen)?;
    let relay_server = settings.listen.relay.map(WireServer::bind).transpose();
    let relay_server = relay_server.map_err(GatewayError::Listen)?;
    let lease_floor = Duration::from_millis(settings.store.lease_floor_ms);
    let context = RelayContext::new(
        settings,
        ports.relay,
        metrics,
        events,
        ports.targets.clone(),
    );
    let context = context.map_err(GatewayError::Metric)?;
    let store = count_calls(ports.store, &context.metrics.store_requests);
    let ports = GatewayPorts { store, ..ports };
    let row = presence_row(&context);
    context
        .events
        .emit(EventLine::new("start").with_display("listen", context.settings.listen.callers));
    let schema = ports.schema;
    let state = Arc::new(GatewayState {
        presence_key: presence_key(&row),
        session: LeaseSession::new(ports.store.clone(), row, lease_floor),
        targets: TargetPublisher::new(TargetRegistry::new(
            schema.target_prefix,
            schema.read_target,
        )),
        mirrors: MirrorSet::default(),
        inbox: Arc::default(),
        contact: Arc::default(),
        schedulers: Mutex::default(),
        leaderless_since: Mutex::default(),
        crash_delay: Mutex::default(),
        next_campaign: AtomicU64::new(0),
        targets_listed: AtomicBool::new(false),
        synced_since: Mutex::default(),
        logged: Mutex::default(),
        context,
        ports,
    });
    // Feeds continue all mirrors, also those whose task has not begun yet.
    for prefix in [schema.config_prefix, schema.target_prefix, PRESENCE_PREFIX] {
        state.mirrors.mirror(&Arc::from(prefix));
    }
    task::spawn(follow_config(Arc::clone(&state)));
    task::spawn(follow_targets(Arc::clone(&state)));
    task::spawn(follow_presence(Arc::clone(&state)));
    task::spawn(serve_callers(Arc::clone(&state.context), server));
    if let Some(server) = relay_server {
        task::spawn(serve_peer_requests(Arc::clone(&state.context), server));
    }
    task::spawn(report_restores(Arc::clone(&state)));
    task::spawn(share_loads(Arc::clone(&state)));
    task::spawn(share_copies(Arc::clone(&state)));
    task::spawn(follow_feeds(Arc::clone(&state)));
    start_timers(&state);
    Ok(GatewayHandle { state })
}

/// Entry of this daemon in the store.
fn presence_row(context: &RelayContext) -> PresenceRow {
    let settings = &context.settings;
    let access = |address| RelayAccess {
        address,
        token: Arc::clone(&context.relay_token),
    };
    PresenceRow {
        instance: settings.instance.clone(),
        domain: settings.failure_domain.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        relay: settings.listen.relay.map(access),
    }
}

async fn share_loads(state: Arc<GatewayState>) {
    let context = Arc::clone(&state.context);
    let listen = context.settings.listen.peers;
    if let Err(cause) = exchange_loads(context, listen).await {
        log::error!("cannot exchange peer loads on {listen}: {cause}");
    }
}

fn start_timers(state: &Arc<GatewayState>) {
    let timers = TimerService::new(state.context.clock);
    let renewing = Arc::clone(state);
    let renew = move |now| {
        let state = Arc::clone(&renewing);
        Box::pin(async move { renew_lease(&state, now).await }) as futures_lite::future::Boxed<()>
    };
    timers.schedule(TimerSpec::new("lease", RENEW_PERIOD), Arc::new(renew));
    let refreshing = Arc::clone(state);
    let refresh = move |now| {
        let state = Arc::clone(&refreshing);
        Box::pin(async move { refresh_targets(&state, now) }) as futures_lite::future::Boxed<()>
    };
    timers.schedule(TimerSpec::new("targets", REFRESH_PERIOD), Arc::new(refresh));
    let leading = Arc::clone(state);
    let duty = move |_now| {
        let state = Arc::clone(&leading);
        Box::pin(async move { run_leader_duty(&state).await }) as futures_lite::future::Boxed<()>
    };
    timers.schedule(TimerSpec::new("duty", DUTY_PERIOD), Arc::new(duty));
    let logging = Arc::clone(state);
    let line = move |_now| {
        let state = Arc::clone(&logging);
        Box::pin(async move { log_store_calls(&state) }) as futures_lite::future::Boxed<()>
    };
    let line_timer = TimerSpec::new("store calls", STORE_LINE_PERIOD);
    timers.schedule(line_timer, Arc::new(line));
    let watching = Arc::clone(&state.context);
    let watch = move |_now| {
        let context = Arc::clone(&watching);
        Box::pin(async move { watch_path(&context).await }) as futures_lite::future::Boxed<()>
    };
    timers.schedule(TimerSpec::new("path", PATH_WATCH_PERIOD), Arc::new(watch));
    let syncing = Arc::clone(state);
    let sync = move |_now| {
        let state = Arc::clone(&syncing);
        Box::pin(async move { sync_crashes(&state).await }) as futures_lite::future::Boxed<()>
    };
    timers.schedule(TimerSpec::new("crashes", CRASH_SYNC_PERIOD), Arc::new(sync));
}

/// Logs the calls to the store since the start, by their kind.
fn log_store_calls(state: &GatewayState) {
    let requests = &state.context.metrics.store_requests;
    let line = EventLine::new("store_calls").with("is_fed", state.is_fed());
    let line = line.with("role", state.reading_role().name());
    let line = CALL_KINDS.iter().fold(line, |line, kind| {
        line.with(kind, requests.with_label_values(&[kind]).get())
    });
    state.context.events.emit(line);
}

async fn renew_lease(state: &Arc<GatewayState>, now: MonoTime) {
    if state.context.lifecycle.phase() == DaemonPhase::Draining {
        return;
    }
    let mut renewed = state.session.renew(now, state.is_serving()).await;
    if matches!(renewed, Ok(LeaseStep::Rejoin)) {
        let daemons = state.context.presence.peak_count() as f64;
        task::sleep(REJOIN_SPREAD.mul_f64(daemons * fastrand::f64())).await;
        let now = state.context.clock.now();
        renewed = state.session.rejoin(now, state.is_serving()).await;
    }
    match renewed {
        Ok(LeaseStep::Renew) => state.contact.on_reply(now),
        Ok(LeaseStep::Rejoin) => {}
        Err(cause) => log::debug!("cannot renew lease: {cause}"),
    }
}

/// Publishes the targets without those whose grace period is over, and after a response has changed
/// which accept requests.
fn refresh_targets(state: &Arc<GatewayState>, now: MonoTime) {
    let notices = state.with_targets(|targets, _| targets.take_expired(now));
    let is_changed = state.context.targets_changed.swap(false, Ordering::AcqRel);
    if is_changed || !notices.is_empty() {
        log_target_notices(state, notices);
        publish_targets(state);
    }
}

impl GatewayHandle {
    /// State of the background tasks.
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Shuts the daemon down gracefully. Revokes the lease, which removes the daemon from address
    /// responses, and serves until no caller can hold a cached response that names this daemon and
    /// no request is in flight, or until the grace period ends.
    pub async fn drain(self) {
        let context = &self.state.context;
        context.lifecycle.mark_draining();
        context.start_draining();
        context.events.emit(EventLine::new("draining"));
        let started = context.clock.now();
        match timeout(REVOKE_TIMEOUT, self.state.session.revoke()).await {
            Ok(Ok(())) => {}
            Ok(Err(cause)) => log::warn!("cannot revoke lease: {cause}"),
            Err(_elapsed) => log::warn!("lease not revoked within {REVOKE_TIMEOUT:?}"),
        }
        let limit = context.drain_limit();
        loop {
            let elapsed = context.clock.now().since(started);
            if elapsed >= CACHED_ADDRESS_TIME && context.lifecycle.in_progress() == 0 {
                context.stop_accepting();
            }
            // Read again: a request may have been accepted just before.
            let in_progress = context.lifecycle.in_progress();
            let is_idle = !context.accepts_any_request() && in_progress == 0;
            if elapsed >= limit || is_idle {
                context
                    .events
                    .emit(EventLine::new("stop").with("cut", in_progress));
                task::sleep(LOG_FLUSH_TIME).await;
                return;
            }
            task::sleep(DRAIN_POLL_PERIOD).await;
        }
    }
}
