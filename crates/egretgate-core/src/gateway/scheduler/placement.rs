//! Chooses the upstream with headroom that is likely to serve a request soonest.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::Scheduler;
use crate::VersionId;
use crate::gateway::admission::{AdmissionRequest, UpstreamKey};
use crate::gateway::headroom::{has_free_slot, has_headroom, has_unreserved_slot};
use crate::gateway::peer::name_hash;
use crate::gateway::request_queue::RequestNumber;
use crate::gateway::service_state::ServiceState;
use crate::gateway::share::SlotShare;
use crate::gateway::traffic_move::VersionPreference;
use crate::gateway::upstream::UpstreamState;

/// Requests per slot that all entries together may have at an upstream with short calls, which end
/// before reports of them arrive. With two, as many calls wait there as run, which only doubles a
/// short time.
const SHORT_CALLS_PER_SLOT: u32 = 2;
/// Factor on the estimated duration of an answer: nine of ten estimates of its length are off by
/// less than this factor.
const LENGTH_MARGIN: f64 = 1.7;
/// Seconds per event, relative to those of a running stream, at which an upstream is fast enough
/// for a migration to be worth reading the prompt again.
const FASTER_FACTOR: f64 = 0.5;
/// Cost factor of a cold upstream, which works more slowly for some time.
const COLD_FACTOR: f64 = 2.0;
/// Largest number of entries at which each compares every upstream: the reports of so few are
/// recent enough.
const FULL_COMPARE_ENTRIES: usize = 4;
/// Least number of upstreams that are compared for a request. With late reports, few choices spread
/// load best (Mitzenmacher, "How Useful Is Old Information?", 2000); with two, one request in nine
/// finds only slow upstreams where a third of them are slow. With four and more, entries that have
/// the same late reports choose the same upstreams.
const MIN_COMPARED: usize = 3;

/// The rules by which an upstream has headroom for one request.
struct SlotRules {
    share: SlotShare,
    /// Slots of an upstream in the entry's own zone that are kept free for peers whose reports are
    /// still on their way.
    near_margin: u32,
    /// The same for upstreams in other zones.
    far_margin: u32,
    /// True if requests end before the peers' reports of them arrive.
    short_calls: bool,
    /// Fraction of the slots that is reserved for more urgent requests.
    reserved_fraction: f64,
    /// True if less urgent requests are refused, so that this one may take a slot before them.
    has_precedence: bool,
    /// True if this entry has no request in flight at the service and the current time slice grants
    /// it one. Where there are fewer slots than entries, an entry whose share is less than one slot
    /// gets a slot in some of its time slices.
    granted_slot: bool,
}

impl Scheduler {
    /// Returns the upstream with headroom that is likely to serve the request soonest, among those
    /// of the version that the request may go to.
    pub(super) fn choose_upstream(
        &self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Option<UpstreamKey> {
        let service_state = self.services.get(&request.service)?;
        let pick = |fits: &dyn Fn(&VersionId) -> bool| {
            self.best_upstream(request, service_state, fits, now)
        };
        // An entry that reaches less than half of its peers doesn't learn how their requests to a
        // canary end.
        let allow_canary =
            !request.is_retry && self.peers.reachable_count(now) * 2 >= self.entries() - 1;
        match self.moves.version_preference(&request.service, request.number, allow_canary, now) {
            VersionPreference::Any => pick(&|_| true),
            VersionPreference::Exclude(target) => pick(&|version| version != target),
            VersionPreference::Canary(target) => {
                pick(&|version| version == target).or_else(|| pick(&|version| version != target))
            }
            VersionPreference::Prefer(target) => {
                let is_ready = |key: &UpstreamKey| {
                    let upstream = &self.upstreams[*key];
                    upstream.listed.version == *target
                        && !upstream.is_leaving()
                        && !upstream.is_drained()
                        && request.needs.regions.allows(upstream.region.as_deref())
                };
                let has_target = service_state.members.iter().any(is_ready);
                pick(&|version| version == target || !has_target)
            }
        }
    }

    /// Returns the best upstream among those whose version fits.
    fn best_upstream(
        &self,
        request: &AdmissionRequest,
        service_state: &ServiceState,
        fits: &dyn Fn(&VersionId) -> bool,
        now: Instant,
    ) -> Option<UpstreamKey> {
        let members = self.allowed_members(request, service_state);
        if let Some(key) = self.due_probe(request, &members, fits, now) {
            return Some(key);
        }
        let mean = self.mean_unit_seconds(service_state);
        let rules = self.slot_rules(request, service_state);
        let time_left = request.deadline.saturating_duration_since(now).as_secs_f64();
        let in_time = |upstream: &UpstreamState| {
            request.events * upstream.unit_seconds().unwrap_or(mean) * LENGTH_MARGIN <= time_left
        };
        // A long answer waits for an upstream that is fast enough, if there is one.
        let needs_fast = request.events > 0.0
            && members.iter().any(|key| {
                let upstream = &self.upstreams[*key];
                let takes_requests = upstream.is_available() && upstream.pause_left(now).is_zero();
                takes_requests
                    && upstream.allows_start(now)
                    && !upstream.is_ejected
                    && in_time(upstream)
            });
        // A suspected upstream gets a request only if every usable one is suspected.
        let is_unsuspected = |upstream: &UpstreamState| {
            upstream.is_usable(now) && !upstream.is_suspected(now) && !upstream.is_ejected
        };
        let all_suspected = !members.iter().any(|key| is_unsuspected(&self.upstreams[*key]));
        let usable = members.iter().copied().filter(|key| {
            let upstream = &self.upstreams[*key];
            upstream.is_usable(now)
                && !upstream.is_ejected
                && (all_suspected || !upstream.is_suspected(now))
                && self.has_headroom(upstream, &rules)
                && fits(&upstream.listed.version)
                && request.faster_than.is_none_or(|seconds| is_faster(upstream, seconds))
                && (!needs_fast || in_time(upstream))
                && !request.avoid.contains(&upstream.listed.id)
        });
        let cost = |key: &UpstreamKey| {
            let upstream = &self.upstreams[*key];
            // Peers leave the slots of this entry's share to it, but may have taken others.
            let slots = rules.share.slots(&upstream.listed.id, upstream.listed.slots);
            let in_share = upstream.own_running < slots;
            let unreported =
                if in_share { 0.0 } else { self.unreported_starts(upstream, service_state) };
            let cold_factor = if upstream.cold_left(now).is_zero() { 1.0 } else { COLD_FACTOR };
            upstream.cost(mean, &self.zone, unreported) * cold_factor
        };
        // Entries with the same late reports must not all choose the same upstream, so each
        // compares only a subset of them that differs from request to request.
        let full_squared = FULL_COMPARE_ENTRIES * FULL_COMPARE_ENTRIES;
        let entries = self.entries();
        let compared = (members.len() * full_squared / (entries * entries)).max(MIN_COMPARED);
        let is_near = |key: &UpstreamKey| self.upstreams[*key].listed.zone == self.zone;
        let usable = self.prefer_warm(request, usable.collect(), mean, now);
        let (near, far): (Vec<UpstreamKey>, Vec<UpstreamKey>) =
            usable.into_iter().partition(is_near);
        let sample = |usable: &[UpstreamKey]| {
            let first = spread(request.number, usable.len());
            let count = compared.min(usable.len());
            usable.iter().cycle().skip(first).take(count).copied().collect::<Vec<_>>()
        };
        let candidates = sample(&near).into_iter().chain(sample(&far));
        candidates.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns the time until the first upstream that a request may go to takes requests again, if
    /// all of them pause.
    pub(super) fn pause_left(&self, request: &AdmissionRequest, now: Instant) -> Duration {
        let Some(service_state) = self.services.get(&request.service) else {
            return Duration::ZERO;
        };
        let members = self.allowed_members(request, service_state);
        let upstreams = members.iter().map(|key| &self.upstreams[*key]);
        let available = upstreams.filter(|upstream| upstream.is_available());
        available.map(|upstream| upstream.pause_left(now)).min().unwrap_or_default()
    }

    /// Returns the rules by which an upstream has headroom for the request.
    fn slot_rules(&self, request: &AdmissionRequest, service_state: &ServiceState) -> SlotRules {
        let share = service_state.share.unwrap_or(SlotShare::WHOLE);
        let peers = self.entries() as u32 - 1;
        let seed = name_hash(&self.name);
        let margin = |interval| {
            let unreported = service_state.unreported_starts(interval).round() as u32;
            if peers > 0 { unreported.max(1) } else { 0 }
        };
        SlotRules {
            share,
            near_margin: margin(self.schedule.near_interval()),
            far_margin: margin(self.schedule.far_interval()),
            short_calls: peers > 0 && service_state.has_short_calls(),
            reserved_fraction: service_state.reserved_fraction(request.priority),
            has_precedence: service_state.has_precedence(request.priority),
            granted_slot: service_state.running == 0
                && share.slots_in_slice(self.time_slice, seed, service_state.slots) > 0,
        }
    }

    /// Returns true if this entry may send one more request to the upstream.
    fn has_headroom(&self, upstream: &UpstreamState, rules: &SlotRules) -> bool {
        let is_near = upstream.listed.zone == self.zone;
        let margin = if is_near { rules.near_margin } else { rules.far_margin };
        let reserved = reserved_slots(rules.reserved_fraction, upstream);
        if reserved > 0 {
            return has_unreserved_slot(upstream, reserved);
        }
        if !rules.short_calls {
            return rules.granted_slot || has_headroom(upstream, rules.share, margin);
        }
        let slots = upstream.listed.slots.saturating_mul(SHORT_CALLS_PER_SLOT);
        let seed = name_hash(&self.name) ^ name_hash(&upstream.listed.id);
        let own = rules.share.slots_in_slice(self.time_slice, seed, slots);
        // A request with precedence doesn't wait for this entry's time slice, nor for a less urgent
        // request at the upstream.
        let own = if rules.has_precedence { own.max(1).saturating_add(1) } else { own };
        // Reports arrive too late for entries to see each other take the same free slot, so each
        // entry takes at most one at a time.
        let free = upstream.active() == 0 && has_free_slot(upstream, margin);
        upstream.active() < own || free
    }

    /// Returns true if slots are reserved for more urgent requests than this one.
    pub(super) fn must_yield(&self, request: &AdmissionRequest) -> bool {
        self.services.get(&request.service).is_some_and(|service_state| {
            let fraction = service_state.reserved_fraction(request.priority);
            service_state
                .members
                .iter()
                .any(|key| reserved_slots(fraction, &self.upstreams[*key]) > 0)
        })
    }

    /// Returns the number of requests of peers that an upstream may run besides those reported.
    fn unreported_starts(&self, upstream: &UpstreamState, service_state: &ServiceState) -> f64 {
        let is_near = upstream.listed.zone == self.zone;
        let schedule = &self.schedule;
        let interval = if is_near { schedule.near_interval() } else { schedule.far_interval() };
        service_state.unreported_starts(interval)
    }

    fn mean_unit_seconds(&self, service_state: &ServiceState) -> f64 {
        let samples =
            service_state.members.iter().filter_map(|key| self.upstreams[*key].unit_seconds());
        let (count, sum) =
            samples.fold((0, 0.0), |(count, sum), seconds| (count + 1, sum + seconds));
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }
}

/// Returns true if the upstream is known to be clearly faster than `seconds` per event.
fn is_faster(upstream: &UpstreamState, seconds: f64) -> bool {
    upstream.unit_seconds().is_some_and(|own| own < seconds * FASTER_FACTOR)
}

/// Returns the slots of an upstream that are reserved for more urgent requests.
fn reserved_slots(fraction: f64, upstream: &UpstreamState) -> u32 {
    (fraction * f64::from(upstream.listed.slots)).round() as u32
}

/// Returns a position below `count` that differs from request to request.
fn spread(number: RequestNumber, count: usize) -> usize {
    (xxh3_64(&number.to_le_bytes()) % count.max(1) as u64) as usize
}
