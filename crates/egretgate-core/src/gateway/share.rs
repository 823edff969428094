//! How entries that send to the same upstreams divide the slots among themselves.
//!
//! Each entry works out the same division from what all of them report, so no message is needed
//! before a slot is taken. The load it answers is one beyond the capacity: below it, an entry may
//! take any slot that nobody seems to use.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Weight of an entry that reports no work, in requests, so that each holds a part.
const FLOOR: f64 = 0.5;

/// Time for which the rounding of small parts stays the same: about as long as a short call takes,
/// so that entries which share a slot use it by turns.
const TURN: Duration = Duration::from_millis(50);
/// Step by which points of turns are spread evenly, whatever their number: the golden ratio.
const STEP: f64 = 0.618_033_988_749_895;

/// Counts the turns of one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct Turn {
    number: u64,
    since: Option<Instant>,
}

impl Turn {
    /// Starts the next turn if the current one is over.
    pub fn pass(&mut self, now: Instant) {
        if self.since.is_none_or(|since| now.saturating_duration_since(since) >= TURN) {
            self.since = Some(now);
            self.number += 1;
        }
    }

    /// Returns a number in `0.0..1.0` that differs from turn to turn and from seed to seed.
    fn point(self, seed: u64) -> f64 {
        let start = (seed % 1_000) as f64 / 1_000.0;
        (start + self.number as f64 * STEP).fract()
    }
}

/// The part of each upstream's slots that belongs to one entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Start of the part, in `0.0..=1.0`.
    low: f64,
    /// End of the part; at least `low`.
    high: f64,
}

impl Share {
    /// All slots.
    pub const WHOLE: Self = Self { low: 0.0, high: 1.0 };

    /// Returns the part of the entry named `own`, with demand `demand`, next to the others.
    pub fn new<'a>(own: &str, demand: f64, others: impl Iterator<Item = (&'a str, f64)>) -> Self {
        let mut before = 0.0;
        let mut total = demand + FLOOR;
        for (name, other) in others {
            total += other + FLOOR;
            if name < own {
                before += other + FLOOR;
            }
        }
        Self { low: before / total, high: (before + demand + FLOOR) / total }
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
    pub fn slots_in_turn(self, turn: Turn, seed: u64, slots: u32) -> u32 {
        (self.size() * f64::from(slots) + turn.point(seed)).floor() as u32
    }

    /// Returns the size of the part, in `0.0..=1.0`.
    pub const fn size(self) -> f64 {
        self.high - self.low
    }
}
