//! One version of the declared configuration, indexed for lookups.

use crate::catalog::route::{ModelShape, RouteEntry};
use crate::ids::{ServiceId, TeamId};
use arc_swap::ArcSwapOption;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Service that routes can send requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceId,
    /// Maximum number of connections that each of its targets accepts, from all callers together.
    pub max_connections: u32,
    /// Model whose layers its targets hold; `None` for a plain service.
    pub model: Option<ModelShape>,
}

/// Team that sends requests with its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: TeamId,
    /// Priority that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head in bytes.
    pub max_head_bytes: usize,
    /// Longest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for receiving a request head.
    pub head_timeout: Duration,
    /// Longest idle time between two requests on a connection.
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
    /// The request may use the route, on behalf of this team if any.
    Granted(Option<Arc<TeamEntry>>),
    /// The API key is missing or belongs to no team.
    UnknownKey,
}

/// One version of the declared configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoutingCatalog {
    /// Version number; newer versions have higher numbers.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    services: HashMap<ServiceId, Arc<ServiceEntry>>,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteEntry>>>,
    keys: HashMap<Arc<str>, Arc<TeamEntry>>,
    requires_key: bool,
    /// Services whose requests differ in priority.
    prioritized: HashSet<ServiceId>,
}

impl RoutingCatalog {
    /// Indexes a version. `keys` is `None` when the configuration declares no teams.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<RouteEntry>,
        services: Vec<ServiceEntry>,
        keys: Option<Vec<(Arc<str>, Arc<TeamEntry>)>>,
    ) -> Self {
        let teams = keys.iter().flatten().map(|(_, team)| team.as_ref());
        let prioritized = find_prioritized(&routes, teams);
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
                .map(|service| (service.name.clone(), Arc::new(service)))
                .collect(),
            routes: by_host,
            prioritized,
            requires_key: keys.is_some(),
            keys: keys.unwrap_or_default().into_iter().collect(),
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let prefixes = self.routes.get(host)?;
        let slashes = path
            .bytes()
            .enumerate()
            .rev()
            .filter(|(_, byte)| *byte == b'/');
        slashes
            .into_iter()
            .find_map(|(slash, _)| prefixes.get(&path[..=slash]))
    }

    /// Checks whether a request with this API key may use the route.
    pub fn check_access(&self, route: &RouteEntry, key: Option<&str>) -> AccessOutcome {
        let team = key.and_then(|key| self.keys.get(key)).cloned();
        match team {
            Some(team) => AccessOutcome::Granted(Some(team)),
            None if route.public || !self.requires_key => AccessOutcome::Granted(None),
            None => AccessOutcome::UnknownKey,
        }
    }

    /// True when requests to the service differ in priority, by their routes or teams.
    pub fn has_priorities(&self, service: &ServiceId) -> bool {
        self.prioritized.contains(service)
    }

    /// Names of the services whose requests differ in priority, separated by commas.
    pub fn prioritized_services(&self) -> String {
        let mut names: Vec<&str> = self.prioritized.iter().map(ServiceId::as_str).collect();
        names.sort_unstable();
        names.join(",")
    }

    /// Returns the service with this name.
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
    /// The catalog in force; `None` before the first one is known.
    pub fn load(&self) -> Option<Arc<RoutingCatalog>> {
        self.current.load_full()
    }

    /// Puts a version in force unless the current one is the same or newer. True when it was put in
    /// force.
    pub fn adopt(&self, catalog: RoutingCatalog) -> bool {
        let catalog = Arc::new(catalog);
        let is_newer = |current: &Option<Arc<RoutingCatalog>>| {
            current
                .as_ref()
                .is_none_or(|current| current.version < catalog.version)
        };
        let before = self.current.rcu(|current| {
            if is_newer(current) {
                Some(Arc::clone(&catalog))
            } else {
                current.clone()
            }
        });
        is_newer(&before)
    }
}

/// Services whose requests may have more than one priority. A team's priority overrides that of a route.
fn find_prioritized<'a>(
    routes: &[RouteEntry],
    teams: impl Iterator<Item = &'a TeamEntry>,
) -> HashSet<ServiceId> {
    let overrides: BTreeSet<Option<u8>> = teams.map(|team| team.priority).collect();
    let mut priorities: HashMap<&ServiceId, BTreeSet<u8>> = HashMap::new();
    for route in routes {
        let uses_own = route.public || overrides.is_empty() || overrides.contains(&None);
        let own = uses_own.then_some(route.priority);
        for share in &route.shares {
            let known = priorities.entry(&share.service).or_default();
            known.extend(own);
            known.extend(overrides.iter().flatten());
        }
    }
    let differing = priorities.into_iter().filter(|(_, known)| known.len() > 1);
    differing.map(|(service, _)| service.clone()).collect()
}
