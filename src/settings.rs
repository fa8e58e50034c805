//! Settings of a daemon: a JSON file that is validated and read once at start.

use crate::admission::{ADMISSION_TABLE, AdmissionSettings};
use crate::check::{CheckError, FieldKind, FieldRule, parse_document};
use crate::claims::{CLAIM_TABLE, ClaimSettings};
use crate::ids::{DomainId, InstanceId};
use crate::membership::{MEMBER_TABLE, MemberSettings};
use crate::routing::{ROUTING_TABLE, RoutingSettings};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Result of reading settings; the error lists all faults found.
pub type Result<T> = std::result::Result<T, Vec<CheckError>>;

/// Settings of one daemon.
///
/// ```
/// let text = r#"{
///     "instance": "router-1", "failure_domain": "bangna",
///     "listen": "127.0.0.1:7001", "peer_listen": "127.0.0.1:7101",
///     "platform": {"store": "127.0.0.1:2379", "instances": "127.0.0.1:2379"},
///     "peer_key": "a shared secret", "operator_token_sha256":
///     "0000000000000000000000000000000000000000000000000000000000000000"
/// }"#;
/// let settings = arbutusmount::DaemonSettings::parse(text).expect("valid settings");
/// assert_eq!(settings.instance.as_str(), "router-1");
/// ```
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct DaemonSettings {
    /// Name of this instance, unique on the platform.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: DomainId,
    /// Address that callers and operators connect to.
    pub listen: SocketAddr,
    /// Address that other daemons connect to.
    pub peer_listen: SocketAddr,
    /// Addresses of the services of the platform.
    pub platform: PlatformSettings,
    /// Secret shared by all daemons, with which they authenticate to each other.
    pub peer_key: Arc<str>,
    /// SHA-256 digest of the bearer token of operators, hexadecimal.
    pub operator_token_sha256: Arc<str>,
    /// Timeouts and periods.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Bounds on memory and request size.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Admission control: team limits, fair queueing and overload protection.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Routing policy, token timeouts and poison detection.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// Claims on idempotency keys.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Address responses and graceful shutdown.
    #[serde(default)]
    pub membership: MemberSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Trace export; without it, spans are not recorded.
    #[serde(default)]
    pub traces: Option<TraceSettings>,
}

/// Addresses of the services of the platform.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct PlatformSettings {
    /// Key-value store.
    pub store: SocketAddr,
    /// Instance list.
    pub instances: SocketAddr,
}

/// Timeouts and periods, in milliseconds.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TimingSettings {
    /// Timeout of connecting to a target, a peer or a service of the platform.
    pub connect_ms: u64,
    /// Timeout of one call to the store or the instance list.
    pub store_ms: u64,
    /// Timeout of a call to an engine until the head of its response has arrived.
    pub engine_head_ms: u64,
    /// Period of reading the instance list.
    pub instances_ms: u64,
    /// Period of reading load reports.
    pub load_ms: u64,
    /// Period of heartbeats between daemons.
    pub heartbeat_ms: u64,
    /// Deadline of a model request, from its acceptance to its last token.
    pub request_ms: u64,
    /// Lifetime of an address response, for which callers may cache it.
    pub address_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            connect_ms: 300,
            store_ms: 1_000,
            engine_head_ms: 2_000,
            instances_ms: 500,
            load_ms: 1_000,
            heartbeat_ms: 400,
            request_ms: 120_000,
            address_ms: 5_000,
        }
    }
}

impl TimingSettings {
    /// Lifetime of an address response ([`Self::address_ms`]).
    pub fn address_lifetime(&self) -> Duration {
        Duration::from_millis(self.address_ms)
    }

    /// Timeout of connecting to another process ([`Self::connect_ms`]).
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Timeout of a call to an engine until the head of its response ([`Self::engine_head_ms`]).
    pub fn engine_head_timeout(&self) -> Duration {
        Duration::from_millis(self.engine_head_ms)
    }

    /// Timeout of one call to the store or the instance list ([`Self::store_ms`]).
    pub fn store_timeout(&self) -> Duration {
        Duration::from_millis(self.store_ms)
    }
}

/// Bounds on memory and request size.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct BoundSettings {
    /// Size of the largest request body accepted, in bytes.
    pub body_bytes: usize,
    /// Most bytes that the request bodies of all callers may hold together, and as many for the bodies of
    /// responses that are being read.
    pub body_total_bytes: usize,
    /// Most open connections of callers.
    pub connections: usize,
    /// Most requests in progress at the same time.
    pub requests: usize,
    /// Events buffered for a slow caller before back-pressure slows its stream.
    pub stream_events: usize,
    /// Most idle connections kept for each target.
    pub idle_connections: usize,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            body_total_bytes: 256 << 20,
            connections: 16_384,
            requests: 4_096,
            stream_events: 64,
            idle_connections: 64,
        }
    }
}

/// Settings of the log.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Level: `error`, `warn`, `info` or `debug`.
    pub level: Arc<str>,
    /// Format: `text` or `json`.
    pub form: Arc<str>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: Arc::from("info"),
            form: Arc::from("text"),
        }
    }
}

/// Settings of the trace export.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct TraceSettings {
    /// Address of an OTLP/HTTP collector.
    pub collector: SocketAddr,
}

/// Longest period or timeout accepted.
const MAX_MS: u64 = 3_600_000;
const MILLIS: FieldKind = FieldKind::Integer(1, MAX_MS);

const PLATFORM_TABLE: &[FieldRule] = &[
    FieldRule::required("store", FieldKind::Address),
    FieldRule::required("instances", FieldKind::Address),
];

const TIMING_TABLE: &[FieldRule] = &[
    FieldRule::optional("connect_ms", MILLIS),
    FieldRule::optional("store_ms", MILLIS),
    FieldRule::optional("engine_head_ms", MILLIS),
    FieldRule::optional("instances_ms", MILLIS),
    FieldRule::optional("load_ms", MILLIS),
    FieldRule::optional("heartbeat_ms", MILLIS),
    FieldRule::optional("request_ms", MILLIS),
    FieldRule::optional("address_ms", MILLIS),
];

const BOUND_TABLE: &[FieldRule] = &[
    FieldRule::optional("body_bytes", FieldKind::Integer(1_024, 1 << 26)),
    FieldRule::optional("body_total_bytes", FieldKind::Integer(1_024, 1 << 40)),
    FieldRule::optional("connections", FieldKind::Integer(1, 1 << 20)),
    FieldRule::optional("requests", FieldKind::Integer(1, 1 << 20)),
    FieldRule::optional("stream_events", FieldKind::Integer(1, 1 << 16)),
    FieldRule::optional("idle_connections", FieldKind::Integer(0, 1 << 12)),
];

const LOG_TABLE: &[FieldRule] = &[
    FieldRule::optional(
        "level",
        FieldKind::Choice(&["error", "warn", "info", "debug"]),
    ),
    FieldRule::optional("form", FieldKind::Choice(&["text", "json"])),
];

const TRACE_TABLE: &[FieldRule] = &[FieldRule::required("collector", FieldKind::Address)];

const SETTINGS_TABLE: &[FieldRule] = &[
    FieldRule::required("instance", FieldKind::Id),
    FieldRule::required("failure_domain", FieldKind::Id),
    FieldRule::required("listen", FieldKind::Address),
    FieldRule::required("peer_listen", FieldKind::Address),
    FieldRule::required("platform", FieldKind::Object(PLATFORM_TABLE)),
    FieldRule::required("peer_key", FieldKind::Text),
    FieldRule::required("operator_token_sha256", FieldKind::Digest),
    FieldRule::optional("timing", FieldKind::Object(TIMING_TABLE)),
    FieldRule::optional("bounds", FieldKind::Object(BOUND_TABLE)),
    FieldRule::optional("admission", FieldKind::Object(ADMISSION_TABLE)),
    FieldRule::optional("routing", FieldKind::Object(ROUTING_TABLE)),
    FieldRule::optional("claims", FieldKind::Object(CLAIM_TABLE)),
    FieldRule::optional("membership", FieldKind::Object(MEMBER_TABLE)),
    FieldRule::optional("log", FieldKind::Object(LOG_TABLE)),
    FieldRule::optional("traces", FieldKind::Object(TRACE_TABLE)),
];

impl DaemonSettings {
    /// Parses settings from JSON text.
    ///
    /// # Errors
    /// All faults of the document, each with its JSON path.
    pub fn parse(text: &str) -> Result<Self> {
        parse_document(text, SETTINGS_TABLE)
    }
}
