//! A team's limit on tokens, enforced by several entries that report to each other what they
//! admitted.
//!
//! A team may send many times its limit through all entries at once, while reports take a fraction
//! of a second. Tokens that were admitted before they were reported become a debt that is paid
//! before more are admitted, so the rate holds over any longer time.

use std::time::{Duration, Instant};

use super::catalog::TokenLimit;
use super::decaying_count::DecayingCount;
use crate::Tier;

/// Fraction of the burst that a request leaves to more urgent ones of its team, for each tier by
/// which it is less urgent than the most urgent.
const RESERVE_FRACTION: f64 = 0.15;
/// Number of tiers after the most urgent one that have a larger reserve than the tier before.
const MAX_RESERVE_STEPS: u8 = 3;
/// Fraction of the burst up to which a request is too small for a reserve to matter.
const SMALL_FRACTION: f64 = 0.005;
/// Fraction of the burst that a starting fleet assumes to be left. What was spent before the start
/// is unknown; the platform tolerates an excess of a tenth of what the limit allows in eight
/// seconds, which is more than this fraction.
const START_FRACTION: f64 = 0.5;
/// Largest debt beyond the size of the burst, in seconds of the rate.
const MAX_DEBT_SECONDS: f64 = 8.0;
/// Decay time of the recently admitted tokens: long enough for some requests of a small team.
const RECENT_DECAY: Duration = Duration::from_secs(2);
/// Longest wait that is returned, in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// The token bucket of the whole fleet, as one entry sees it.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limit: TokenLimit,
    /// Tokens left; at most the burst. Below 0 if more was spent than was known.
    level: f64,
    filled: Instant,
    /// Tokens admitted by this entry in this incarnation.
    admitted: u64,
    /// Tokens that all entries admitted recently.
    recent: DecayingCount,
}

impl TokenBucket {
    /// Returns an empty bucket; [`TokenBucket::add_initial`] follows once the number of entries is
    /// known.
    pub const fn new(limit: TokenLimit, now: Instant) -> Self {
        let recent = DecayingCount::new(RECENT_DECAY, now);
        Self { limit, level: 0.0, filled: now, admitted: 0, recent }
    }

    /// Adds this entry's fraction of the tokens that a starting fleet of `entries` assumes to be
    /// left.
    pub fn add_initial(&mut self, entries: usize) {
        let tokens = self.limit.burst * START_FRACTION / entries.max(1) as f64;
        self.level = (self.level + tokens).min(self.limit.burst);
    }

    /// Replaces the limit; tokens beyond the new burst are dropped.
    pub fn set_limit(&mut self, limit: TokenLimit) {
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Takes a request's tokens, or returns the time after which they will be available.
    ///
    /// `tier` is the tier of the request's route: while the team is at its limit, its less urgent
    /// requests leave tokens to the more urgent ones. `heard_fraction` is the fraction of
    /// entries whose reports arrive: the others may spend their fraction of the tokens unseen.
    pub fn take(
        &mut self,
        cost: u64,
        tier: Tier,
        heard_fraction: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        self.refill(heard_fraction, now);
        let cost = cost as f64;
        let burst = self.limit.burst;
        let steps = f64::from(tier.min(MAX_RESERVE_STEPS));
        let reserve =
            if cost > burst * SMALL_FRACTION { steps * RESERVE_FRACTION * burst } else { 0.0 };
        // A request larger than the burst is admitted when the bucket is full.
        let needed = (cost + reserve).min(burst);
        if self.level >= needed {
            self.level -= cost;
            self.admitted += cost as u64;
            self.recent.add(cost, now);
            return Ok(());
        }
        let seconds = (needed - self.level) / self.limit.rate.max(1.0);
        Err(Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS)))
    }

    /// Puts back the tokens of a request that was not sent to an upstream.
    pub fn refund(&mut self, cost: u64, now: Instant) {
        self.recent.add(-(cost as f64), now);
        self.level = (self.level + cost as f64).min(self.limit.burst);
        self.admitted = self.admitted.saturating_sub(cost);
    }

    /// Records tokens that another entry admitted.
    pub fn record_peer_spend(&mut self, tokens: u64, now: Instant) {
        self.recent.add(tokens as f64, now);
        let floor = -(self.limit.burst + self.limit.rate * MAX_DEBT_SECONDS);
        self.level = (self.level - tokens as f64).max(floor);
    }

    /// Returns the rate at which all entries admitted tokens recently, per second.
    pub fn recent_rate(&self, now: Instant) -> f64 {
        self.recent.rate(now)
    }

    /// Returns the limit.
    pub const fn limit(&self) -> TokenLimit {
        self.limit
    }

    /// Returns the tokens admitted by this entry in this incarnation.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }

    fn refill(&mut self, heard_fraction: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.level =
            (self.level + elapsed * self.limit.rate * heard_fraction).min(self.limit.burst);
        self.filled = self.filled.max(now);
    }
}
