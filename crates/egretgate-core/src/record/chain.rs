//! The digest chain over configuration records, with its export and verification.
//!
//! Each digest is the BLAKE3 hash of the previous digest, the record's offset and the record's
//! bytes, so a changed, missing or reordered record changes every digest after it.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use blake3::Hash;
use serde::{Deserialize, Serialize};

use crate::ids::Offset;
use crate::record::{self, Body};

/// Digest at the start of every chain.
pub const START_DIGEST: Hash = Hash::from_bytes([0; 32]);

/// Result of verifying an export.
pub type Result<T> = std::result::Result<T, ChainError>;

/// One exported record with the digests around it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedRecord {
    /// Position in the log.
    pub offset: Offset,
    /// Chain digest before the record, in hexadecimal.
    pub prev: String,
    /// Chain digest after the record, in hexadecimal.
    pub digest: String,
    /// Name of the record's body type; empty if the record can't be decoded.
    pub kind: String,
    /// Operator who requested it; empty if none did.
    pub operator: String,
    /// Reason given by the operator; empty if none requested it.
    pub reason: String,
    /// The record's bytes in base64.
    pub data: String,
}

/// Where and why the verification of an export fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChainError {
    /// Position in the log; that of the last record if the chain ends too early.
    pub offset: Offset,
    /// What is wrong.
    pub fault: ChainFault,
}

/// What is wrong with an exported chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChainFault {
    /// The record or its summary was changed.
    Changed,
    /// A record before this one is missing, or the records were reordered.
    Missing,
    /// The chain does not end at the given digest.
    Short,
}

/// Returns the chain digest after a record.
pub fn extend(prev: &Hash, offset: Offset, bytes: &[u8]) -> Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prev.as_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

impl ExportedRecord {
    /// Returns the exported form of the record that follows the digest `prev`.
    pub fn new(prev: &Hash, offset: Offset, bytes: &[u8]) -> Self {
        let digest = extend(prev, offset, bytes);
        let body = record::decode(bytes).ok().and_then(|record| record.body);
        let (operator, reason) = body.as_ref().and_then(Body::requested_by).unwrap_or_default();
        Self {
            offset,
            prev: prev.to_string(),
            digest: digest.to_string(),
            kind: body.as_ref().map_or("", Body::as_str).into(),
            operator: operator.into(),
            reason: reason.into(),
            data: STANDARD.encode(bytes),
        }
    }
}

/// Exports the configuration records among `records`, the first of which follows the digest
/// `prev`.
pub fn export<'a>(
    prev: Hash,
    records: impl IntoIterator<Item = (Offset, &'a [u8])>,
) -> Vec<ExportedRecord> {
    let mut prev = prev;
    let mut exported = Vec::new();
    for (offset, bytes) in records {
        if record::is_config(bytes) {
            exported.push(ExportedRecord::new(&prev, offset, bytes));
            prev = extend(&prev, offset, bytes);
        }
    }
    exported
}

/// Checks that `records` form the chain from `start`, and that it ends at `end` if that is given.
/// Returns the last digest.
///
/// Without `end`, records missing after the last one are not detected.
pub fn verify(start: Hash, records: &[ExportedRecord], end: Option<Hash>) -> Result<Hash> {
    let mut prev = start;
    let mut last = None;
    for record in records {
        let error = |fault| ChainError { offset: record.offset, fault };
        if record.prev != prev.to_string() || last.is_some_and(|last| record.offset <= last) {
            return Err(error(ChainFault::Missing));
        }
        let bytes = STANDARD.decode(&record.data).map_err(|_| error(ChainFault::Changed))?;
        if *record != ExportedRecord::new(&prev, record.offset, &bytes) {
            return Err(error(ChainFault::Changed));
        }
        prev = extend(&prev, record.offset, &bytes);
        last = Some(record.offset);
    }
    match end {
        Some(end) if end != prev => {
            Err(ChainError { offset: last.unwrap_or_default(), fault: ChainFault::Short })
        }
        _ => Ok(prev),
    }
}
