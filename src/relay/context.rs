//! What all requests of a relaying daemon share.

use crate::catalog::CatalogCell;
use crate::gateway::TargetPort;
use crate::ids::InstanceId;
use crate::kernel::{LifecycleCell, MonoClock};
use crate::presence::PresenceTable;
use crate::relay::budget::RetryBudget;
use crate::relay::metrics::RelayMetrics;
use crate::relay::ports::RelayCodec;
use crate::relay::settings::{GatewayBounds, GatewaySettings};
use crate::snapshots::RecentPeers;
use crate::targets::ViewCell;
use crate::telemetry::{EventLog, MetricSet};
use crate::units::MonoTime;
use crate::wire::StreamPool;
use arc_swap::ArcSwap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Shared state of a relaying daemon.
#[derive(Debug)]
pub struct RelayContext {
    /// Settings read at start; the bounds may have been replaced since, see [`Self::bounds`].
    pub settings: GatewaySettings,
    bounds: ArcSwap<GatewayBounds>,
    /// Clock.
    pub clock: MonoClock,
    /// Phase and requests in progress.
    pub lifecycle: Arc<LifecycleCell>,
    /// Configuration in force.
    pub catalog: CatalogCell,
    /// Targets.
    pub targets: ViewCell,
    /// Daemons.
    pub presence: PresenceTable,
    /// Daemons that have sent their load lately.
    pub recent_peers: RecentPeers,
    /// Kept connections to targets.
    pub pool: StreamPool<InstanceId>,
    /// Repeats.
    pub budget: RetryBudget,
    /// Translations of heads.
    pub codec: RelayCodec,
    /// Metrics.
    pub metrics: RelayMetrics,
    /// Structured log.
    pub events: EventLog,
    /// Calls to model servers beside requests.
    pub target_port: TargetPort,
    /// When shutting down began, in microseconds of the clock; 0 before.
    drain_start: AtomicU64,
}

/// Most kept connections to each target.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Time after the start of shutting down from which no stream is taken: it could not be sure to end
/// within the grace time.
const STREAM_CUTOFF: Duration = Duration::from_millis(2_800);

/// Time that a request with a whole answer may take while its daemon shuts down; the users' services
/// answer theirs within three seconds or not at all.
const MAX_PLAIN_DURATION: Duration = Duration::from_secs(3);
/// Time before the end of the grace time at which the process ends whatever is in progress.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

impl RelayContext {
    /// Times and shares in force.
    pub fn bounds(&self) -> Arc<GatewayBounds> {
        self.bounds.load_full()
    }

    /// Puts newly read settings in force as far as a running daemon can: the bounds. True when all of
    /// them are in force, false when addresses or names differ, which takes a restart.
    pub fn reload(&self, settings: &GatewaySettings) -> bool {
        self.budget.set_limits(settings.bounds.budget());
        self.bounds.store(Arc::new(settings.bounds.clone()));
        let bounds = self.settings.bounds.clone();
        // Only a daemon that starts asks the first peers.
        let first_peers = self.settings.first_peers.clone();
        GatewaySettings {
            first_peers,
            bounds,
            ..settings.clone()
        } == self.settings
    }

    /// Notes that shutting down has begun.
    pub fn start_draining(&self) {
        self.drain_start
            .store(self.clock.now().0.max(1), Ordering::Release);
    }

    /// Longest time from the start of shutting down to the end of the process.
    pub fn drain_limit(&self) -> Duration {
        self.bounds().grace().saturating_sub(GRACE_MARGIN)
    }

    /// True while a request whose whole answer is due after this time is sure to end before the process.
    pub fn accepts_plain_requests(&self, due: Duration) -> bool {
        let due = due.min(MAX_PLAIN_DURATION);
        self.drain_elapsed()
            .is_none_or(|elapsed| elapsed + due <= self.drain_limit())
    }

    /// True while streams may be started.
    pub fn accepts_streams(&self) -> bool {
        self.drain_elapsed()
            .is_none_or(|elapsed| elapsed < STREAM_CUTOFF)
    }

    /// Time since shutting down began; `None` before.
    fn drain_elapsed(&self) -> Option<Duration> {
        match self.drain_start.load(Ordering::Acquire) {
            0 => None,
            start => Some(self.clock.now().since(MonoTime(start))),
        }
    }
}

impl RelayContext {
    /// Creates the context of a daemon that knows nothing yet.
    ///
    /// # Errors
    /// When a metric's name is taken.
    pub fn new(
        settings: GatewaySettings,
        codec: RelayCodec,
        metrics: &MetricSet,
        events: EventLog,
        target_port: TargetPort,
    ) -> prometheus::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            clock: MonoClock::start(),
            lifecycle: Arc::default(),
            catalog: CatalogCell::default(),
            targets: ViewCell::default(),
            presence: PresenceTable::default(),
            recent_peers: RecentPeers::default(),
            pool: StreamPool::new(MAX_IDLE_CONNECTIONS),
            budget: RetryBudget::new(settings.bounds.budget()),
            codec,
            metrics: RelayMetrics::register(metrics)?,
            events,
            target_port,
            drain_start: AtomicU64::new(0),
            bounds: ArcSwap::from_pointee(settings.bounds.clone()),
            settings,
        }))
    }
}
