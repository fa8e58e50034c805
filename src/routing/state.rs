//! Shared state of routing in one daemon.

use crate::routing::GraphTable;

/// What requests and the routing plug-ins share.
#[derive(Debug, Default)]
pub struct RoutingState {
    /// Layer graphs of the models.
    pub graphs: GraphTable,
}
