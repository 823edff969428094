//! Log records: one envelope around typed bodies, with limits that are checked before the append.
//!
//! The envelope's first four fields keep their meaning in every schema, so that an old process
//! can add a record that it can't read to the digest chain and skip it.

use std::fmt;

use prost::{Message, Oneof};

pub mod body;
pub mod chain;
pub mod outbox;

use body::{
    CallGroup, Change, Claim, Clear, Death, Lift, MoveBegin, MoveCancel, MoveStep, Release, Renew,
    SnapshotChunk, Tick, ZoneAction, ZoneOrder,
};

use crate::error::{Error, ErrorKind, Result};
use crate::ids::Incarnation;

/// Newest schema that this program reads, and the schema that it writes.
pub const SCHEMA: u32 = 1;
/// Largest encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;
/// Largest body of a recorded answer, in bytes; a longer one is recorded by digest only.
pub const MAX_OUTCOME_BYTES: usize = 2 * 1024;
/// Longest name, operator or content type of a recorded answer, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Longest reason, or evidence of a move's step, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 * 1024;

/// Class of a record. It determines which processes fold the record.
///
/// A writer numbers the records of each class separately, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Class {
    /// Missing or unknown class.
    None = 0,
    /// Configuration, leases, moves and quarantine: folded by every process and part of the digest
    /// chain.
    Config = 1,
    /// Intents and outcomes: folded by entries only.
    Calls = 2,
    /// Log time and snapshots: folded by entries only. Duplicates are harmless, so their sequences
    /// are not checked.
    Keeper = 3,
}

/// One record of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Schema of the body.
    #[prost(uint32, tag = "1")]
    pub schema: u32,
    /// Incarnation of the process that appended it.
    #[prost(fixed64, tag = "2")]
    pub writer: u64,
    /// Position among the writer's records of this class, from 1.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Class of the body.
    #[prost(enumeration = "Class", tag = "4")]
    pub class: i32,
    /// Content of the record.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23")]
    pub body: Option<Body>,
}

/// Content of a record.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// A change of declarations.
    #[prost(message, tag = "10")]
    Change(Change),
    /// A claim of a lease.
    #[prost(message, tag = "11")]
    Claim(Claim),
    /// A renewal of a lease.
    #[prost(message, tag = "12")]
    Renew(Renew),
    /// The release of a lease by its holder.
    #[prost(message, tag = "13")]
    Release(Release),
    /// The start of a version move.
    #[prost(message, tag = "14")]
    MoveBegin(MoveBegin),
    /// A step of a version move.
    #[prost(message, tag = "15")]
    MoveStep(MoveStep),
    /// The death of an upstream.
    #[prost(message, tag = "16")]
    Death(Death),
    /// The end of a quarantine.
    #[prost(message, tag = "17")]
    Lift(Lift),
    /// Intents and outcomes, committed as a group.
    #[prost(message, tag = "18")]
    CallGroup(CallGroup),
    /// An advance of log time.
    #[prost(message, tag = "19")]
    Tick(Tick),
    /// A chunk of a snapshot.
    #[prost(message, tag = "20")]
    Chunk(SnapshotChunk),
    /// The clearing of suspects.
    #[prost(message, tag = "21")]
    Clear(Clear),
    /// The cancellation of a version move by an operator.
    #[prost(message, tag = "22")]
    MoveCancel(MoveCancel),
    /// An order to drain or restore a zone.
    #[prost(message, tag = "23")]
    ZoneOrder(ZoneOrder),
}

/// The fields of a record that keep their meaning in every schema.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Header {
    /// Schema of the body.
    #[prost(uint32, tag = "1")]
    pub schema: u32,
    /// Incarnation of the process that appended it.
    #[prost(fixed64, tag = "2")]
    pub writer: u64,
    /// Position among the writer's records of this class, from 1.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Class of the body.
    #[prost(enumeration = "Class", tag = "4")]
    pub class: i32,
}

/// Why a record is skipped. None of these stops the fold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The record is of a newer schema.
    Newer {
        /// Schema of the record.
        schema: u32,
    },
    /// The bytes are not a record, or its class does not match its body.
    Corrupt,
    /// The record is longer than [`MAX_RECORD_BYTES`].
    TooLarge {
        /// Length of the record, in bytes.
        bytes: usize,
    },
}

impl Body {
    /// Returns the class of records with this body.
    pub const fn class(&self) -> Class {
        match self {
            Self::Change(_)
            | Self::Claim(_)
            | Self::Renew(_)
            | Self::Release(_)
            | Self::MoveBegin(_)
            | Self::MoveStep(_)
            | Self::Death(_)
            | Self::Lift(_)
            | Self::MoveCancel(_)
            | Self::ZoneOrder(_)
            | Self::Clear(_) => Class::Config,
            Self::CallGroup(_) => Class::Calls,
            Self::Tick(_) | Self::Chunk(_) => Class::Keeper,
        }
    }

    /// Returns the name of this body type in logs and exports.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Change(_) => "change",
            Self::Claim(_) => "claim",
            Self::Renew(_) => "renew",
            Self::Release(_) => "release",
            Self::MoveBegin(_) => "move_begin",
            Self::MoveStep(_) => "move_step",
            Self::Death(_) => "death",
            Self::Lift(_) => "lift",
            Self::Clear(_) => "clear",
            Self::MoveCancel(_) => "move_cancel",
            Self::ZoneOrder(order) if order.action == ZoneAction::Drain as i32 => "zone_drain",
            Self::ZoneOrder(_) => "zone_restore",
            Self::CallGroup(_) => "calls",
            Self::Tick(_) => "tick",
            Self::Chunk(_) => "snapshot",
        }
    }

    /// Returns the operator and the reason if an operator requested this record.
    pub fn requested_by(&self) -> Option<(&str, &str)> {
        match self {
            Self::Change(change) => Some((&change.operator, &change.reason)),
            Self::MoveBegin(begin) => Some((&begin.operator, &begin.reason)),
            Self::MoveCancel(cancel) => Some((&cancel.operator, &cancel.reason)),
            Self::Lift(lift) => Some((&lift.operator, &lift.reason)),
            Self::ZoneOrder(order) => Some((&order.operator, &order.reason)),
            _ => None,
        }
    }
}

impl Record {
    /// Returns a record of schema [`SCHEMA`].
    pub fn new(writer: Incarnation, sequence: u64, body: Body) -> Self {
        let class = body.class() as i32;
        Self { schema: SCHEMA, writer, sequence, class, body: Some(body) }
    }

    /// Returns true if this is a configuration record, which every process folds.
    pub fn is_config(&self) -> bool {
        self.class == Class::Config as i32
    }

    /// Encodes the record for the append, or returns why it may not be appended.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        let bytes = self.encode_to_vec();
        if bytes.len() > MAX_RECORD_BYTES {
            let detail = format!("record of {} bytes is over {MAX_RECORD_BYTES}", bytes.len());
            return Err(Error::new(ErrorKind::TooLarge, detail));
        }
        self.body.as_ref().map_or(Ok(()), body::check)?;
        Ok(bytes)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Newer { schema } => write!(f, "record of newer schema {schema}"),
            Self::Corrupt => f.write_str("corrupt record"),
            Self::TooLarge { bytes } => write!(f, "record of {bytes} bytes is over its limit"),
        }
    }
}

/// Decodes the header of a record; `None` if the bytes contain none or are too long.
pub fn decode_header(bytes: &[u8]) -> Option<Header> {
    if bytes.len() > MAX_RECORD_BYTES {
        return None;
    }
    let header = Header::decode(bytes).ok()?;
    let known = header.schema > 0 && header.sequence > 0 && header.class > 0;
    known.then_some(header)
}

/// Returns true if the bytes are a configuration record of any schema.
pub fn is_config(bytes: &[u8]) -> bool {
    decode_header(bytes).is_some_and(|header| header.class == Class::Config as i32)
}

/// Decodes a record, or returns why it is skipped.
pub fn decode(bytes: &[u8]) -> std::result::Result<Record, Fault> {
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(Fault::TooLarge { bytes: bytes.len() });
    }
    let header = decode_header(bytes).ok_or(Fault::Corrupt)?;
    if header.schema > SCHEMA {
        return Err(Fault::Newer { schema: header.schema });
    }
    let record = Record::decode(bytes).map_err(|_| Fault::Corrupt)?;
    let class = record.body.as_ref().map(|body| body.class() as i32);
    if class == Some(record.class) { Ok(record) } else { Err(Fault::Corrupt) }
}
