//! How much room less urgent requests must leave to more urgent ones that are refused.
//!
//! The load it answers is a fleet in which one entry refuses urgent requests while another one
//! starts what can wait. What gives way is in proportion to what is refused: among many entries
//! some request always meets a short queue, and a few refusals must not leave slots idle everywhere.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use super::decaying_count::DecayingCount;
use super::request_queue::Priority;

/// Time over which arrivals and refusals are compared: a burst shows within a few reports, and
/// its end within two of these.
const REFUSAL_DECAY: Duration = Duration::from_millis(500);
/// Share of a rank's requests that may be refused before less urgent ones give way: by that much
/// a more urgent kind may be served less often than a less urgent one.
const TOLERATED_REFUSALS: f64 = 0.05;

/// Requests of one rank in the last half second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RefusalCounts {
    /// Those that came.
    pub arrived: f64,
    /// Those that were refused for want of room.
    pub refused: f64,
}

impl RefusalCounts {
    /// Returns the strain of both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { arrived: self.arrived + other.arrived, refused: self.refused + other.refused }
    }

    /// Returns the requests a second that are refused beyond what is tolerated.
    pub fn excess_per_second(self) -> f64 {
        (self.refused - self.arrived * TOLERATED_REFUSALS).max(0.0) / REFUSAL_DECAY.as_secs_f64()
    }
}

/// What came and what was refused at one entry, by rank.
#[derive(Debug, Clone, Default)]
pub struct RefusalCounters {
    counts: BTreeMap<Priority, (DecayingCount, DecayingCount)>,
}

impl RefusalCounters {
    /// Counts a request that came.
    pub fn record_arrival(&mut self, priority: Priority, now: Instant) {
        self.counters(priority, now).0.increment(now);
    }

    /// Counts a request that was refused for want of room.
    pub fn record_refusal(&mut self, priority: Priority, now: Instant) {
        self.counters(priority, now).1.increment(now);
    }

    /// Returns the strain of each rank, the most urgent first.
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

/// Requests a second that the fleet refuses beyond what is tolerated, by rank.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ExcessRefusals {
    rates: BTreeMap<Priority, f64>,
}

impl ExcessRefusals {
    /// Returns the excess of all entries together.
    pub fn new(counts: impl Iterator<Item = (Priority, RefusalCounts)>) -> Self {
        let mut sums: BTreeMap<Priority, RefusalCounts> = BTreeMap::new();
        for (priority, counts) in counts {
            let sum = sums.entry(priority).or_default();
            *sum = sum.plus(counts);
        }
        let rates =
            sums.into_iter().map(|(priority, counts)| (priority, counts.excess_per_second()));
        Self { rates: rates.filter(|(_, rate)| *rate > 0.0).collect() }
    }

    /// Returns the refusals of what is more urgent than `rank`.
    pub fn more_urgent_than(&self, priority: Priority) -> f64 {
        self.rates.range(..priority).map(|(_, rate)| rate).sum()
    }

    /// Returns the refusals of what is less urgent than `rank`.
    pub fn less_urgent_than(&self, priority: Priority) -> f64 {
        let less_urgent = self.rates.range((Bound::Excluded(priority), Bound::Unbounded));
        less_urgent.map(|(_, rate)| rate).sum()
    }
}
