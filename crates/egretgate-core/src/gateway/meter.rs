//! A team's limit on tokens, kept by several entries that tell each other what they admitted.
//!
//! The load it answers is a team that sends many times what it may, through all entries at once,
//! while reports take a fraction of a second. Two buckets bound it. The fleet's bucket counts what
//! every entry admitted, and is exact but late. The entry's own bucket refills with the part of the
//! limit that matches its part of the demand, and is early but coarse: it may be overdrawn by one
//! request, so that a large one isn't refused for its size.

use std::time::{Duration, Instant};

use super::catalog::TokenLimit;

/// Part of the fleet's bucket above which entries need no pacing: what they can admit until the
/// next reports is less.
const AMPLE: f64 = 0.5;
/// Longest debt that is remembered, in seconds of the rate.
const MOST_DEBT: f64 = 8.0;
/// Time in which an ask loses two thirds of its weight in the average, in seconds.
const ASK_MEMORY: f64 = 1.0;
/// Longest wait that is named, in seconds.
const LONGEST_WAIT: f64 = 60.0;

/// The limit as one entry sees it.
#[derive(Debug, Clone)]
pub struct Meter {
    limit: TokenLimit,
    /// Tokens left to the fleet; at most the burst. Below 0 once more was spent than known.
    level: f64,
    /// Tokens left to this entry; at most its part of the burst.
    own: f64,
    filled: Instant,
    /// Tokens admitted here in this life of the process.
    admitted: u64,
    /// Tokens asked for a second, averaged up to `filled`.
    asked: f64,
}

impl Meter {
    /// Returns a meter that starts empty, since what was spent before is unknown.
    pub const fn new(limit: TokenLimit, now: Instant) -> Self {
        Self { limit, level: 0.0, own: 0.0, filled: now, admitted: 0, asked: 0.0 }
    }

    /// Replaces the limit; what is left beyond the new one is dropped.
    pub fn set_limit(&mut self, limit: TokenLimit) {
        self.limit = limit;
        self.level = self.level.min(limit.burst);
        self.own = self.own.min(limit.burst);
    }

    /// Takes a request's tokens, or returns the time after which they will be there.
    ///
    /// `reach` is the part of the entries whose reports are heard: the others may spend their
    /// part unseen. `elsewhere` is what they are asked for, in tokens a second.
    pub fn take(
        &mut self,
        cost: u64,
        reach: f64,
        elsewhere: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        self.fill(reach, elsewhere, now);
        let cost = cost as f64;
        self.asked += cost / ASK_MEMORY;
        // A request larger than the burst is let through when the bucket is full.
        let need = cost.min(self.limit.burst);
        let paced = self.own > 0.0 || self.level >= self.limit.burst * AMPLE;
        if self.level >= need && paced {
            self.level -= cost;
            self.own -= cost;
            self.admitted += cost as u64;
            return Ok(());
        }
        let missing = (need - self.level).max(0.0) + (-self.own).max(0.0);
        Err(Duration::from_secs_f64((missing / self.limit.rate.max(1.0)).min(LONGEST_WAIT)))
    }

    /// Returns the tokens of a request that never reached an upstream.
    pub fn give_back(&mut self, cost: u64) {
        self.level = (self.level + cost as f64).min(self.limit.burst);
        self.own = (self.own + cost as f64).min(self.limit.burst);
        self.admitted = self.admitted.saturating_sub(cost);
    }

    /// Notes tokens that another entry admitted.
    pub fn spend_elsewhere(&mut self, tokens: u64) {
        let floor = -(self.limit.burst + self.limit.rate * MOST_DEBT);
        self.level = (self.level - tokens as f64).max(floor);
    }

    /// Returns the tokens admitted here in this life of the process.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns the tokens a second that callers ask for here.
    pub fn asked(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.asked * (-passed / ASK_MEMORY).exp()
    }

    fn fill(&mut self, reach: f64, elsewhere: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.asked = self.asked(now);
        let all = self.asked + elsewhere;
        let part = if all > 0.0 { self.asked / all } else { 1.0 } * reach;
        let refill = passed * self.limit.rate * reach;
        self.level = (self.level + refill).min(self.limit.burst);
        // Time without requests saves up no more than the entry's part of the burst.
        let cap = self.limit.burst * part;
        self.own = (self.own + passed * self.limit.rate * part).min(cap.max(self.own));
        self.filled = self.filled.max(now);
    }
}
