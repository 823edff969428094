//! The availability zones that operators drain.
//!
//! A zone is drained while the directory says so. Orders have no version, so a copy of the directory
//! without the newest ones looks like a restored zone. What holds is decided by what this entry has
//! seen.

use std::time::{Duration, Instant};

use crate::ZoneId;

/// Longest time for which a drain holds that the directory's present era lacks: operators write a
/// lost order again within it.
pub const HOLD_TIME: Duration = Duration::from_secs(30);

/// The drained zones in force, across the beginnings of eras.
#[derive(Debug, Clone, Default)]
pub struct HeldZones {
    /// The drained zones in force.
    current: Vec<ZoneId>,
    /// Zones in `current` that the present era has not confirmed; empty without a hold.
    unconfirmed: Vec<ZoneId>,
    /// End of the hold; `None` if there is none.
    until: Option<Instant>,
}

impl HeldZones {
    /// Begins an era. The drains in force hold until the directory lists them again, for
    /// [`HOLD_TIME`] at most.
    pub fn begin_era(&mut self, now: Instant) {
        self.unconfirmed.clone_from(&self.current);
        self.until = (!self.current.is_empty()).then_some(now + HOLD_TIME);
    }

    /// Returns the end of the hold, at which the zones must be read again.
    pub const fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns the number of zones that the present era has not confirmed.
    pub const fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Replaces the zones by those that were read and returns the drained zones in force from then
    /// on, in order of their names.
    pub fn apply(&mut self, mut read: Vec<ZoneId>, now: Instant) -> Vec<ZoneId> {
        let is_over = self.until.is_none_or(|until| now >= until);
        self.unconfirmed.retain(|zone| !is_over && !read.contains(zone));
        if self.unconfirmed.is_empty() {
            self.until = None;
        }
        read.extend(self.unconfirmed.iter().cloned());
        read.sort_unstable();
        read.dedup();
        self.current = read;
        self.current.clone()
    }
}

/// A zone whose drain began or ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneChange {
    /// Zone.
    pub zone: ZoneId,
    /// True if it is drained from now on.
    pub drained: bool,
    /// Upstreams listed there; 0 for a zone that nobody knows.
    pub upstreams: usize,
}
