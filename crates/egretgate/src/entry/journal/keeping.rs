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
/// Records after which the state is appended again as a snapshot.
const SNAPSHOT_RECORDS: Offset = 10_000;
/// Time after which a snapshot is due if there was any record since the last.
const SNAPSHOT_PAUSE: Duration = Duration::from_mins(10);

/// When the keeper last did what.
#[derive(Debug)]
pub(super) struct Keeping {
    /// When log time was last read to advance, or this entry became the keeper.
    ticked: Instant,
    /// Offset of the last accepted tick read.
    last_tick: Option<Offset>,
    snapshot_at: Offset,
    snapshot_time: Instant,
    snapshots: u64,
    /// True while an append of the keeper is under way.
    busy: bool,
}

impl Keeping {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            ticked: now,
            last_tick: None,
            snapshot_at: 0,
            snapshot_time: now,
            snapshots: 0,
            busy: false,
        }
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
        records >= SNAPSHOT_RECORDS || old && records > 0
    }

    fn append_snapshot(&mut self, now: Instant) {
        self.keeping.snapshots += 1;
        self.keeping.snapshot_at = self.state.next();
        self.keeping.snapshot_time = now;
        match snapshot::split(&self.state, self.keeping.snapshots) {
            Ok(chunks) => {
                info!(self.log, "snapshot"; "chunks" => chunks.len(), "offset" => self.state.next());
                self.append_kept(chunks);
            }
            Err(error) => warn!(self.log, "no snapshot"; "error" => error.to_string()),
        }
    }

    /// Appends records that are safe to double, one request for each.
    fn append_kept(&mut self, bodies: Vec<Body>) {
        self.keeping.busy = true;
        let records: Vec<Bytes> = bodies
            .into_iter()
            .filter_map(|body| Record::new(self.writer, 0, body).to_bytes().ok())
            .map(Bytes::from)
            .collect();
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
