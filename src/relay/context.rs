//! State shared by all requests of a relaying daemon.

use crate::catalog::{CallerLimits, CatalogCell, RetryRule};
use crate::gateway::TargetPort;
use crate::ids::InstanceId;
use crate::kernel::{LifecycleCell, MonoClock};
use crate::lending::RetryLoan;
use crate::limits::{KeeperTable, PermitReply};
use crate::peer::QuestionClient;
use crate::poison::{CrashOutbox, HarmlessParts, PoisonTable};
use crate::presence::{PresenceRow, PresenceTable};
use crate::reach::{PeerReach, ReachCell};
use crate::relay::budget::RetryBudget;
use crate::relay::capacity::CapacityTable;
use crate::relay::distribution::FlowTable;
use crate::relay::metadata::RelayCodec;
use crate::relay::metrics::RelayMetrics;
use crate::relay::refusals::RefusalLog;
use crate::relay::return_time::RefusalPressure;
use crate::relay::settings::{GatewayBounds, GatewaySettings};
use crate::relay::suspicion::SuspicionList;
use crate::snapshots::RecentPeers;
use crate::targets::ViewCell;
use crate::telemetry::{EventLog, MetricSet};
use crate::units::MonoTime;
use crate::wire::{ConnectionBudget, ResponseBudget, StreamPool, UploadLimits};
use arc_swap::ArcSwap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Shared state of a relaying daemon.
#[derive(Debug)]
pub struct RelayContext {
    /// Settings read at start. The bounds may have been reloaded since, see [`Self::bounds`].
    pub settings: GatewaySettings,
    bounds: ArcSwap<GatewayBounds>,
    /// Monotonic clock of this process.
    pub clock: MonoClock,
    /// Phase of the daemon and number of requests in flight.
    pub lifecycle: Arc<LifecycleCell>,
    /// Routing configuration in force.
    pub catalog: CatalogCell,
    /// Latest snapshot of the targets.
    pub targets: ViewCell,
    /// True when a target's response has changed which targets accept requests, so that the snapshot is
    /// out of date.
    pub targets_changed: AtomicBool,
    /// Daemons listed in the store.
    pub presence: PresenceTable,
    /// Daemons that sent their load recently.
    pub recent_peers: RecentPeers,
    /// This daemon's path to the targets.
    pub reach: ReachCell,
    /// Paths of the other daemons, as they state them.
    pub peer_reach: PeerReach,
    /// Secret by which other daemons know this one when it passes a request on.
    pub relay_token: Arc<str>,
    /// Idle connections to other daemons for requests that are passed on.
    pub peer_pool: StreamPool<InstanceId>,
    /// Idle connections to targets.
    pub pool: StreamPool<InstanceId>,
    /// Crashes under requests, as all daemons saw them.
    pub poison: PoisonTable,
    /// Crashes of which not all daemons have been told.
    pub outbox: CrashOutbox,
    /// Parts of prompts that are known not to crash targets.
    pub harmless: HarmlessParts,
    /// Queues for capacity of the services that hand it out by priority.
    pub capacity: CapacityTable,
    /// Share of refused requests.
    pub pressure: RefusalPressure,
    /// Refusals that have been logged.
    pub refusals: RefusalLog,
    /// Attempts that ended without a whole response lately.
    pub suspicions: SuspicionList,
    /// Retry budget.
    pub budget: RetryBudget,
    /// Permits that this daemon hands out to all for the targets that it keeps.
    pub keeper: KeeperTable,
    /// Questions to the keepers of other targets.
    pub permits: QuestionClient<PermitReply>,
    /// Questions to other daemons for retries.
    pub loans: QuestionClient<RetryLoan>,
    /// Distribution of requests by shares.
    pub flows: FlowTable,
    /// Codec of the platform's request and response heads.
    pub codec: RelayCodec,
    /// Connections of callers and peers with the memory that they hold.
    pub connection_budget: ConnectionBudget,
    /// Memory of responses in progress.
    pub response_budget: ResponseBudget,
    /// Time of the last log line on connections that were ended, in microseconds of the clock.
    pub(super) ending_logged_at: AtomicU64,
    /// Metrics of relaying.
    pub metrics: RelayMetrics,
    /// Structured log.
    pub events: EventLog,
    /// Client for calls to targets other than callers' requests, such as queries for reports.
    pub target_port: TargetPort,
    /// Start of draining, the graceful shutdown, in microseconds of the clock; 0 before.
    drain_start: AtomicU64,
    /// True when the process exits as soon as no request is in progress.
    is_stopping: AtomicBool,
}

/// Maximum number of idle connections kept for each target and each daemon.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Time from the start of draining after which no request that could outlast the process is accepted, even if
/// its caller may send it again. Callers with an address response from before have mostly left by then.
const REPEATABLE_CUTOFF: Duration = Duration::from_millis(2_800);
/// Time that such a request must have until the process exits: most streams end within it.
const REPEATABLE_TIME: Duration = Duration::from_millis(4_800);
/// The process exits this long before the grace period ends, whatever is in progress.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

impl RelayContext {
    /// Limits on requests in force.
    pub(super) fn request_limits(&self) -> CallerLimits {
        let catalog = self.catalog.load();
        catalog.map(|catalog| catalog.limits).unwrap_or_default()
    }

    /// Bounds in force.
    pub fn bounds(&self) -> Arc<GatewayBounds> {
        self.bounds.load_full()
    }

    /// Applies the bounds of new settings. Returns false when the settings also differ in addresses
    /// or names, which take effect only after a restart.
    pub fn reload(&self, settings: &GatewaySettings) -> bool {
        self.budget.set_limits(settings.bounds.budget());
        self.bounds.store(Arc::new(settings.bounds.clone()));
        // The bounds have been applied and are left out of the comparison.
        let bounds = self.settings.bounds.clone();
        // So are the first peers: they are contacted only at start, so a change of them needs no
        // restart.
        let first_peers = self.settings.first_peers.clone();
        GatewaySettings {
            first_peers,
            bounds,
            ..settings.clone()
        } == self.settings
    }

    /// Records that draining has begun.
    pub fn start_draining(&self) {
        self.drain_start
            .store(self.clock.now().0.max(1), Ordering::Release);
    }

    /// Accepts no more requests. Those that were counted as in progress before may have been
    /// accepted.
    pub fn stop_accepting(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// True until [`Self::stop_accepting`] is called.
    pub fn accepts_any_request(&self) -> bool {
        !self.is_stopping.load(Ordering::SeqCst)
    }

    /// Longest time from the start of draining to the exit of the process.
    pub fn drain_limit(&self) -> Duration {
        self.bounds().grace().saturating_sub(GRACE_MARGIN)
    }

    /// True if a request that is due within `time_left` is accepted. Always true before draining; during it, one
    /// that may run once only is accepted if it ends before the process exits however long its target
    /// takes. One that may be sent again is also accepted early on, as it most likely ends in time.
    pub fn accepts_request(&self, rule: RetryRule, time_left: Duration) -> bool {
        if !self.accepts_any_request() {
            return false;
        }
        let Some(elapsed) = self.drain_elapsed() else {
            return true;
        };
        let limit = self.drain_limit();
        let ends_in_time = elapsed + time_left <= limit;
        let is_early = elapsed < REPEATABLE_CUTOFF && elapsed + REPEATABLE_TIME <= limit;
        match rule {
            RetryRule::AtMostOnce | RetryRule::Stream { resumable: false } => ends_in_time,
            RetryRule::Idempotent => ends_in_time || is_early,
            RetryRule::Stream { resumable: true } => is_early,
        }
    }

    /// Other daemons that are listed, were heard in the last few seconds and have a path to the targets.
    pub fn sound_peers(&self) -> Vec<PresenceRow> {
        let now = self.clock.now();
        let rows = self.presence.rows();
        let is_sound = |row: &&PresenceRow| {
            row.instance != self.settings.instance && self.peer_reach.is_sound(row.peers, now)
        };
        rows.values().filter(is_sound).cloned().collect()
    }

    /// True while this daemon reaches no target and another one does, so that failures of its own
    /// attempts say nothing about targets.
    pub fn is_cut_off(&self) -> bool {
        self.reach.is_lost() && !self.sound_peers().is_empty()
    }

    /// Time since draining began; `None` before.
    fn drain_elapsed(&self) -> Option<Duration> {
        match self.drain_start.load(Ordering::Acquire) {
            0 => None,
            start => Some(self.clock.now().since(MonoTime(start))),
        }
    }
}

impl RelayContext {
    /// Creates the context of a daemon without configuration or targets.
    ///
    /// # Errors
    /// When a metric name is already registered.
    pub fn new(
        settings: GatewaySettings,
        codec: RelayCodec,
        metrics: &MetricSet,
        events: EventLog,
        target_port: TargetPort,
    ) -> prometheus::Result<Arc<Self>> {
        let clock = MonoClock::start();
        let limits = settings.limits;
        let response_budget = ResponseBudget::of_process(limits.memory_mb);
        let limits = UploadLimits::of_process(limits.memory_mb, limits.descriptors);
        Ok(Arc::new(Self {
            clock,
            connection_budget: ConnectionBudget::new(limits, clock),
            response_budget,
            ending_logged_at: AtomicU64::new(0),
            lifecycle: Arc::default(),
            catalog: CatalogCell::default(),
            targets: ViewCell::default(),
            targets_changed: AtomicBool::new(false),
            presence: PresenceTable::default(),
            recent_peers: RecentPeers::default(),
            reach: ReachCell::default(),
            peer_reach: PeerReach::default(),
            relay_token: draw_token(),
            peer_pool: StreamPool::new(MAX_IDLE_CONNECTIONS),
            pool: StreamPool::new(MAX_IDLE_CONNECTIONS),
            poison: PoisonTable::default(),
            outbox: CrashOutbox::default(),
            harmless: HarmlessParts::default(),
            capacity: CapacityTable::default(),
            pressure: RefusalPressure::default(),
            refusals: RefusalLog::default(),
            suspicions: SuspicionList::default(),
            budget: RetryBudget::new(settings.bounds.budget()),
            keeper: KeeperTable::default(),
            permits: QuestionClient::default(),
            loans: QuestionClient::default(),
            flows: FlowTable::default(),
            codec,
            metrics: RelayMetrics::register(metrics)?,
            events,
            target_port,
            drain_start: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
            bounds: ArcSwap::from_pointee(settings.bounds.clone()),
            settings,
        }))
    }
}

/// Draws a secret of 128 bits.
fn draw_token() -> Arc<str> {
    let mut bytes = [0_u8; 16];
    getrandom::fill(&mut bytes).expect("the system has random bytes");
    Arc::from(format!("{:032x}", u128::from_be_bytes(bytes)))
}
