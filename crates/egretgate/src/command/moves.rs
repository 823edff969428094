//! `move begin`, `move cancel` and `move show`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use egretgate_operator::proto;
use egretgate_operator::proto::move_request::Action;
use serde::Serialize;

use super::args::{Flag, Parsed, Spec};
use super::connect;
use super::failure::{Failure, Result};
use super::output::{Output, percent};

/// Millionths in one percent.
const PPM_PER_PERCENT: f64 = 10_000.0;
/// Default of `--cap`: maximum requests in flight on the new version during the first step.
const DEFAULT_CAP: u32 = 4;
/// Default of `--budget`: percentage of requests that may be worse than on the old version.
const DEFAULT_BUDGET_PERCENT: f64 = 1.0;

/// `move begin`.
pub(super) static BEGIN: Spec = Spec {
    words: &["move", "begin"],
    operands: &["ROUTE"],
    about: "Begins to move a route's traffic to another version.",
    flags: &[
        Flag { name: "from", unit: "VERSION", help: "Version that serves the route now." },
        Flag { name: "to", unit: "VERSION", help: "Version that will serve the route." },
        Flag {
            name: "within",
            unit: "SECONDS",
            help: "Time after which an unfinished move is taken back.",
        },
        Flag {
            name: "steps",
            unit: "PERCENT,...",
            help: "Rising traffic shares of the new version [default: chosen by the entry].",
        },
        Flag {
            name: "budget",
            unit: "PERCENT",
            help: "Tolerated share of requests worse than on the old version [default: 1].",
        },
        Flag {
            name: "cap",
            unit: "COUNT",
            help: "Maximum requests in flight on the new version in the first step [default: 4].",
        },
    ],
    remote: true,
};

/// `move cancel`.
pub(super) static CANCEL: Spec = Spec {
    words: &["move", "cancel"],
    operands: &["ROUTE"],
    about: "Cancels a route's move: the old version serves all traffic again.",
    flags: &[],
    remote: true,
};

/// `move show`.
pub(super) static SHOW: Spec = Spec {
    words: &["move", "show"],
    operands: &["[ROUTE]"],
    about: "Prints moves with their traffic share, verdict and evidence.",
    flags: &[Flag { name: "json", unit: "", help: "Prints one JSON object for each move." }],
    remote: true,
};

/// One move as JSON.
#[derive(Serialize)]
struct JsonMove<'a> {
    route: &'a str,
    from: &'a str,
    to: &'a str,
    verdict: &'a str,
    share_ppm: u32,
    step: u32,
    end_ms: u64,
    evidence: &'a str,
    operator: &'a str,
    reason: &'a str,
}

/// Begins a move.
pub(super) async fn begin(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let author = parsed.author()?;
    let within = parsed.required("within")?.parse::<u64>().ok().filter(|&seconds| seconds > 0);
    let within = within.ok_or_else(|| Failure::usage("--within: expected seconds, at least 1"))?;
    let begin = proto::MoveBegin {
        route: parsed.operand(0).unwrap_or_default().to_owned(),
        from: parsed.required("from")?.to_owned(),
        to: parsed.required("to")?.to_owned(),
        steps_ppm: parsed.value("steps").map(parse_steps).transpose()?.unwrap_or_default(),
        budget_ppm: percent_to_ppm(
            "budget",
            parsed.parse_or("budget", "a percentage", DEFAULT_BUDGET_PERCENT)?,
        )?,
        end_ms: end_ms(Duration::from_secs(within)),
        cap: parsed.parse_or("cap", "a whole number", DEFAULT_CAP)?,
    };
    send_action(parsed, author, Action::Begin(begin), output).await
}

/// Cancels a move: the old version serves all traffic again.
pub(super) async fn cancel(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let author = parsed.author()?;
    let route = parsed.operand(0).unwrap_or_default().to_owned();
    send_action(parsed, author, Action::Cancel(proto::MoveCancel { route }), output).await
}

/// Shows moves.
pub(super) async fn show(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let route = parsed.operand(0).unwrap_or_default().to_owned();
    let mut client = connect::first(&parsed.settings, output).await?;
    let reply = client.moves(None, Action::Show(proto::MoveShow { route })).await?;
    if parsed.has("json") {
        return reply.moves.iter().try_for_each(|state| output.json(&json_move(state)));
    }
    let row = |state: &proto::MoveState| {
        vec![
            state.route.clone(),
            state.from.clone(),
            state.to.clone(),
            state.verdict.clone(),
            percent(state.share_ppm),
            state.step.to_string(),
            state.evidence.clone(),
        ]
    };
    let header = ["route", "from", "to", "verdict", "share", "step", "evidence"];
    output.table(&header, reply.moves.iter().map(row).collect())
}

async fn send_action(
    parsed: &Parsed,
    author: proto::Author,
    action: Action,
    output: &mut Output<'_>,
) -> Result<()> {
    let mut client = connect::first(&parsed.settings, output).await?;
    let reply = client.moves(Some(author), action).await?;
    output.line(format_args!("accepted at offset {}", reply.offset))
}

fn json_move(state: &proto::MoveState) -> JsonMove<'_> {
    JsonMove {
        route: &state.route,
        from: &state.from,
        to: &state.to,
        verdict: &state.verdict,
        share_ppm: state.share_ppm,
        step: state.step,
        end_ms: state.end_ms,
        evidence: &state.evidence,
        operator: &state.operator,
        reason: &state.reason,
    }
}

/// Parses strictly ascending shares in percent and returns them in millionths.
fn parse_steps(text: &str) -> Result<Vec<u32>> {
    let invalid = || Failure::usage("--steps: expected rising percentages such as 1,5,25,100");
    let shares = text.split(',').map(|part| {
        let share = part.trim().parse().map_err(|_| invalid())?;
        percent_to_ppm("steps", share)
    });
    let shares = shares.collect::<Result<Vec<u32>>>()?;
    if shares.is_sorted_by(|a, b| a < b) { Ok(shares) } else { Err(invalid()) }
}

fn percent_to_ppm(flag: &str, percent: f64) -> Result<u32> {
    if percent > 0.0 && percent <= 100.0 {
        return Ok((percent * PPM_PER_PERCENT).round() as u32);
    }
    Err(Failure::usage(format!("--{flag}: {percent} is not a percentage above 0 and up to 100")))
}

/// Returns the time `within` from now, in milliseconds since the Unix epoch.
fn end_ms(within: Duration) -> u64 {
    let end = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + within;
    u64::try_from(end.as_millis()).unwrap_or(u64::MAX)
}
