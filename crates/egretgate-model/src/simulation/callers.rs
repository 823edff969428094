//! Callers: arrivals, retries and deadlines.

use egretgate_core::gateway::upstream::Outcome;
use rand::RngExt;

use super::{Event, Request, RequestState, Simulation};
use crate::client;
use crate::engine::RequestId;
use crate::site::{ServerSpec, millis};
use crate::tally::RequestResult;

impl Simulation<'_> {
    pub(super) fn schedule_arrival(&mut self, kind: usize) {
        let rate = self.site.requests[kind].per_second * self.peak_load;
        if let Some(interval) = client::sample_interval(rate, &mut self.rng) {
            self.events.schedule(self.now + interval, Event::CallerArrival(kind));
        }
    }

    pub(super) fn handle_arrival(&mut self, kind: usize) {
        self.schedule_arrival(kind);
        let at = self.now.duration_since(self.start);
        // Arrivals are drawn at the peak rate and kept in proportion to the current rate.
        let keep_fraction = client::load_factor(self.site, at.as_secs_f64()) / self.peak_load;
        if !self.rng.random_bool(keep_fraction.clamp(0.0, 1.0)) {
            return;
        }
        let spec = &self.site.requests[kind];
        let shape = client::sample_request(spec, self.event_tokens(kind), &mut self.rng);
        let entry = client::sample_entry(self.site, &mut self.rng);
        self.tally.record_request(kind, at);
        let id = self.requests.len() as RequestId;
        let deadline = self.now + millis(spec.deadline_ms);
        self.requests.push(Request {
            kind,
            entry,
            shape,
            arrived: self.now,
            received: self.now,
            deadline,
            retries_left: spec.retries,
            attempts: 0,
            unreachable_tries: 0,
            avoid: Vec::new(),
            state: RequestState::Waiting,
            run_number: 0,
            first_event: None,
            last_event: self.now,
            paused: false,
        });
        self.events.schedule(deadline, Event::CallerDeadline(id));
        self.admit(id);
    }

    pub(super) fn event_tokens(&self, kind: usize) -> u32 {
        let name = &self.site.requests[kind].service;
        let service = self.site.services.iter().find(|service| service.name == *name);
        match service.map(|service| &service.server) {
            Some(ServerSpec::Engine(engine)) => engine.event_tokens,
            Some(ServerSpec::Plain) | None => 1,
        }
    }

    pub(super) fn retry(&mut self, id: RequestId) {
        let now = self.now;
        let request = self.request(id);
        if request.state == RequestState::BackingOff {
            request.received = now;
            request.attempts = 0;
            request.unreachable_tries = 0;
            request.avoid.clear();
            self.admit(id);
        }
    }

    pub(super) fn time_out(&mut self, id: RequestId) {
        let entry = self.request(id).entry;
        match self.request(id).state {
            RequestState::Ended => return,
            RequestState::BackingOff => {}
            RequestState::Waiting => self.entries[entry].withdraw(id, self.now),
            RequestState::Running { upstream, .. } => {
                self.finish_run(id, Outcome::Abandoned);
                let mut next = Vec::new();
                self.upstreams[upstream].cancel(id, &mut next);
                self.schedule_completions(upstream, next);
            }
        }
        self.end_request(id, RequestResult::Failed);
        self.dispatch_waiting(entry);
    }

    pub(super) fn end_request(&mut self, id: RequestId, result: RequestResult) {
        let start = self.start;
        let request = self.request(id);
        request.state = RequestState::Ended;
        let (kind, arrived) = (request.kind, request.arrived);
        let first = request.first_event.map(|first| first.duration_since(arrived));
        self.tally.record_end(kind, arrived.duration_since(start), result, first);
    }
}
