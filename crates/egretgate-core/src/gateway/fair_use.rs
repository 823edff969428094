//! Which teams use more than their fair part of the fleet.
//!
//! Answers the load of a team that sends many times its usual while the others send theirs. Within
//! a tier requests go by arrival, so that team would fill the slots, and the others would be refused
//! beside it. The fair part of a team is in proportion to its limit: under a load beyond the
//! capacity, teams that use a larger fraction of their limits than the whole fleet does yield.

use std::time::{Duration, Instant};

use super::token_bucket::TokenBucket;

/// Excess over the fleet's fraction up to which a team is within its part, so that the chance of
/// arrivals doesn't decide.
const TOLERANCE: f64 = 1.25;
/// Interval between two computations of the fleet's fraction.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Fraction of its limit that an active team uses at least.
const MIN_ACTIVE_FRACTION: f64 = 0.01;

/// The use of the limits by all teams together.
#[derive(Debug, Clone, Copy, Default)]
pub struct FairUse {
    /// Recent use of all active teams, as a fraction of the sum of their limits.
    fraction: f64,
    updated: Option<Instant>,
}

impl FairUse {
    /// Computes the use from the teams' buckets, if it is outdated.
    pub fn update<'a>(&mut self, buckets: impl Iterator<Item = &'a TokenBucket>, now: Instant) {
        if self.updated.is_some_and(|updated| now.duration_since(updated) < UPDATE_INTERVAL) {
            return;
        }
        self.updated = Some(now);
        let (mut used, mut limits) = (0.0, 0.0);
        for bucket in buckets {
            let rate = bucket.recent_rate(now);
            // The limits of teams that send nothing are no measure of what the others may use.
            if rate > bucket.limit().rate * MIN_ACTIVE_FRACTION {
                used += rate;
                limits += bucket.limit().rate;
            }
        }
        self.fraction = if limits > 0.0 { used / limits } else { 0.0 };
    }

    /// Returns true if a team uses more than its fair part.
    pub fn is_exceeded(&self, bucket: &TokenBucket, now: Instant) -> bool {
        bucket.recent_rate(now) > bucket.limit().rate * self.fraction * TOLERANCE
    }
}
