//! An entry: the product's scheduler, or a baseline in its place.

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
pub(crate) type Index = usize;

/// What becomes of a request that comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It goes to an upstream.
    Start(Index),
    /// It waits.
    Wait,
    /// It is refused.
    Refuse,
}

/// An entry.
#[derive(Debug)]
pub(crate) struct Entry {
    decider: Decider,
    /// Position of each upstream by its name.
    names: HashMap<String, Index>,
    /// Upstreams of the requests in flight.
    keys: HashMap<RequestId, UpstreamKey>,
}

#[derive(Debug)]
enum Decider {
    Core { scheduler: Box<Scheduler>, talks: bool },
    Simple(Simple),
}

impl Entry {
    /// Returns the entry at `index` of `entries`.
    pub(crate) fn new(policy: Policy, index: usize, entries: usize, zone: &str) -> Self {
        let decider = match policy {
            Policy::Egretgate | Policy::Alone => {
                let name = format!("entry-{index:03}");
                let mut scheduler = Scheduler::new(&name, zone, index as u64 + 1);
                scheduler.set_catalog(Arc::new(Catalog::new(1)), Instant::now());
                scheduler.set_peer_count(entries - 1);
                let talks = policy == Policy::Egretgate;
                Decider::Core { scheduler: Box::new(scheduler), talks }
            }
            Policy::Random | Policy::LeastInFlight | Policy::InOrder => {
                Decider::Simple(Simple::new(policy, entries))
            }
        };
        Self { decider, names: HashMap::new(), keys: HashMap::new() }
    }

    /// Replaces the list of upstreams, each with its position.
    pub(crate) fn set_roster(&mut self, roster: &[(Index, ListedUpstream)]) {
        self.names = roster.iter().map(|(index, listed)| (listed.id.clone(), *index)).collect();
        match &mut self.decider {
            Decider::Core { scheduler, .. } => {
                scheduler.set_upstreams(roster.iter().map(|(_, listed)| listed.clone()).collect());
            }
            Decider::Simple(simple) => simple.set_roster(roster),
        }
    }

    /// Notes whether the directory of entries can be read.
    pub(crate) fn set_in_touch(&mut self, in_touch: bool) {
        if let Decider::Core { scheduler, .. } = &mut self.decider {
            scheduler.set_directory_up(in_touch);
        }
    }

    /// Decides on a request that comes.
    pub(crate) fn admit(
        &mut self,
        order: AdmissionRequest,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Decision {
        let id = order.number;
        match &mut self.decider {
            Decider::Core { scheduler, .. } => match scheduler.admit(order, now) {
                Admission::Started(key) => Decision::Start(self.started(id, key)),
                Admission::Queued => Decision::Wait,
                Admission::Refused(_) => Decision::Refuse,
            },
            Decider::Simple(simple) => simple.admit(order, rng),
        }
    }

    /// Returns the waiting requests that start now.
    pub(crate) fn pump(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> Vec<(RequestId, Index)> {
        match &mut self.decider {
            Decider::Core { scheduler, .. } => {
                let starts = scheduler.dispatch(now);
                let starts = starts.into_iter();
                starts
                    .map(|start| (start.number, self.started(start.number, start.upstream)))
                    .collect()
            }
            Decider::Simple(simple) => simple.pump(rng),
        }
    }

    /// Returns the requests that have waited as long as they may.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<RequestId> {
        match &mut self.decider {
            Decider::Core { scheduler, .. } => {
                scheduler.expire(now).into_iter().map(|(number, _)| number).collect()
            }
            Decider::Simple(_) => Vec::new(),
        }
    }

    /// Removes a request that waits.
    pub(crate) fn withdraw(&mut self, id: RequestId) {
        match &mut self.decider {
            Decider::Core { scheduler, .. } => scheduler.withdraw(id),
            Decider::Simple(simple) => simple.withdraw(id),
        }
    }

    /// Notes how a request ended at an upstream.
    pub(crate) fn finish(&mut self, id: RequestId, run: &Run<'_>, now: Instant) {
        match &mut self.decider {
            Decider::Core { scheduler, .. } => {
                let Some(key) = self.keys.remove(&id) else { return };
                let service = run.service.to_owned();
                let Run { outcome, started, .. } = *run;
                let end = Completion::new(service, key, outcome, started);
                scheduler.finish(&end, now);
            }
            Decider::Simple(simple) => simple.finish(run.upstream),
        }
    }

    /// Returns what the entry tells the others; `None` if it tells nothing.
    pub(crate) fn report(&mut self, now: Instant) -> Option<PeerReport> {
        match &mut self.decider {
            Decider::Core { scheduler, talks: true } => Some(scheduler.report(now)),
            Decider::Core { talks: false, .. } | Decider::Simple(_) => None,
        }
    }

    /// Takes in another entry's report.
    pub(crate) fn hear(&mut self, report: &PeerReport, now: Instant) {
        if let Decider::Core { scheduler, talks: true } = &mut self.decider {
            scheduler.receive_report(report.clone(), now);
        }
    }

    fn started(&mut self, id: RequestId, key: UpstreamKey) -> Index {
        self.keys.insert(id, key);
        let Decider::Core { scheduler, .. } = &self.decider else {
            unreachable!("only the scheduler names upstreams by key");
        };
        let standing = scheduler.upstream(key).expect("an upstream that was just chosen is listed");
        self.names[&standing.listed.id]
    }
}

/// A run at an upstream that has ended.
#[derive(Debug)]
pub(crate) struct Run<'a> {
    pub(crate) service: &'a str,
    pub(crate) upstream: Index,
    pub(crate) outcome: Outcome,
    pub(crate) started: Instant,
}

/// A baseline.
#[derive(Debug)]
struct Simple {
    policy: Policy,
    entries: usize,
    /// Listed upstreams with their service and slots.
    listed: Vec<(Index, String, u32)>,
    /// Own requests in flight by upstream.
    own: HashMap<Index, u32>,
    queue: VecDeque<AdmissionRequest>,
}

impl Simple {
    fn new(policy: Policy, entries: usize) -> Self {
        let (listed, own, queue) = (Vec::new(), HashMap::new(), VecDeque::new());
        Self { policy, entries, listed, own, queue }
    }

    fn set_roster(&mut self, roster: &[(Index, ListedUpstream)]) {
        let roster = roster.iter();
        self.listed =
            roster.map(|(index, listed)| (*index, listed.service.clone(), listed.slots)).collect();
    }

    fn admit(&mut self, order: AdmissionRequest, rng: &mut ChaCha8Rng) -> Decision {
        if let Some(index) = self.choose(&order, rng) {
            return Decision::Start(self.begin(index));
        }
        self.queue.push_back(order);
        Decision::Wait
    }

    fn pump(&mut self, rng: &mut ChaCha8Rng) -> Vec<(RequestId, Index)> {
        let mut starts = Vec::new();
        let mut rest = VecDeque::new();
        for order in std::mem::take(&mut self.queue) {
            match self.choose(&order, rng) {
                Some(index) => starts.push((order.number, self.begin(index))),
                None => rest.push_back(order),
            }
        }
        self.queue = rest;
        starts
    }

    fn withdraw(&mut self, id: RequestId) {
        self.queue.retain(|order| order.number != id);
    }

    fn finish(&mut self, index: Index) {
        if let Some(own) = self.own.get_mut(&index) {
            *own = own.saturating_sub(1);
        }
    }

    fn begin(&mut self, index: Index) -> Index {
        *self.own.entry(index).or_default() += 1;
        index
    }

    fn choose(&self, order: &AdmissionRequest, rng: &mut ChaCha8Rng) -> Option<Index> {
        let own = |index: &Index| self.own.get(index).copied().unwrap_or(0);
        let entries = self.entries as u32;
        let usable = self.listed.iter().filter(|(index, service, slots)| {
            let room = self.policy != Policy::InOrder || own(index) < slots.div_ceil(entries);
            *service == order.service && room
        });
        let usable: Vec<Index> = usable.map(|(index, ..)| *index).collect();
        if usable.is_empty() {
            return None;
        }
        let least = match self.policy {
            Policy::Random => 0,
            _ => usable.iter().map(own).min()?,
        };
        let is_least = |index: &&Index| self.policy == Policy::Random || own(index) == least;
        let among: Vec<Index> = usable.iter().filter(is_least).copied().collect();
        Some(among[rng.random_range(0..among.len())])
    }
}
