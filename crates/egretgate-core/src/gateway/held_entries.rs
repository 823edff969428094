//! The list of entries while the directory's store comes back from an older copy.
//!
//! Limits of teams are divided among the listed entries. A copy that lacks some of them must not
//! raise the parts of the others before the missing ones have listed themselves again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use super::held_upstreams::HOLD_TIME;

/// The list of entries in force, across the beginnings of eras.
#[derive(Debug, Clone, Default)]
pub struct HeldEntries {
    current: BTreeSet<SocketAddr>,
    /// End of the hold; `None` if there is none.
    until: Option<Instant>,
}

impl HeldEntries {
    /// Begins an era. The entries in force stay listed for [`HOLD_TIME`].
    pub fn begin_era(&mut self, now: Instant) {
        self.until = (!self.current.is_empty()).then_some(now + HOLD_TIME);
    }

    /// Returns the end of the hold, at which the list must be read again.
    pub const fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Replaces the list by one that was read and returns the list that is in force from then on.
    pub fn apply(&mut self, read: Vec<SocketAddr>, now: Instant) -> Vec<SocketAddr> {
        if self.until.is_none_or(|until| now >= until) {
            self.until = None;
            self.current.clear();
        }
        self.current.extend(read);
        self.current.iter().copied().collect()
    }
}
