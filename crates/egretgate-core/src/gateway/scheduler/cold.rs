//! Which cold upstreams get requests, and what waits for them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Scheduler;
use crate::gateway::admission::{AdmissionRequest, UpstreamKey};
use crate::gateway::cold_start::{ColdBound, ColdChange};
use crate::gateway::peer::{AgedCold, NameHash};
use crate::gateway::upstream::{Outcome, UpstreamState};

/// Expected time of an answer, in seconds, from which it is a long one.
const LONG_ANSWER_SECONDS: f64 = 1.0;

impl Scheduler {
    /// Sets how far requests may exceed the rate of a cold upstream.
    #[must_use]
    pub const fn with_cold_bound(mut self, bound: ColdBound) -> Self {
        self.cold_bound = bound;
        self
    }

    /// Sets the entries that the directory lists: this one and the others.
    pub fn set_entries(&mut self, own: NameHash, others: Vec<NameHash>) {
        self.set_peer_count(others.len());
        let entries = Some((own, others));
        if self.listed_entries != entries {
            self.listed_entries = entries;
            self.order_entries();
        }
    }

    /// Records what an answer of an upstream says of its being cold.
    pub fn record_cold(&mut self, key: UpstreamKey, cold_for: Duration, now: Instant) {
        if let Some(upstream) = self.upstream_mut(key) {
            upstream.cold.record_answer(cold_for, now);
        }
    }

    /// Returns the number of requests that found no upstream while a cold one had a free slot.
    pub const fn cold_holds(&self) -> u64 {
        self.cold_holds
    }

    /// Returns the upstreams that became cold or warm since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.cold_changes)
    }

    /// Returns the number of listed entries, this one among them.
    pub(super) fn listed_entries(&self) -> usize {
        self.listed_entries.as_ref().map_or(0, |(_, others)| others.len()) + 1
    }

    /// Records what a peer found out of upstreams that may be cold.
    pub(super) fn receive_cold(&mut self, cold: &HashMap<NameHash, AgedCold>, now: Instant) {
        for (hash, aged) in cold {
            let key = self.by_hash.get(hash);
            if let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(*key)) {
                upstream.cold.record_peer(aged.notice(now), now);
            }
        }
    }

    /// Records what the list, which was just read, says of each upstream's being cold.
    pub fn record_listed_cold(&mut self, now: Instant) {
        for upstream in self.upstreams.values_mut() {
            let cold_for = upstream.listed.cold_for;
            upstream.cold.record_listed(cold_for, now);
        }
    }

    /// Sets this entry's position among the listed entries at each upstream.
    pub(super) fn order_entries(&mut self) {
        let Some((own, others)) = &self.listed_entries else { return };
        for upstream in self.upstreams.values_mut() {
            upstream.cold.set_entries(upstream.hash, *own, others);
        }
    }

    /// Leaves the cold ones out of the usable upstreams if the request is urgent or long and a warm
    /// one is usable.
    pub(super) fn prefer_warm(
        &self,
        request: &AdmissionRequest,
        mut usable: Vec<UpstreamKey>,
        mean: f64,
        now: Instant,
    ) -> Vec<UpstreamKey> {
        let is_long = request.events * mean >= LONG_ANSWER_SECONDS;
        let is_warm = |key: &UpstreamKey| self.upstreams[*key].cold_left(now).is_zero();
        if (request.priority.tier == 0 || is_long) && usable.iter().any(is_warm) {
            usable.retain(is_warm);
        }
        usable
    }

    /// Returns the least time for which a request waits where every upstream that it may go to is
    /// cold; zero if one is warm. The requests ahead of it use the same rate.
    pub(super) fn cold_wait(&self, request: &AdmissionRequest, now: Instant) -> Duration {
        let Some(service_state) = self.services.get(&request.service) else {
            return Duration::ZERO;
        };
        let members = self.allowed_members(request, service_state);
        let available = members.iter().map(|key| &self.upstreams[*key]);
        let available = available.filter(|upstream| upstream.is_available());
        let mut rate = 0.0;
        let mut first_warm: Option<Duration> = None;
        for upstream in available {
            let left = upstream.cold_left(now);
            if left.is_zero() {
                return Duration::ZERO;
            }
            rate += upstream.cold.rate();
            first_warm = Some(first_warm.map_or(left, |first| first.min(left)));
        }
        let Some(first_warm) = first_warm else { return Duration::ZERO };
        let ahead = service_state.queue.iter().filter(|key| key.priority <= request.priority);
        let waiting = ahead.count() as f64;
        Duration::try_from_secs_f64(waiting / rate).map_or(first_warm, |wait| wait.min(first_warm))
    }

    /// Counts a request that found no upstream while a cold one had a free slot.
    pub(super) fn count_cold_hold(&mut self, request: &AdmissionRequest, now: Instant) {
        let Some(service_state) = self.services.get(&request.service) else { return };
        let is_held = service_state.members.iter().any(|key| {
            let upstream = &self.upstreams[*key];
            let has_slot = upstream.running() < upstream.listed.slots;
            upstream.is_available() && has_slot && !upstream.cold.allows(now)
        });
        self.cold_holds += u64::from(is_held);
    }
}

impl UpstreamState {
    /// Records what the end of a request that began at `started` says of its being cold.
    pub(super) fn record_cold_outcome(&mut self, outcome: Outcome, started: Instant, now: Instant) {
        match outcome {
            Outcome::Succeeded { .. } | Outcome::Failed => self.cold.record_success(started, now),
            Outcome::Unreachable | Outcome::InvalidAnswer | Outcome::Stalled => {
                self.cold.record_loss(now);
            }
            Outcome::Rejected | Outcome::Misdirected | Outcome::Abandoned => {}
        }
    }
}
