//! Leases granted by log order and timed by monotonic clocks.
//!
//! A lease is granted by compare and swap in the log: a claim or renewal names the offset of the
//! lease's last accepted record, so the first of two competing records in the log wins. Each
//! process measures the lease's time on its own monotonic clock, as in Gray and Cheriton
//! (SOSP '89): the holder counts from the time at which it *sent* its last accepted record and
//! stops early, a competitor counts from the time at which it *read* that record and waits longer.
//! The offset of the accepted claim is the fencing number (as in Chubby, OSDI '06).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::declaration::Fencing;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{FencingNumber, Incarnation, Offset};
use crate::record::Body;
use crate::record::body::{Claim, Release, Renew};

/// Name of the lease whose holder advances log time and writes snapshots.
pub const KEEPER_LEASE: &str = "keeper";
/// Default time for which a lease is held.
pub const LEASE_TTL: Duration = Duration::from_secs(9);
/// A holder stops `1 / MARGIN_DIVISOR` of the lease's time early, and a competitor waits that much
/// longer, so the clock rates of two processes may differ by nearly twice this fraction.
pub const MARGIN_DIVISOR: u32 = 10;
/// Renewals that a holder sends within the lease's time.
pub const RENEWALS_PER_TTL: u32 = 3;

/// Number of sent records remembered until they are read back from the log.
const MAX_UNCONFIRMED: usize = 8;

/// Returns the name of the lease for a route's version move.
pub fn move_lease(route: &str) -> String {
    format!("move/{route}")
}

/// State of a lease as folded from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Process that holds the lease; absent after a release.
    pub holder: Option<Incarnation>,
    /// Offset of the last accepted claim. Rises with each claim.
    pub fence: FencingNumber,
    /// Offset of the last accepted record.
    pub last_offset: Offset,
    /// Sequence of the last accepted record among its writer's records.
    pub sequence: u64,
    /// Time for which the lease is held, in milliseconds.
    pub ttl_ms: u64,
}

/// Offset, writer and sequence of a record that the fold applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RecordPosition {
    /// Offset of the record.
    pub(crate) offset: Offset,
    /// Writer of the record.
    pub(crate) writer: Incarnation,
    /// Sequence of the record.
    pub(crate) sequence: u64,
}

impl Lease {
    /// Returns the lease after a claim, or the reason for refusing the claim.
    pub(crate) fn claim(
        lease: Option<&Self>,
        claim: &Claim,
        position: RecordPosition,
    ) -> Result<Self> {
        let last = lease.map(|lease| lease.last_offset);
        if claim.holder != position.writer {
            return Err(Error::new(ErrorKind::Fenced, "claimed for another process"));
        }
        if claim.expected_offset != last {
            return Err(Error::new(ErrorKind::Conflict, "the lease has changed since"));
        }
        Ok(Self {
            holder: Some(position.writer),
            fence: position.offset,
            last_offset: position.offset,
            sequence: position.sequence,
            ttl_ms: claim.ttl_ms,
        })
    }

    /// Applies a renewal, or returns the reason for refusing it.
    pub(crate) fn renew(&mut self, renew: &Renew, position: RecordPosition) -> Result<()> {
        self.check(renew.holder, renew.expected_offset, position)?;
        self.last_offset = position.offset;
        self.sequence = position.sequence;
        Ok(())
    }

    /// Applies a release, or returns the reason for refusing it.
    pub(crate) fn release(&mut self, release: &Release, position: RecordPosition) -> Result<()> {
        self.check(release.holder, release.expected_offset, position)?;
        self.holder = None;
        self.last_offset = position.offset;
        self.sequence = position.sequence;
        Ok(())
    }

    fn check(
        &self,
        holder: Incarnation,
        expected_offset: Offset,
        position: RecordPosition,
    ) -> Result<()> {
        if holder != position.writer || self.holder != Some(holder) {
            return Err(Error::new(ErrorKind::Fenced, "another process holds the lease"));
        }
        if expected_offset != self.last_offset {
            return Err(Error::new(ErrorKind::Conflict, "the lease has changed since"));
        }
        Ok(())
    }

    /// Returns true if `writer` holds the lease with this fencing number.
    pub(crate) fn is_held_by(&self, writer: Incarnation, fence: FencingNumber) -> bool {
        self.holder == Some(writer) && self.fence == fence
    }
}

/// Client of one lease for one process, which either holds the lease or competes for it.
///
/// Call [`LeaseClient::observe`] after each record that the fold accepts, append what
/// [`LeaseClient::due_record`] returns, call [`LeaseClient::mark_sent`] with the time *before* the
/// append is first sent, and check [`LeaseClient::valid_fence`] right before each effect.
#[derive(Debug)]
pub struct LeaseClient {
    name: String,
    writer: Incarnation,
    ttl: Duration,
    observed: Option<Observed>,
    /// Sent records that have not been read back from the log, oldest first.
    unconfirmed: VecDeque<SentRecord>,
    /// Time from which the lease is held. Invariant: the time at which the last accepted record was
    /// first sent, never the time at which it was read.
    held_since: Option<Instant>,
    /// Time at which the accepted claim was read from the log.
    claimed_at: Option<Instant>,
    released: bool,
}

#[derive(Debug, Clone)]
struct Observed {
    lease: Lease,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct SentRecord {
    sequence: u64,
    at: Instant,
}

impl LeaseClient {
    /// Returns a client that has not observed the lease yet.
    pub fn new(name: impl Into<String>, writer: Incarnation, ttl: Duration) -> Self {
        Self {
            name: name.into(),
            writer,
            ttl,
            observed: None,
            unconfirmed: VecDeque::new(),
            held_since: None,
            claimed_at: None,
            released: false,
        }
    }

    /// Returns the lease's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Updates the client with the folded state of the lease at `now`; cheap if nothing changed.
    pub fn observe(&mut self, lease: Option<&Lease>, now: Instant) {
        let Some(lease) = lease else {
            return;
        };
        if self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.lease.last_offset == lease.last_offset)
        {
            return;
        }
        self.observed = Some(Observed { lease: lease.clone(), at: now });
        if lease.holder != Some(self.writer) {
            self.held_since = None;
            self.claimed_at = None;
            return;
        }
        if lease.fence == lease.last_offset {
            self.claimed_at = Some(now);
        }
        self.confirm(lease.sequence);
    }

    fn confirm(&mut self, sequence: u64) {
        let sent = self.unconfirmed.iter().find(|sent| sent.sequence == sequence);
        if let Some(sent) = sent {
            self.held_since = Some(sent.at);
        }
        self.unconfirmed.retain(|sent| sent.sequence > sequence);
    }

    /// Returns the claim or renewal to append now, if one is due.
    ///
    /// No record is due until the previous one has been read back or a renewal interval has passed
    /// since it was sent.
    pub fn due_record(&self, now: Instant) -> Option<Body> {
        let interval = self.ttl / RENEWALS_PER_TTL;
        let in_flight = self.unconfirmed.back().is_some_and(|sent| now < sent.at + interval);
        if self.released || in_flight {
            return None;
        }
        match &self.observed {
            None => Some(self.claim(None)),
            Some(observed) if observed.lease.holder == Some(self.writer) => {
                let early = self.held_since.is_some_and(|since| now < since + interval);
                (!early).then(|| self.renew(observed.lease.last_offset))
            }
            Some(observed) => {
                let claimable = observed.claimable_at();
                (now >= claimable).then(|| self.claim(Some(observed.lease.last_offset)))
            }
        }
    }

    fn claim(&self, expected_offset: Option<Offset>) -> Body {
        let ttl_ms = self.ttl.as_millis() as u64;
        Body::Claim(Claim { name: self.name.clone(), holder: self.writer, expected_offset, ttl_ms })
    }

    fn renew(&self, expected_offset: Offset) -> Body {
        Body::Renew(Renew { name: self.name.clone(), holder: self.writer, expected_offset })
    }

    /// Gives up the lease when the process stops, and returns the release to append if it held one.
    pub fn release(&mut self) -> Option<Body> {
        self.held_since = None;
        self.released = true;
        let observed =
            self.observed.as_ref().filter(|observed| observed.lease.holder == Some(self.writer))?;
        let expected_offset = observed.lease.last_offset;
        Some(Body::Release(Release {
            name: self.name.clone(),
            holder: self.writer,
            expected_offset,
        }))
    }

    /// Records that the append with this sequence is first sent at `now`. Don't call this for a
    /// retry.
    pub fn mark_sent(&mut self, sequence: u64, now: Instant) {
        if self.unconfirmed.len() == MAX_UNCONFIRMED {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back(SentRecord { sequence, at: now });
    }

    /// Returns the fencing number of this process's last accepted claim; the lease may have
    /// expired.
    pub fn claimed_fence(&self) -> Option<FencingNumber> {
        let observed =
            self.observed.as_ref().filter(|observed| observed.lease.holder == Some(self.writer))?;
        Some(observed.lease.fence)
    }

    /// Returns the fencing number if this process holds the lease at `now`.
    pub fn valid_fence(&self, now: Instant) -> Option<FencingNumber> {
        let until = self.held_since? + self.valid_for();
        let fence = self.observed.as_ref().map(|observed| observed.lease.fence)?;
        (now < until).then_some(fence)
    }

    /// Returns the fencing number if an order may be given to an upstream at `now`.
    ///
    /// An upstream that ignores fencing numbers may still be carrying out an order of the previous
    /// holder, so a new holder first waits for `longest`, the duration of the longest order.
    pub fn order_fence(
        &self,
        fencing: Fencing,
        longest: Duration,
        now: Instant,
    ) -> Option<FencingNumber> {
        let fence = self.valid_fence(now)?;
        let waited = match fencing {
            Fencing::Checked => true,
            Fencing::Ignored => self.claimed_at.is_some_and(|claimed| now >= claimed + longest),
        };
        waited.then_some(fence)
    }

    /// Returns the time for which the lease counts as held, from the send of its last record.
    fn valid_for(&self) -> Duration {
        self.ttl.saturating_sub(self.ttl / MARGIN_DIVISOR)
    }
}

impl Observed {
    /// Returns the time from which a competitor may claim the lease.
    fn claimable_at(&self) -> Instant {
        if self.lease.holder.is_none() {
            return self.at;
        }
        let ttl = Duration::from_millis(self.lease.ttl_ms);
        self.at + ttl + ttl / MARGIN_DIVISOR
    }
}
