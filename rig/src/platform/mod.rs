//! Stand-in for the platform: key-value service, instance list and weight store.

mod gateway;
mod keyspace;
mod listing;
mod server;
mod weights;

pub use server::{PlatformKnobs, PlatformStandIn};
