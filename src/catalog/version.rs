//! One version of the declared configuration, indexed for lookups.

use crate::catalog::route::{ModelShape, RouteEntry};
use crate::ids::{ServiceId, TeamId};
use arc_swap::ArcSwapOption;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Lowest priority that is told apart from others.
const MAX_PRIORITY: u8 = 9;

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

/// Priority of a request among those to the same service. A team's priority takes precedence over the
/// route's, which decides between requests of teams with the same priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PriorityClass(u8);

impl PriorityClass {
    /// Class of a request to a route of this priority, from a team with this one, if any.
    pub fn new(route: u8, team: Option<u8>) -> Self {
        let route = route.min(MAX_PRIORITY);
        let team = team.unwrap_or(route).min(MAX_PRIORITY);
        Self(team * (MAX_PRIORITY + 1) + route)
    }

    /// Value that orders the classes; 0 is the most important one.
    pub fn value(self) -> u8 {
        self.0
    }
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
    /// Priority classes of the services whose routes differ in priority.
    classes: HashMap<ServiceId, Vec<PriorityClass>>,
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
        let classes = find_classes(&routes, teams);
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
            classes,
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

    /// True when the routes of the service differ in priority.
    pub fn has_priorities(&self, service: &ServiceId) -> bool {
        self.classes.contains_key(service)
    }

    /// Number of the class among those of its service, from 0 for the most important one.
    pub fn class_rank(&self, service: &ServiceId, class: PriorityClass) -> u8 {
        let classes = self.classes.get(service).map_or(&[][..], Vec::as_slice);
        let higher = classes.partition_point(|known| *known < class);
        u8::try_from(higher).unwrap_or(u8::MAX)
    }

    /// Names of the services whose routes differ in priority, separated by commas.
    pub fn prioritized_services(&self) -> String {
        let mut names: Vec<&str> = self.classes.keys().map(ServiceId::as_str).collect();
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

/// Priority classes of the services whose routes differ in priority, the most important one first.
fn find_classes<'a>(
    routes: &[RouteEntry],
    teams: impl Iterator<Item = &'a TeamEntry>,
) -> HashMap<ServiceId, Vec<PriorityClass>> {
    let overrides: BTreeSet<Option<u8>> = teams.map(|team| team.priority).collect();
    let mut priorities: HashMap<&ServiceId, BTreeSet<u8>> = HashMap::new();
    for route in routes {
        for share in &route.shares {
            let known = priorities.entry(&share.service).or_default();
            known.insert(route.priority);
        }
    }
    let classes = |known: BTreeSet<u8>| {
        let of_route = |route: &u8| {
            let unset = std::iter::once(&None);
            let teams = unset.chain(&overrides);
            let classes = teams.map(|team| PriorityClass::new(*route, *team));
            classes.collect::<Vec<_>>()
        };
        let sorted: BTreeSet<PriorityClass> = known.iter().flat_map(of_route).collect();
        sorted.into_iter().collect()
    };
    let differing = priorities.into_iter().filter(|(_, known)| known.len() > 1);
    differing
        .map(|(service, known)| (service.clone(), classes(known)))
        .collect()
}
