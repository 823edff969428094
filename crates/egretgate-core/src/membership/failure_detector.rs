//! Failure detector for one sender of heartbeats.

use std::time::{Duration, Instant};

/// Weight of a new interval in the mean.
const MEAN_GAIN: f64 = 0.1;
/// Lower and upper bound of the mean, as factors of the expected interval.
const MEAN_BOUNDS: (f64, f64) = (1.0, 1.7);

/// Accrual failure detector (Hayashibara et al., "The φ Accrual Failure Detector", SRDS '04), with
/// exponentially distributed intervals.
#[derive(Debug, Clone)]
pub(super) struct FailureDetector {
    /// Expected heartbeat interval, in seconds.
    expected: f64,
    /// Mean heartbeat interval, in seconds.
    mean: f64,
    /// Time of the last heartbeat.
    last_heartbeat: Instant,
}

impl FailureDetector {
    pub(super) fn new(expected: Duration, now: Instant) -> Self {
        let expected = expected.as_secs_f64().max(1e-3);
        Self { expected, mean: expected, last_heartbeat: now }
    }

    /// Sets the expected heartbeat interval.
    pub(super) fn set_expected(&mut self, expected: Duration) {
        self.expected = expected.as_secs_f64().max(1e-3);
        let (low, high) = MEAN_BOUNDS;
        self.mean = self.mean.clamp(low * self.expected, high * self.expected);
    }

    /// Records a heartbeat.
    pub(super) fn record_heartbeat(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_heartbeat).as_secs_f64();
        let (low, high) = MEAN_BOUNDS;
        let bounded = elapsed.clamp(low * self.expected, high * self.expected);
        self.mean += MEAN_GAIN * (bounded - self.mean);
        self.last_heartbeat = self.last_heartbeat.max(now);
    }

    /// Measures silence from `now` on, as if a heartbeat had arrived.
    pub(super) fn restart(&mut self, now: Instant) {
        self.last_heartbeat = now;
    }

    /// Returns the negative decimal logarithm of the probability that a live sender is silent for
    /// as long as this one has been.
    pub(super) fn suspicion(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.last_heartbeat).as_secs_f64();
        elapsed / self.mean * std::f64::consts::LOG10_E
    }
}
