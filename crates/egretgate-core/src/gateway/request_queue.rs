//! The queue before one service: urgent first, then in order of the time at which an answer is due.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::decaying_count::Flow;
use crate::Tier;

/// How urgent a request is: the tier of its team where it has one, then its route's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Tier that goes first; 0 is the most urgent.
    pub tier: Tier,
    /// Tier of the route, among requests of the same tier.
    pub route: Tier,
}

/// Number that names a request within one life of an entry.
pub type RequestNumber = u64;

/// Least starts a second that are reckoned with, so that an estimate exists.
const LEAST_STARTS: f64 = 1e-3;
/// Least part of the starts that a rank is reckoned to get, so that an estimate exists.
const LEAST_PART: f64 = 0.05;
/// Time over which arrivals are counted; bursts last for seconds.
const MEMORY: Duration = Duration::from_secs(1);
/// Longest wait that is told apart, in seconds; no caller waits as long.
const LONGEST_WAIT: f64 = 60.0;

/// Place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// How urgent it is.
    pub rank: Rank,
    /// Time up to which an answer is in time.
    pub objective: Instant,
    /// Order of arrival.
    pub number: RequestNumber,
}

/// Requests that wait for room at a service.
#[derive(Debug, Clone, Default)]
pub struct Lane {
    /// Waiting requests with the time at which each gives up.
    waiting: BTreeMap<Place, Instant>,
    /// Arrivals of each rank.
    arrivals: BTreeMap<Rank, Flow>,
}

impl Lane {
    /// Notes that a request came.
    pub fn arrived(&mut self, rank: Rank, now: Instant) {
        self.arrivals.entry(rank).or_insert(Flow::new(MEMORY, now)).note(now);
    }

    /// Adds a request that gives up at `until`.
    pub fn push(&mut self, place: Place, until: Instant) {
        self.waiting.insert(place, until);
    }

    /// Removes a request; false if it isn't here.
    pub fn remove(&mut self, place: &Place) -> bool {
        self.waiting.remove(place).is_some()
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
    pub fn order(&self) -> impl Iterator<Item = Place> + '_ {
        self.waiting.keys().copied()
    }

    /// Returns the time that a request at `place` is likely to wait.
    ///
    /// Those ahead start first, and so do the more urgent ones that come meanwhile: what is left
    /// of the `starts` a second after these is what the request's rank gets.
    pub fn expected_wait(&self, place: &Place, starts: f64, now: Instant) -> Duration {
        let ahead = self.waiting.keys().filter(|other| other.rank <= place.rank).count();
        if ahead == 0 {
            return Duration::ZERO;
        }
        let urgent = self.arrivals.range(..place.rank);
        let urgent: f64 = urgent.map(|(_, flow)| flow.rate(now)).sum();
        let left = (starts - urgent).max(starts * LEAST_PART).max(LEAST_STARTS);
        Duration::from_secs_f64((ahead as f64 / left).min(LONGEST_WAIT))
    }

    /// Removes and returns the requests that gave up by `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<Place> {
        let gone = self.waiting.iter().filter(|(_, until)| **until <= now);
        let gone: Vec<Place> = gone.map(|(place, _)| *place).collect();
        for place in &gone {
            self.waiting.remove(place);
        }
        gone
    }
}
