//! Fixture: daemons that reach the store through a proxy each.

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

/// Time in which an accepted configuration is in force everywhere.
pub const ADOPTION_LIMIT: Duration = Duration::from_secs(7);

/// A fleet whose daemons reach the store through a proxy each.
pub struct ProxiedFleet {
    /// The processes.
    pub fleet: ProcessFleet,
    /// The proxies before the store, one for each daemon.
    pub proxies: Vec<FaultProxy>,
}

impl ProxiedFleet {
    /// Starts daemons, and engines that hold 8,000 bytes each.
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

    /// A fleet without engines, whose configuration is a list of teams.
    pub async fn declared(daemons: usize) -> Self {
        let proxied = Self::start(daemons, 0).await;
        proxied.fleet.declare(&teams_only()).await;
        proxied
    }

    /// A fleet that serves the sample model.
    pub async fn serving(daemons: usize) -> Self {
        let proxied = Self::start(daemons, 3).await;
        proxied.fleet.declare(&sample_declaration(1)).await;
        proxied
    }

    /// Starts one more daemon behind a proxy of its own.
    pub async fn add_daemon(&mut self) {
        let proxy = FaultProxy::start(free_address(), self.fleet.platform)
            .await
            .expect("the proxy starts");
        let mut seat = self.fleet.plain_seat();
        seat.store = proxy.address();
        self.proxies.push(proxy);
        self.fleet.add_daemon(seat).await;
    }

    /// Address of a daemon for callers.
    pub fn address(&self, daemon: usize) -> SocketAddr {
        self.fleet.daemons[daemon].seat.listen
    }

    /// Cuts a daemon off from the store, in both directions.
    pub fn cut_store(&self, daemon: usize) {
        self.proxies[daemon].set(ProxyFaults {
            refuse: true,
            ..ProxyFaults::default()
        });
        self.proxies[daemon].cut();
    }

    /// Changes knobs of the platform.
    pub async fn set_platform(&self, knobs: serde_json::Value) {
        self.fleet.set_knobs(self.fleet.platform, knobs).await;
    }

    /// Revision in force on a daemon, if it answers.
    pub async fn revision(&self, daemon: usize) -> Option<ConfigRevision> {
        let status = operator().status(self.address(daemon)).await;
        status.ok().map(|status| status.revision)
    }

    /// Waits until the daemons have `wanted` in force; the time that took.
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

/// A client of the operators.
pub fn operator() -> OperatorClient {
    OperatorClient::new(OPERATOR_TOKEN)
}

/// The sample declaration without models and services.
pub fn teams_only() -> FleetDeclaration {
    FleetDeclaration {
        teams: sample_declaration(1).teams,
        ..FleetDeclaration::default()
    }
}

/// The declaration of teams with one more.
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
