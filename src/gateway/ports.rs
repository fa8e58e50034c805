//! Interface to the platform, implemented by the platform's adapter.

use crate::catalog::RoutingCatalog;
use crate::ids::{FenceNumber, InstanceId};
use crate::mirror::{PortResult, StorePort};
use crate::relay::{RelayCodec, TargetNotices};
use crate::targets::TargetEntry;
use crate::units::LayerRange;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

/// Where the platform keeps its own keys in the store, and how to decode their values.
#[derive(Debug, Clone, Copy)]
pub struct StoreSchema {
    /// Prefix of the operators' configuration.
    pub config_prefix: &'static str,
    /// Prefix of the target list. The rest of a key is the target's identity.
    pub target_prefix: &'static str,
    /// Decodes a configuration. The error names the field and the reason.
    pub read_catalog: fn(&[u8]) -> Result<RoutingCatalog, String>,
    /// Decodes a target's entry from its identity and value. The error gives the reason.
    pub read_target: fn(&str, &[u8]) -> Result<TargetEntry, String>,
}

/// Order to a server to hold a range of layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerOrder {
    /// Server that gets the order.
    pub target: InstanceId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Layers that the server is to hold.
    pub layers: LayerRange,
    /// Fencing number of the leader that sends the order.
    pub fence: FenceNumber,
}

/// Response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server has started to execute the order or has already done so.
    Accepted,
    /// The order does not fit the server's state; holds the status of the response.
    Refused(u16),
    /// The server has received orders from a leader with a higher fencing number.
    Superseded,
    /// Another server responds at this address.
    WrongTarget,
}

/// Outcome of a call to a target, and what the response said about the target beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetCall<T> {
    /// Outcome.
    pub outcome: PortResult<T>,
    /// Status of the response and what it said; `None` without a response.
    pub notices: Option<(u16, TargetNotices)>,
}

/// Future of a call to a target.
type TargetFuture<T> = Pin<Box<dyn Future<Output = TargetCall<T>> + Send>>;

/// Report of a model server about itself, a few hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Addresses of the servers that its requests are waiting for.
    pub stalled_on: Vec<SocketAddr>,
}

/// Calls to model servers other than requests of callers.
#[derive(Clone)]
pub struct TargetPort {
    /// Fetches the report of a server at its address.
    pub report: Arc<dyn Fn(InstanceId, SocketAddr) -> TargetFuture<TargetReport> + Send + Sync>,
    /// Sends an order to a server.
    pub order_layers: Arc<dyn Fn(LayerOrder) -> TargetFuture<OrderOutcome> + Send + Sync>,
}

impl fmt::Debug for TargetPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetPort").finish_non_exhaustive()
    }
}

/// Everything that the platform's adapter provides.
#[derive(Debug, Clone)]
pub struct GatewayPorts {
    /// Calls to the store.
    pub store: StorePort,
    /// Calls to model servers.
    pub targets: TargetPort,
    /// Keys and values that the platform keeps in the store.
    pub schema: StoreSchema,
    /// Translation of the heads of requests and responses.
    pub relay: RelayCodec,
}
