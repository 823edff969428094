//! Which entries count when limits of the whole fleet are divided.
//!
//! An entry that can't be reached may have stopped for good, or may be cut off and still serve
//! callers with its part of every limit. Entries show that they live by their reports and, while
//! they miss reports of others, by renewing their records in the directory. One that does neither
//! stops counting. One that can do neither gives up its part before the others stop counting it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::peer::PEER_EXPIRY;
use crate::{InstanceId, Offset};

/// Time for which an entry counts after its record was written.
const RECORD_EXPIRY: Duration = Duration::from_secs(8);
/// Time after its last writing of its record for which an entry relies on its part. It is shorter
/// than [`RECORD_EXPIRY`], as another entry may have read the record before.
const OWN_RECORD_EXPIRY: Duration = Duration::from_secs(6);
/// Time after its last report for which an entry relies on another one to have heard this one, and
/// to leave it its part. It is shorter than [`PEER_EXPIRY`] for the same reason.
const OWN_EXPIRY: Duration = Duration::from_secs(18);
/// Silence of another entry after which this one renews its record.
const SILENCE: Duration = Duration::from_secs(3);
/// Interval at which a record is renewed: several fit into the time for which it counts.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_500);

/// The record of an entry in the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEntry {
    /// Name.
    pub name: InstanceId,
    /// Address for reports.
    pub address: SocketAddr,
    /// Position of the record; each writing changes it.
    pub offset: Offset,
}

/// An entry that stopped counting or counts again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryChange {
    /// Entry.
    pub name: InstanceId,
    /// False if it stopped counting.
    pub counts: bool,
    /// Time since its last report; `None` if there was none.
    pub silent: Option<Duration>,
    /// Time since its record was last found rewritten; `None` if it was never listed.
    pub unrenewed: Option<Duration>,
}

/// What is known of one other entry.
#[derive(Debug, Clone, Default)]
struct Presence {
    /// Its last record that was read.
    record: Option<ListedEntry>,
    /// True if the last reading listed it.
    is_listed: bool,
    /// Time from which it was known.
    known_since: Option<Instant>,
    /// Time of its last report.
    heard: Option<Instant>,
    /// Time at which its record was last found rewritten.
    renewed: Option<Instant>,
    /// True once it has stopped counting, until it shows that it lives.
    is_lost: bool,
}

impl Presence {
    /// Returns the time until which it counts.
    fn end(&self) -> Option<Instant> {
        let heard = self.heard.map(|heard| heard + PEER_EXPIRY);
        heard.max(self.renewed.map(|renewed| renewed + RECORD_EXPIRY))
    }

    /// Returns true if its reports are missing.
    fn is_missed(&self, now: Instant) -> bool {
        let since = self.heard.max(self.known_since);
        since.is_none_or(|since| now.saturating_duration_since(since) >= SILENCE)
    }

    fn change(&self, name: &InstanceId, now: Instant) -> EntryChange {
        let age = |time| now.saturating_duration_since(time);
        EntryChange {
            name: name.clone(),
            counts: !self.is_lost,
            silent: self.heard.map(age),
            unrenewed: self.renewed.map(age),
        }
    }
}

/// The other entries that count, as one entry knows them.
#[derive(Debug, Clone, Default)]
pub struct CountedEntries {
    own: InstanceId,
    entries: BTreeMap<InstanceId, Presence>,
    /// First of the readings of the directory that have succeeded without a failure between; `None`
    /// after a failure.
    readable_since: Option<Instant>,
    /// Time of this entry's last writing of its own record.
    own_renewed: Option<Instant>,
    changes: Vec<EntryChange>,
}

impl CountedEntries {
    /// Returns what the entry `own` knows before the first reading.
    pub fn new(own: &str) -> Self {
        Self { own: own.to_owned(), ..Self::default() }
    }

    /// Records a report of another entry.
    pub fn record_report(&mut self, name: &InstanceId, now: Instant) {
        if !self.entries.contains_key(name) {
            let presence = Presence { known_since: Some(now), ..Presence::default() };
            self.entries.insert(name.clone(), presence);
        }
        if let Some(presence) = self.entries.get_mut(name) {
            presence.heard = Some(now);
            if std::mem::take(&mut presence.is_lost) {
                self.changes.push(presence.change(name, now));
            }
        }
    }

    /// Records a reading of the directory.
    ///
    /// Entries stop counting only here: while the directory can't be read, none can be told from one
    /// that is cut off.
    pub fn record_listing(&mut self, listed: &[ListedEntry], now: Instant) {
        let readable_since = *self.readable_since.get_or_insert(now);
        for presence in self.entries.values_mut() {
            presence.is_listed = false;
        }
        for entry in listed.iter().filter(|entry| entry.name != self.own) {
            let presence = self.entries.entry(entry.name.clone()).or_default();
            presence.is_listed = true;
            presence.known_since.get_or_insert(now);
            if presence.record.as_ref() == Some(entry) {
                continue;
            }
            presence.record = Some(entry.clone());
            presence.renewed = Some(now);
            if std::mem::take(&mut presence.is_lost) {
                self.changes.push(presence.change(&entry.name, now));
            }
        }
        let can_tell = now >= readable_since + RECORD_EXPIRY;
        for (name, presence) in &mut self.entries {
            let has_ended = presence.end().is_none_or(|end| now >= end);
            if can_tell && has_ended && !presence.is_lost {
                presence.is_lost = true;
                self.changes.push(presence.change(name, now));
            }
        }
        self.entries.retain(|_, presence| !presence.is_lost || presence.is_listed);
    }

    /// Records that the directory could not be read.
    pub const fn record_unreadable(&mut self) {
        self.readable_since = None;
    }

    /// Records that this entry has written its own record; the call began at `begun`.
    pub fn record_own_renewal(&mut self, begun: Instant) {
        self.own_renewed = self.own_renewed.max(Some(begun));
    }

    /// Returns the number of other entries that count.
    pub fn count(&self) -> usize {
        self.counted().count()
    }

    /// Returns the addresses of the entries that count, as far as they are known.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.counted().filter_map(|presence| presence.record.as_ref()).map(|record| record.address)
    }

    /// Returns the listed entries that no longer count.
    pub fn lost(&self) -> impl Iterator<Item = &ListedEntry> {
        let lost = self.entries.values().filter(|presence| presence.is_lost && presence.is_listed);
        lost.filter_map(|presence| presence.record.as_ref())
    }

    /// Returns true if this entry must renew its record, since it misses reports of another one.
    pub fn must_renew(&self, now: Instant) -> bool {
        self.counted().any(|presence| presence.is_missed(now))
    }

    /// Returns true if the others still leave this entry its part of every limit, as far as it can
    /// tell.
    pub fn has_part(&self, now: Instant) -> bool {
        let is_heard = |presence: &&Presence| {
            let silent = presence.heard.map(|heard| now.saturating_duration_since(heard));
            silent.is_some_and(|silent| silent < OWN_EXPIRY)
        };
        let heard = self.counted().filter(is_heard).count() + 1;
        let all = self.count() + 1;
        let is_renewed = self
            .own_renewed
            .is_some_and(|renewed| now.saturating_duration_since(renewed) < OWN_RECORD_EXPIRY);
        is_renewed || heard * 2 > all
    }

    /// Returns the time of the next reading after which an entry may stop counting.
    pub fn next_end(&self) -> Option<Instant> {
        let readable = self.readable_since? + RECORD_EXPIRY;
        self.counted().filter_map(Presence::end).min().map(|end| end.max(readable))
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<EntryChange> {
        std::mem::take(&mut self.changes)
    }

    fn counted(&self) -> impl Iterator<Item = &Presence> {
        self.entries.values().filter(|presence| !presence.is_lost)
    }
}
