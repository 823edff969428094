//! The queue before one service: urgent first, then in order of the time at which an answer is due.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::decaying_count::DecayingCount;
use crate::Tier;

/// How urgent a request is: the tier of its team where it has one, then its route's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Tier that goes first; 0 is the most urgent.
    pub tier: Tier,
    /// Tier of the route, among requests of the same tier.
    pub route_tier: Tier,
}

/// Number that names a request within one life of an entry.
pub type RequestNumber = u64;

/// Least starts a second that are reckoned with, so that an estimate exists.
const MIN_STARTS_PER_SECOND: f64 = 1e-3;
/// Least part of the starts that a rank is reckoned to get, so that an estimate exists.
const MIN_PRIORITY_FRACTION: f64 = 0.05;
/// Time over which arrivals are counted; bursts last for seconds.
const ARRIVAL_DECAY: Duration = Duration::from_secs(1);
/// Longest wait that is told apart, in seconds; no caller waits as long.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// Place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// How urgent it is.
    pub priority: Priority,
    /// Time up to which an answer is in time.
    pub objective: Instant,
    /// Order of arrival.
    pub number: RequestNumber,
}

/// Requests that wait for room at a service.
#[derive(Debug, Clone, Default)]
pub struct RequestQueue {
    /// Waiting requests with the time at which each gives up.
    waiting: BTreeMap<QueueKey, Instant>,
    /// Arrivals of each rank.
    arrivals: BTreeMap<Priority, DecayingCount>,
}

impl RequestQueue {
    /// Notes that a request came.
    pub fn record_arrival(&mut self, priority: Priority, now: Instant) {
        self.arrivals
            .entry(priority)
            .or_insert(DecayingCount::new(ARRIVAL_DECAY, now))
            .increment(now);
    }

    /// Adds a request that gives up at `until`.
    pub fn push(&mut self, key: QueueKey, deadline: Instant) {
        self.waiting.insert(key, deadline);
    }

    /// Removes a request; false if it isn't here.
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

    /// Returns the waiting requests in the order in which they should start: by rank, then by
    /// the time up to which they are wanted.
    pub fn iter(&self) -> impl Iterator<Item = QueueKey> + '_ {
        self.waiting.keys().copied()
    }

    /// Returns the time that a request at `place` is likely to wait.
    ///
    /// Those ahead start first, and so do the more urgent ones that come meanwhile: what is left
    /// of the `starts` a second after these is what the request's rank gets.
    pub fn expected_wait(&self, key: &QueueKey, starts: f64, now: Instant) -> Duration {
        let ahead = self.waiting.keys().filter(|other| other.priority <= key.priority).count();
        if ahead == 0 {
            return Duration::ZERO;
        }
        let urgent = self.arrivals.range(..key.priority);
        let urgent: f64 = urgent.map(|(_, count)| count.rate(now)).sum();
        let rate = (starts - urgent).max(starts * MIN_PRIORITY_FRACTION).max(MIN_STARTS_PER_SECOND);
        Duration::from_secs_f64((ahead as f64 / rate).min(MAX_WAIT_SECONDS))
    }

    /// Removes and returns the requests that gave up by `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<QueueKey> {
        let expired = self.waiting.iter().filter(|(_, deadline)| **deadline <= now);
        let expired: Vec<QueueKey> = expired.map(|(key, _)| *key).collect();
        for key in &expired {
            self.waiting.remove(key);
        }
        expired
    }
}
