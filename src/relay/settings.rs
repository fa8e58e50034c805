//! Settings of a daemon that relays for callers.

use crate::check::{CheckError, FieldKind, FieldRule, parse_document};
use crate::ids::{DomainId, InstanceId};
use crate::relay::budget::BudgetLimits;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Result of reading settings; the error lists every fault found.
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
    /// Where other daemons take messages, as far as known at the start; they may be gone.
    #[serde(default)]
    pub first_peers: Vec<SocketAddr>,
    /// Times and shares that were promised.
    #[serde(default)]
    pub bounds: GatewayBounds,
}

/// Listening addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayListen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the question whether this daemon is ready.
    pub ready: SocketAddr,
    /// For the question which daemons to use.
    pub addresses: SocketAddr,
    /// For messages of other daemons: loads as datagrams, copies over connections.
    pub peers: SocketAddr,
    /// For metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayStore {
    /// Address.
    pub address: SocketAddr,
    /// Shortest lease, in milliseconds.
    #[serde(default = "default_lease_floor")]
    pub lease_floor_ms: u64,
}

/// Shortest lease where the settings name none.
fn default_lease_floor() -> u64 {
    1_000
}

/// Times and shares that were promised to the users.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayBounds {
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Longest time for which callers keep an answer to the address question, in seconds.
    pub address_keep_s: f64,
    /// Repeats allowed for each request, over all daemons.
    pub retry_ratio: f64,
    /// Repeats allowed beside that in a window, over all daemons.
    pub retry_extra: f64,
    /// Window of the two, in seconds.
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
    /// Limits on repeats.
    pub fn budget(&self) -> BudgetLimits {
        BudgetLimits {
            ratio: self.retry_ratio,
            allowance: self.retry_extra,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Time from SIGTERM to SIGKILL.
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
];

const STORE_TABLE: &[FieldRule] = &[
    FieldRule::required("address", FieldKind::Address),
    FieldRule::optional("lease_floor_ms", FieldKind::Integer(0, 600_000)),
];

const BOUNDS_TABLE: &[FieldRule] = &[
    FieldRule::optional("grace_s", FieldKind::NonNegative),
    FieldRule::optional("address_keep_s", FieldKind::NonNegative),
    FieldRule::optional("retry_ratio", FieldKind::NonNegative),
    FieldRule::optional("retry_extra", FieldKind::NonNegative),
    FieldRule::optional("retry_window_s", FieldKind::NonNegative),
];

const GATEWAY_TABLE: &[FieldRule] = &[
    FieldRule::required("instance", FieldKind::Id),
    FieldRule::required("failure_domain", FieldKind::Id),
    FieldRule::required("listen", FieldKind::Object(LISTEN_TABLE)),
    FieldRule::required("store", FieldKind::Object(STORE_TABLE)),
    FieldRule::optional("first_peers", FieldKind::List(&FieldKind::Address)),
    FieldRule::optional("bounds", FieldKind::Object(BOUNDS_TABLE)),
];

impl GatewaySettings {
    /// Reads settings.
    ///
    /// # Errors
    /// Every fault found, each with its path.
    pub fn parse(text: &str) -> Result<Self> {
        parse_document(text, GATEWAY_TABLE)
    }
}
