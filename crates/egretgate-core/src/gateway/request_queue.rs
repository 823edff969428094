//! The queue before one service, sorted by urgency, by teams' use of their parts, by whether the
//! caller was refused before, then by the time at which an answer is due.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::decaying_count::DecayingCount;
use super::returns::Standing;
use super::team_share::ShareRank;
use crate::Tier;

/// Urgency of a request: the tier of its team, if it has one, then the tier of its route, then
/// whether its team is within its fair part. Lower is more urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Tier of the team, or of the route if the team has none; 0 is the most urgent.
    pub tier: Tier,
    /// Tier of the route, which decides among requests of the same tier.
    pub route_tier: Tier,
    /// True if the team uses more than its fair part; decides among requests of the same tiers.
    pub over_share: bool,
}

/// Number of a request within one incarnation of an entry.
pub type RequestNumber = u64;

/// Lower bound of the rate of starts in an estimated wait, so that the estimate is finite.
const MIN_STARTS_PER_SECOND: f64 = 1e-3;
/// Lower bound of the fraction of the starts that an estimated wait assigns to a priority, so that
/// the estimate is finite.
const MIN_PRIORITY_FRACTION: f64 = 0.05;
/// Decay time of the arrival counts; bursts last for seconds.
const ARRIVAL_DECAY: Duration = Duration::from_secs(1);
/// Upper bound of an estimated wait; no caller waits that long.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// Sort key of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Urgency.
    pub priority: Priority,
    /// How far its team is beyond its part.
    pub share_rank: ShareRank,
    /// Whether it was refused before.
    pub standing: Standing,
    /// Time by which an answer should begin.
    pub objective: Instant,
    /// Number of the request, in order of arrival.
    pub number: RequestNumber,
}

impl QueueKey {
    /// Returns true if the other request may start first.
    fn follows(&self, other: &Self) -> bool {
        let order = |key: &Self| (key.priority, key.share_rank, key.standing);
        order(other) <= order(self)
    }
}

/// Requests that wait for headroom at a service.
#[derive(Debug, Clone, Default)]
pub struct RequestQueue {
    /// Waiting requests with the queue deadline of each.
    waiting: BTreeMap<QueueKey, Instant>,
    /// Arrivals by priority.
    arrivals: BTreeMap<Priority, DecayingCount>,
}

impl RequestQueue {
    /// Counts an arrival.
    pub fn record_arrival(&mut self, priority: Priority, now: Instant) {
        self.arrivals
            .entry(priority)
            .or_insert(DecayingCount::new(ARRIVAL_DECAY, now))
            .increment(now);
    }

    /// Adds a request that leaves the queue at `deadline`.
    pub fn push(&mut self, key: QueueKey, deadline: Instant) {
        self.waiting.insert(key, deadline);
    }

    /// Removes a request; returns false if it isn't in the queue.
    pub fn remove(&mut self, key: &QueueKey) -> bool {
        self.waiting.remove(key).is_some()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the waiting requests in the order in which they should start: by priority, then by
    /// the time at which an answer is due.
    pub fn iter(&self) -> impl Iterator<Item = QueueKey> + '_ {
        self.waiting.keys().copied()
    }

    /// Returns the expected wait of a request.
    ///
    /// `starts` is the number of requests that start per second. More urgent requests that arrive
    /// meanwhile start first; the rest of the rate serves the requests ahead of this one.
    pub fn expected_wait(&self, key: &QueueKey, starts: f64, now: Instant) -> Duration {
        let ahead = self.waiting.keys().filter(|other| key.follows(other)).count();
        if ahead == 0 {
            return Duration::ZERO;
        }
        let urgent = self.arrivals.range(..key.priority);
        let urgent: f64 = urgent.map(|(_, count)| count.rate(now)).sum();
        let rate = (starts - urgent).max(starts * MIN_PRIORITY_FRACTION).max(MIN_STARTS_PER_SECOND);
        Duration::from_secs_f64((ahead as f64 / rate).min(MAX_WAIT_SECONDS))
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<QueueKey> {
        let expired = self.waiting.iter().filter(|(_, deadline)| **deadline <= now);
        let expired: Vec<QueueKey> = expired.map(|(key, _)| *key).collect();
        for key in &expired {
            self.waiting.remove(key);
        }
        expired
    }
}
