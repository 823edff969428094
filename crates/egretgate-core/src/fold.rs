//! The deterministic fold from log records to shared state.
//!
//! [`State`] folds the whole log in an entry. Its part [`ConfigState`] folds the configuration records
//! alone and is what side processes keep; [`KeyTable`] holds intents and outcomes. Every process that
//! read the same records has the same state: nothing here depends on a clock, on the order of
//! arrival of doubles, or on how often a process was started.
//!
//! Structural checks of declarations here are part of the record schema: two versions of this
//! program must accept the same changes. Checks that may grow belong before the append.

use bytes::Bytes;
use prost::Message;

mod actions;
mod config;
mod image;
mod items;
mod keys;
mod moves;
mod quarantine;
mod writers;

pub use actions::{MAX_OPERATOR_ACTIONS, OperatorAction};
pub use config::{ConfigState, SyncStatus};
pub use items::DeclaredItems;
pub use keys::{
    KeyChange, KeyEvent, KeyState, KeyTable, MAX_KEYS, MAX_RECORDED_BYTES, MAX_TICK_ELAPSED,
    ReservedKey,
};
pub use moves::VersionMove;
pub use quarantine::{Quarantine, QuarantineView};

use crate::error::{Error, ErrorKind, Result};
use crate::ids::{Incarnation, Offset};
use crate::record::body::SnapshotChunk;
use crate::record::{self, Body, Class, Fault, Record};

/// What the fold made of a record.
#[derive(Debug, Clone, PartialEq)]
pub struct Applied {
    /// Position in the log.
    pub offset: Offset,
    /// Who appended it; absent if the bytes hold no record.
    pub id: Option<RecordId>,
    /// What it changed.
    pub effect: FoldEffect,
}

/// Writer and sequence of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordId {
    /// Life of the process that appended it.
    pub writer: Incarnation,
    /// Position among the writer's records of the class.
    pub sequence: u64,
    /// Class of the record.
    pub class: Class,
}

/// What a record changed.
#[derive(Debug, Clone, PartialEq)]
pub enum FoldEffect {
    /// Nothing: the offset is folded already.
    AlreadyApplied,
    /// Nothing: records before this one are missing and have to be read first.
    Gap {
        /// Offset of the first record that is missing.
        next: Offset,
    },
    /// Nothing: the record can't be read.
    Skipped(Fault),
    /// Nothing: the record is a double.
    Duplicate,
    /// The record was accepted.
    Accepted(StateSection),
    /// The record was refused.
    Refused(Error),
    /// Keys changed.
    Keys(Vec<KeyEvent>),
    /// Nothing: the record is part of a snapshot.
    Chunk(SnapshotChunk),
}

/// Part of the shared state that a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateSection {
    /// Declarations.
    Declarations,
    /// A lease.
    Leases,
    /// A version move.
    Moves,
    /// The quarantine.
    Quarantine,
}

/// The state that an entry folds from the whole log.
#[derive(Debug, Default)]
pub struct State {
    next_offset: Offset,
    config: ConfigState,
    keys: KeyTable,
    /// Configuration of a peer that had read further, until the fold has read as far.
    peer_config: Option<ConfigState>,
}

impl State {
    /// Returns the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset after the last record folded.
    pub const fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the part that every process keeps: the folded one, or that of a peer that had
    /// read further. Its offset never goes back.
    pub fn config(&self) -> &ConfigState {
        self.peer_config.as_ref().unwrap_or(&self.config)
    }

    /// Serves the configuration of a peer until the fold of the log has read as far; returns
    /// false if the peer has not read further. The fold itself is not changed, so it stays equal
    /// in every process.
    pub fn adopt_config(&mut self, peer: ConfigState) -> bool {
        let newer = peer.next_offset() > self.config().next_offset();
        if newer {
            self.peer_config = Some(peer);
        }
        newer
    }

    /// Goes on from a snapshot that has read further than the fold; returns false if it has not.
    pub fn resume_from(&mut self, snapshot: Self) -> bool {
        if snapshot.next_offset <= self.next_offset {
            return false;
        }
        let ahead = self.peer_config.take();
        *self = snapshot;
        self.peer_config = ahead.filter(|peer| peer.next_offset() > self.config.next_offset());
        true
    }

    /// Returns the intents and outcomes.
    pub const fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Applied {
        if offset < self.next_offset {
            return Applied { offset, id: None, effect: FoldEffect::AlreadyApplied };
        }
        if offset > self.next_offset {
            return Applied {
                offset,
                id: None,
                effect: FoldEffect::Gap { next: self.next_offset },
            };
        }
        self.next_offset = offset + 1;
        if record::is_config(bytes) {
            let applied = self.config.apply(offset, bytes);
            if self
                .peer_config
                .as_ref()
                .is_some_and(|peer| peer.next_offset() <= self.config.next_offset())
            {
                self.peer_config = None;
            }
            return applied;
        }
        match record::decode(bytes) {
            Ok(record) => {
                let effect = self.apply_entry_record(offset, &record);
                Applied { offset, id: Some(RecordId::of(&record)), effect }
            }
            Err(fault) => Applied { offset, id: None, effect: FoldEffect::Skipped(fault) },
        }
    }

    fn apply_entry_record(&mut self, offset: Offset, record: &Record) -> FoldEffect {
        match &record.body {
            Some(Body::CallGroup(calls)) => {
                self.keys.apply(offset, record.writer, record.sequence, calls)
            }
            Some(Body::Tick(tick)) => {
                let lease = self.config.lease(crate::lease::KEEPER_LEASE);
                if lease.is_some_and(|lease| lease.is_held_by(record.writer, tick.fence)) {
                    self.keys.tick(offset, tick)
                } else {
                    FoldEffect::Refused(Error::new(ErrorKind::Fenced, "tick of an older keeper"))
                }
            }
            Some(Body::Chunk(chunk)) => FoldEffect::Chunk(chunk.clone()),
            _ => FoldEffect::Skipped(Fault::Corrupt),
        }
    }

    /// Returns the state as bytes, equal for equal states.
    pub fn encode(&self) -> Vec<u8> {
        let image = image::StateImage {
            next: self.next_offset,
            config: Some(self.config.image()),
            keys: Some(self.keys.image()),
        };
        image.encode_to_vec()
    }

    /// Returns the state held in `bytes`, as written by [`State::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let image = image::StateImage::decode(bytes).map_err(|_| corrupt())?;
        let shared = ConfigState::from_image(image.config.ok_or_else(corrupt)?)?;
        let keys = KeyTable::from_image(image.keys.ok_or_else(corrupt)?)?;
        Ok(Self { next_offset: image.next, config: shared, keys, peer_config: None })
    }
}

impl RecordId {
    fn of(record: &Record) -> Self {
        let class = record.class();
        Self { writer: record.writer, sequence: record.sequence, class }
    }
}

fn corrupt() -> Error {
    Error::new(ErrorKind::Internal, "the encoded state can't be read")
}

fn bytes_of(hash: &blake3::Hash) -> Bytes {
    Bytes::copy_from_slice(hash.as_bytes())
}
