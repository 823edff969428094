//! What the scheduler takes the other entries to do.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::gateway::peer::name_hash;
use crate::gateway::share::Share;
use crate::gateway::refusals::Excess;

/// Age at which what is derived from other entries' reports is worked out anew.
const REFRESH: Duration = Duration::from_millis(20);
/// Sorts before every name.
const FIRST_NAME: &str = "";
/// Sorts after every name.
const LAST_NAME: &str = "\u{10ffff}";

impl Scheduler {
    /// Returns the number of entries, this one among them.
    pub(super) fn entries(&self) -> usize {
        self.peers.known().max(self.expected.unwrap_or(0)) + 1
    }

    /// Returns the number of entries that are taken to serve callers though they can't be heard.
    ///
    /// An entry that hears few of the others and can't read the directory either is cut off rather
    /// than the only one left. Otherwise those that can't be heard are taken to be gone.
    fn unheard(&self, now: Instant) -> usize {
        let others = self.entries() - 1;
        let heard = self.peers.fresh(now).min(others);
        if !self.in_touch && heard * 2 < others { others - heard } else { 0 }
    }

    /// Returns true if this entry acts for all: the first of those that hear each other.
    pub(super) fn leads(&self, now: Instant) -> bool {
        self.rank(now) == 0 && self.unheard(now) == 0
    }

    /// Takes in what other entries reported since the last look.
    pub(super) fn refresh(&mut self, now: Instant) {
        if self.refreshed.is_some_and(|last| now.duration_since(last) < REFRESH) {
            return;
        }
        self.refreshed = Some(now);
        self.turn.pass(now);
        let unheard = self.unheard(now);
        let part = unheard as f64 / self.entries() as f64;
        for standing in self.upstreams.values_mut() {
            let assumed = (f64::from(standing.listed.slots) * part).floor() as u32;
            standing.others = self.peers.running(&standing.listed.id, now) + assumed;
        }
        for (service, backlog) in &mut self.services {
            let demand = f64::from(backlog.running) + backlog.lane.len() as f64;
            let strains = backlog.strains.ranks(now).chain(self.peers.strains(service, now));
            backlog.excess = Excess::new(strains);
            let others = self.peers.demand(service, now);
            // Those that can't be heard are taken to have as much to do as this one. A part of them,
            // another one at each entry, goes before it, so that entries which hear nothing don't
            // take the same slots.
            let before = (name_hash(&self.name) % (unheard as u64 + 1)) as usize;
            let assumed = (0..unheard)
                .map(|index| (if index < before { FIRST_NAME } else { LAST_NAME }, demand));
            backlog.share = Some(Share::new(&self.name, demand, others.chain(assumed)));
        }
    }
}
