//! Room kept free for urgent work.

use std::time::{Duration, Instant};

use crate::ids::{MAX_TIERS, Tier};

/// Time after the last offer of a tier for which room is kept for it.
const RESERVATION_TIME: Duration = Duration::from_secs(5);

/// Which tiers were offered of late.
///
/// An engine can't be made to give a slot back, so a request of the top tier that finds every slot
/// taken waits for a lower one to end, however urgent it is. While more urgent work comes, work of
/// a lower tier therefore leaves a part of the limit free: trunk reservation, as in circuit-switched
/// networks (Key, "Optimal Control and Trunk Reservation in Loss Networks", 1990).
#[derive(Debug, Clone, Default)]
pub struct Reservation {
    last_offers: [Option<Instant>; MAX_TIERS],
}

impl Reservation {
    /// Notes an offer of `tier`.
    pub fn record_offer(&mut self, tier: Tier, now: Instant) {
        self.last_offers[usize::from(tier).min(MAX_TIERS - 1)] = Some(now);
    }

    /// Returns whether work of `tier` must leave room for more urgent work.
    pub fn applies_to(&self, tier: Tier, now: Instant) -> bool {
        let above = usize::from(tier).min(MAX_TIERS - 1);
        let recent = |at: &Instant| now.saturating_duration_since(*at) <= RESERVATION_TIME;
        self.last_offers[..above].iter().flatten().any(recent)
    }
}
