//! When an entry reads shared state again, and when it relies on the readings of other entries.
//!
//! Every entry needs the newest declarations and upstreams, and calls to the store that keeps them
//! are limited. One entry reads often. The others compare its reports with their own readings,
//! read only when they differ, and take over in the order of their ranks when the reports stop.
//! Without this, every entry of the fleet would read the same state every second.

use std::time::{Duration, Instant};

use super::era::{ERA_TIMEOUT, Era};
use crate::Offset;

/// Number that identifies the content of a reading: a version or a hash.
pub type Fingerprint = u64;

/// One reading of shared state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// Identifies the content.
    pub fingerprint: Fingerprint,
    /// Era of the directory; `None` if it states none or the entry's build doesn't know eras.
    pub era: Option<Era>,
    /// Position after the newest record; orders the readings of different entries within an era.
    pub end: Offset,
    /// Time of the reading.
    pub read_at: Instant,
}

impl Reading {
    /// Returns true if this reading replaces `old` as the newest one of other entries.
    ///
    /// One of an older era does so only once the newer era has been silent for [`ERA_TIMEOUT`].
    pub fn replaces(&self, old: &Self) -> bool {
        match self.era.zip(old.era) {
            Some((era, old_era)) if era > old_era => true,
            Some((era, old_era)) if era < old_era => {
                self.read_at.saturating_duration_since(old.read_at) >= ERA_TIMEOUT
            }
            _ => self.end > old.end || self.read_at > old.read_at,
        }
    }
}

/// How often shared state is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollIntervals {
    /// Interval at which the leading entry reads.
    pub period: Duration,
    /// Age of the newest reading at which the entry of rank 1 reads.
    pub takeover_age: Duration,
    /// Further age for each rank after it.
    pub rank_step: Duration,
    /// Age at which an entry of any rank reads.
    pub max_age: Duration,
    /// Shortest time between two readings of an entry that learns of newer ones. While the state
    /// changes all the time, each reading is newer than those of the other entries and would make
    /// all of them read again at once.
    pub min_gap: Duration,
}

/// One entry's schedule for reading a piece of shared state.
#[derive(Debug, Clone, Copy)]
pub struct Follower {
    intervals: PollIntervals,
    /// Last reading of this entry.
    reading: Option<Reading>,
    /// Latest time at which any entry read the same state.
    confirmed: Option<Instant>,
    /// True if another entry has read something newer, or another era has begun.
    behind: bool,
}

impl Follower {
    /// Returns the schedule of an entry that has read nothing.
    pub const fn new(intervals: PollIntervals) -> Self {
        Self { intervals, reading: None, confirmed: None, behind: false }
    }

    /// Records a reading of this entry.
    pub fn record_reading(&mut self, reading: Reading) {
        self.reading = Some(reading);
        self.confirmed = Some(reading.read_at);
        self.behind = false;
    }

    /// Records a reading of another entry.
    pub fn record_peer_reading(&mut self, reading: Reading) {
        let Some(own) = &mut self.reading else { return };
        match (reading.era, own.era) {
            (Some(era), Some(own_era)) if era < own_era => return,
            (Some(era), own_era) if Some(era) != own_era => {
                self.behind = true;
                return;
            }
            _ => {}
        }
        if reading.end < own.end {
            return;
        }
        // Without an era the reading may be one of an older copy, which proves nothing.
        let is_comparable = reading.era == own.era;
        if reading.fingerprint == own.fingerprint && is_comparable {
            own.end = reading.end;
            self.confirmed = self.confirmed.max(Some(reading.read_at));
        } else if reading.fingerprint != own.fingerprint && reading.end > own.end {
            self.behind = true;
        }
    }

    /// Records the era in force. A reading of another era no longer counts.
    pub fn record_era(&mut self, era: Era) {
        if self.reading.is_some_and(|own| own.era != Some(era)) {
            self.behind = true;
        }
    }

    /// Returns true if the next reading must not rely on the position of the last one.
    pub const fn is_behind(&self) -> bool {
        self.behind
    }

    /// Returns the last reading that this entry made itself.
    ///
    /// Readings of other entries are not passed on: at each hop a reading would seem younger by the
    /// transmission time, so among dozens of entries it would seem recent for seconds after any of
    /// them has read.
    pub const fn reading(&self) -> Option<Reading> {
        self.reading
    }

    /// Returns when this entry should read; `rank` is the number of reachable entries before it.
    pub fn due(&self, rank: usize, now: Instant) -> Instant {
        let Some((reading, confirmed)) = self.reading.zip(self.confirmed) else { return now };
        if self.behind {
            return (reading.read_at + self.intervals.min_gap).max(now);
        }
        let age = match rank {
            0 => self.intervals.period,
            rank => self.intervals.takeover_age + self.intervals.rank_step * (rank as u32 - 1),
        };
        confirmed + age.min(self.intervals.max_age)
    }
}
