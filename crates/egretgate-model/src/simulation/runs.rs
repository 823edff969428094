//! Runs of requests at upstreams, and their results.

use std::time::Duration;

use egretgate_core::gateway::upstream::Outcome;
use rand::RngExt;

use super::{Event, MAX_UNREACHABLE_TRIES, RequestState, RunResult, Simulation};
use crate::client::RequestShape;
use crate::engine::{RequestId, Signal};
use crate::entry::{FinishedRun, UpstreamIndex};
use crate::site::{AnswerSpec, millis};
use crate::tally::RequestResult;
use crate::upstream::{Arrival, Completion, Work};

impl Simulation<'_> {
    pub(super) fn send(&mut self, id: RequestId, upstream: UpstreamIndex) {
        let now = self.now;
        let request = self.request(id);
        request.run_number += 1;
        request.state = RequestState::Running { upstream, since: now };
        request.first_event = None;
        request.paused = false;
        let run = request.run_number;
        self.events.schedule(now + self.site.link(), Event::UpstreamArrival(id, run));
    }

    pub(super) fn deliver(&mut self, id: RequestId, run: u32) {
        let Some(upstream) = self.current_upstream(id, run) else { return };
        let shape = self.request(id).shape;
        let error_rate = self.upstreams[upstream].error_rate;
        if error_rate > 0.0 && self.entry_rng.random_bool(error_rate) {
            self.request(id).attempts += 1;
            return self.send_result(id, run, RunResult::Failed);
        }
        let RequestShape { prompt_tokens, output_tokens, service_time, .. } = shape;
        let mut next = Vec::new();
        let work = Work { id, prompt_tokens, output_tokens, service_time };
        let arrival = self.upstreams[upstream].accept(work, &mut next);
        self.schedule_completions(upstream, next);
        match arrival {
            Arrival::Accepted => self.request(id).attempts += 1,
            Arrival::Full => {
                self.request(id).attempts += 1;
                self.send_result(id, run, RunResult::Full);
            }
            Arrival::Down => self.send_result(id, run, RunResult::Down),
        }
    }

    pub(super) fn complete(
        &mut self,
        index: UpstreamIndex,
        incarnation: u32,
        completion: Completion,
    ) {
        if self.upstreams[index].incarnation != incarnation {
            return;
        }
        let mut next = Vec::new();
        let signals = self.upstreams[index].complete(completion, &mut next);
        self.schedule_completions(index, next);
        for signal in signals {
            match signal {
                Signal::Event(id) => self.record_event(id),
                Signal::Done(id) => {
                    let run = self.request(id).run_number;
                    self.send_result(id, run, RunResult::Done);
                }
            }
        }
    }

    /// Records an event of a stream at the time at which its caller receives it.
    pub(super) fn record_event(&mut self, id: RequestId) {
        let at = self.now + self.site.link();
        let gap = match self.site.requests[self.request(id).kind].answer {
            AnswerSpec::Stream { gap_ms, .. } => millis(gap_ms),
            AnswerSpec::Call { .. } => Duration::MAX,
        };
        let request = self.request(id);
        if request.first_event.is_some() {
            request.paused |= at.duration_since(request.last_event) > gap;
        } else {
            request.first_event = Some(at);
        }
        request.last_event = at;
    }

    pub(super) fn handle_result(&mut self, id: RequestId, run: u32, result: RunResult) {
        let Some(upstream) = self.current_upstream(id, run) else { return };
        let entry = self.request(id).entry;
        let name = self.upstreams[upstream].name.clone();
        match result {
            RunResult::Done => {
                let unit_seconds = self.event_interval(id);
                self.finish_run(id, Outcome::Succeeded { unit_seconds });
                self.end_request(id, self.answered_result(id));
            }
            RunResult::Full => self.run_again(id, Outcome::Rejected, name, true),
            RunResult::Down => {
                self.request(id).unreachable_tries += 1;
                let tries_left = self.request(id).unreachable_tries < MAX_UNREACHABLE_TRIES;
                self.run_again(id, Outcome::Unreachable, name, tries_left);
            }
            RunResult::Failed => self.run_again(id, Outcome::Failed, name, true),
            RunResult::Crashed => self.run_again(id, Outcome::InvalidAnswer, name, true),
        }
        self.dispatch_waiting(entry);
    }

    /// Ends a run that did not succeed. The request is sent to another upstream if it may run
    /// there; otherwise it is refused or fails.
    pub(super) fn run_again(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        tried_upstream: String,
        tries_left: bool,
    ) {
        self.finish_run(id, outcome);
        let kind = self.request(id).kind;
        let not_run = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
        let may_run = not_run || self.routes[kind].kind.is_idempotent();
        let attempts_left = self.request(id).attempts < self.routes[kind].attempts;
        if tries_left && may_run && attempts_left {
            self.request(id).avoid.push(tried_upstream);
            self.admit(id);
        } else if not_run {
            self.refuse(id);
        } else {
            self.end_request(id, RequestResult::Failed);
        }
    }

    pub(super) fn finish_run(&mut self, id: RequestId, outcome: Outcome) {
        let request = &self.requests[id as usize];
        let RequestState::Running { upstream, since } = request.state else { return };
        let service = &self.site.services[self.upstreams[upstream].service].name;
        let run = FinishedRun { service, upstream, outcome, started: since };
        self.entries[request.entry].finish(id, &run, self.now);
    }

    pub(super) fn event_interval(&self, id: RequestId) -> Option<f64> {
        let request = &self.requests[id as usize];
        let RequestState::Running { since, .. } = request.state else { return None };
        let took = self.now.duration_since(since).as_secs_f64();
        let events = request.shape.output_tokens / self.event_tokens(request.kind);
        Some(if events == 0 { took } else { took / f64::from(events) })
    }

    /// Returns the result of a request whose answer is whole.
    pub(super) fn answered_result(&self, id: RequestId) -> RequestResult {
        let request = &self.requests[id as usize];
        let objective = request.arrived + self.routes[request.kind].objective;
        let first = request.first_event.unwrap_or(self.now);
        match (first <= objective, request.paused) {
            (false, _) => RequestResult::Late,
            (true, true) => RequestResult::Paused,
            (true, false) => RequestResult::InTime,
        }
    }

    /// Returns the upstream of a request's run; `None` if the run is not the current one.
    pub(super) fn current_upstream(&self, id: RequestId, run: u32) -> Option<UpstreamIndex> {
        let request = &self.requests[id as usize];
        match request.state {
            RequestState::Running { upstream, .. } if request.run_number == run => Some(upstream),
            _ => None,
        }
    }

    pub(super) fn send_result(&mut self, id: RequestId, run: u32, result: RunResult) {
        self.events.schedule(self.now + self.site.link(), Event::RunEnd(id, run, result));
    }

    pub(super) fn schedule_completions(
        &mut self,
        index: UpstreamIndex,
        next: Vec<(Duration, Completion)>,
    ) {
        let incarnation = self.upstreams[index].incarnation;
        for (after, completion) in next {
            self.events
                .schedule(self.now + after, Event::Completion(index, incarnation, completion));
        }
    }
}
