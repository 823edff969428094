//! The report: goodput by tier, times, waste, refusals and broken promises.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use egretgate::core::Digest;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{End, Outcome, TIERS};
use crate::options::Options;
use crate::world::World;

/// Longest time to a good first token.
const FIRST_TARGET: Duration = Duration::from_millis(380);
/// Longest good mean time between tokens.
const BETWEEN_TARGET: Duration = Duration::from_millis(34);

/// What came of the load.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Seed of the load.
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// Policy of choice.
    pub policy: &'static str,
    /// One row for each tier, most urgent first.
    pub tiers: Vec<TierRow>,
    /// Refusals and failures by code.
    pub failures: BTreeMap<String, u64>,
    /// Prompt tokens processed by the engines.
    pub prefill: u64,
    /// Prompt tokens processed for requests left unfinished.
    pub wasted: u64,
    /// Requests run by each engine.
    pub executions: Vec<u64>,
    /// Append requests that the log took.
    pub appends: u64,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// Requests of one tier.
#[derive(Debug, Serialize)]
pub struct TierRow {
    tier: &'static str,
    sent: u64,
    good: u64,
    goodput: f64,
    first_ms: Quantiles,
    between_ms: Quantiles,
}

#[derive(Debug, Serialize)]
struct Quantiles {
    p50: f64,
    p95: f64,
    p99: f64,
}

impl Report {
    /// Returns the report on `outcomes`.
    pub fn new(world: &World, options: &Options, outcomes: &[Outcome]) -> Self {
        let tiers = (0..TIERS.len()).map(|tier| tier_row(tier, outcomes)).collect();
        let mut failures = BTreeMap::new();
        for outcome in outcomes {
            match &outcome.end {
                End::Failed { code, .. } => *failures.entry(code.clone()).or_default() += 1,
                End::Broken(_) => *failures.entry("connection".to_owned()).or_default() += 1,
                End::Whole { .. } => {}
            }
        }
        let counts: Vec<_> =
            world.engines.iter().map(egretgate_fakes::engine::Engine::counts).collect();
        Self {
            seed: options.seed,
            rate: options.rate,
            policy: options.policy.as_str(),
            tiers,
            failures,
            prefill: counts.iter().map(|one| one.prefill).sum(),
            wasted: counts.iter().map(|one| one.wasted).sum(),
            executions: counts.iter().map(|one| one.executions).collect(),
            appends: world.appends(),
            broken: broken(world, outcomes),
        }
    }
}

fn tier_row(tier: usize, outcomes: &[Outcome]) -> TierRow {
    let mut firsts = Histogram::<u64>::new(3).expect("valid precision");
    let mut gaps = Histogram::<u64>::new(3).expect("valid precision");
    let (mut sent, mut good) = (0, 0);
    for outcome in outcomes.iter().filter(|outcome| outcome.tier == tier) {
        sent += 1;
        let End::Whole { first, between, stream, .. } = outcome.end else { continue };
        good += u64::from(!stream || first <= FIRST_TARGET && between <= BETWEEN_TARGET);
        if stream {
            firsts.record(first.as_micros() as u64).expect("the histogram grows");
            gaps.record(between.as_micros() as u64).expect("the histogram grows");
        }
    }
    TierRow {
        tier: TIERS[tier],
        sent,
        good,
        goodput: good as f64 / (sent as f64).max(1.0),
        first_ms: quantiles(&firsts),
        between_ms: quantiles(&gaps),
    }
}

fn quantiles(times: &Histogram<u64>) -> Quantiles {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    Quantiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}

/// Returns each promise that an outcome shows to be broken.
fn broken(world: &World, outcomes: &[Outcome]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut runs: BTreeMap<Digest, u64> = BTreeMap::new();
    for engine in &world.engines {
        for (digest, count) in engine.digests() {
            *runs.entry(digest).or_default() += count;
        }
        for (id, count) in engine.ids() {
            if count > 1 {
                broken.push(format!("request {id} was dispatched {count} times"));
            }
        }
    }
    for outcome in outcomes {
        let count = match &outcome.key {
            Some(key) => world.service.executions(key),
            None => runs.get(&Digest::of(&[&outcome.body])).copied().unwrap_or(0),
        };
        check(outcome, count, &mut broken);
    }
    broken
}

fn check(outcome: &Outcome, count: u64, broken: &mut Vec<String>) {
    if count > 1 {
        broken.push(format!("a request was run {count} times"));
    }
    match &outcome.end {
        End::Whole { exact: false, .. } => broken.push("an answer was not exact".to_owned()),
        End::Whole { .. } if count == 0 => broken.push("an answer came from nowhere".to_owned()),
        End::Failed { ran, code } if ran == "no" && count > 0 => {
            broken.push(format!("{code} said not run, but it was"));
        }
        End::Broken(what) => broken.push(format!("a connection failed: {what}")),
        End::Whole { .. } | End::Failed { .. } => {}
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.load_style(UTF8_HORIZONTAL_ONLY);
        table.set_header([
            "tier",
            "sent",
            "good",
            "goodput",
            "first p50",
            "p95",
            "p99 (ms)",
            "between p50",
            "p95",
            "p99 (ms)",
        ]);
        for row in &self.tiers {
            table.add_row([
                row.tier.to_owned(),
                row.sent.to_string(),
                row.good.to_string(),
                format!("{:.3}", row.goodput),
                format!("{:.1}", row.first_ms.p50),
                format!("{:.1}", row.first_ms.p95),
                format!("{:.1}", row.first_ms.p99),
                format!("{:.1}", row.between_ms.p50),
                format!("{:.1}", row.between_ms.p95),
                format!("{:.1}", row.between_ms.p99),
            ]);
        }
        writeln!(f, "{table}")?;
        writeln!(f, "policy {}, seed {}, {} requests/s", self.policy, self.seed, self.rate)?;
        writeln!(f, "prefill {} tokens, wasted {}", self.prefill, self.wasted)?;
        writeln!(
            f,
            "requests by engine {:?}, appends to the log {}",
            self.executions, self.appends
        )?;
        writeln!(f, "refusals and failures {:?}", self.failures)?;
        match self.broken.as_slice() {
            [] => write!(f, "promises broken: none"),
            broken => write!(f, "promises broken: {}\n{}", broken.len(), broken.join("\n")),
        }
    }
}
