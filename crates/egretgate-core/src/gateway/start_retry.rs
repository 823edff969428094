//! When a process tries again to get what it needs to start.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use egretgate_core::gateway::start_retry::StartRetry;
//!
//! let begun = Instant::now();
//! let mut retry = StartRetry::new(begun, Some(Duration::from_secs(1)));
//! assert!(retry.is_first());
//! assert!(retry.next_delay(begun).is_some());
//! assert!(!retry.is_first());
//! assert_eq!(retry.next_delay(begun + Duration::from_secs(1)), None);
//! ```

use std::time::{Duration, Instant};

/// Delay after the first failure; each is twice as long as the one before.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Longest delay, well within the interval of readiness checks.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Delays between the attempts of one series.
#[derive(Debug, Clone)]
pub struct StartRetry {
    begun: Instant,
    /// Time after which no further attempt is made; `None` for as long as it takes.
    limit: Option<Duration>,
    /// Delay before the next attempt.
    delay: Duration,
}

impl StartRetry {
    /// Returns the state of a series that begins now.
    pub const fn new(begun: Instant, limit: Option<Duration>) -> Self {
        Self { begun, limit, delay: MIN_DELAY }
    }

    /// Returns true until the first failure.
    pub fn is_first(&self) -> bool {
        self.delay == MIN_DELAY
    }

    /// Returns the time since the series began.
    pub fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.begun)
    }

    /// Records a failure and returns the delay before the next attempt; `None` after the last one.
    #[must_use]
    pub fn next_delay(&mut self, now: Instant) -> Option<Duration> {
        let delay = self.delay;
        self.delay = (delay * 2).min(MAX_DELAY);
        let left = self.limit.map(|limit| limit.saturating_sub(self.waited(now)));
        match left {
            Some(Duration::ZERO) => None,
            Some(left) => Some(delay.min(left)),
            None => Some(delay),
        }
    }
}
