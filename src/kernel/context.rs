//! What all plug-ins share.

use crate::admission::AdmissionGate;
use crate::claims::ClaimService;
use crate::config::ConfigCell;
use crate::engine::EngineClient;
use crate::http::ConnectionPool;
use crate::instances::{InstanceClient, InstanceListCell};
use crate::kernel::{LifecycleCell, MonoClock, TimerService};
use crate::membership::MemberService;
use crate::peer::PeerTransport;
use crate::routing::{RoutingState, TargetTable};
use crate::settings::DaemonSettings;
use crate::store::StoreClient;
use crate::telemetry::{MetricSet, TraceSink};
use std::sync::{Arc, OnceLock};

/// Shared state of one daemon. Fields are read-mostly and safe to use from any thread.
#[derive(Debug)]
pub struct KernelContext {
    /// Settings read at start.
    pub settings: DaemonSettings,
    /// Monotonic clock.
    pub clock: MonoClock,
    /// Timer service.
    pub timers: TimerService,
    /// Metrics.
    pub metrics: MetricSet,
    /// Spans.
    pub traces: TraceSink,
    /// Client connections.
    pub pool: Arc<ConnectionPool>,
    /// Key-value service.
    pub store: StoreClient,
    /// Instance list client.
    pub instance_client: InstanceClient,
    /// Newest instance list.
    pub instances: InstanceListCell,
    /// Model engines.
    pub engines: EngineClient,
    /// Configuration in force.
    pub config: ConfigCell,
    /// State of the engines as this daemon sees it.
    pub targets: TargetTable,
    /// Shared state of routing.
    pub routing: RoutingState,
    /// Messages to other daemons.
    pub peers: PeerTransport,
    /// Limits, fairness and overload.
    pub admission: AdmissionGate,
    /// Claims on idempotency keys, once their plug-in is installed.
    pub claims: OnceLock<Arc<ClaimService>>,
    /// The daemons as this one sees them.
    pub members: MemberService,
    /// Phase and requests in progress.
    pub lifecycle: Arc<LifecycleCell>,
}

impl KernelContext {
    /// Builds the context of a daemon with these settings.
    pub fn new(settings: DaemonSettings) -> Arc<Self> {
        let clock = MonoClock::start();
        let timing = &settings.timing;
        let pool = ConnectionPool::new(timing.connect_timeout(), settings.bounds.idle_connections);
        let platform = &settings.platform;
        let store = StoreClient::new(Arc::clone(&pool), platform.store, timing.store_timeout());
        let instance_client = InstanceClient::new(
            Arc::clone(&pool),
            platform.instances,
            timing.store_timeout(),
        );
        let engines = EngineClient::new(Arc::clone(&pool), timing.engine_head_timeout());
        let peers = PeerTransport::new(&settings.peer_key, timing.connect_timeout());
        let metrics = MetricSet::new();
        let ceiling = settings.bounds.requests;
        let admission = AdmissionGate::new(clock, settings.admission.clone(), ceiling, &metrics);
        Arc::new(Self {
            admission: admission.expect("a new registry has no metrics yet"),
            clock,
            timers: TimerService::new(clock),
            metrics,
            traces: TraceSink::new(&settings),
            store,
            instance_client,
            instances: InstanceListCell::default(),
            engines,
            config: ConfigCell::new(),
            targets: TargetTable::default(),
            routing: RoutingState::default(),
            peers,
            claims: OnceLock::new(),
            members: MemberService::new(&settings, clock),
            lifecycle: Arc::default(),
            pool,
            settings,
        })
    }
}
