//! The log of records in the directory that can't be used.

use std::collections::HashSet;

use slog::{Logger, warn};

/// Longest text of a fault in the log, in characters; it may quote the record.
const MAX_CHARACTERS: usize = 300;
/// Most faults of one reading that are logged.
const MAX_LINES: usize = 20;

/// The faults that were found at the last reading, so that each is logged once while it stands.
#[derive(Debug, Default)]
pub(crate) struct SkippedRecords(HashSet<String>);

impl SkippedRecords {
    /// Logs the faults of a reading that weren't found at the one before.
    pub(crate) fn record(&mut self, faults: Vec<String>, log: &Logger) {
        let new = faults.iter().filter(|fault| !self.0.contains(*fault));
        for fault in new.clone().take(MAX_LINES) {
            let text: String = fault.chars().take(MAX_CHARACTERS).collect();
            warn!(log, "record skipped"; "fault" => text);
        }
        let more = new.count().saturating_sub(MAX_LINES);
        if more > 0 {
            warn!(log, "more records skipped"; "count" => more);
        }
        self.0 = faults.into_iter().collect();
    }
}
