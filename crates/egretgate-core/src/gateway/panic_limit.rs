//! Decides when panics in a task are too many for it to go on.

use std::time::{Duration, Instant};

/// Panics in a row after which a task is given up.
const MAX_PANICS: u32 = 16;
/// Least time from the first of them to the last, so that one burst isn't enough.
const MIN_SPAN: Duration = Duration::from_secs(2);

/// The panics in a row, without work that succeeded in between.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PanicLimit {
    count: u32,
    first: Option<Instant>,
}

impl PanicLimit {
    /// Records work that succeeded.
    pub const fn record_success(&mut self) {
        self.count = 0;
        self.first = None;
    }

    /// Records a panic; returns true if the task must be given up.
    pub fn record_panic(&mut self, now: Instant) -> bool {
        self.count = self.count.saturating_add(1);
        let first = *self.first.get_or_insert(now);
        self.count >= MAX_PANICS && now.saturating_duration_since(first) >= MIN_SPAN
    }
}
