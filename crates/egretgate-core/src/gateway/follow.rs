//! When an entry reads shared state anew, and when it relies on what other entries have read.
//!
//! Every entry needs the newest declarations and upstreams, and calls to where they are kept are
//! limited. One entry reads often; the others compare what it reports with what they hold, read
//! only when it differs, and take over in order when the reports stop. The load it answers is a
//! fleet whose entries would otherwise each read the same every second.

use std::time::{Duration, Instant};

use crate::Offset;

/// Number that stands for what was read: a version or a hash.
pub type Fingerprint = u64;

/// What an entry read, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// What was read.
    pub fingerprint: Fingerprint,
    /// Position after the newest record; orders readings of different entries.
    pub end: Offset,
    /// Time of the reading.
    pub read_at: Instant,
}

/// How often shared state is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollIntervals {
    /// Time between readings of the entry that reads for all.
    pub period: Duration,
    /// Age of the newest reading at which the next entry takes over.
    pub takeover_age: Duration,
    /// Further age for each entry in between.
    pub rank_step: Duration,
    /// Age at which an entry reads whatever its position.
    pub max_age: Duration,
}

/// One entry's view of a piece of shared state.
#[derive(Debug, Clone, Copy)]
pub struct Follower {
    intervals: PollIntervals,
    /// What this entry holds.
    reading: Option<Reading>,
    /// Newest time at which what it holds was seen to be the newest, by any entry.
    confirmed: Option<Instant>,
    /// True if another entry has read something newer.
    behind: bool,
}

impl Follower {
    /// Returns the view of an entry that holds nothing.
    pub const fn new(intervals: PollIntervals) -> Self {
        Self { intervals, reading: None, confirmed: None, behind: false }
    }

    /// Notes what this entry has read.
    pub fn record_reading(&mut self, reading: Reading) {
        self.reading = Some(reading);
        self.confirmed = Some(reading.read_at);
        self.behind = false;
    }

    /// Notes what another entry has read.
    pub fn record_peer_reading(&mut self, reading: Reading) {
        let Some(own) = &mut self.reading else { return };
        if reading.end < own.end {
            return;
        }
        if reading.fingerprint == own.fingerprint {
            own.end = reading.end;
            self.confirmed = self.confirmed.max(Some(reading.read_at));
        } else if reading.end > own.end {
            self.behind = true;
        }
    }

    /// Returns what this entry holds, with the time at which it last read it itself.
    ///
    /// What it heard is not told on: each entry would add the time on the way, and among dozens of
    /// entries a reading would stay young for seconds after the last one read.
    pub const fn reading(&self) -> Option<Reading> {
        self.reading
    }

    /// Returns when this entry should read; `rank` is the number of reachable entries before it.
    pub fn due(&self, rank: usize, now: Instant) -> Instant {
        let Some(confirmed) = self.confirmed.filter(|_| !self.behind) else { return now };
        let age = match rank {
            0 => self.intervals.period,
            rank => self.intervals.takeover_age + self.intervals.rank_step * (rank as u32 - 1),
        };
        confirmed + age.min(self.intervals.max_age)
    }
}
