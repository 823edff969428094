//! The keeper: one entry that advances log time and writes snapshots.

use std::time::{Duration, Instant};

use crate::error::Result;
use crate::fold::{Applied, Effect, State};
use crate::ids::{Incarnation, Offset};
use crate::lease::{Holder, KEEPER, TTL};
use crate::record::body::{SnapshotChunk, Tick};
use crate::record::outbox::{Append, Outbox};
use crate::record::{Body, Class};
use crate::snapshot::split;

/// Fewest records between two snapshots that growth alone brings about.
const GROWTH_RECORDS: u64 = 256;
/// Bytes read since the last snapshot for each byte of it from which the next is due, so that
/// snapshots add at most a quarter to the log.
const GROWTH_FACTOR: u64 = 4;

/// Time between two ticks of log time.
pub const TICK_INTERVAL: Duration = Duration::from_secs(10);

/// One entry's part in keeping the log: a rival for the keeper's lease, or its holder.
///
/// Feed every applied record to [`Keeper::read`]. The lease's records go through the entry's
/// queue of configuration records ([`Keeper::wants`], then [`Keeper::sent`]); ticks and chunks
/// come from [`Keeper::pop`], one append at a time.
#[derive(Debug)]
pub struct Keeper {
    holder: Holder,
    outbox: Outbox,
    /// Time between two snapshots.
    interval: Duration,
    /// Moment at which this process's last claim or tick was read.
    base: Option<Instant>,
    /// Moment at which the last whole snapshot, or its absence, was noticed.
    snapshot: Option<Instant>,
    /// Chunks of the last snapshot seen so far, if none is missing.
    run: Option<Run>,
    id: u64,
    growth: Growth,
    /// Offset of the first record that the last whole snapshot does not cover.
    covered: Offset,
    /// Oldest record that the log is known to hold.
    oldest: Offset,
}

/// What was read since the last whole snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Growth {
    records: u64,
    bytes: u64,
    /// Size of the snapshot that is being read, or was read last, in bytes.
    snapshot: u64,
}

impl Growth {
    const fn is_due(self) -> bool {
        self.records >= GROWTH_RECORDS && self.bytes >= GROWTH_FACTOR * self.snapshot
    }
}

/// Chunks of one snapshot, read in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Run {
    writer: Incarnation,
    id: u64,
    index: u32,
}

impl Keeper {
    /// Returns a rival for the keeper's lease that writes a snapshot every `interval`, which
    /// should be a third of the time for which the log keeps records, or less, and sooner once
    /// the log has grown by several times the state's size.
    pub fn new(own: Incarnation, interval: Duration) -> Self {
        Self {
            holder: Holder::new(KEEPER, own, TTL),
            outbox: Outbox::new(own),
            interval,
            base: None,
            snapshot: None,
            run: None,
            id: 0,
            growth: Growth::default(),
            covered: 0,
            oldest: 0,
        }
    }

    /// Notes the size of a record that was read, in bytes, before [`Keeper::read`].
    pub const fn note_size(&mut self, bytes: usize) {
        self.growth.records += 1;
        self.growth.bytes += bytes as u64;
    }

    /// Notes the oldest record that the log holds.
    pub const fn note_oldest(&mut self, oldest: Offset) {
        self.oldest = oldest;
    }

    /// Notes a record that the fold applied, read at `now`.
    pub fn read(&mut self, applied: &Applied, state: &State, now: Instant) {
        let claimed = self.holder.fence();
        self.holder.read(state.shared().lease(KEEPER), now);
        if self.holder.fence() != claimed {
            self.base = self.holder.fence().map(|_| now);
            self.outbox.clear();
        }
        let Some(author) = applied.author.filter(|author| author.class == Class::Keeper) else {
            return;
        };
        let own = self.outbox.read(author.writer, author.sequence);
        match &applied.effect {
            Effect::Keys(_) if own => self.base = Some(now),
            Effect::Chunk(chunk) => {
                let run = Run { writer: author.writer, id: chunk.id, index: chunk.index };
                self.note_chunk(run, chunk, now);
            }
            _ => {}
        }
    }

    fn note_chunk(&mut self, run: Run, chunk: &SnapshotChunk, now: Instant) {
        if self.run == Some(run) {
            return;
        }
        let next = self.run.map(|last| Run { index: last.index + 1, ..last });
        self.run = (run.index == 0 || next == Some(run)).then_some(run);
        let before = if run.index == 0 { 0 } else { self.growth.snapshot };
        self.growth.snapshot = before + chunk.data.len() as u64;
        if self.run.is_some() && run.index + 1 == chunk.count {
            self.snapshot = Some(now);
            self.covered = chunk.up_to;
            self.growth = Growth { records: 0, bytes: 0, ..self.growth };
        }
    }

    /// Returns the record of the lease to append now, if one is due.
    pub fn wants(&self, now: Instant) -> Option<Body> {
        self.holder.wants(now)
    }

    /// Notes that the lease's record is first sent at `now` with this sequence.
    pub fn sent(&mut self, sequence: u64, now: Instant) {
        self.holder.sent(sequence, now);
    }

    /// Returns the record that gives the lease up when the process stops.
    pub fn release(&mut self) -> Option<Body> {
        self.holder.release()
    }

    /// Returns true if this process keeps the log at `now`.
    pub fn is_keeper(&self, now: Instant) -> bool {
        self.holder.holds(now).is_some()
    }

    /// Returns the next tick or chunk to append, if one is due and none is under way.
    pub fn pop(&mut self, state: &State, now: Instant) -> Result<Option<Append>> {
        let Some(fence) = self.holder.holds(now) else {
            return Ok(None);
        };
        if self.outbox.is_idle() {
            self.queue(fence, state, now)?;
        }
        Ok(self.outbox.pop())
    }

    fn queue(&mut self, fence: u64, state: &State, now: Instant) -> Result<()> {
        if let Some(base) = self.base.filter(|base| now >= *base + TICK_INTERVAL) {
            let elapsed_ms = now.saturating_duration_since(base).as_millis() as u64;
            let expects = state.keys().last_tick();
            self.outbox.push(Body::Tick(Tick { fence, expects, elapsed_ms }))?;
        } else if self.is_due(now) {
            self.id += 1;
            for chunk in split(state, self.id)? {
                self.outbox.push(chunk)?;
            }
        }
        Ok(())
    }

    /// Returns whether a snapshot is due. A start needs every record after the last one, so a log
    /// that lost some of those needs another at once.
    fn is_due(&self, now: Instant) -> bool {
        self.growth.is_due()
            || self.covered < self.oldest
            || self.snapshot.is_none_or(|last| now >= last + self.interval)
    }

    /// Notes that the answer to an append was lost: it may have taken effect.
    pub fn lost(&mut self, sequence: u64) {
        self.outbox.lost(sequence);
    }

    /// Returns the lost append for another try; see [`Outbox::caught_up`].
    pub fn caught_up(&mut self) -> Option<Append> {
        self.outbox.caught_up()
    }
}
