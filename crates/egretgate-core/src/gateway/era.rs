//! The era of the directory, which rises when its store comes back from an older copy.
//!
//! Within an era offsets only rise. In a new one the newest records may be gone, and their offsets
//! are given to other records. Offsets and readings of different eras can't be compared.

use std::time::{Duration, Instant};

/// Number of an era of the directory; rises by one with each older copy.
pub type Era = u64;

/// Silence of an era after which a lower one is believed: until then, a lower one is that of an
/// answer that was delayed, or of a part of the store that hasn't come back yet.
pub const ERA_TIMEOUT: Duration = Duration::from_secs(5);

/// What an answer of the directory states of its era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StatedEra {
    /// The answer belongs to this era.
    Number(Era),
    /// The answer states none.
    #[default]
    Missing,
    /// The answer states something that is no number.
    Invalid,
}

/// What an answer's era means for its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraVerdict {
    /// The answer belongs to the era in force, or states none.
    Current,
    /// The answer begins an era: the first one, a higher one, or one lower than an era that has
    /// been silent for [`ERA_TIMEOUT`].
    Begins {
        /// The era before.
        before: Option<Era>,
        /// The era that begins.
        era: Era,
    },
    /// The answer belongs to an older copy and must not be used.
    Outdated {
        /// Era of the answer.
        stated: Era,
        /// The era in force.
        era: Era,
    },
}

/// The era in force, as one entry knows it from answers and from the readings of other entries.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    /// The era with the latest time at which it is known to have been in force.
    current: Option<(Era, Instant)>,
}

impl EraTracker {
    /// Returns the era in force; `None` if no answer has stated one.
    pub fn era(&self) -> Option<Era> {
        self.current.map(|(era, _)| era)
    }

    /// Records what an answer that was received at `now` states.
    pub fn record_answer(&mut self, stated: StatedEra, now: Instant) -> EraVerdict {
        match stated {
            StatedEra::Number(era) => self.record(era, now, now),
            // Nothing is known against the answer, so the entry goes on as before.
            StatedEra::Missing | StatedEra::Invalid => EraVerdict::Current,
        }
    }

    /// Records the era of a reading that another entry made at `read_at`.
    ///
    /// A reading older than [`ERA_TIMEOUT`] proves nothing: its era may have ended since.
    pub fn record_peer(&mut self, era: Era, read_at: Instant, now: Instant) -> EraVerdict {
        let is_recent = now.saturating_duration_since(read_at) < ERA_TIMEOUT;
        match self.current {
            Some((current, _)) if era != current && !(is_recent && era > current) => {
                EraVerdict::Outdated { stated: era, era: current }
            }
            _ => self.record(era, read_at, now),
        }
    }

    fn record(&mut self, era: Era, seen_at: Instant, now: Instant) -> EraVerdict {
        match &mut self.current {
            Some((current, last_seen)) if *current == era => {
                *last_seen = (*last_seen).max(seen_at);
                EraVerdict::Current
            }
            Some((current, last_seen))
                if era < *current && now.saturating_duration_since(*last_seen) < ERA_TIMEOUT =>
            {
                EraVerdict::Outdated { stated: era, era: *current }
            }
            current => {
                let before = current.replace((era, seen_at)).map(|(before, _)| before);
                EraVerdict::Begins { before, era }
            }
        }
    }
}
