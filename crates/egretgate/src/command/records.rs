//! `records`: prints or exports log records with their digest chain, and verifies an export.

use std::fs;
use std::pin::pin;

use blake3::Hash;
use egretgate_core::record::chain::{self, ExportedRecord};
use egretgate_operator::proto;
use eyre::{WrapErr, eyre};
use futures::TryStreamExt;
use serde::Serialize;

use super::args::{Flag, Parsed, Spec};
use super::connect;
use super::failure::{Failure, Result};
use super::output::Output;

/// `records`.
pub(super) static SPEC: Spec = Spec {
    words: &["records"],
    operands: &[],
    about: "Prints records with operator, reason and outcome, or verifies an export.",
    flags: &[
        Flag { name: "from", unit: "OFFSET", help: "Offset of the first record [default: 0]." },
        Flag { name: "limit", unit: "COUNT", help: "Maximum number of records [default: all]." },
        Flag {
            name: "json",
            unit: "",
            help: "Prints one JSON object for each record: the format that --verify reads.",
        },
        Flag {
            name: "verify",
            unit: "FILE",
            help: "Verifies the digest chain of an export without connecting to an entry.",
        },
        Flag {
            name: "digest",
            unit: "HEX",
            help: "With --verify, the digest that the export must end at.",
        },
    ],
    remote: true,
};

/// One record as JSON: its link of the digest chain, and the result of applying it.
#[derive(Serialize)]
struct JsonRecord<'a> {
    #[serde(flatten)]
    link: &'a ExportedRecord,
    outcome: &'a str,
    detail: &'a str,
}

/// Prints or verifies records.
pub(super) async fn run(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    match parsed.value("verify") {
        Some(name) => verify(name, parsed.value("digest"), output),
        None => print(parsed, output).await,
    }
}

async fn print(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let from = parsed.parse_or("from", "an offset", 0)?;
    let limit = parsed.parse_or("limit", "a whole number", 0)?;
    let json = parsed.has("json");
    let mut client = connect::first(&parsed.settings, output).await?;
    let mut records = pin!(client.records(from, limit).await?);
    let mut prev: Option<String> = None;
    while let Some(record) = records.try_next().await? {
        let link = check_link(&record)?;
        if prev.as_ref().is_some_and(|prev| *prev != link.prev) {
            let offset = link.offset;
            return Err(Failure::refused(format!(
                "offset {offset}: a record before it is missing"
            )));
        }
        if prev.is_none() && from == 0 && link.prev != chain::START_DIGEST.to_string() {
            // The entry and the log keep records only for a limited time.
            let offset = link.offset;
            output.progress(format_args!("records before offset {offset} are no longer held"));
        }
        if json {
            let (outcome, detail) = (record.outcome.as_str(), record.detail.as_str());
            output.json(&JsonRecord { link: &link, outcome, detail })?;
        } else {
            let proto::Record { offset, kind, operator, reason, outcome, detail, .. } = &record;
            output.line(format_args!(
                "{offset} {kind} operator={operator:?} reason={reason:?} outcome={outcome:?} \
                 detail={detail:?}"
            ))?;
        }
        prev = Some(link.digest);
    }
    Ok(())
}

/// Returns a record's link of the chain after checking its digest.
fn check_link(record: &proto::Record) -> Result<ExportedRecord> {
    let offset = record.offset;
    let prev = Hash::from_slice(&record.prev)
        .wrap_err_with(|| format!("offset {offset}: the digest is malformed"))?;
    let link = ExportedRecord::new(&prev, offset, &record.data);
    if link.digest != super::output::hex(&record.digest) {
        return Err(Failure::refused(format!(
            "offset {offset}: the record does not match its digest"
        )));
    }
    Ok(link)
}

fn verify(name: &str, end: Option<&str>, output: &mut Output<'_>) -> Result<()> {
    let text = fs::read_to_string(name).wrap_err_with(|| format!("{name}: can't be read"))?;
    let links = text.lines().enumerate().map(|(index, line)| {
        serde_json::from_str(line).wrap_err_with(|| format!("{name}:{}: not a record", index + 1))
    });
    let links: Vec<ExportedRecord> = links.collect::<eyre::Result<_>>()?;
    let Some(first) = links.first() else {
        return Err(Failure::refused(format!("{name}: holds no record")));
    };
    let start =
        Hash::from_hex(&first.prev).wrap_err_with(|| format!("{name}:1: malformed digest"))?;
    let end = end.map(Hash::from_hex).transpose();
    let end = end.map_err(|error| Failure::usage(format!("--digest: {error}")))?;
    let digest = chain::verify(start, &links, end)
        .map_err(|broken| eyre!("{name}: offset {}: {:?}", broken.offset, broken.fault))?;
    let start_text =
        if start == chain::START_DIGEST { "from the start" } else { "from a later record" };
    output
        .line(format_args!("{name}: {} records verify {start_text}, digest {digest}", links.len()))
}
