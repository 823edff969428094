//! The deterministic fold from log records to shared state.
//!
//! [`State`] folds the whole log in an entry. Its part [`Shared`] folds the configuration records
//! alone and is what side processes keep; [`Keys`] holds intents and outcomes. Every process that
//! read the same records has the same state: nothing here depends on a clock, on the order of
//! arrival of doubles, or on how often a process was started.
//!
//! Structural checks of declarations here are part of the record schema: two versions of this
//! program must accept the same changes. Checks that may grow belong before the append.

use bytes::Bytes;
use prost::Message;

mod actions;
mod image;
mod items;
mod keys;
mod moves;
mod quarantine;
mod config;
mod writers;

pub use actions::{Act, MAX_ACTS};
pub use items::Items;
pub use keys::{Key, KeyChange, KeyEvent, KeyState, Keys, MAX_BODY_BYTES, MAX_KEYS, MAX_TICK};
pub use moves::Move;
pub use quarantine::{Quarantine, Reported};
pub use config::{Shared, Standing};

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
    pub author: Option<Author>,
    /// What it changed.
    pub effect: Effect,
}

/// Writer and sequence of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Author {
    /// Life of the process that appended it.
    pub writer: Incarnation,
    /// Position among the writer's records of the class.
    pub sequence: u64,
    /// Class of the record.
    pub class: Class,
}

/// What a record changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Nothing: the offset is folded already.
    Old,
    /// Nothing: records before this one are missing and have to be read first.
    Gap {
        /// Offset of the first record that is missing.
        next: Offset,
    },
    /// Nothing: the record can't be read.
    Skipped(Fault),
    /// Nothing: the record is a double.
    Double,
    /// The record was accepted.
    Accepted(Part),
    /// The record was refused.
    Refused(Error),
    /// Keys changed.
    Keys(Vec<KeyEvent>),
    /// Nothing: the record is part of a snapshot.
    Chunk(SnapshotChunk),
}

/// Part of the shared state that a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
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
    next: Offset,
    shared: Shared,
    keys: Keys,
    /// Configuration of a peer that had read further, until the fold has read as far.
    ahead: Option<Shared>,
}

impl State {
    /// Returns the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset after the last record folded.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns the part that every process keeps: the folded one, or that of a peer that had
    /// read further. Its offset never goes back.
    pub fn shared(&self) -> &Shared {
        self.ahead.as_ref().unwrap_or(&self.shared)
    }

    /// Serves the configuration of a peer until the fold of the log has read as far; returns
    /// false if the peer has not read further. The fold itself is not changed, so it stays equal
    /// in every process.
    pub fn adopt(&mut self, peer: Shared) -> bool {
        let newer = peer.next() > self.shared().next();
        if newer {
            self.ahead = Some(peer);
        }
        newer
    }

    /// Goes on from a snapshot that has read further than the fold; returns false if it has not.
    pub fn resume(&mut self, snapshot: Self) -> bool {
        if snapshot.next <= self.next {
            return false;
        }
        let ahead = self.ahead.take();
        *self = snapshot;
        self.ahead = ahead.filter(|peer| peer.next() > self.shared.next());
        true
    }

    /// Returns the intents and outcomes.
    pub const fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Applied {
        if offset < self.next {
            return Applied { offset, author: None, effect: Effect::Old };
        }
        if offset > self.next {
            return Applied { offset, author: None, effect: Effect::Gap { next: self.next } };
        }
        self.next = offset + 1;
        if record::is_config(bytes) {
            let applied = self.shared.apply(offset, bytes);
            if self.ahead.as_ref().is_some_and(|peer| peer.next() <= self.shared.next()) {
                self.ahead = None;
            }
            return applied;
        }
        match record::decode(bytes) {
            Ok(record) => {
                let effect = self.apply_other(offset, &record);
                Applied { offset, author: Some(Author::of(&record)), effect }
            }
            Err(fault) => Applied { offset, author: None, effect: Effect::Skipped(fault) },
        }
    }

    fn apply_other(&mut self, offset: Offset, record: &Record) -> Effect {
        match &record.body {
            Some(Body::Calls(calls)) => {
                self.keys.apply(offset, record.writer, record.sequence, calls)
            }
            Some(Body::Tick(tick)) => {
                let lease = self.shared.lease(crate::lease::KEEPER);
                if lease.is_some_and(|lease| lease.guards(record.writer, tick.fence)) {
                    self.keys.tick(offset, tick)
                } else {
                    Effect::Refused(Error::new(ErrorKind::Fenced, "tick of an older keeper"))
                }
            }
            Some(Body::Chunk(chunk)) => Effect::Chunk(chunk.clone()),
            _ => Effect::Skipped(Fault::Corrupt),
        }
    }

    /// Returns the state as bytes, equal for equal states.
    pub fn encode(&self) -> Vec<u8> {
        let image = image::StateImage {
            next: self.next,
            shared: Some(self.shared.image()),
            keys: Some(self.keys.image()),
        };
        image.encode_to_vec()
    }

    /// Returns the state held in `bytes`, as written by [`State::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let image = image::StateImage::decode(bytes).map_err(|_| corrupt())?;
        let shared = Shared::from_image(image.shared.ok_or_else(corrupt)?)?;
        let keys = Keys::from_image(image.keys.ok_or_else(corrupt)?)?;
        Ok(Self { next: image.next, shared, keys, ahead: None })
    }
}

impl Author {
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
