//! The keeper's work: it appends log time, by which keys expire, and snapshots, before old records
//! expire.

use std::time::Instant;

use slog::warn;

use crate::entry::journal::{AppendQueue, Journal};

impl Journal {
    /// Appends the next tick or snapshot chunk, if this entry is the keeper and one is due.
    pub(super) fn run_keeper(&mut self) {
        if !self.reader.is_up() {
            return;
        }
        match self.keeper.next_append(&self.state, Instant::now()) {
            Ok(Some(append)) => self.send(AppendQueue::Keeper, append),
            Ok(None) => {}
            Err(error) => warn!(self.log, "no snapshot"; "error" => error.to_string()),
        }
    }
}
