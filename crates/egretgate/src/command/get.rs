//! `get`: prints the declared items in force.

use egretgate_core::diff::Section;
use egretgate_operator::proto;
use eyre::eyre;
use serde::Serialize;

use super::args::{Flag, Parsed, Spec};
use super::connect;
use super::failure::{Failure, Result};
use super::output::Output;

/// `get [KIND [NAME]]`.
pub(super) static SPEC: Spec = Spec {
    words: &["get"],
    operands: &["[KIND]", "[NAME]"],
    about: "Prints declared items with their revisions; KIND is tiers, teams, services or routes.",
    flags: &[Flag { name: "json", unit: "", help: "Prints one JSON object for each item." }],
    remote: true,
};

/// One item as JSON.
#[derive(Serialize)]
struct JsonItem<'a> {
    section: &'a str,
    name: &'a str,
    revision: u64,
    item: &'a egretgate_core::diff::Item,
}

/// Prints declared items.
pub(super) async fn run(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let kind = match parsed.operand(0) {
        None => proto::Kind::Unspecified,
        Some(name) => Section::from_name(name).map(proto::Kind::from).ok_or_else(|| {
            Failure::usage(format!("no kind `{name}`; expected tiers, teams, services or routes"))
        })?,
    };
    let name = parsed.operand(1).unwrap_or_default().to_owned();
    let mut client = connect::first(&parsed.settings, output).await?;
    let reply = client.get(proto::GetRequest { kind: kind.into(), name }).await?;
    if reply.items.is_empty() && parsed.operand(1).is_some() {
        return Err(Failure::refused("no such item is declared"));
    }
    for message in &reply.items {
        let item = message.to_item().map_err(|error| eyre!(error))?;
        let section = item.section().as_str();
        if parsed.has("json") {
            let (name, revision) = (message.name.as_str(), message.revision);
            output.json(&JsonItem { section, name, revision, item: &item })?;
        } else {
            let (name, revision, text) = (&message.name, message.revision, item.to_toml());
            output.text(&format!("# revision {revision}\n[{section}.{name}]\n{text}\n"))?;
        }
    }
    if !parsed.has("json") {
        output.line(format_args!(
            "# offset {}, digest {}",
            reply.offset,
            super::output::hex(&reply.digest)
        ))?;
    }
    Ok(())
}
