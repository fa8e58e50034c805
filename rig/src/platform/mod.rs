//! Stand-in for the platform: key-value service, instance list and weight store.

mod instance_list;
mod key_value_api;
mod keyspace;
mod server;
mod weights;

pub use server::{PlatformKnobs, PlatformStandIn};
