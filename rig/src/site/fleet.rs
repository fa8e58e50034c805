//! Starts a site: a metadata store, servers and daemons in one program, on loopback.

use crate::fleet::{free_address, wait_until};
use crate::site::crash::CrashRegistry;
use crate::site::links::ServerLinks;
use crate::site::model::ModelServer;
use crate::site::plain::PlainServer;
use crate::site::store::SiteStore;
use arbutusmount::{
    BalancingSettings, EventLog, GatewayAdmission, GatewayBounds, GatewayHandle, GatewayListen,
    GatewaySettings, GatewayState, GatewayStore, MetricSet, ProcessLimits, start_gateway,
};
use arbutusmount_platform::platform_ports;
use async_std::task;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the daemons to be ready and the chains complete.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Host of all routes.
const ROUTE_HOST: &str = "desk.example";
/// Number of layers of the model.
pub const MODEL_LAYERS: u64 = 8;

/// Size of a site.
#[derive(Debug, Clone, Copy)]
pub struct SiteSpec {
    /// Number of daemons, spread over the failure domains in turn.
    pub daemons: usize,
    /// Number of plain servers.
    pub plain_servers: usize,
    /// Number of model servers in each failure domain; each holds at most half of the model.
    pub models_per_domain: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// True when daemons reach the servers through links that can fail.
    pub is_linked: bool,
    /// True when daemons are set to make fewer calls to the store.
    pub saves_calls: bool,
}

impl Default for SiteSpec {
    fn default() -> Self {
        Self {
            daemons: 1,
            plain_servers: 2,
            models_per_domain: 2,
            domains: 1,
            is_linked: false,
            saves_calls: false,
        }
    }
}

/// A running site.
#[derive(Debug)]
pub struct SiteFleet {
    /// Metadata store.
    pub store: SiteStore,
    /// Servers that requests can crash.
    pub crashes: CrashRegistry,
    /// Plain servers.
    pub plain_servers: Vec<PlainServer>,
    /// Model servers.
    pub model_servers: Vec<ModelServer>,
    /// Running daemons.
    pub daemons: Vec<SiteDaemon>,
    /// True when daemons are set to make fewer calls to the store.
    pub saves_calls: bool,
}

/// A running daemon.
#[derive(Debug)]
pub struct SiteDaemon {
    /// Address for callers.
    pub address: SocketAddr,
    /// State shared by the tasks of the daemon.
    pub state: Arc<GatewayState>,
    /// Its links to the servers.
    pub links: ServerLinks,
    handle: GatewayHandle,
}

impl SiteDaemon {
    /// Address for messages of other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        self.state.context.settings.listen.peers
    }

    /// Drains the daemon and waits until it has shut down.
    pub async fn drain(self) {
        self.handle.drain().await;
    }
}

impl SiteFleet {
    /// Starts a site and waits until its daemons are ready and its chains complete.
    ///
    /// # Panics
    /// When that takes longer than 20 s.
    pub fn start(spec: SiteSpec) -> Self {
        let mut site = Self::without_daemons(spec);
        for number in 0..spec.daemons {
            let domain = format!("d{}", number % spec.domains);
            let name = format!("router-{number}");
            let daemon = if spec.is_linked {
                site.start_linked_daemon(&name, &domain)
            } else {
                site.start_daemon(&name, &domain, 0)
            };
            site.daemons.push(daemon);
        }
        site.wait_ready(spec);
        site
    }

    /// Starts the store and the servers, and writes the first configuration.
    pub fn without_daemons(spec: SiteSpec) -> Self {
        Self::with_store(spec, SiteStore::start())
    }

    /// Does the same as [`Self::without_daemons`], with a filter for the entries that servers write.
    pub fn without_daemons_filtered(
        spec: SiteSpec,
        filter: impl Fn(&str, Value) -> Value + Send + Sync + 'static,
    ) -> Self {
        let store = SiteStore::start();
        store.set_entry_filter(filter);
        Self::with_store(spec, store)
    }

    fn with_store(spec: SiteSpec, store: SiteStore) -> Self {
        store.put("op/config", &sample_config(1));
        let crashes = CrashRegistry::new(store.clone());
        let plain_servers: Vec<PlainServer> = (0..spec.plain_servers)
            .map(|number| PlainServer::start(&store, &crashes, &format!("p-{number}")))
            .collect();
        let places =
            (0..spec.domains).flat_map(|d| (0..spec.models_per_domain).map(move |m| (d, m)));
        let model_servers = places
            .map(|(d, m)| {
                let (id, domain) = (format!("m-{d}-{m}"), format!("d{d}"));
                ModelServer::start(&store, &crashes, &id, &domain, "card")
            })
            .collect();
        Self {
            store,
            crashes,
            plain_servers,
            model_servers,
            daemons: Vec::new(),
            saves_calls: spec.saves_calls,
        }
    }

    /// Starts a daemon. It uses the store's address 0 or 1 and has the daemons started before as
    /// its first peers.
    ///
    /// # Panics
    /// When the daemon does not start.
    pub fn start_daemon(&self, name: &str, domain: &str, store_address: usize) -> SiteDaemon {
        let store = self.store.address(store_address);
        self.start_daemon_at(name, domain, store, ServerLinks::default())
    }

    /// Starts a daemon that reaches the servers through links.
    ///
    /// # Panics
    /// When the daemon does not start.
    pub fn start_linked_daemon(&self, name: &str, domain: &str) -> SiteDaemon {
        let links = ServerLinks::default();
        let store = self.add_linked_view(&links);
        self.start_daemon_at(name, domain, store, links)
    }

    /// Address of the store that names the links as addresses of the servers.
    pub fn add_linked_view(&self, links: &ServerLinks) -> SocketAddr {
        let (links, models) = (links.clone(), self.model_servers.clone());
        self.store.add_view(move |address| {
            let front = links.front(address);
            let model = models.iter().find(|model| model.is_at(address));
            if let Some(model) = model {
                model.add_front(front);
            }
            front
        })
    }

    fn start_daemon_at(
        &self,
        name: &str,
        domain: &str,
        store: SocketAddr,
        links: ServerLinks,
    ) -> SiteDaemon {
        let settings = GatewaySettings {
            instance: name.parse().expect("names and domains of a site are valid"),
            failure_domain: domain
                .parse()
                .expect("names and domains of a site are valid"),
            listen: GatewayListen {
                callers: free_address(),
                ready: free_address(),
                addresses: free_address(),
                peers: free_address(),
                metrics: None,
                relay: Some(free_address()),
            },
            admission: GatewayAdmission::default(),
            store: GatewayStore {
                address: store,
                lease_floor_ms: 1_000,
                save_calls: self.saves_calls,
            },
            first_peers: self.daemons.iter().map(SiteDaemon::peer_address).collect(),
            bounds: GatewayBounds::default(),
            balancing: BalancingSettings::default(),
            limits: ProcessLimits::default(),
        };
        let address = settings.listen.callers;
        let ports = platform_ports(settings.store.address);
        let events = EventLog::start(name, std::io::sink());
        let handle = start_gateway(settings, ports, &MetricSet::new(), events);
        let handle = handle.expect("the daemon starts on free addresses");
        SiteDaemon {
            address,
            state: Arc::clone(handle.state()),
            links,
            handle,
        }
    }

    /// Waits until its daemons are ready and its chains complete.
    ///
    /// # Panics
    /// When that takes longer than 20 s.
    pub fn wait_ready(&self, spec: SiteSpec) {
        let is_ready = || {
            let are_placed = spec.models_per_domain < 2
                || self
                    .model_servers
                    .iter()
                    .all(|server| server.layers().is_some());
            let are_known = self.daemons.iter().all(|daemon| {
                let view = daemon.state.context.targets.load();
                let chains = view.chain_count() >= spec.domains || spec.models_per_domain < 2;
                daemon.state.is_serving() && chains
            });
            are_placed && are_known
        };
        let wait = wait_until("the site to be ready", READY_TIMEOUT, || async {
            is_ready()
        });
        task::block_on(wait);
    }
}

/// Entry of a plain server under `servers/` in the store. `state` is `ready` or `draining`.
pub fn plain_server_entry(server: &PlainServer, state: &str) -> Value {
    json!({
        "Service": "shop", "Address": server.address().to_string(), "Zone": "d0", "Version": "v1",
        "Slots": 6, "State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": server.born_ms(),
    })
}

/// A configuration with three routes: idempotent requests under `/get/`, non-idempotent ones under
/// `/post/` and streams under `/stream/`. One team has one API key.
pub fn sample_config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "Name": name, "Host": ROUTE_HOST, "Prefix": format!("/{name}/"), "RouteType": kind,
            "TimeoutMs": 3_000, "GoalMs": 300, "Priority": 1, "Service": service,
            "MaxAttempts": 2, "Public": false, "Resumable": kind == "streaming",
            "GapTargetMs": 200,
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("get", "idempotent", "shop"),
            route("post", "non_idempotent", "shop"),
            route("stream", "streaming", "desk"),
        ],
        "Services": [
            {"Name": "shop", "HealthPath": "/healthz", "MaxConnections": 100},
            {"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 100, "Engine": {
                "Slots": 64, "KvBytes": 80_000.0, "step_ms": 1.0, "per_seq_ms": 0.01,
                "context_per_k": 0.01, "read_per_s": 100_000.0,
                "usual": {"prompt": 100, "answer": 60}, "Layers": MODEL_LAYERS, "LayerMb": 100.0,
                "Kinds": [{"Name": "card", "SizeMb": 500.0, "pace": 1.0, "ReadFactor": 1.0}],
            }},
        ],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 100_000, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": "franchise", "ApiKeys": ["key-1"], "Priority": 1}],
    })
}
