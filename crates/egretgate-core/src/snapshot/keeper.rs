//! The keeper: one entry that advances log time and writes snapshots.

use std::time::{Duration, Instant};

use crate::error::Result;
use crate::fold::{Applied, FoldEffect, State};
use crate::ids::{Incarnation, Offset};
use crate::lease::{KEEPER_LEASE, LEASE_TTL, LeaseClient};
use crate::record::body::{SnapshotChunk, Tick};
use crate::record::outbox::{Append, Outbox};
use crate::record::{Body, Class};
use crate::snapshot::split_state;

/// Minimum number of records read before the growth of the log makes a snapshot due.
const MIN_GROWTH_RECORDS: u64 = 256;
/// A snapshot is due once the records read since the last one have this many times its size, so
/// that snapshots add at most a quarter to the log.
const GROWTH_FACTOR: u64 = 4;

/// Time between two ticks of log time.
pub const TICK_INTERVAL: Duration = Duration::from_secs(10);

/// Advances log time and writes snapshots while its entry holds the keeper's lease, and competes
/// for the lease otherwise.
///
/// Pass every applied record to [`Keeper::observe`]. The lease's records go through the entry's
/// queue of configuration records ([`Keeper::due_lease_record`], then [`Keeper::mark_sent`]);
/// ticks and chunks come from [`Keeper::next_append`], one append at a time.
#[derive(Debug)]
pub struct Keeper {
    lease: LeaseClient,
    outbox: Outbox,
    /// Time between two snapshots.
    snapshot_interval: Duration,
    /// Time at which this process read its own last claim or tick.
    tick_base: Option<Instant>,
    /// Time at which the last complete snapshot was read.
    snapshot_at: Option<Instant>,
    /// Last chunk read of the newest snapshot, if no chunk before it is missing.
    last_chunk: Option<ChunkId>,
    snapshot_id: u64,
    growth: LogGrowth,
    /// Offset of the first record that the last complete snapshot does not cover.
    covered_end: Offset,
    /// Offset of the oldest record that the log is known to have.
    oldest_offset: Offset,
}

/// Records read since the last complete snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LogGrowth {
    records: u64,
    bytes: u64,
    /// Size of the snapshot that is being read or was read last.
    snapshot_bytes: u64,
}

impl LogGrowth {
    const fn is_due(self) -> bool {
        self.records >= MIN_GROWTH_RECORDS && self.bytes >= GROWTH_FACTOR * self.snapshot_bytes
    }
}

/// Identifies a chunk of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ChunkId {
    writer: Incarnation,
    id: u64,
    index: u32,
}

impl Keeper {
    /// Returns a keeper that competes for the lease and, while it holds the lease, writes a
    /// snapshot every `snapshot_interval`, or sooner once the log has grown by several times the
    /// snapshot's size. `snapshot_interval` should be at most a third of the time for which the log
    /// keeps records.
    pub fn new(writer: Incarnation, snapshot_interval: Duration) -> Self {
        Self {
            lease: LeaseClient::new(KEEPER_LEASE, writer, LEASE_TTL),
            outbox: Outbox::new(writer),
            snapshot_interval,
            tick_base: None,
            snapshot_at: None,
            last_chunk: None,
            snapshot_id: 0,
            growth: LogGrowth::default(),
            covered_end: 0,
            oldest_offset: 0,
        }
    }

    /// Counts a record of `bytes` bytes that was read; called before [`Keeper::observe`].
    pub const fn add_record_bytes(&mut self, bytes: usize) {
        self.growth.records += 1;
        self.growth.bytes += bytes as u64;
    }

    /// Sets the offset of the oldest record that the log has.
    pub const fn set_oldest(&mut self, oldest: Offset) {
        self.oldest_offset = oldest;
    }

    /// Updates the keeper after the fold applied a record that was read at `now`.
    pub fn observe(&mut self, applied: &Applied, state: &State, now: Instant) {
        let claimed = self.lease.claimed_fence();
        self.lease.observe(state.config().lease(KEEPER_LEASE), now);
        if self.lease.claimed_fence() != claimed {
            self.tick_base = self.lease.claimed_fence().map(|_| now);
            self.outbox.clear();
        }
        let Some(id) = applied.id.filter(|id| id.class == Class::Keeper) else {
            return;
        };
        let own = self.outbox.confirm(id.writer, id.sequence);
        match &applied.effect {
            FoldEffect::Keys(_) if own => self.tick_base = Some(now),
            FoldEffect::Chunk(chunk) => {
                let chunk_id = ChunkId { writer: id.writer, id: chunk.id, index: chunk.index };
                self.observe_chunk(chunk_id, chunk, now);
            }
            _ => {}
        }
    }

    fn observe_chunk(&mut self, chunk_id: ChunkId, chunk: &SnapshotChunk, now: Instant) {
        if self.last_chunk == Some(chunk_id) {
            return;
        }
        let next = self.last_chunk.map(|last| ChunkId { index: last.index + 1, ..last });
        self.last_chunk = (chunk_id.index == 0 || next == Some(chunk_id)).then_some(chunk_id);
        let before = if chunk_id.index == 0 { 0 } else { self.growth.snapshot_bytes };
        self.growth.snapshot_bytes = before + chunk.data.len() as u64;
        if self.last_chunk.is_some() && chunk_id.index + 1 == chunk.count {
            self.snapshot_at = Some(now);
            self.covered_end = chunk.end_offset;
            self.growth = LogGrowth { records: 0, bytes: 0, ..self.growth };
        }
    }

    /// Returns the lease's claim or renewal to append now, if one is due.
    pub fn due_lease_record(&self, now: Instant) -> Option<Body> {
        self.lease.due_record(now)
    }

    /// Records that the lease's record is first sent at `now` with this sequence.
    pub fn mark_sent(&mut self, sequence: u64, now: Instant) {
        self.lease.mark_sent(sequence, now);
    }

    /// Gives up the lease when the process stops, and returns the release to append if it held one.
    pub fn release(&mut self) -> Option<Body> {
        self.lease.release()
    }

    /// Returns true if this process holds the keeper's lease at `now`.
    pub fn is_keeper(&self, now: Instant) -> bool {
        self.lease.valid_fence(now).is_some()
    }

    /// Returns the next tick or chunk to append, if one is due and none is in flight.
    pub fn next_append(&mut self, state: &State, now: Instant) -> Result<Option<Append>> {
        let Some(fence) = self.lease.valid_fence(now) else {
            return Ok(None);
        };
        if self.outbox.is_idle() {
            self.queue_due(fence, state, now)?;
        }
        Ok(self.outbox.pop())
    }

    fn queue_due(&mut self, fence: u64, state: &State, now: Instant) -> Result<()> {
        if let Some(base) = self.tick_base.filter(|base| now >= *base + TICK_INTERVAL) {
            let elapsed_ms = now.saturating_duration_since(base).as_millis() as u64;
            let expected_offset = state.keys().last_tick();
            self.outbox.push(Body::Tick(Tick { fence, expected_offset, elapsed_ms }))?;
        } else if self.is_snapshot_due(now) {
            self.snapshot_id += 1;
            for chunk in split_state(state, self.snapshot_id)? {
                self.outbox.push(chunk)?;
            }
        }
        Ok(())
    }

    /// Returns true if a snapshot is due. A starting process needs every record after the last
    /// snapshot, so a new one is due at once if the log has lost some of those.
    fn is_snapshot_due(&self, now: Instant) -> bool {
        self.growth.is_due()
            || self.covered_end < self.oldest_offset
            || self.snapshot_at.is_none_or(|last| now >= last + self.snapshot_interval)
    }

    /// Marks the append with this sequence as unconfirmed: its answer was lost, so the record may
    /// or may not be in the log.
    pub fn mark_answer_lost(&mut self, sequence: u64) {
        self.outbox.mark_answer_lost(sequence);
    }

    /// Returns the append whose answer was lost, to send it again; see [`Outbox::retry_append`].
    pub fn retry_append(&mut self) -> Option<Append> {
        self.outbox.retry_append()
    }
}
