//! Quarantine of request digests, folded from records of deaths, clearings and lifts.

use std::collections::VecDeque;

use crate::fold::image::{QuarantineImage, SuspectImage};
use crate::ids::{Digest, Offset};
use crate::poison::{self, QuarantineOptions, QuarantineState, QuarantineTable};
use crate::record::body::{Clear, Death, Lift};

/// Bounds of the table. Its logical time is the log offset, so that every process forgets the same
/// digests.
const QUARANTINE_OPTIONS: QuarantineOptions = QuarantineOptions {
    capacity: 4_096,
    max_deaths: 1_024,
    suspect_ttl: 1_000_000,
    quarantine_ttl: 30_000_000,
};

/// Largest number of reported deaths that are not in the log yet.
const MAX_PENDING_DEATHS: usize = 1_024;

/// Digests of requests that were in flight when upstreams died.
#[derive(Debug, Clone, PartialEq)]
pub struct Quarantine {
    table: QuarantineTable,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self { table: QuarantineTable::new(QUARANTINE_OPTIONS) }
    }
}

impl Quarantine {
    /// Returns true if requests with this digest are refused.
    pub fn is_quarantined(&self, digest: &Digest) -> bool {
        self.table.state(*digest) == QuarantineState::Quarantined
    }

    /// Returns true if requests with this digest must run exclusively, with no other request
    /// beside them.
    pub fn is_suspect(&self, digest: &Digest) -> bool {
        self.table.state(*digest) == QuarantineState::Suspect
    }

    /// Returns true if the death was applied and is still remembered.
    pub fn contains_death(&self, death: poison::Death) -> bool {
        self.table.deaths().any(|known| known == death)
    }

    /// Returns every suspected or quarantined digest in order, with the number of its deaths (1 or
    /// 2).
    pub fn iter(&self) -> impl Iterator<Item = (Digest, u32)> {
        self.table
            .entries()
            .map(|entry| (entry.digest, 1 + u32::from(entry.second_death.is_some())))
    }

    /// Returns the quarantined digests in order.
    pub fn quarantined(&self) -> impl Iterator<Item = Digest> {
        let quarantined = self.table.entries().filter(|entry| entry.second_death.is_some());
        quarantined.map(|entry| entry.digest)
    }

    /// Adds a death.
    pub(crate) fn add_death(&mut self, offset: Offset, death: &Death) {
        let digests = death.digests.iter().filter_map(|bytes| Digest::from_slice(bytes));
        let digests = digests.collect::<Vec<_>>();
        let id = poison::Death::new(&death.upstream, death.incarnation, death.sequence);
        self.table.record_death(id, &digests, offset);
    }

    /// Clears suspects that completed.
    pub(crate) fn clear(&mut self, clear: &Clear) {
        for digest in clear.digests.iter().filter_map(|bytes| Digest::from_slice(bytes)) {
            self.table.record_completion(digest);
        }
    }

    /// Removes a digest; returns false if it is neither suspected nor quarantined.
    pub(crate) fn lift(&mut self, lift: &Lift) -> bool {
        Digest::from_slice(&lift.digest).is_some_and(|digest| self.table.lift(digest))
    }

    pub(crate) fn image(&self) -> QuarantineImage {
        let bytes = |digest: Digest| digest.as_bytes().to_vec();
        let suspect = |entry: &poison::QuarantineEntry| SuspectImage {
            digest: bytes(entry.digest),
            first: bytes(entry.first_death.digest()),
            second: entry.second_death.map(|death| bytes(death.digest())),
            offset: entry.last_death,
        };
        QuarantineImage {
            suspects: self.table.entries().map(suspect).collect(),
            deaths: self.table.deaths().map(|death| bytes(death.digest())).collect(),
        }
    }

    pub(crate) fn from_image(image: QuarantineImage) -> Self {
        let death = |bytes: &Vec<u8>| Digest::from_slice(bytes).map(poison::Death::from_digest);
        let entry = |image: &SuspectImage| {
            let digest = Digest::from_slice(&image.digest)?;
            let second_death = image.second.as_ref().and_then(death);
            Some(poison::QuarantineEntry {
                digest,
                first_death: death(&image.first)?,
                second_death,
                last_death: image.offset,
            })
        };
        let entries = image.suspects.iter().filter_map(entry);
        let deaths = image.deaths.iter().filter_map(death);
        Self { table: QuarantineTable::from_entries(QUARANTINE_OPTIONS, entries, deaths) }
    }
}

/// The folded quarantine together with deaths that were reported but are not in the log yet.
#[derive(Debug, Clone, Default)]
pub struct QuarantineView {
    /// The folded quarantine with every death of `pending` added.
    combined: Quarantine,
    /// Deaths that are not in the log yet, oldest first; at most [`MAX_PENDING_DEATHS`].
    pending: VecDeque<(poison::Death, Vec<Digest>)>,
}

impl QuarantineView {
    /// Adds a reported death; returns false if it was known.
    pub fn add_death(&mut self, death: poison::Death, digests: Vec<Digest>, at: Offset) -> bool {
        if self.combined.contains_death(death) {
            return false;
        }
        self.combined.table.record_death(death, &digests, at);
        if self.pending.len() >= MAX_PENDING_DEATHS {
            self.pending.pop_front();
        }
        self.pending.push_back((death, digests));
        true
    }

    /// Replaces the folded quarantine by a newer one at offset `at`, and adds the deaths that are
    /// still pending.
    pub fn rebase(&mut self, folded: &Quarantine, at: Offset) {
        self.pending.retain(|(death, _)| !folded.contains_death(*death));
        self.combined = folded.clone();
        for (death, digests) in &self.pending {
            self.combined.table.record_death(*death, digests, at);
        }
    }

    /// Returns whether a digest is suspected or quarantined.
    pub fn state(&self, digest: Digest) -> QuarantineState {
        self.combined.table.state(digest)
    }
}
