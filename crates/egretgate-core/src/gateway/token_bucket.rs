//! A team's limit on tokens, enforced by several entries that report to each other what they
//! admitted.
//!
//! A team may send many times its limit through all entries at once, while reports take a fraction
//! of a second. Tokens that were admitted before they were reported become a debt that is paid
//! before more are admitted, so the rate holds over any longer time.

use std::time::{Duration, Instant};

use super::catalog::TokenLimit;
use super::decaying_count::DecayingCount;
use super::limit_tolerance::LimitTolerance;
use crate::Tier;

/// Fraction of the burst that a request leaves to more urgent ones of its team, for each tier by
/// which it is less urgent than the most urgent, where no excess over the limit is tolerated.
const RESERVE_FRACTION: f64 = 0.15;
/// Number of tiers after the most urgent one that have a larger reserve than the tier before.
const MAX_RESERVE_STEPS: u8 = 3;
/// Fraction of the burst up to which a request is too small for a reserve to matter.
const SMALL_FRACTION: f64 = 0.005;
/// Fraction of the burst that a starting fleet assumes to be left where no excess over the limit is
/// declared. What was spent before the start is unknown.
const START_FRACTION: f64 = 0.5;
/// Largest debt beyond the size of the burst, in seconds of the rate.
const MAX_DEBT_SECONDS: f64 = 8.0;
/// Decay time of the recently admitted tokens: long enough for some requests of a small team.
const RECENT_DECAY: Duration = Duration::from_secs(2);
/// Longest wait that is returned, in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// Why a team's limit doesn't allow a request, as one entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// Time after which the tokens will be available.
    pub wait: Duration,
    /// Tokens left for this entry and those that it hears; negative in debt.
    pub level: i64,
    /// Tokens that must be left; negative if the request may use a tolerated excess.
    pub needed: i64,
    /// Entries of a hundred whose reports arrive.
    pub heard_percent: u8,
}

/// The token bucket of the whole fleet, as one entry sees it.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limit: TokenLimit,
    tolerance: LimitTolerance,
    /// Tokens left; at most the burst. Below 0 if more was spent than was known.
    level: f64,
    /// Tokens left for this entry and those that it hears; equal to `level` while it hears all.
    /// Entries that don't hear each other share what was left when they lost each other.
    heard_level: f64,
    /// Fraction of the entries that it heard at the last refill; above 0.
    heard_fraction: f64,
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
        Self {
            limit,
            tolerance: LimitTolerance { overage: 0.0, slack: 0.0, window: Duration::ZERO },
            level: 0.0,
            heard_level: 0.0,
            heard_fraction: 1.0,
            filled: now,
            admitted: 0,
            recent: DecayingCount::new(RECENT_DECAY, now),
        }
    }

    /// Sets the excess over the limit that is tolerated.
    #[must_use]
    pub const fn with_tolerance(mut self, tolerance: LimitTolerance) -> Self {
        self.tolerance = tolerance;
        self
    }

    /// Adds this entry's fraction of the tokens that a starting fleet of `entries` assumes to be
    /// left.
    pub fn add_initial(&mut self, entries: usize) {
        let own_fraction = 1.0 / entries.max(1) as f64;
        if self.has_tolerance() {
            // The others may assume the same until they hear each other.
            self.level = (self.level + self.tolerance.start(self.limit)).min(self.limit.burst);
            self.heard_fraction = own_fraction;
            self.heard_level = self.level * own_fraction;
        } else {
            let tokens = self.limit.burst * START_FRACTION * own_fraction;
            self.level = (self.level + tokens).min(self.limit.burst);
        }
    }

    /// Replaces the limit; tokens beyond the new burst are dropped.
    pub fn set_limit(&mut self, limit: TokenLimit) {
        self.limit = limit;
        self.level = self.level.min(limit.burst);
        self.heard_level = self.heard_level.min(limit.burst * self.heard_fraction);
    }

    /// Takes a request's tokens, or returns what is missing.
    ///
    /// `tier` is the tier of the request's route: while the team is at its limit, its less urgent
    /// requests leave tokens to the more urgent ones. `heard_fraction` is the fraction of
    /// entries whose reports arrive: the others may spend their fraction of the tokens unseen. It is
    /// 0 if the others may spend this entry's part as well.
    pub fn take(
        &mut self,
        cost: u64,
        tier: Tier,
        heard_fraction: f64,
        now: Instant,
    ) -> Result<(), Shortage> {
        self.refill(heard_fraction, now);
        let tokens = cost as f64;
        let needed = self.needed(tokens, tier);
        let level = if self.has_tolerance() { self.heard_level } else { self.level };
        if level >= needed {
            self.add(-tokens);
            self.admitted = self.admitted.saturating_add(cost);
            self.recent.add(tokens, now);
            return Ok(());
        }
        let rate = (self.limit.rate * self.heard_fraction).max(1.0);
        let seconds = (needed - level) / rate;
        Err(Shortage {
            wait: Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS)),
            level: level as i64,
            needed: needed as i64,
            heard_percent: (self.heard_fraction * 100.0) as u8,
        })
    }

    /// Returns the level at which a request may take its tokens. One that is larger than the bucket
    /// is admitted when the bucket is full.
    fn needed(&self, tokens: f64, tier: Tier) -> f64 {
        let burst = self.limit.burst;
        let steps = f64::from(tier.min(MAX_RESERVE_STEPS));
        let is_small = tokens <= burst * SMALL_FRACTION;
        if self.has_tolerance() {
            let urgent = 1.0 - steps / f64::from(MAX_RESERVE_STEPS);
            let excess = if is_small {
                self.tolerance.small(self.limit)
            } else {
                self.tolerance.urgent(self.limit) * urgent
            };
            return tokens.min(burst * self.heard_fraction) - excess * self.heard_fraction;
        }
        let reserve = if is_small { 0.0 } else { steps * RESERVE_FRACTION * burst };
        (tokens + reserve).min(burst)
    }

    /// Puts back the tokens of a request that was not sent to an upstream.
    pub fn refund(&mut self, cost: u64, now: Instant) {
        self.recent.add(-(cost as f64), now);
        self.add(cost as f64);
        self.admitted = self.admitted.saturating_sub(cost);
    }

    /// Records tokens that another entry admitted.
    pub fn record_peer_spend(&mut self, tokens: u64, now: Instant) {
        self.recent.add(tokens as f64, now);
        self.add(-(tokens as f64));
    }

    /// Records tokens that another entry had admitted for requests that it didn't send after all.
    pub fn record_peer_refund(&mut self, tokens: u64, now: Instant) {
        self.recent.add(-(tokens as f64), now);
        self.add(tokens as f64);
    }

    /// Returns the rate at which all entries admitted tokens recently, per second.
    pub fn recent_rate(&self, now: Instant) -> f64 {
        self.recent.rate(now)
    }

    /// Returns true if more was spent than the limit allowed, as far as this entry knows.
    pub const fn is_in_debt(&self) -> bool {
        self.level < 0.0
    }

    /// Returns the limit.
    pub const fn limit(&self) -> TokenLimit {
        self.limit
    }

    /// Returns the tokens admitted by this entry in this incarnation.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }

    const fn has_tolerance(&self) -> bool {
        self.tolerance.overage > 0.0 || self.tolerance.slack > 0.0
    }

    /// Adds tokens to both levels, within their bounds.
    fn add(&mut self, tokens: f64) {
        let floor = -(self.limit.burst + self.limit.rate * MAX_DEBT_SECONDS);
        self.level = (self.level + tokens).max(floor).min(self.limit.burst);
        let most = self.limit.burst * self.heard_fraction;
        self.heard_level = (self.heard_level + tokens).max(floor).min(most);
    }

    fn refill(&mut self, heard_fraction: f64, now: Instant) {
        if heard_fraction <= 0.0 {
            self.filled = self.filled.max(now);
            return;
        }
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        let tokens = elapsed * self.limit.rate * heard_fraction;
        self.level = (self.level + tokens).min(self.limit.burst);
        self.filled = self.filled.max(now);
        if heard_fraction >= 1.0 {
            self.heard_level = self.level;
        } else {
            let kept = (self.heard_level * heard_fraction / self.heard_fraction).min(self.level);
            self.heard_level = (kept + tokens).min(self.limit.burst * heard_fraction);
        }
        self.heard_fraction = heard_fraction;
    }
}
