//! Where a request goes: the upstream with room that is likely to serve it soonest.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::Scheduler;
use crate::VersionId;
use crate::gateway::service_state::Backlog;
use crate::gateway::request_queue::RequestNumber;
use crate::gateway::traffic_move::Aim;
use crate::gateway::admission::{Order, UpstreamKey};
use crate::gateway::peer::name_hash;
use crate::gateway::room::{has_free, has_room, has_spare};
use crate::gateway::share::Share;
use crate::gateway::upstream::{Stage, Standing};

/// Requests that all entries together may have at an upstream, for each slot, where they end
/// too soon for reports: as many wait as run, which doubles a short time.
const BRIEF_REQUESTS: u32 = 2;
/// Time that an answer is reckoned to take against its likely length: nine of ten estimates are
/// less than this factor off.
const LENGTH_MARGIN: f64 = 1.7;
/// Pace, against that of a running request, at which an upstream is worth reading the prompt again.
const FASTER: f64 = 0.5;
/// Entries up to which each compares every upstream: their reports are young enough.
const CLOSE_ENTRIES: usize = 4;
/// Upstreams that are compared for a request at least: with late reports, the better of two
/// spreads load best (Mitzenmacher, "How Useful Is Old Information?", 2000).
const COMPARED: usize = 2;
/// Entries that may take a slot unseen between two reports, for each slot kept free.
const ENTRIES_PER_SLOT: u32 = 8;

/// What decides for one request whether an upstream has room.
struct Terms {
    share: Share,
    /// Slots kept free for entries whose reports are on their way.
    margin: u32,
    /// True if requests end before other entries' reports of them arrive.
    brief: bool,
    /// Part of the slots that is left to more urgent requests.
    left_free: f64,
    /// True if it goes before less urgent ones that are refused.
    goes_ahead: bool,
    /// True if this entry has nothing at the service, and its turn to have one request there: where
    /// slots are fewer than entries, one whose part is less than a slot has its turns too.
    first: bool,
}

impl Scheduler {
    /// Returns the upstream with room that is likely to serve the request soonest, of the version
    /// that is to get it.
    pub(super) fn choose(&self, order: &Order, now: Instant) -> Option<UpstreamKey> {
        let backlog = self.services.get(&order.service)?;
        let pick = |fits: &dyn Fn(&VersionId) -> bool| self.pick(order, backlog, fits, now);
        // An entry that hears few others doesn't learn what these find of a version.
        let tries = !order.repeat && self.peers.fresh(now) * 2 >= self.entries() - 1;
        match self.moves.aim(&order.service, order.number, tries, now) {
            Aim::Any => pick(&|_| true),
            Aim::Other(target) => pick(&|version| version != target),
            Aim::Tried(target) => {
                pick(&|version| version == target).or_else(|| pick(&|version| version != target))
            }
            Aim::Preferred(target) => {
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
    fn pick(
        &self,
        order: &Order,
        backlog: &Backlog,
        fits: &dyn Fn(&VersionId) -> bool,
        now: Instant,
    ) -> Option<UpstreamKey> {
        let usual = self.usual_pace(backlog);
        let terms = self.terms(order, backlog);
        let left = order.deadline.saturating_duration_since(now).as_secs_f64();
        let in_time = |standing: &Standing| {
            order.events * standing.pace().unwrap_or(usual) * LENGTH_MARGIN <= left
        };
        // A long answer waits for an upstream that is fast enough, if there is one at all.
        let picky =
            order.events > 0.0 && backlog.members.iter().any(|key| in_time(&self.upstreams[*key]));
        // An upstream that missed one answer is passed over only if there are others.
        let is_sound = |standing: &Standing| standing.is_usable(now) && !standing.is_doubted(now);
        let doubtful = !backlog.members.iter().any(|key| is_sound(&self.upstreams[*key]));
        let usable = backlog.members.iter().copied().filter(|key| {
            let standing = &self.upstreams[*key];
            standing.is_usable(now)
                && (doubtful || !standing.is_doubted(now))
                && self.has_room(standing, &terms)
                && fits(&standing.listed.version)
                && order.pace.is_none_or(|pace| is_faster(standing, pace))
                && (!picky || in_time(standing))
                && !order.avoid.contains(&standing.listed.id)
        });
        let cost = |key: &UpstreamKey| self.upstreams[*key].cost(usual, &self.zone);
        // Entries with the same late reports must not all choose the same upstream, so each
        // compares a part of them that differs from request to request.
        let part = CLOSE_ENTRIES * CLOSE_ENTRIES;
        let entries = self.entries();
        let compared = (backlog.members.len() * part / (entries * entries)).max(COMPARED);
        let usable: Vec<UpstreamKey> = usable.collect();
        let first = spread(order.number, usable.len());
        let some = usable.iter().cycle().skip(first).take(compared.min(usable.len())).copied();
        some.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns what decides for a request whether an upstream has room.
    fn terms(&self, order: &Order, backlog: &Backlog) -> Terms {
        let share = backlog.share.unwrap_or(Share::WHOLE);
        let others = self.entries() as u32 - 1;
        let seed = name_hash(&self.name);
        Terms {
            share,
            margin: others.div_ceil(ENTRIES_PER_SLOT),
            brief: others > 0 && backlog.is_brief(),
            left_free: backlog.left_free(order.rank),
            goes_ahead: backlog.goes_ahead(order.rank),
            first: backlog.running == 0 && share.slots_in_turn(self.turn, seed, backlog.slots) > 0,
        }
    }

    /// Returns true if this entry may send one more request to the upstream.
    fn has_room(&self, standing: &Standing, terms: &Terms) -> bool {
        let left = slots_left(terms.left_free, standing);
        if left > 0 {
            return has_spare(standing, left);
        }
        if !terms.brief {
            return terms.first || has_room(standing, terms.share, terms.margin);
        }
        let slots = standing.listed.slots * BRIEF_REQUESTS;
        let seed = name_hash(&self.name) ^ name_hash(&standing.listed.id);
        let own = terms.share.slots_in_turn(self.turn, seed, slots);
        // An urgent call doesn't wait for this entry's turn, nor for one that can wait.
        let own = if terms.goes_ahead { own.max(1) + 1 } else { own };
        // Reports come too late for entries to see each other take the same free slot, so each
        // takes one at a time at most.
        let free = standing.at_work() == 0 && has_free(standing, terms.margin);
        standing.at_work() < own || free
    }

    /// Returns true if the request leaves slots to more urgent ones that are refused.
    pub(super) fn gives_way(&self, order: &Order) -> bool {
        self.services.get(&order.service).is_some_and(|backlog| {
            let part = backlog.left_free(order.rank);
            backlog.members.iter().any(|key| slots_left(part, &self.upstreams[*key]) > 0)
        })
    }

    fn usual_pace(&self, backlog: &Backlog) -> f64 {
        let paces = backlog.members.iter().filter_map(|key| self.upstreams[*key].pace());
        let (count, sum) = paces.fold((0, 0.0), |(count, sum), pace| (count + 1, sum + pace));
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }
}

/// Returns true if the upstream is known to be clearly faster than `pace`.
fn is_faster(standing: &Standing, pace: f64) -> bool {
    standing.pace().is_some_and(|own| own < pace * FASTER)
}

/// Returns the slots of an upstream that are left to more urgent requests.
fn slots_left(part: f64, standing: &Standing) -> u32 {
    (part * f64::from(standing.listed.slots)).round() as u32
}

/// Returns a position below `count` that differs from request to request.
fn spread(number: RequestNumber, count: usize) -> usize {
    (xxh3_64(&number.to_le_bytes()) % count.max(1) as u64) as usize
}
