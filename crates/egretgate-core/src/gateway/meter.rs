//! A team's limit on tokens, kept by several entries that tell each other what they admitted.

use std::time::{Duration, Instant};

use super::catalog::TokenLimit;

/// Part of the burst that a starting entry assumes to be left: what was spent before is unknown.
const START: f64 = 0.5;

/// A token bucket for the whole fleet, as one entry sees it.
#[derive(Debug, Clone)]
pub struct Meter {
    limit: TokenLimit,
    /// Tokens left; in `-burst..=burst`. Below 0 once others have spent more than was known.
    level: f64,
    filled: Instant,
    /// Tokens admitted here in this life of the process.
    admitted: u64,
}

impl Meter {
    /// Returns a meter that starts partly filled.
    pub fn new(limit: TokenLimit, now: Instant) -> Self {
        Self { limit, level: limit.burst * START, filled: now, admitted: 0 }
    }

    /// Replaces the limit; what is left beyond the new one is dropped.
    pub fn set_limit(&mut self, limit: TokenLimit) {
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Takes a request's tokens, or returns the time after which they will be there.
    ///
    /// `share` is the part of the refill that this entry may spend: 1 while every entry reports
    /// what it admits, less while some are out of reach.
    pub fn take(&mut self, cost: u64, share: f64, now: Instant) -> Result<(), Duration> {
        self.fill(share, now);
        // A request larger than the burst is let through when the bucket is full.
        let need = (cost as f64).min(self.limit.burst);
        if self.level >= need {
            self.level -= cost as f64;
            self.admitted += cost;
            return Ok(());
        }
        let rate = (self.limit.rate * share).max(1.0);
        Err(Duration::from_secs_f64(((need - self.level) / rate).min(60.0)))
    }

    /// Returns the tokens of a request that never reached an upstream.
    pub fn give_back(&mut self, cost: u64) {
        self.level = (self.level + cost as f64).min(self.limit.burst);
        self.admitted = self.admitted.saturating_sub(cost);
    }

    /// Notes tokens that another entry admitted.
    pub fn spend_elsewhere(&mut self, tokens: u64) {
        self.level = (self.level - tokens as f64).max(-self.limit.burst);
    }

    /// Returns the tokens admitted here in this life of the process.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }

    fn fill(&mut self, share: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.level = (self.level + passed * self.limit.rate * share).min(self.limit.burst);
        self.filled = self.filled.max(now);
    }
}
