//! Retry budget, and the retry-after time of refused callers.
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

/// Maximum retry-after time.
pub const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Minimum retry-after time.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Limits retries to a fraction of the requests, so that retries can't multiply an overload.
///
/// A token bucket as in Finagle's `RetryBudget` and the chapter on overload of Google's book on
/// site reliability engineering: each request deposits a fraction of a token, each retry withdraws
/// one token, and a small rate is added over time so that a client with few requests can still
/// retry.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    /// Tokens deposited for each request.
    ratio: f64,
    /// Tokens added per second regardless of requests.
    min_rate: f64,
    /// Maximum number of tokens; at least 1.
    cap: f64,
    /// Current tokens; in `0.0..=cap`.
    tokens: f64,
    /// Time up to which `min_rate` was credited.
    filled_at: Instant,
}

impl RetryBudget {
    /// Returns a budget that allows `ratio` retries for each request plus `min_rate` retries per
    /// second, and saves at most `cap` retries. It starts with the tokens of one second.
    pub fn new(ratio: f64, min_rate: f64, cap: f64, now: Instant) -> Self {
        let cap = cap.max(1.0);
        Self { ratio, min_rate, cap, tokens: min_rate.clamp(0.0, cap), filled_at: now }
    }

    /// Counts the first attempt of a request.
    pub fn deposit(&mut self, now: Instant) {
        self.fill(now);
        self.tokens = (self.tokens + self.ratio).min(self.cap);
    }

    /// Takes a retry from the budget; false if none is left, in which case the retry must not be
    /// made.
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
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.min_rate).min(self.cap);
        self.filled_at = self.filled_at.max(now);
    }
}

/// Returns the time after which a refused caller should retry, drawn with jitter.
///
/// `base` is the time after which capacity is expected and `load` the ratio of queued work to the
/// work served in that time. The result is uniform from `base` to `base × (2 + load)`, so that
/// callers refused together retry over a span that grows with the load (the jitter of "Exponential
/// Backoff and Jitter", AWS Architecture Blog, 2015). It lies within [`MIN_RETRY_AFTER`] and
/// [`MAX_RETRY_AFTER`].
pub fn draw_retry_after(base: Duration, load: f64, rng: &mut impl Rng) -> Duration {
    let load = if load.is_finite() { load.clamp(0.0, 64.0) } else { 64.0 };
    let low = base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2).as_secs_f64();
    let high = (low * (2.0 + load)).min(MAX_RETRY_AFTER.as_secs_f64());
    Duration::from_secs_f64(rng.random_range(low..=high))
}
