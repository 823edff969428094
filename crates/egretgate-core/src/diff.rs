//! Differences between declarations, item by item.
//!
//! ```
//! use egretgate_core::declaration::{Declarations, TierSpec};
//! use egretgate_core::diff::{apply, diff};
//!
//! let mut to = Declarations::default();
//! let door: TierSpec = serde_json::from_str(r#"{"rank": 0}"#).unwrap();
//! to.tiers.insert("door".to_owned(), door);
//!
//! let changes = diff(&Declarations::default(), &to);
//! let mut from = Declarations::default();
//! apply(&mut from, &changes);
//! assert_eq!(from, to);
//! ```

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::declaration::{Declarations, RouteSpec, ServiceSpec, TeamSpec, TierSpec};

/// A section of a declaration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Section {
    /// Tiers.
    Tiers,
    /// Services.
    Services,
    /// Teams, which refer to tiers.
    Teams,
    /// Routes, which refer to services.
    Routes,
}

/// A declared item.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Item {
    /// A tier.
    Tier(TierSpec),
    /// A service.
    Service(ServiceSpec),
    /// A team.
    Team(TeamSpec),
    /// A route.
    Route(RouteSpec),
}

/// Change of one item. `before` and `after` differ, and their items belong to the section.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Section of the item.
    pub section: Section,
    /// Name of the item.
    pub name: String,
    /// Item before the change; `None` if it is new.
    pub before: Option<Item>,
    /// Item after the change; `None` if it is deleted.
    pub after: Option<Item>,
}

impl Section {
    /// Every section; those that others refer to come first.
    pub const ALL: [Self; 4] = [Self::Tiers, Self::Services, Self::Teams, Self::Routes];

    /// Returns the name of the section in a file.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Tiers => "tiers",
            Self::Services => "services",
            Self::Teams => "teams",
            Self::Routes => "routes",
        }
    }

    /// Returns the section with the given name in a file.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.as_str() == name)
    }
}

impl Item {
    /// Returns the section that the item belongs to.
    pub const fn section(&self) -> Section {
        match self {
            Self::Tier(_) => Section::Tiers,
            Self::Service(_) => Section::Services,
            Self::Team(_) => Section::Teams,
            Self::Route(_) => Section::Routes,
        }
    }

    /// Returns the item as TOML, without its table header.
    pub fn to_toml(&self) -> String {
        // Specs contain only text, numbers, lists and flags, all of which TOML can express.
        toml::to_string(self).unwrap_or_default()
    }
}

impl Change {
    /// Returns the name of the item with its section, such as `teams.textile-mills`.
    pub fn path(&self) -> String {
        format!("{}.{}", self.section, self.name)
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Returns the changes that lead from one state to another: first puts, with items that others
/// refer to first, then deletes in the opposite order.
pub fn diff(from: &Declarations, to: &Declarations) -> Vec<Change> {
    let mut puts = Vec::new();
    let mut deletes = Vec::new();
    diff_section(Section::Tiers, &from.tiers, &to.tiers, Item::Tier, &mut puts, &mut deletes);
    diff_section(
        Section::Services,
        &from.services,
        &to.services,
        Item::Service,
        &mut puts,
        &mut deletes,
    );
    diff_section(Section::Teams, &from.teams, &to.teams, Item::Team, &mut puts, &mut deletes);
    diff_section(Section::Routes, &from.routes, &to.routes, Item::Route, &mut puts, &mut deletes);
    deletes.reverse();
    puts.extend(deletes);
    puts
}

/// Applies `changes` in order, without checking the previous items.
pub fn apply(declarations: &mut Declarations, changes: &[Change]) {
    for change in changes {
        match &change.after {
            Some(item) => put(declarations, change.name.clone(), item.clone()),
            None => delete(declarations, change.section, &change.name),
        }
    }
}

/// Adds or replaces one item.
pub fn put(declarations: &mut Declarations, name: String, item: Item) {
    match item {
        Item::Tier(spec) => drop(declarations.tiers.insert(name, spec)),
        Item::Service(spec) => drop(declarations.services.insert(name, spec)),
        Item::Team(spec) => drop(declarations.teams.insert(name, spec)),
        Item::Route(spec) => drop(declarations.routes.insert(name, spec)),
    }
}

/// Deletes one item, if it exists.
pub fn delete(declarations: &mut Declarations, section: Section, name: &str) {
    match section {
        Section::Tiers => drop(declarations.tiers.remove(name)),
        Section::Services => drop(declarations.services.remove(name)),
        Section::Teams => drop(declarations.teams.remove(name)),
        Section::Routes => drop(declarations.routes.remove(name)),
    }
}

fn diff_section<T: Clone + PartialEq>(
    section: Section,
    from: &BTreeMap<String, T>,
    to: &BTreeMap<String, T>,
    wrap: fn(T) -> Item,
    puts: &mut Vec<Change>,
    deletes: &mut Vec<Change>,
) {
    let change = |name: &String, before: Option<&T>, after: Option<&T>| Change {
        section,
        name: name.clone(),
        before: before.cloned().map(wrap),
        after: after.cloned().map(wrap),
    };
    for (name, after) in to {
        let before = from.get(name);
        if before != Some(after) {
            puts.push(change(name, before, Some(after)));
        }
    }
    for (name, before) in from {
        if !to.contains_key(name) {
            deletes.push(change(name, Some(before), None));
        }
    }
}
