//! Points in time computed from times that other writers state.

use std::time::{Duration, Instant};

/// Longest time that is added; the clock can't represent every sum.
pub const MAX_TIME: Duration = Duration::from_hours(24);

/// Returns the time `by` after `at`; [`MAX_TIME`] after it if `by` is longer.
pub fn after(at: Instant, by: Duration) -> Instant {
    at + by.min(MAX_TIME)
}
