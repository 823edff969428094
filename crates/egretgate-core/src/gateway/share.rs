//! How entries that send to the same upstreams divide the slots among themselves.
//!
//! Each entry works out the same division from what all of them report, so no message is needed
//! before a slot is taken. The load it answers is one beyond the capacity: below it, an entry may
//! take any slot that nobody seems to use.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Weight of an entry that reports no work, in requests, so that each holds a part.
const BASE_DEMAND: f64 = 0.5;

/// Time for which the rounding of small parts stays the same: about as long as a short call takes,
/// so that entries which share a slot use it by turns.
const TIME_SLICE: Duration = Duration::from_millis(50);
/// Step by which points of turns are spread evenly, whatever their number: the golden ratio.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Counts the turns of one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimeSlice {
    number: u64,
    started: Option<Instant>,
}

impl TimeSlice {
    /// Starts the next turn if the current one is over.
    pub fn advance(&mut self, now: Instant) {
        if self.started.is_none_or(|started| now.saturating_duration_since(started) >= TIME_SLICE) {
            self.started = Some(now);
            self.number += 1;
        }
    }

    /// Returns a number in `0.0..1.0` that differs from turn to turn and from seed to seed.
    fn phase(self, seed: u64) -> f64 {
        let start = (seed % 1_000) as f64 / 1_000.0;
        (start + self.number as f64 * GOLDEN_RATIO).fract()
    }
}

/// The part of each upstream's slots that belongs to one entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotShare {
    /// Start of the part, in `0.0..=1.0`.
    low: f64,
    /// End of the part; at least `low`.
    high: f64,
}

impl SlotShare {
    /// All slots.
    pub const WHOLE: Self = Self { low: 0.0, high: 1.0 };

    /// Returns the part of the entry named `own`, with demand `demand`, next to the others.
    pub fn new<'a>(own: &str, demand: f64, peers: impl Iterator<Item = (&'a str, f64)>) -> Self {
        let mut before = 0.0;
        let mut total = demand + BASE_DEMAND;
        for (name, peer) in peers {
            total += peer + BASE_DEMAND;
            if name < own {
                before += peer + BASE_DEMAND;
            }
        }
        Self { low: before / total, high: (before + demand + BASE_DEMAND) / total }
    }

    /// Returns the slots of an upstream that belong to the entry.
    ///
    /// Parts are laid end to end from an offset that differs between upstreams, so that the
    /// rounding favours another entry at each, and no slot belongs to two.
    pub fn slots(self, upstream: &str, slots: u32) -> u32 {
        let offset = (xxh3_64(upstream.as_bytes()) % 1_000) as f64 / 1_000.0;
        let edge = |point: f64| (offset + point * f64::from(slots)).floor();
        (edge(self.high) - edge(self.low)).max(0.0) as u32
    }

    /// Returns the slots that belong to the entry in a turn, of which it may have less than one:
    /// then it has one in some of its turns.
    pub fn slots_in_slice(self, time_slice: TimeSlice, seed: u64, slots: u32) -> u32 {
        (self.fraction() * f64::from(slots) + time_slice.phase(seed)).floor() as u32
    }

    /// Returns the size of the part, in `0.0..=1.0`.
    pub const fn fraction(self) -> f64 {
        self.high - self.low
    }
}
