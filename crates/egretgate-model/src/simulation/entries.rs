//! Entries: admission, dispatch and reports to peers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use egretgate_core::gateway::admission::{AdmissionRequest, Needs};
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::upstream::{ListedUpstream, Stage};
use egretgate_core::gateway::wait_limits;

use super::{Event, RequestState, Simulation};
use crate::engine::RequestId;
use crate::entry::{Decision, UpstreamIndex};
use crate::site::millis;
use crate::tally::RequestResult;
use crate::upstream::Upstream;

impl Simulation<'_> {
    pub(super) fn admission_request(&self, id: RequestId) -> AdmissionRequest {
        let request = &self.requests[id as usize];
        let route = &self.routes[request.kind];
        let time_left = request.deadline.saturating_duration_since(self.now);
        AdmissionRequest {
            number: id,
            service: self.site.requests[request.kind].service.clone(),
            route: String::new(),
            priority: Priority { tier: route.tier, route_tier: route.tier, over_share: false },
            charge: None,
            objective: request.received + route.objective,
            useful_wait: wait_limits::useful_wait(route),
            queue_deadline: self.now + wait_limits::max_queue_wait(route, time_left),
            events: request.shape.expected_events,
            deadline: request.deadline,
            faster_than: None,
            is_retry: request.attempts > 0,
            avoid: request.avoid.clone(),
            digest: None,
            parts: Arc::default(),
            needs: Needs::default(),
        }
    }

    pub(super) fn admit(&mut self, id: RequestId) {
        let entry = self.request(id).entry;
        // Queued requests go before the arriving one.
        self.dispatch_waiting(entry);
        let request = self.admission_request(id);
        match self.entries[entry].admit(request, self.now, &mut self.entry_rng) {
            Decision::Start(upstream) => self.send(id, upstream),
            Decision::Wait => self.request(id).state = RequestState::Waiting,
            Decision::Refuse => self.refuse(id),
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId) {
        let now = self.now;
        let time_left = self.request(id).deadline.saturating_duration_since(now);
        let request = self.request(id);
        if request.retries_left == 0 || time_left.is_zero() {
            return self.end_request(id, RequestResult::Refused);
        }
        request.retries_left -= 1;
        request.state = RequestState::BackingOff;
        let delay = wait_limits::retry_delay(time_left, &mut self.entry_rng);
        self.events.schedule(self.now + delay, Event::CallerRetry(id));
    }

    pub(super) fn dispatch_waiting(&mut self, entry: usize) {
        for id in self.entries[entry].expire(self.now) {
            self.refuse(id);
        }
        for (id, upstream) in self.entries[entry].dispatch(self.now, &mut self.entry_rng) {
            self.send(id, upstream);
        }
    }

    pub(super) fn send_report(&mut self, entry: usize) {
        if let Some(report) = self.entries[entry].report(self.now)
            && !self.cut_off[entry]
        {
            self.events.schedule(
                self.now + self.site.link(),
                Event::ReportArrival(entry, Rc::new(report)),
            );
        }
        let interval = millis(self.site.entries.report_ms);
        self.events.schedule(self.now + interval, Event::ReportDue(entry));
    }

    pub(super) fn deliver_report(&mut self, from: usize, report: &PeerReport) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if index != from && !self.cut_off[index] {
                entry.receive_report(report, self.now);
            }
        }
    }

    /// Gives the entries the list of upstreams that are up.
    pub(super) fn refresh_list(&mut self) {
        let listed = |(index, upstream): (UpstreamIndex, &Upstream)| {
            let service = &self.site.services[upstream.service];
            let listed = ListedUpstream {
                id: upstream.name.clone(),
                service: service.name.clone(),
                address: ([127, 0, 0, 1], 9).into(),
                zone: self.site.entries.zones[upstream.zone].name.clone(),
                version: String::new(),
                slots: service.slots,
                stage: Stage::Ready,
                started_ms: Some(upstream.incarnation.into()),
                cold_for: Duration::ZERO,
            };
            (index, listed)
        };
        let up = self.upstreams.iter().enumerate().filter(|(_, upstream)| !upstream.down);
        let upstreams: Vec<(UpstreamIndex, ListedUpstream)> = up.map(listed).collect();
        for entry in &mut self.entries {
            entry.set_upstreams(&upstreams);
        }
    }
}
