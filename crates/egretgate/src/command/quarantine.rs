//! `quarantine list` and `quarantine lift`.

use egretgate_core::Digest;
use egretgate_operator::proto;
use serde::Serialize;

use super::args::{Flag, Parsed, Spec};
use super::connect;
use super::failure::{Failure, Result};
use super::output::{Output, hex};

/// `quarantine list`.
pub(super) static LIST: Spec = Spec {
    words: &["quarantine", "list"],
    operands: &[],
    about: "Prints digests of requests that were in flight when upstreams died.",
    flags: &[Flag { name: "json", unit: "", help: "Prints one JSON object for each digest." }],
    remote: true,
};

/// `quarantine lift`.
pub(super) static LIFT: Spec = Spec {
    words: &["quarantine", "lift"],
    operands: &["DIGEST"],
    about: "Lets a quarantined request run again; its next death counts as the first.",
    flags: &[],
    remote: true,
};

/// One digest as JSON.
#[derive(Serialize)]
struct JsonSuspect {
    digest: String,
    deaths: u32,
    state: &'static str,
}

/// Lists quarantined requests.
pub(super) async fn list(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let mut client = connect::first(&parsed.settings, output).await?;
    let reply = client.quarantine(proto::QuarantineRequest::default()).await?;
    let lines = reply.suspects.iter().map(|suspect| JsonSuspect {
        digest: hex(&suspect.digest),
        deaths: suspect.deaths,
        state: if suspect.quarantined { "quarantined" } else { "suspect" },
    });
    if parsed.has("json") {
        return lines.into_iter().try_for_each(|line| output.json(&line));
    }
    let row = |line: JsonSuspect| vec![line.digest, line.deaths.to_string(), line.state.to_owned()];
    output.table(&["digest", "deaths", "state"], lines.map(row).collect())
}

/// Lifts a quarantine.
pub(super) async fn lift(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let text = parsed.operand(0).unwrap_or_default();
    let author = parsed.author()?;
    let digest = parse_digest(text).ok_or_else(|| {
        Failure::usage(format!("a digest has {} hexadecimal digits", 2 * Digest::LEN))
    })?;
    let lift = digest.as_bytes().to_vec();
    let mut client = connect::first(&parsed.settings, output).await?;
    let request = proto::QuarantineRequest { author: Some(author), lift };
    let reply = client.quarantine(request).await?;
    output.line(format_args!("accepted at offset {}", reply.offset))
}

/// Parses a digest from hexadecimal digits.
fn parse_digest(text: &str) -> Option<Digest> {
    if text.len() != 2 * Digest::LEN {
        return None;
    }
    u128::from_str_radix(text, 16).ok().map(|number| Digest(number.to_be_bytes()))
}
