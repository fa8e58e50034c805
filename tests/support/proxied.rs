//! Fixture: a fleet in which each daemon reaches the store through a proxy of its own.

use crate::support::programs;
use arbutusmount::{
    ConfigRevision, FleetDeclaration, FleetPlan, OperatorClient, PlanRequest, TeamSpec,
};
use rig::{
    EngineKnobs, FaultProxy, FleetSpec, OPERATOR_TOKEN, ProcessFleet, ProxyFaults, free_address,
    sample_declaration, wait_until,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time within which an accepted configuration must be in force on all daemons.
pub const ADOPTION_LIMIT: Duration = Duration::from_secs(7);

/// Fleet in which each daemon reaches the store through a fault-injecting proxy.
pub struct ProxiedFleet {
    /// Processes of the fleet.
    pub fleet: ProcessFleet,
    /// Proxies in front of the store, one per daemon.
    pub proxies: Vec<FaultProxy>,
}

impl ProxiedFleet {
    /// Starts a fleet of daemons and of engines with 8,000 bytes of memory each.
    pub async fn start(daemons: usize, engines: usize) -> Self {
        let spec = FleetSpec {
            daemons: 0,
            engines: vec![(EngineKnobs::default(), 8_000); engines],
            services: 0,
            ..FleetSpec::default()
        };
        let fleet = ProcessFleet::start(spec, programs()).await;
        let mut proxied = Self {
            fleet,
            proxies: Vec::new(),
        };
        for _ in 0..daemons {
            proxied.add_daemon().await;
        }
        proxied
    }

    /// Starts a fleet without engines and declares only teams.
    pub async fn declared(daemons: usize) -> Self {
        let proxied = Self::start(daemons, 0).await;
        proxied.fleet.declare(&teams_only()).await;
        proxied
    }

    /// Starts a fleet that serves the sample model.
    pub async fn serving(daemons: usize) -> Self {
        let proxied = Self::start(daemons, 3).await;
        proxied.fleet.declare(&sample_declaration(1)).await;
        proxied
    }

    /// Starts one more daemon with a proxy of its own.
    pub async fn add_daemon(&mut self) {
        let proxy = FaultProxy::start(free_address(), self.fleet.platform)
            .await
            .expect("the proxy starts");
        let mut addresses = self.fleet.direct_addresses();
        addresses.store = proxy.address();
        self.proxies.push(proxy);
        self.fleet.add_daemon(addresses).await;
    }

    /// Returns the address of a daemon for callers.
    pub fn address(&self, daemon: usize) -> SocketAddr {
        self.fleet.daemons[daemon].addresses.listen
    }

    /// Cuts a daemon off from the store, in both directions.
    pub fn cut_store(&self, daemon: usize) {
        self.proxies[daemon].set_faults(ProxyFaults {
            refuse: true,
            ..ProxyFaults::default()
        });
        self.proxies[daemon].close_connections();
    }

    /// Sets knobs of the platform stand-in.
    pub async fn set_platform(&self, knobs: serde_json::Value) {
        self.fleet.set_knobs(self.fleet.platform, knobs).await;
    }

    /// Returns the revision in force on a daemon; `None` when it does not answer.
    pub async fn revision(&self, daemon: usize) -> Option<ConfigRevision> {
        let status = operator().status(self.address(daemon)).await;
        status.ok().map(|status| status.revision)
    }

    /// Waits until the daemons have `wanted` in force, and returns the time that it took.
    pub async fn wait_revision(&self, daemons: &[usize], wanted: ConfigRevision) -> Duration {
        let start = Instant::now();
        let what = format!("revision {wanted} is in force on daemons {daemons:?}");
        wait_until(&what, ADOPTION_LIMIT, || async {
            for daemon in daemons {
                if self.revision(*daemon).await != Some(wanted) {
                    return false;
                }
            }
            true
        })
        .await;
        start.elapsed()
    }

    /// Makes a plan through a daemon.
    pub async fn plan(
        &self,
        daemon: usize,
        author: &str,
        declaration: FleetDeclaration,
    ) -> FleetPlan {
        let wanted = PlanRequest {
            author: Arc::from(author),
            declaration,
        };
        let plan = operator().plan(self.address(daemon), &wanted).await;
        plan.expect("the daemon plans")
    }
}

/// Creates an operator client.
pub fn operator() -> OperatorClient {
    OperatorClient::new(OPERATOR_TOKEN)
}

/// Creates the sample declaration without models and services.
pub fn teams_only() -> FleetDeclaration {
    FleetDeclaration {
        teams: sample_declaration(1).teams,
        ..FleetDeclaration::default()
    }
}

/// Creates the declaration of teams with one more team.
pub fn with_team(name: &str) -> FleetDeclaration {
    let mut declaration = teams_only();
    let digest = arbutusmount::digest_token(name).to_string();
    declaration.teams.push(TeamSpec {
        team: name.parse().expect("the team name is valid"),
        token_sha256: Arc::from(digest),
        ..declaration.teams[0].clone()
    });
    declaration
}
