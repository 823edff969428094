//! One run: callers, entries and upstreams in simulated time.
//!
//! Messages between machines take the site's link time. Callers reach an entry at once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::catalog::Route;
use egretgate_core::gateway::lane::Rank;
use egretgate_core::gateway::order::Order;
use egretgate_core::gateway::patience;
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::standing::{Listed, Outcome, Stage};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::agenda::Agenda;
use crate::client::{self, Asked};
use crate::engine::{RequestId, Signal};
use crate::entry::{Decision, Entry, Index, Run};
use crate::policy::Policy;
use crate::site::{Answer, Server, Site, Trouble, What, millis};
use crate::tally::{Fate, Results, Tally};
use crate::upstream::{Arrival, Next, Upstream, Work};

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

    // Callers.

    fn ask_later(&mut self, kind: usize) {
        let rate = self.site.requests[kind].per_second * self.highest;
        if let Some(pause) = client::pause(rate, &mut self.rng) {
            self.agenda.add(self.now + pause, Event::Ask(kind));
        }
    }

    fn ask(&mut self, kind: usize) {
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

    fn event_tokens(&self, kind: usize) -> u32 {
        let name = &self.site.requests[kind].service;
        let service = self.site.services.iter().find(|service| service.name == *name);
        match service.map(|service| &service.server) {
            Some(Server::Engine(engine)) => engine.event_tokens,
            Some(Server::Plain) | None => 1,
        }
    }

    fn come_back(&mut self, id: RequestId) {
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

    fn leave(&mut self, id: RequestId) {
        let entry = self.request(id).entry;
        match self.request(id).state {
            State::Ended => return,
            State::Away => {}
            State::Waiting => self.entries[entry].withdraw(id),
            State::Running { upstream, .. } => {
                self.finish_run(id, Outcome::Left);
                let mut next = Vec::new();
                self.upstreams[upstream].cancel(id, &mut next);
                self.plan(upstream, next);
            }
        }
        self.close(id, Fate::Failed);
        self.look(entry);
    }

    fn close(&mut self, id: RequestId, fate: Fate) {
        let start = self.start;
        let request = self.request(id);
        request.state = State::Ended;
        let (kind, begun) = (request.kind, request.begun);
        let first = request.first.map(|first| first.duration_since(begun));
        self.tally.ended(kind, begun.duration_since(start), fate, first);
    }

    // Entries.

    fn order(&self, id: RequestId) -> Order {
        let request = &self.requests[id as usize];
        let route = &self.routes[request.kind];
        let left = request.deadline.saturating_duration_since(self.now);
        Order {
            number: id,
            service: self.site.requests[request.kind].service.clone(),
            rank: Rank { tier: route.tier, route: route.tier },
            charge: None,
            objective: request.received + route.objective,
            worthwhile: patience::worthwhile_wait(route),
            until: self.now + patience::longest_wait(route, left),
            events: request.asked.expected,
            deadline: request.deadline,
            repeat: request.sent > 0,
            avoid: request.avoid.clone(),
            digest: None,
        }
    }

    fn admit(&mut self, id: RequestId) {
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

    fn refuse(&mut self, id: RequestId) {
        let now = self.now;
        let left = self.request(id).deadline.saturating_duration_since(now);
        let request = self.request(id);
        if request.returns == 0 || left.is_zero() {
            return self.close(id, Fate::Refused);
        }
        request.returns -= 1;
        request.state = State::Away;
        let after = patience::come_back(left, &mut self.entry_rng);
        self.agenda.add(self.now + after, Event::Return(id));
    }

    fn look(&mut self, entry: usize) {
        for id in self.entries[entry].expire(self.now) {
            self.refuse(id);
        }
        for (id, upstream) in self.entries[entry].pump(self.now, &mut self.entry_rng) {
            self.send(id, upstream);
        }
    }

    fn report(&mut self, entry: usize) {
        if let Some(report) = self.entries[entry].report(self.now)
            && !self.cut[entry]
        {
            self.agenda.add(self.now + self.site.link(), Event::Hear(entry, Rc::new(report)));
        }
        let pause = millis(self.site.entries.report_ms);
        self.agenda.add(self.now + pause, Event::Report(entry));
    }

    fn hear(&mut self, from: usize, report: &PeerReport) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if index != from && !self.cut[index] {
                entry.hear(report, self.now);
            }
        }
    }

    /// Gives the entries the list of upstreams that are up.
    fn list(&mut self) {
        let listed = |(index, upstream): (Index, &Upstream)| {
            let service = &self.site.services[upstream.service];
            let listed = Listed {
                id: upstream.name.clone(),
                service: service.name.clone(),
                address: ([127, 0, 0, 1], 9).into(),
                zone: self.site.entries.zones[upstream.zone].name.clone(),
                version: String::new(),
                slots: service.slots,
                stage: Stage::Ready,
                born: Some(upstream.life.into()),
            };
            (index, listed)
        };
        let up = self.upstreams.iter().enumerate().filter(|(_, upstream)| !upstream.down);
        let roster: Vec<(Index, Listed)> = up.map(listed).collect();
        for entry in &mut self.entries {
            entry.set_roster(&roster);
        }
    }

    // Runs.

    fn send(&mut self, id: RequestId, upstream: Index) {
        let now = self.now;
        let request = self.request(id);
        request.run += 1;
        request.state = State::Running { upstream, since: now };
        request.first = None;
        request.paused = false;
        let run = request.run;
        self.agenda.add(now + self.site.link(), Event::Reach(id, run));
    }

    fn reach(&mut self, id: RequestId, run: u32) {
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

    fn carry_out(&mut self, index: Index, life: u32, due: Next) {
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
    fn note_event(&mut self, id: RequestId) {
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

    fn hear_of(&mut self, id: RequestId, run: u32, told: Told) {
        let Some(upstream) = self.running(id, run) else { return };
        let entry = self.request(id).entry;
        let name = self.upstreams[upstream].name.clone();
        match told {
            Told::Done => {
                let pace = self.pace(id);
                self.finish_run(id, Outcome::Good { pace });
                self.close(id, self.fate(id));
            }
            Told::Full => self.run_again(id, Outcome::Full, name, true),
            Told::Down => {
                self.request(id).unreached += 1;
                let more = self.request(id).unreached < MOST_UNREACHED;
                self.run_again(id, Outcome::Unreachable, name, more);
            }
            Told::Failed => self.run_again(id, Outcome::Failed, name, true),
            Told::Broken => self.run_again(id, Outcome::Broken, name, true),
        }
        self.look(entry);
    }

    /// Sends a request to another upstream, if it may run again there.
    fn run_again(&mut self, id: RequestId, outcome: Outcome, tried: String, more: bool) {
        self.finish_run(id, outcome);
        let kind = self.request(id).kind;
        let not_run = matches!(outcome, Outcome::Full | Outcome::Unreachable);
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

    fn finish_run(&mut self, id: RequestId, outcome: Outcome) {
        let request = &self.requests[id as usize];
        let State::Running { upstream, since } = request.state else { return };
        let service = &self.site.services[self.upstreams[upstream].service].name;
        let run = Run { service, upstream, outcome, started: since };
        self.entries[request.entry].finish(id, &run, self.now);
    }

    fn pace(&self, id: RequestId) -> Option<f64> {
        let request = &self.requests[id as usize];
        let State::Running { since, .. } = request.state else { return None };
        let took = self.now.duration_since(since).as_secs_f64();
        let events = request.asked.output / self.event_tokens(request.kind);
        Some(if events == 0 { took } else { took / f64::from(events) })
    }

    /// Returns the fate of a request whose answer is whole.
    fn fate(&self, id: RequestId) -> Fate {
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
    fn running(&self, id: RequestId, run: u32) -> Option<Index> {
        let request = &self.requests[id as usize];
        match request.state {
            State::Running { upstream, .. } if request.run == run => Some(upstream),
            _ => None,
        }
    }

    fn tell(&mut self, id: RequestId, run: u32, told: Told) {
        self.agenda.add(self.now + self.site.link(), Event::Told(id, run, told));
    }

    fn plan(&mut self, index: Index, next: Vec<(Duration, Next)>) {
        let life = self.upstreams[index].life;
        for (after, due) in next {
            self.agenda.add(self.now + after, Event::Due(index, life, due));
        }
    }

    // Troubles.

    fn begin(&mut self, index: usize) {
        let Trouble { seconds, what, .. } = &self.site.troubles[index];
        let hit = match what {
            What::Burst { .. } => Vec::new(),
            What::Cut { part } => self.pick((0..self.entries.len()).collect(), *part),
            What::Crash { service, part }
            | What::Slow { service, part, .. }
            | What::Fail { service, part, .. } => {
                let all = self.upstreams.iter().enumerate();
                let of = all.filter(|(_, up)| self.site.services[up.service].name == *service);
                self.pick(of.map(|(index, _)| index).collect(), *part)
            }
        };
        for &index in &hit {
            match what {
                What::Burst { .. } => {}
                What::Cut { .. } => self.set_cut(index, true),
                What::Crash { .. } => {
                    for id in self.upstreams[index].crash() {
                        let run = self.request(id).run;
                        self.tell(id, run, Told::Broken);
                    }
                }
                What::Slow { factor, .. } => self.upstreams[index].slowness *= factor,
                What::Fail { rate, .. } => self.upstreams[index].failing = rate.clamp(0.0, 1.0),
            }
        }
        self.agenda.add(self.now + LIST_LAG, Event::List);
        let until = self.now + Duration::from_secs_f64(*seconds);
        self.agenda.add(until, Event::End(index, hit));
    }

    fn end(&mut self, index: usize, hit: &[usize]) {
        for &hit in hit {
            match self.site.troubles[index].what {
                What::Burst { .. } => {}
                What::Cut { .. } => self.set_cut(hit, false),
                What::Crash { .. } => self.upstreams[hit].down = false,
                What::Slow { factor, .. } => self.upstreams[hit].slowness /= factor,
                What::Fail { .. } => self.upstreams[hit].failing = 0.0,
            }
        }
        self.agenda.add(self.now + LIST_LAG, Event::List);
    }

    fn set_cut(&mut self, entry: usize, cut: bool) {
        self.cut[entry] = cut;
        self.entries[entry].set_in_touch(!cut);
    }

    fn pick(&mut self, mut all: Vec<usize>, part: f64) -> Vec<usize> {
        all.shuffle(&mut self.rng);
        let count = (all.len() as f64 * part).round() as usize;
        all.truncate(count);
        all
    }

    fn sample(&mut self) {
        let slots = |up: &Upstream| self.site.services[up.service].slots as usize;
        let all: usize = self.upstreams.iter().map(slots).sum();
        let used: usize = self.upstreams.iter().map(Upstream::running).sum();
        let queued: usize = self.upstreams.iter().map(Upstream::waiting).sum();
        self.tally.sample(used as f64 / all as f64, queued as f64 / all as f64);
    }

    fn request(&mut self, id: RequestId) -> &mut Request {
        &mut self.requests[id as usize]
    }
}
