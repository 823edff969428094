//! Cold upstreams get no more than their rate in any second, over all entries; drained zones and
//! regions bind every choice of an upstream.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{
    Admission, AdmissionRequest, Completion, Needs, Reason, Refusal, UpstreamKey,
};
use egretgate_core::gateway::catalog::{Catalog, ColdStart, ServiceSpec};
use egretgate_core::gateway::cold_start::ColdBound;
use egretgate_core::gateway::peer::{PeerReport, name_hash};
use egretgate_core::gateway::regions::Regions;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome, Stage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time from an upstream's record to its reading at every entry.
const LIST_LAG: Duration = Duration::from_secs(2);
const LIST_INTERVAL: Duration = Duration::from_millis(600);
/// Time until the end of an answer in a fleet under load.
const ANSWER_TIME: Duration = Duration::from_millis(160);
/// Time that a sent request may take to arrive.
const MAX_TRANSIT: Duration = Duration::from_millis(40);
const SECOND: Duration = Duration::from_secs(1);
const COLD_TIME: Duration = Duration::from_secs(3);
const BOUND: ColdBound = ColdBound { overage: 1.5, slack: 5.0 };
const SERVICE: &str = "writer";
const ZONES: [&str; 3] = ["a", "b", "c"];

fn listed(index: usize) -> ListedUpstream {
    ListedUpstream {
        id: format!("engine-{index}"),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: ZONES[index % ZONES.len()].to_owned(),
        version: "v1".to_owned(),
        slots: 16,
        stage: Stage::Ready,
        started_ms: Some(1),
        cold_for: Duration::ZERO,
    }
}

fn catalog(rate: f64, drained: &[&str]) -> Arc<Catalog> {
    let cold_start = Some(ColdStart { time: COLD_TIME, rate });
    let spec = ServiceSpec { cold_start, ..ServiceSpec::UNDECLARED };
    let zones = drained.iter().map(|zone| (*zone).to_owned()).collect();
    Arc::new(Catalog::new(1).with_service(SERVICE, spec).with_drained_zones(zones))
}

fn request(number: u64, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        number,
        service: SERVICE.to_owned(),
        route: "brief".to_owned(),
        priority: Priority { tier: (number % 2) as u8, route_tier: 0, over_share: false },
        charge: None,
        objective: now + SECOND,
        useful_wait: SECOND,
        queue_deadline: now + SECOND,
        events: 0.0,
        deadline: now + SECOND * 2,
        faster_than: None,
        is_retry: false,
        avoid: Vec::new(),
        digest: None,
        parts: Arc::default(),
        needs: Needs::default(),
    }
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    entry: usize,
    upstream: usize,
    key: UpstreamKey,
    at: Instant,
}

/// An upstream as it really is.
#[derive(Debug, Clone, Copy)]
struct Truth {
    is_down: bool,
    cold_until: Instant,
    started_ms: u64,
}

struct Fleet {
    entries: Vec<Scheduler>,
    truth: Vec<Truth>,
    /// Arrivals at upstreams while they were cold.
    cold_arrivals: Vec<(usize, Instant)>,
    served: usize,
    answer_time: Duration,
    sent: VecDeque<Sent>,
    /// Lists on their way to the entries, with the time at which they are read.
    lists: VecDeque<(Instant, Vec<ListedUpstream>)>,
    /// Group of each entry; only those of a group hear each other.
    groups: usize,
    now: Instant,
    reported: Instant,
    listed: Instant,
    number: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(entries: usize, upstreams: usize, rate: f64, groups: usize, seed: u64) -> Self {
        let now = Instant::now();
        let names: Vec<u64> = (0..entries).map(|n| name_hash(&format!("10.0.0.{n}"))).collect();
        let entry = |index: usize| {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("entry-{index:03}");
            let mut entry = Scheduler::new(&name, zone, index as u64 + 1).with_cold_bound(BOUND);
            let others = names.iter().filter(|name| **name != names[index]);
            entry.set_entries(names[index], others.copied().collect());
            entry.set_catalog(catalog(rate, &[]), now);
            entry.set_upstreams((0..upstreams).map(listed).collect());
            entry.record_listed_cold(now);
            entry
        };
        Self {
            entries: (0..entries).map(entry).collect(),
            truth: vec![Truth { is_down: false, cold_until: now, started_ms: 1 }; upstreams],
            cold_arrivals: Vec::new(),
            served: 0,
            answer_time: ANSWER_TIME,
            sent: VecDeque::new(),
            lists: VecDeque::new(),
            groups,
            now,
            reported: now,
            listed: now,
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Simulates a time in which `rate` requests arrive per second, at any entry.
    fn simulate(&mut self, time: Duration, rate: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.read_answers();
            if self.now >= self.reported + REPORT_INTERVAL {
                self.reported = self.now;
                self.exchange_reports();
            }
            self.exchange_lists();
            let mut due = rate * STEP.as_secs_f64();
            while self.rng.random::<f64>() < due {
                due -= 1.0;
                let entry = self.rng.random_range(0..self.entries.len());
                self.number += 1;
                let admission = self.entries[entry].admit(request(self.number, self.now), self.now);
                if let Admission::Started(key) = admission {
                    self.start(entry, key);
                }
            }
            for entry in 0..self.entries.len() {
                self.entries[entry].expire(self.now);
                for start in self.entries[entry].dispatch(self.now) {
                    self.start(entry, start.upstream);
                }
            }
        }
    }

    fn start(&mut self, entry: usize, key: UpstreamKey) {
        let id = &self.entries[entry].upstream(key).expect("listed").listed.id;
        let upstream: usize = id["engine-".len()..].parse().unwrap();
        let transit = MAX_TRANSIT.mul_f64(self.rng.random());
        let truth = self.truth[upstream];
        if !truth.is_down && self.now + transit < truth.cold_until {
            self.cold_arrivals.push((upstream, self.now + transit));
        }
        self.sent.push_back(Sent { entry, upstream, key, at: self.now });
    }

    fn read_answers(&mut self) {
        let now = self.now;
        let (truth, answer_time) = (&self.truth, self.answer_time);
        let (ended, running): (Vec<Sent>, Vec<Sent>) = self.sent.drain(..).partition(|sent| {
            now >= sent.at + if truth[sent.upstream].is_down { MAX_TRANSIT } else { answer_time }
        });
        self.sent.extend(running);
        for sent in ended {
            let outcome = if self.truth[sent.upstream].is_down {
                Outcome::Unreachable
            } else {
                self.served += 1;
                Outcome::Succeeded { unit_seconds: Some(0.16) }
            };
            let completion = Completion::new(SERVICE.to_owned(), sent.key, outcome, sent.at);
            self.entries[sent.entry].finish(&completion, now);
        }
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        let reports: Vec<PeerReport> =
            self.entries.iter_mut().map(|entry| entry.report(now)).collect();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate() {
                if from % self.groups == index % self.groups {
                    entry.receive_report(report.clone(), self.now);
                }
            }
        }
    }

    fn exchange_lists(&mut self) {
        if self.now >= self.listed + LIST_INTERVAL {
            self.listed = self.now;
            let record = |(index, truth): (usize, &Truth)| ListedUpstream {
                cold_for: truth.cold_until.saturating_duration_since(self.now),
                started_ms: Some(truth.started_ms),
                ..listed(index)
            };
            let list = self.truth.iter().enumerate().map(record).collect();
            self.lists.push_back((self.now + LIST_LAG, list));
        }
        while let Some((_, list)) = self.lists.pop_front_if(|(at, _)| *at <= self.now) {
            for entry in &mut self.entries {
                entry.set_upstreams(list.clone());
                entry.record_listed_cold(self.now);
            }
        }
    }

    fn drain(&mut self, rate: f64, zones: &[&str]) {
        for entry in &mut self.entries {
            entry.set_catalog(catalog(rate, zones), self.now);
        }
    }

    /// Returns the largest number of arrivals at a cold upstream within any second.
    fn busiest_second(&self) -> usize {
        let count = |(upstream, start): &(usize, Instant)| {
            let within = self
                .cold_arrivals
                .iter()
                .filter(|(other, at)| other == upstream && (*start..*start + SECOND).contains(at));
            within.count()
        };
        self.cold_arrivals.iter().map(count).max().unwrap_or(0)
    }
}

fn allowed(rate: f64) -> usize {
    rate.mul_add(BOUND.overage, BOUND.slack) as usize
}

/// Guards against a zone that comes back cold beside a burst and gets more than it takes, as long as
/// entries don't know of each other's requests.
#[test]
fn a_zone_that_comes_back_cold_gets_its_rate() {
    #[derive(Debug)]
    struct Case {
        entries: usize,
        upstreams: usize,
        cold_rate: f64,
        /// Requests per second at all entries.
        rate: f64,
        /// Groups of entries that don't hear those of other groups.
        groups: usize,
        /// What happens to the zone before it is cold.
        event: Event,
    }
    #[derive(Debug, Clone, Copy, PartialEq)]
    enum Event {
        /// It is drained, and restored once its upstreams are cold.
        Drained,
        /// Its upstreams are down, and come back as new incarnations with their names.
        Down,
    }
    use Event::{Down, Drained};
    let case = |entries, upstreams, cold_rate, rate, groups, event| Case {
        entries,
        upstreams,
        cold_rate,
        rate,
        groups,
        event,
    };
    let cases = [
        case(1, 3, 19.0, 270.0, 1, Drained),
        case(1, 3, 19.0, 270.0, 1, Down),
        case(20, 12, 19.0, 1_080.0, 1, Drained),
        case(20, 12, 19.0, 1_080.0, 1, Down),
        case(20, 12, 19.0, 1_080.0, 20, Drained),
        case(20, 12, 19.0, 1_080.0, 20, Down),
        case(20, 12, 2.0, 1_080.0, 3, Drained),
        case(20, 12, 0.5, 1_080.0, 2, Down),
        case(100, 30, 19.0, 2_700.0, 1, Drained),
        case(100, 30, 19.0, 2_700.0, 100, Drained),
        case(100, 30, 60.0, 2_700.0, 4, Down),
    ];
    let mut violations = Vec::new();
    for case in cases {
        for seed in 0..if case.entries < 100 { 2 } else { 1 } {
            let Case { entries, upstreams, cold_rate, rate, groups, event } = case;
            let mut fleet = Fleet::new(entries, upstreams, cold_rate, groups, seed);
            fleet.simulate(SECOND, rate / 2.0);
            let zone: Vec<usize> = (0..upstreams).step_by(ZONES.len()).collect();
            match event {
                Drained => fleet.drain(cold_rate, &ZONES[..1]),
                Down => zone.iter().for_each(|index| fleet.truth[*index].is_down = true),
            }
            fleet.simulate(SECOND * 2, rate / 2.0);
            let cold_until = fleet.now + COLD_TIME;
            for index in &zone {
                let started_ms = if event == Down { 2 } else { 1 };
                fleet.truth[*index] = Truth { is_down: false, cold_until, started_ms };
            }
            fleet.drain(cold_rate, &[]);
            let served = fleet.served;
            fleet.simulate(COLD_TIME, rate);
            let busiest = fleet.busiest_second();
            if busiest > allowed(cold_rate) {
                violations.push(format!("{case:?}, seed {seed}: {busiest} in a second"));
            }
            assert!(fleet.served > served, "{case:?}: nothing is served");
            // Once warm, they get their part of the burst again.
            fleet.simulate(SECOND * 4, rate);
            let before = fleet.served;
            fleet.simulate(SECOND, rate);
            let after = (fleet.served - before) as f64;
            if after < rate * 0.8 {
                violations.push(format!("{case:?}, seed {seed}: {after} served once warm"));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against one broken answer that makes a busy upstream count as cold for seconds.
#[test]
fn a_broken_answer_of_a_sound_upstream_is_disproved() {
    let mut fleet = Fleet::new(20, 12, 19.0, 1, 1);
    // Other requests must be running that began before the loss.
    fleet.answer_time = Duration::from_millis(250);
    fleet.simulate(SECOND * 2, 500.0);
    let sent = *fleet.sent.back().expect("running");
    let outcome = Outcome::InvalidAnswer;
    let completion = Completion::new(SERVICE.to_owned(), sent.key, outcome, sent.at);
    fleet.entries[sent.entry].finish(&completion, fleet.now);
    let is_cold = |fleet: &Fleet| {
        let id = listed(sent.upstream).id;
        let states = fleet.entries.iter().flat_map(Scheduler::upstreams);
        let states = states.filter(|state| state.listed.id == id);
        states.filter(|state| !state.cold_left(fleet.now).is_zero()).count()
    };
    assert!(is_cold(&fleet) > 0);
    fleet.simulate(SECOND, 500.0);
    assert_eq!(is_cold(&fleet), 0);
}

fn places(drained: &[&str], now: Instant) -> Scheduler {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions: HashMap<String, String> =
        regions.into_iter().map(|(zone, region)| (zone.to_owned(), region.to_owned())).collect();
    let mut entry = Scheduler::new("entry", "a", 1).with_regions(regions);
    entry.set_upstreams((0..6).map(listed).collect());
    entry.set_catalog(catalog(19.0, drained), now);
    entry
}

/// Guards against a choice that leaves the regions of a request, or enters a drained zone.
#[test]
fn drained_zones_and_regions_bind_every_choice() {
    struct Case {
        name: &'static str,
        drained: &'static [&'static str],
        regions: &'static [&'static str],
        is_retry: bool,
        faster_than: Option<f64>,
        /// Zones in which it may run, or why it is refused.
        expected: Result<&'static [&'static str], Reason>,
    }
    let case = |name, drained, regions, expected| Case {
        name,
        drained,
        regions,
        is_retry: false,
        faster_than: None,
        expected,
    };
    let cases = [
        case("any", &[], &[], Ok(&["a", "b", "c"])),
        case("a region", &[], &["south"], Ok(&["c"])),
        case("a drained zone", &["a"], &["north"], Ok(&["b"])),
        Case { is_retry: true, ..case("a retry", &["a"], &["north"], Ok(&["b"])) },
        case("a drained region", &["c"], &["south"], Err(Reason::Drained)),
        case("every zone", &["a", "b", "c"], &[], Err(Reason::Drained)),
        case("a region without upstreams", &[], &["west"], Err(Reason::NoRegion)),
        Case {
            faster_than: Some(9.0),
            ..case("a migration", &["c"], &["south"], Err(Reason::NoneFaster))
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut entry = places(case.drained, now);
        for number in 0..90 {
            let mut request = request(number, now);
            request.needs.regions =
                Regions::new(case.regions.iter().map(|region| (*region).to_owned()).collect());
            (request.is_retry, request.faster_than) = (case.is_retry, case.faster_than);
            match (entry.admit(request, now), case.expected) {
                (Admission::Started(key), Ok(zones)) => {
                    let zone = entry.upstream(key).unwrap().listed.zone.as_str();
                    assert!(zones.contains(&zone), "{}: {zone}", case.name);
                }
                (Admission::Refused(Refusal::Overloaded(overload)), Err(reason)) => {
                    assert_eq!(overload.reason, reason, "{}", case.name);
                }
                (Admission::Refused(Refusal::RetryBudgetSpent), Ok(_)) if case.is_retry => {}
                (Admission::Queued, Ok(_)) => {}
                (admission, _) => panic!("{}: {admission:?}", case.name),
            }
        }
    }
}

/// Guards against requests that wait in vain for a zone that is drained meanwhile.
#[test]
fn waiting_requests_are_refused_once_every_zone_is_drained() {
    let now = Instant::now();
    let mut entry = places(&[], now);
    let admissions: Vec<Admission> =
        (0..400).map(|number| entry.admit(request(number, now), now)).collect();
    let queued = admissions.iter().filter(|admission| **admission == Admission::Queued).count();
    assert!(queued > 0);
    entry.set_catalog(catalog(19.0, &ZONES), now);
    let changes = entry.take_zone_changes();
    assert!(changes.iter().all(|change| change.drained && change.upstreams == 2), "{changes:?}");
    assert_eq!(entry.expire(now + STEP).len(), queued);
}
