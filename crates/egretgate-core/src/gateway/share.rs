//! How entries that send to the same upstreams divide the slots among themselves.
//!
//! Each entry computes the same division from the reports of all, so no message is needed before a
//! slot is taken. The division matters under a load beyond the capacity: below it, an entry may
//! take any slot that appears to be free.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Demand that is added to that of every entry, in requests, so that an entry without demand has a
/// share too.
const BASE_DEMAND: f64 = 0.5;

/// Time for which the rounding of small shares stays the same: about the duration of a short call,
/// so that entries which share a slot use it in turn.
const TIME_SLICE: Duration = Duration::from_millis(50);
/// Step between the phases of successive time slices, which spreads any number of them evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The number of the current time slice of one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimeSlice {
    number: u64,
    started: Option<Instant>,
}

impl TimeSlice {
    /// Starts the next time slice if the current one has ended.
    pub fn advance(&mut self, now: Instant) {
        if self.started.is_none_or(|started| now.saturating_duration_since(started) >= TIME_SLICE) {
            self.started = Some(now);
            self.number += 1;
        }
    }

    /// Returns a number in `0.0..1.0` that differs between time slices and between seeds.
    fn phase(self, seed: u64) -> f64 {
        let start = (seed % 1_000) as f64 / 1_000.0;
        (start + self.number as f64 * GOLDEN_RATIO).fract()
    }
}

/// One entry's share of the slots of each upstream, as a range of `0.0..=1.0`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotShare {
    /// Start of the range.
    low: f64,
    /// End of the range; at least `low`.
    high: f64,
}

impl SlotShare {
    /// All slots.
    pub const WHOLE: Self = Self { low: 0.0, high: 1.0 };

    /// Returns the share of the entry named `own`, with the demand `demand`, beside its peers.
    ///
    /// Shares follow each other in the order of the entries' names.
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

    /// Returns the number of an upstream's slots that belong to the entry.
    ///
    /// The first share begins at an offset that differs between upstreams, so that the rounding
    /// favors a different entry at each, and no slot belongs to two entries.
    pub fn slots(self, upstream: &str, slots: u32) -> u32 {
        let offset = (xxh3_64(upstream.as_bytes()) % 1_000) as f64 / 1_000.0;
        let edge = |point: f64| (offset + point * f64::from(slots)).floor();
        (edge(self.high) - edge(self.low)).max(0.0) as u32
    }

    /// Returns the number of slots that belong to the entry in a time slice. An entry with a share
    /// of less than one slot has one slot in some of its time slices.
    pub fn slots_in_slice(self, time_slice: TimeSlice, seed: u64, slots: u32) -> u32 {
        (self.fraction() * f64::from(slots) + time_slice.phase(seed)).floor() as u32
    }

    /// Returns the size of the share, in `0.0..=1.0`.
    pub const fn fraction(self) -> f64 {
        self.high - self.low
    }
}
