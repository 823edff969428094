//! One run: callers, entries and upstreams in simulated time.
//!
//! Messages between machines take the site's link time. Callers reach an entry at once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::catalog::Route;
use egretgate_core::gateway::peer::PeerReport;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::client::{self, Asked};
use crate::engine::RequestId;
use crate::entry::{Entry, Index};
use crate::event_queue::Agenda;
use crate::policy::Policy;
use crate::site::{Site, millis};
use crate::tally::{Results, Tally};
use crate::upstream::{Next, Upstream};

mod callers;
mod entries;
mod runs;
mod troubles;

/// Time between two looks of an entry at what waits.
const TICK: Duration = Duration::from_millis(15);
/// Time until a change of the upstreams shows in the entries' lists.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Time between two samples of the slots in use.
const SAMPLE: Duration = Duration::from_millis(50);
/// Tries that reach no upstream before a request is refused.
const MOST_UNREACHED: u32 = 4;

/// Plays a run of a site and returns what callers got.
pub fn play(site: &Site, policy: Policy, seed: u64) -> Results {
    World::new(site, policy, seed).run(seed)
}

#[derive(Debug)]
enum Event {
    /// A caller may ask for a kind of request.
    Ask(usize),
    /// A caller comes back.
    Return(RequestId),
    /// A request reaches its upstream.
    Reach(RequestId, u32),
    /// Something at an upstream is due, of the given life.
    Due(Index, u32, Next),
    /// An entry hears of a request that it sent.
    Told(RequestId, u32, Told),
    /// An entry reports.
    Report(usize),
    /// Every entry but the given one hears a report.
    Hear(usize, Rc<PeerReport>),
    /// An entry looks at what waits.
    Tick(usize),
    /// A caller leaves, unless its request has ended.
    Leave(RequestId),
    /// A trouble begins.
    Begin(usize),
    /// A trouble ends.
    End(usize, Vec<Index>),
    /// The entries read the list of upstreams.
    List,
    /// The slots in use are counted.
    Sample,
}

#[derive(Debug, Clone, Copy)]
enum Told {
    Done,
    Full,
    Down,
    Failed,
    Broken,
}

#[derive(Debug)]
struct Request {
    kind: usize,
    entry: usize,
    asked: Asked,
    /// When its caller asked first.
    begun: Instant,
    /// When the entry got it last.
    received: Instant,
    deadline: Instant,
    /// Times that the caller may come back.
    returns: u32,
    /// Upstreams that got it since the caller asked last.
    sent: u32,
    unreached: u32,
    avoid: Vec<String>,
    state: State,
    /// Number of the present run; messages of earlier ones have no effect.
    run: u32,
    first: Option<Instant>,
    last: Instant,
    /// True once a pause between events was too long.
    paused: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// With its caller, who comes back.
    Away,
    Waiting,
    Running {
        upstream: Index,
        since: Instant,
    },
    Ended,
}

struct World<'a> {
    site: &'a Site,
    routes: Vec<Route>,
    start: Instant,
    now: Instant,
    rng: ChaCha8Rng,
    /// For what entries draw, so that all policies get the same callers.
    entry_rng: ChaCha8Rng,
    agenda: Agenda<Event>,
    entries: Vec<Entry>,
    cut: Vec<bool>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    tally: Tally,
    highest: f64,
}

impl<'a> World<'a> {
    fn new(site: &'a Site, policy: Policy, seed: u64) -> Self {
        let zones = &site.entries.zones;
        let zone = |index: usize| &zones[index % zones.len()].name;
        let count = site.entries.count;
        let entry = |index| Entry::new(policy, index, count, zone(index));
        let upstreams = site.services.iter().enumerate().flat_map(|(service, spec)| {
            (0..spec.count)
                .map(move |index| Upstream::new(service, spec, index, index % zones.len()))
        });
        let start = Instant::now();
        Self {
            site,
            routes: site.requests.iter().map(client::route).collect(),
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entry_rng: ChaCha8Rng::seed_from_u64(!seed),
            agenda: Agenda::new(),
            entries: (0..count).map(entry).collect(),
            cut: vec![false; count],
            upstreams: upstreams.collect(),
            requests: Vec::new(),
            tally: Tally::new(site),
            highest: client::highest_load(site),
        }
    }

    fn run(mut self, seed: u64) -> Results {
        self.prepare();
        let end = self.start + self.site.length();
        while let Some((at, event)) = self.agenda.next() {
            self.now = at;
            let over = at >= end;
            // After the end, what was asked is let finish.
            if over && matches!(event, Event::Ask(_) | Event::Sample) {
                continue;
            }
            if over && self.requests.iter().all(|request| request.state == State::Ended) {
                break;
            }
            self.handle(event);
        }
        let preempted = self.upstreams.iter().map(Upstream::preempted).sum();
        self.tally.finish(seed, preempted)
    }

    fn prepare(&mut self) {
        self.list();
        for kind in 0..self.site.requests.len() {
            self.ask_later(kind);
        }
        let pause = millis(self.site.entries.report_ms);
        for entry in 0..self.entries.len() {
            // Entries don't report at one moment.
            let offset = pause.mul_f64(entry as f64 / self.entries.len() as f64);
            self.agenda.add(self.start + offset, Event::Report(entry));
            self.agenda.add(self.start + TICK, Event::Tick(entry));
        }
        for (index, trouble) in self.site.troubles.iter().enumerate() {
            let at = self.start + Duration::from_secs_f64(trouble.at);
            self.agenda.add(at, Event::Begin(index));
        }
        self.agenda.add(self.start + SAMPLE, Event::Sample);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask(kind) => self.ask(kind),
            Event::Return(id) => self.come_back(id),
            Event::Reach(id, run) => self.reach(id, run),
            Event::Due(index, life, due) => self.carry_out(index, life, due),
            Event::Told(id, run, told) => self.hear_of(id, run, told),
            Event::Report(entry) => self.report(entry),
            Event::Hear(from, report) => self.hear(from, &report),
            Event::Tick(entry) => {
                self.look(entry);
                self.agenda.add(self.now + TICK, Event::Tick(entry));
            }
            Event::Leave(id) => self.leave(id),
            Event::Begin(index) => self.begin(index),
            Event::End(index, hit) => self.end(index, &hit),
            Event::List => self.list(),
            Event::Sample => {
                self.sample();
                self.agenda.add(self.now + SAMPLE, Event::Sample);
            }
        }
    }

    fn request(&mut self, id: RequestId) -> &mut Request {
        &mut self.requests[id as usize]
    }
}
