//! How long a request may wait, and when a refused caller should come back.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::catalog::Route;

/// Shortest silence after which callers of streams give up.
const STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// Silence after which callers of streams give up, in objectives.
const OBJECTIVES: u32 = 4;
/// Silence after which callers of streams give up, in allowed pauses.
const PAUSES: u32 = 8;
/// Part of the caller's patience that a request may spend in the queue; the rest is for its run.
const QUEUE_PART: f64 = 0.75;
/// Part of the objective that a request may be expected to wait; the rest is for its run.
const WORTHWHILE_PART: f64 = 0.75;
/// Part of the time left that callers wait at most before they come back.
const RETURN_PART: f64 = 1.0 / 3.0;
/// Part of the time left in which a refused caller's return is spread.
const SPREAD: std::ops::Range<f64> = 0.55..0.95;

/// Returns the longest time that a request of the route may wait in the queue.
pub fn longest_wait(route: &Route, left: Duration) -> Duration {
    let left = left.min(route.timeout);
    let patience = if route.kind.is_stream() {
        let pause = route.gap.unwrap_or_default() * PAUSES;
        STREAM_PATIENCE.max(route.objective * OBJECTIVES).max(pause).min(left)
    } else {
        left
    };
    patience.mul_f64(QUEUE_PART)
}

/// Returns the longest wait that is worth beginning: after it an answer would be late.
pub fn worthwhile_wait(route: &Route) -> Duration {
    route.objective.mul_f64(WORTHWHILE_PART)
}

/// Returns when a refused caller with `left` of its time should come back.
///
/// Callers return within a third of the time they have, so the span up to that is used whole:
/// the later part of it, since bursts outlast the earlier one, and spread, so that those refused
/// together don't come back together.
pub fn come_back(left: Duration, rng: &mut impl Rng) -> Duration {
    left.mul_f64(RETURN_PART * rng.random_range(SPREAD))
}
