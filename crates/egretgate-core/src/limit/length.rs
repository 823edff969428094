//! Prediction of answer lengths by route.

use std::collections::BTreeMap;

use crate::ids::RouteId;

/// Maximum number of routes for which lengths are kept.
const MAX_ROUTES: usize = 1024;
/// Initial relative step of an estimate.
const INITIAL_STEP: f64 = 1.0;
/// Minimum relative step of an estimate; it stays above zero so that the estimate follows changes.
const MIN_STEP: f64 = 0.05;

/// Running quantile of the lengths of one route.
#[derive(Debug, Clone, PartialEq)]
struct Quantile {
    /// Natural logarithm of the estimate.
    value: f64,
    /// Size of the next correction.
    step: f64,
}

/// Running quantile of answer lengths for each route.
///
/// Stochastic approximation in the logarithm of the length (Robbins and Monro, 1951; the streaming
/// form follows Ma, Muthukrishnan and Sandler, "Frugal Streaming for Estimating Quantiles", 2013),
/// so that two numbers suffice for a route although lengths differ a hundredfold.
#[derive(Debug, Clone, PartialEq)]
pub struct LengthPredictor {
    /// Fraction of answers that are no longer than the estimate; in (0, 1).
    quantile: f64,
    /// Estimate for a route without any answer, in tokens.
    initial: u32,
    routes: BTreeMap<RouteId, Quantile>,
}

impl LengthPredictor {
    /// Returns a predictor of `quantile` that predicts `initial` tokens for routes without any
    /// answer.
    pub fn new(quantile: f64, initial: u32) -> Self {
        Self { quantile: quantile.clamp(0.01, 0.99), initial, routes: BTreeMap::new() }
    }

    /// Records the length of an answer, in tokens.
    pub fn observe(&mut self, route: &str, tokens: u32) {
        let length = f64::from(tokens.max(1)).ln();
        if let Some(estimate) = self.routes.get_mut(route) {
            let direction =
                if length <= estimate.value { self.quantile - 1.0 } else { self.quantile };
            estimate.value = (estimate.value + estimate.step * direction).max(0.0);
            estimate.step = (estimate.step * 0.9).max(MIN_STEP);
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.to_owned(), Quantile { value: length, step: INITIAL_STEP });
        }
    }

    /// Returns the expected length of an answer, in tokens.
    pub fn predict(&self, route: &str) -> u32 {
        self.routes.get(route).map_or(self.initial, |estimate| estimate.value.exp().round() as u32)
    }

    /// Removes a route and its lengths.
    pub fn forget(&mut self, route: &str) {
        self.routes.remove(route);
    }
}
