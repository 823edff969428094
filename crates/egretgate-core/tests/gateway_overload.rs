//! What callers of a whole fleet get under more load than its upstreams can serve.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::lane::Rank;
use egretgate_core::gateway::order::{Admission, End, Order, UpstreamKey};
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::standing::{Listed, Outcome, Stage};

const STEP: Duration = Duration::from_millis(5);
/// Time between two reports of an entry; they arrive with the next one.
const REPORT: Duration = Duration::from_millis(40);
const OBJECTIVE: Duration = Duration::from_millis(400);
const SERVICE: &str = "writer";

/// Requests of one kind that come to one entry.
#[derive(Debug, Clone, Copy)]
struct Stream {
    entry: usize,
    /// Tier of the route.
    tier: u8,
    /// Requests a second.
    rate: f64,
    /// Time that each takes at an upstream.
    hold: Duration,
}

/// What became of the requests of one tier.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    asked: u32,
    /// Started by its objective.
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
    hold: Duration,
    /// When it ends, once it has a slot.
    until: Option<Instant>,
}

/// Runs as many requests as it has slots, the rest in the order of arrival.
#[derive(Debug, Default)]
struct Upstream {
    running: Vec<Sent>,
    queue: VecDeque<Sent>,
}

/// Entries before the same upstreams.
struct Fleet {
    entries: Vec<Scheduler>,
    slots: usize,
    upstreams: BTreeMap<String, Upstream>,
    /// Reports that are on their way.
    reports: Vec<PeerReport>,
    /// Tier, objective and time at an upstream of each request that has not started.
    waiting: BTreeMap<u64, (u8, Instant, Duration)>,
    tallies: BTreeMap<u8, Tally>,
    number: u64,
}

impl Fleet {
    fn new(entries: usize, upstreams: usize, slots: u32) -> Self {
        let listed = |index| Listed {
            id: format!("engine-{index}"),
            service: SERVICE.to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "olinda".to_owned(),
            version: "v1".to_owned(),
            slots,
            stage: Stage::Ready,
            born: Some(1),
        };
        let entry = |index: usize| {
            let mut entry = Scheduler::new(&format!("entry-{index}"), "olinda", index as u64 + 1);
            entry.set_catalog(Arc::new(Catalog::new(1)), Instant::now());
            entry.expect_peers(entries - 1);
            entry.set_roster((0..upstreams).map(listed).collect());
            entry
        };
        Self {
            entries: (0..entries).map(entry).collect(),
            slots: slots as usize,
            upstreams: BTreeMap::new(),
            reports: Vec::new(),
            waiting: BTreeMap::new(),
            tallies: BTreeMap::new(),
            number: 0,
        }
    }

    /// Plays the streams for a time, of which the first second is not counted.
    fn play(&mut self, streams: &[Stream], time: Duration) -> &BTreeMap<u8, Tally> {
        let start = Instant::now();
        let mut due: Vec<f64> = streams.iter().map(|_| 0.0).collect();
        let steps = time.as_millis() / STEP.as_millis();
        for step in 0..steps as u32 {
            let now = start + STEP * step;
            if STEP * step == Duration::from_secs(1) {
                self.tallies.clear();
            }
            self.end(now);
            if (STEP * step).as_millis() % REPORT.as_millis() == 0 {
                self.exchange(now);
            }
            for entry in 0..self.entries.len() {
                self.pump(entry, now);
            }
            for (stream, due) in streams.iter().zip(&mut due) {
                *due += stream.rate * STEP.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.ask(*stream, now);
                }
            }
        }
        &self.tallies
    }

    /// Ends what is done at the upstreams and gives the slots on.
    fn end(&mut self, now: Instant) {
        for upstream in self.upstreams.values_mut() {
            let is_done = |sent: &mut Sent| sent.until.is_some_and(|until| until <= now);
            for sent in upstream.running.extract_if(.., is_done).collect::<Vec<_>>() {
                let outcome = Outcome::Good { pace: Some(0.2) };
                let (service, key, started) = (SERVICE.to_owned(), sent.key, sent.at);
                let end = End { service, key, outcome, digest: None, started };
                self.entries[sent.entry].finish(&end, now);
            }
            while upstream.running.len() < self.slots
                && let Some(mut sent) = upstream.queue.pop_front()
            {
                sent.until = Some(now + sent.hold);
                upstream.running.push(sent);
                let tally = self.tallies.entry(sent.tier).or_default();
                tally.in_time += u32::from(now <= sent.objective);
                tally.started += 1;
                tally.busy += sent.hold;
            }
        }
    }

    fn exchange(&mut self, now: Instant) {
        for report in std::mem::take(&mut self.reports) {
            for entry in &mut self.entries {
                entry.hear(report.clone(), now);
            }
        }
        self.reports = self.entries.iter_mut().map(|entry| entry.report(now)).collect();
    }

    fn pump(&mut self, entry: usize, now: Instant) {
        for number in self.entries[entry].expire(now) {
            self.waiting.remove(&number);
        }
        for start in self.entries[entry].pump(now) {
            self.start(entry, start.number, start.upstream, now);
        }
    }

    fn ask(&mut self, stream: Stream, now: Instant) {
        let Stream { entry, tier, hold, .. } = stream;
        self.number += 1;
        let number = self.number;
        self.tallies.entry(tier).or_default().asked += 1;
        self.waiting.insert(number, (tier, now + OBJECTIVE, hold));
        let order = Order {
            number,
            service: SERVICE.to_owned(),
            rank: Rank { tier: 0, route: tier },
            charge: None,
            objective: now + OBJECTIVE,
            worthwhile: OBJECTIVE.mul_f64(0.75),
            until: now + Duration::from_millis(1_500),
            events: 0.0,
            deadline: now + Duration::from_secs(8),
            repeat: false,
            avoid: Vec::new(),
            digest: None,
        };
        self.pump(entry, now);
        match self.entries[entry].admit(order, now) {
            Admission::Started(key) => self.start(entry, number, key, now),
            Admission::Queued => {}
            Admission::Refused(_) => {
                self.waiting.remove(&number);
            }
        }
    }

    fn start(&mut self, entry: usize, number: u64, key: UpstreamKey, now: Instant) {
        let (tier, objective, hold) = self.waiting.remove(&number).expect("it waits");
        let id = self.entries[entry].upstream(key).expect("listed").listed.id.clone();
        let sent = Sent { entry, key, at: now, tier, objective, hold, until: None };
        self.upstreams.entry(id).or_default().queue.push_back(sent);
    }
}

/// The load it answers: a burst of urgent requests in one part of the fleet, while another part
/// gets long ones that can wait.
#[test]
fn no_entry_starts_what_can_wait_while_another_refuses_what_is_urgent() {
    struct Case {
        name: &'static str,
        entries: usize,
        upstreams: usize,
        slots: u32,
        /// Urgent requests a second at each entry of the first half.
        urgent: f64,
        /// Others a second at each entry of the second half.
        others: f64,
        /// Least part of the slots' time that the urgent ones get.
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
            hold: Duration::from_millis(if entry < half { 400 } else { 800 }),
        };
        let streams: Vec<Stream> = (0..case.entries).map(stream).collect();
        let tallies = fleet.play(&streams, Duration::from_secs(6));
        let (urgent, others) = (tallies[&0], tallies[&2]);
        let part = urgent.busy.as_secs_f64() / (urgent.busy + others.busy).as_secs_f64();
        assert!(part >= case.least, "{}: {part:.2}: {tallies:?}", case.name);
        let slots = case.upstreams as f64 * f64::from(case.slots);
        let asked = case.urgent * half as f64 * 0.4 + case.others * half as f64 * 0.8;
        if asked < slots {
            assert!(urgent.in_time == urgent.asked, "{}: {tallies:?}", case.name);
            assert!(others.started * 100 >= others.asked * 99, "{}: {tallies:?}", case.name);
        } else {
            // What can wait gives way without leaving slots idle.
            let used = (urgent.busy + others.busy).as_secs_f64() / 5.0 / slots;
            assert!(used >= 0.85, "{}: {used:.2} of the slots: {tallies:?}", case.name);
        }
    }
}
