//! How much room less urgent requests must leave to more urgent ones that are refused.
//!
//! The load it answers is a fleet in which one entry refuses urgent requests while another one
//! starts what can wait. What gives way is in proportion to what is refused: among many entries
//! some request always meets a short queue, and a few refusals must not leave slots idle everywhere.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use super::decaying_count::Flow;
use super::request_queue::Rank;

/// Time over which arrivals and refusals are compared: a burst shows within a few reports, and
/// its end within two of these.
const MEMORY: Duration = Duration::from_millis(500);
/// Share of a rank's requests that may be refused before less urgent ones give way: by that much
/// a more urgent kind may be served less often than a less urgent one.
const TOLERATED: f64 = 0.05;

/// Requests of one rank in the last half second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Strain {
    /// Those that came.
    pub arrived: f64,
    /// Those that were refused for want of room.
    pub refused: f64,
}

impl Strain {
    /// Returns the strain of both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { arrived: self.arrived + other.arrived, refused: self.refused + other.refused }
    }

    /// Returns the requests a second that are refused beyond what is tolerated.
    pub fn excess(self) -> f64 {
        (self.refused - self.arrived * TOLERATED).max(0.0) / MEMORY.as_secs_f64()
    }
}

/// What came and what was refused at one entry, by rank.
#[derive(Debug, Clone, Default)]
pub struct Strains {
    ranks: BTreeMap<Rank, (Flow, Flow)>,
}

impl Strains {
    /// Counts a request that came.
    pub fn arrived(&mut self, rank: Rank, now: Instant) {
        self.flows(rank, now).0.note(now);
    }

    /// Counts a request that was refused for want of room.
    pub fn refused(&mut self, rank: Rank, now: Instant) {
        self.flows(rank, now).1.note(now);
    }

    /// Returns the strain of each rank, the most urgent first.
    pub fn ranks(&self, now: Instant) -> impl Iterator<Item = (Rank, Strain)> + '_ {
        self.ranks.iter().map(move |(rank, (arrived, refused))| {
            (*rank, Strain { arrived: arrived.count(now), refused: refused.count(now) })
        })
    }

    fn flows(&mut self, rank: Rank, now: Instant) -> &mut (Flow, Flow) {
        let none = Flow::new(MEMORY, now);
        self.ranks.entry(rank).or_insert((none, none))
    }
}

/// Requests a second that the fleet refuses beyond what is tolerated, by rank.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Excess {
    ranks: BTreeMap<Rank, f64>,
}

impl Excess {
    /// Returns the excess of all entries together.
    pub fn new(strains: impl Iterator<Item = (Rank, Strain)>) -> Self {
        let mut sums: BTreeMap<Rank, Strain> = BTreeMap::new();
        for (rank, strain) in strains {
            let sum = sums.entry(rank).or_default();
            *sum = sum.plus(strain);
        }
        let ranks = sums.into_iter().map(|(rank, strain)| (rank, strain.excess()));
        Self { ranks: ranks.filter(|(_, excess)| *excess > 0.0).collect() }
    }

    /// Returns the refusals of what is more urgent than `rank`.
    pub fn above(&self, rank: Rank) -> f64 {
        self.ranks.range(..rank).map(|(_, excess)| excess).sum()
    }

    /// Returns the refusals of what is less urgent than `rank`.
    pub fn below(&self, rank: Rank) -> f64 {
        let below = self.ranks.range((Bound::Excluded(rank), Bound::Unbounded));
        below.map(|(_, excess)| excess).sum()
    }
}
