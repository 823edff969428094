//! Operators' orders to drain or restore a zone.

use std::time::SystemTime;

use egretgate_core::check::name_fault;
use egretgate_core::fold::ConfigState;
use egretgate_core::record::Body;
use egretgate_core::record::body::{ZoneAction, ZoneOrder};
use egretgate_core::{Error, ErrorKind, Result};
use egretgate_operator::proto;
use egretgate_operator::proto::zone_request::Action;

use super::Operator;
use super::queries::unix_ms;
use crate::entry::fleet::SideStatus;

impl Operator {
    /// Appends the order and waits until it was read back. A zone without upstreams is accepted:
    /// its instances may not be listed yet, or may be gone before it is restored.
    pub(super) async fn zone(&self, request: proto::ZoneRequest) -> Result<proto::ZoneReply> {
        if let Some(fault) = name_fault(&request.zone) {
            return Err(Error::new(ErrorKind::BadRequest, format!("zone: {fault}")));
        }
        let action = match request.action() {
            Action::Drain => ZoneAction::Drain,
            Action::Restore => ZoneAction::Restore,
            Action::Unspecified => ZoneAction::None,
        };
        let author = request.author.unwrap_or_default();
        let order = ZoneOrder {
            operator: author.operator,
            reason: author.reason,
            zone: request.zone.clone(),
            action: action.into(),
            base_revision: request.revision,
            at_ms: unix_ms(SystemTime::now()),
        };
        let offset = self.append(Body::ZoneOrder(order)).await?;
        let sides = self.sides().await?;
        let zone = request.zone;
        self.inspect(move |journal| {
            let drained = journal.state().config().drained_zones();
            let remaining = sides.iter().filter(|side| !drained.contains_key(&side.zone));
            proto::ZoneReply {
                offset,
                upstreams: in_zone(&sides, &zone).count() as u32,
                remaining: remaining.count() as u32,
            }
        })
        .await
    }
}

/// Returns the drained zones, with what the entry knows of their upstreams.
pub(super) fn zones_of(config: &ConfigState, sides: &[SideStatus]) -> Vec<proto::DrainedZone> {
    let zones = config.drained_zones().iter();
    let zone =
        |(zone, drained): (&String, &egretgate_core::fold::DrainedZone)| proto::DrainedZone {
            zone: zone.clone(),
            revision: drained.revision,
            operator: drained.operator.clone(),
            reason: drained.reason.clone(),
            at_ms: drained.at_ms,
            upstreams: in_zone(sides, zone).count() as u32,
            requests: in_zone(sides, zone).map(|side| side.requests).sum(),
        };
    zones.map(zone).collect()
}

fn in_zone<'a>(sides: &'a [SideStatus], zone: &str) -> impl Iterator<Item = &'a SideStatus> {
    sides.iter().filter(move |side| side.zone == zone)
}
