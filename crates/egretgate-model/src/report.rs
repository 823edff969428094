//! Results as tables, CSV and JSON.

use std::io::Write;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use eyre::Result;
use serde::Serialize;

use crate::experiment::{Difference, Estimate, PolicyRuns};
use crate::site::Site;
use crate::tally::{KindResult, Results};

/// Format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Tables for people: means over the seeds with their confidence intervals.
    Table,
    /// A line for each policy, seed and kind of request.
    Csv,
    /// One document with everything.
    Json,
}

/// Writes a report of the runs, in which the other policies are compared with the first.
pub fn write(site: &Site, runs: &[PolicyRuns], format: Format, out: &mut impl Write) -> Result<()> {
    match format {
        Format::Table => write_tables(runs, out),
        Format::Csv => write_csv(runs, out),
        Format::Json => write_json(site, runs, out),
    }
}

fn write_tables(runs: &[PolicyRuns], out: &mut impl Write) -> Result<()> {
    let mut summary = Table::new();
    summary.load_style(ASCII_MARKDOWN).force_no_tty();
    summary.set_header([
        "policy",
        "value",
        "served",
        "slots used",
        "queued",
        "value against the first",
    ]);
    for run in runs {
        let against = match runs.first() {
            Some(base) if base.policy != run.policy => {
                let difference = Difference::between(run, base).value;
                let mark = if difference.is_significant() { "" } else { " (not significant)" };
                format!("{}{mark}", format_estimate(difference))
            }
            _ => String::new(),
        };
        summary.add_row([
            run.policy.as_str().to_owned(),
            format_estimate(estimate(run, |results| results.value)),
            format_estimate(estimate(run, |results| results.served)),
            format_estimate(estimate(run, |results| results.used)),
            format_estimate(estimate(run, |results| results.queued)),
            against,
        ]);
    }
    writeln!(out, "{summary}\n")?;
    let mut kinds = Table::new();
    kinds.load_style(ASCII_MARKDOWN).force_no_tty();
    kinds.set_header([
        "policy",
        "kind",
        "tier",
        "asked",
        "in time",
        "late",
        "paused",
        "refused",
        "failed",
        "value",
        "median ms",
        "p99 ms",
    ]);
    for run in runs {
        let count = run.results.first().map_or(0, |results| results.kinds.len());
        for index in 0..count {
            kinds.add_row(kind_row(run, index));
        }
    }
    writeln!(out, "{kinds}")?;
    Ok(())
}

fn kind_row(run: &PolicyRuns, index: usize) -> Vec<String> {
    let first = &run.results[0].kinds[index];
    let mean = |metric: fn(&KindResult) -> f64| {
        estimate(run, |results| metric(&results.kinds[index])).mean
    };
    vec![
        run.policy.as_str().to_owned(),
        first.kind.clone(),
        first.tier.to_string(),
        format!("{:.0}", mean(|kind| kind.asked as f64)),
        format!("{:.0}", mean(|kind| kind.in_time as f64)),
        format!("{:.0}", mean(|kind| kind.late as f64)),
        format!("{:.0}", mean(|kind| kind.paused as f64)),
        format!("{:.0}", mean(|kind| kind.refused as f64)),
        format!("{:.0}", mean(|kind| kind.failed as f64)),
        format!("{:.3}", mean(|kind| kind.value)),
        format!("{:.0}", mean(|kind| kind.median_ms)),
        format!("{:.0}", mean(|kind| kind.p99_ms)),
    ]
}

#[derive(Debug, Serialize)]
struct CsvRow<'a> {
    policy: &'a str,
    seed: u64,
    kind: &'a str,
    tier: u8,
    asked: u64,
    in_time: u64,
    late: u64,
    paused: u64,
    refused: u64,
    failed: u64,
    value: f64,
    median_ms: f64,
    p99_ms: f64,
}

fn write_csv(runs: &[PolicyRuns], out: &mut impl Write) -> Result<()> {
    let mut csv = csv::Writer::from_writer(out);
    for run in runs {
        for results in &run.results {
            for kind in &results.kinds {
                csv.serialize(CsvRow {
                    policy: run.policy.as_str(),
                    seed: results.seed,
                    kind: &kind.kind,
                    tier: kind.tier,
                    asked: kind.asked,
                    in_time: kind.in_time,
                    late: kind.late,
                    paused: kind.paused,
                    refused: kind.refused,
                    failed: kind.failed,
                    value: kind.value,
                    median_ms: kind.median_ms,
                    p99_ms: kind.p99_ms,
                })?;
            }
        }
    }
    csv.flush()?;
    Ok(())
}

#[derive(Debug, Serialize)]
struct Document<'a> {
    site: &'a str,
    policies: Vec<PolicyDocument<'a>>,
}

#[derive(Debug, Serialize)]
struct PolicyDocument<'a> {
    policy: &'a str,
    value: Estimate,
    served: Estimate,
    /// Difference from the first policy.
    difference: Option<Difference>,
    runs: &'a [Results],
}

fn write_json(site: &Site, runs: &[PolicyRuns], out: &mut impl Write) -> Result<()> {
    let policies = runs.iter().enumerate().map(|(index, run)| PolicyDocument {
        policy: run.policy.as_str(),
        value: estimate(run, |results| results.value),
        served: estimate(run, |results| results.served),
        difference: (index > 0).then(|| Difference::between(run, &runs[0])),
        runs: &run.results,
    });
    let document = Document { site: &site.name, policies: policies.collect() };
    serde_json::to_writer_pretty(&mut *out, &document)?;
    writeln!(out)?;
    Ok(())
}

fn estimate(run: &PolicyRuns, metric: impl Fn(&Results) -> f64) -> Estimate {
    let samples: Vec<f64> = run.results.iter().map(metric).collect();
    Estimate::of(&samples)
}

fn format_estimate(estimate: Estimate) -> String {
    if estimate.margin.is_finite() {
        format!("{:.3} ± {:.3}", estimate.mean, estimate.margin)
    } else {
        format!("{:.3}", estimate.mean)
    }
}
