//! The relaying daemon: follows the store, keeps its presence, leads if it is its turn, serves callers.

mod addresses;
mod follow;
mod lead;
mod ports;
mod run;
mod targets;

pub use addresses::AddressReply;
pub use ports::{FleetWords, GatewayPorts, OrderOutcome, PlaceOrder, TargetPort, TargetReport};
pub use run::{GatewayError, GatewayHandle, GatewayState, start_gateway};
pub use targets::TargetKeeper;
