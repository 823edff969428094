//! Leases by log order and monotonic clocks.
//!
//! A lease is granted by compare and swap in the log: a claim or renewal names the offset of the
//! lease's last accepted record, so of two rivals the first in the log wins. Time is kept by each
//! process on its own monotonic clock, after Gray and Cheriton (SOSP '89): the holder counts from
//! the moment at which it *sent* its last accepted record and stops early, a rival counts from
//! the moment at which it *read* that record and starts late. The offset of the accepted claim is
//! the fencing number (Chubby, OSDI '06).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::declaration::Fencing;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{Fence, Incarnation, Offset};
use crate::record::Body;
use crate::record::body::{Claim, Release, Renew};

/// Name of the lease whose holder keeps log time and writes snapshots.
pub const KEEPER: &str = "keeper";
/// Time for which a lease is held, unless stated otherwise.
pub const TTL: Duration = Duration::from_secs(9);
/// Part of the lease's time by which a holder stops early and a rival starts late: clocks of
/// two processes may differ in rate by nearly twice this part.
pub const MARGIN_PART: u32 = 10;
/// Renewals sent within one lease's time.
pub const RENEWALS: u32 = 3;

/// Most sends whose place in the log a holder awaits.
const MAX_SENT: usize = 8;

/// Returns the name of the lease on a route's version move.
pub fn move_lease(route: &str) -> String {
    format!("move/{route}")
}

/// A lease as the fold knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Holder; absent after a release.
    pub holder: Option<Incarnation>,
    /// Offset of the last accepted claim. Rises with each claim.
    pub fence: Fence,
    /// Offset of the last accepted record.
    pub last: Offset,
    /// The holder's sequence in the last accepted record.
    pub sequence: u64,
    /// Time for which the lease is held, in milliseconds.
    pub ttl_ms: u64,
}

/// Place of a record, as the fold sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// Offset of the record.
    pub(crate) offset: Offset,
    /// Writer of the record.
    pub(crate) writer: Incarnation,
    /// Sequence of the record.
    pub(crate) sequence: u64,
}

impl Lease {
    /// Returns the lease after a claim, or why the claim is refused.
    pub(crate) fn claim(lease: Option<&Self>, claim: &Claim, place: Place) -> Result<Self> {
        let last = lease.map(|lease| lease.last);
        if claim.holder != place.writer {
            return Err(Error::new(ErrorKind::Fenced, "claimed for another process"));
        }
        if claim.expects != last {
            return Err(Error::new(ErrorKind::Conflict, "the lease has changed since"));
        }
        Ok(Self {
            holder: Some(place.writer),
            fence: place.offset,
            last: place.offset,
            sequence: place.sequence,
            ttl_ms: claim.ttl_ms,
        })
    }

    /// Notes a renewal, or says why it is refused.
    pub(crate) fn renew(&mut self, renew: &Renew, place: Place) -> Result<()> {
        self.check(renew.holder, renew.expects, place)?;
        self.last = place.offset;
        self.sequence = place.sequence;
        Ok(())
    }

    /// Notes a release, or says why it is refused.
    pub(crate) fn release(&mut self, release: &Release, place: Place) -> Result<()> {
        self.check(release.holder, release.expects, place)?;
        self.holder = None;
        self.last = place.offset;
        self.sequence = place.sequence;
        Ok(())
    }

    fn check(&self, holder: Incarnation, expects: Offset, place: Place) -> Result<()> {
        if holder != place.writer || self.holder != Some(holder) {
            return Err(Error::new(ErrorKind::Fenced, "another process holds the lease"));
        }
        if expects != self.last {
            return Err(Error::new(ErrorKind::Conflict, "the lease has changed since"));
        }
        Ok(())
    }

    /// Returns true if `writer` holds the lease with this fencing number.
    pub(crate) fn guards(&self, writer: Incarnation, fence: Fence) -> bool {
        self.holder == Some(writer) && self.fence == fence
    }
}

/// One process's view of one lease, as its holder or as a rival.
///
/// Call [`Holder::read`] after each record that the fold accepts, append what [`Holder::wants`]
/// returns, call [`Holder::sent`] with the moment *before* the append is first sent, and ask
/// [`Holder::holds`] right before each effect.
#[derive(Debug)]
pub struct Holder {
    name: String,
    own: Incarnation,
    ttl: Duration,
    seen: Option<Seen>,
    /// Sends whose place in the log is unknown, oldest first.
    sent: VecDeque<Sent>,
    /// Moment from which the lease is held. Invariant: that of the first send of the last
    /// accepted record, never that of its reading.
    from: Option<Instant>,
    /// Moment at which the accepted claim was read.
    claimed: Option<Instant>,
    released: bool,
}

#[derive(Debug, Clone)]
struct Seen {
    lease: Lease,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    sequence: u64,
    at: Instant,
}

impl Holder {
    /// Returns a rival for the lease that has read nothing yet.
    pub fn new(name: impl Into<String>, own: Incarnation, ttl: Duration) -> Self {
        Self {
            name: name.into(),
            own,
            ttl,
            seen: None,
            sent: VecDeque::new(),
            from: None,
            claimed: None,
            released: false,
        }
    }

    /// Returns the lease's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Notes the lease as folded at `now`; cheap if nothing changed.
    pub fn read(&mut self, lease: Option<&Lease>, now: Instant) {
        let Some(lease) = lease else {
            return;
        };
        if self.seen.as_ref().is_some_and(|seen| seen.lease.last == lease.last) {
            return;
        }
        self.seen = Some(Seen { lease: lease.clone(), at: now });
        if lease.holder != Some(self.own) {
            self.from = None;
            self.claimed = None;
            return;
        }
        if lease.fence == lease.last {
            self.claimed = Some(now);
        }
        self.confirm(lease.sequence);
    }

    fn confirm(&mut self, sequence: u64) {
        let sent = self.sent.iter().find(|sent| sent.sequence == sequence);
        if let Some(sent) = sent {
            self.from = Some(sent.at);
        }
        self.sent.retain(|sent| sent.sequence > sequence);
    }

    /// Returns the claim or renewal to append now, if one is due.
    ///
    /// None is due while an earlier one may still be read back within a renewal's time.
    pub fn wants(&self, now: Instant) -> Option<Body> {
        let pace = self.ttl / RENEWALS;
        let under_way = self.sent.back().is_some_and(|sent| now < sent.at + pace);
        if self.released || under_way {
            return None;
        }
        match &self.seen {
            None => Some(self.claim(None)),
            Some(seen) if seen.lease.holder == Some(self.own) => {
                let early = self.from.is_some_and(|from| now < from + pace);
                (!early).then(|| self.renew(seen.lease.last))
            }
            Some(seen) => {
                let free = seen.free_at();
                (now >= free).then(|| self.claim(Some(seen.lease.last)))
            }
        }
    }

    fn claim(&self, expects: Option<Offset>) -> Body {
        let ttl_ms = self.ttl.as_millis() as u64;
        Body::Claim(Claim { name: self.name.clone(), holder: self.own, expects, ttl_ms })
    }

    fn renew(&self, expects: Offset) -> Body {
        Body::Renew(Renew { name: self.name.clone(), holder: self.own, expects })
    }

    /// Returns the release to append when the process stops, if it holds the lease.
    ///
    /// From here on the process no longer holds it.
    pub fn release(&mut self) -> Option<Body> {
        self.from = None;
        self.released = true;
        let seen = self.seen.as_ref().filter(|seen| seen.lease.holder == Some(self.own))?;
        let expects = seen.lease.last;
        Some(Body::Release(Release { name: self.name.clone(), holder: self.own, expects }))
    }

    /// Notes that the append with this sequence is first sent at `now`; a retry is not noted.
    pub fn sent(&mut self, sequence: u64, now: Instant) {
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(Sent { sequence, at: now });
    }

    /// Returns the fencing number of this process's last claim, as far as it has read; it may
    /// have lapsed.
    pub fn fence(&self) -> Option<Fence> {
        let seen = self.seen.as_ref().filter(|seen| seen.lease.holder == Some(self.own))?;
        Some(seen.lease.fence)
    }

    /// Returns the fencing number if the lease is held at `now`.
    pub fn holds(&self, now: Instant) -> Option<Fence> {
        let until = self.from? + self.held_for();
        let fence = self.seen.as_ref().map(|seen| seen.lease.fence)?;
        (now < until).then_some(fence)
    }

    /// Returns the fencing number if an order may be given at `now`.
    ///
    /// An upstream that ignores fencing numbers may still carry out an order of the holder
    /// before, so the claimant waits out the `longest` order first.
    pub fn may_order(&self, fencing: Fencing, longest: Duration, now: Instant) -> Option<Fence> {
        let fence = self.holds(now)?;
        let waited = match fencing {
            Fencing::Checked => true,
            Fencing::Ignored => self.claimed.is_some_and(|claimed| now >= claimed + longest),
        };
        waited.then_some(fence)
    }

    /// Time for which the lease counts as held, from the send on.
    fn held_for(&self) -> Duration {
        self.ttl.saturating_sub(self.ttl / MARGIN_PART)
    }
}

impl Seen {
    /// Returns the moment from which a rival may claim.
    fn free_at(&self) -> Instant {
        if self.lease.holder.is_none() {
            return self.at;
        }
        let ttl = Duration::from_millis(self.lease.ttl_ms);
        self.at + ttl + ttl / MARGIN_PART
    }
}
