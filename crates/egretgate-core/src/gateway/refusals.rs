//! Refusals by priority, from which the number of slots is computed that are reserved for more
//! urgent requests.
//!
//! Without reserved slots, one entry would refuse urgent requests while another one starts requests
//! that can wait. Their number is in proportion to the refusals: among many entries, some request
//! always meets a short queue, and a few refusals must not leave slots idle everywhere.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use super::decaying_count::DecayingCount;
use super::request_queue::Priority;

/// Decay time of the counts: a burst shows within a few reports, and its end within two decay
/// times.
const REFUSAL_DECAY: Duration = Duration::from_millis(500);
/// Fraction of a priority's requests that may be refused before slots are reserved for it. A more
/// urgent priority may be served less often than a less urgent one by that much.
const TOLERATED_REFUSALS: f64 = 0.05;

/// Decayed counts of one priority's requests in the last half second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RefusalCounts {
    /// Requests that arrived.
    pub arrived: f64,
    /// Requests that were refused for lack of headroom.
    pub refused: f64,
}

impl RefusalCounts {
    /// Returns the sums of the arrivals and of the refusals.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { arrived: self.arrived + other.arrived, refused: self.refused + other.refused }
    }

    /// Returns the refusals per second beyond the tolerated fraction.
    pub fn excess_per_second(self) -> f64 {
        (self.refused - self.arrived * TOLERATED_REFUSALS).max(0.0) / REFUSAL_DECAY.as_secs_f64()
    }

    /// Returns the arrivals per second.
    pub fn arrived_per_second(self) -> f64 {
        self.arrived / REFUSAL_DECAY.as_secs_f64()
    }

    /// Returns the refusals per second.
    pub fn refused_per_second(self) -> f64 {
        self.refused / REFUSAL_DECAY.as_secs_f64()
    }
}

/// Arrivals and refusals at one entry, by priority.
#[derive(Debug, Clone, Default)]
pub struct RefusalCounters {
    counts: BTreeMap<Priority, (DecayingCount, DecayingCount)>,
}

impl RefusalCounters {
    /// Counts an arrival.
    pub fn record_arrival(&mut self, priority: Priority, now: Instant) {
        self.counters(priority, now).0.increment(now);
    }

    /// Counts a refusal for lack of headroom.
    pub fn record_refusal(&mut self, priority: Priority, now: Instant) {
        self.counters(priority, now).1.increment(now);
    }

    /// Returns the counts of each priority, the most urgent first.
    pub fn by_priority(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Priority, RefusalCounts)> + '_ {
        self.counts.iter().map(move |(priority, (arrived, refused))| {
            (*priority, RefusalCounts { arrived: arrived.count(now), refused: refused.count(now) })
        })
    }

    fn counters(
        &mut self,
        priority: Priority,
        now: Instant,
    ) -> &mut (DecayingCount, DecayingCount) {
        let empty = DecayingCount::new(REFUSAL_DECAY, now);
        self.counts.entry(priority).or_insert((empty, empty))
    }
}

/// Refusals of all entries per second beyond the tolerated fraction, by priority.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ExcessRefusals {
    rates: BTreeMap<Priority, f64>,
    /// All refusals of teams within their shares: for those of a team beyond its share, none is
    /// tolerated.
    within_share: BTreeMap<Priority, f64>,
}

impl ExcessRefusals {
    /// Returns the excess refusals for the counts of all entries.
    pub fn new(counts: impl Iterator<Item = (Priority, RefusalCounts)>) -> Self {
        let mut sums: BTreeMap<Priority, RefusalCounts> = BTreeMap::new();
        for (priority, counts) in counts {
            let sum = sums.entry(priority).or_default();
            *sum = sum.plus(counts);
        }
        let within_share = sums.iter().filter(|(priority, _)| !priority.over_share);
        let within_share =
            within_share.map(|(priority, counts)| (*priority, counts.refused_per_second()));
        let within_share = within_share.collect();
        let rates =
            sums.into_iter().map(|(priority, counts)| (priority, counts.excess_per_second()));
        Self { rates: rates.filter(|(_, rate)| *rate > 0.0).collect(), within_share }
    }

    /// Returns the excess refusals per second of requests more urgent than `priority`.
    pub fn more_urgent_than(&self, priority: Priority) -> f64 {
        let within_share = Priority { over_share: false, ..priority };
        let others: f64 = self.rates.range(..within_share).map(|(_, rate)| rate).sum();
        others + self.within_share_of(priority)
    }

    /// Returns the refusals per second of teams within their shares in the tiers of a `priority`
    /// beyond its share; 0 for another priority.
    pub fn within_share_of(&self, priority: Priority) -> f64 {
        let within_share = Priority { over_share: false, ..priority };
        let refused = self.within_share.get(&within_share).filter(|_| priority.over_share);
        refused.copied().unwrap_or(0.0)
    }

    /// Returns the excess refusals per second of requests less urgent than `priority`.
    pub fn less_urgent_than(&self, priority: Priority) -> f64 {
        let less_urgent = self.rates.range((Bound::Excluded(priority), Bound::Unbounded));
        less_urgent.map(|(_, rate)| rate).sum()
    }
}
