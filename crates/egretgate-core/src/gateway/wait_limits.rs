//! How long a request may wait, and when a refused caller should come back.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::catalog::Route;

/// Shortest silence after which callers of streams give up.
const MIN_STREAM_SILENCE: Duration = Duration::from_secs(2);
/// Silence after which callers of streams give up, in objectives.
const SILENCE_OBJECTIVES: u32 = 4;
/// Silence after which callers of streams give up, in allowed pauses.
const SILENCE_GAPS: u32 = 8;
/// Part of the caller's patience that a request may spend in the queue; the rest is for its run.
const QUEUE_FRACTION: f64 = 0.75;
/// Part of the objective that a request may be expected to wait; the rest is for its run.
const USEFUL_WAIT_FRACTION: f64 = 0.75;
/// Part of the time left that callers wait at most before they come back.
const RETRY_FRACTION: f64 = 1.0 / 3.0;
/// Part of the time left in which a refused caller's return is spread.
const RETRY_JITTER: std::ops::Range<f64> = 0.55..0.95;

/// Returns the longest time that a request of the route may wait in the queue.
pub fn max_queue_wait(route: &Route, time_left: Duration) -> Duration {
    let time_left = time_left.min(route.timeout);
    let timeout = if route.kind.is_stream() {
        let silence = route.max_gap.unwrap_or_default() * SILENCE_GAPS;
        MIN_STREAM_SILENCE.max(route.objective * SILENCE_OBJECTIVES).max(silence).min(time_left)
    } else {
        time_left
    };
    timeout.mul_f64(QUEUE_FRACTION)
}

/// Returns the longest wait that is worth beginning: after it an answer would be late.
pub fn useful_wait(route: &Route) -> Duration {
    route.objective.mul_f64(USEFUL_WAIT_FRACTION)
}

/// Returns when a refused caller with `left` of its time should come back.
///
/// Callers return within a third of the time they have, so the span up to that is used whole:
/// the later part of it, since bursts outlast the earlier one, and spread, so that those refused
/// together don't come back together.
pub fn retry_delay(time_left: Duration, rng: &mut impl Rng) -> Duration {
    time_left.mul_f64(RETRY_FRACTION * rng.random_range(RETRY_JITTER))
}
