//! Retry budget and the time to come back.
//!
//! ```
//! use std::time::Instant;
//!
//! use egretgate_core::retry::RetryBudget;
//!
//! let now = Instant::now();
//! let mut budget = RetryBudget::new(0.1, 0.0, 10.0, now);
//! for _ in 0..11 {
//!     budget.deposit(now);
//! }
//! assert!(budget.withdraw(now));
//! assert!(!budget.withdraw(now));
//! ```

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Longest time to come back that is ever named.
pub const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Shortest time to come back that is ever named.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Limits retries to a share of the requests, so that retries can't multiply an overload.
///
/// A token bucket as in Finagle's `RetryBudget` and the chapter on overload of Google's book on
/// site reliability engineering: each request deposits a share of a token, each retry withdraws
/// one, and a small reserve flows in by time so that a quiet client may still retry.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    /// Tokens deposited for each request.
    ratio: f64,
    /// Tokens that flow in each second without requests.
    min_rate: f64,
    /// Most tokens held; at least 1.
    cap: f64,
    /// Tokens held; in `0.0..=cap`.
    tokens: f64,
    /// Time up to which the reserve was credited.
    filled_at: Instant,
}

impl RetryBudget {
    /// Returns a budget that allows `ratio` retries for each request and `min_rate` retries a
    /// second besides, and saves up at most `cap` retries. It starts with a second's reserve.
    pub fn new(ratio: f64, min_rate: f64, cap: f64, now: Instant) -> Self {
        let cap = cap.max(1.0);
        Self { ratio, min_rate, cap, tokens: min_rate.clamp(0.0, cap), filled_at: now }
    }

    /// Counts a first try.
    pub fn deposit(&mut self, now: Instant) {
        self.fill(now);
        self.tokens = (self.tokens + self.ratio).min(self.cap);
    }

    /// Takes a retry from the budget; false if none is left, and then the retry must not be made.
    #[must_use]
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of retries left.
    pub fn balance(&self) -> f64 {
        self.tokens
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.min_rate).min(self.cap);
        self.filled_at = self.filled_at.max(now);
    }
}

/// Returns the time after which a refused caller may come back, spread over callers.
///
/// `base` is the time after which room is expected and `load` the ratio of waiting work to what
/// is served in that time. The result is uniform from `base` to `base × (2 + load)`, so that
/// callers refused together return over a span that grows with the load (the jitter of "Exponential
/// Backoff and Jitter", AWS Architecture Blog, 2015), and lies within [`MIN_RETRY_AFTER`] and [`MAX_RETRY_AFTER`].
pub fn draw_retry_after(base: Duration, load: f64, rng: &mut impl Rng) -> Duration {
    let load = if load.is_finite() { load.clamp(0.0, 64.0) } else { 64.0 };
    let low = base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2).as_secs_f64();
    let high = (low * (2.0 + load)).min(MAX_RETRY_AFTER.as_secs_f64());
    Duration::from_secs_f64(rng.random_range(low..=high))
}
