//! The relaying daemon: follows the store, keeps its own presence there, takes part in leader
//! election and serves callers.

mod addresses;
mod crashes;
mod feeding;
mod follow;
mod leader;
mod ports;
mod publisher;
mod restores;
mod run;
mod targets;

pub use addresses::AddressReply;
pub use leader::campaign_delay;
pub use ports::{
    GatewayPorts, LayerOrder, OrderOutcome, StoreSchema, TargetCall, TargetPort, TargetReport,
};
pub use publisher::TargetPublisher;
pub use run::{GatewayError, GatewayHandle, GatewayState, start_gateway};
pub use targets::TargetRegistry;
