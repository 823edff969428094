//! What the scheduler takes the other entries to do.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::gateway::peer::name_hash;
use crate::gateway::refusals::ExcessRefusals;
use crate::gateway::share::SlotShare;

/// Age at which what is derived from other entries' reports is worked out anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Sorts before every name.
const FIRST_NAME: &str = "";
/// Sorts after every name.
const LAST_NAME: &str = "\u{10ffff}";

impl Scheduler {
    /// Returns the number of entries, this one among them.
    pub(super) fn entries(&self) -> usize {
        self.peers.known_count().max(self.peer_count.unwrap_or(0)) + 1
    }

    /// Returns the number of entries that are taken to serve callers though they can't be heard.
    ///
    /// An entry that hears few of the others and can't read the directory either is cut off rather
    /// than the only one left. Otherwise those that can't be heard are taken to be gone.
    fn unreachable_peers(&self, now: Instant) -> usize {
        let others = self.entries() - 1;
        let heard = self.peers.reachable_count(now).min(others);
        if !self.directory_up && heard * 2 < others { others - heard } else { 0 }
    }

    /// Returns true if this entry acts for all: the first of those that hear each other.
    pub(super) fn is_leader(&self, now: Instant) -> bool {
        self.peer_rank(now) == 0 && self.unreachable_peers(now) == 0
    }

    /// Takes in what other entries reported since the last look.
    pub(super) fn refresh(&mut self, now: Instant) {
        if self.refreshed.is_some_and(|last| now.duration_since(last) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed = Some(now);
        self.time_slice.advance(now);
        let unheard = self.unreachable_peers(now);
        let part = unheard as f64 / self.entries() as f64;
        for standing in self.upstreams.values_mut() {
            let assumed = (f64::from(standing.listed.slots) * part).floor() as u32;
            standing.peer_running = self.peers.running(&standing.listed.id, now) + assumed;
        }
        for (service, backlog) in &mut self.services {
            let demand = f64::from(backlog.running) + backlog.queue.len() as f64;
            let strains =
                backlog.refusals.by_priority(now).chain(self.peers.refusals(service, now));
            backlog.excess_refusals = ExcessRefusals::new(strains);
            let others = self.peers.demand(service, now);
            // Those that can't be heard are taken to have as much to do as this one. A part of them,
            // another one at each entry, goes before it, so that entries which hear nothing don't
            // take the same slots.
            let before = (name_hash(&self.name) % (unheard as u64 + 1)) as usize;
            let assumed = (0..unheard)
                .map(|index| (if index < before { FIRST_NAME } else { LAST_NAME }, demand));
            backlog.share = Some(SlotShare::new(&self.name, demand, others.chain(assumed)));
        }
    }
}
