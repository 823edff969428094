//! Many runs of one site, and the comparison of policies on the same seeds.

use std::ops::Range;

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::policy::Policy;
use crate::simulation::simulate;
use crate::site::Site;
use crate::tally::Results;

/// Probability that a confidence interval contains the mean.
pub const CONFIDENCE: f64 = 0.95;

/// Runs of one policy.
#[derive(Debug, Clone)]
pub struct PolicyRuns {
    /// The policy.
    pub policy: Policy,
    /// Results in the order of the seeds.
    pub results: Vec<Results>,
}

/// A mean with its confidence interval, which contains it with probability [`CONFIDENCE`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Estimate {
    /// Mean.
    pub mean: f64,
    /// Half of the interval's width; infinite for fewer than two samples.
    pub margin: f64,
}

impl Estimate {
    /// Returns the estimate of the mean of independent samples, by Student's t distribution.
    pub fn of(samples: &[f64]) -> Self {
        let count = samples.len() as f64;
        let mean = samples.iter().sum::<f64>() / count.max(1.0);
        if samples.len() < 2 {
            return Self { mean, margin: f64::INFINITY };
        }
        let squares: f64 = samples.iter().map(|sample| (sample - mean).powi(2)).sum();
        let error = (squares / (count - 1.0) / count).sqrt();
        let t = StudentsT::new(0.0, 1.0, count - 1.0).expect("two samples or more");
        Self { mean, margin: t.inverse_cdf(f64::midpoint(1.0, CONFIDENCE)) * error }
    }

    /// Returns true if the interval doesn't contain 0.
    pub fn is_significant(self) -> bool {
        self.mean.abs() > self.margin
    }
}

/// Difference between two policies with the same callers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Difference {
    /// Difference of the value.
    pub value: Estimate,
    /// Difference of the answered fraction.
    pub served: Estimate,
}

impl Difference {
    /// Returns the mean of `runs` minus `base`, paired by seed.
    pub fn between(runs: &PolicyRuns, base: &PolicyRuns) -> Self {
        let estimate = |metric: fn(&Results) -> f64| {
            let pairs = runs.results.iter().zip(&base.results);
            let differences: Vec<f64> = pairs.map(|(a, b)| metric(a) - metric(b)).collect();
            Estimate::of(&differences)
        };
        Self {
            value: estimate(|results| results.value),
            served: estimate(|results| results.served),
        }
    }
}

/// Simulates every policy with every seed, in parallel on the caller's thread pool or on all cores.
/// If `show` is set, a progress bar is drawn.
pub fn run(site: &Site, policies: &[Policy], seeds: Range<u64>, show: bool) -> Vec<PolicyRuns> {
    let pairs: Vec<(Policy, u64)> =
        policies.iter().flat_map(|policy| seeds.clone().map(|seed| (*policy, seed))).collect();
    let progress = if show { progress(pairs.len() as u64) } else { ProgressBar::hidden() };
    let results: Vec<Results> = pairs
        .par_iter()
        .map(|(policy, seed)| {
            let results = simulate(site, *policy, *seed);
            progress.inc(1);
            results
        })
        .collect();
    progress.finish_and_clear();
    let seed_count = (seeds.end - seeds.start) as usize;
    let chunks = results.chunks(seed_count.max(1));
    let runs = policies.iter().zip(chunks);
    runs.map(|(policy, results)| PolicyRuns { policy: *policy, results: results.to_vec() })
        .collect()
}

fn progress(length: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} runs, {eta} left");
    let bar = ProgressBar::new(length);
    bar.set_style(style.expect("valid template"));
    bar
}
