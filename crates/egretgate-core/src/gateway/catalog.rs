//! The declared routes, services, teams and limits that are in force.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretgate_core::gateway::catalog::{Catalog, Route, RouteKind};
//!
//! let route = Route::new("notes", "example.org", "/notes/", RouteKind::Safe).to("writer", 1);
//! let catalog = Catalog::new(7).with_routes(vec![route]);
//! assert!(catalog.route("example.org", "/notes/3").is_some());
//! assert!(catalog.route("example.org", "/other").is_none());
//! ```

use std::collections::HashMap;
use std::time::Duration;

use super::regions::Regions;
use crate::{RouteId, ServiceId, TeamId, Tier, VersionId, ZoneId};

/// Version of a set of declarations; a higher one replaces a lower one.
pub type CatalogVersion = u64;

/// How a route's requests may be retried after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A call that may run more than once.
    Safe,
    /// A call that may run once at most.
    Unsafe,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that may be resumed at another upstream after its last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns true if a request that may have run may be sent again.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns true if the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a route sends requests to, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight among the route's services.
    pub weight: u32,
}

/// A route: which requests it matches and how they are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteId,
    /// Host of the requests.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// How its requests may be retried.
    pub kind: RouteKind,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, should come.
    pub objective: Duration,
    /// Longest gap between events of a stream that is on time.
    pub max_gap: Option<Duration>,
    /// Tier; 0 is the most urgent.
    pub tier: Tier,
    /// Services; the sum of their weights is more than 0.
    pub targets: Vec<Target>,
    /// Largest number of upstreams that one request may be sent to; at least 1.
    pub attempts: u32,
    /// True if requests need no key.
    pub anonymous: bool,
    /// Regions in which its requests may run.
    pub regions: Regions,
}

impl Route {
    /// Timeout of a route that declares none.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
    /// Objective of a route that declares none.
    pub const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

    /// Returns a route without services, in the most urgent tier, with one attempt.
    pub fn new(name: &str, host: &str, prefix: &str, kind: RouteKind) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_ascii_lowercase(),
            prefix: prefix.to_owned(),
            kind,
            timeout: Self::DEFAULT_TIMEOUT,
            objective: Self::DEFAULT_OBJECTIVE,
            max_gap: None,
            tier: 0,
            targets: Vec::new(),
            attempts: 1,
            anonymous: false,
            regions: Regions::ANY,
        }
    }

    /// Adds a service with its weight.
    #[must_use]
    pub fn to(mut self, service: &str, weight: u32) -> Self {
        self.targets.push(Target { service: service.to_owned(), weight });
        self
    }

    /// Returns the service at `point`, a number in `0.0..1.0` along the weights.
    pub fn service(&self, point: f64) -> Option<&ServiceId> {
        let total: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut remainder = point * total;
        for target in &self.targets {
            remainder -= f64::from(target.weight);
            if remainder < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// A declared move of a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveSpec {
    /// Service.
    pub service: ServiceId,
    /// Version that should get the traffic.
    pub target: VersionId,
    /// Time within which the move must be done or taken back.
    pub within: Duration,
}

impl MoveSpec {
    /// Returns true if both move the same service to the same version.
    pub fn is_same(&self, other: &Self) -> bool {
        self.service == other.service && self.target == other.target
    }
}

/// Limit on the tokens of a team over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenLimit {
    /// Tokens per second.
    pub rate: f64,
    /// Largest number of unused tokens that are kept.
    pub burst: f64,
}

/// A team that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name.
    pub name: TeamId,
    /// Tier that takes precedence over the tier of the route; `None` if the route's tier applies.
    pub tier: Option<Tier>,
    /// Limit over the whole fleet.
    pub limit: Option<TokenLimit>,
    /// Tokens of a request that declares none.
    pub default_cost: u64,
    /// Regions in which its requests may run.
    pub regions: Regions,
}

/// The rate that upstreams of a service take for some time after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which an upstream stays cold after its start.
    pub time: Duration,
    /// Requests per second that a cold upstream takes from all entries together; above 0.
    pub rate: f64,
}

/// What is declared of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceSpec {
    /// Tokens in each event of a stream; at least 1.
    pub event_tokens: u32,
    /// Rate of upstreams that have just started; `None` if they take any.
    pub cold_start: Option<ColdStart>,
    /// Tokens that an upstream holds in memory for running requests and cached parts together.
    pub memory_tokens: Option<u64>,
}

impl ServiceSpec {
    /// A service of which nothing is declared.
    pub const UNDECLARED: Self = Self { event_tokens: 1, cold_start: None, memory_tokens: None };
}

/// Limits on what a caller may send, and in what time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time within which a complete head should arrive.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a request's key is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyFault {
    /// The route needs a key and the request has none.
    Missing,
    /// No team has the key.
    Unknown,
    /// What is declared of the key's team can't be used.
    Blocked,
}

/// All declarations of one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Version.
    pub version: CatalogVersion,
    /// Limits of callers.
    pub limits: CallerLimits,
    routes: Vec<Route>,
    teams: Vec<Team>,
    /// Declared moves, at most one per service.
    moves: Vec<MoveSpec>,
    services: HashMap<ServiceId, ServiceSpec>,
    /// Zones that operators drain; their upstreams get no new requests.
    drained_zones: Vec<ZoneId>,
    /// Index in `teams` of the team that has a key; `None` if the key is blocked.
    keys: HashMap<String, Option<usize>>,
    /// True if a team is declared, be it one that can't be used.
    needs_keys: bool,
    /// Index in `routes` by host and prefix.
    prefixes: HashMap<String, HashMap<String, usize>>,
}

impl Catalog {
    /// Returns an empty catalog.
    pub fn new(version: CatalogVersion) -> Self {
        Self { version, ..Self::default() }
    }

    /// Sets the routes.
    #[must_use]
    pub fn with_routes(mut self, routes: Vec<Route>) -> Self {
        self.prefixes.clear();
        for (index, route) in routes.iter().enumerate() {
            let hosts = self.prefixes.entry(route.host.clone()).or_default();
            hosts.insert(route.prefix.clone(), index);
        }
        self.routes = routes;
        self
    }

    /// Adds a team with its keys.
    #[must_use]
    pub fn with_team(mut self, team: Team, keys: Vec<String>) -> Self {
        let index = self.teams.len();
        self.keys.extend(keys.into_iter().map(|key| (key, Some(index))));
        self.teams.push(team);
        self.needs_keys = true;
        self
    }

    /// Blocks the keys of a team that can't be used, except those that another team has.
    #[must_use]
    pub fn with_blocked_keys(mut self, keys: Vec<String>) -> Self {
        for key in keys {
            self.keys.entry(key).or_insert(None);
        }
        self.needs_keys = true;
        self
    }

    /// Sets the limits of callers.
    #[must_use]
    pub const fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the declared moves.
    #[must_use]
    pub fn with_moves(mut self, moves: Vec<MoveSpec>) -> Self {
        self.moves = moves;
        self
    }

    /// Returns the declared moves.
    pub fn moves(&self) -> &[MoveSpec] {
        &self.moves
    }

    /// Adds what is declared of a service.
    #[must_use]
    pub fn with_service(mut self, service: &str, spec: ServiceSpec) -> Self {
        self.services.insert(service.to_owned(), spec);
        self
    }

    /// Returns what is declared of a service.
    pub fn service(&self, service: &str) -> ServiceSpec {
        self.services.get(service).copied().unwrap_or(ServiceSpec::UNDECLARED)
    }

    /// Sets the zones that operators drain.
    #[must_use]
    pub fn with_drained_zones(mut self, zones: Vec<ZoneId>) -> Self {
        self.drained_zones = zones;
        self
    }

    /// Returns the zones that operators drain.
    pub fn drained_zones(&self) -> &[ZoneId] {
        &self.drained_zones
    }

    /// Returns every route.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns every team.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Returns the route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let prefixes = self.prefixes.get(&name)?;
        let slashes = path.rmatch_indices('/').map(|(index, _)| &path[..=index]);
        slashes.filter_map(|prefix| prefixes.get(prefix)).map(|index| &self.routes[*index]).next()
    }

    /// Returns the team that sends a request on `route` with `key`; `None` for a request that needs
    /// no key. If no teams are declared, no request needs one.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<&Team>, KeyFault> {
        if !self.needs_keys {
            return Ok(None);
        }
        match (key.and_then(|key| self.keys.get(key)), key) {
            (Some(Some(index)), _) => Ok(Some(&self.teams[*index])),
            (Some(None), _) => Err(KeyFault::Blocked),
            (None, _) if route.anonymous => Ok(None),
            (None, Some(_)) => Err(KeyFault::Unknown),
            (None, None) => Err(KeyFault::Missing),
        }
    }
}
