//! Quarantine of request digests, as folded from deaths and lifts.
//!
//! A digest that was in flight in two deaths is quarantined; after one death it is a suspect.
//! Both tables are bounded: the entry with the oldest offset gives way.

use std::collections::BTreeMap;

use crate::fold::image::{QuarantineImage, SuspectImage};
use crate::ids::{Digest, Offset};
use crate::record::body::{Death, Lift};

/// Most suspects and most quarantined digests kept.
const MAX_DIGESTS: usize = 4_096;
/// Deaths after which a digest is quarantined.
const DEATHS: u32 = 2;

/// Digests that were in flight when upstreams died.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Digest, Suspect>,
}

/// A digest's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Suspect {
    deaths: u32,
    offset: Offset,
}

impl Quarantine {
    /// Returns true if requests with this digest are refused.
    pub fn is_quarantined(&self, digest: &Digest) -> bool {
        self.suspects.get(digest).is_some_and(|suspect| suspect.deaths >= DEATHS)
    }

    /// Returns true if requests with this digest run alone.
    pub fn is_suspect(&self, digest: &Digest) -> bool {
        self.suspects.get(digest).is_some_and(|suspect| suspect.deaths < DEATHS)
    }

    /// Returns every digest held with the number of its deaths, in order.
    pub fn iter(&self) -> impl Iterator<Item = (Digest, u32)> {
        self.suspects.iter().map(|(digest, suspect)| (*digest, suspect.deaths))
    }

    /// Returns the quarantined digests in order.
    pub fn quarantined(&self) -> impl Iterator<Item = Digest> {
        let held = self.suspects.iter().filter(|(_, suspect)| suspect.deaths >= DEATHS);
        held.map(|(digest, _)| *digest)
    }

    /// Notes a death.
    pub(crate) fn death(&mut self, offset: Offset, death: &Death) {
        let digests = death.digests.iter().filter_map(|bytes| Digest::from_slice(bytes));
        let mut digests = digests.collect::<Vec<_>>();
        digests.sort_unstable();
        digests.dedup();
        for digest in digests {
            let suspect = self.suspects.entry(digest).or_insert(Suspect { deaths: 0, offset });
            suspect.deaths += 1;
            suspect.offset = offset;
        }
        self.shrink();
    }

    /// Ends a quarantine; returns false if the digest is not known.
    pub(crate) fn lift(&mut self, lift: &Lift) -> bool {
        let digest = Digest::from_slice(&lift.digest);
        digest.is_some_and(|digest| self.suspects.remove(&digest).is_some())
    }

    fn shrink(&mut self) {
        while self.suspects.len() > MAX_DIGESTS {
            let key = |(digest, suspect): &(&Digest, &Suspect)| {
                (suspect.deaths, suspect.offset, **digest)
            };
            let Some(digest) = self.suspects.iter().min_by_key(key).map(|(digest, _)| *digest)
            else {
                return;
            };
            self.suspects.remove(&digest);
        }
    }

    pub(crate) fn image(&self) -> QuarantineImage {
        let image = |(digest, suspect): (&Digest, &Suspect)| SuspectImage {
            digest: digest.as_bytes().to_vec(),
            deaths: suspect.deaths,
            offset: suspect.offset,
        };
        QuarantineImage { suspects: self.suspects.iter().map(image).collect() }
    }

    pub(crate) fn from_image(image: QuarantineImage) -> Self {
        let suspect = |image: SuspectImage| {
            let digest = Digest::from_slice(&image.digest)?;
            Some((digest, Suspect { deaths: image.deaths, offset: image.offset }))
        };
        Self { suspects: image.suspects.into_iter().filter_map(suspect).collect() }
    }
}
