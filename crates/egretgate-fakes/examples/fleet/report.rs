//! Reports goodput and latencies by tier, wasted prefill, failures and violated guarantees.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use egretgate::core::Digest;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{CallEnd, Outcome, TIERS};
use crate::options::Options;
use crate::world::World;

/// Longest time to first token of a good answer.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(380);
/// Longest mean inter-token latency of a good answer.
const INTER_TOKEN_TARGET: Duration = Duration::from_millis(34);

/// Report on one run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Seed of the load.
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// Policy by which upstreams were chosen.
    pub policy: &'static str,
    /// One row for each tier, most urgent first.
    pub tiers: Vec<TierRow>,
    /// Number of refusals and failures by error code.
    pub failures: BTreeMap<String, u64>,
    /// Prompt tokens processed by the engines.
    pub prefill: u64,
    /// Prompt tokens processed for unfinished requests.
    pub wasted: u64,
    /// Requests executed by each engine.
    pub executions: Vec<u64>,
    /// Append requests that took effect at the log.
    pub appends: u64,
    /// Violations of the delivery guarantees.
    pub broken: Vec<String>,
}

/// Results of one tier.
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
    /// Computes the report on `outcomes`.
    pub fn new(world: &World, options: &Options, outcomes: &[Outcome]) -> Self {
        let tiers = (0..TIERS.len()).map(|tier| tier_row(tier, outcomes)).collect();
        let mut failures = BTreeMap::new();
        for outcome in outcomes {
            match &outcome.end {
                CallEnd::Failed { code, .. } => *failures.entry(code.clone()).or_default() += 1,
                CallEnd::Dropped(_) => *failures.entry("connection".to_owned()).or_default() += 1,
                CallEnd::Complete { .. } => {}
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
            prefill: counts.iter().map(|engine| engine.prefill).sum(),
            wasted: counts.iter().map(|engine| engine.wasted).sum(),
            executions: counts.iter().map(|engine| engine.executions).collect(),
            appends: world.appends(),
            broken: find_violations(world, outcomes),
        }
    }
}

fn tier_row(tier: usize, outcomes: &[Outcome]) -> TierRow {
    let mut first_tokens = Histogram::<u64>::new(3).expect("valid precision");
    let mut inter_tokens = Histogram::<u64>::new(3).expect("valid precision");
    let (mut sent, mut good) = (0, 0);
    for call in outcomes.iter().filter(|call| call.tier == tier) {
        sent += 1;
        let CallEnd::Complete { first_token, inter_token, stream, .. } = call.end else { continue };
        good += u64::from(
            !stream || first_token <= FIRST_TOKEN_TARGET && inter_token <= INTER_TOKEN_TARGET,
        );
        if stream {
            first_tokens.record(first_token.as_micros() as u64).expect("the histogram grows");
            inter_tokens.record(inter_token.as_micros() as u64).expect("the histogram grows");
        }
    }
    TierRow {
        tier: TIERS[tier],
        sent,
        good,
        goodput: good as f64 / (sent as f64).max(1.0),
        first_ms: quantiles(&first_tokens),
        between_ms: quantiles(&inter_tokens),
    }
}

fn quantiles(times: &Histogram<u64>) -> Quantiles {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    Quantiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}

/// Returns the violations of the delivery guarantees: requests dispatched or executed more than
/// once, and outcomes that contradict what the upstreams executed.
fn find_violations(world: &World, outcomes: &[Outcome]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut executions: BTreeMap<Digest, u64> = BTreeMap::new();
    for engine in &world.engines {
        for (digest, count) in engine.digests() {
            *executions.entry(digest).or_default() += count;
        }
        for (id, count) in engine.ids() {
            if count > 1 {
                violations.push(format!("request {id} was dispatched {count} times"));
            }
        }
    }
    for outcome in outcomes {
        let count = match &outcome.key {
            Some(key) => world.service.executions(key),
            None => executions.get(&Digest::of(&[&outcome.body])).copied().unwrap_or(0),
        };
        check_outcome(outcome, count, &mut violations);
    }
    violations
}

fn check_outcome(outcome: &Outcome, count: u64, found: &mut Vec<String>) {
    if count > 1 {
        found.push(format!("a request was executed {count} times"));
    }
    match &outcome.end {
        CallEnd::Complete { exact: false, .. } => found.push("an answer was not exact".to_owned()),
        CallEnd::Complete { .. } if count == 0 => found.push("answer without execution".to_owned()),
        CallEnd::Failed { ran, code } if ran == "no" && count > 0 => {
            found.push(format!("a request that failed with {code} as not run was executed"));
        }
        CallEnd::Dropped(error) => found.push(format!("a connection failed: {error}")),
        CallEnd::Complete { .. } | CallEnd::Failed { .. } => {}
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
            violations => {
                write!(f, "promises broken: {}\n{}", violations.len(), violations.join("\n"))
            }
        }
    }
}
