//! One version of the declared configuration, indexed for lookups.

use crate::catalog::route::{ModelShape, RouteEntry};
use crate::ids::{ServiceId, TeamId};
use arc_swap::ArcSwapOption;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Name.
    pub name: ServiceId,
    /// Most connections that one of its targets accepts from all callers.
    pub max_connections: u32,
    /// The model that its targets hold layers of; `None` for a plain service.
    pub model: Option<ModelShape>,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamEntry {
    /// Name.
    pub name: TeamId,
    /// Rank that goes before the routes', 0 is the highest.
    pub priority: Option<u8>,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head in bytes.
    pub max_head_bytes: usize,
    /// Longest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for sending a head.
    pub head_timeout: Duration,
    /// Longest time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether a request may use a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccessOutcome {
    /// It may, on behalf of this team if any.
    Granted(Option<Arc<TeamEntry>>),
    /// Its key is missing or belongs to nobody.
    UnknownKey,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoutingCatalog {
    /// Version, which only grows.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    services: HashMap<ServiceId, Arc<ServiceEntry>>,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteEntry>>>,
    keys: HashMap<Arc<str>, Arc<TeamEntry>>,
    keyed: bool,
}

impl RoutingCatalog {
    /// Indexes a version. `keys` is `None` when the configuration knows no teams.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<RouteEntry>,
        services: Vec<ServiceEntry>,
        keys: Option<Vec<(Arc<str>, Arc<TeamEntry>)>>,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteEntry>>> = HashMap::new();
        for route in routes {
            let prefixes = by_host.entry(Arc::clone(&route.host)).or_default();
            prefixes.insert(Arc::clone(&route.prefix), Arc::new(route));
        }
        Self {
            version,
            limits,
            services: services
                .into_iter()
                .map(|s| (s.name.clone(), Arc::new(s)))
                .collect(),
            routes: by_host,
            keyed: keys.is_some(),
            keys: keys.unwrap_or_default().into_iter().collect(),
        }
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let prefixes = self.routes.get(host)?;
        let ends = path
            .bytes()
            .enumerate()
            .rev()
            .filter(|(_, byte)| *byte == b'/');
        ends.into_iter()
            .find_map(|(end, _)| prefixes.get(&path[..=end]))
    }

    /// Whether a request with this key may use the route.
    pub fn check_access(&self, route: &RouteEntry, key: Option<&str>) -> AccessOutcome {
        let team = key.and_then(|key| self.keys.get(key)).cloned();
        match team {
            Some(team) => AccessOutcome::Granted(Some(team)),
            None if route.public || !self.keyed => AccessOutcome::Granted(None),
            None => AccessOutcome::UnknownKey,
        }
    }

    /// A service.
    pub fn service(&self, name: &ServiceId) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.services.values()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

/// The catalog in force. A version is never replaced by an older one.
#[derive(Debug, Default)]
pub struct CatalogCell {
    current: ArcSwapOption<RoutingCatalog>,
}

impl CatalogCell {
    /// The catalog in force, if any is known.
    pub fn load(&self) -> Option<Arc<RoutingCatalog>> {
        self.current.load_full()
    }

    /// Puts a version in force unless it is older than the present one; true when it is in force.
    pub fn adopt(&self, catalog: RoutingCatalog) -> bool {
        let catalog = Arc::new(catalog);
        let newer = |current: &Option<Arc<RoutingCatalog>>| {
            current
                .as_ref()
                .is_none_or(|current| current.version < catalog.version)
        };
        let before = self.current.rcu(|current| {
            if newer(current) {
                Some(Arc::clone(&catalog))
            } else {
                current.clone()
            }
        });
        newer(&before)
    }
}
