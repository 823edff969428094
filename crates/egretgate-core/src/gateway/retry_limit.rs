//! How many requests an entry may retry at another upstream, under a retry budget of the whole
//! fleet.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the fleet's budget that the entries spend together; the rest covers retries that
/// they can't see.
const SPENDABLE_FRACTION: f64 = 0.7;

/// The retry budget of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Further retries allowed in each window, over all entries.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl RetryLimit {
    /// Returns the budget of an entry that has no part of the slack.
    #[must_use]
    pub const fn without_slack(self) -> Self {
        Self { slack: 0.0, ..self }
    }
}

impl Default for RetryLimit {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 10.0, window: Duration::from_secs(10) }
    }
}

/// Requests and retries of one entry to one service within the window.
#[derive(Debug, Clone, Default)]
pub struct RetryWindow {
    /// Times of requests, oldest first.
    requests: VecDeque<Instant>,
    /// Times of retries, oldest first.
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// Counts a request.
    pub fn record_request(&mut self, now: Instant, limit: &RetryLimit) {
        self.expire(now, limit);
        self.requests.push_back(now);
    }

    /// Takes a retry from this entry's fraction of the budget; returns false if none is left.
    #[must_use]
    pub fn take_retry(&mut self, now: Instant, limit: &RetryLimit, entries: usize) -> bool {
        self.expire(now, limit);
        let slack = limit.slack / entries.max(1) as f64;
        let allowed = (self.requests.len() as f64 * limit.ratio + slack) * SPENDABLE_FRACTION;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Gives back a retry that was taken at `taken` and not sent.
    pub fn give_back(&mut self, taken: Instant) {
        if let Ok(index) = self.retries.binary_search(&taken) {
            self.retries.remove(index);
        }
    }

    fn expire(&mut self, now: Instant, limit: &RetryLimit) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.duration_since(*time) > limit.window) {
                times.pop_front();
            }
        }
    }
}
