//! An entry: the scheduler of `egretgate-core`, or a baseline in its place.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use egretgate_core::gateway::admission::{Admission, AdmissionRequest, Completion, UpstreamKey};
use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::engine::RequestId;
use crate::policy::Policy;

/// Position of an upstream in the site.
pub(crate) type UpstreamIndex = usize;

/// Admission decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It is sent to an upstream.
    Start(UpstreamIndex),
    /// It is queued.
    Wait,
    /// It is refused.
    Refuse,
}

/// An entry.
#[derive(Debug)]
pub(crate) struct Entry {
    dispatcher: Dispatcher,
    /// Position of each upstream by its name.
    names: HashMap<String, UpstreamIndex>,
    /// Upstreams of the requests in flight.
    keys: HashMap<RequestId, UpstreamKey>,
}

#[derive(Debug)]
enum Dispatcher {
    Core { scheduler: Box<Scheduler>, reports: bool },
    Baseline(Baseline),
}

impl Entry {
    /// Returns the entry at `index` of `entries`.
    pub(crate) fn new(policy: Policy, index: usize, entries: usize, zone: &str) -> Self {
        let dispatcher = match policy {
            Policy::Egretgate | Policy::Alone => {
                let name = format!("entry-{index:03}");
                let mut scheduler = Scheduler::new(&name, zone, index as u64 + 1);
                scheduler.set_catalog(Arc::new(Catalog::new(1)), Instant::now());
                scheduler.set_peer_count(entries - 1);
                let reports = policy == Policy::Egretgate;
                Dispatcher::Core { scheduler: Box::new(scheduler), reports }
            }
            Policy::Random | Policy::LeastInFlight | Policy::InOrder => {
                Dispatcher::Baseline(Baseline::new(policy, entries))
            }
        };
        Self { dispatcher, names: HashMap::new(), keys: HashMap::new() }
    }

    /// Replaces the list of upstreams, each with its position.
    pub(crate) fn set_upstreams(&mut self, upstreams: &[(UpstreamIndex, ListedUpstream)]) {
        self.names = upstreams.iter().map(|(index, listed)| (listed.id.clone(), *index)).collect();
        match &mut self.dispatcher {
            Dispatcher::Core { scheduler, .. } => {
                scheduler
                    .set_upstreams(upstreams.iter().map(|(_, listed)| listed.clone()).collect());
            }
            Dispatcher::Baseline(baseline) => baseline.set_upstreams(upstreams),
        }
    }

    /// Sets whether the directory can be read.
    pub(crate) fn set_directory_up(&mut self, up: bool) {
        if let Dispatcher::Core { scheduler, .. } = &mut self.dispatcher {
            scheduler.set_directory_up(up);
        }
    }

    /// Decides on an arriving request.
    pub(crate) fn admit(
        &mut self,
        request: AdmissionRequest,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Decision {
        let id = request.number;
        match &mut self.dispatcher {
            Dispatcher::Core { scheduler, .. } => match scheduler.admit(request, now) {
                Admission::Started(key) => Decision::Start(self.record_start(id, key)),
                Admission::Queued => Decision::Wait,
                Admission::Refused(_) => Decision::Refuse,
            },
            Dispatcher::Baseline(baseline) => baseline.admit(request, rng),
        }
    }

    /// Returns the queued requests that start now, with their upstreams.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Vec<(RequestId, UpstreamIndex)> {
        match &mut self.dispatcher {
            Dispatcher::Core { scheduler, .. } => {
                let starts = scheduler.dispatch(now);
                let starts = starts.into_iter();
                starts
                    .map(|start| (start.number, self.record_start(start.number, start.upstream)))
                    .collect()
            }
            Dispatcher::Baseline(baseline) => baseline.dispatch(rng),
        }
    }

    /// Removes and returns the queued requests whose longest wait has passed.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<RequestId> {
        match &mut self.dispatcher {
            Dispatcher::Core { scheduler, .. } => {
                scheduler.expire(now).into_iter().map(|(number, _)| number).collect()
            }
            Dispatcher::Baseline(_) => Vec::new(),
        }
    }

    /// Removes a queued request.
    pub(crate) fn withdraw(&mut self, id: RequestId, now: Instant) {
        match &mut self.dispatcher {
            Dispatcher::Core { scheduler, .. } => scheduler.withdraw(id, now),
            Dispatcher::Baseline(baseline) => baseline.withdraw(id),
        }
    }

    /// Records the end of a request at an upstream.
    pub(crate) fn finish(&mut self, id: RequestId, run: &FinishedRun<'_>, now: Instant) {
        match &mut self.dispatcher {
            Dispatcher::Core { scheduler, .. } => {
                let Some(key) = self.keys.remove(&id) else { return };
                let service = run.service.to_owned();
                let FinishedRun { outcome, started, .. } = *run;
                let completion = Completion::new(service, key, outcome, started);
                scheduler.finish(&completion, now);
            }
            Dispatcher::Baseline(baseline) => baseline.finish(run.upstream),
        }
    }

    /// Returns the entry's report to its peers; `None` if it sends none.
    pub(crate) fn report(&mut self, now: Instant) -> Option<PeerReport> {
        match &mut self.dispatcher {
            Dispatcher::Core { scheduler, reports: true } => Some(scheduler.report(now)),
            Dispatcher::Core { reports: false, .. } | Dispatcher::Baseline(_) => None,
        }
    }

    /// Receives a peer's report.
    pub(crate) fn receive_report(&mut self, report: &PeerReport, now: Instant) {
        if let Dispatcher::Core { scheduler, reports: true } = &mut self.dispatcher {
            scheduler.receive_report(report.clone(), now);
        }
    }

    fn record_start(&mut self, id: RequestId, key: UpstreamKey) -> UpstreamIndex {
        self.keys.insert(id, key);
        let Dispatcher::Core { scheduler, .. } = &self.dispatcher else {
            unreachable!("only the scheduler names upstreams by key");
        };
        let state = scheduler.upstream(key).expect("an upstream that was just chosen is listed");
        self.names[&state.listed.id]
    }
}

/// A finished run of a request at an upstream.
#[derive(Debug)]
pub(crate) struct FinishedRun<'a> {
    pub(crate) service: &'a str,
    pub(crate) upstream: UpstreamIndex,
    pub(crate) outcome: Outcome,
    pub(crate) started: Instant,
}

/// A baseline policy.
#[derive(Debug)]
struct Baseline {
    policy: Policy,
    entries: usize,
    /// Listed upstreams with their service and slots.
    listed: Vec<(UpstreamIndex, String, u32)>,
    /// This entry's requests in flight, by upstream.
    in_flight: HashMap<UpstreamIndex, u32>,
    queue: VecDeque<AdmissionRequest>,
}

impl Baseline {
    fn new(policy: Policy, entries: usize) -> Self {
        let (listed, in_flight, queue) = (Vec::new(), HashMap::new(), VecDeque::new());
        Self { policy, entries, listed, in_flight, queue }
    }

    fn set_upstreams(&mut self, upstreams: &[(UpstreamIndex, ListedUpstream)]) {
        let upstreams = upstreams.iter();
        self.listed = upstreams
            .map(|(index, listed)| (*index, listed.service.clone(), listed.slots))
            .collect();
    }

    fn admit(&mut self, request: AdmissionRequest, rng: &mut ChaCha8Rng) -> Decision {
        if let Some(index) = self.choose(&request, rng) {
            return Decision::Start(self.count_start(index));
        }
        self.queue.push_back(request);
        Decision::Wait
    }

    fn dispatch(&mut self, rng: &mut ChaCha8Rng) -> Vec<(RequestId, UpstreamIndex)> {
        let mut starts = Vec::new();
        let mut rest = VecDeque::new();
        for request in std::mem::take(&mut self.queue) {
            match self.choose(&request, rng) {
                Some(index) => starts.push((request.number, self.count_start(index))),
                None => rest.push_back(request),
            }
        }
        self.queue = rest;
        starts
    }

    fn withdraw(&mut self, id: RequestId) {
        self.queue.retain(|request| request.number != id);
    }

    fn finish(&mut self, index: UpstreamIndex) {
        if let Some(in_flight) = self.in_flight.get_mut(&index) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    fn count_start(&mut self, index: UpstreamIndex) -> UpstreamIndex {
        *self.in_flight.entry(index).or_default() += 1;
        index
    }

    fn choose(&self, request: &AdmissionRequest, rng: &mut ChaCha8Rng) -> Option<UpstreamIndex> {
        let in_flight = |index: &UpstreamIndex| self.in_flight.get(index).copied().unwrap_or(0);
        let entries = self.entries as u32;
        let usable = self.listed.iter().filter(|(index, service, slots)| {
            let has_headroom =
                self.policy != Policy::InOrder || in_flight(index) < slots.div_ceil(entries);
            *service == request.service && has_headroom
        });
        let usable: Vec<UpstreamIndex> = usable.map(|(index, ..)| *index).collect();
        if usable.is_empty() {
            return None;
        }
        let fewest = match self.policy {
            Policy::Random => 0,
            _ => usable.iter().map(in_flight).min()?,
        };
        let is_candidate =
            |index: &&UpstreamIndex| self.policy == Policy::Random || in_flight(index) == fewest;
        let candidates: Vec<UpstreamIndex> = usable.iter().filter(is_candidate).copied().collect();
        Some(candidates[rng.random_range(0..candidates.len())])
    }
}
