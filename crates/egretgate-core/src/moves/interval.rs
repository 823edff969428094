//! Confidence intervals of a share that hold at all times at once.

/// Halvings of the search for a bound.
const BISECTION_STEPS: u32 = 40;

/// Smallest share of the grid on which proofs rest.
const GRID_MIN_FRACTION: f64 = 0.002;
/// Ratio of neighbours on the grid.
const GRID_RATIO: f64 = 1.4;
/// Points of the grid.
const GRID_POINTS: i32 = 15;

/// Bounds of a share, valid over every number of observations at once.
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
    /// With probability of at least `1 - alpha` the true share lies within the bounds after each
    /// request, so that one may look and stop at any time. It is the beta-binomial mixture of
    /// Robbins (Annals of Mathematical Statistics, 1970) with a uniform mixing density, whose
    /// evidence against a share `p` is `1 / ((n + 1) C(n, k) p^k (1 - p)^(n - k))`, with the
    /// binomial coefficient replaced by Stirling's upper bound `sqrt(n / (2 pi k (n - k)))
    /// exp(n H(k / n))`, which only widens the interval. The same mixtures underlie the mSPRT of
    /// Johari et al. (KDD '17), which approximates by a normal distribution instead.
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

/// Returns true if `hits` among `total` independent requests prove a share below `bound`.
///
/// If the share is in fact `bound` or more, the probability that this is ever true is at most
/// `alpha`, however often one looks. It is a one-sided mixture SPRT over a fixed grid of smaller
/// shares: each likelihood ratio is a supermartingale under every share of at least `bound`, and
/// so is their mean. The mean rises with `bound`, so that a proof against a lower one, such as
/// one that is estimated from below, holds as well.
pub(super) fn proves_below(hits: u64, total: u64, bound: f64, alpha: f64) -> bool {
    let (k, n) = (hits.min(total) as f64, total as f64);
    if bound >= 1.0 || k >= bound * n {
        return false;
    }
    let log = |share: f64| k * share.ln() + (n - k) * (1.0 - share).ln();
    let null = log(bound);
    let grid = (0..GRID_POINTS).map(|point| GRID_MIN_FRACTION * GRID_RATIO.powi(point));
    let smaller = grid.filter(|&share| share < bound);
    let sum: f64 = smaller.map(|share| (log(share) - null).exp()).sum();
    sum / f64::from(GRID_POINTS) >= 1.0 / alpha
}

/// Returns the bound on the divergence, times the number of observations.
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

/// Returns the share between `mean` and `edge` at which the divergence from `mean` is `radius`.
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

/// Returns the Kullback-Leibler divergence of a coin of share `q` from one of share `p`.
fn kl_divergence(p: f64, q: f64) -> f64 {
    let term = |a: f64, b: f64| if a > 0.0 { a * (a / b).ln() } else { 0.0 };
    term(p, q) + term(1.0 - p, 1.0 - q)
}
