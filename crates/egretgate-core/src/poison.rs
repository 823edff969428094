//! Quarantine of requests that crash upstreams.
//!
//! The report of an upstream's death lists the digests that were in flight. The first death makes
//! them suspects, which run exclusively, so that a second death identifies its cause and a
//! completion clears the others. A digest that was in flight at two deaths is quarantined.
//!
//! ```
//! use egretgate_core::Digest;
//! use egretgate_core::poison::{Death, QuarantineOptions, QuarantineState, QuarantineTable};
//!
//! let (culprit, innocent) = (Digest::of(&[b"culprit"]), Digest::of(&[b"innocent"]));
//! let mut table = QuarantineTable::new(QuarantineOptions::default());
//! table.record_death(Death::new("forecast-7", 1, 1), &[culprit, innocent], 0);
//! assert_eq!(table.state(innocent), QuarantineState::Suspect);
//! table.record_completion(innocent);
//! table.record_death(Death::new("forecast-9", 4, 1), &[culprit], 100);
//! assert_eq!(table.state(culprit), QuarantineState::Quarantined);
//! assert_eq!(table.state(innocent), QuarantineState::Clear);
//! ```

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{Digest, Incarnation};

/// Identifier of one death of an upstream, by which duplicate reports are recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Death(Digest);

impl Death {
    /// Returns the identifier of death number `sequence` as reported by this incarnation of the
    /// side process of `upstream`.
    pub fn new(upstream: &str, incarnation: Incarnation, sequence: u64) -> Self {
        Self(Digest::of(&[
            upstream.as_bytes(),
            &incarnation.to_le_bytes(),
            &sequence.to_le_bytes(),
        ]))
    }

    /// Returns the identifier with the given digest, as read from a snapshot.
    pub const fn from_digest(digest: Digest) -> Self {
        Self(digest)
    }

    /// Returns the digest that identifies the death.
    pub const fn digest(&self) -> Digest {
        self.0
    }
}

/// Quarantine state of a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// No death.
    Clear,
    /// One death: it runs exclusively.
    Suspect,
    /// Two deaths: it is refused.
    Quarantined,
}

/// One digest in the table, as stored in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Digest of the request.
    pub digest: Digest,
    /// First death in which it was in flight.
    pub first_death: Death,
    /// Second death; `None` for a suspect.
    pub second_death: Option<Death>,
    /// Logical time of the latest death.
    pub last_death: u64,
}

impl QuarantineEntry {
    /// Returns the quarantine state of the digest.
    pub const fn state(&self) -> QuarantineState {
        if self.second_death.is_some() {
            QuarantineState::Quarantined
        } else {
            QuarantineState::Suspect
        }
    }
}

/// Bounds of a [`QuarantineTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Maximum number of digests; at least 1.
    pub capacity: usize,
    /// Maximum number of deaths kept to recognize duplicates.
    pub max_deaths: usize,
    /// Logical time after which a suspect is removed.
    pub suspect_ttl: u64,
    /// Logical time after which a quarantined digest is removed.
    pub quarantine_ttl: u64,
}

impl Default for QuarantineOptions {
    /// Logical time in milliseconds: an hour for suspects, a day for quarantined digests.
    fn default() -> Self {
        Self {
            capacity: 4096,
            max_deaths: 1024,
            suspect_ttl: 3_600_000,
            quarantine_ttl: 86_400_000,
        }
    }
}

/// Table of suspected and quarantined digests.
///
/// A deterministic fold: the same events in the same order give equal tables on all processes. The
/// table reads no clock: logical time is a number that the events carry, such as the time in a
/// record or its offset. Equal tables give equal snapshots through [`QuarantineTable::entries`] and
/// [`QuarantineTable::deaths`].
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineTable {
    options: QuarantineOptions,
    /// At most `options.capacity` entries.
    entries: BTreeMap<Digest, QuarantineEntry>,
    /// Deaths already counted, oldest first; at most `options.max_deaths`.
    deaths: VecDeque<Death>,
}

impl QuarantineTable {
    /// Returns an empty table.
    pub fn new(options: QuarantineOptions) -> Self {
        let options = QuarantineOptions { capacity: options.capacity.max(1), ..options };
        Self { options, entries: BTreeMap::new(), deaths: VecDeque::new() }
    }

    /// Returns the table with the contents of a snapshot.
    pub fn from_entries(
        options: QuarantineOptions,
        entries: impl IntoIterator<Item = QuarantineEntry>,
        deaths: impl IntoIterator<Item = Death>,
    ) -> Self {
        let mut table = Self::new(options);
        table.entries = entries.into_iter().map(|entry| (entry.digest, entry)).collect();
        table.deaths = deaths.into_iter().collect();
        table.evict();
        table
    }

    /// Records a death with the digests in flight; returns those that it quarantined.
    ///
    /// A duplicate report changes nothing.
    pub fn record_death(&mut self, death: Death, digests: &[Digest], at: u64) -> Vec<Digest> {
        if self.deaths.contains(&death) {
            return Vec::new();
        }
        self.expire(at);
        self.deaths.push_back(death);
        let mut quarantined = Vec::new();
        for &digest in digests {
            if self.count_death(digest, death, at) {
                quarantined.push(digest);
            }
        }
        self.evict();
        quarantined
    }

    /// Records that a request completed, which clears a suspect; returns true if it did.
    ///
    /// A quarantined digest stays quarantined until an operator lifts it or it expires.
    pub fn record_completion(&mut self, digest: Digest) -> bool {
        let cleared = self.state(digest) == QuarantineState::Suspect;
        if cleared {
            self.entries.remove(&digest);
        }
        cleared
    }

    /// Removes a digest at an operator's request; returns false if it was not in the table.
    pub fn lift(&mut self, digest: Digest) -> bool {
        self.entries.remove(&digest).is_some()
    }

    /// Removes the digests that are expired at the logical time `at`.
    pub fn expire(&mut self, at: u64) {
        let options = self.options;
        self.entries.retain(|_, entry| {
            let ttl = match entry.state() {
                QuarantineState::Quarantined => options.quarantine_ttl,
                _ => options.suspect_ttl,
            };
            at.saturating_sub(entry.last_death) <= ttl
        });
    }

    /// Returns the quarantine state of a digest.
    pub fn state(&self, digest: Digest) -> QuarantineState {
        self.entries.get(&digest).map_or(QuarantineState::Clear, QuarantineEntry::state)
    }

    /// Returns all entries by digest.
    pub fn entries(&self) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.values()
    }

    /// Returns the deaths kept to recognize duplicates, oldest first.
    pub fn deaths(&self) -> impl Iterator<Item = Death> {
        self.deaths.iter().copied()
    }

    /// Returns the number of digests in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Counts a death for a digest; returns true if that quarantined it.
    fn count_death(&mut self, digest: Digest, death: Death, at: u64) -> bool {
        let new =
            QuarantineEntry { digest, first_death: death, second_death: None, last_death: at };
        let entry = self.entries.entry(digest).or_insert(new);
        entry.last_death = entry.last_death.max(at);
        if entry.first_death == death || entry.second_death.is_some() {
            return false;
        }
        entry.second_death = Some(death);
        true
    }

    /// Removes entries beyond the table's bounds: suspects first, then the oldest latest death,
    /// then the lowest digest.
    fn evict(&mut self) {
        while self.deaths.len() > self.options.max_deaths {
            self.deaths.pop_front();
        }
        let excess = self.entries.len().saturating_sub(self.options.capacity);
        if excess == 0 {
            return;
        }
        let eviction_order = |entry: &QuarantineEntry| {
            (entry.second_death.is_some(), entry.last_death, entry.digest)
        };
        let mut ordered: Vec<_> = self.entries.values().map(eviction_order).collect();
        ordered.sort_unstable();
        for (.., digest) in &ordered[..excess] {
            self.entries.remove(digest);
        }
    }
}
