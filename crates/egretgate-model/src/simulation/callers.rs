//! Callers ask, come back and leave.

use egretgate_core::gateway::upstream::Outcome;
use rand::RngExt;

use super::{Event, Request, State, World};
use crate::client;
use crate::engine::RequestId;
use crate::site::{Server, millis};
use crate::tally::Fate;

impl World<'_> {
    pub(super) fn ask_later(&mut self, kind: usize) {
        let rate = self.site.requests[kind].per_second * self.highest;
        if let Some(pause) = client::pause(rate, &mut self.rng) {
            self.agenda.add(self.now + pause, Event::Ask(kind));
        }
    }

    pub(super) fn ask(&mut self, kind: usize) {
        self.ask_later(kind);
        let at = self.now.duration_since(self.start);
        // Callers are drawn at the highest rate and kept in proportion to the present one.
        let kept = client::load(self.site, at.as_secs_f64()) / self.highest;
        if !self.rng.random_bool(kept.clamp(0.0, 1.0)) {
            return;
        }
        let spec = &self.site.requests[kind];
        let asked = client::ask(spec, self.event_tokens(kind), &mut self.rng);
        let entry = client::entry(self.site, &mut self.rng);
        self.tally.asked(kind, at);
        let id = self.requests.len() as RequestId;
        let deadline = self.now + millis(spec.deadline_ms);
        self.requests.push(Request {
            kind,
            entry,
            asked,
            begun: self.now,
            received: self.now,
            deadline,
            returns: spec.retries,
            sent: 0,
            unreached: 0,
            avoid: Vec::new(),
            state: State::Waiting,
            run: 0,
            first: None,
            last: self.now,
            paused: false,
        });
        self.agenda.add(deadline, Event::Leave(id));
        self.admit(id);
    }

    pub(super) fn event_tokens(&self, kind: usize) -> u32 {
        let name = &self.site.requests[kind].service;
        let service = self.site.services.iter().find(|service| service.name == *name);
        match service.map(|service| &service.server) {
            Some(Server::Engine(engine)) => engine.event_tokens,
            Some(Server::Plain) | None => 1,
        }
    }

    pub(super) fn come_back(&mut self, id: RequestId) {
        let now = self.now;
        let request = self.request(id);
        if request.state == State::Away {
            request.received = now;
            request.sent = 0;
            request.unreached = 0;
            request.avoid.clear();
            self.admit(id);
        }
    }

    pub(super) fn leave(&mut self, id: RequestId) {
        let entry = self.request(id).entry;
        match self.request(id).state {
            State::Ended => return,
            State::Away => {}
            State::Waiting => self.entries[entry].withdraw(id),
            State::Running { upstream, .. } => {
                self.finish_run(id, Outcome::Abandoned);
                let mut next = Vec::new();
                self.upstreams[upstream].cancel(id, &mut next);
                self.plan(upstream, next);
            }
        }
        self.close(id, Fate::Failed);
        self.look(entry);
    }

    pub(super) fn close(&mut self, id: RequestId, fate: Fate) {
        let start = self.start;
        let request = self.request(id);
        request.state = State::Ended;
        let (kind, begun) = (request.kind, request.begun);
        let first = request.first.map(|first| first.duration_since(begun));
        self.tally.ended(kind, begun.duration_since(start), fate, first);
    }
}
