//! Conversions of declared items and burn rows between protobuf messages and core types.

use std::time::Duration;

use egretgate_core::burn::{Count, Row, WINDOWS};
use egretgate_core::declaration::{
    Fencing, Outage, RouteSpec, ServiceKind, ServiceSpec, TeamSpec, TierSpec,
};
use egretgate_core::diff::{Item, Section};
use egretgate_core::{Error, ErrorKind, Result};

use crate::proto::item::Spec;
use crate::proto::{self, Kind};

impl From<Section> for Kind {
    fn from(section: Section) -> Self {
        match section {
            Section::Tiers => Self::Tier,
            Section::Teams => Self::Team,
            Section::Services => Self::Service,
            Section::Routes => Self::Route,
        }
    }
}

impl Kind {
    /// Returns the section that holds items of this kind; `None` if the kind is unspecified.
    pub const fn section(self) -> Option<Section> {
        match self {
            Self::Unspecified => None,
            Self::Tier => Some(Section::Tiers),
            Self::Team => Some(Section::Teams),
            Self::Service => Some(Section::Services),
            Self::Route => Some(Section::Routes),
        }
    }
}

impl From<Item> for Spec {
    fn from(item: Item) -> Self {
        match item {
            Item::Tier(tier) => Self::Tier(tier.into()),
            Item::Team(team) => Self::Team(team.into()),
            Item::Service(service) => Self::Service(service.into()),
            Item::Route(route) => Self::Route(route.into()),
        }
    }
}

impl TryFrom<Spec> for Item {
    type Error = Error;

    fn try_from(spec: Spec) -> Result<Self> {
        match spec {
            Spec::Tier(tier) => tier.try_into().map(Self::Tier),
            Spec::Team(team) => Ok(Self::Team(team.into())),
            Spec::Service(service) => service.try_into().map(Self::Service),
            Spec::Route(route) => route.try_into().map(Self::Route),
        }
    }
}

impl proto::Item {
    /// Returns the message for an item at `revision`.
    pub fn new(name: impl Into<String>, revision: u64, item: Item) -> Self {
        Self { name: name.into(), revision, spec: Some(item.into()) }
    }

    /// Returns the declared item.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidDeclaration`] if the message holds no declaration or one with a
    /// value that this schema does not define.
    pub fn to_item(&self) -> Result<Item> {
        let spec = self.spec.clone().ok_or_else(|| invalid(&self.name, "holds no declaration"))?;
        spec.try_into()
    }
}

impl From<TierSpec> for proto::Tier {
    fn from(spec: TierSpec) -> Self {
        Self {
            rank: spec.rank.into(),
            objective: spec.objective,
            first_token_ms: spec.first_token_ms,
            between_tokens_ms: spec.between_tokens_ms,
            deadline_ms: spec.deadline_ms,
        }
    }
}

impl TryFrom<proto::Tier> for TierSpec {
    type Error = Error;

    fn try_from(tier: proto::Tier) -> Result<Self> {
        let rank = tier.rank.try_into().map_err(|_| invalid("rank", "is too high"))?;
        Ok(Self {
            rank,
            objective: tier.objective,
            first_token_ms: tier.first_token_ms,
            between_tokens_ms: tier.between_tokens_ms,
            deadline_ms: tier.deadline_ms,
        })
    }
}

impl From<TeamSpec> for proto::Team {
    fn from(spec: TeamSpec) -> Self {
        let TeamSpec { tier, tiers, keys, weight, in_flight } = spec;
        Self { tier, tiers, keys, weight, in_flight }
    }
}

impl From<proto::Team> for TeamSpec {
    fn from(team: proto::Team) -> Self {
        let proto::Team { tier, tiers, keys, weight, in_flight } = team;
        Self { tier, tiers, keys, weight, in_flight }
    }
}

impl From<ServiceSpec> for proto::Service {
    fn from(spec: ServiceSpec) -> Self {
        use proto::service::{Fencing as WireFencing, Upstreams};
        let upstreams = match spec.kind {
            ServiceKind::Engine => Upstreams::Engine,
            ServiceKind::Plain => Upstreams::Plain,
        };
        let fencing = match spec.fencing {
            Fencing::Checked => WireFencing::Checked,
            Fencing::Ignored => WireFencing::Ignored,
        };
        Self {
            upstreams: upstreams.into(),
            version: spec.version,
            fencing: fencing.into(),
            queue: spec.queue,
            concurrency: spec.concurrency,
        }
    }
}

impl TryFrom<proto::Service> for ServiceSpec {
    type Error = Error;

    fn try_from(service: proto::Service) -> Result<Self> {
        use proto::service::{Fencing as WireFencing, Upstreams};
        let kind = match Upstreams::try_from(service.upstreams) {
            Ok(Upstreams::Engine) => ServiceKind::Engine,
            Ok(Upstreams::Plain) => ServiceKind::Plain,
            Ok(Upstreams::Unspecified) | Err(_) => {
                return Err(invalid("kind", "is not engine or plain"));
            }
        };
        let fencing = match WireFencing::try_from(service.fencing) {
            Ok(WireFencing::Checked) => Fencing::Checked,
            Ok(WireFencing::Ignored) => Fencing::Ignored,
            Err(_) => return Err(invalid("fencing", "is not checked or ignored")),
        };
        let proto::Service { version, queue, concurrency, .. } = service;
        Ok(Self { kind, version, fencing, queue, concurrency })
    }
}

impl From<RouteSpec> for proto::Route {
    fn from(spec: RouteSpec) -> Self {
        use proto::route::Outage as WireOutage;
        let outage = match spec.outage {
            Outage::Refuse => WireOutage::Refuse,
            Outage::Memory => WireOutage::Memory,
        };
        let RouteSpec { service, model, path, once, window_s, .. } = spec;
        Self { service, model, path, once, outage: outage.into(), window_s }
    }
}

impl TryFrom<proto::Route> for RouteSpec {
    type Error = Error;

    fn try_from(route: proto::Route) -> Result<Self> {
        use proto::route::Outage as WireOutage;
        let outage = match WireOutage::try_from(route.outage) {
            Ok(WireOutage::Refuse) => Outage::Refuse,
            Ok(WireOutage::Memory) => Outage::Memory,
            Err(_) => return Err(invalid("outage", "is not refuse or memory")),
        };
        let proto::Route { service, model, path, once, window_s, .. } = route;
        Ok(Self { service, model, path, once, outage, window_s })
    }
}

impl From<Row> for proto::BurnRow {
    fn from(row: Row) -> Self {
        let count = |(window, count): (&Duration, Count)| proto::BurnCount {
            window_s: window.as_secs(),
            good: count.good,
            bad: count.bad,
        };
        let counts = WINDOWS.iter().zip(row.counts).map(count).collect();
        Self { tier: row.tier, team: row.team, objective: row.objective, counts }
    }
}

impl TryFrom<proto::BurnRow> for Row {
    type Error = Error;

    fn try_from(row: proto::BurnRow) -> Result<Self> {
        let windows = row.counts.iter().map(|count| count.window_s);
        if !windows.eq(WINDOWS.iter().map(Duration::as_secs)) {
            return Err(invalid("counts", "has windows of another version of the program"));
        }
        let mut counts = [Count::default(); WINDOWS.len()];
        for (slot, count) in counts.iter_mut().zip(&row.counts) {
            *slot = Count { good: count.good, bad: count.bad };
        }
        Ok(Self { tier: row.tier, team: row.team, objective: row.objective, counts })
    }
}

fn invalid(field: &str, problem: &str) -> Error {
    Error::new(ErrorKind::InvalidDeclaration, format!("`{field}` {problem}"))
}
