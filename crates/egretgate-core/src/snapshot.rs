//! Snapshots of the state, stored in the log in chunks, and the recovery of a process from them.
//!
//! The log keeps records for a limited time, so the keeper appends a new snapshot before the
//! oldest record that a starting process needs expires. A crash may leave a snapshot incomplete,
//! and its chunks may be interleaved with other records; only a complete snapshot with the right
//! hash is used.

use std::collections::BTreeMap;

use bytes::Bytes;

mod keeper;

pub use keeper::{Keeper, TICK_INTERVAL};

use crate::error::{Error, ErrorKind, Result};
use crate::fold::State;
use crate::ids::{Incarnation, Offset};
use crate::record::body::SnapshotChunk;
use crate::record::{self, Body, Class};

/// Largest piece of the state in one chunk, in bytes.
pub const MAX_CHUNK_BYTES: usize = 192 * 1024;
/// Largest number of chunks in one snapshot.
pub const MAX_CHUNKS: u32 = 4_096;

/// Largest number of incomplete snapshots kept while a process starts.
const MAX_PARTIAL_SNAPSHOTS: usize = 4;

/// Returns the records of a snapshot of `state`; `id` must be unique within the writer's
/// incarnation.
pub fn split_state(state: &State, id: u64) -> Result<Vec<Body>> {
    split_state_by(state, id, MAX_CHUNK_BYTES)
}

/// Returns the records of a snapshot of `state` in chunks of at most `size` bytes.
pub fn split_state_by(state: &State, id: u64, size: usize) -> Result<Vec<Body>> {
    let size = size.clamp(1, MAX_CHUNK_BYTES);
    let whole = Bytes::from(state.encode());
    let count = whole.len().div_ceil(size).max(1) as u32;
    if count > MAX_CHUNKS {
        return Err(Error::new(ErrorKind::TooLarge, "the state is too large for a snapshot"));
    }
    let hash = Bytes::copy_from_slice(blake3::hash(&whole).as_bytes());
    let chunk = |index: u32| {
        let start = index as usize * size;
        let data = whole.slice(start..whole.len().min(start + size));
        let end_offset = state.next_offset();
        Body::Chunk(SnapshotChunk { id, index, count, end_offset, hash: hash.clone(), data })
    };
    Ok((0..count).map(chunk).collect())
}

/// Collects chunks until a snapshot is complete.
#[derive(Debug, Default)]
pub struct Assembler {
    partial: BTreeMap<SnapshotId, PartialSnapshot>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotId {
    end_offset: Offset,
    writer: Incarnation,
    id: u64,
}

#[derive(Debug)]
struct PartialSnapshot {
    count: u32,
    hash: Bytes,
    chunks: BTreeMap<u32, Bytes>,
}

impl Assembler {
    /// Returns an assembler without chunks.
    pub const fn new() -> Self {
        Self { partial: BTreeMap::new() }
    }

    /// Adds a chunk, and returns the state if its snapshot is complete.
    pub fn add(&mut self, writer: Incarnation, chunk: SnapshotChunk) -> Option<State> {
        if chunk.count == 0 || chunk.count > MAX_CHUNKS || chunk.index >= chunk.count {
            return None;
        }
        let id = SnapshotId { end_offset: chunk.end_offset, writer, id: chunk.id };
        let empty = || PartialSnapshot {
            count: chunk.count,
            hash: chunk.hash.clone(),
            chunks: BTreeMap::new(),
        };
        let partial = self.partial.entry(id).or_insert_with(empty);
        if partial.count != chunk.count || partial.hash != chunk.hash {
            return None;
        }
        partial.chunks.insert(chunk.index, chunk.data);
        let state = partial.assemble().filter(|state| state.next_offset() == id.end_offset);
        if state.is_some() {
            self.partial.remove(&id);
        }
        while self.partial.len() > MAX_PARTIAL_SNAPSHOTS {
            self.partial.pop_first();
        }
        state
    }
}

impl PartialSnapshot {
    fn assemble(&self) -> Option<State> {
        if self.chunks.len() < self.count as usize {
            return None;
        }
        let whole = self.chunks.values().map(Bytes::as_ref).collect::<Vec<_>>().concat();
        if blake3::hash(&whole).as_bytes() != self.hash.as_ref() {
            return None;
        }
        State::decode(&whole).ok()
    }
}

/// Finds the state from which a starting process continues the fold, in a log that no longer has
/// its oldest records.
///
/// Pass every record that the log still has to [`Recovery::scan`], take the state from
/// [`Recovery::finish`], then read the log again from [`State::next_offset`].
#[derive(Debug)]
pub struct Recovery {
    oldest: Offset,
    assembler: Assembler,
    newest: Option<State>,
}

impl Recovery {
    /// Returns a recovery for a log whose oldest record is at `oldest`.
    pub const fn new(oldest: Offset) -> Self {
        Self { oldest, assembler: Assembler::new(), newest: None }
    }

    /// Examines one record, and keeps the state if the record completes a snapshot.
    pub fn scan(&mut self, bytes: &[u8]) {
        let keeper =
            record::decode_header(bytes).is_some_and(|header| header.class() == Class::Keeper);
        if !keeper {
            return;
        }
        let Ok(record) = record::decode(bytes) else {
            return;
        };
        let Some(Body::Chunk(chunk)) = record.body else {
            return;
        };
        let Some(state) = self.assembler.add(record.writer, chunk) else {
            return;
        };
        let newer =
            self.newest.as_ref().is_none_or(|newest| newest.next_offset() <= state.next_offset());
        if newer && state.next_offset() >= self.oldest {
            self.newest = Some(state);
        }
    }

    /// Returns the state from which to continue the fold.
    ///
    /// Fails if the log no longer has its oldest records and has no complete snapshot with all
    /// records after it.
    pub fn finish(self) -> Result<State> {
        match self.newest {
            Some(state) => Ok(state),
            None if self.oldest == 0 => Ok(State::new()),
            None => {
                let detail = format!(
                    "the log starts at offset {} and holds no whole snapshot after it",
                    self.oldest
                );
                Err(Error::new(ErrorKind::NotReady, detail))
            }
        }
    }
}
