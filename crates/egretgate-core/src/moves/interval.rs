//! Confidence intervals of a fraction that are valid at all times at once (confidence sequences).

/// Bisection steps in the search for a bound.
const BISECTION_STEPS: u32 = 40;

/// Smallest fraction in the grid of alternatives that [`proves_below`] tests.
const GRID_MIN_FRACTION: f64 = 0.002;
/// Ratio of neighbouring fractions in the grid.
const GRID_RATIO: f64 = 1.4;
/// Number of fractions in the grid.
const GRID_POINTS: i32 = 18;

/// Bounds of a fraction, valid for every number of observations at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// Lower bound.
    pub low: f64,
    /// Upper bound.
    pub high: f64,
}

impl Interval {
    /// Returns the bounds after `hits` among `total` independent requests.
    ///
    /// With a probability of at least `1 - alpha` the true fraction lies within the bounds after
    /// every request, so the bounds may be checked at any time. It is the beta-binomial mixture of
    /// Robbins (Annals of Mathematical Statistics, 1970) with a uniform mixing density, whose
    /// evidence against a fraction `p` is `1 / ((n + 1) C(n, k) p^k (1 - p)^(n - k))`. The binomial
    /// coefficient is replaced by Stirling's upper bound
    /// `sqrt(n / (2 pi k (n - k))) exp(n H(k / n))`, which only widens the interval. The mSPRT of
    /// Johari et al. (KDD '17) uses the same mixtures with a normal approximation.
    pub fn new(hits: u64, total: u64, alpha: f64) -> Self {
        if total == 0 {
            return Self { low: 0.0, high: 1.0 };
        }
        let n = total as f64;
        let mean = hits.min(total) as f64 / n;
        let radius = radius(hits.min(total), total, alpha) / n;
        Self { low: find_bound(mean, 0.0, radius), high: find_bound(mean, 1.0, radius) }
    }
}

/// Returns true if `hits` among `total` independent requests prove that the fraction is below
/// `bound`.
///
/// If the fraction is in fact `bound` or more, the probability that this ever returns true is at
/// most `alpha`, however often it is checked. It is a one-sided mixture SPRT over a fixed grid of
/// smaller fractions: each likelihood ratio is a supermartingale under every fraction of at least
/// `bound`, and so is their mean. The mean rises with `bound`, so a proof against a lower bound,
/// such as an estimate from below, is also valid.
pub(super) fn proves_below(hits: u64, total: u64, bound: f64, alpha: f64) -> bool {
    let (k, n) = (hits.min(total) as f64, total as f64);
    if bound >= 1.0 || k >= bound * n {
        return false;
    }
    let log_likelihood = |fraction: f64| k * fraction.ln() + (n - k) * (1.0 - fraction).ln();
    let null = log_likelihood(bound);
    let grid = (0..GRID_POINTS).map(|point| GRID_MIN_FRACTION * GRID_RATIO.powi(point));
    let smaller = grid.filter(|&fraction| fraction < bound);
    let sum: f64 = smaller.map(|fraction| (log_likelihood(fraction) - null).exp()).sum();
    sum / f64::from(GRID_POINTS) >= 1.0 / alpha
}

/// Returns the largest divergence within the interval, times the number of observations.
fn radius(hits: u64, total: u64, alpha: f64) -> f64 {
    let (k, n) = (hits as f64, total as f64);
    let misses = n - k;
    let stirling = if hits == 0 || hits == total {
        0.0
    } else {
        0.5 * (n / (2.0 * std::f64::consts::PI * k * misses)).ln()
    };
    (n + 1.0).ln() + stirling - alpha.ln()
}

/// Returns the fraction between `mean` and `edge` whose divergence from `mean` is `radius`.
fn find_bound(mean: f64, edge: f64, radius: f64) -> f64 {
    let (mut inside, mut outside) = (mean, edge);
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(inside, outside);
        if kl_divergence(mean, middle) <= radius {
            inside = middle;
        } else {
            outside = middle;
        }
    }
    outside
}

/// Returns the Kullback-Leibler divergence of a Bernoulli distribution with probability `q` from
/// one with probability `p`.
fn kl_divergence(p: f64, q: f64) -> f64 {
    let term = |a: f64, b: f64| if a > 0.0 { a * (a / b).ln() } else { 0.0 };
    term(p, q) + term(1.0 - p, 1.0 - q)
}
