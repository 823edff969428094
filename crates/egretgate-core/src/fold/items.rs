//! Declared items and their revisions.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::declaration::{Declarations, RouteSpec, ServiceSpec, TeamSpec, TierSpec};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{MAX_TIERS, Revision};
use crate::record::body::{Change, Item, Kind};

/// Declarations with the revision of each item.
///
/// Invariant: `declared` and `revisions` contain the same items.
#[derive(Debug, Clone, Default)]
pub struct DeclaredItems {
    declared: Declarations,
    revisions: BTreeMap<Kind, BTreeMap<String, Revision>>,
    /// Highest revision of any deleted item. New items start above it, so that an item that is
    /// deleted and created again never has the same revision for two different states.
    revision_floor: Revision,
}

#[derive(Debug, Clone)]
enum Spec {
    Tier(TierSpec),
    Team(TeamSpec),
    Service(ServiceSpec),
    Route(RouteSpec),
}

/// An item as it was before a change, to restore if the change is refused.
#[derive(Debug)]
struct PreviousItem {
    kind: Kind,
    name: String,
    spec: Option<Spec>,
    revision: Revision,
}

impl DeclaredItems {
    /// Returns the declarations.
    pub const fn declared(&self) -> &Declarations {
        &self.declared
    }

    /// Returns the revision of an item; 0 if it is absent.
    pub fn revision(&self, kind: Kind, name: &str) -> Revision {
        self.revisions.get(&kind).and_then(|names| names.get(name)).copied().unwrap_or(0)
    }

    /// Applies a change completely, or changes nothing and returns why.
    pub(crate) fn apply(&mut self, change: &Change) -> Result<()> {
        self.check_revisions(change)?;
        let puts = change.puts.iter().map(parse_item).collect::<Result<Vec<_>>>()?;
        let revision_floor = self.revision_floor;
        let mut previous = Vec::with_capacity(puts.len() + change.deletes.len());
        for delete in &change.deletes {
            previous.push(self.delete(delete.kind(), &delete.name));
        }
        for (item, spec) in change.puts.iter().zip(puts) {
            previous.push(self.put(item.kind(), &item.name, spec));
        }
        let checked = self.check(change);
        if checked.is_err() {
            previous.into_iter().rev().for_each(|previous| self.restore(previous));
            self.revision_floor = revision_floor;
        }
        checked
    }

    fn check_revisions(&self, change: &Change) -> Result<()> {
        let puts = change.puts.iter().map(|item| (item.kind(), &item.name, item.base_revision));
        let deletes =
            change.deletes.iter().map(|item| (item.kind(), &item.name, item.base_revision));
        let mut named = BTreeSet::new();
        for (kind, name, base_revision) in puts.chain(deletes) {
            if kind == Kind::None || !named.insert((kind, name)) {
                let detail = format!("{name} is named twice or is of no known kind");
                return Err(invalid(detail));
            }
            let current = self.revision(kind, name);
            if current != base_revision {
                return Err(conflict(kind, name, current, base_revision));
            }
        }
        if let Some(delete) = change.deletes.iter().find(|delete| delete.base_revision == 0) {
            return Err(invalid(format!("{} can't be deleted: it is absent", delete.name)));
        }
        Ok(())
    }

    fn put(&mut self, kind: Kind, name: &str, spec: Spec) -> PreviousItem {
        let revision = self.revision(kind, name);
        let next = if revision == 0 { self.revision_floor + 1 } else { revision + 1 };
        let previous = self.replace(kind, name, Some(spec));
        self.revisions.entry(kind).or_default().insert(name.into(), next);
        PreviousItem { kind, name: name.into(), spec: previous, revision }
    }

    fn delete(&mut self, kind: Kind, name: &str) -> PreviousItem {
        let revision = self.revision(kind, name);
        self.revision_floor = self.revision_floor.max(revision);
        let previous = self.replace(kind, name, None);
        self.revisions.entry(kind).or_default().remove(name);
        PreviousItem { kind, name: name.into(), spec: previous, revision }
    }

    fn restore(&mut self, previous: PreviousItem) {
        self.replace(previous.kind, &previous.name, previous.spec);
        let names = self.revisions.entry(previous.kind).or_default();
        if previous.revision == 0 {
            names.remove(&previous.name);
        } else {
            names.insert(previous.name, previous.revision);
        }
    }

    fn replace(&mut self, kind: Kind, name: &str, spec: Option<Spec>) -> Option<Spec> {
        let declared = &mut self.declared;
        match (kind, spec) {
            (Kind::Tier, Some(Spec::Tier(tier))) => {
                declared.tiers.insert(name.into(), tier).map(Spec::Tier)
            }
            (Kind::Team, Some(Spec::Team(team))) => {
                declared.teams.insert(name.into(), team).map(Spec::Team)
            }
            (Kind::Service, Some(Spec::Service(service))) => {
                declared.services.insert(name.into(), service).map(Spec::Service)
            }
            (Kind::Route, Some(Spec::Route(route))) => {
                declared.routes.insert(name.into(), route).map(Spec::Route)
            }
            (Kind::Tier, _) => declared.tiers.remove(name).map(Spec::Tier),
            (Kind::Team, _) => declared.teams.remove(name).map(Spec::Team),
            (Kind::Service, _) => declared.services.remove(name).map(Spec::Service),
            (Kind::Route, _) => declared.routes.remove(name).map(Spec::Route),
            (Kind::None, _) => None,
        }
    }

    /// Checks the items that the change touched, so that the cost depends on the size of the change
    /// and not on the number of declarations. Only deletions check all items that may refer to the
    /// deleted ones.
    fn check(&self, change: &Change) -> Result<()> {
        for item in &change.puts {
            match item.kind() {
                Kind::Tier => self.check_tier(&item.name)?,
                Kind::Team => self.check_team(&item.name)?,
                Kind::Service => self.check_service(&item.name)?,
                Kind::Route => self.check_route(&item.name)?,
                Kind::None => {}
            }
        }
        let deletes = |kind| {
            let names = change.deletes.iter().filter(move |delete| delete.kind() == kind);
            names.map(|delete| delete.name.as_str()).collect::<BTreeSet<_>>()
        };
        self.recheck_teams(&deletes(Kind::Tier))?;
        self.recheck_routes(&deletes(Kind::Service))
    }

    fn check_tier(&self, name: &str) -> Result<()> {
        let tier = &self.declared.tiers[name];
        if usize::from(tier.rank) >= MAX_TIERS {
            return Err(invalid(format!("tier {name}: rank must be below {MAX_TIERS}")));
        }
        if !(tier.objective > 0.0 && tier.objective < 1.0) {
            return Err(invalid(format!("tier {name}: objective must lie between 0 and 1")));
        }
        let same = self.declared.tiers.values().filter(|other| other.rank == tier.rank).count();
        if same > 1 {
            return Err(invalid(format!("tier {name}: rank {} is used twice", tier.rank)));
        }
        Ok(())
    }

    fn check_team(&self, name: &str) -> Result<()> {
        let team = &self.declared.teams[name];
        let mut tiers = std::iter::once(&team.tier).chain(&team.tiers);
        if let Some(tier) = tiers.find(|tier| !self.declared.tiers.contains_key(*tier)) {
            return Err(invalid(format!("team {name}: tier {tier} is not declared")));
        }
        if team.weight == 0 {
            return Err(invalid(format!("team {name}: weight must be at least 1")));
        }
        Ok(())
    }

    fn check_service(&self, name: &str) -> Result<()> {
        if self.declared.services[name].version.is_empty() {
            return Err(invalid(format!("service {name}: version is empty")));
        }
        Ok(())
    }

    fn check_route(&self, name: &str) -> Result<()> {
        let route = &self.declared.routes[name];
        if !self.declared.services.contains_key(&route.service) {
            let detail = format!("route {name}: service {} is not declared", route.service);
            return Err(invalid(detail));
        }
        if route.model.is_some() == route.path.is_some() {
            return Err(invalid(format!("route {name}: either model or path must be set")));
        }
        Ok(())
    }

    fn recheck_teams(&self, tiers: &BTreeSet<&str>) -> Result<()> {
        if tiers.is_empty() {
            return Ok(());
        }
        self.declared.teams.keys().try_for_each(|name| self.check_team(name))
    }

    fn recheck_routes(&self, services: &BTreeSet<&str>) -> Result<()> {
        if services.is_empty() {
            return Ok(());
        }
        self.declared.routes.keys().try_for_each(|name| self.check_route(name))
    }

    pub(crate) const fn revision_floor(&self) -> Revision {
        self.revision_floor
    }

    /// Returns the encoded form of every item, with its current revision as `base_revision`.
    pub(crate) fn images(&self) -> Vec<Item> {
        let declared = &self.declared;
        let tiers = declared.tiers.iter().map(|(name, spec)| self.image(Kind::Tier, name, spec));
        let teams = declared.teams.iter().map(|(name, spec)| self.image(Kind::Team, name, spec));
        let services =
            declared.services.iter().map(|(name, spec)| self.image(Kind::Service, name, spec));
        let routes = declared.routes.iter().map(|(name, spec)| self.image(Kind::Route, name, spec));
        tiers.chain(teams).chain(services).chain(routes).collect()
    }

    fn image(&self, kind: Kind, name: &str, spec: &impl Serialize) -> Item {
        let base_revision = self.revision(kind, name);
        let spec = serde_json::to_string(spec).unwrap_or_default();
        Item { kind: kind as i32, name: name.into(), spec, base_revision }
    }

    pub(crate) fn from_images(images: &[Item], revision_floor: Revision) -> Result<Self> {
        let mut items = Self { revision_floor, ..Self::default() };
        for image in images {
            let spec = parse_item(image)?;
            items.replace(image.kind(), &image.name, Some(spec));
            let names = items.revisions.entry(image.kind()).or_default();
            names.insert(image.name.clone(), image.base_revision);
        }
        Ok(items)
    }
}

fn parse_item(item: &Item) -> Result<Spec> {
    match item.kind() {
        Kind::Tier => parse_spec(item).map(Spec::Tier),
        Kind::Team => parse_spec(item).map(Spec::Team),
        Kind::Service => parse_spec(item).map(Spec::Service),
        Kind::Route => parse_spec(item).map(Spec::Route),
        Kind::None => Err(invalid(format!("{} is of no known kind", item.name))),
    }
}

fn parse_spec<T: DeserializeOwned>(item: &Item) -> Result<T> {
    serde_json::from_str(&item.spec).map_err(|error| invalid(format!("{}: {error}", item.name)))
}

fn conflict(kind: Kind, name: &str, current: Revision, expected: Revision) -> Error {
    let kind = kind.as_str();
    let detail = format!("{kind} {name} is at revision {current}, the change expects {expected}");
    Error::new(ErrorKind::Conflict, detail)
}

fn invalid(detail: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidDeclaration, detail)
}
