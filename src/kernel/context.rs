//! Context shared by all plug-ins.

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
use crate::wire::ResponseBudget;
use std::sync::{Arc, OnceLock};

/// Shared state of one daemon, safe to use from any thread.
#[derive(Debug)]
pub struct KernelContext {
    /// Settings, as read when the daemon started.
    pub settings: DaemonSettings,
    /// Monotonic clock.
    pub clock: MonoClock,
    /// Service that runs periodic jobs.
    pub timers: TimerService,
    /// Registry of metrics.
    pub metrics: MetricSet,
    /// Finished trace spans that wait for export.
    pub traces: TraceSink,
    /// HTTP client with its connection pool.
    pub pool: Arc<ConnectionPool>,
    /// Client of the platform's key-value store.
    pub store: StoreClient,
    /// Client of the platform's instance list.
    pub instance_client: InstanceClient,
    /// Latest instance list.
    pub instances: InstanceListCell,
    /// Client of the model engines.
    pub engines: EngineClient,
    /// Configuration in force.
    pub config: ConfigCell,
    /// State of the engines as observed by this daemon.
    pub targets: TargetTable,
    /// Routing state that requests share.
    pub routing: RoutingState,
    /// Calls to other daemons.
    pub peers: PeerTransport,
    /// Admission control: team limits, fair queueing and overload protection.
    pub admission: AdmissionGate,
    /// Claims on idempotency keys; set when the plug-in of claims is installed.
    pub claims: OnceLock<Arc<ClaimService>>,
    /// Membership: the daemons as observed by this one.
    pub members: MemberService,
    /// Phase of the daemon and number of requests in progress.
    pub lifecycle: Arc<LifecycleCell>,
}

impl KernelContext {
    /// Creates the context of a daemon with these settings.
    pub fn new(settings: DaemonSettings) -> Arc<Self> {
        let clock = MonoClock::start();
        let timing = &settings.timing;
        let bounds = &settings.bounds;
        let responses = ResponseBudget::with_limit(bounds.body_total_bytes);
        let connect_timeout = timing.connect_timeout();
        let pool = ConnectionPool::with_budget(connect_timeout, bounds.idle_connections, responses);
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
            admission: admission.expect("admission metrics are the first in a new registry"),
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
