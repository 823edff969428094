//! How long a request may wait in the queue, and when a refused caller should try again.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::catalog::Route;

/// Shortest silence after which callers of streams give up.
const MIN_STREAM_SILENCE: Duration = Duration::from_secs(2);
/// Silence after which callers of streams give up, in multiples of the route's objective.
const SILENCE_OBJECTIVES: u32 = 4;
/// Silence after which callers of streams give up, in multiples of the route's maximum gap.
const SILENCE_GAPS: u32 = 8;
/// Fraction of the caller's timeout that a request may spend in the queue; the rest is for the
/// upstream.
const QUEUE_FRACTION: f64 = 0.75;
/// Fraction of the objective that a request may be expected to wait; the rest is for the upstream.
const USEFUL_WAIT_FRACTION: f64 = 0.75;
/// Fraction of a caller's remaining time within which it tries again.
const RETRY_FRACTION: f64 = 1.0 / 3.0;
/// Range, in fractions of that time, over which the retries of refused callers are spread.
const RETRY_JITTER: std::ops::Range<f64> = 0.55..0.95;

/// Returns the longest time that a request of the route may wait in the queue.
pub fn max_queue_wait(route: &Route, time_left: Duration) -> Duration {
    let time_left = time_left.min(route.timeout);
    let timeout = if route.kind.is_stream() {
        let silence = route.max_gap.unwrap_or_default().saturating_mul(SILENCE_GAPS);
        MIN_STREAM_SILENCE
            .max(route.objective.saturating_mul(SILENCE_OBJECTIVES))
            .max(silence)
            .min(time_left)
    } else {
        time_left
    };
    timeout.mul_f64(QUEUE_FRACTION)
}

/// Returns the longest useful wait: after a longer one the answer would be late.
pub fn useful_wait(route: &Route) -> Duration {
    route.objective.mul_f64(USEFUL_WAIT_FRACTION)
}

/// Returns the time after which a refused caller that has `time_left` should try again where all
/// upstreams pause for `pause`: not before its end, and with jitter.
pub fn retry_delay_after(pause: Duration, time_left: Duration, rng: &mut impl Rng) -> Duration {
    let spread = time_left.mul_f64(RETRY_FRACTION * rng.random_range(0.0..RETRY_JITTER.start));
    (pause + spread).max(retry_delay(time_left, rng))
}

/// Returns the time after which a refused caller that has `time_left` should try again.
///
/// Callers try again within a third of their remaining time. The delay lies in the later part of
/// that time, since bursts outlast the earlier part, and has jitter, so that callers refused
/// together don't return together.
pub fn retry_delay(time_left: Duration, rng: &mut impl Rng) -> Duration {
    time_left.mul_f64(RETRY_FRACTION * rng.random_range(RETRY_JITTER))
}
