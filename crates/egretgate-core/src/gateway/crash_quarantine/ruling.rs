//! Decisions on suspects, and how those of several entries are merged.

use std::cmp::Ordering;

/// A decision on a suspect. Of two, the greater one holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ruling {
    /// Number of rulings on the suspect: odd while it is quarantined.
    pub number: u32,
    /// Trials since then; one that ends without a result counts twice.
    pub trials: u32,
    /// Trials since then under which an upstream crashed.
    pub failed: u32,
}

impl Ruling {
    /// Returns the ruling that follows on this one.
    pub(super) const fn next(self) -> Self {
        Self { number: self.number + 1, trials: 0, failed: 0 }
    }

    /// Returns this ruling and another one merged; the greater number holds.
    pub(super) fn merge(self, other: Self) -> Self {
        match self.number.cmp(&other.number) {
            Ordering::Less => other,
            Ordering::Greater => self,
            Ordering::Equal => Self {
                number: self.number,
                trials: self.trials.max(other.trials),
                failed: self.failed.max(other.failed),
            },
        }
    }

    /// Returns true if the suspect is quarantined.
    pub const fn is_quarantined(self) -> bool {
        self.number % 2 == 1
    }
}
