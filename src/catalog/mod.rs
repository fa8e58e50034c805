//! What operators declare for requests: routes, services, API keys of teams and limits on callers.

mod route;
mod version;

pub use route::{CardKind, ModelShape, RetryRule, RouteEntry, RouteShare};
pub use version::{
    AccessOutcome, CallerLimits, CatalogCell, PriorityClass, RoutingCatalog, ServiceEntry,
    TeamEntry,
};
