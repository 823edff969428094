//! Counts of one tier and team in fine and coarse buckets.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{Count, WINDOWS};

/// Length of a fine bucket.
const FINE_BUCKET: Duration = Duration::from_mins(1);
/// Length of a coarse bucket, in minutes.
pub(super) const COARSE_BUCKET_MINUTES: u32 = 10;
/// Minutes for which fine buckets are kept.
const FINE_SPAN_MINUTES: u32 = 60;
/// Number of coarse buckets that are kept.
const COARSE_BUCKETS: u32 = 36;

/// Numbers of requests in one bucket. 32 bits suffice for over 7 million requests per second over
/// ten minutes.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Start of the bucket, in units of the bucket's length.
    index: u32,
    good: u32,
    bad: u32,
}

/// Counts of one tier and team.
///
/// Invariants, which bound the size: indexes rise strictly in each list; at the last record, no
/// fine bucket is older than [`FINE_SPAN_MINUTES`] and no coarse one older than [`COARSE_BUCKETS`].
#[derive(Debug, Default)]
pub(super) struct Series {
    fine: VecDeque<Bucket>,
    coarse: VecDeque<Bucket>,
}

/// Returns the number of whole minutes from `start` to `now`.
pub(super) fn minute(start: Instant, now: Instant) -> u32 {
    let elapsed = now.saturating_duration_since(start).as_secs() / FINE_BUCKET.as_secs();
    u32::try_from(elapsed).unwrap_or(u32::MAX)
}

impl Series {
    /// Counts one request that ended in `minute`; a minute before the last recorded one counts as
    /// that one.
    pub(super) fn record(&mut self, minute: u32, good: bool) {
        self.expire(minute);
        add(&mut self.fine, Bucket { index: minute, good: good.into(), bad: (!good).into() });
    }

    /// Merges fine buckets that are too old at `minute` into coarse ones and removes coarse ones
    /// that are too old; returns true if any bucket is left.
    pub(super) fn expire(&mut self, minute: u32) -> bool {
        while let Some(bucket) = self.fine.front().copied() {
            if bucket.index + FINE_SPAN_MINUTES > minute {
                break;
            }
            self.fine.pop_front();
            add(&mut self.coarse, Bucket { index: bucket.index / COARSE_BUCKET_MINUTES, ..bucket });
        }
        let now = minute / COARSE_BUCKET_MINUTES;
        while self.coarse.front().is_some_and(|bucket| bucket.index + COARSE_BUCKETS <= now) {
            self.coarse.pop_front();
        }
        !(self.fine.is_empty() && self.coarse.is_empty())
    }

    /// Returns the number of buckets.
    pub(super) fn len(&self) -> usize {
        self.fine.len() + self.coarse.len()
    }

    /// Returns the counts over [`WINDOWS`] up to `minute`, including the current bucket.
    pub(super) fn counts(&self, minute: u32) -> [Count; WINDOWS.len()] {
        WINDOWS.map(|window| self.count(minute, (window.as_secs() / FINE_BUCKET.as_secs()) as u32))
    }

    fn count(&self, minute: u32, window: u32) -> Count {
        let is_coarse_within =
            |index: u32| index + window / COARSE_BUCKET_MINUTES > minute / COARSE_BUCKET_MINUTES;
        let mut sum = Count::default();
        for bucket in &self.fine {
            let within = if window <= FINE_SPAN_MINUTES {
                bucket.index + window > minute
            } else {
                is_coarse_within(bucket.index / COARSE_BUCKET_MINUTES)
            };
            if within {
                sum.add(bucket.count());
            }
        }
        if window > FINE_SPAN_MINUTES {
            let recent = self.coarse.iter().filter(|bucket| is_coarse_within(bucket.index));
            recent.for_each(|bucket| sum.add(bucket.count()));
        }
        sum
    }
}

impl Bucket {
    fn count(self) -> Count {
        Count { good: self.good.into(), bad: self.bad.into() }
    }
}

/// Adds a bucket to the last one if its index is not higher, or appends it.
fn add(buckets: &mut VecDeque<Bucket>, bucket: Bucket) {
    match buckets.back_mut() {
        Some(last) if last.index >= bucket.index => {
            last.good = last.good.saturating_add(bucket.good);
            last.bad = last.bad.saturating_add(bucket.bad);
        }
        _ => buckets.push_back(bucket),
    }
}
