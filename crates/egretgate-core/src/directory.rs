//! Index over declarations that resolves a request to its team, tier, route and service.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::declaration::{Declarations, Outage, RouteSpec, ServiceKind, TierSpec};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{RouteId, ServiceId, TeamId, Tier, VersionId};

/// Index over [`Declarations`], rebuilt after each accepted change.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    declared: Declarations,
    /// Team by hash of a bearer key; only declared teams.
    keys: HashMap<String, TeamId>,
    /// Route by model; only declared routes.
    models: HashMap<String, RouteId>,
    /// Path prefixes, longest first.
    paths: Vec<PathRoute>,
    /// Versions that moves have brought into service, by route. They have precedence over the
    /// declared ones.
    serving: BTreeMap<RouteId, VersionId>,
}

#[derive(Debug, Clone)]
struct PathRoute {
    prefix: String,
    route: RouteId,
}

/// Team and tier as claimed by the caller.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerClaims<'a> {
    /// Lower-case hexadecimal BLAKE3 hash of the bearer key.
    pub key: Option<&'a str>,
    /// Team claimed without a key. Accepted only for teams that declare no keys.
    pub team: Option<&'a str>,
    /// Tier claimed by the caller.
    pub tier: Option<&'a str>,
}

/// Model or path that a request addresses.
#[derive(Debug, Clone, Copy)]
pub enum RouteSelector<'a> {
    /// A model name.
    Model(&'a str),
    /// A path.
    Path(&'a str),
}

/// A request resolved against the declarations.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedRequest {
    /// Team that is charged for the request.
    pub team: TeamId,
    /// Weight of the team among the teams of the tier.
    pub weight: u32,
    /// Maximum requests of the team in flight per entry; 0 means no limit.
    pub in_flight: u32,
    /// Name of the tier.
    pub tier_name: String,
    /// Rank of the tier.
    pub tier: Tier,
    /// Objective of the tier.
    pub tier_spec: TierSpec,
    /// Route.
    pub route: RouteId,
    /// Service behind the route.
    pub service: ServiceId,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Version that serves while no move is in progress: the one that the last move brought into
    /// service, or else the declared one.
    pub version: VersionId,
    /// True if the call must run at most once.
    pub once: bool,
    /// How such calls are handled while the log is unreachable.
    pub outage: Outage,
    /// Time for which idempotency keys are kept.
    pub key_window: Duration,
}

impl Directory {
    /// Returns the index over `declared`, with the versions that moves have brought into service.
    pub fn new(declared: Declarations, serving: BTreeMap<RouteId, VersionId>) -> Self {
        let mut keys = HashMap::new();
        for (name, team) in &declared.teams {
            for key in &team.keys {
                keys.insert(key.clone(), name.clone());
            }
        }
        let mut models = HashMap::new();
        let mut paths = Vec::new();
        for (name, route) in &declared.routes {
            if let Some(model) = &route.model {
                models.insert(model.clone(), name.clone());
            }
            if let Some(prefix) = &route.path {
                paths.push(PathRoute { prefix: prefix.clone(), route: name.clone() });
            }
        }
        paths.sort_by_key(|path| std::cmp::Reverse(path.prefix.len()));
        Self { declared, keys, models, paths, serving }
    }

    /// Returns the indexed declarations.
    pub const fn declared(&self) -> &Declarations {
        &self.declared
    }

    /// Returns the models that can be addressed, sorted.
    pub fn models(&self) -> Vec<String> {
        let mut names: Vec<String> = self.models.keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Resolves a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownTeam`], [`ErrorKind::UnknownTier`], [`ErrorKind::UnknownModel`] or
    /// [`ErrorKind::UnknownRoute`].
    pub fn resolve(
        &self,
        claims: CallerClaims<'_>,
        selector: RouteSelector<'_>,
    ) -> Result<ResolvedRequest> {
        let team_name = self.find_team(claims)?;
        let team = &self.declared.teams[team_name];
        let tier_name = claims.tier.unwrap_or(&team.tier);
        let open = tier_name == team.tier || team.tiers.iter().any(|tier| tier == tier_name);
        let tier = self.declared.tiers.get(tier_name).filter(|_| open);
        let Some(tier) = tier else {
            return Err(Error::new(ErrorKind::UnknownTier, "no such tier is open to the team"));
        };
        let (route_name, route) = self.find_route(selector)?;
        let Some(service) = self.declared.services.get(&route.service) else {
            return Err(Error::new(ErrorKind::UnknownRoute, "the route's service is not declared"));
        };
        Ok(ResolvedRequest {
            team: team_name.clone(),
            weight: team.weight,
            in_flight: team.in_flight,
            tier_name: tier_name.to_owned(),
            tier: tier.rank,
            tier_spec: tier.clone(),
            route: route_name.clone(),
            service: route.service.clone(),
            kind: service.kind,
            version: self.serving.get(route_name).unwrap_or(&service.version).clone(),
            once: route.once,
            outage: route.outage,
            key_window: route.key_window(),
        })
    }

    fn find_team(&self, claims: CallerClaims<'_>) -> Result<&TeamId> {
        let unknown = || Error::new(ErrorKind::UnknownTeam, "no declared team matches");
        if let Some(key) = claims.key {
            return self.keys.get(key).ok_or_else(unknown);
        }
        let name = claims.team.ok_or_else(unknown)?;
        match self.declared.teams.get_key_value(name) {
            Some((name, team)) if team.keys.is_empty() => Ok(name),
            _ => Err(unknown()),
        }
    }

    fn find_route(&self, selector: RouteSelector<'_>) -> Result<(&RouteId, &RouteSpec)> {
        let name = match selector {
            RouteSelector::Model(model) => self
                .models
                .get(model)
                .ok_or_else(|| Error::new(ErrorKind::UnknownModel, "no route serves the model"))?,
            RouteSelector::Path(path) => self
                .paths
                .iter()
                .find(|candidate| path.starts_with(&candidate.prefix))
                .map(|found| &found.route)
                .ok_or_else(|| Error::new(ErrorKind::UnknownRoute, "no route has the path"))?,
        };
        self.declared
            .routes
            .get_key_value(name)
            .ok_or_else(|| Error::new(ErrorKind::UnknownRoute, "no such route is declared"))
    }
}
