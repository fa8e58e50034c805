//! What a fleet consists of.

use crate::engine::EngineKnobs;
use arbutusmount::{
    ClaimSettings, FleetDeclaration, MemberSettings, RoutingSettings, TimingSettings, digest_token,
};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Bearer token of the operators in fleets of this module.
pub const OPERATOR_TOKEN: &str = "operator-secret";
/// Bearer token of the team `head-office`.
pub const HEAD_OFFICE_TOKEN: &str = "head-office-secret";
/// Bearer token of the team `dispatch`.
pub const DISPATCH_TOKEN: &str = "dispatch-secret";

/// Programs that a fleet runs.
#[derive(Debug, Clone)]
pub struct ProgramPaths {
    /// `arbutusmountd`.
    pub daemon: PathBuf,
    /// `rig`.
    pub rig: PathBuf,
}

impl ProgramPaths {
    /// Finds `rig` next to the daemon's program.
    ///
    /// # Panics
    /// When it was not built.
    pub fn beside(daemon: impl Into<PathBuf>) -> Self {
        let daemon = daemon.into();
        let rig = daemon.with_file_name("rig");
        assert!(
            rig.exists(),
            "{} is missing; build the workspace first",
            rig.display()
        );
        Self { daemon, rig }
    }
}

/// Addresses of one daemon, for routing its traffic through proxies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address of the key-value service that this daemon uses.
    pub store: SocketAddr,
    /// Address of the instance list that this daemon uses.
    pub instances: SocketAddr,
    /// Address that the instance list names for other daemons to reach this one.
    pub peer_advertised: SocketAddr,
}

/// Size and behaviour of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Number of daemons.
    pub daemons: usize,
    /// Behaviour of each engine and its accelerator memory in bytes.
    pub engines: Vec<(EngineKnobs, u64)>,
    /// Number of instances of the service `stock`.
    pub services: usize,
    /// Failure domains, used in turn.
    pub domains: Vec<&'static str>,
    /// Timeouts and periods of the daemons.
    pub timing: TimingSettings,
    /// Routing settings of the daemons.
    pub routing: RoutingSettings,
    /// Further settings of the daemons: top-level fields that replace those made here.
    pub settings: serde_json::Value,
    /// Claim settings of the daemons.
    pub claims: ClaimSettings,
    /// Membership, address answer and shutdown of the daemons.
    pub membership: MemberSettings,
}

impl Default for FleetSpec {
    fn default() -> Self {
        let timing = TimingSettings {
            instances_ms: 200,
            load_ms: 300,
            heartbeat_ms: 200,
            address_ms: 1_000,
            ..TimingSettings::default()
        };
        Self {
            daemons: 2,
            engines: vec![(EngineKnobs::default(), 8_000); 3],
            services: 1,
            domains: vec!["bangna", "lat-krabang", "rangsit"],
            timing,
            routing: RoutingSettings::default(),
            settings: serde_json::json!({}),
            claims: ClaimSettings::default(),
            membership: MemberSettings::default(),
        }
    }
}

/// A declaration of the model `helpdesk` with 24 layers of 1,000 bytes, the service `stock` and
/// two teams.
pub fn sample_declaration(replicas: u32) -> FleetDeclaration {
    let text = serde_json::json!({
        "models": [{
            "model": "helpdesk", "version": "v1", "layers": 24, "layer_bytes": 1_000,
            "replicas": replicas, "floor": 0,
        }],
        "services": [{ "service": "stock" }],
        "teams": [
            { "team": "head-office", "token_sha256": digest_token(HEAD_OFFICE_TOKEN).to_string() },
            { "team": "dispatch", "token_sha256": digest_token(DISPATCH_TOKEN).to_string() },
        ],
    });
    FleetDeclaration::parse(&text.to_string()).expect("the sample declaration is valid")
}
