//! Simulated entries and upstreams, some of which crash.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{
    Admission, AdmissionRequest, BrokenRun, Completion, Needs, Refusal, UpstreamKey,
};
use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::prompt_part::{PartHash, part_hash};
use egretgate_core::gateway::report_schedule::ReportSchedule;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome, Stage};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
const SERVICE: &str = "writer";
const SLOTS: u32 = 6;
const OBJECTIVE: Duration = Duration::from_millis(600);
/// Time that an upstream takes to write a sound answer.
const WRITE_TIME: Duration = Duration::from_millis(350);
/// Time until a crashed upstream is back, as a new incarnation.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Time until the entries read a change of the list of upstreams.
const LIST_DELAY: Duration = Duration::from_millis(300);
/// Time for which an entry must have run undisturbed before its requests count.
pub(crate) const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Subjects of sound requests; each is a part of its prompts.
const SUBJECTS: usize = 24;

/// The part that most requests share.
pub(crate) const COMMON_PART: &str = "common";

/// What happens beside the sound requests.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    /// Sound requests per second, over all entries.
    pub(crate) rate: f64,
    /// Requests per second with a part that crashes upstreams, over all entries.
    pub(crate) bad_rate: f64,
    /// Time from the beginning of such a run to the crash.
    pub(crate) crash_after: Duration,
    /// True if such a run writes until the crash.
    pub(crate) bad_writes: bool,
    /// Number of them that arrive at once at the beginning.
    pub(crate) bad_burst: usize,
    /// Entries at the end of the list that hear no other during the given time.
    pub(crate) cut_off: (usize, std::ops::Range<f64>),
    /// Times at which an entry is replaced by a new incarnation that knows nothing.
    pub(crate) restarts: Vec<f64>,
    /// Time at which all entries are replaced in this way.
    pub(crate) restart_all: Option<f64>,
    /// Entries that join at second 12.
    pub(crate) joining: usize,
    /// Crashes for other reasons: the time, and the fraction of the upstreams.
    pub(crate) crashes: Vec<(f64, f64)>,
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 5,
            upstreams: 12,
            rate: 90.0,
            bad_rate: 0.0,
            crash_after: Duration::from_millis(40),
            bad_writes: false,
            bad_burst: 0,
            cut_off: (0, 0.0..0.0),
            restarts: Vec::new(),
            restart_all: None,
            joining: 0,
            crashes: Vec::new(),
            seconds: 24.0,
            seed: 1,
        }
    }
}

/// Second at which requests with the part that crashes upstreams begin to arrive.
const BAD_FROM: f64 = 4.0;
/// Second at which they end.
const BAD_UNTIL: f64 = 38.0;

/// What happened.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Times of the upstreams' crashes under the bad part, in seconds.
    pub(crate) crashes: Vec<f64>,
    /// Times at which entries that had run undisturbed sent requests with that part.
    pub(crate) bad_sent: Vec<f64>,
    /// Sound requests with the common part: the second of their arrival, and whether they started.
    pub(crate) sound: Vec<(f64, bool)>,
    /// Sound requests that were refused because of a part.
    pub(crate) refused_parts: usize,
}

impl Report {
    /// Returns the requests with the bad part that were sent later than the stable window after the
    /// fifth crash.
    pub(crate) fn sent_late(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        self.bad_sent.iter().filter(|at| **at > fifth + STABLE_WINDOW.as_secs_f64()).count()
    }

    /// Returns the fraction of the sound requests with the common part that started, of those that
    /// arrived in a span of seconds.
    pub(crate) fn started(&self, span: std::ops::Range<f64>) -> f64 {
        let asked: Vec<bool> =
            self.sound.iter().filter(|(at, _)| span.contains(at)).map(|(_, ok)| *ok).collect();
        assert!(asked.len() >= 20, "{} requests in {span:?}", asked.len());
        asked.iter().filter(|started| **started).count() as f64 / asked.len() as f64
    }
}

#[derive(Debug, Clone)]
struct Run {
    entry: usize,
    /// Incarnation of the entry that sent it.
    incarnation: u64,
    key: UpstreamKey,
    sent_at: Instant,
    began: Option<Instant>,
    parts: Arc<[PartHash]>,
    is_bad: bool,
}

#[derive(Debug, Default)]
struct Upstream {
    generation: u32,
    down_until: Option<Instant>,
    runs: Vec<Run>,
}

struct Entry {
    scheduler: Scheduler,
    incarnation: u64,
    disturbed_at: Option<Instant>,
}

/// A sound or bad request that waits.
struct Waiting {
    /// Position in [`Report::sound`], if it is counted there.
    index: Option<usize>,
    is_bad: bool,
    parts: Arc<[PartHash]>,
}

pub(crate) struct Fleet {
    plan: Plan,
    start: Instant,
    entries: Vec<Entry>,
    upstreams: Vec<Upstream>,
    /// Times at which the entries read the list of upstreams again.
    list_due: Vec<Instant>,
    waiting: BTreeMap<(usize, u64), Waiting>,
    reports: Vec<PeerReport>,
    number: u64,
    rng: ChaCha8Rng,
    report: Report,
}

impl Fleet {
    pub(crate) fn new(plan: Plan) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            start,
            entries: Vec::new(),
            upstreams: (0..plan.upstreams).map(|_| Upstream::default()).collect(),
            list_due: Vec::new(),
            waiting: BTreeMap::new(),
            reports: Vec::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            report: Report::default(),
            plan,
        };
        for index in 0..fleet.plan.entries {
            let entry = fleet.new_entry(index, None);
            fleet.entries.push(entry);
        }
        fleet
    }

    /// Plays the plan.
    pub(crate) fn run(mut self) -> Report {
        let steps = (self.plan.seconds / STEP.as_secs_f64()) as u32;
        let (mut sound_due, mut bad_due) = (0.0, self.plan.bad_burst as f64);
        let mut reported = self.start;
        let schedule = ReportSchedule::new(self.plan.entries, 0);
        let mut plan = self.plan.clone();
        for step in 0..steps {
            let now = self.start + STEP * step;
            let second = (STEP * step).as_secs_f64();
            self.end_runs(now);
            if self.list_due.iter().any(|due| *due <= now) {
                self.list_due.retain(|due| *due > now);
                let listed = self.listed();
                for entry in &mut self.entries {
                    entry.scheduler.set_upstreams(listed.clone());
                }
            }
            if now >= reported + schedule.near_interval() {
                reported = now;
                self.exchange_reports(second, now);
            }
            while plan.restarts.first().is_some_and(|at| *at <= second) {
                plan.restarts.remove(0);
                let index = self.rng.random_range(0..self.entries.len());
                self.entries[index] = self.new_entry(index, Some(now));
            }
            if plan.restart_all.is_some_and(|at| at <= second) {
                plan.restart_all = None;
                for index in 0..self.entries.len() {
                    self.entries[index] = self.new_entry(index, Some(now));
                }
            }
            if plan.joining > 0 && second >= 12.0 {
                for index in
                    self.entries.len()..self.entries.len() + std::mem::take(&mut plan.joining)
                {
                    let entry = self.new_entry(index, Some(now));
                    self.entries.push(entry);
                }
            }
            while plan.crashes.first().is_some_and(|(at, _)| *at <= second) {
                let (_, fraction) = plan.crashes.remove(0);
                let count = (self.upstreams.len() as f64 * fraction).ceil() as usize;
                let mut indexes: Vec<usize> = (0..self.upstreams.len()).collect();
                while indexes.len() > count {
                    indexes.remove(self.rng.random_range(0..indexes.len()));
                }
                for index in indexes {
                    self.crash(index, now);
                }
            }
            for entry in 0..self.entries.len() {
                self.dispatch(entry, now);
            }
            sound_due += self.plan.rate * STEP.as_secs_f64();
            while sound_due >= 1.0 {
                sound_due -= -self.rng.random::<f64>().ln();
                self.send(false, now);
            }
            if (BAD_FROM..BAD_UNTIL).contains(&second) {
                bad_due += self.plan.bad_rate * STEP.as_secs_f64();
                while bad_due >= 1.0 {
                    bad_due -= 1.0;
                    self.send(true, now);
                }
            }
        }
        self.report
    }

    fn new_entry(&self, index: usize, disturbed_at: Option<Instant>) -> Entry {
        let incarnation = self.number * 1_000 + index as u64 + 1;
        let mut scheduler = Scheduler::new(&format!("entry-{index}"), "zone", incarnation);
        scheduler.set_catalog(Arc::new(Catalog::new(1)), self.start);
        scheduler.set_peer_count(self.plan.entries - 1);
        scheduler.set_upstreams(self.listed());
        Entry { scheduler, incarnation, disturbed_at }
    }

    fn listed(&self) -> Vec<ListedUpstream> {
        let up = self.upstreams.iter().enumerate().filter(|(_, up)| up.down_until.is_none());
        up.map(|(index, upstream)| ListedUpstream {
            id: format!("engine-{index}-{}", upstream.generation),
            service: SERVICE.to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "zone".to_owned(),
            version: "v1".to_owned(),
            slots: SLOTS,
            stage: Stage::Ready,
            started_ms: Some(u64::from(upstream.generation) + 1),
            cold_for: Duration::ZERO,
        })
        .collect()
    }

    fn is_cut_off(&self, entry: usize, second: f64) -> bool {
        let (count, span) = &self.plan.cut_off;
        span.contains(&second) && entry + count >= self.plan.entries && entry < self.plan.entries
    }

    fn exchange_reports(&mut self, second: f64, now: Instant) {
        for report in std::mem::take(&mut self.reports) {
            for to in 0..self.entries.len() {
                if !self.is_cut_off(to, second) {
                    self.entries[to].scheduler.receive_report(report.clone(), now);
                }
            }
        }
        for index in 0..self.entries.len() {
            let report = self.entries[index].scheduler.report(now);
            if !self.is_cut_off(index, second) {
                self.reports.push(report);
            }
        }
    }

    fn end_runs(&mut self, now: Instant) {
        for index in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[index];
            if upstream.down_until.is_some_and(|until| until <= now) {
                upstream.down_until = None;
                upstream.generation += 1;
                self.list_due.push(now + LIST_DELAY);
            }
            let is_over = |run: &mut Run| {
                !run.is_bad && run.began.is_some_and(|began| now >= began + WRITE_TIME)
            };
            for run in upstream.runs.extract_if(.., is_over).collect::<Vec<_>>() {
                let unit_seconds = Some(WRITE_TIME.as_secs_f64() / 20.0);
                self.finish(&run, Outcome::Succeeded { unit_seconds }, now);
            }
            let upstream = &mut self.upstreams[index];
            for run in upstream.runs.iter_mut().take(SLOTS as usize) {
                run.began.get_or_insert(now);
            }
            let crashes = |run: &Run| {
                run.is_bad && run.began.is_some_and(|began| now >= began + self.plan.crash_after)
            };
            if upstream.runs.iter().any(crashes) {
                self.report.crashes.push((now - self.start).as_secs_f64());
                self.crash(index, now);
            }
        }
    }

    fn crash(&mut self, index: usize, now: Instant) {
        let upstream = &mut self.upstreams[index];
        if upstream.down_until.is_some() {
            return;
        }
        upstream.down_until = Some(now + DOWN_TIME);
        self.list_due.push(now + LIST_DELAY);
        for run in std::mem::take(&mut upstream.runs) {
            self.finish(&run, Outcome::InvalidAnswer, now);
        }
    }

    fn finish(&mut self, run: &Run, outcome: Outcome, now: Instant) {
        let entry = &mut self.entries[run.entry];
        if entry.incarnation != run.incarnation {
            return;
        }
        let writes = !run.is_bad || self.plan.bad_writes;
        let wrote = run.began.filter(|_| writes).map(|began| now - began);
        let completion = Completion {
            parts: Arc::clone(&run.parts),
            wrote,
            ..Completion::new(SERVICE.to_owned(), run.key, outcome, run.sent_at)
        };
        let upstream = entry.scheduler.upstream(run.key).map(|state| state.listed.id.clone());
        entry.scheduler.finish(&completion, now);
        if let (Outcome::InvalidAnswer, Some(upstream)) = (outcome, upstream) {
            let (digest, parts) = (None, Arc::clone(&run.parts));
            let crash = BrokenRun { upstream, digest, parts, wrote, at: now };
            entry.scheduler.record_crash(&crash, now);
        }
    }

    fn dispatch(&mut self, entry: usize, now: Instant) {
        for (number, refusal) in self.entries[entry].scheduler.expire(now) {
            self.refuse(entry, number, refusal);
        }
        for start in self.entries[entry].scheduler.dispatch(now) {
            self.start(entry, start.number, start.upstream, now);
        }
    }

    fn send(&mut self, is_bad: bool, now: Instant) {
        let entry = self.rng.random_range(0..self.entries.len());
        let second = (now - self.start).as_secs_f64();
        self.number += 1;
        let number = self.number;
        let shares = is_bad || self.rng.random_bool(0.9);
        let first = if shares { COMMON_PART } else { "other" };
        // A few subjects get most requests.
        let subject =
            self.rng.random_range(0..SUBJECTS) * self.rng.random_range(0..SUBJECTS) / SUBJECTS;
        let subject_part = format!("subject-{subject}");
        let second_part = if is_bad { "bad" } else { subject_part.as_str() };
        let third = *["style-a", "style-b"].choose(&mut self.rng).unwrap();
        let parts: Arc<[PartHash]> =
            [first, second_part, third].iter().map(|part| part_hash(part)).collect();
        let index = (!is_bad && shares).then_some(self.report.sound.len());
        if index.is_some() {
            self.report.sound.push((second, false));
        }
        let request = AdmissionRequest {
            number,
            service: SERVICE.to_owned(),
            route: String::new(),
            priority: Priority { tier: 0, route_tier: 0, over_share: false },
            charge: None,
            objective: now + OBJECTIVE,
            useful_wait: OBJECTIVE.mul_f64(0.75),
            queue_deadline: now + Duration::from_millis(1_500),
            events: 20.0,
            deadline: now + Duration::from_secs(8),
            faster_than: None,
            is_retry: false,
            avoid: Vec::new(),
            digest: None,
            parts: Arc::clone(&parts),
            needs: Needs::default(),
        };
        self.dispatch(entry, now);
        self.waiting.insert((entry, number), Waiting { index, is_bad, parts });
        match self.entries[entry].scheduler.admit(request, now) {
            Admission::Started(key) => self.start(entry, number, key, now),
            Admission::Queued => {}
            Admission::Refused(refusal) => self.refuse(entry, number, refusal),
        }
    }

    fn refuse(&mut self, entry: usize, number: u64, refusal: Refusal) {
        let waiting = self.waiting.remove(&(entry, number)).expect("it waits");
        self.report.refused_parts +=
            usize::from(!waiting.is_bad && refusal == Refusal::QuarantinedPart);
    }

    fn start(&mut self, entry: usize, number: u64, key: UpstreamKey, now: Instant) {
        let Some(waiting) = self.waiting.remove(&(entry, number)) else { return };
        let Waiting { index: request, is_bad, parts } = waiting;
        let Entry { scheduler, incarnation, disturbed_at } = &self.entries[entry];
        let second = (now - self.start).as_secs_f64();
        let is_stable = disturbed_at.is_none_or(|at| now > at + STABLE_WINDOW)
            && !self.is_cut_off(entry, second)
            && !self.is_cut_off(entry, second - STABLE_WINDOW.as_secs_f64());
        let listed = &scheduler.upstream(key).expect("listed").listed;
        let run =
            Run { entry, incarnation: *incarnation, key, sent_at: now, began: None, parts, is_bad };
        let mut numbers = listed.id.rsplit('-').map(|text| text.parse::<u32>().unwrap_or(0));
        let (generation, index) = (numbers.next().unwrap(), numbers.next().unwrap() as usize);
        let upstream = &mut self.upstreams[index];
        if upstream.down_until.is_some() || upstream.generation != generation {
            self.finish(&run, Outcome::Unreachable, now);
            return;
        }
        upstream.runs.push(run);
        if is_bad && is_stable {
            self.report.bad_sent.push(second);
        }
        if let Some(request) = request {
            self.report.sound[request].1 = true;
        }
    }
}
