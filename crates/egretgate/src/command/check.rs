//! `check FILE` and `check settings`: validate without connecting to any process.

use std::ffi::OsString;
use std::fs::File;
use std::io::Read as _;

use egretgate_core::check::{MAX_FILE_BYTES, parse};
use egretgate_core::declaration::Declarations;
use egretgate_settings::{Invocation, entry};
use eyre::WrapErr;

use super::args::{Parsed, Spec};
use super::failure::{Failure, Result};
use super::output::Output;

/// `check FILE`.
pub(super) static FILE: Spec = Spec {
    words: &["check"],
    operands: &["FILE"],
    about: "Validates a declaration file and names file, line and field of each fault.",
    flags: &[],
    remote: false,
};

/// `check settings`.
pub(super) static SETTINGS: Spec = Spec {
    words: &["check", "settings"],
    operands: &[],
    about: "Validates the settings of `serve` as given, and shows them without secrets.",
    flags: &[],
    remote: false,
};

/// Validates a declaration file.
pub(super) fn file(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let name = parsed.operand(0).unwrap_or_default();
    let declared = read(name)?;
    output.line(format_args!(
        "{name}: no fault in {} tiers, {} teams, {} services and {} routes",
        declared.tiers.len(),
        declared.teams.len(),
        declared.services.len(),
        declared.routes.len(),
    ))
}

/// Validates the settings of `serve`.
pub(super) fn settings(
    args: Vec<OsString>,
    vars: Vec<(OsString, OsString)>,
    output: &mut Output<'_>,
) -> Result<()> {
    match entry::read(args, vars)? {
        Invocation::Settings(settings) => output.text(&entry::TABLE.show(&settings)),
        Invocation::Help(text) => output.text(&text),
    }
}

/// Reads and validates a declaration file; the failure has one line per fault.
pub(super) fn read(name: &str) -> Result<Declarations> {
    let mut text = String::new();
    // One byte over the limit is enough to detect a file that is too large.
    let limit = MAX_FILE_BYTES as u64 + 1;
    let file = File::open(name).wrap_err_with(|| format!("{name}: can't be read"))?;
    file.take(limit)
        .read_to_string(&mut text)
        .wrap_err_with(|| format!("{name}: can't be read"))?;
    parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| fault.in_file(name)).collect();
        Failure::refused(lines.join("\n"))
    })
}
