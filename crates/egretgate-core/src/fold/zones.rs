//! Zones that operators have drained: their upstreams get no new requests.

use std::collections::BTreeMap;

use crate::error::{Error, ErrorKind, Result};
use crate::fold::image::ZoneImage;
use crate::ids::{Offset, OperatorId, Revision, ZoneId};
use crate::record::body::{ZoneAction, ZoneOrder};

/// Largest number of drained zones; an order beyond it is refused.
pub const MAX_DRAINED_ZONES: usize = 256;

/// A drained zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainedZone {
    /// Number of the order that drained it: above 0, and never that of another order.
    pub revision: Revision,
    /// Operator who requested it.
    pub operator: OperatorId,
    /// Reason given by the operator.
    pub reason: String,
    /// When the entry received the order, in milliseconds since the Unix epoch; for display only.
    pub at_ms: u64,
}

/// The drained zones by name; a restored zone is absent.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneTable {
    pub(super) drained: BTreeMap<ZoneId, DrainedZone>,
}

impl ZoneTable {
    /// Returns the revision of a zone; 0 if it is not drained.
    pub(super) fn revision(&self, zone: &str) -> Revision {
        self.drained.get(zone).map_or(0, |drained| drained.revision)
    }

    /// Applies the order at `offset`, or changes nothing and returns why.
    pub(super) fn apply(&mut self, offset: Offset, order: &ZoneOrder) -> Result<()> {
        let zone = &order.zone;
        let current = self.revision(zone);
        if current != order.base_revision {
            let expected = order.base_revision;
            let detail =
                format!("zone {zone} is at revision {current}, the order expects {expected}");
            return Err(Error::new(ErrorKind::Conflict, detail));
        }
        match order.action() {
            ZoneAction::Drain if current > 0 => {
                Err(Error::new(ErrorKind::Conflict, format!("zone {zone} is drained already")))
            }
            ZoneAction::Drain if self.drained.len() >= MAX_DRAINED_ZONES => {
                let detail = format!("{MAX_DRAINED_ZONES} zones are drained already");
                Err(Error::new(ErrorKind::TooLarge, detail))
            }
            ZoneAction::Drain => {
                self.drained.insert(zone.clone(), DrainedZone::new(offset, order));
                Ok(())
            }
            ZoneAction::Restore if current == 0 => {
                Err(Error::new(ErrorKind::Conflict, format!("zone {zone} is not drained")))
            }
            ZoneAction::Restore => {
                self.drained.remove(zone);
                Ok(())
            }
            ZoneAction::None => {
                let detail = format!("the order for zone {zone} has no known action");
                Err(Error::new(ErrorKind::InvalidDeclaration, detail))
            }
        }
    }

    pub(super) fn images(&self) -> Vec<ZoneImage> {
        let image = |(zone, drained): (&ZoneId, &DrainedZone)| ZoneImage {
            zone: zone.clone(),
            revision: drained.revision,
            operator: drained.operator.clone(),
            reason: drained.reason.clone(),
            at_ms: drained.at_ms,
        };
        self.drained.iter().map(image).collect()
    }

    pub(super) fn from_images(images: Vec<ZoneImage>) -> Self {
        let zone = |image: ZoneImage| {
            let drained = DrainedZone {
                revision: image.revision,
                operator: image.operator,
                reason: image.reason,
                at_ms: image.at_ms,
            };
            (image.zone, drained)
        };
        Self { drained: images.into_iter().map(zone).collect() }
    }
}

impl DrainedZone {
    fn new(offset: Offset, order: &ZoneOrder) -> Self {
        Self {
            revision: offset + 1,
            operator: order.operator.clone(),
            reason: order.reason.clone(),
            at_ms: order.at_ms,
        }
    }
}
