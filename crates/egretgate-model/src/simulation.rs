//! One run: callers, entries and upstreams in simulated time.
//!
//! Messages between machines take the site's link time. Callers reach an entry without delay.

use std::rc::Rc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::catalog::Route;
use egretgate_core::gateway::peer::PeerReport;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::client::{self, RequestShape};
use crate::engine::RequestId;
use crate::entry::{Entry, UpstreamIndex};
use crate::event_queue::EventQueue;
use crate::policy::Policy;
use crate::site::{Site, millis};
use crate::tally::{Results, Tally};
use crate::upstream::{Completion, Upstream};

mod callers;
mod entries;
mod runs;
mod troubles;

/// Interval at which an entry dispatches queued requests.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Delay until a change of the upstreams reaches the entries' lists.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Interval between two samples of the slots in use.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of tries to reach a down upstream after which a request is refused.
const MAX_UNREACHABLE_TRIES: u32 = 4;

/// Simulates one run of a site and returns its results.
pub fn simulate(site: &Site, policy: Policy, seed: u64) -> Results {
    Simulation::new(site, policy, seed).run(seed)
}

#[derive(Debug)]
enum Event {
    /// A candidate arrival of a caller with this kind of request; kept in proportion to the load.
    CallerArrival(usize),
    /// A caller retries after a refusal.
    CallerRetry(RequestId),
    /// A run of a request reaches its upstream.
    UpstreamArrival(RequestId, u32),
    /// Work of this incarnation of an upstream completes.
    Completion(UpstreamIndex, u32, Completion),
    /// An entry learns the result of a run.
    RunEnd(RequestId, u32, RunResult),
    /// An entry sends its report.
    ReportDue(usize),
    /// All entries except the sender receive a report.
    ReportArrival(usize, Rc<PeerReport>),
    /// An entry dispatches its queued requests.
    Tick(usize),
    /// A caller gives up, unless its request has ended.
    CallerDeadline(RequestId),
    /// A trouble begins.
    TroubleBegin(usize),
    /// A trouble ends.
    TroubleEnd(usize, Vec<UpstreamIndex>),
    /// The entries read the list of upstreams.
    ListRefresh,
    /// The slots in use are sampled.
    Sample,
}

/// Result of a run, as its entry learns it.
#[derive(Debug, Clone, Copy)]
enum RunResult {
    /// The answer is whole.
    Done,
    /// The upstream's queue was full.
    Full,
    /// The upstream was down.
    Down,
    /// The upstream failed the request at once.
    Failed,
    /// The upstream crashed during the run.
    Crashed,
}

#[derive(Debug)]
struct Request {
    kind: usize,
    entry: usize,
    shape: RequestShape,
    /// When its caller first sent it.
    arrived: Instant,
    /// When the entry last received it.
    received: Instant,
    deadline: Instant,
    /// Retries that the caller has left.
    retries_left: u32,
    /// Upstreams that received it since the caller last sent it.
    attempts: u32,
    /// Tries that found an upstream down since the caller last sent it.
    unreachable_tries: u32,
    /// Names of the upstreams tried since the caller last sent it.
    avoid: Vec<String>,
    state: RequestState,
    /// Number of the current run; messages of earlier runs are ignored.
    run_number: u32,
    first_event: Option<Instant>,
    last_event: Instant,
    /// True once a gap between events was too long.
    paused: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// Its caller will retry after a delay.
    BackingOff,
    Waiting,
    Running {
        upstream: UpstreamIndex,
        since: Instant,
    },
    Ended,
}

struct Simulation<'a> {
    site: &'a Site,
    routes: Vec<Route>,
    start: Instant,
    now: Instant,
    rng: ChaCha8Rng,
    /// Generator of the draws that depend on the policy: separate, so that all policies get the
    /// same callers.
    entry_rng: ChaCha8Rng,
    events: EventQueue<Event>,
    entries: Vec<Entry>,
    /// By entry: true while it is cut off from its peers and the directory.
    cut_off: Vec<bool>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    tally: Tally,
    /// Highest load factor of the run.
    peak_load: f64,
}

impl<'a> Simulation<'a> {
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
            events: EventQueue::new(),
            entries: (0..count).map(entry).collect(),
            cut_off: vec![false; count],
            upstreams: upstreams.collect(),
            requests: Vec::new(),
            tally: Tally::new(site),
            peak_load: client::peak_load_factor(site),
        }
    }

    fn run(mut self, seed: u64) -> Results {
        self.prepare();
        let end = self.start + self.site.length();
        while let Some((at, event)) = self.events.next() {
            self.now = at;
            let past_end = at >= end;
            // After the end no requests arrive; earlier ones may finish.
            if past_end && matches!(event, Event::CallerArrival(_) | Event::Sample) {
                continue;
            }
            if past_end && self.requests.iter().all(|request| request.state == RequestState::Ended)
            {
                break;
            }
            self.handle(event);
        }
        let preempted = self.upstreams.iter().map(Upstream::preempted).sum();
        self.tally.finish(seed, preempted)
    }

    fn prepare(&mut self) {
        self.refresh_list();
        for kind in 0..self.site.requests.len() {
            self.schedule_arrival(kind);
        }
        let interval = millis(self.site.entries.report_ms);
        for entry in 0..self.entries.len() {
            // Staggers the reports of the entries.
            let offset = interval.mul_f64(entry as f64 / self.entries.len() as f64);
            self.events.schedule(self.start + offset, Event::ReportDue(entry));
            self.events.schedule(self.start + TICK_INTERVAL, Event::Tick(entry));
        }
        for (index, trouble) in self.site.troubles.iter().enumerate() {
            let at = self.start + Duration::from_secs_f64(trouble.at);
            self.events.schedule(at, Event::TroubleBegin(index));
        }
        self.events.schedule(self.start + SAMPLE_INTERVAL, Event::Sample);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallerArrival(kind) => self.handle_arrival(kind),
            Event::CallerRetry(id) => self.retry(id),
            Event::UpstreamArrival(id, run) => self.deliver(id, run),
            Event::Completion(index, incarnation, done) => self.complete(index, incarnation, done),
            Event::RunEnd(id, run, result) => self.handle_result(id, run, result),
            Event::ReportDue(entry) => self.send_report(entry),
            Event::ReportArrival(from, report) => self.deliver_report(from, &report),
            Event::Tick(entry) => {
                self.dispatch_waiting(entry);
                self.events.schedule(self.now + TICK_INTERVAL, Event::Tick(entry));
            }
            Event::CallerDeadline(id) => self.time_out(id),
            Event::TroubleBegin(index) => self.begin_trouble(index),
            Event::TroubleEnd(index, affected) => self.end_trouble(index, &affected),
            Event::ListRefresh => self.refresh_list(),
            Event::Sample => {
                self.sample_slots();
                self.events.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
            }
        }
    }

    fn request(&mut self, id: RequestId) -> &mut Request {
        &mut self.requests[id as usize]
    }
}
