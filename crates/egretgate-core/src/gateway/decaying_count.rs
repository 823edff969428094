//! Counts of recent events.

use std::time::{Duration, Instant};

/// A count with exponential decay: an event loses two thirds of its weight within the decay time.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    decay_time: Duration,
    /// Weight of the events at `updated_at`; at least 0.
    count: f64,
    updated_at: Instant,
}

impl DecayingCount {
    /// Returns an empty count.
    pub const fn new(decay_time: Duration, now: Instant) -> Self {
        Self { decay_time, count: 0.0, updated_at: now }
    }

    /// Counts an event.
    pub fn increment(&mut self, now: Instant) {
        self.add(1.0, now);
    }

    /// Adds the weight of several events; a negative one takes back events that were counted.
    pub fn add(&mut self, weight: f64, now: Instant) {
        self.count = (self.count(now) + weight).max(0.0);
        self.updated_at = now;
    }

    /// Returns the total weight of the events.
    pub fn count(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated_at);
        self.count * (-passed.div_duration_f64(self.decay_time)).exp()
    }

    /// Returns the rate of the events per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.count(now) / self.decay_time.as_secs_f64()
    }
}
