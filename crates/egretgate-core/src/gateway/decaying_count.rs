//! Counts of what happened lately.

use std::time::{Duration, Instant};

/// A count that forgets with time: an event loses two thirds of its weight within the memory.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    memory: Duration,
    /// Weight of the events at `seen`; at least 0.
    count: f64,
    seen: Instant,
}

impl Flow {
    /// Returns a count of nothing.
    pub const fn new(memory: Duration, now: Instant) -> Self {
        Self { memory, count: 0.0, seen: now }
    }

    /// Counts an event.
    pub fn note(&mut self, now: Instant) {
        self.count = self.count(now) + 1.0;
        self.seen = now;
    }

    /// Returns the weight of the events.
    pub fn count(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.seen);
        self.count * (-passed.div_duration_f64(self.memory)).exp()
    }

    /// Returns the events a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.count(now) / self.memory.as_secs_f64()
    }
}
