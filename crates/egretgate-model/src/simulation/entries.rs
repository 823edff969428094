//! Entries decide on requests and tell each other.

use std::rc::Rc;

use egretgate_core::gateway::admission::AdmissionRequest;
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::upstream::{ListedUpstream, Stage};
use egretgate_core::gateway::wait_limits;

use super::{Event, State, World};
use crate::engine::RequestId;
use crate::entry::{Decision, Index};
use crate::site::millis;
use crate::tally::Fate;
use crate::upstream::Upstream;

impl World<'_> {
    pub(super) fn order(&self, id: RequestId) -> AdmissionRequest {
        let request = &self.requests[id as usize];
        let route = &self.routes[request.kind];
        let left = request.deadline.saturating_duration_since(self.now);
        AdmissionRequest {
            number: id,
            service: self.site.requests[request.kind].service.clone(),
            route: String::new(),
            priority: Priority { tier: route.tier, route_tier: route.tier },
            charge: None,
            objective: request.received + route.objective,
            useful_wait: wait_limits::useful_wait(route),
            queue_deadline: self.now + wait_limits::max_queue_wait(route, left),
            events: request.asked.expected,
            deadline: request.deadline,
            faster_than: None,
            is_retry: request.sent > 0,
            avoid: request.avoid.clone(),
            digest: None,
        }
    }

    pub(super) fn admit(&mut self, id: RequestId) {
        let entry = self.request(id).entry;
        // What waits goes before what comes.
        self.look(entry);
        let order = self.order(id);
        match self.entries[entry].admit(order, self.now, &mut self.entry_rng) {
            Decision::Start(upstream) => self.send(id, upstream),
            Decision::Wait => self.request(id).state = State::Waiting,
            Decision::Refuse => self.refuse(id),
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId) {
        let now = self.now;
        let left = self.request(id).deadline.saturating_duration_since(now);
        let request = self.request(id);
        if request.returns == 0 || left.is_zero() {
            return self.close(id, Fate::Refused);
        }
        request.returns -= 1;
        request.state = State::Away;
        let after = wait_limits::retry_delay(left, &mut self.entry_rng);
        self.agenda.add(self.now + after, Event::Return(id));
    }

    pub(super) fn look(&mut self, entry: usize) {
        for id in self.entries[entry].expire(self.now) {
            self.refuse(id);
        }
        for (id, upstream) in self.entries[entry].pump(self.now, &mut self.entry_rng) {
            self.send(id, upstream);
        }
    }

    pub(super) fn report(&mut self, entry: usize) {
        if let Some(report) = self.entries[entry].report(self.now)
            && !self.cut[entry]
        {
            self.agenda.add(self.now + self.site.link(), Event::Hear(entry, Rc::new(report)));
        }
        let pause = millis(self.site.entries.report_ms);
        self.agenda.add(self.now + pause, Event::Report(entry));
    }

    pub(super) fn hear(&mut self, from: usize, report: &PeerReport) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if index != from && !self.cut[index] {
                entry.hear(report, self.now);
            }
        }
    }

    /// Gives the entries the list of upstreams that are up.
    pub(super) fn list(&mut self) {
        let listed = |(index, upstream): (Index, &Upstream)| {
            let service = &self.site.services[upstream.service];
            let listed = ListedUpstream {
                id: upstream.name.clone(),
                service: service.name.clone(),
                address: ([127, 0, 0, 1], 9).into(),
                zone: self.site.entries.zones[upstream.zone].name.clone(),
                version: String::new(),
                slots: service.slots,
                stage: Stage::Ready,
                started_ms: Some(upstream.life.into()),
            };
            (index, listed)
        };
        let up = self.upstreams.iter().enumerate().filter(|(_, upstream)| !upstream.down);
        let roster: Vec<(Index, ListedUpstream)> = up.map(listed).collect();
        for entry in &mut self.entries {
            entry.set_roster(&roster);
        }
    }
}
