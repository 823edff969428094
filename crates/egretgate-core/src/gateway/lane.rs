//! The queue before one service: urgent first, then what can still be in time, then in order.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Tier;

/// Number that names a request within one life of an entry.
pub type RequestNumber = u64;

/// Weight of a new sample in the running average of the time between starts.
const SMOOTHING: f64 = 0.05;
/// Time from start to first event that a request needs to be in time.
const LEAD: Duration = Duration::from_millis(50);

/// Place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Rank; 0 goes first.
    pub tier: Tier,
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
    /// Running average of the seconds between starts while requests wait.
    spacing: Option<f64>,
    /// Start of the last request, if others have waited ever since.
    last_start: Option<Instant>,
}

impl Lane {
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

    /// Returns the waiting requests in the order in which they should start.
    ///
    /// Within a tier, those that can still be in time go before those that can't.
    pub fn order(&self, now: Instant) -> impl Iterator<Item = Place> + '_ {
        let limit = now + LEAD;
        let mut tiers: Vec<Tier> = self.waiting.keys().map(|place| place.tier).collect();
        tiers.dedup();
        tiers.into_iter().flat_map(move |tier| {
            let of_tier = move |place: &&Place| place.tier == tier;
            let timely = self.waiting.keys().filter(of_tier);
            let late = self.waiting.keys().filter(of_tier);
            let timely = timely.filter(move |place| place.objective >= limit);
            let late = late.filter(move |place| place.objective < limit);
            timely.chain(late).copied()
        })
    }

    /// Notes that a request started, from the queue or beside it.
    pub fn started(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            self.last_start = None;
            return;
        }
        if let Some(last) = self.last_start {
            let sample = now.duration_since(last).as_secs_f64();
            let old = self.spacing.unwrap_or(sample);
            self.spacing = Some(old + (sample - old) * SMOOTHING);
        }
        self.last_start = Some(now);
    }

    /// Returns the time that a request at `place` is likely to wait.
    pub fn expected_wait(&self, place: &Place) -> Duration {
        let ahead = self.waiting.keys().filter(|other| other.tier <= place.tier).count();
        Duration::from_secs_f64(ahead as f64 * self.spacing.unwrap_or(0.0))
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
