//! Which teams use more than their fair part of the fleet.
//!
//! Answers the load of a team that sends many times its usual while the others send theirs. Within
//! a tier requests go by arrival, so that team would fill the slots, and the others would be refused
//! beside it. The fair part of a team is in proportion to its limit: under a load beyond the
//! capacity, teams that use a larger fraction of their limits than the whole fleet does yield, those
//! that use more after those that use less. What a team uses is known from the reports of all
//! entries, so they come to the same order within a report's age.

use std::time::{Duration, Instant};

use super::token_bucket::TokenBucket;

/// Excess over the fleet's fraction up to which a team is within its part, so that the chance of
/// arrivals doesn't decide.
const TOLERANCE: f64 = 1.25;
/// Factor on the use of a team from one rank to the next beyond the tolerance: the chance of arrivals
/// doesn't decide here either.
const RANK_FACTOR: f64 = 1.5;
/// Largest rank.
const MAX_RANK: u8 = 4;
/// Interval between two computations of the fleet's fraction.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Fraction of its limit that an active team uses at least.
const MIN_ACTIVE_FRACTION: f64 = 0.01;

/// How far a team is beyond its part: 0 within it; more is less urgent.
pub type ShareRank = u8;

/// The use of the limits by all teams together.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamShares {
    /// Recent use of all active teams, as a fraction of the sum of their limits.
    fraction: f64,
    updated: Option<Instant>,
}

impl TeamShares {
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

    /// Returns how far a team is beyond its fair part.
    pub fn rank(&self, bucket: &TokenBucket, now: Instant) -> ShareRank {
        let used = bucket.recent_rate(now);
        let part = bucket.limit().rate * self.fraction * TOLERANCE;
        (0..MAX_RANK)
            .find(|rank| used <= part * RANK_FACTOR.powi((*rank).into()))
            .unwrap_or(MAX_RANK)
    }
}
