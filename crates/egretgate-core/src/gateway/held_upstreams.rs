//! The list of upstreams while the directory's store comes back from an older copy.
//!
//! The copy may lack upstreams that list themselves again within about two seconds, and may list
//! some that have left or begun to leave since. What the entry knew before holds for that long.
//! Within an era, a record of an upstream that drains may be overwritten by an older one that was
//! written late.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::upstream::{ListedUpstream, Stage};
use crate::UpstreamId;

/// Time after the beginning of an era for which records known before hold. Upstreams that live are
/// back by then.
pub const HOLD_TIME: Duration = Duration::from_millis(2_500);
/// Time for which upstreams that have left are remembered: longer than a copy is old.
const DEPARTED_MEMORY: Duration = Duration::from_mins(1);

/// The list of upstreams in force, across the beginnings of eras.
#[derive(Debug, Clone, Default)]
pub struct HeldUpstreams {
    /// The list in force.
    current: BTreeMap<UpstreamId, ListedUpstream>,
    /// Incarnations that have left the list, with the time.
    departed: Vec<(ListedUpstream, Instant)>,
    /// Upstreams in `current` that the present era has not confirmed; empty without a hold.
    unconfirmed: BTreeSet<UpstreamId>,
    /// End of the hold; `None` if there is none.
    until: Option<Instant>,
}

impl HeldUpstreams {
    /// Begins an era. The list in force holds until its records are confirmed or replaced, for
    /// [`HOLD_TIME`] at most.
    pub fn begin_era(&mut self, now: Instant) {
        self.unconfirmed = self.current.keys().cloned().collect();
        let holds = !self.current.is_empty() || !self.departed.is_empty();
        self.until = holds.then_some(now + HOLD_TIME);
    }

    /// Returns the end of the hold, at which the list must be read again.
    pub const fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns the number of upstreams that the present era has not confirmed.
    pub fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Replaces the list by one that was read and returns the list that is in force from then on.
    pub fn apply(&mut self, read: Vec<ListedUpstream>, now: Instant) -> Vec<ListedUpstream> {
        let ends_hold = self.until.is_some_and(|until| now >= until);
        if ends_hold {
            self.until = None;
            self.unconfirmed.clear();
        }
        self.departed.retain(|(_, at)| now.saturating_duration_since(*at) < DEPARTED_MEMORY);
        let addresses: HashSet<SocketAddr> = read.iter().map(|listed| listed.address).collect();
        let mut list = BTreeMap::new();
        for listed in read {
            if ends_hold {
                list.insert(listed.id.clone(), listed);
            } else if self.until.is_none() {
                list.insert(listed.id.clone(), self.keep_draining(listed));
            } else if let Some(kept) = self.choose(listed) {
                list.insert(kept.id.clone(), kept);
            }
        }
        for id in &self.unconfirmed {
            let Some(held) = self.current.get(id) else { continue };
            // Another upstream has taken over its address, so it is gone.
            if list.contains_key(id) || addresses.contains(&held.address) {
                continue;
            }
            list.insert(id.clone(), held.clone());
        }
        let is_in_list = |old: &ListedUpstream| {
            list.get(&old.id).is_some_and(|listed| listed.is_same_incarnation(old))
        };
        let left = self.current.values().filter(|old| !is_in_list(old));
        self.departed.extend(left.map(|old| (old.clone(), now)));
        self.unconfirmed.retain(|id| list.contains_key(id));
        self.current = list;
        self.current.values().cloned().collect()
    }

    /// Returns the record that holds for an upstream that was read without a hold. An incarnation
    /// that drains never takes requests again in the same era: a record that says so was written
    /// late.
    fn keep_draining(&self, listed: ListedUpstream) -> ListedUpstream {
        let drains = self.current.get(&listed.id).is_some_and(|known| {
            known.stage == Stage::Draining && known.is_same_incarnation(&listed)
        });
        if drains { ListedUpstream { stage: Stage::Draining, ..listed } } else { listed }
    }

    /// Returns the record that holds for an upstream that was read during a hold; `None` if it had
    /// left before.
    fn choose(&mut self, listed: ListedUpstream) -> Option<ListedUpstream> {
        let has_left = self
            .departed
            .iter()
            .any(|(old, _)| old.id == listed.id && old.is_same_incarnation(&listed));
        let Some(known) = self.current.get(&listed.id) else {
            return (!has_left).then_some(listed);
        };
        if !self.unconfirmed.contains(&listed.id) {
            return Some(listed);
        }
        let is_older = if known.is_same_incarnation(&listed) {
            known.stage == Stage::Draining && listed.stage == Stage::Ready
        } else {
            has_left || known.started_ms.zip(listed.started_ms).is_some_and(|(a, b)| b < a)
        };
        if is_older {
            return Some(known.clone());
        }
        self.unconfirmed.remove(&listed.id);
        Some(listed)
    }
}
