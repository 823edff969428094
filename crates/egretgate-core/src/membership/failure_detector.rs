//! Suspicion level of one sender of heartbeats.

use std::time::{Duration, Instant};

/// Share of each new interval in the mean.
const MEAN_GAIN: f64 = 0.1;
/// Range of the mean around the expected interval, as factors.
const MEAN_BOUNDS: (f64, f64) = (1.0, 1.7);

/// Accrual failure detector (Hayashibara et al., "The φ Accrual Failure Detector", SRDS '04), with
/// exponentially distributed intervals.
#[derive(Debug, Clone)]
pub(super) struct FailureDetector {
    /// Expected time between heartbeats, in seconds.
    expected: f64,
    /// Mean time between heartbeats, in seconds.
    mean: f64,
    last_heartbeat: Instant,
}

impl FailureDetector {
    pub(super) fn new(expected: Duration, now: Instant) -> Self {
        let expected = expected.as_secs_f64().max(1e-3);
        Self { expected, mean: expected, last_heartbeat: now }
    }

    /// Sets the expected time between heartbeats.
    pub(super) fn set_expected(&mut self, expected: Duration) {
        self.expected = expected.as_secs_f64().max(1e-3);
        let (low, high) = MEAN_BOUNDS;
        self.mean = self.mean.clamp(low * self.expected, high * self.expected);
    }

    /// Notes a heartbeat.
    pub(super) fn record_heartbeat(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last_heartbeat).as_secs_f64();
        let (low, high) = MEAN_BOUNDS;
        let bounded = passed.clamp(low * self.expected, high * self.expected);
        self.mean += MEAN_GAIN * (bounded - self.mean);
        self.last_heartbeat = self.last_heartbeat.max(now);
    }

    /// Counts silence from `now` on.
    pub(super) fn restart(&mut self, now: Instant) {
        self.last_heartbeat = now;
    }

    /// Returns the negative decimal logarithm of the chance that a live sender is silent for as
    /// long as this one has been.
    pub(super) fn suspicion(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.last_heartbeat).as_secs_f64();
        passed / self.mean * std::f64::consts::LOG10_E
    }
}
