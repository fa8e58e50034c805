//! What the platform's adapter fills in.

use crate::catalog::RoutingCatalog;
use crate::ids::{FenceNumber, InstanceId};
use crate::mirror::{PortFuture, StorePort};
use crate::relay::RelayCodec;
use crate::targets::TargetEntry;
use crate::units::LayerRange;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Where the platform keeps its own keys in the store, and how their values read.
#[derive(Debug, Clone, Copy)]
pub struct StoreSchema {
    /// Prefix of the operators' configuration.
    pub config_prefix: &'static str,
    /// Prefix of the list of targets; the rest of a key is the target's identity.
    pub target_prefix: &'static str,
    /// Reads a configuration; the error names the field and the reason.
    pub read_catalog: fn(&[u8]) -> Result<RoutingCatalog, String>,
    /// Reads a target's entry.
    pub read_target: fn(&str, &[u8]) -> Result<TargetEntry, String>,
}

/// An order to hold layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerOrder {
    /// Server.
    pub target: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Layers that it is to hold.
    pub layers: LayerRange,
    /// Number of the leader that sends it.
    pub fence: FenceNumber,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It has begun, or is done.
    Accepted,
    /// It does not suit the server's state.
    Refused(u16),
    /// A leader with a higher number has given orders.
    Superseded,
    /// Another server has the address.
    WrongTarget,
}

/// What a model server says of itself; some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Servers for which its requests wait.
    pub stalled_on: Vec<SocketAddr>,
}

/// Calls to model servers beside requests.
#[derive(Clone)]
pub struct TargetPort {
    /// Asks a server for its report.
    pub report: Arc<dyn Fn(SocketAddr) -> PortFuture<TargetReport> + Send + Sync>,
    /// Orders a server to hold layers.
    pub order_layers: Arc<dyn Fn(LayerOrder) -> PortFuture<OrderOutcome> + Send + Sync>,
}

impl fmt::Debug for TargetPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetPort").finish_non_exhaustive()
    }
}

/// All that the adapter fills in.
#[derive(Debug, Clone)]
pub struct GatewayPorts {
    /// Store.
    pub store: StorePort,
    /// Model servers.
    pub targets: TargetPort,
    /// Keys and values of the platform.
    pub schema: StoreSchema,
    /// Heads of requests and answers.
    pub relay: RelayCodec,
}
