//! Requests run at upstreams, and entries hear of them.

use std::time::Duration;

use egretgate_core::gateway::upstream::Outcome;
use rand::RngExt;

use super::{Event, MOST_UNREACHED, State, Told, World};
use crate::client::Asked;
use crate::engine::{RequestId, Signal};
use crate::entry::{Index, Run};
use crate::site::{Answer, millis};
use crate::tally::Fate;
use crate::upstream::{Arrival, Next, Work};

impl World<'_> {
    pub(super) fn send(&mut self, id: RequestId, upstream: Index) {
        let now = self.now;
        let request = self.request(id);
        request.run += 1;
        request.state = State::Running { upstream, since: now };
        request.first = None;
        request.paused = false;
        let run = request.run;
        self.agenda.add(now + self.site.link(), Event::Reach(id, run));
    }

    pub(super) fn reach(&mut self, id: RequestId, run: u32) {
        let Some(upstream) = self.running(id, run) else { return };
        let asked = self.request(id).asked;
        let failing = self.upstreams[upstream].failing;
        if failing > 0.0 && self.entry_rng.random_bool(failing) {
            self.request(id).sent += 1;
            return self.tell(id, run, Told::Failed);
        }
        let Asked { prompt, output, time, .. } = asked;
        let mut next = Vec::new();
        let work = Work { id, prompt, output, time };
        let arrival = self.upstreams[upstream].arrive(work, &mut next);
        self.plan(upstream, next);
        match arrival {
            Arrival::Taken => self.request(id).sent += 1,
            Arrival::Full => {
                self.request(id).sent += 1;
                self.tell(id, run, Told::Full);
            }
            Arrival::Down => self.tell(id, run, Told::Down),
        }
    }

    pub(super) fn carry_out(&mut self, index: Index, life: u32, due: Next) {
        if self.upstreams[index].life != life {
            return;
        }
        let mut next = Vec::new();
        let signals = self.upstreams[index].carry_out(due, &mut next);
        self.plan(index, next);
        for signal in signals {
            match signal {
                Signal::Event(id) => self.note_event(id),
                Signal::Done(id) => {
                    let run = self.request(id).run;
                    self.tell(id, run, Told::Done);
                }
            }
        }
    }

    /// Notes an event of a stream at the moment at which its caller gets it.
    pub(super) fn note_event(&mut self, id: RequestId) {
        let at = self.now + self.site.link();
        let gap = match self.site.requests[self.request(id).kind].answer {
            Answer::Stream { gap_ms, .. } => millis(gap_ms),
            Answer::Call { .. } => Duration::MAX,
        };
        let request = self.request(id);
        if request.first.is_some() {
            request.paused |= at.duration_since(request.last) > gap;
        } else {
            request.first = Some(at);
        }
        request.last = at;
    }

    pub(super) fn hear_of(&mut self, id: RequestId, run: u32, told: Told) {
        let Some(upstream) = self.running(id, run) else { return };
        let entry = self.request(id).entry;
        let name = self.upstreams[upstream].name.clone();
        match told {
            Told::Done => {
                let pace = self.pace(id);
                self.finish_run(id, Outcome::Succeeded { unit_seconds: pace });
                self.close(id, self.fate(id));
            }
            Told::Full => self.run_again(id, Outcome::Rejected, name, true),
            Told::Down => {
                self.request(id).unreached += 1;
                let more = self.request(id).unreached < MOST_UNREACHED;
                self.run_again(id, Outcome::Unreachable, name, more);
            }
            Told::Failed => self.run_again(id, Outcome::Failed, name, true),
            Told::Broken => self.run_again(id, Outcome::InvalidAnswer, name, true),
        }
        self.look(entry);
    }

    /// Sends a request to another upstream, if it may run again there.
    pub(super) fn run_again(&mut self, id: RequestId, outcome: Outcome, tried: String, more: bool) {
        self.finish_run(id, outcome);
        let kind = self.request(id).kind;
        let not_run = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
        let may_run = not_run || self.routes[kind].kind.is_idempotent();
        let left = self.request(id).sent < self.routes[kind].attempts;
        if more && may_run && left {
            self.request(id).avoid.push(tried);
            self.admit(id);
        } else if not_run {
            self.refuse(id);
        } else {
            self.close(id, Fate::Failed);
        }
    }

    pub(super) fn finish_run(&mut self, id: RequestId, outcome: Outcome) {
        let request = &self.requests[id as usize];
        let State::Running { upstream, since } = request.state else { return };
        let service = &self.site.services[self.upstreams[upstream].service].name;
        let run = Run { service, upstream, outcome, started: since };
        self.entries[request.entry].finish(id, &run, self.now);
    }

    pub(super) fn pace(&self, id: RequestId) -> Option<f64> {
        let request = &self.requests[id as usize];
        let State::Running { since, .. } = request.state else { return None };
        let took = self.now.duration_since(since).as_secs_f64();
        let events = request.asked.output / self.event_tokens(request.kind);
        Some(if events == 0 { took } else { took / f64::from(events) })
    }

    /// Returns the fate of a request whose answer is whole.
    pub(super) fn fate(&self, id: RequestId) -> Fate {
        let request = &self.requests[id as usize];
        let objective = request.begun + self.routes[request.kind].objective;
        let first = request.first.unwrap_or(self.now);
        match (first <= objective, request.paused) {
            (false, _) => Fate::Late,
            (true, true) => Fate::Paused,
            (true, false) => Fate::InTime,
        }
    }

    /// Returns the upstream of a request's present run.
    pub(super) fn running(&self, id: RequestId, run: u32) -> Option<Index> {
        let request = &self.requests[id as usize];
        match request.state {
            State::Running { upstream, .. } if request.run == run => Some(upstream),
            _ => None,
        }
    }

    pub(super) fn tell(&mut self, id: RequestId, run: u32, told: Told) {
        self.agenda.add(self.now + self.site.link(), Event::Told(id, run, told));
    }

    pub(super) fn plan(&mut self, index: Index, next: Vec<(Duration, Next)>) {
        let life = self.upstreams[index].life;
        for (after, due) in next {
            self.agenda.add(self.now + after, Event::Due(index, life, due));
        }
    }
}
