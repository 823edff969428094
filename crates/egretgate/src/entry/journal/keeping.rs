//! The keeper's work: log time, by which keys expire, and snapshots before records expire.

use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::Offset;
use egretgate_core::record::body::Tick;
use egretgate_core::record::{Body, Record};
use egretgate_core::snapshot;
use slog::{info, warn};

use crate::entry::journal::{Journal, JournalMessage};

/// Pause between two ticks of log time.
const TICK_PAUSE: Duration = Duration::from_secs(10);
/// Fewest records between two snapshots.
const SNAPSHOT_RECORDS: Offset = 256;
/// Bytes of records between two snapshots for each byte of the last, so that snapshots add at
/// most a quarter to the log.
const SNAPSHOT_FACTOR: u64 = 4;
/// Time after which a snapshot is due if there was any record since the last.
const SNAPSHOT_PAUSE: Duration = Duration::from_mins(10);

/// When the keeper last did what.
#[derive(Debug)]
pub(super) struct Keeping {
    /// When log time was last read to advance, or this entry became the keeper.
    ticked: Instant,
    /// Offset of the last accepted tick read.
    last_tick: Option<Offset>,
    /// Sequence of the keeper's last record.
    sequence: u64,
    snapshot_at: Offset,
    snapshot_time: Instant,
    snapshots: u64,
    /// Size of the last snapshot, in bytes.
    snapshot_bytes: u64,
    /// Bytes of records read since the last snapshot.
    read_bytes: u64,
    /// True while an append of the keeper is under way.
    busy: bool,
}

impl Keeping {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            ticked: now,
            last_tick: None,
            sequence: 0,
            snapshot_at: 0,
            snapshot_time: now,
            snapshots: 0,
            snapshot_bytes: 0,
            read_bytes: 0,
            busy: false,
        }
    }

    /// Notes a record that was read.
    pub(super) fn note_read(&mut self, bytes: usize) {
        self.read_bytes += bytes as u64;
    }
}

impl Journal {
    /// Does what is due, if this entry is the keeper.
    pub(super) fn keep(&mut self) {
        let now = Instant::now();
        let tick = self.state.keys().last_tick();
        if tick != self.keeping.last_tick {
            self.keeping.last_tick = tick;
            self.keeping.ticked = now;
        }
        let Some(fence) = self.leases.keeper(now) else {
            self.keeping.ticked = now;
            return;
        };
        if self.keeping.busy || !self.reading.is_up() {
            return;
        }
        if self.snapshot_due(now) {
            self.append_snapshot(now);
        } else if now.duration_since(self.keeping.ticked) >= TICK_PAUSE {
            let elapsed_ms = now.duration_since(self.keeping.ticked).as_millis() as u64;
            let tick = Tick { fence, expects: self.keeping.last_tick, elapsed_ms };
            self.append_kept(vec![Body::Tick(tick)]);
        }
    }

    fn snapshot_due(&self, now: Instant) -> bool {
        let records = self.state.next().saturating_sub(self.keeping.snapshot_at);
        let old = now.duration_since(self.keeping.snapshot_time) >= SNAPSHOT_PAUSE;
        let grown = self.keeping.read_bytes >= SNAPSHOT_FACTOR * self.keeping.snapshot_bytes;
        records >= SNAPSHOT_RECORDS && grown || old && records > 0
    }

    fn append_snapshot(&mut self, now: Instant) {
        self.keeping.snapshots += 1;
        self.keeping.snapshot_at = self.state.next();
        self.keeping.snapshot_time = now;
        self.keeping.read_bytes = 0;
        match snapshot::split(&self.state, self.keeping.snapshots) {
            Ok(chunks) => {
                info!(self.log, "snapshot"; "chunks" => chunks.len(), "offset" => self.state.next());
                self.keeping.snapshot_bytes = size_of(&chunks);
                self.append_kept(chunks);
            }
            Err(error) => warn!(self.log, "no snapshot"; "error" => error.to_string()),
        }
    }

    /// Appends records that are safe to double, one request for each.
    fn append_kept(&mut self, bodies: Vec<Body>) {
        self.keeping.busy = true;
        let mut records = Vec::with_capacity(bodies.len());
        for body in bodies {
            self.keeping.sequence += 1;
            match Record::new(self.writer, self.keeping.sequence, body).to_bytes() {
                Ok(record) => records.push(Bytes::from(record)),
                Err(error) => {
                    warn!(self.log, "keeper's record refused"; "error" => error.to_string());
                }
            }
        }
        let client = self.client.clone();
        let own = self.own.clone();
        tokio::spawn(async move {
            for record in records {
                if client.append(&[record]).await.is_err() {
                    break;
                }
            }
            let _ = own.send(JournalMessage::Kept).await;
        });
    }

    /// Notes that the keeper's append has returned.
    pub(super) fn kept(&mut self) {
        self.keeping.busy = false;
    }
}

fn size_of(chunks: &[Body]) -> u64 {
    let size = |body: &Body| match body {
        Body::Chunk(chunk) => chunk.data.len() as u64,
        _ => 0,
    };
    chunks.iter().map(size).sum()
}
