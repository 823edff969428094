//! `status`: prints the log position of each process, and the drained zones.

use std::time::{SystemTime, UNIX_EPOCH};

use egretgate_operator::proto;
use serde::Serialize;

use super::args::{Flag, Parsed, Spec};
use super::connect;
use super::failure::{Failure, Result};
use super::output::{Output, hex};

/// `status`.
pub(super) static SPEC: Spec = Spec {
    words: &["status"],
    operands: &[],
    about: "Prints how far each process has applied the log, whether its digest agrees, and the \
            drained zones.",
    flags: &[Flag { name: "json", unit: "", help: "Prints one JSON object." }],
    remote: true,
};

/// State of a process whose digest differs from the entry's at the same offset: the two have
/// applied different records.
const DIFFERS: &str = "differs";

const MS_PER_S: u64 = 1_000;

/// Log position of all processes as JSON.
#[derive(Serialize)]
struct JsonStatus {
    offset: u64,
    digest: String,
    log_reachable: bool,
    processes: Vec<JsonProcess>,
    drained_zones: Vec<JsonZone>,
}

/// Drained zone as JSON.
#[derive(Serialize)]
struct JsonZone {
    zone: String,
    revision: u64,
    operator: String,
    reason: String,
    since_ms: u64,
    upstreams: u32,
    requests: u32,
}

/// Log position of one process as JSON.
#[derive(Serialize)]
struct JsonProcess {
    role: String,
    instance: String,
    zone: String,
    offset: u64,
    digest: String,
    age_ms: u64,
    state: &'static str,
}

/// Prints the log position of each process; fails after printing if a digest differs.
pub(super) async fn run(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let mut client = connect::first(&parsed.settings, output).await?;
    let reply = client.status().await?;
    let report = JsonStatus {
        offset: reply.offset,
        digest: hex(&reply.digest),
        log_reachable: reply.log_reachable,
        processes: reply.processes.iter().map(|process| json_process(process, &reply)).collect(),
        drained_zones: reply.zones.iter().map(json_zone).collect(),
    };
    if parsed.has("json") {
        output.json(&report)?;
    } else {
        print(&report, output)?;
    }
    let differing = report.processes.iter().filter(|process| process.state == DIFFERS);
    let names: Vec<&str> = differing.map(|process| process.instance.as_str()).collect();
    if names.is_empty() {
        return Ok(());
    }
    Err(Failure::refused(format!("other state at the same offset: {}", names.join(", "))))
}

fn print(report: &JsonStatus, output: &mut Output<'_>) -> Result<()> {
    let log = if report.log_reachable { "reachable" } else { "not reachable" };
    output.line(format_args!("offset {}, digest {}, log {log}", report.offset, report.digest))?;
    let row = |process: &JsonProcess| {
        vec![
            process.role.clone(),
            process.instance.clone(),
            process.zone.clone(),
            process.offset.to_string(),
            format!("{} ms", process.age_ms),
            process.state.to_owned(),
        ]
    };
    let rows = report.processes.iter().map(row).collect();
    output.table(&["role", "instance", "zone", "offset", "heard", "state"], rows)?;
    if report.drained_zones.is_empty() {
        return Ok(());
    }
    let row = |zone: &JsonZone| {
        vec![
            zone.zone.clone(),
            zone.revision.to_string(),
            format!("{} s", zone.since_ms / MS_PER_S),
            zone.upstreams.to_string(),
            zone.requests.to_string(),
            zone.operator.clone(),
            zone.reason.clone(),
        ]
    };
    let rows = report.drained_zones.iter().map(row).collect();
    let header = ["drained zone", "revision", "for", "upstreams", "requests", "operator", "reason"];
    output.table(&header, rows)
}

fn json_zone(zone: &proto::DrainedZone) -> JsonZone {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    JsonZone {
        zone: zone.zone.clone(),
        revision: zone.revision,
        operator: zone.operator.clone(),
        reason: zone.reason.clone(),
        since_ms: now.saturating_sub(zone.at_ms),
        upstreams: zone.upstreams,
        requests: zone.requests,
    }
}

fn json_process(process: &proto::Process, reply: &proto::StatusReply) -> JsonProcess {
    let state = match process.offset.cmp(&reply.offset) {
        std::cmp::Ordering::Less => "behind",
        std::cmp::Ordering::Greater => "ahead",
        std::cmp::Ordering::Equal if process.digest == reply.digest => "in force",
        std::cmp::Ordering::Equal => DIFFERS,
    };
    JsonProcess {
        role: process.role.clone(),
        instance: process.instance.clone(),
        zone: process.zone.clone(),
        offset: process.offset,
        digest: hex(&process.digest),
        age_ms: process.age_ms,
        state,
    }
}
