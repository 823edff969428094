//! Simulated entries that send to the same simulated upstreams.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{
    Admission, AdmissionRequest, Charge, Completion, Needs, UpstreamKey,
};
use egretgate_core::gateway::catalog::{Catalog, Team, TokenLimit};
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::regions::Regions;
use egretgate_core::gateway::report_schedule::ReportSchedule;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome, Stage};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
const OBJECTIVE: Duration = Duration::from_millis(400);
pub(crate) const SERVICE: &str = "writer";
/// Time per unit of work at an upstream with slowness 1.
const UNIT_SECONDS: f64 = 0.2;

/// Tokens of a request.
const REQUEST_TOKENS: u64 = 100;

/// Time in which a failing upstream answers.
const FAIL_TIME: Duration = Duration::from_millis(15);
/// Silence after which an entry suspects an upstream.
const SUSPECT_AFTER: Duration = Duration::from_millis(400);
/// Silence after which an entry gives up a call.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Requests of one kind that arrive at one entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stream {
    pub(crate) entry: usize,
    /// Tier of the route.
    pub(crate) tier: u8,
    /// Team that sends them; `None` if they count against no limit.
    pub(crate) team: Option<usize>,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Time that each request takes at an upstream.
    pub(crate) upstream_time: Duration,
}

/// Results of the requests of one tier.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    /// Started by the time at which their answers were due.
    pub(crate) in_time: u32,
    /// Started at all.
    pub(crate) started: u32,
    /// Time spent at upstreams.
    pub(crate) busy: Duration,
    /// Answered with an error.
    pub(crate) failed: u32,
}

/// Upstreams that answer requests with errors, at once.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Failing {
    /// Number of them, the first in the list.
    pub(crate) upstreams: usize,
    /// Fraction of the requests that they fail.
    pub(crate) rate: f64,
    /// Time from which they fail.
    pub(crate) from: Duration,
    /// Time until which they fail.
    pub(crate) until: Duration,
}

/// A request that was sent to an upstream.
#[derive(Debug, Clone, Copy)]
struct Sent {
    entry: usize,
    key: UpstreamKey,
    at: Instant,
    tier: u8,
    team: Option<usize>,
    objective: Instant,
    upstream_time: Duration,
    /// Factor on the time per unit of work at its upstream.
    slowness: f64,
    /// Its end, once it has a slot.
    until: Option<Instant>,
    /// True if its answer gets lost.
    lost: bool,
    /// True if it is answered with an error.
    failed: bool,
}

/// A request whose answer got lost.
#[derive(Debug, Clone, Copy)]
struct Lost {
    sent: Sent,
    suspected: bool,
}

/// Runs as many requests as it has slots, the others in the order of arrival.
#[derive(Debug, Default)]
struct Upstream {
    running: Vec<Sent>,
    queue: VecDeque<Sent>,
}

/// Entries that send to the same upstreams, with the simulated upstreams.
pub(crate) struct Fleet {
    pub(crate) entries: Vec<Scheduler>,
    slots: usize,
    /// Zone of each entry.
    zones: Vec<String>,
    schedule: ReportSchedule,
    /// Number of the last reports.
    report_number: u64,
    /// Number of entries, from the end of the list, that are cut off from all others.
    pub(crate) cut_off: usize,
    upstreams: BTreeMap<String, Upstream>,
    /// Factor on the time that requests take at an upstream, by its position in the list; 1 for
    /// those beyond the end.
    pub(crate) slowness: Vec<f64>,
    /// Fraction of the answers that get lost, in `0.0..=1.0`.
    pub(crate) loss_rate: f64,
    pub(crate) failing: Failing,
    start: Instant,
    lost: Vec<Lost>,
    /// Makes arrivals and losses random; without it, arrivals are evenly spaced.
    pub(crate) rng: Option<ChaCha8Rng>,
    /// Reports that have not arrived yet.
    reports: Vec<PeerReport>,
    /// Each request that has not started, with its objective.
    waiting: BTreeMap<u64, (Stream, Instant)>,
    tallies: BTreeMap<u8, Tally>,
    pub(crate) team_tallies: BTreeMap<usize, Tally>,
    number: u64,
}

impl Fleet {
    /// Returns a fleet in one availability zone.
    pub(crate) fn new(entries: usize, upstreams: usize, slots: u32) -> Self {
        Self::in_zones(1, entries, upstreams, slots)
    }

    /// Returns a fleet whose entries and upstreams are spread evenly over zones.
    pub(crate) fn in_zones(zones: usize, entries: usize, upstreams: usize, slots: u32) -> Self {
        let zone = |index| format!("zone-{}", index % zones);
        let listed = |index| ListedUpstream {
            id: format!("engine-{index}"),
            service: SERVICE.to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: zone(index),
            version: "v1".to_owned(),
            slots,
            stage: Stage::Ready,
            started_ms: Some(1),
            cold_for: Duration::ZERO,
        };
        let entry = |index: usize| {
            let mut entry =
                Scheduler::new(&format!("entry-{index}"), &zone(index), index as u64 + 1);
            entry.set_catalog(Arc::new(Catalog::new(1)), Instant::now());
            entry.set_peer_count(entries - 1);
            entry.set_upstreams((0..upstreams).map(listed).collect());
            entry
        };
        Self {
            entries: (0..entries).map(entry).collect(),
            slots: slots as usize,
            zones: (0..entries).map(zone).collect(),
            schedule: ReportSchedule::new(
                entries.div_ceil(zones),
                entries - entries.div_ceil(zones),
            ),
            report_number: 0,
            cut_off: 0,
            upstreams: BTreeMap::new(),
            slowness: Vec::new(),
            loss_rate: 0.0,
            failing: Failing::default(),
            start: Instant::now(),
            lost: Vec::new(),
            rng: None,
            reports: Vec::new(),
            waiting: BTreeMap::new(),
            tallies: BTreeMap::new(),
            team_tallies: BTreeMap::new(),
            number: 0,
        }
    }

    /// Declares teams with a limit of `rate` requests per second each.
    pub(crate) fn set_teams(&mut self, teams: usize, rate: f64) {
        let tokens = rate * REQUEST_TOKENS as f64;
        let catalog = (0..teams).fold(Catalog::new(2), |catalog, team| {
            let limit = Some(TokenLimit { rate: tokens, burst: tokens });
            let team = Team {
                name: team_name(team),
                tier: None,
                limit,
                default_cost: 1,
                regions: Regions::ANY,
            };
            catalog.with_team(team, Vec::new())
        });
        let catalog = Arc::new(catalog);
        for entry in &mut self.entries {
            entry.set_catalog(Arc::clone(&catalog), Instant::now());
        }
    }

    /// Simulates the streams for a time, of which the first second is not counted.
    pub(crate) fn simulate(&mut self, streams: &[Stream], time: Duration) -> &BTreeMap<u8, Tally> {
        let start = Instant::now();
        self.start = start;
        let mut due: Vec<f64> = streams.iter().map(|_| 0.0).collect();
        // Reports arrive when the next ones are sent.
        let report_interval = self.schedule.near_interval();
        let mut reported = start;
        let steps = time.as_millis() / STEP.as_millis();
        for step in 0..steps as u32 {
            let now = start + STEP * step;
            if STEP * step == Duration::from_secs(1) {
                self.tallies.clear();
                self.team_tallies.clear();
            }
            self.complete_requests(now);
            self.time_out(now);
            if now >= reported + report_interval {
                reported = now;
                self.exchange_reports(now);
            }
            for entry in 0..self.entries.len() {
                self.dispatch(entry, now);
            }
            for (stream, due) in streams.iter().zip(&mut due) {
                *due += stream.rate * STEP.as_secs_f64();
                while *due >= 1.0 {
                    // Arrivals of many callers: the times between them are distributed
                    // exponentially.
                    *due -= self.rng.as_mut().map_or(1.0, |rng| -rng.random::<f64>().ln());
                    self.send_request(*stream, now);
                }
            }
        }
        &self.tallies
    }

    /// Ends the completed requests at the upstreams and starts queued ones.
    fn complete_requests(&mut self, now: Instant) {
        let time = now - self.start;
        let fails = (self.failing.from..self.failing.until).contains(&time);
        for (id, upstream) in &mut self.upstreams {
            let fails = fails && position(id) < self.failing.upstreams;
            let is_done = |sent: &mut Sent| sent.until.is_some_and(|until| until <= now);
            for sent in upstream.running.extract_if(.., is_done).collect::<Vec<_>>() {
                if sent.lost {
                    self.lost.push(Lost { sent, suspected: false });
                    continue;
                }
                let unit_seconds = Some(UNIT_SECONDS * sent.slowness);
                let outcome = if sent.failed {
                    self.tallies.entry(sent.tier).or_default().failed += 1;
                    Outcome::Failed
                } else {
                    Outcome::Succeeded { unit_seconds }
                };
                let (service, key, started) = (SERVICE.to_owned(), sent.key, sent.at);
                let completion = Completion::new(service, key, outcome, started);
                self.entries[sent.entry].finish(&completion, now);
            }
            while upstream.running.len() < self.slots
                && let Some(mut sent) = upstream.queue.pop_front()
            {
                let rate = self.failing.rate;
                sent.failed = fails && self.rng.as_mut().is_some_and(|rng| rng.random_bool(rate));
                if sent.failed {
                    sent.upstream_time = FAIL_TIME;
                }
                sent.until = Some(now + sent.upstream_time);
                upstream.running.push(sent);
                let by_team = sent.team.map(|team| self.team_tallies.entry(team).or_default());
                for tally in by_team.into_iter().chain([self.tallies.entry(sent.tier).or_default()])
                {
                    tally.in_time += u32::from(now <= sent.objective);
                    tally.started += 1;
                    tally.busy += sent.upstream_time;
                }
            }
        }
    }

    /// Suspects and gives up the calls with lost answers, as late as an entry does.
    fn time_out(&mut self, now: Instant) {
        for lost in &mut self.lost {
            if !lost.suspected && now >= lost.sent.at + SUSPECT_AFTER {
                lost.suspected = true;
                self.entries[lost.sent.entry].suspect(lost.sent.key, lost.sent.at, false, now);
            }
        }
        let has_timed_out = |lost: &mut Lost| now >= lost.sent.at + TIMEOUT;
        for lost in self.lost.extract_if(.., has_timed_out) {
            let Sent { entry, key, at, .. } = lost.sent;
            let completion = Completion {
                suspected: true,
                ..Completion::new(SERVICE.to_owned(), key, Outcome::Stalled, at)
            };
            self.entries[entry].finish(&completion, now);
        }
    }

    fn exchange_reports(&mut self, now: Instant) {
        let reachable = self.entries.len() - self.cut_off;
        self.report_number += 1;
        for (from, report) in std::mem::take(&mut self.reports).into_iter().enumerate() {
            for (to, entry) in self.entries[..reachable].iter_mut().enumerate() {
                let is_near = self.zones[from] == self.zones[to];
                if is_near || self.schedule.is_far_due(self.report_number, from + to) {
                    entry.receive_report(report.clone(), now);
                }
            }
        }
        let entries = self.entries[..reachable].iter_mut();
        self.reports = entries.map(|entry| entry.report(now)).collect();
    }

    fn dispatch(&mut self, entry: usize, now: Instant) {
        for (number, _) in self.entries[entry].expire(now) {
            self.waiting.remove(&number);
        }
        for start in self.entries[entry].dispatch(now) {
            self.start(entry, start.number, start.upstream, now);
        }
    }

    fn send_request(&mut self, stream: Stream, now: Instant) {
        let Stream { entry, tier, team, .. } = stream;
        self.number += 1;
        let number = self.number;
        self.tallies.entry(tier).or_default().asked += 1;
        if let Some(team) = team {
            self.team_tallies.entry(team).or_default().asked += 1;
        }
        self.waiting.insert(number, (stream, now + OBJECTIVE));
        let request = AdmissionRequest {
            number,
            service: SERVICE.to_owned(),
            route: String::new(),
            priority: Priority { tier: 0, route_tier: tier, over_share: false },
            charge: team.map(|team| Charge { team: team_name(team), tokens: REQUEST_TOKENS }),
            objective: now + OBJECTIVE,
            useful_wait: OBJECTIVE.mul_f64(0.75),
            queue_deadline: now + Duration::from_millis(1_500),
            events: 0.0,
            deadline: now + Duration::from_secs(8),
            faster_than: None,
            is_retry: false,
            avoid: Vec::new(),
            digest: None,
            parts: Arc::default(),
            needs: Needs::default(),
        };
        self.dispatch(entry, now);
        match self.entries[entry].admit(request, now) {
            Admission::Started(key) => self.start(entry, number, key, now),
            Admission::Queued => {}
            Admission::Refused(_) => {
                self.waiting.remove(&number);
            }
        }
    }

    fn start(&mut self, entry: usize, number: u64, key: UpstreamKey, now: Instant) {
        let (stream, objective) = self.waiting.remove(&number).expect("it waits");
        let Stream { tier, team, upstream_time, .. } = stream;
        let id = self.entries[entry].upstream(key).expect("listed").listed.id.clone();
        let slowness = self.slowness.get(position(&id)).copied().unwrap_or(1.0);
        let upstream_time = upstream_time.mul_f64(slowness);
        let loss_rate = self.loss_rate;
        let lost = self.rng.as_mut().is_some_and(|rng| rng.random_bool(loss_rate));
        let sent = Sent {
            entry,
            key,
            at: now,
            tier,
            team,
            objective,
            upstream_time,
            slowness,
            until: None,
            lost,
            failed: false,
        };
        self.upstreams.entry(id).or_default().queue.push_back(sent);
    }
}

/// Returns the position of an upstream in the list.
fn position(id: &str) -> usize {
    id.trim_start_matches("engine-").parse().expect("a position")
}

fn team_name(team: usize) -> String {
    format!("team-{team}")
}
