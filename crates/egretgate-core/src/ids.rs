//! Identifiers shared by all crates.

use std::fmt;

/// Name of an availability zone, as declared by operators.
pub type ZoneId = String;
/// Name of a region, which holds one or more availability zones.
pub type RegionId = String;
/// Name of a customer of the service.
pub type TeamId = String;
/// Name of a group of upstreams that serve the same calls.
pub type ServiceId = String;
/// Name of a version of a service.
pub type VersionId = String;
/// Name of a route, the unit that callers address and version moves act on.
pub type RouteId = String;
/// Name of an upstream: one instance of a service behind a side process.
pub type UpstreamId = String;
/// Name of an instance, as given by the platform's instance list.
pub type InstanceId = String;
/// Name of an operator.
pub type OperatorId = String;
/// Position of a record in the platform's log.
pub type Offset = u64;
/// Number of changes accepted so far for one declared item; 0 means absent.
pub type Revision = u64;
/// Random number that identifies one start of a process.
pub type Incarnation = u64;
/// Number of a tier: 0 is the highest tier, which is the most urgent.
pub type Tier = u8;
/// Number that increases with each grant of a lease, so that actions of an earlier holder can be
/// refused.
pub type FencingNumber = u64;

/// Number of tiers that a deployment may declare.
pub const MAX_TIERS: usize = 8;

/// Identifier of a request: the incarnation of the entry and a sequence number within it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Incarnation of the entry that accepted the request.
    pub entry: Incarnation,
    /// Sequence number of the request within that incarnation, from 1.
    pub sequence: u64,
}

impl Ticket {
    /// Returns the ticket of request `sequence` of the incarnation `entry`.
    pub const fn new(entry: Incarnation, sequence: u64) -> Self {
        Self { entry, sequence }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.entry, self.sequence)
    }
}

/// Digest of a request body or of an idempotency key: the first 16 bytes of its BLAKE3 hash.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; Digest::LEN]);

impl Digest {
    /// Length in bytes.
    pub const LEN: usize = 16;

    /// Returns the digest of `parts`. Each is hashed with its length, so that the same bytes split
    /// into other parts have another digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut out = [0; Self::LEN];
        out.copy_from_slice(&hasher.finalize().as_bytes()[..Self::LEN]);
        Self(out)
    }

    /// Returns the digest in `bytes`, or `None` unless there are exactly [`Digest::LEN`].
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the first eight bytes, which tell digests apart where chance decides.
    pub fn prefix(&self) -> u64 {
        self.0.iter().take(8).fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
    }

    /// Returns the digest as bytes.
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
