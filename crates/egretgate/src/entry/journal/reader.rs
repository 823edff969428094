//! Tails the log, also through outages and lost answers to appends.

use std::time::{Duration, Instant};

use egretgate_core::Offset;
use egretgate_core::fold::{ConfigState, FoldEffect as Folded, State, StateSection};
use egretgate_core::snapshot::Recovery;
use egretgate_platform::Batch;
use slog::{info, warn};

use crate::entry::fleet::FleetMessage;
use crate::entry::journal::{Journal, JournalMessage};

/// Maximum number of records per read.
const READ_MAX_RECORDS: usize = 512;
/// Longest wait of one read for a new record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of failed reads in a row after which the log counts as unreachable.
const OUTAGE_FAILURES: u32 = 2;
/// Time after the start for which the entry waits for the log, or for higher states of side
/// processes, before it serves with the highest state adopted so far.
const SIDE_STATE_WAIT: Duration = Duration::from_secs(2);

/// Sections of the configuration that other tasks use.
const PUBLISHED_SECTIONS: [StateSection; 4] = [
    StateSection::Declarations,
    StateSection::Moves,
    StateSection::Quarantine,
    StateSection::Zones,
];

/// State of the reads of the log.
#[derive(Debug, Default)]
pub(super) struct LogReader {
    reads_issued: u64,
    /// Value of `reads_issued` when the answer to an append was last lost; a later read shows
    /// whether the append took effect.
    lost_answer: Option<u64>,
    failures: u32,
    up: bool,
    /// Search for a snapshot, while the state can't be folded from the records that the log still
    /// holds.
    scan: Option<Scan>,
}

#[derive(Debug)]
struct Scan {
    recovery: Recovery,
    next_offset: Offset,
}

impl LogReader {
    pub(super) const fn is_up(&self) -> bool {
        self.up
    }

    /// Sets whether the log is reachable. Returns true if that is a change.
    pub(super) fn set_up(&mut self, up: bool) -> bool {
        let changed = self.up != up;
        self.up = up;
        changed
    }

    pub(super) fn record_lost_answer(&mut self) {
        self.lost_answer = Some(self.reads_issued);
    }
}

impl Journal {
    /// Starts the next read after `delay`.
    pub(super) fn schedule_read(&mut self, delay: Duration) {
        self.reader.reads_issued += 1;
        let issued = self.reader.reads_issued;
        let from =
            self.reader.scan.as_ref().map_or(self.state.next_offset(), |scan| scan.next_offset);
        let client = self.client.clone();
        let self_sender = self.self_sender.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let result = client.read(from, READ_MAX_RECORDS, READ_WAIT).await;
            let _ = self_sender.send(JournalMessage::Read { issued, result }).await;
        });
    }

    pub(super) async fn handle_read(
        &mut self,
        issued: u64,
        result: egretgate_platform::Result<Batch>,
    ) {
        match result {
            Ok(batch) => {
                self.reader.failures = 0;
                let delay = self.handle_batch(issued, &batch).await;
                self.schedule_read(delay);
            }
            Err(error) => {
                self.reader.failures += 1;
                if self.reader.failures >= OUTAGE_FAILURES {
                    self.set_log_up(false);
                    self.request_side_states().await;
                }
                warn!(self.log, "log read failed"; "error" => error.to_string());
                self.schedule_read(READ_RETRY_DELAY);
            }
        }
    }

    /// Handles the records of one read. Returns the delay before the next one.
    async fn handle_batch(&mut self, issued: u64, batch: &Batch) -> Duration {
        self.keeper.set_oldest(batch.oldest_offset);
        if batch.oldest_offset > self.state.next_offset() && self.reader.scan.is_none() {
            let recovery = Recovery::new(batch.oldest_offset);
            self.reader.scan = Some(Scan { recovery, next_offset: batch.oldest_offset });
            return Duration::ZERO;
        }
        if self.reader.scan.is_some() {
            return self.scan(batch).await;
        }
        self.apply_batch(batch).await;
        if self.state.next_offset() >= batch.end_offset {
            self.handle_head(issued);
        }
        Duration::ZERO
    }

    async fn apply_batch(&mut self, batch: &Batch) {
        let before = self.state.config().next_offset();
        let mut sections = Vec::new();
        for record in &batch.records {
            let prev = *self.state.config().digest();
            let applied = self.state.apply(record.offset, &record.data);
            self.keeper.add_record_bytes(record.data.len());
            if self.state.config().digest() != &prev {
                self.recent_records.push(record.offset, prev, record.data.clone());
            }
            if let Folded::Skipped(fault) = &applied.effect {
                warn!(self.log, "record skipped";
                    "offset" => record.offset, "fault" => format!("{fault:?}"));
            }
            if let Folded::Accepted(section) = &applied.effect {
                sections.push(*section);
            }
            self.handle_applied(&applied);
        }
        if !sections.is_empty() {
            self.publish(&sections).await;
        }
        if self.state.config().next_offset() != before {
            self.broadcast_offset().await;
        }
    }

    /// Called when the state has reached the head of the log: the entry may serve, and failed
    /// appends that did not take effect are sent again.
    fn handle_head(&mut self, issued: u64) {
        self.set_log_up(true);
        self.set_ready();
        if self.reader.lost_answer.is_some_and(|reads| issued > reads) {
            self.reader.lost_answer = None;
            self.calls.retry_append();
            if let Some(append) = self.keeper.retry_append() {
                self.send(super::AppendQueue::Keeper, append);
            }
            if let Some(append) = self.config_outbox.retry_append() {
                self.send(super::AppendQueue::Config, append);
            }
        }
    }

    fn set_ready(&self) {
        if !self.view.borrow().ready {
            info!(self.log, "shared state read"; "offset" => self.state.next_offset());
            self.view.send_modify(|view| std::sync::Arc::make_mut(view).ready = true);
        }
    }

    /// Searches a log that lost its oldest records for the newest whole snapshot. Returns the delay
    /// before the next read: without a snapshot, the keeper must write one first.
    async fn scan(&mut self, batch: &Batch) -> Duration {
        let Some(scan) = self.reader.scan.as_mut() else { return Duration::ZERO };
        for record in &batch.records {
            scan.recovery.scan(&record.data);
            scan.next_offset = record.offset + 1;
        }
        if scan.next_offset < batch.end_offset {
            return Duration::ZERO;
        }
        let Some(scan) = self.reader.scan.take() else { return Duration::ZERO };
        match scan.recovery.finish() {
            Ok(state) => {
                self.resume(state).await;
                Duration::ZERO
            }
            Err(error) => {
                warn!(self.log, "recovery from the log failed"; "error" => error.to_string());
                READ_RETRY_DELAY
            }
        }
    }

    /// Continues from a snapshot, unless the state is already ahead of it.
    async fn resume(&mut self, snapshot: State) {
        if !self.state.resume_from(snapshot) {
            return;
        }
        info!(self.log, "snapshot applied"; "offset" => self.state.next_offset());
        self.calls.resync(self.state.keys());
        self.recent_records.clear();
        self.publish(&PUBLISHED_SECTIONS).await;
        self.broadcast_offset().await;
    }

    /// During an outage at start-up, requests the configuration state of every side process.
    async fn request_side_states(&self) {
        if !self.view.borrow().ready {
            let _ = self.fleet.send(FleetMessage::RequestSnapshots).await;
        }
    }

    /// Adopts the state of a side process while the log can't be read at start-up.
    pub(super) async fn adopt_side_state(&mut self, bytes: &[u8]) {
        if self.reader.is_up() || self.view.borrow().ready {
            return;
        }
        let Ok(config) = ConfigState::decode(bytes) else { return };
        if self.state.adopt_config(config) {
            self.publish(&PUBLISHED_SECTIONS).await;
            self.broadcast_offset().await;
        }
        if Instant::now().duration_since(self.started) >= SIDE_STATE_WAIT {
            self.set_ready();
        }
    }
}
