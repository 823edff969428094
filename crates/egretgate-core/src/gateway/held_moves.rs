//! The declared moves of traffic while the directory's store comes back from an older copy.
//!
//! Moves have no version, so a copy without the newest ones looks like a change. What holds is
//! decided by what this entry has seen.

use std::collections::VecDeque;
use std::time::Instant;

use super::bounded_time::after;
use super::catalog::MoveSpec;

/// Maximum number of replaced moves that are remembered.
const MAX_REPLACED: usize = 64;

/// The declared moves in force, across the beginnings of eras.
#[derive(Debug, Clone, Default)]
pub struct HeldMoves {
    /// The moves in force, at most one per service.
    current: Vec<MoveSpec>,
    /// Moves that are no longer in force, the newest last; at most [`MAX_REPLACED`].
    replaced: VecDeque<MoveSpec>,
    /// Moves in `current` that the present era has not confirmed, with the end of their hold.
    unconfirmed: Vec<(MoveSpec, Instant)>,
}

impl HeldMoves {
    /// Begins an era. A move in force holds until the directory lists it again or lists one that
    /// was never in force, at most for the time within which it must end.
    pub fn begin_era(&mut self, now: Instant) {
        let held = self.current.iter().map(|spec| (spec.clone(), after(now, spec.within)));
        self.unconfirmed = held.collect();
    }

    /// Returns the next end of a hold, at which the moves must be read again.
    pub fn until(&self) -> Option<Instant> {
        self.unconfirmed.iter().map(|(_, until)| *until).min()
    }

    /// Returns the number of moves that the present era has not confirmed.
    pub const fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Replaces the moves by those that were read and returns the moves in force from then on.
    pub fn apply(&mut self, mut read: Vec<MoveSpec>, now: Instant) -> Vec<MoveSpec> {
        let replaced = &self.replaced;
        self.unconfirmed.retain(|(held, until)| {
            let listed = read.iter().find(|spec| spec.service == held.service);
            let is_older = listed.is_none_or(|spec| spec != held && replaced.contains(spec));
            is_older && now < *until
        });
        for (held, _) in &self.unconfirmed {
            read.retain(|spec| spec.service != held.service);
            read.push(held.clone());
        }
        for old in std::mem::take(&mut self.current) {
            if !read.contains(&old) && !self.replaced.contains(&old) {
                self.replaced.push_back(old);
            }
        }
        while self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
        self.current = read;
        self.current.clone()
    }
}
