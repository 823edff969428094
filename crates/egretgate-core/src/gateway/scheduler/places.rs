//! Where requests may run: the zones that operators drain and the regions that requests allow.

use std::borrow::Cow;
use std::time::{Duration, Instant};

use super::Scheduler;
use crate::ZoneId;
use crate::gateway::admission::{AdmissionRequest, Reason, Refusal, UpstreamKey};
use crate::gateway::drained_zones::ZoneChange;
use crate::gateway::request_queue::RequestNumber;
use crate::gateway::service_state::ServiceState;

impl Scheduler {
    /// Returns the zones whose drain began or ended since the last call.
    pub fn take_zone_changes(&mut self) -> Vec<ZoneChange> {
        std::mem::take(&mut self.zone_changes)
    }

    /// Returns the members of a service that are in a region in which the request may run.
    pub(super) fn allowed_members<'a>(
        &self,
        request: &AdmissionRequest,
        service_state: &'a ServiceState,
    ) -> Cow<'a, [UpstreamKey]> {
        let regions = &request.needs.regions;
        if regions.is_any() {
            return Cow::Borrowed(&service_state.members);
        }
        let members = service_state.members.iter().copied();
        let allowed = members.filter(|key| regions.allows(self.upstreams[*key].region.as_deref()));
        Cow::Owned(allowed.collect())
    }

    /// Returns why no listed upstream may get the request whatever its load, if that is so.
    pub(super) fn excluded(&self, request: &AdmissionRequest) -> Option<Reason> {
        let service_state = self.services.get(&request.service)?;
        if service_state.members.is_empty() {
            return None;
        }
        let members = self.allowed_members(request, service_state);
        if members.is_empty() {
            return Some(Reason::NoRegion);
        }
        let is_drained = members.iter().all(|key| self.upstreams[*key].is_drained());
        is_drained.then_some(Reason::Drained)
    }

    /// Counts the refusal of a request. No slots are reserved for one that no upstream may get.
    pub(super) fn refuse(&mut self, request: &AdmissionRequest, reason: Reason, now: Instant) {
        match reason {
            Reason::Drained | Reason::NoRegion => self.refund(request, now),
            _ => self.record_refusal(request, now),
        }
    }

    /// Removes and returns the waiting requests that no upstream may get any more.
    pub(super) fn expire_excluded(&mut self, now: Instant) -> Vec<(RequestNumber, Refusal)> {
        let waiting = self.waiting.iter();
        let excluded: Vec<(RequestNumber, Reason)> = waiting
            .filter_map(|(number, (_, request))| Some((*number, self.excluded(request)?)))
            .collect();
        let mut refused = Vec::with_capacity(excluded.len());
        for (number, reason) in excluded {
            let Some((queue_key, request)) = self.waiting.get(&number).cloned() else { continue };
            let overload = self.overload(&request, &queue_key, reason, Duration::ZERO, now);
            refused.push((number, Refusal::Overloaded(overload)));
            self.withdraw(number, now);
        }
        refused
    }

    /// Applies the drained zones of the declarations, which replace those of `before`.
    pub(super) fn apply_zones(&mut self, before: &[ZoneId], now: Instant) {
        let drained = self.catalog.drained_zones();
        let began = drained.iter().filter(|zone| !before.contains(zone));
        let ended = before.iter().filter(|zone| !drained.contains(zone));
        let changes = began.map(|zone| (zone, true)).chain(ended.map(|zone| (zone, false)));
        let changes: Vec<ZoneChange> = changes
            .map(|(zone, drained)| {
                let there = self.upstreams.values().filter(|state| state.listed.zone == *zone);
                ZoneChange { zone: zone.clone(), drained, upstreams: there.count() }
            })
            .collect();
        if changes.is_empty() {
            return;
        }
        for upstream in self.upstreams.values_mut() {
            let zone = &upstream.listed.zone;
            if changes.iter().any(|change| !change.drained && change.zone == *zone) {
                // It may have become cold while nothing was sent there.
                upstream.cold.record_doubt(now);
            }
        }
        self.zone_changes.extend(changes);
        self.place_upstreams();
        self.rebuild_members();
    }

    /// Sets what each upstream has of its zone and service: the region, whether the zone is drained,
    /// and the rate that it takes while it is cold.
    pub(super) fn place_upstreams(&mut self) {
        let drained = self.catalog.drained_zones();
        for upstream in self.upstreams.values_mut() {
            let zone = &upstream.listed.zone;
            upstream.drained = drained.contains(zone);
            upstream.cold.set_spec(self.catalog.service(&upstream.listed.service).cold_start);
            if upstream.region.is_none() {
                upstream.region = self.regions.get(zone).cloned();
            }
        }
    }
}
