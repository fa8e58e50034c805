//! A store, servers and daemons in one program, on loopback.

use crate::fleet::{free_address, wait_until};
use crate::site::model::ModelServer;
use crate::site::plain::PlainServer;
use crate::site::store::SiteStore;
use arbutusmount::{
    EventLog, GatewayBounds, GatewayHandle, GatewayListen, GatewaySettings, GatewayState,
    GatewayStore, MetricSet, start_gateway,
};
use arbutusmount_platform::platform_ports;
use async_std::task;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for daemons to be ready and chains to be whole.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Host of all routes.
const HOST: &str = "desk.example";
/// Layers of the model.
const LAYERS: u64 = 8;

/// How many of what.
#[derive(Debug, Clone, Copy)]
pub struct SiteSpec {
    /// Daemons, in failure domains in turn.
    pub daemons: usize,
    /// Plain servers.
    pub plain_servers: usize,
    /// Model servers in each failure domain; each holds at most half of the model.
    pub models_per_domain: usize,
    /// Failure domains.
    pub domains: usize,
}

impl Default for SiteSpec {
    fn default() -> Self {
        Self {
            daemons: 1,
            plain_servers: 2,
            models_per_domain: 2,
            domains: 1,
        }
    }
}

/// A running site.
#[derive(Debug)]
pub struct SiteFleet {
    /// Store.
    pub store: SiteStore,
    /// Plain servers.
    pub plain_servers: Vec<PlainServer>,
    /// Model servers.
    pub model_servers: Vec<ModelServer>,
    /// Daemons.
    pub daemons: Vec<SiteDaemon>,
}

/// A running daemon.
#[derive(Debug)]
pub struct SiteDaemon {
    /// Where it serves callers.
    pub address: SocketAddr,
    /// What it knows.
    pub state: Arc<GatewayState>,
    handle: GatewayHandle,
}

impl SiteDaemon {
    /// Where it takes messages of other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        self.state.context.settings.listen.peers
    }

    /// Shuts the daemon down and waits until it has.
    pub async fn drain(self) {
        self.handle.drain().await;
    }
}

impl SiteFleet {
    /// Starts a site and waits until its daemons are ready and its chains whole.
    pub fn start(spec: SiteSpec) -> Self {
        let mut site = Self::without_daemons(spec);
        for number in 0..spec.daemons {
            let domain = format!("d{}", number % spec.domains);
            let daemon = site.start_daemon(&format!("router-{number}"), &domain, 0);
            site.daemons.push(daemon);
        }
        site.wait_ready(spec);
        site
    }

    /// Starts the store and the servers, with the first configuration written.
    pub fn without_daemons(spec: SiteSpec) -> Self {
        let store = SiteStore::start();
        store.put("op/config", &sample_config(1));
        let plain_servers: Vec<PlainServer> = (0..spec.plain_servers)
            .map(|number| PlainServer::start(&format!("p-{number}")))
            .collect();
        for server in &plain_servers {
            store.put(
                &format!("servers/{}", server.id()),
                &plain_server_entry(server, "ready"),
            );
        }
        let places =
            (0..spec.domains).flat_map(|d| (0..spec.models_per_domain).map(move |m| (d, m)));
        let model_servers = places
            .map(|(d, m)| {
                ModelServer::start(&store, &format!("m-{d}-{m}"), &format!("d{d}"), "card")
            })
            .collect();
        Self {
            store,
            plain_servers,
            model_servers,
            daemons: Vec::new(),
        }
    }

    /// Starts a daemon that uses one of the store's two addresses and knows where the others are.
    pub fn start_daemon(&self, name: &str, domain: &str, store_address: usize) -> SiteDaemon {
        let settings = GatewaySettings {
            instance: name.parse().expect("an identifier"),
            failure_domain: domain.parse().expect("an identifier"),
            listen: GatewayListen {
                callers: free_address(),
                ready: free_address(),
                addresses: free_address(),
                peers: free_address(),
                metrics: None,
            },
            store: GatewayStore {
                address: self.store.address(store_address),
                lease_floor_ms: 1_000,
            },
            first_peers: self.daemons.iter().map(SiteDaemon::peer_address).collect(),
            bounds: GatewayBounds::default(),
        };
        let address = settings.listen.callers;
        let ports = platform_ports(settings.store.address);
        let events = EventLog::start(name, std::io::sink());
        let handle = start_gateway(settings, ports, &MetricSet::new(), events);
        let handle = handle.expect("the daemon starts on free addresses");
        SiteDaemon {
            address,
            state: Arc::clone(handle.state()),
            handle,
        }
    }

    fn wait_ready(&self, spec: SiteSpec) {
        let ready = || {
            let placed = spec.models_per_domain < 2
                || self
                    .model_servers
                    .iter()
                    .all(|server| server.layers().is_some());
            let known = self.daemons.iter().all(|daemon| {
                let view = daemon.state.context.targets.load();
                let chains = view.chain_count() >= spec.domains || spec.models_per_domain < 2;
                daemon.state.is_serving() && chains
            });
            placed && known
        };
        let wait = wait_until("the site to be ready", READY_LIMIT, || async { ready() });
        task::block_on(wait);
    }
}

/// The list entry of a plain server.
pub fn plain_server_entry(server: &PlainServer, state: &str) -> Value {
    json!({
        "Service": "shop", "Address": server.address().to_string(), "Zone": "d0", "Version": "v1",
        "Slots": 6, "State": state, "ColdRemainingMs": 0, "Sequence": 1,
    })
}

/// A configuration: repeatable calls under `/get/`, calls that may run once under `/post/`, streams
/// under `/stream/`; one team with one key.
pub fn sample_config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "Name": name, "Host": HOST, "Prefix": format!("/{name}/"), "RouteType": kind,
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
                "usual": {"prompt": 100, "answer": 60}, "Layers": LAYERS, "LayerMb": 100.0,
                "Kinds": [{"Name": "card", "SizeMb": 500.0, "pace": 1.0, "ReadFactor": 1.0}],
            }},
        ],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 100_000, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": "franchise", "ApiKeys": ["key-1"], "Priority": 1}],
    })
}
