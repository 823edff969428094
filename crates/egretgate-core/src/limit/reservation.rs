//! Capacity reserved for urgent tiers.

use std::time::{Duration, Instant};

use crate::ids::{MAX_TIERS, Tier};

/// Time for which capacity stays reserved for a tier after work of that tier was last offered.
const RESERVATION_TIME: Duration = Duration::from_secs(5);

/// Tiers for which capacity is reserved because such work was offered recently.
///
/// An engine can't be made to release a slot, so a request of the top tier that finds all slots in
/// use waits until a less urgent request ends. While more urgent work is offered, work of a lower
/// tier therefore leaves a fraction of the limit free: trunk reservation, as in circuit-switched
/// networks (Key, "Optimal Control and Trunk Reservation in Loss Networks", 1990).
#[derive(Debug, Clone, Default)]
pub struct Reservation {
    last_offers: [Option<Instant>; MAX_TIERS],
}

impl Reservation {
    /// Records that work of `tier` was offered.
    pub fn record_offer(&mut self, tier: Tier, now: Instant) {
        self.last_offers[usize::from(tier).min(MAX_TIERS - 1)] = Some(now);
    }

    /// Returns true if work of `tier` must leave reserved capacity free for a more urgent tier.
    pub fn applies_to(&self, tier: Tier, now: Instant) -> bool {
        let above = usize::from(tier).min(MAX_TIERS - 1);
        let recent = |at: &Instant| now.saturating_duration_since(*at) <= RESERVATION_TIME;
        self.last_offers[..above].iter().flatten().any(recent)
    }
}
