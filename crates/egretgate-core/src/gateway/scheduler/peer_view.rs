//! The load of the other entries, as the scheduler derives it from their reports.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::gateway::cold_start::ColdChange;
use crate::gateway::peer::name_hash;
use crate::gateway::refusals::ExcessRefusals;
use crate::gateway::report_schedule::ReportSchedule;
use crate::gateway::reserve::{FleetLoad, Reserve};
use crate::gateway::share::SlotShare;
use crate::gateway::upstream::UpstreamState;

/// Age at which the values derived from the peers' reports are computed again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Largest age of a report, in intervals of reports from other zones.
const REPORT_AGE_INTERVALS: u32 = 2;
/// Sorts before every name.
const FIRST_NAME: &str = "";
/// Sorts after every name.
const LAST_NAME: &str = "\u{10ffff}";

impl Scheduler {
    /// Returns the number of entries that count, this one among them.
    pub fn entries(&self) -> usize {
        self.peers.known_count().max(self.peer_count.unwrap_or(0)) + 1
    }

    /// Returns the number of entries that are assumed to serve callers although they can't be
    /// reached.
    ///
    /// An entry that reaches less than half of the others and can't read the directory either is
    /// cut off from them, so they are assumed to serve. Otherwise unreachable entries are assumed
    /// to have stopped.
    fn unreachable_peers(&self, now: Instant) -> usize {
        let peers = self.entries() - 1;
        let reachable = self.peers.reachable_count(now).min(peers);
        if !self.directory_up && reachable * 2 < peers { peers - reachable } else { 0 }
    }

    /// Returns true if this entry leads: it is the first by name among those that reach each other.
    pub(super) fn is_leader(&self, now: Instant) -> bool {
        self.peer_rank(now) == 0 && self.unreachable_peers(now) == 0
    }

    /// Computes the peers' load, the refusals and this entry's share of the slots from the newest
    /// reports.
    pub(super) fn refresh(&mut self, now: Instant) {
        if self.refreshed.is_some_and(|last| now.duration_since(last) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed = Some(now);
        self.time_slice.advance(now);
        self.peers.expire(now);
        self.departed.expire(now);
        self.team_shares.update(self.buckets.values(), now);
        self.judge_upstreams(now);
        let unreachable = self.unreachable_peers(now);
        let unreachable_fraction = unreachable as f64 / self.entries() as f64;
        for upstream in self.upstreams.values_mut() {
            let assumed = (f64::from(upstream.listed.slots) * unreachable_fraction).floor() as u32;
            upstream.peer_running = self.peers.running(upstream.hash).saturating_add(assumed);
        }
        let reachable = self.peers.reachable_count(now) + 1;
        let reachable_fraction = (reachable as f64 / self.entries() as f64).min(1.0);
        let own = name_hash(&self.name);
        let limited = self.upstreams.values_mut().filter(|upstream| upstream.limit().is_some());
        for upstream in limited {
            let position = self.peers.position(own, upstream.hash, now);
            upstream.rate_limit.refill(now);
            upstream.rate_limit.divide(position, reachable, reachable_fraction);
        }
        let listed = self.listed_entries();
        let bound = self.cold_bound;
        for upstream in self.upstreams.values_mut() {
            if upstream.cold.divide(listed, bound, now) {
                self.cold_changes.push(ColdChange {
                    id: upstream.listed.id.clone(),
                    cause: upstream.cold.cause(now),
                    time_left: upstream.cold.time_left(now),
                });
            }
        }
        // Peers that haven't reported yet may be in any zone.
        let far = self.peers.known_count() - self.peers.zone_count(&self.zone);
        self.schedule = ReportSchedule::new(self.entries() - 1 - far, far);
        let report_age = self.schedule.far_interval() * REPORT_AGE_INTERVALS;
        for (service, service_state) in &mut self.services {
            let members = service_state.members.iter().filter_map(|key| self.upstreams.get(*key));
            let in_flight = members.map(UpstreamState::running).fold(0, u32::saturating_add);
            service_state.estimate_starts(in_flight);
            let demand = service_state.demand();
            let refusals =
                service_state.refusals.by_priority(now).chain(self.peers.refusals(service, now));
            service_state.excess_refusals = ExcessRefusals::new(refusals);
            let by_need = service_state.states_pace && !service_state.has_short_calls();
            service_state.reserve = if by_need {
                let members = service_state.members.iter();
                let members = members.filter_map(|key| self.upstreams.get(*key));
                let slots: f64 = members
                    .filter(|upstream| upstream.is_available() && !upstream.is_resting(now))
                    .map(|upstream| f64::from(upstream.listed.slots))
                    .sum();
                let slots = slots * (1.0 - unreachable_fraction);
                let seconds = service_state.upstream_seconds.unwrap_or(0.0);
                let fleet = FleetLoad::new(slots, seconds, report_age)
                    .with_loads(service_state.loads(now).into_iter())
                    .with_loads(self.peers.loads(service, now))
                    .with_arrivals(service_state.refusals.by_priority(now))
                    .with_arrivals(self.peers.refusals(service, now));
                Reserve::new(&fleet)
            } else {
                Reserve::default()
            };
            let peers = self.peers.demand(service, now);
            // Unreachable entries are assumed to have the same demand as this one. Some of them, a
            // different number at each entry, sort before it, so that entries that reach no other
            // entry don't take the same slots.
            let before = (name_hash(&self.name) % (unreachable as u64 + 1)) as usize;
            let assumed = (0..unreachable)
                .map(|index| (if index < before { FIRST_NAME } else { LAST_NAME }, demand));
            service_state.share = Some(SlotShare::new(&self.name, demand, peers.chain(assumed)));
        }
    }
}
