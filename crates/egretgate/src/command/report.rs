//! `report burn`: error budgets of tiers and teams.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use egretgate_core::burn::{Alert, BurnReport, ReportLine, Row, build_report, merge};
use egretgate_operator::{Client, ClientError, ClientResult, proto};
use egretgate_settings::Secret;
use eyre::eyre;

use super::args::{Flag, Parsed, Spec};
use super::failure::{Failure, Result};
use super::output::Output;

/// `report burn`.
pub(super) static SPEC: Spec = Spec {
    words: &["report", "burn"],
    operands: &[],
    about: "Prints error budgets and burn rates by tier and team, summed over the given entries.",
    flags: &[
        Flag { name: "json", unit: "", help: "Prints one JSON object." },
        Flag { name: "teams", unit: "", help: "Prints teams in addition to tiers." },
    ],
    remote: true,
};

/// Prints the burn report summed over all addresses; fails after printing if one was unreachable.
pub(super) async fn run(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let token = parsed.settings.token.as_ref().map(Secret::expose);
    let mut counted = BTreeSet::new();
    let mut rows: Vec<Row> = Vec::new();
    let mut unreached = Vec::new();
    for &address in &parsed.settings.addresses {
        match read_burn(address, token).await {
            Ok(reply) => {
                // An entry reached under two addresses is counted once.
                if counted.insert(reply.incarnation) {
                    let read = reply.rows.into_iter().map(Row::try_from);
                    rows.extend(
                        read.collect::<egretgate_core::Result<Vec<_>>>()
                            .map_err(|error| eyre!(error))?,
                    );
                }
            }
            Err(error @ ClientError::Refused(_)) => return Err(error.into()),
            Err(error) => unreached.push(error.to_string()),
        }
    }
    if counted.is_empty() {
        return Err(Failure::unreachable(unreached.join("\n")));
    }
    let report = build_report(&merge(rows));
    if parsed.has("json") {
        output.json(&report)?;
    } else {
        print(&report, parsed.has("teams"), output)?;
    }
    if unreached.is_empty() {
        return Ok(());
    }
    let message = format!("the report is partial; it lacks\n{}", unreached.join("\n"));
    Err(Failure::unreachable(message))
}

async fn read_burn(address: SocketAddr, token: Option<&str>) -> ClientResult<proto::BurnReply> {
    Client::connect(address, token).await?.burn().await
}

fn print(report: &BurnReport, teams: bool, output: &mut Output<'_>) -> Result<()> {
    let windows = report.windows_s.map(|seconds| format!("burn {}", window_text(seconds)));
    let mut header = vec!["tier", "team", "objective", "good", "bad", "budget left"];
    header.extend(windows.iter().map(String::as_str));
    header.push("alert");
    let lines = report.tiers.iter().chain(report.teams.iter().filter(|_| teams));
    output.table(&header, lines.map(table_row).collect())
}

fn table_row(line: &ReportLine) -> Vec<String> {
    let mut cells = vec![
        line.tier.clone(),
        line.team.clone().unwrap_or_else(|| "(all)".to_owned()),
        line.objective.to_string(),
        line.good.to_string(),
        line.bad.to_string(),
        format!("{:.1}%", line.left * 100.0),
    ];
    cells.extend(line.burn.iter().map(|burn| format!("{burn:.2}")));
    cells.push(line.alert.map_or("-", Alert::as_str).to_owned());
    cells
}

fn window_text(seconds: u64) -> String {
    if seconds.is_multiple_of(3600) {
        format!("{}h", seconds / 3600)
    } else {
        format!("{}m", seconds / 60)
    }
}
