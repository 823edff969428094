//! Where a request goes: the upstream with room that is likely to serve it soonest.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::Scheduler;
use crate::VersionId;
use crate::gateway::admission::{AdmissionRequest, UpstreamKey};
use crate::gateway::peer::name_hash;
use crate::gateway::request_queue::RequestNumber;
use crate::gateway::room::{has_free_slot, has_room, has_unreserved_slot};
use crate::gateway::service_state::ServiceState;
use crate::gateway::share::SlotShare;
use crate::gateway::traffic_move::VersionPreference;
use crate::gateway::upstream::{Stage, UpstreamState};

/// Requests that all entries together may have at an upstream, for each slot, where they end
/// too soon for reports: as many wait as run, which doubles a short time.
const SHORT_CALLS_PER_SLOT: u32 = 2;
/// Time that an answer is reckoned to take against its likely length: nine of ten estimates are
/// less than this factor off.
const LENGTH_MARGIN: f64 = 1.7;
/// Pace, against that of a running request, at which an upstream is worth reading the prompt again.
const FASTER_FACTOR: f64 = 0.5;
/// Entries up to which each compares every upstream: their reports are young enough.
const FULL_COMPARE_ENTRIES: usize = 4;
/// Upstreams that are compared for a request at least: with late reports, the better of two
/// spreads load best (Mitzenmacher, "How Useful Is Old Information?", 2000).
const MIN_COMPARED: usize = 2;
/// Entries that may take a slot unseen between two reports, for each slot kept free.
const ENTRIES_PER_MARGIN_SLOT: u32 = 8;

/// What decides for one request whether an upstream has room.
struct SlotRules {
    share: SlotShare,
    /// Slots kept free for entries whose reports are on their way.
    margin: u32,
    /// True if requests end before other entries' reports of them arrive.
    short_calls: bool,
    /// Part of the slots that is left to more urgent requests.
    reserved_fraction: f64,
    /// True if it goes before less urgent ones that are refused.
    has_precedence: bool,
    /// True if this entry has nothing at the service, and its turn to have one request there: where
    /// slots are fewer than entries, one whose part is less than a slot has its turns too.
    granted_slot: bool,
}

impl Scheduler {
    /// Returns the upstream with room that is likely to serve the request soonest, of the version
    /// that is to get it.
    pub(super) fn choose_upstream(
        &self,
        order: &AdmissionRequest,
        now: Instant,
    ) -> Option<UpstreamKey> {
        let backlog = self.services.get(&order.service)?;
        let pick =
            |fits: &dyn Fn(&VersionId) -> bool| self.best_upstream(order, backlog, fits, now);
        // An entry that hears few others doesn't learn what these find of a version.
        let tries = !order.is_retry && self.peers.reachable_count(now) * 2 >= self.entries() - 1;
        match self.moves.version_preference(&order.service, order.number, tries, now) {
            VersionPreference::Any => pick(&|_| true),
            VersionPreference::Exclude(target) => pick(&|version| version != target),
            VersionPreference::Canary(target) => {
                pick(&|version| version == target).or_else(|| pick(&|version| version != target))
            }
            VersionPreference::Prefer(target) => {
                let listed = |key: &UpstreamKey| &self.upstreams[*key].listed;
                let is_there = |key: &UpstreamKey| {
                    let listed = listed(key);
                    listed.version == *target && listed.stage == Stage::Ready
                };
                let there = backlog.members.iter().any(is_there);
                pick(&|version| version == target || !there)
            }
        }
    }

    /// Returns the best upstream among those whose version fits.
    fn best_upstream(
        &self,
        order: &AdmissionRequest,
        backlog: &ServiceState,
        fits: &dyn Fn(&VersionId) -> bool,
        now: Instant,
    ) -> Option<UpstreamKey> {
        let usual = self.mean_unit_seconds(backlog);
        let terms = self.slot_rules(order, backlog);
        let left = order.deadline.saturating_duration_since(now).as_secs_f64();
        let in_time = |standing: &UpstreamState| {
            order.events * standing.unit_seconds().unwrap_or(usual) * LENGTH_MARGIN <= left
        };
        // A long answer waits for an upstream that is fast enough, if there is one at all.
        let picky =
            order.events > 0.0 && backlog.members.iter().any(|key| in_time(&self.upstreams[*key]));
        // An upstream that missed one answer is passed over only if there are others.
        let is_sound =
            |standing: &UpstreamState| standing.is_usable(now) && !standing.is_suspected(now);
        let doubtful = !backlog.members.iter().any(|key| is_sound(&self.upstreams[*key]));
        let usable = backlog.members.iter().copied().filter(|key| {
            let standing = &self.upstreams[*key];
            standing.is_usable(now)
                && (doubtful || !standing.is_suspected(now))
                && self.has_room(standing, &terms)
                && fits(&standing.listed.version)
                && order.faster_than.is_none_or(|pace| is_faster(standing, pace))
                && (!picky || in_time(standing))
                && !order.avoid.contains(&standing.listed.id)
        });
        let cost = |key: &UpstreamKey| self.upstreams[*key].cost(usual, &self.zone);
        // Entries with the same late reports must not all choose the same upstream, so each
        // compares a part of them that differs from request to request.
        let part = FULL_COMPARE_ENTRIES * FULL_COMPARE_ENTRIES;
        let entries = self.entries();
        let compared = (backlog.members.len() * part / (entries * entries)).max(MIN_COMPARED);
        let usable: Vec<UpstreamKey> = usable.collect();
        let first = spread(order.number, usable.len());
        let some = usable.iter().cycle().skip(first).take(compared.min(usable.len())).copied();
        some.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns what decides for a request whether an upstream has room.
    fn slot_rules(&self, order: &AdmissionRequest, backlog: &ServiceState) -> SlotRules {
        let share = backlog.share.unwrap_or(SlotShare::WHOLE);
        let others = self.entries() as u32 - 1;
        let seed = name_hash(&self.name);
        SlotRules {
            share,
            margin: others.div_ceil(ENTRIES_PER_MARGIN_SLOT),
            short_calls: others > 0 && backlog.has_short_calls(),
            reserved_fraction: backlog.reserved_fraction(order.priority),
            has_precedence: backlog.has_precedence(order.priority),
            granted_slot: backlog.running == 0
                && share.slots_in_slice(self.time_slice, seed, backlog.slots) > 0,
        }
    }

    /// Returns true if this entry may send one more request to the upstream.
    fn has_room(&self, standing: &UpstreamState, terms: &SlotRules) -> bool {
        let left = reserved_slots(terms.reserved_fraction, standing);
        if left > 0 {
            return has_unreserved_slot(standing, left);
        }
        if !terms.short_calls {
            return terms.granted_slot || has_room(standing, terms.share, terms.margin);
        }
        let slots = standing.listed.slots * SHORT_CALLS_PER_SLOT;
        let seed = name_hash(&self.name) ^ name_hash(&standing.listed.id);
        let own = terms.share.slots_in_slice(self.time_slice, seed, slots);
        // An urgent call doesn't wait for this entry's turn, nor for one that can wait.
        let own = if terms.has_precedence { own.max(1) + 1 } else { own };
        // Reports come too late for entries to see each other take the same free slot, so each
        // takes one at a time at most.
        let free = standing.active() == 0 && has_free_slot(standing, terms.margin);
        standing.active() < own || free
    }

    /// Returns true if the request leaves slots to more urgent ones that are refused.
    pub(super) fn must_yield(&self, order: &AdmissionRequest) -> bool {
        self.services.get(&order.service).is_some_and(|backlog| {
            let part = backlog.reserved_fraction(order.priority);
            backlog.members.iter().any(|key| reserved_slots(part, &self.upstreams[*key]) > 0)
        })
    }

    fn mean_unit_seconds(&self, backlog: &ServiceState) -> f64 {
        let paces = backlog.members.iter().filter_map(|key| self.upstreams[*key].unit_seconds());
        let (count, sum) = paces.fold((0, 0.0), |(count, sum), pace| (count + 1, sum + pace));
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }
}

/// Returns true if the upstream is known to be clearly faster than `pace`.
fn is_faster(standing: &UpstreamState, pace: f64) -> bool {
    standing.unit_seconds().is_some_and(|own| own < pace * FASTER_FACTOR)
}

/// Returns the slots of an upstream that are left to more urgent requests.
fn reserved_slots(part: f64, standing: &UpstreamState) -> u32 {
    (part * f64::from(standing.listed.slots)).round() as u32
}

/// Returns a position below `count` that differs from request to request.
fn spread(number: RequestNumber, count: usize) -> usize {
    (xxh3_64(&number.to_le_bytes()) % count.max(1) as u64) as usize
}
