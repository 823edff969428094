//! What teams may exceed their limits by.
//!
//! Entries learn late what the others admitted, so a deployment tolerates an excess. A part of it is
//! granted to the more urgent requests of a team, so that nothing within the limit is refused for
//! their sake; a part to entries that start and don't know what was spent before; the rest stays for
//! late reports.

use std::time::Duration;

use super::catalog::TokenLimit;

/// Fraction of the excess that the more urgent requests of a team may use. If all entries restart
/// they may use it twice in a window.
const URGENT_FRACTION: f64 = 0.25;
/// Fraction of the excess that requests may use which are too small for a reserve to matter.
const SMALL_FRACTION: f64 = 0.35;
/// Fraction of the excess that a starting fleet assumes to be left.
const START_FRACTION: f64 = 0.1;

/// The excess over the limits that a deployment tolerates in any window; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitTolerance {
    /// Fraction of what the limit allows in a window.
    pub overage: f64,
    /// Tokens in a window, besides that fraction.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

impl LimitTolerance {
    /// Returns the tokens by which the limit may be exceeded in a window.
    pub fn excess(&self, limit: TokenLimit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        (allowed * self.overage + self.slack).max(0.0)
    }

    /// Returns the tokens beyond the limit that the most urgent requests may use.
    pub(super) fn urgent(&self, limit: TokenLimit) -> f64 {
        self.excess(limit) * URGENT_FRACTION
    }

    /// Returns the tokens beyond the limit that small requests may use.
    pub(super) fn small(&self, limit: TokenLimit) -> f64 {
        self.excess(limit) * SMALL_FRACTION
    }

    /// Returns the tokens that a starting fleet may assume to be left, of a burst that may have been
    /// spent before.
    pub(super) fn start(&self, limit: TokenLimit) -> f64 {
        (self.excess(limit) * START_FRACTION).min(limit.burst)
    }
}
