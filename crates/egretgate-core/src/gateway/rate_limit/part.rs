//! One entry's part of a rate that it shares with other entries.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::peer::NameHash;

/// One entry's part of a rate.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::gateway) struct RatePart {
    /// Requests per second; 0 if the rate belongs to other entries.
    rate: f64,
    /// Requests beyond the first that an entry without demand saves up, in seconds of its part.
    saved_seconds: f64,
    /// Requests that this entry may start now; at most 1 and those of `saved_seconds`. Below 0 if
    /// it started more than it knew of.
    level: f64,
    /// Time up to which `level` was filled; `None` without a part.
    filled: Option<Instant>,
}

impl RatePart {
    /// Returns no part of a rate, of which `saved_seconds` may be saved up.
    pub(in crate::gateway) const fn new(saved_seconds: f64) -> Self {
        Self { rate: 0.0, saved_seconds, level: 0.0, filled: None }
    }

    /// Sets the part, in requests per second.
    pub(in crate::gateway) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        if rate <= 0.0 {
            self.filled = None;
        }
    }

    /// Returns the part, in requests per second.
    pub(in crate::gateway) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Ends the limit: the next part begins with nothing.
    pub(in crate::gateway) const fn clear(&mut self) {
        *self = Self::new(self.saved_seconds);
    }

    /// Returns true if this entry may start a request.
    pub(in crate::gateway) fn allows(&self, now: Instant) -> bool {
        self.level_at(now) >= 1.0
    }

    /// Counts a started request.
    pub(in crate::gateway) fn record_start(&mut self, now: Instant) {
        self.refill(now);
        self.level -= 1.0;
    }

    /// Fills the level up to `now`. An entry that just got its part begins with nothing: the entry
    /// that had it may have used it.
    pub(in crate::gateway) fn refill(&mut self, now: Instant) {
        self.level = self.level_at(now);
        self.filled = (self.rate > 0.0).then_some(now);
    }

    fn level_at(&self, now: Instant) -> f64 {
        let Some(filled) = self.filled else { return 0.0 };
        let gained = self.rate * now.saturating_duration_since(filled).as_secs_f64();
        (self.level + gained).min(1.0 + self.rate * self.saved_seconds)
    }
}

/// Returns an entry's place in the upstream's order of entries, which differs from upstream to
/// upstream.
pub(in crate::gateway) fn order_key(entry: NameHash, upstream: NameHash) -> u64 {
    xxh3_64(&[entry.to_le_bytes(), upstream.to_le_bytes()].concat())
}
