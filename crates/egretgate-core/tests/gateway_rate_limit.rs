//! Entries share the limit that an upstream states in its answers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{
    Admission, AdmissionRequest, Completion, Needs, UpstreamKey,
};
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome, Stage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time until the head of an answer arrives, and until the answer ends.
const HEAD_AFTER: Duration = Duration::from_millis(30);
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// The limit binds this long after it was first stated, in any window of this length.
const BINDS_AFTER: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const SERVICE: &str = "writer";
const LIMITED: &str = "engine-0";

#[derive(Debug, Clone, Copy)]
struct Sent {
    entry: usize,
    key: UpstreamKey,
    at: Instant,
    limited: bool,
    head_read: bool,
}

/// Entries that send to four upstreams, of which the first states a limit.
struct Fleet {
    entries: Vec<Scheduler>,
    /// What the first upstream states.
    limit: Option<f64>,
    sent: VecDeque<Sent>,
    /// Arrivals at the limited upstream.
    arrivals: Vec<Instant>,
    reports: Vec<PeerReport>,
    now: Instant,
    reported: Instant,
    number: u64,
    rng: ChaCha8Rng,
}

fn listed(index: usize) -> ListedUpstream {
    ListedUpstream {
        id: format!("engine-{index}"),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "olinda".to_owned(),
        version: "v1".to_owned(),
        slots: 40,
        stage: Stage::Ready,
        started_ms: Some(1),
        cold_for: Duration::ZERO,
    }
}

fn scheduler(index: usize, entries: usize, incarnation: u64) -> Scheduler {
    let mut entry = Scheduler::new(&format!("entry-{index}"), "olinda", incarnation);
    entry.set_peer_count(entries - 1);
    entry.set_upstreams((0..4).map(listed).collect());
    entry
}

impl Fleet {
    fn new(entries: usize, seed: u64) -> Self {
        let now = Instant::now();
        Self {
            entries: (0..entries).map(|index| scheduler(index, entries, 1)).collect(),
            limit: None,
            sent: VecDeque::new(),
            arrivals: Vec::new(),
            reports: Vec::new(),
            now,
            reported: now,
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Simulates a time in which `rate` requests arrive per second, at any entry but those `away`.
    fn simulate(&mut self, time: Duration, rate: f64, away: &[usize]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.read_answers();
            if self.now >= self.reported + REPORT_INTERVAL {
                self.reported = self.now;
                self.exchange_reports(away);
            }
            let mut due = rate * STEP.as_secs_f64();
            while self.rng.random::<f64>() < due {
                due -= 1.0;
                let entry = self.rng.random_range(0..self.entries.len());
                if !away.contains(&entry) {
                    self.send(entry);
                }
            }
        }
    }

    fn read_answers(&mut self) {
        let now = self.now;
        for sent in &mut self.sent {
            if !sent.head_read && now >= sent.at + HEAD_AFTER {
                sent.head_read = true;
                let limit = self.limit.filter(|_| sent.limited);
                self.entries[sent.entry].record_limit(sent.key, limit, now);
            }
        }
        while let Some(sent) = self.sent.pop_front_if(|sent| now >= sent.at + ANSWER_TIME) {
            let outcome = Outcome::Succeeded { unit_seconds: Some(0.2) };
            let completion = Completion::new(SERVICE.to_owned(), sent.key, outcome, sent.at);
            self.entries[sent.entry].finish(&completion, now);
        }
    }

    /// Delivers the reports of the last interval and makes new ones.
    fn exchange_reports(&mut self, away: &[usize]) {
        let reports = std::mem::take(&mut self.reports);
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if !away.contains(&index) {
                for report in &reports {
                    entry.receive_report(report.clone(), self.now);
                }
                self.reports.push(entry.report(self.now));
            }
        }
    }

    fn send(&mut self, entry: usize) {
        self.number += 1;
        let second = Duration::from_secs(1);
        let request = AdmissionRequest {
            number: self.number,
            service: SERVICE.to_owned(),
            route: "brief".to_owned(),
            priority: Priority { tier: 0, route_tier: 0, over_share: false },
            charge: None,
            objective: self.now + second,
            useful_wait: second,
            queue_deadline: self.now + second,
            events: 0.0,
            deadline: self.now + second * 2,
            faster_than: None,
            is_retry: false,
            avoid: Vec::new(),
            digest: None,
            parts: Arc::default(),
            needs: Needs::default(),
        };
        let scheduler = &mut self.entries[entry];
        // Requests that would wait don't matter here.
        let Admission::Started(key) = scheduler.admit(request, self.now) else {
            scheduler.withdraw(self.number, self.now);
            return;
        };
        let limited = scheduler.upstream(key).is_some_and(|state| state.listed.id == LIMITED);
        if limited {
            self.arrivals.push(self.now);
        }
        self.sent.push_back(Sent { entry, key, at: self.now, limited, head_read: false });
    }

    /// Returns the largest number of arrivals in a window that begins after `from`.
    fn busiest_window(&self, from: Instant) -> usize {
        let starts = self.arrivals.iter().filter(|at| **at >= from);
        let count = |start: &Instant| {
            self.arrivals.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count()
        };
        starts.map(count).max().unwrap_or(0)
    }
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Guards against entries that together send an upstream more than it says it takes.
#[test]
fn a_fleet_keeps_to_the_limit_of_an_upstream() {
    struct Case {
        entries: usize,
        limit: f64,
        /// Requests per second at all entries, for four upstreams.
        rate: f64,
        /// Least part of the limit that is used.
        used: f64,
    }
    let cases = [
        Case { entries: 1, limit: 2.0, rate: 40.0, used: 0.5 },
        Case { entries: 5, limit: 0.0, rate: 40.0, used: 0.0 },
        Case { entries: 5, limit: 0.4, rate: 40.0, used: 0.5 },
        Case { entries: 5, limit: 2.6, rate: 40.0, used: 0.5 },
        Case { entries: 26, limit: 1.4, rate: 90.0, used: 0.5 },
        Case { entries: 26, limit: 12.0, rate: 160.0, used: 0.5 },
        Case { entries: 60, limit: 2.6, rate: 300.0, used: 0.5 },
        Case { entries: 60, limit: 60.0, rate: 300.0, used: 0.5 },
    ];
    for Case { entries, limit, rate, used } in cases {
        for seed in 0..if entries < 10 { 3 } else { 1 } {
            let name = format!("{entries} entries, {limit} a second, seed {seed}");
            let mut fleet = Fleet::new(entries, seed);
            fleet.simulate(Duration::from_secs(2), rate, &[]);
            fleet.limit = Some(limit);
            let bound_from = fleet.now + BINDS_AFTER;
            fleet.simulate(Duration::from_secs(15), rate, &[]);
            let busiest = fleet.busiest_window(bound_from);
            assert!(busiest <= allowed(limit), "{name}: {busiest} in 4 s");
            let late = fleet.arrivals.iter().filter(|at| **at >= bound_from).count() as f64;
            let taken = limit * 12.0;
            assert!(late >= (taken * used).floor(), "{name}: {late} of {taken} in 12 s");
            // Once it states no limit any more, it gets its part again.
            fleet.limit = None;
            fleet.simulate(Duration::from_secs(12), rate, &[]);
            let before = fleet.arrivals.len();
            fleet.simulate(Duration::from_secs(4), rate, &[]);
            let after = (fleet.arrivals.len() - before) as f64;
            assert!(after > rate * 4.0 / 4.0 / 2.0, "{name}: {after} in 4 s without a limit");
        }
    }
}

/// Guards against a limit that is exceeded while its parts pass to other entries.
#[test]
fn a_limit_holds_while_entries_leave_and_return() {
    struct Case {
        name: &'static str,
        /// Entries that leave, and return as new incarnations.
        away: &'static [usize],
    }
    let cases = [
        Case { name: "one", away: &[0] },
        Case { name: "half", away: &[0, 2, 4] },
        Case { name: "all but one", away: &[0, 1, 2, 3, 4] },
    ];
    const ENTRIES: usize = 6;
    const LIMIT: f64 = 2.0;
    for Case { name, away } in cases {
        for seed in 0..6 {
            let mut fleet = Fleet::new(ENTRIES, seed);
            fleet.simulate(Duration::from_secs(1), 60.0, &[]);
            fleet.limit = Some(LIMIT);
            let bound_from = fleet.now + BINDS_AFTER;
            fleet.simulate(Duration::from_secs(6), 60.0, &[]);
            fleet.simulate(Duration::from_secs(6), 60.0, away);
            for index in away {
                fleet.sent.retain(|sent| sent.entry != *index);
                fleet.entries[*index] = scheduler(*index, ENTRIES, 2);
            }
            let returned_at = fleet.now;
            fleet.simulate(Duration::from_secs(8), 60.0, &[]);
            // Requests of a new incarnation count only once it was told, and a restart excuses it.
            fleet
                .arrivals
                .retain(|at| !(returned_at..returned_at + Duration::from_millis(500)).contains(at));
            let busiest = fleet.busiest_window(bound_from);
            assert!(busiest <= allowed(LIMIT), "{name}, seed {seed}: {busiest} in 4 s");
        }
    }
}
