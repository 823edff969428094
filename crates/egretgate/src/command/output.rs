//! Output of commands.

use std::fmt;
use std::io::Write;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use eyre::WrapErr;
use serde::Serialize;

use super::failure::{Failure, Result};

/// Writers of a command: one for results, one for errors and progress messages.
pub(super) struct Output<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
}

impl<'a> Output<'a> {
    /// Returns an output with a writer for results and one for errors.
    pub(super) fn new(out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self { out, err }
    }

    /// Writes a text unchanged.
    pub(super) fn text(&mut self, text: &str) -> Result<()> {
        self.out.write_all(text.as_bytes()).wrap_err("results can't be written")?;
        Ok(self.out.flush().wrap_err("results can't be written")?)
    }

    /// Writes one line.
    pub(super) fn line(&mut self, line: impl fmt::Display) -> Result<()> {
        self.text(&format!("{line}\n"))
    }

    /// Writes one value as a line of JSON.
    pub(super) fn json(&mut self, value: &impl Serialize) -> Result<()> {
        let text = serde_json::to_string(value).wrap_err("results can't be encoded")?;
        self.line(text)
    }

    /// Writes a table with aligned columns.
    pub(super) fn table(&mut self, header: &[&str], rows: Vec<Vec<String>>) -> Result<()> {
        let mut table = Table::new();
        table.load_style(NOTHING).force_no_tty().set_header(header.to_vec()).add_rows(rows);
        self.line(table.trim_fmt())
    }

    /// Writes a progress message. A write error is ignored, so that it does not stop the command.
    pub(super) fn progress(&mut self, line: impl fmt::Display) {
        let _ = writeln!(self.err, "{line}");
    }

    /// Writes why a command failed, one cause per line.
    pub(super) fn failure(&mut self, failure: &Failure) {
        for cause in failure.report.chain() {
            let _ = writeln!(self.err, "{cause}");
        }
    }
}

/// Returns bytes as lower-case hexadecimal digits.
pub(super) fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}

/// Returns a share in millionths as a percentage.
pub(super) fn percent(ppm: u32) -> String {
    format!("{}%", f64::from(ppm) / 10_000.0)
}
