//! Settings of a daemon that relays for callers.

use crate::check::{CheckError, FieldKind, FieldRule, parse_document};
use crate::ids::{DomainId, InstanceId};
use crate::relay::budget::BudgetLimits;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Result of parsing settings; the error lists every fault found.
pub type Result<T> = std::result::Result<T, Vec<CheckError>>;

/// Settings of a daemon that relays for callers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GatewaySettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Failure domain that it runs in.
    pub failure_domain: DomainId,
    /// Listening addresses.
    pub listen: GatewayListen,
    /// The platform's store.
    pub store: GatewayStore,
    /// Peer addresses of other daemons known at start; they may no longer exist.
    #[serde(default)]
    pub first_peers: Vec<SocketAddr>,
    /// Time limits and retry limits, reloaded while the daemon runs.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// How capacity of model services is handed out.
    #[serde(default)]
    pub admission: GatewayAdmission,
    /// How requests are distributed over targets.
    #[serde(default)]
    pub balancing: BalancingSettings,
    /// Memory and descriptors of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
}

/// How capacity of model services is handed out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayAdmission {
    /// Shares capacity fairly between teams also where all requests of a service have the same priority.
    pub fair_teams: bool,
}

/// How requests are distributed over targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct BalancingSettings {
    /// Interval in milliseconds from which the reports of daemons of the same failure domain are too
    /// stale to choose the least loaded target, so that requests are distributed by shares. Without it,
    /// the age of reports has no such effect.
    pub stale_report_ms: Option<u64>,
}

/// Memory and descriptors of the process, as the platform limits them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// Memory in MiB.
    pub memory_mb: Option<u64>,
    /// Open descriptors, with those that the platform reserves for files.
    pub descriptors: Option<u64>,
}

/// Listening addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayListen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Queries for the addresses of the daemons.
    pub addresses: SocketAddr,
    /// Messages of other daemons: loads as datagrams, snapshots over connections.
    pub peers: SocketAddr,
    /// Metrics, if they are served.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Requests that other daemons pass on, if they are served.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayStore {
    /// Address of the store.
    pub address: SocketAddr,
    /// Shortest lease that the store grants, in milliseconds; the lease on this daemon's entry is
    /// at least as long.
    #[serde(default = "default_lease_floor")]
    pub lease_floor_ms: u64,
    /// True to make fewer calls: one daemon of each failure domain watches the store, two stand by, and
    /// a daemon that starts or loses its feed waits a bounded time for a feed before it watches.
    #[serde(default)]
    pub save_calls: bool,
}

/// Shortest lease when the settings name none, in milliseconds.
fn default_lease_floor() -> u64 {
    1_000
}

/// Time limits and retry limits, which a running daemon can reload.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayBounds {
    /// Grace period from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Longest time that callers may cache the list of daemon addresses, in seconds; limits the
    /// lifetime sent with the list.
    pub address_keep_s: f64,
    /// Retries per request, over all daemons.
    pub retry_ratio: f64,
    /// Fixed allowance: retries per window beyond the ratio, whatever the number of requests, over
    /// all daemons.
    pub retry_extra: f64,
    /// Window of the two retry limits, in seconds.
    pub retry_window_s: f64,
}

impl Default for GatewayBounds {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            address_keep_s: 5.0,
            retry_ratio: 0.2,
            retry_extra: 100.0,
            retry_window_s: 10.0,
        }
    }
}

impl GatewayBounds {
    /// Limits of the retry budget.
    pub fn budget(&self) -> BudgetLimits {
        BudgetLimits {
            ratio: self.retry_ratio,
            allowance: self.retry_extra,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Grace period from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

const LISTEN_TABLE: &[FieldRule] = &[
    FieldRule::required("callers", FieldKind::Address),
    FieldRule::required("ready", FieldKind::Address),
    FieldRule::required("addresses", FieldKind::Address),
    FieldRule::required("peers", FieldKind::Address),
    FieldRule::optional("metrics", FieldKind::Address),
    FieldRule::optional("relay", FieldKind::Address),
];

const STORE_TABLE: &[FieldRule] = &[
    FieldRule::required("address", FieldKind::Address),
    FieldRule::optional("lease_floor_ms", FieldKind::Integer(0, 600_000)),
    FieldRule::optional("save_calls", FieldKind::Boolean),
];

const BOUNDS_TABLE: &[FieldRule] = &[
    FieldRule::optional("grace_s", FieldKind::NonNegative),
    FieldRule::optional("address_keep_s", FieldKind::NonNegative),
    FieldRule::optional("retry_ratio", FieldKind::NonNegative),
    FieldRule::optional("retry_extra", FieldKind::NonNegative),
    FieldRule::optional("retry_window_s", FieldKind::NonNegative),
];

const ADMISSION_TABLE: &[FieldRule] = &[FieldRule::optional("fair_teams", FieldKind::Boolean)];
const BALANCING_TABLE: &[FieldRule] = &[FieldRule::optional(
    "stale_report_ms",
    FieldKind::Integer(1, 600_000),
)];
const LIMITS_TABLE: &[FieldRule] = &[
    FieldRule::optional("memory_mb", FieldKind::Integer(1, 1 << 20)),
    FieldRule::optional("descriptors", FieldKind::Integer(1, 1 << 24)),
];

const GATEWAY_TABLE: &[FieldRule] = &[
    FieldRule::required("instance", FieldKind::Id),
    FieldRule::required("failure_domain", FieldKind::Id),
    FieldRule::required("listen", FieldKind::Object(LISTEN_TABLE)),
    FieldRule::required("store", FieldKind::Object(STORE_TABLE)),
    FieldRule::optional("first_peers", FieldKind::List(&FieldKind::Address)),
    FieldRule::optional("bounds", FieldKind::Object(BOUNDS_TABLE)),
    FieldRule::optional("admission", FieldKind::Object(ADMISSION_TABLE)),
    FieldRule::optional("balancing", FieldKind::Object(BALANCING_TABLE)),
    FieldRule::optional("limits", FieldKind::Object(LIMITS_TABLE)),
];

impl GatewaySettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// Every fault found, each with its path.
    pub fn parse(text: &str) -> Result<Self> {
        parse_document(text, GATEWAY_TABLE)
    }
}
