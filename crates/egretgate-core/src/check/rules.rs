//! Rules for declarations, apart from their file format.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use super::{
    Fault, MAX_KEY_WINDOW_S, MAX_NAME_BYTES, MAX_PATH_BYTES, MAX_REQUESTS, MAX_ROUTES,
    MAX_SERVICES, MAX_TEAM_KEYS, MAX_TEAMS, MAX_TIER_TIME_MS, MAX_WEIGHT,
};
use crate::declaration::{
    Declarations, Outage, RouteSpec, ServiceKind, ServiceSpec, TeamSpec, TierSpec,
};
use crate::diff::Section;
use crate::ids::{MAX_TIERS, Tier};

/// Length of a BLAKE3 hash in hexadecimal digits.
const KEY_DIGITS: usize = 64;

/// Returns every fault of `declarations`; empty if they are valid.
pub fn faults(declarations: &Declarations) -> Vec<Fault> {
    let mut check = Check { declarations, faults: Vec::new() };
    for section in Section::ALL {
        check.check_size(section);
    }
    check.check_tiers();
    check.check_services();
    check.check_teams();
    check.check_routes();
    check.faults
}

/// Returns the faults of one item in the state `declarations`, but none of other items.
///
/// If the state was valid before the item was added or replaced, these are all its faults. The cost
/// grows with the item's section only where values must be unique.
pub fn item_faults(declarations: &Declarations, section: Section, name: &str) -> Vec<Fault> {
    let mut check = Check { declarations, faults: Vec::new() };
    check.check_size(section);
    match section {
        Section::Tiers => check.check_one_tier(name),
        Section::Services => {
            if let Some(service) = declarations.services.get(name) {
                check.check_service(name, service);
            }
        }
        Section::Teams => check.check_one_team(name),
        Section::Routes => check.check_one_route(name),
    }
    check.faults
}

/// Returns a message if a name is invalid. A valid name has 1 to [`MAX_NAME_BYTES`] ASCII letters,
/// digits, `-`, `_` or `.`.
pub fn name_fault(name: &str) -> Option<String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() {
        Some("a name can't be empty".to_owned())
    } else if name.len() > MAX_NAME_BYTES {
        Some(format!("a name has at most {MAX_NAME_BYTES} bytes"))
    } else if !name.chars().all(allowed) {
        Some("a name holds only letters, digits, '-', '_' and '.'".to_owned())
    } else {
        None
    }
}

struct Check<'a> {
    declarations: &'a Declarations,
    faults: Vec<Fault>,
}

impl<'a> Check<'a> {
    fn push(&mut self, path: &[&str], message: impl Into<String>) {
        self.faults.push(Fault::new(path, message));
    }

    fn check_name(&mut self, section: &str, name: &str) {
        if let Some(message) = name_fault(name) {
            self.push(&[section, name], message);
        }
    }

    fn check_range<T: PartialOrd + std::fmt::Display>(
        &mut self,
        path: &[&str],
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            let (low, high) = range.into_inner();
            self.push(path, format!("{value} is not in {low}..={high}"));
        }
    }

    fn check_size(&mut self, section: Section) {
        let declared = self.declarations;
        let (size, max) = match section {
            Section::Tiers => (declared.tiers.len(), MAX_TIERS),
            Section::Teams => (declared.teams.len(), MAX_TEAMS),
            Section::Services => (declared.services.len(), MAX_SERVICES),
            Section::Routes => (declared.routes.len(), MAX_ROUTES),
        };
        if size > max {
            self.push(
                &[section.as_str()],
                format!("{size} are declared; at most {max} are allowed"),
            );
        }
    }

    fn check_one_tier(&mut self, name: &str) {
        let declared = self.declarations;
        let Some(tier) = declared.tiers.get(name) else { return };
        self.check_tier(name, tier);
        let same = |(other, spec): &(&String, &TierSpec)| *other != name && spec.rank == tier.rank;
        if let Some((other, _)) = declared.tiers.iter().find(same) {
            self.push_rank_taken(name, tier.rank, other);
        }
    }

    fn check_one_team(&mut self, name: &str) {
        let declared = self.declarations;
        let Some(team) = declared.teams.get(name) else { return };
        self.check_team(name, team);
        for (index, key) in team.keys.iter().enumerate() {
            if team.keys[..index].contains(key) {
                self.push_key_taken(name, name);
            }
            let same =
                |(other, spec): &(&String, &TeamSpec)| *other != name && spec.keys.contains(key);
            if let Some((other, _)) = declared.teams.iter().find(same) {
                self.push_key_taken(name, other);
            }
        }
    }

    fn check_one_route(&mut self, name: &str) {
        let declared = self.declarations;
        let Some(route) = declared.routes.get(name) else { return };
        self.check_route(name, route);
        let others = || declared.routes.iter().filter(|(other, _)| *other != name);
        let model = |(_, other): &(&String, &RouteSpec)| other.model == route.model;
        if let (Some(text), Some((other, _))) = (&route.model, others().find(model)) {
            self.push_selector_taken(name, "model", text, other);
        }
        let path = |(_, other): &(&String, &RouteSpec)| other.path == route.path;
        if let (Some(text), Some((other, _))) = (&route.path, others().find(path)) {
            self.push_selector_taken(name, "path", text, other);
        }
    }

    fn push_rank_taken(&mut self, name: &str, rank: Tier, other: &str) {
        self.push(&["tiers", name, "rank"], format!("rank {rank} is taken by tier `{other}`"));
    }

    /// Reports a key that two teams declare: it would let one team's requests be charged to the
    /// other.
    fn push_key_taken(&mut self, name: &str, other: &str) {
        self.push(&["teams", name, "keys"], format!("a key is also a key of team `{other}`"));
    }

    fn push_selector_taken(&mut self, name: &str, field: &str, text: &str, other: &str) {
        let message = format!("`{text}` already selects route `{other}`");
        self.push(&["routes", name, field], message);
    }

    fn check_tiers(&mut self) {
        let mut ranks = BTreeMap::new();
        for (name, tier) in &self.declarations.tiers {
            self.check_tier(name, tier);
            if let Some(other) = ranks.insert(tier.rank, name) {
                self.push_rank_taken(name, tier.rank, other);
            }
        }
    }

    fn check_tier(&mut self, name: &str, tier: &TierSpec) {
        self.check_name("tiers", name);
        let field = |field| ["tiers", name, field];
        if usize::from(tier.rank) >= MAX_TIERS {
            let message = format!("rank {} is not below {MAX_TIERS}", tier.rank);
            self.push(&field("rank"), message);
        }
        if !(tier.objective > 0.0 && tier.objective < 1.0) {
            let message = format!("{} is not between 0 and 1, both excluded", tier.objective);
            self.push(&field("objective"), message);
        }
        self.check_range(&field("first_token_ms"), tier.first_token_ms, 1..=MAX_TIER_TIME_MS);
        self.check_range(&field("between_tokens_ms"), tier.between_tokens_ms, 1..=MAX_TIER_TIME_MS);
        self.check_range(&field("deadline_ms"), tier.deadline_ms, 1..=MAX_TIER_TIME_MS);
    }

    fn check_services(&mut self) {
        for (name, service) in &self.declarations.services {
            self.check_service(name, service);
        }
    }

    fn check_service(&mut self, name: &str, service: &ServiceSpec) {
        self.check_name("services", name);
        let field = |field| ["services", name, field];
        if let Some(message) = name_fault(&service.version) {
            self.push(&field("version"), message);
        }
        self.check_range(&field("queue"), service.queue, 1..=MAX_REQUESTS);
        self.check_range(&field("concurrency"), service.concurrency, 1..=MAX_REQUESTS);
    }

    fn check_teams(&mut self) {
        let mut keys = BTreeMap::new();
        for (name, team) in &self.declarations.teams {
            self.check_team(name, team);
            for key in &team.keys {
                if let Some(other) = keys.insert(key.as_str(), name.as_str()) {
                    self.push_key_taken(name, other);
                }
            }
        }
    }

    fn check_team(&mut self, name: &str, team: &TeamSpec) {
        self.check_name("teams", name);
        let field = |field| ["teams", name, field];
        self.check_tier_declared(&field("tier"), &team.tier);
        for (index, tier) in team.tiers.iter().enumerate() {
            self.check_tier_declared(&field("tiers"), tier);
            if team.tiers[..index].contains(tier) {
                self.push(&field("tiers"), format!("tier `{tier}` is named twice"));
            }
        }
        if !team.tiers.is_empty() && !team.tiers.contains(&team.tier) {
            let message =
                format!("`{}`, the tier of requests that specify none, is missing", team.tier);
            self.push(&field("tiers"), message);
        }
        if team.keys.len() > MAX_TEAM_KEYS {
            self.push(&field("keys"), format!("a team has at most {MAX_TEAM_KEYS} keys"));
        }
        if team.keys.iter().any(|key| !is_hash(key)) {
            let message = format!("a key is a BLAKE3 hash: {KEY_DIGITS} lower-case hex digits");
            self.push(&field("keys"), message);
        }
        self.check_range(&field("weight"), team.weight, 1..=MAX_WEIGHT);
    }

    fn check_tier_declared(&mut self, path: &[&str], tier: &str) {
        if !self.declarations.tiers.contains_key(tier) {
            self.push(path, format!("no tier `{tier}` is declared"));
        }
    }

    fn check_routes(&mut self) {
        let mut models = BTreeMap::new();
        let mut paths = BTreeMap::new();
        for (name, route) in &self.declarations.routes {
            self.check_route(name, route);
            self.check_unique(name, "model", route.model.as_deref(), &mut models);
            self.check_unique(name, "path", route.path.as_deref(), &mut paths);
        }
    }

    fn check_unique(
        &mut self,
        name: &'a str,
        field: &str,
        value: Option<&'a str>,
        seen: &mut BTreeMap<&'a str, &'a str>,
    ) {
        let Some(value) = value else { return };
        if let Some(other) = seen.insert(value, name) {
            self.push_selector_taken(name, field, value, other);
        }
    }

    fn check_route(&mut self, name: &str, route: &RouteSpec) {
        self.check_name("routes", name);
        let field = |field| ["routes", name, field];
        let service = self.declarations.services.get(&route.service);
        if service.is_none() {
            self.push(&field("service"), format!("no service `{}` is declared", route.service));
        }
        if let Some(model) = &route.model {
            self.check_model(&field("model"), model);
        }
        if let Some(path) = &route.path {
            self.check_path(&field("path"), path);
        }
        match (&route.model, &route.path) {
            (Some(_), Some(_)) => {
                self.push(&field("path"), "a route has a model or a path, not both");
            }
            (None, None) => self.push(&field("model"), "a route needs a model or a path"),
            (Some(_), None) | (None, Some(_)) => {}
        }
        if let Some(service) = service {
            self.check_kind(name, route, service.kind);
        }
        if route.outage == Outage::Memory {
            let message = "`memory` is not supported by this version; use `refuse`";
            self.push(&["routes", name, "outage"], message);
        }
        self.check_range(&field("window_s"), route.window_s, 1..=MAX_KEY_WINDOW_S);
    }

    fn check_kind(&mut self, name: &str, route: &RouteSpec, kind: ServiceKind) {
        let field = |field| ["routes", name, field];
        match kind {
            ServiceKind::Engine if route.path.is_some() => {
                self.push(&field("path"), "a route to engines is selected by a model");
            }
            ServiceKind::Plain if route.model.is_some() => {
                self.push(&field("model"), "a route to a plain service is selected by a path");
            }
            ServiceKind::Engine | ServiceKind::Plain => {}
        }
        if kind == ServiceKind::Engine && route.once {
            self.push(&field("once"), "only a route to a plain service may set it");
        }
    }

    fn check_model(&mut self, path: &[&str], model: &str) {
        if model.is_empty() || !model.bytes().all(|byte| byte.is_ascii_graphic()) {
            self.push(path, "a model holds only visible ASCII characters");
        }
        if model.len() > MAX_NAME_BYTES {
            self.push(path, format!("a model has at most {MAX_NAME_BYTES} bytes"));
        }
    }

    fn check_path(&mut self, path: &[&str], prefix: &str) {
        let visible = prefix.bytes().all(|byte| byte.is_ascii_graphic());
        if !prefix.starts_with('/') || !visible || prefix.contains(['?', '#']) {
            self.push(path, "a path starts with '/' and holds neither space, '?' nor '#'");
        }
        if prefix.contains("//") || prefix.split('/').any(|part| part == "." || part == "..") {
            self.push(path, "a path holds no empty, '.' or '..' segment");
        }
        if prefix.len() > MAX_PATH_BYTES {
            self.push(path, format!("a path has at most {MAX_PATH_BYTES} bytes"));
        }
    }
}

fn is_hash(key: &str) -> bool {
    key.len() == KEY_DIGITS && key.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
