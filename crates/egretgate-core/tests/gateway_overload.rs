//! What callers of a fleet get under more load than its upstreams can serve.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{Admission, AdmissionRequest, Completion, UpstreamKey};
use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome, Stage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
/// Report interval per entry of the fleet. Reports arrive when the next ones are sent.
const REPORT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(4);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);
const OBJECTIVE: Duration = Duration::from_millis(400);
const SERVICE: &str = "writer";

/// Silence after which an entry suspects an upstream.
const SUSPECT_AFTER: Duration = Duration::from_millis(400);
/// Silence after which an entry gives up a call.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Requests of one kind that arrive at one entry.
#[derive(Debug, Clone, Copy)]
struct Stream {
    entry: usize,
    /// Tier of the route.
    tier: u8,
    /// Requests per second.
    rate: f64,
    /// Time that each request takes at an upstream.
    upstream_time: Duration,
}

/// Results of the requests of one tier.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    asked: u32,
    /// Started by the time at which their answers were due.
    in_time: u32,
    /// Started at all.
    started: u32,
    /// Time spent at upstreams.
    busy: Duration,
}

/// A request that was sent to an upstream.
#[derive(Debug, Clone, Copy)]
struct Sent {
    entry: usize,
    key: UpstreamKey,
    at: Instant,
    tier: u8,
    objective: Instant,
    upstream_time: Duration,
    /// Its end, once it has a slot.
    until: Option<Instant>,
    /// True if its answer gets lost.
    lost: bool,
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
struct Fleet {
    entries: Vec<Scheduler>,
    slots: usize,
    /// Number of entries, from the end of the list, that are cut off from all others.
    cut_off: usize,
    upstreams: BTreeMap<String, Upstream>,
    /// Fraction of the answers that get lost, in `0.0..=1.0`.
    loss_rate: f64,
    lost: Vec<Lost>,
    /// Makes arrivals and losses random; without it, arrivals are evenly spaced.
    rng: Option<ChaCha8Rng>,
    /// Reports that have not arrived yet.
    reports: Vec<PeerReport>,
    /// Tier, objective and upstream time of each request that has not started.
    waiting: BTreeMap<u64, (u8, Instant, Duration)>,
    tallies: BTreeMap<u8, Tally>,
    number: u64,
}

impl Fleet {
    fn new(entries: usize, upstreams: usize, slots: u32) -> Self {
        let listed = |index| ListedUpstream {
            id: format!("engine-{index}"),
            service: SERVICE.to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "olinda".to_owned(),
            version: "v1".to_owned(),
            slots,
            stage: Stage::Ready,
            started_ms: Some(1),
        };
        let entry = |index: usize| {
            let mut entry = Scheduler::new(&format!("entry-{index}"), "olinda", index as u64 + 1);
            entry.set_catalog(Arc::new(Catalog::new(1)), Instant::now());
            entry.set_peer_count(entries - 1);
            entry.set_upstreams((0..upstreams).map(listed).collect());
            entry
        };
        Self {
            entries: (0..entries).map(entry).collect(),
            slots: slots as usize,
            cut_off: 0,
            upstreams: BTreeMap::new(),
            loss_rate: 0.0,
            lost: Vec::new(),
            rng: None,
            reports: Vec::new(),
            waiting: BTreeMap::new(),
            tallies: BTreeMap::new(),
            number: 0,
        }
    }

    /// Simulates the streams for a time, of which the first second is not counted.
    fn simulate(&mut self, streams: &[Stream], time: Duration) -> &BTreeMap<u8, Tally> {
        let start = Instant::now();
        let mut due: Vec<f64> = streams.iter().map(|_| 0.0).collect();
        let report_interval =
            MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_ENTRY * self.entries.len() as u32);
        let mut reported = start;
        let steps = time.as_millis() / STEP.as_millis();
        for step in 0..steps as u32 {
            let now = start + STEP * step;
            if STEP * step == Duration::from_secs(1) {
                self.tallies.clear();
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
        for upstream in self.upstreams.values_mut() {
            let is_done = |sent: &mut Sent| sent.until.is_some_and(|until| until <= now);
            for sent in upstream.running.extract_if(.., is_done).collect::<Vec<_>>() {
                if sent.lost {
                    self.lost.push(Lost { sent, suspected: false });
                    continue;
                }
                let outcome = Outcome::Succeeded { unit_seconds: Some(0.2) };
                let (service, key, started) = (SERVICE.to_owned(), sent.key, sent.at);
                let completion = Completion::new(service, key, outcome, started);
                self.entries[sent.entry].finish(&completion, now);
            }
            while upstream.running.len() < self.slots
                && let Some(mut sent) = upstream.queue.pop_front()
            {
                sent.until = Some(now + sent.upstream_time);
                upstream.running.push(sent);
                let tally = self.tallies.entry(sent.tier).or_default();
                tally.in_time += u32::from(now <= sent.objective);
                tally.started += 1;
                tally.busy += sent.upstream_time;
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
        for report in std::mem::take(&mut self.reports) {
            for entry in &mut self.entries[..reachable] {
                entry.receive_report(report.clone(), now);
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
        let Stream { entry, tier, upstream_time, .. } = stream;
        self.number += 1;
        let number = self.number;
        self.tallies.entry(tier).or_default().asked += 1;
        self.waiting.insert(number, (tier, now + OBJECTIVE, upstream_time));
        let request = AdmissionRequest {
            number,
            service: SERVICE.to_owned(),
            route: String::new(),
            priority: Priority { tier: 0, route_tier: tier },
            charge: None,
            objective: now + OBJECTIVE,
            useful_wait: OBJECTIVE.mul_f64(0.75),
            queue_deadline: now + Duration::from_millis(1_500),
            events: 0.0,
            deadline: now + Duration::from_secs(8),
            faster_than: None,
            is_retry: false,
            avoid: Vec::new(),
            digest: None,
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
        let (tier, objective, upstream_time) = self.waiting.remove(&number).expect("it waits");
        let id = self.entries[entry].upstream(key).expect("listed").listed.id.clone();
        let loss_rate = self.loss_rate;
        let lost = self.rng.as_mut().is_some_and(|rng| rng.random_bool(loss_rate));
        let sent = Sent { entry, key, at: now, tier, objective, upstream_time, until: None, lost };
        self.upstreams.entry(id).or_default().queue.push_back(sent);
    }
}

/// A burst of urgent requests arrives at one half of the entries, while the other half gets long
/// requests that can wait. These entries must not fill the slots that the urgent requests need.
#[test]
fn no_entry_starts_less_urgent_requests_while_another_refuses_urgent_ones() {
    struct Case {
        name: &'static str,
        entries: usize,
        upstreams: usize,
        slots: u32,
        /// Urgent requests per second at each entry of the first half.
        urgent: f64,
        /// Other requests per second at each entry of the second half.
        others: f64,
        /// Smallest allowed fraction of the busy time of the slots that the urgent requests get.
        least: f64,
    }
    // Urgent requests take 400 ms, the others 800 ms.
    const CASES: [Case; 3] = [
        Case {
            name: "two entries, twice the capacity",
            entries: 2,
            upstreams: 4,
            slots: 5,
            urgent: 100.0,
            others: 20.0,
            least: 0.9,
        },
        Case {
            name: "ten entries, one and a half times the capacity",
            entries: 10,
            upstreams: 20,
            slots: 9,
            urgent: 135.0,
            others: 40.0,
            least: 0.9,
        },
        Case {
            name: "under the capacity",
            entries: 4,
            upstreams: 8,
            slots: 9,
            urgent: 30.0,
            others: 15.0,
            least: 0.4,
        },
    ];
    for case in CASES {
        let mut fleet = Fleet::new(case.entries, case.upstreams, case.slots);
        let half = case.entries / 2;
        let stream = |entry| Stream {
            entry,
            tier: if entry < half { 0 } else { 2 },
            rate: if entry < half { case.urgent } else { case.others },
            upstream_time: Duration::from_millis(if entry < half { 400 } else { 800 }),
        };
        let streams: Vec<Stream> = (0..case.entries).map(stream).collect();
        let tallies = fleet.simulate(&streams, Duration::from_secs(6));
        let (urgent, others) = (tallies[&0], tallies[&2]);
        let fraction = urgent.busy.as_secs_f64() / (urgent.busy + others.busy).as_secs_f64();
        assert!(fraction >= case.least, "{}: {fraction:.2}: {tallies:?}", case.name);
        let slots = case.upstreams as f64 * f64::from(case.slots);
        let asked = case.urgent * half as f64 * 0.4 + case.others * half as f64 * 0.8;
        if asked < slots {
            assert!(urgent.in_time == urgent.asked, "{}: {tallies:?}", case.name);
            assert!(others.started * 100 >= others.asked * 99, "{}: {tallies:?}", case.name);
        } else {
            // Less urgent requests yield without leaving slots idle.
            let used = (urgent.busy + others.busy).as_secs_f64() / 5.0 / slots;
            assert!(used >= 0.85, "{}: {used:.2} of the slots: {tallies:?}", case.name);
        }
    }
}

/// A service of short calls has few slots left behind many entries, so each entry's share is less
/// than a slot.
#[test]
fn many_entries_keep_few_slots_busy_with_short_calls() {
    struct Case {
        name: &'static str,
        entries: usize,
        upstreams: usize,
        slots: u32,
        upstream_time: Duration,
        /// Calls per second over all entries, relative to the capacity of the slots.
        load: f64,
        /// Smallest allowed number of calls that start, as a fraction of the capacity of the slots
        /// or, if they are fewer, of all calls.
        least: f64,
    }
    const CASES: [Case; 4] = [
        Case {
            name: "one upstream is left, overrun with longer calls",
            entries: 26,
            upstreams: 1,
            slots: 6,
            upstream_time: Duration::from_millis(45),
            load: 1.25,
            least: 0.9,
        },
        Case {
            name: "one upstream is left, overrun",
            entries: 26,
            upstreams: 1,
            slots: 6,
            upstream_time: Duration::from_millis(30),
            load: 1.25,
            least: 0.9,
        },
        Case {
            name: "one upstream is left, nearly full",
            entries: 26,
            upstreams: 1,
            slots: 6,
            upstream_time: Duration::from_millis(30),
            load: 0.8,
            least: 0.95,
        },
        Case {
            name: "five upstreams, overrun",
            entries: 21,
            upstreams: 5,
            slots: 6,
            upstream_time: Duration::from_millis(30),
            load: 1.25,
            least: 0.9,
        },
    ];
    for case in CASES {
        let mut fleet = Fleet::new(case.entries, case.upstreams, case.slots);
        let slots = case.upstreams as f64 * f64::from(case.slots);
        let most = slots / case.upstream_time.as_secs_f64();
        let rate = most * case.load / case.entries as f64;
        let stream = |entry| Stream { entry, tier: 0, rate, upstream_time: case.upstream_time };
        let streams: Vec<Stream> = (0..case.entries).map(stream).collect();
        let tally = fleet.simulate(&streams, Duration::from_secs(6))[&0];
        let wanted = f64::from(tally.asked).min(most * 5.0);
        let fraction = f64::from(tally.started) / wanted;
        assert!(fraction >= case.least, "{}: {fraction:.2}: {tally:?}", case.name);
    }
}

/// The service is overloaded and some of its entries are cut off from the others.
#[test]
fn a_cut_off_entry_keeps_to_its_share() {
    struct Case {
        name: &'static str,
        entries: usize,
        cut_off: usize,
        upstreams: usize,
        /// Requests per second over all entries, relative to the capacity of the slots.
        load: f64,
    }
    const CASES: [Case; 4] = [
        Case { name: "one of four", entries: 4, cut_off: 1, upstreams: 18, load: 1.5 },
        Case { name: "nine of twenty-six", entries: 26, cut_off: 9, upstreams: 48, load: 1.5 },
        Case { name: "all of four", entries: 4, cut_off: 4, upstreams: 18, load: 1.5 },
        Case { name: "under the capacity", entries: 26, cut_off: 9, upstreams: 48, load: 0.6 },
    ];
    /// Fraction of the slots by which cut-off entries may exceed theirs, since shares are whole
    /// slots.
    const ALLOWED_EXCESS: f64 = 0.05;
    const SLOTS: u32 = 9;
    const UPSTREAM_TIME: Duration = Duration::from_millis(600);
    for case in CASES {
        let name = case.name;
        let mut fleet = Fleet::new(case.entries, case.upstreams, SLOTS);
        fleet.cut_off = case.cut_off;
        let is_cut_off = |entry| entry >= case.entries - case.cut_off;
        for entry in &mut fleet.entries[case.entries - case.cut_off..] {
            entry.set_directory_up(false);
        }
        let slots = case.upstreams as f64 * f64::from(SLOTS);
        let rate = slots / UPSTREAM_TIME.as_secs_f64() * case.load / case.entries as f64;
        // Requests at cut-off entries have another tier, so that they are counted separately.
        let stream = |entry| Stream {
            entry,
            tier: u8::from(is_cut_off(entry)),
            rate,
            upstream_time: UPSTREAM_TIME,
        };
        let streams: Vec<Stream> = (0..case.entries).map(stream).collect();
        let tallies = fleet.simulate(&streams, Duration::from_secs(6));
        let fraction = tallies[&1].busy.as_secs_f64() / 5.0 / slots;
        let most = case.cut_off as f64 / case.entries as f64 + ALLOWED_EXCESS;
        assert!(fraction <= most, "{name}: {fraction:.2} of the slots: {tallies:?}");
        if case.load < 1.0 {
            let is_served = |tally: &Tally| tally.in_time * 100 >= tally.asked * 99;
            assert!(tallies.values().all(is_served), "{name}: {tallies:?}");
        }
    }
}

/// A service of short calls has one upstream left, which gets more calls than it can run, from two
/// tiers and with answers that get lost.
#[test]
fn a_service_with_one_upstream_left_serves_up_to_its_capacity() {
    struct Case {
        name: &'static str,
        /// Calls per second of each tier over all entries, relative to the capacity of the slots.
        loads: [f64; 2],
        /// Fraction of the answers that get lost.
        loss_rate: f64,
        /// Smallest allowed fraction of the urgent calls that start in time.
        urgent: f64,
        /// Smallest allowed number of calls that start, as a fraction of the capacity of the slots
        /// or, if they are fewer, of all calls.
        least: f64,
    }
    const CASES: [Case; 4] = [
        Case { name: "nearly full", loads: [0.2, 0.6], loss_rate: 0.0, urgent: 0.95, least: 0.95 },
        Case { name: "overrun", loads: [0.35, 1.1], loss_rate: 0.0, urgent: 0.95, least: 0.9 },
        Case { name: "answers lost", loads: [0.2, 0.6], loss_rate: 0.05, urgent: 0.9, least: 0.9 },
        Case {
            name: "overrun, lost",
            loads: [0.35, 1.1],
            loss_rate: 0.05,
            urgent: 0.9,
            least: 0.85,
        },
    ];
    const ENTRIES: usize = 26;
    const SLOTS: u32 = 6;
    const UPSTREAM_TIME: Duration = Duration::from_millis(35);
    for case in CASES {
        for seed in 0..4 {
            let mut fleet = Fleet::new(ENTRIES, 1, SLOTS);
            fleet.loss_rate = case.loss_rate;
            fleet.rng = Some(ChaCha8Rng::seed_from_u64(seed));
            let most = f64::from(SLOTS) / UPSTREAM_TIME.as_secs_f64();
            let streams = (0..2 * ENTRIES).map(|index| {
                let (entry, tier) = (index / 2, index % 2);
                // Callers are spread unevenly over entries.
                let weight = if entry % 2 == 0 { 1.5 } else { 0.5 };
                let rate = most * case.loads[tier] * weight / ENTRIES as f64;
                Stream { entry, tier: tier as u8, rate, upstream_time: UPSTREAM_TIME }
            });
            let streams: Vec<Stream> = streams.collect();
            let tallies = fleet.simulate(&streams, Duration::from_secs(8));
            let (urgent, others) = (tallies[&0], tallies[&1]);
            let name = case.name;
            let in_time = f64::from(urgent.in_time) / f64::from(urgent.asked);
            assert!(in_time >= case.urgent, "{name}, seed {seed}: {in_time:.2}: {tallies:?}");
            let wanted = f64::from(urgent.asked + others.asked).min(most * 7.0);
            let fraction = f64::from(urgent.started + others.started) / wanted;
            assert!(fraction >= case.least, "{name}, seed {seed}: {fraction:.2}: {tallies:?}");
        }
    }
}
