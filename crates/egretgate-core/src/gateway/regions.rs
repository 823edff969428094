//! The regions in which the requests of a route or of a team may run.

use crate::RegionId;

/// Regions in which requests may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    /// The allowed regions; `None` if every region is allowed.
    allowed: Option<Vec<RegionId>>,
}

impl Regions {
    /// Every region.
    pub const ANY: Self = Self { allowed: None };

    /// Returns a restriction to the given regions; an empty list allows every region.
    pub fn new(regions: Vec<RegionId>) -> Self {
        Self { allowed: (!regions.is_empty()).then_some(regions) }
    }

    /// Returns the regions that both allow, which may be none.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        let allowed = match (&self.allowed, &other.allowed) {
            (Some(own), Some(_)) => {
                let both = own.iter().filter(|region| other.allows(Some(region)));
                Some(both.cloned().collect())
            }
            (own, other) => own.clone().or_else(|| other.clone()),
        };
        Self { allowed }
    }

    /// Returns true if requests may run in a region; a restriction excludes an unknown one.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(allowed) = &self.allowed else { return true };
        region.is_some_and(|region| allowed.iter().any(|allowed| allowed == region))
    }

    /// Returns true if every region is allowed.
    pub const fn is_any(&self) -> bool {
        self.allowed.is_none()
    }
}
