//! Straight line fitted to recent measurements.

/// Factor by which the weight of earlier measurements decays with each new one.
const DECAY: f64 = 0.98;

/// Least-squares line with exponentially decaying weights.
#[derive(Debug, Clone)]
pub(super) struct LinearFit {
    /// Sum of the weights.
    weight: f64,
    /// Weighted means of x and y.
    x: f64,
    y: f64,
    /// Weighted sums of squares and products around the means.
    xx: f64,
    xy: f64,
}

impl LinearFit {
    pub(super) const fn new() -> Self {
        Self { weight: 0.0, x: 0.0, y: 0.0, xx: 0.0, xy: 0.0 }
    }

    /// Adds a measurement (West, "Updating Mean and Variance Estimates", CACM 1979).
    pub(super) fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * DECAY + 1.0;
        let dx = x - self.x;
        let dy = y - self.y;
        self.x += dx / self.weight;
        self.y += dy / self.weight;
        self.xx = self.xx * DECAY + dx * (x - self.x);
        self.xy = self.xy * DECAY + dx * (y - self.y);
    }

    /// Lowers the mean to the one that `floor` gives for the mean x, but for a fraction `kept` of
    /// the difference.
    pub(super) fn fade(&mut self, kept: f64, floor: impl Fn(f64) -> f64) {
        let floor = floor(self.x).min(self.y);
        self.y = floor + kept * (self.y - floor);
    }

    /// Returns the value at 0 and the slope, neither of them negative.
    pub(super) fn fit(&self) -> (f64, f64) {
        if self.x <= 0.0 || self.xx <= f64::EPSILON {
            return (self.y, 0.0);
        }
        let slope = (self.xy / self.xx).clamp(0.0, self.y / self.x);
        // Rounding can make the difference slightly negative.
        ((self.y - slope * self.x).max(0.0), slope)
    }
}
