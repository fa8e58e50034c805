//! Stand-ins that speak the users' platform's protocol: its store, plain servers and model servers,
//! each with faults that a test switches on. Blocking threads, one a connection; small on purpose.

mod caller;
mod fleet;
mod http;
mod model;
mod plain;
mod store;

pub use caller::{SiteRequest, SiteResponse, read_site_response, send_site_request};
pub use fleet::{SiteDaemon, SiteFleet, SiteSpec, plain_server_entry, sample_config};
pub use model::{ModelKnobs, ModelServer};
pub use plain::{PLAIN_BODY, PlainFault, PlainServer};
pub use store::{SiteStore, StoreFault};
