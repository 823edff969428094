//! Suspicion level of one sender of heartbeats.

use std::time::{Duration, Instant};

/// Share of each new interval in the mean.
const SHARE: f64 = 0.1;
/// Range of the mean around the expected interval, as factors.
const RANGE: (f64, f64) = (1.0, 1.7);

/// Accrual failure detector (Hayashibara et al., "The φ Accrual Failure Detector", SRDS '04), with
/// exponentially distributed intervals.
#[derive(Debug, Clone)]
pub(super) struct Suspicion {
    /// Expected time between heartbeats, in seconds.
    expected: f64,
    /// Mean time between heartbeats, in seconds.
    mean: f64,
    last: Instant,
}

impl Suspicion {
    pub(super) fn new(expected: Duration, now: Instant) -> Self {
        let expected = expected.as_secs_f64().max(1e-3);
        Self { expected, mean: expected, last: now }
    }

    /// Sets the expected time between heartbeats.
    pub(super) fn set_expected(&mut self, expected: Duration) {
        self.expected = expected.as_secs_f64().max(1e-3);
        let (low, high) = RANGE;
        self.mean = self.mean.clamp(low * self.expected, high * self.expected);
    }

    /// Notes a heartbeat.
    pub(super) fn heard(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        let (low, high) = RANGE;
        let bounded = passed.clamp(low * self.expected, high * self.expected);
        self.mean += SHARE * (bounded - self.mean);
        self.last = self.last.max(now);
    }

    /// Counts silence from `now` on.
    pub(super) fn restart(&mut self, now: Instant) {
        self.last = now;
    }

    /// Returns the negative decimal logarithm of the chance that a live sender is silent for as
    /// long as this one has been.
    pub(super) fn level(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        passed / self.mean * std::f64::consts::LOG10_E
    }
}
