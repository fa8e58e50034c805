//! A site: stand-ins for the users' platform (metadata store, plain servers and model servers, each
//! with faults that a test switches on) and daemons that speak its protocol, all in one program.
//!
//! The stand-ins are kept small: they use blocking threads, one per connection.

mod caller;
mod crash;
mod endless;
mod fleet;
mod http;
mod limit;
mod links;
mod model;
mod model_stream;
mod notice;
mod plain;
mod restore;
mod script;
mod store;

pub use caller::{
    SiteRequest, SiteResponse, leave_site_request, read_site_response, send_site_request,
};
pub use crash::{BadArrival, BadPart, CrashManner, CrashRegistry, CrashRun};
pub use endless::{EndlessPart, send_endless};
pub use fleet::{MODEL_LAYERS, SiteDaemon, SiteFleet, SiteSpec, plain_server_entry, sample_config};
pub use http::serve_once;
pub use limit::LimitLedger;
pub use links::{LinkState, ServerLinks};
pub use model::{ModelKnobs, ModelServer};
pub use model_stream::{CutEnd, CutScope, StreamCut, StreamFraming, event_text};
pub use notice::NoticeLedger;
pub use plain::{PLAIN_BODY, PlainFault, PlainRun, PlainServer};
pub use restore::{LostWrite, StoreRestore};
pub use script::{ReplyEnd, ReplyMoment, ScriptedReply};
pub use store::{SiteStore, StoreFault};
