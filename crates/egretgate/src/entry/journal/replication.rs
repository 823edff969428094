//! Replicates configuration records to side processes, and handles their death reports.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use egretgate_core::poison::Death;
use egretgate_core::record::{Body, body};
use egretgate_core::{Digest, Incarnation, Offset};
use egretgate_link::message::{DeathReport, LogRecord, Records};
use tokio::sync::oneshot;

use crate::entry::fleet::{FleetMessage, LinkKey};
use crate::entry::journal::Journal;

/// Maximum number of records kept for side processes that are behind.
const MAX_RECENT_RECORDS: usize = 4096;
/// Maximum size of the records in one frame, in bytes.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// The newest configuration records, in log order and without gaps.
#[derive(Debug, Default)]
pub(crate) struct RecentRecords {
    records: VecDeque<LogRecord>,
}

impl RecentRecords {
    /// Adds the record after the one whose chain digest is `prev`.
    pub(super) fn push(&mut self, offset: Offset, prev: blake3::Hash, data: Bytes) {
        if self.records.len() >= MAX_RECENT_RECORDS {
            self.records.pop_front();
        }
        let prev = Bytes::copy_from_slice(prev.as_bytes());
        self.records.push_back(LogRecord { offset, data, prev });
    }

    pub(super) fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns the records from `from` on that are still kept.
    pub(crate) fn iter_from(&self, from: Offset) -> impl Iterator<Item = &LogRecord> {
        self.records.iter().filter(move |record| record.offset >= from)
    }

    /// Returns the records from `from` on, up to [`MAX_BATCH_BYTES`]; `None` if some of them are no
    /// longer kept.
    fn since(&self, from: Offset) -> Option<Vec<LogRecord>> {
        if self.records.front().is_none_or(|oldest| from < oldest.offset) {
            return None;
        }
        let mut bytes = 0;
        let missing = self.records.iter().filter(|record| record.offset >= from);
        let within = missing.take_while(|record| {
            bytes += record.data.len();
            bytes <= MAX_BATCH_BYTES
        });
        Some(within.cloned().collect())
    }
}

impl Journal {
    /// Sends a side process the configuration records from `from` on, or the whole state.
    pub(super) async fn send_records(&self, key: LinkKey, from: Offset) {
        let config = self.state.config();
        if from >= config.next_offset() {
            return;
        }
        let records = match self.recent_records.since(from) {
            Some(records) => Records { records, snapshot: Bytes::new() },
            None => Records { records: Vec::new(), snapshot: config.encode().into() },
        };
        let _ = self.fleet.send(FleetMessage::Records { key, records }).await;
    }

    /// Adds a death to this entry's quarantine at once, and appends it to the log if the report
    /// asks this entry to.
    pub(super) fn add_death(&mut self, incarnation: Incarnation, report: &DeathReport) {
        let digests: Vec<Digest> =
            report.digests.iter().filter_map(|bytes| Digest::from_slice(bytes)).collect();
        let death = Death::new(&report.upstream, incarnation, report.sequence);
        let config = self.state.config();
        let is_logged = config.quarantine().contains_death(death);
        if self.quarantine.add_death(death, digests, config.next_offset()) {
            let reported = Arc::new(self.quarantine.clone());
            self.view.send_modify(|view| Arc::make_mut(view).quarantine = reported);
        }
        if is_logged || !report.append {
            return;
        }
        let body = Body::Death(body::Death {
            upstream: report.upstream.clone(),
            incarnation,
            sequence: report.sequence,
            digests: report.digests.clone(),
        });
        let (reply, _) = oneshot::channel();
        self.append(body, reply);
    }

    /// Appends the clearance of a suspect. A death that is not in the log yet is appended after it
    /// and still counts.
    pub(super) fn append_clear(&mut self, digest: Digest) {
        if !self.state.config().quarantine().is_suspect(&digest) {
            return;
        }
        let digests = vec![Bytes::copy_from_slice(digest.as_bytes())];
        let (reply, _) = oneshot::channel();
        self.append(Body::Clear(body::Clear { digests }), reply);
    }
}
