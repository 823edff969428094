//! Which entry may start a trial of a suspect.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{MAX_REPORT_AGE, RECORD_TTL};
use crate::gateway::peer::NameHash;

/// Time for which one entry may start the trial before the next one's turn.
const TRIAL_TURN: Duration = Duration::from_secs(1);
/// Time after its last refusal for which an entry counts as one that refuses requests now.
const ACTIVE_TIME: Duration = Duration::from_secs(5);

/// The refusals by which entries claim a turn for a trial.
#[derive(Debug, Clone, Default)]
pub(super) struct Claims {
    /// Refusals of this entry.
    own: Option<OwnClaim>,
    /// Time of the last refusal of each other entry, within [`RECORD_TTL`].
    peers: HashMap<NameHash, Instant>,
}

/// The refusals of this entry.
#[derive(Debug, Clone, Copy)]
struct OwnClaim {
    first: Instant,
    /// Time since which they follow each other within [`ACTIVE_TIME`].
    active_since: Instant,
    last: Instant,
}

impl Claims {
    pub(super) fn record_own(&mut self, now: Instant) {
        let claim = self.own.get_or_insert(OwnClaim { first: now, active_since: now, last: now });
        if now >= claim.last + ACTIVE_TIME {
            claim.active_since = now;
        }
        claim.last = now;
    }

    pub(super) fn record_peer(&mut self, entry: NameHash, at: Instant) {
        let last = self.peers.entry(entry).or_insert(at);
        *last = at.max(*last);
    }

    /// Forgets the refusals that are long ago, such as those of entries that are gone.
    pub(super) fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, last| now < *last + RECORD_TTL);
    }

    /// Returns the time of the last refusal of any entry.
    pub(super) fn last(&self) -> Option<Instant> {
        self.peers.values().copied().chain(self.own.map(|claim| claim.last)).max()
    }

    pub(super) fn own_age(&self, now: Instant) -> Option<Duration> {
        self.own.map(|claim| now.saturating_duration_since(claim.last))
    }

    /// Returns true if the entry `own` may start a trial at `waited` after trials are allowed.
    ///
    /// Every other turn goes to one of the entries that refuse requests now, so that they don't wait
    /// for those that seldom get one; the rest go to all. A claim counts once all entries know of
    /// it. The first and last quarters of a turn are left free, as entries learn of a ruling at
    /// different times.
    pub(super) fn is_turn(&self, own: NameHash, waited: Duration, now: Instant) -> bool {
        let Some(claim) = self.own else { return false };
        let is_known = |since: Instant| since + MAX_REPORT_AGE <= now;
        let turns = waited.div_duration_f64(TRIAL_TURN);
        if self.peers.is_empty() {
            return is_known(claim.first) && turns >= 0.25;
        }
        if !(0.25..0.75).contains(&turns.fract()) {
            return false;
        }
        let index = turns as usize;
        let is_for_active = index.is_multiple_of(2);
        if !is_known(if is_for_active { claim.active_since } else { claim.first }) {
            return false;
        }
        let takes_part = |last: Instant| !is_for_active || now < last + ACTIVE_TIME;
        let peers = self.peers.iter().filter(|(_, last)| takes_part(**last));
        let (before, after): (Vec<NameHash>, Vec<NameHash>) =
            peers.map(|(peer, _)| *peer).partition(|peer| *peer < own);
        takes_part(claim.last) && index / 2 % (before.len() + after.len() + 1) == before.len()
    }
}
