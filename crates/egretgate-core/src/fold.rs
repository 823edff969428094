//! The deterministic fold of log records into replicated state.
//!
//! Entries fold the whole log into a [`State`]. Its [`ConfigState`] is folded from configuration
//! records only, and is all that side processes keep; its [`KeyTable`] holds intents and outcomes.
//! All processes that read the same records have the same state: nothing here depends on a clock,
//! on when duplicates arrive, or on how often a process was restarted.
//!
//! The checks of declarations in this module are part of the record schema: two versions of this
//! program must accept the same changes. Checks that may differ between versions must be made
//! before the append instead.

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
mod zones;

pub use actions::{MAX_OPERATOR_ACTIONS, OperatorAction};
pub use config::{ConfigState, SyncStatus};
pub use items::DeclaredItems;
pub use keys::{
    KeyChange, KeyEvent, KeyState, KeyTable, MAX_KEYS, MAX_RECORDED_BYTES, MAX_TICK_ELAPSED,
    ReservedKey,
};
pub use moves::VersionMove;
pub use quarantine::{Quarantine, QuarantineView};
pub use zones::{DrainedZone, MAX_DRAINED_ZONES};

use crate::error::{Error, ErrorKind, Result};
use crate::ids::{Incarnation, Offset};
use crate::record::body::SnapshotChunk;
use crate::record::{self, Body, Class, Fault, Record};

/// Result of applying a record.
#[derive(Debug, Clone, PartialEq)]
pub struct Applied {
    /// Position in the log.
    pub offset: Offset,
    /// Identifies the record; absent if the bytes can't be decoded or were not applied.
    pub id: Option<RecordId>,
    /// What the record changed.
    pub effect: FoldEffect,
}

/// Identifies a record by its writer, class and sequence, so that duplicates are recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordId {
    /// Incarnation of the process that appended it.
    pub writer: Incarnation,
    /// Position among the writer's records of the class.
    pub sequence: u64,
    /// Class of the record.
    pub class: Class,
}

/// What a record changed.
#[derive(Debug, Clone, PartialEq)]
pub enum FoldEffect {
    /// Nothing: the record at this offset was applied before.
    AlreadyApplied,
    /// Nothing: records before this one are missing and must be read first.
    Gap {
        /// Offset of the first missing record.
        next: Offset,
    },
    /// Nothing: the record can't be read.
    Skipped(Fault),
    /// Nothing: the record is a duplicate.
    Duplicate,
    /// The record was accepted.
    Accepted(StateSection),
    /// The record was refused.
    Refused(Error),
    /// Keys changed.
    Keys(Vec<KeyEvent>),
    /// Nothing: the record is a chunk of a snapshot.
    Chunk(SnapshotChunk),
}

/// Section of the state that a record changed.
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
    /// The drained zones.
    Zones,
}

/// The state that an entry folds from the whole log.
#[derive(Debug, Default)]
pub struct State {
    next_offset: Offset,
    config: ConfigState,
    keys: KeyTable,
    /// Configuration adopted from a peer that had read further, until this fold catches up.
    peer_config: Option<ConfigState>,
}

impl State {
    /// Returns the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset after the last applied record.
    pub const fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the configuration: the folded one, or that of a peer that had read further. Its
    /// offset never decreases.
    pub fn config(&self) -> &ConfigState {
        self.peer_config.as_ref().unwrap_or(&self.config)
    }

    /// Uses the configuration of a peer until this fold catches up with it; returns false if the
    /// peer has not read further. The folded state itself is not changed, so it stays the same in
    /// every process.
    pub fn adopt_config(&mut self, peer: ConfigState) -> bool {
        let newer = peer.next_offset() > self.config().next_offset();
        if newer {
            self.peer_config = Some(peer);
        }
        newer
    }

    /// Replaces the folded state by a snapshot's if the snapshot has read further; returns false if
    /// it has not.
    pub fn resume_from(&mut self, snapshot: Self) -> bool {
        if snapshot.next_offset <= self.next_offset {
            return false;
        }
        let peer_config = self.peer_config.take();
        *self = snapshot;
        self.peer_config =
            peer_config.filter(|peer| peer.next_offset() > self.config.next_offset());
        true
    }

    /// Returns the reserved idempotency keys with their outcomes.
    pub const fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Applies the record at `offset`.
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
            Some(Body::CallGroup(group)) => {
                self.keys.apply(offset, record.writer, record.sequence, group)
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

    /// Encodes the state; equal states have equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        let image = image::StateImage {
            next_offset: self.next_offset,
            config: Some(self.config.image()),
            keys: Some(self.keys.image()),
        };
        image.encode_to_vec()
    }

    /// Decodes a state encoded by [`State::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let image = image::StateImage::decode(bytes).map_err(|_| corrupt())?;
        let config = ConfigState::from_image(image.config.ok_or_else(corrupt)?)?;
        let keys = KeyTable::from_image(image.keys.ok_or_else(corrupt)?)?;
        Ok(Self { next_offset: image.next_offset, config, keys, peer_config: None })
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
