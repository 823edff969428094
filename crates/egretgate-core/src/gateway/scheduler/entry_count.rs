//! Which entries count when limits of the fleet are divided.

use std::net::SocketAddr;
use std::time::Instant;

use super::Scheduler;
use crate::gateway::counted_entries::{EntryChange, ListedEntry};
use crate::gateway::peer::name_hash;
use crate::gateway::retry_limit::RetryLimit;

/// What an entry must do about the list of entries after a reading.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryUpkeep {
    /// True if it must write its own record again.
    pub renew: bool,
    /// Listed entries whose records it must remove.
    pub lost: Vec<ListedEntry>,
    /// Time by which it must read again; `None` if none is due.
    pub read_by: Option<Instant>,
}

impl Scheduler {
    /// Records the entries that the directory lists; `own` is the address of this one.
    pub fn record_entries(
        &mut self,
        own: SocketAddr,
        listed: &[ListedEntry],
        now: Instant,
    ) -> EntryUpkeep {
        self.counted.record_listing(listed, now);
        let hash = |address: SocketAddr| name_hash(&address.to_string());
        let others = self.counted.addresses().map(hash).collect();
        self.set_entries(hash(own), others);
        self.set_peer_count(self.counted.count());
        let lost =
            if self.is_leader(now) { self.counted.lost().cloned().collect() } else { Vec::new() };
        EntryUpkeep { renew: self.must_renew(now), lost, read_by: self.counted.next_end() }
    }

    /// Records that the list of entries could not be read.
    pub const fn record_entries_unreadable(&mut self) {
        self.counted.record_unreadable();
    }

    /// Records that this entry has written its own record; the call began at `begun`.
    pub fn record_own_renewal(&mut self, begun: Instant) {
        self.counted.record_own_renewal(begun);
    }

    /// Returns true if this entry must write its own record again, since it misses reports.
    pub fn must_renew(&self, now: Instant) -> bool {
        self.counted.must_renew(now)
    }

    /// Returns true if the others still leave this entry its part of every limit, as far as it can
    /// tell.
    pub fn has_part(&self, now: Instant) -> bool {
        self.counted.has_part(now)
    }

    /// Returns the entries that stopped counting or count again since the last call.
    pub fn take_entry_changes(&mut self) -> Vec<EntryChange> {
        self.counted.take_changes()
    }

    /// Returns the retry budget that this entry may use a part of.
    pub(super) fn own_retry_limit(&self, now: Instant) -> RetryLimit {
        if self.has_part(now) { self.retry_limit } else { self.retry_limit.without_slack() }
    }
}
