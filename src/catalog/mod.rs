//! What operators declare for requests: routes, services, teams' keys and limits on callers.

mod route;
mod version;

pub use route::{CardKind, ModelShape, RepeatRule, RouteEntry, RouteShare};
pub use version::{
    AccessOutcome, CallerLimits, CatalogCell, RoutingCatalog, ServiceEntry, TeamEntry,
};
