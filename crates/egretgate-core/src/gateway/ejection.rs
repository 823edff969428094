//! Which upstreams get no requests because they fail more of them than their siblings do.
//!
//! An upstream that answers with errors at once always has a free slot, so under overload it would
//! get all the work that finds no slot elsewhere. Its answers are compared with those of its
//! siblings, route by route: what fails everywhere alike is the fault of the requests.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::decaying_count::DecayingCount;
use super::peer::NameHash;

/// Time within which an answer loses two thirds of its weight.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Least fraction of failures at which an upstream is ejected. Below it, it fails less than three
/// requests for each that it serves, and under overload its slots are worth more.
const MIN_FAILED_FRACTION: f64 = 0.75;
/// Weight of successes that are added to the answers seen, so that a few failures in a row at an
/// upstream that serves half of its requests don't reach the fraction.
const PRIOR_SUCCESSES: f64 = 1.0;
/// Fraction of failures that is usual at an upstream that works.
const USUAL_FAILED_FRACTION: f64 = 0.01;
/// Evidence, as the negative natural logarithm of the chance that an upstream like its siblings
/// fails so many requests, from which one is ejected: one chance in 100,000.
const MIN_EVIDENCE: f64 = 11.5;
/// Largest fraction of the upstreams of one version of a service that is ejected.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Time for which an ejected upstream gets no requests at first; doubles with each failed probe.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which an ejected upstream gets no requests.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time by which the probe of each further entry is delayed; the result of the one before is
/// reported meanwhile.
const PROBE_STAGGER: Duration = Duration::from_millis(250);
/// Time for which a due probe waits for a request that may be repeated.
const REPEATABLE_WAIT: Duration = Duration::from_millis(500);
/// Successful probes after which an upstream returns.
const PASSES_TO_RETURN: u32 = 2;
/// Time after a return in which reports from before it still arrive.
const RETURN_GRACE: Duration = Duration::from_secs(1);
/// Time after a return for which another ejection counts as one more failed probe, and for which
/// the return is reported.
const RELAPSE_TIME: Duration = Duration::from_secs(10);
/// Weight below which answers are neither kept nor reported.
const MIN_WEIGHT: f64 = 0.05;
/// Time between two judgements.
const JUDGE_INTERVAL: Duration = Duration::from_millis(40);
/// Largest number of items of each kind in a report.
const MAX_REPORTED: usize = 48;

/// Hash that replaces the name of a route in reports.
pub type RouteHash = u32;

/// Weights of recent answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Answers {
    /// All answers; finite and at least 0.
    pub answered: f64,
    /// Those that are failures; at most `answered`.
    pub failed: f64,
}

/// An entry's answers from one upstream to the requests of one route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteAnswers {
    /// Upstream.
    pub upstream: NameHash,
    /// Route.
    pub route: RouteHash,
    /// Answers.
    pub answers: Answers,
}

/// What an entry knows of the probes of an upstream that it has ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeReport {
    /// Upstream.
    pub upstream: NameHash,
    /// Number of the ejection.
    pub number: u32,
    /// Successful probes.
    pub passed: u32,
    /// Time since the ejection with that number began.
    pub age: Duration,
}

/// The part of an entry's report about upstreams that fail.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EjectionReport {
    /// Its answers from upstreams at which some entry sees failures.
    pub answers: Vec<RouteAnswers>,
    /// Probes of the upstreams that it has ejected.
    pub probes: Vec<ProbeReport>,
}

/// What was decided on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionEvent {
    /// It gets no requests.
    Ejected,
    /// A probe of this entry failed.
    ProbeFailed,
    /// It gets requests again.
    Returned,
}

impl EjectionEvent {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ejected => "ejected",
            Self::ProbeFailed => "probe_failed",
            Self::Returned => "returned",
        }
    }
}

/// A decision on an upstream, with what it follows from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EjectionChange {
    /// Upstream.
    pub upstream: NameHash,
    /// Decision.
    pub event: EjectionEvent,
    /// Answers of all entries from it.
    pub answers: Answers,
    /// Failures that its siblings would have had with its requests.
    pub expected: f64,
    /// Number of the ejection.
    pub number: u32,
    /// Time for which it gets no requests; zero if it returns.
    pub pause: Duration,
}

/// This entry's answers.
#[derive(Debug, Clone, Copy)]
struct Counts {
    answered: DecayingCount,
    failed: DecayingCount,
}

impl Counts {
    const fn new(now: Instant) -> Self {
        let empty = DecayingCount::new(DECAY_TIME, now);
        Self { answered: empty, failed: empty }
    }

    fn answers(&self, now: Instant) -> Answers {
        Answers { answered: self.answered.count(now), failed: self.failed.count(now) }
    }
}

/// What this entry has decided on an upstream.
#[derive(Debug, Clone, Copy)]
struct Standing {
    /// Number of the ejection: failed probes count as further ones.
    number: u32,
    /// Successful probes of all entries, as far as they are known.
    passed: u32,
    /// Start of the ejection with that number or, if it has ended, its end.
    since: Instant,
    is_ejected: bool,
    /// True while a probe of this entry is in flight.
    is_probed: bool,
    /// Entries that probe the upstream before this one.
    turn: usize,
}

impl Standing {
    fn pause(&self) -> Duration {
        (MIN_PAUSE * 2_u32.pow(self.number.saturating_sub(1).min(8))).min(MAX_PAUSE)
    }

    /// Begins the ejection with another number.
    const fn eject(&mut self, number: u32, since: Instant) {
        self.number = number;
        self.passed = 0;
        self.since = since;
        self.is_ejected = true;
    }

    /// Ends the ejection if enough probes were successful; returns true if it did.
    const fn end_if_passed(&mut self, now: Instant) -> bool {
        let has_passed = self.is_ejected && self.passed >= PASSES_TO_RETURN;
        if has_passed {
            self.is_ejected = false;
            self.since = now;
        }
        has_passed
    }

    /// Returns true if the next request may go there as a probe.
    fn is_due(&self, may_repeat: bool, now: Instant) -> bool {
        // The more probes were successful, the more entries send one.
        let first = 1 + 2 * self.passed as usize;
        let turn = self.turn.saturating_sub(first - 1).min(64) as u32;
        let wait = if may_repeat { Duration::ZERO } else { REPEATABLE_WAIT };
        let due = self.since + self.pause() + PROBE_STAGGER * turn + wait;
        self.is_ejected && !self.is_probed && now >= due
    }
}

/// The upstreams that fail, as one entry sees them.
#[derive(Debug, Clone, Default)]
pub struct Ejections {
    /// This entry's answers, by upstream and route.
    own: HashMap<(NameHash, RouteHash), Counts>,
    /// Time of this entry's last failed answer.
    last_failure: Option<Instant>,
    /// Answers of all entries, by upstream and route, as of the last update. Successes of other
    /// entries are only known for upstreams that fail.
    known: HashMap<NameHash, HashMap<RouteHash, Answers>>,
    /// Time of the last update.
    updated: Option<Instant>,
    standings: HashMap<NameHash, Standing>,
    changes: Vec<EjectionChange>,
}

impl Ejections {
    /// Records that a request was sent to an upstream.
    pub fn record_start(&mut self, upstream: NameHash) {
        if let Some(standing) = self.standings.get_mut(&upstream) {
            standing.is_probed = standing.is_ejected;
        }
    }

    /// Records the answer to a request that was sent at `started`.
    pub fn record_answer(
        &mut self,
        upstream: NameHash,
        route: RouteHash,
        failed: bool,
        started: Instant,
        now: Instant,
    ) {
        let counts = self.own.entry((upstream, route)).or_insert_with(|| Counts::new(now));
        counts.answered.increment(now);
        if failed {
            counts.failed.increment(now);
            self.last_failure = Some(now);
        }
        self.end_probe(upstream, Some(!failed), started, now);
    }

    /// Records that a request that was sent at `started` ended without an answer that says whether
    /// the upstream works; `reached` is false if the upstream could not be reached or was silent.
    pub fn record_end(
        &mut self,
        upstream: NameHash,
        reached: bool,
        started: Instant,
        now: Instant,
    ) {
        self.end_probe(upstream, (!reached).then_some(false), started, now);
    }

    fn end_probe(
        &mut self,
        upstream: NameHash,
        passed: Option<bool>,
        started: Instant,
        now: Instant,
    ) {
        let Some(standing) = self.standings.get_mut(&upstream) else { return };
        // A request from before the ejection is no probe.
        if !standing.is_ejected || started < standing.since {
            return;
        }
        standing.is_probed = false;
        let event = match passed {
            Some(true) => {
                standing.passed += 1;
                standing.end_if_passed(now).then_some(EjectionEvent::Returned)
            }
            Some(false) => {
                standing.eject(standing.number + 1, now);
                Some(EjectionEvent::ProbeFailed)
            }
            None => None,
        };
        if let Some(event) = event {
            self.record_change(upstream, event, Answers::default(), 0.0);
        }
    }

    /// Receives what another entry knows of the probes of upstreams that this entry has ejected
    /// too.
    pub fn merge_probes(&mut self, probes: &[ProbeReport], now: Instant) {
        for probe in probes {
            let Some(standing) = self.standings.get_mut(&probe.upstream) else { continue };
            if !standing.is_ejected {
                continue;
            }
            if probe.number > standing.number {
                let since = now.checked_sub(probe.age).unwrap_or(now);
                standing.eject(probe.number, since.max(standing.since));
            }
            if probe.number == standing.number {
                standing.passed = standing.passed.max(probe.passed);
            }
            if standing.end_if_passed(now) {
                self.record_change(
                    probe.upstream,
                    EjectionEvent::Returned,
                    Answers::default(),
                    0.0,
                );
            }
        }
    }

    /// Adds up the answers of all entries, those of the others by their reports and the age of
    /// these; returns true if there is something to judge. This is done once per interval.
    pub fn update<'a>(
        &mut self,
        reports: impl Iterator<Item = (&'a EjectionReport, Duration)>,
        now: Instant,
    ) -> bool {
        if self.updated.is_some_and(|last| now.duration_since(last) < JUDGE_INTERVAL) {
            return false;
        }
        self.updated = Some(now);
        self.known.clear();
        for (report, age) in reports {
            let weight = (-age.div_duration_f64(DECAY_TIME)).exp();
            for RouteAnswers { upstream, route, answers } in &report.answers {
                let sum = self.known.entry(*upstream).or_default().entry(*route).or_default();
                sum.answered += answers.answered * weight;
                sum.failed += answers.failed.min(answers.answered) * weight;
            }
        }
        let has_failed =
            self.last_failure.is_some_and(|last| now.duration_since(last) < DECAY_TIME * 5);
        if self.known.is_empty() && !has_failed {
            return false;
        }
        for ((upstream, route), counts) in &self.own {
            let own = counts.answers(now);
            let sum = self.known.entry(*upstream).or_default().entry(*route).or_default();
            sum.answered += own.answered;
            sum.failed += own.failed;
        }
        true
    }

    /// Judges the upstreams of one version of a service, after [`Ejections::update`].
    pub fn judge(&mut self, members: &[NameHash], now: Instant) {
        let most = (members.len() as f64 * MAX_EJECTED_FRACTION) as usize;
        let (ejected, siblings): (Vec<NameHash>, Vec<NameHash>) =
            members.iter().partition(|upstream| self.is_ejected(**upstream));
        let is_candidate = |upstream: &&NameHash| {
            let total = self.total(**upstream);
            total.failed >= MIN_FAILED_FRACTION * (total.answered + PRIOR_SUCCESSES)
                && !self.has_just_returned(**upstream, now)
        };
        let mut candidates: Vec<NameHash> = siblings.iter().filter(is_candidate).copied().collect();
        if candidates.is_empty() {
            return;
        }
        let fractions = self.route_fractions(&siblings);
        let mut found = Vec::new();
        for upstream in candidates.drain(..) {
            let total = self.total(upstream);
            let expected = self.expected(upstream, &fractions, siblings.len());
            let evidence = evidence(total, expected);
            if evidence >= MIN_EVIDENCE {
                found.push((evidence, upstream, total, expected));
            }
        }
        // The clearest first, since not all may be ejected.
        found.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, upstream, total, expected) in found.into_iter().take(most - ejected.len().min(most))
        {
            self.eject(upstream, now);
            self.record_change(upstream, EjectionEvent::Ejected, total, expected);
        }
    }

    /// Returns the sums over the siblings of the fractions that each fails, by route. Each sibling
    /// counts once, so one that fails and therefore answers most requests doesn't decide.
    fn route_fractions(&self, siblings: &[NameHash]) -> HashMap<RouteHash, f64> {
        let mut fractions = HashMap::new();
        let routes = siblings.iter().filter_map(|upstream| self.known.get(upstream)).flatten();
        for (route, answers) in routes {
            *fractions.entry(*route).or_default() += fraction(answers);
        }
        fractions
    }

    /// Returns the failures that the other siblings would have had with an upstream's requests.
    fn expected(
        &self,
        upstream: NameHash,
        fractions: &HashMap<RouteHash, f64>,
        siblings: usize,
    ) -> f64 {
        let others = siblings.saturating_sub(1).max(1) as f64;
        let routes = self.known.get(&upstream).into_iter().flatten();
        let expected = routes.map(|(route, answers)| {
            let sum = fractions.get(route).copied().unwrap_or(0.0) - fraction(answers);
            answers.answered * (sum / others).max(USUAL_FAILED_FRACTION)
        });
        expected.sum()
    }

    fn total(&self, upstream: NameHash) -> Answers {
        let routes = self.known.get(&upstream).into_iter().flat_map(HashMap::values);
        routes.fold(Answers::default(), |sum, answers| Answers {
            answered: sum.answered + answers.answered,
            failed: sum.failed + answers.failed,
        })
    }

    fn eject(&mut self, upstream: NameHash, now: Instant) {
        let fresh = Standing {
            number: 0,
            passed: 0,
            since: now,
            is_ejected: false,
            is_probed: false,
            turn: 0,
        };
        let standing = self.standings.entry(upstream).or_insert(fresh);
        let is_relapse = now.saturating_duration_since(standing.since) < RELAPSE_TIME;
        let number = if is_relapse { standing.number + 1 } else { 1 };
        standing.eject(number, now);
    }

    fn record_change(
        &mut self,
        upstream: NameHash,
        event: EjectionEvent,
        answers: Answers,
        expected: f64,
    ) {
        let Some(standing) = self.standings.get(&upstream) else { return };
        let pause = if standing.is_ejected { standing.pause() } else { Duration::ZERO };
        let number = standing.number;
        self.changes.push(EjectionChange { upstream, event, answers, expected, number, pause });
        if event == EjectionEvent::Returned {
            self.own.retain(|(returned, _), _| *returned != upstream);
        }
    }

    fn has_just_returned(&self, upstream: NameHash, now: Instant) -> bool {
        self.standings
            .get(&upstream)
            .is_some_and(|standing| now.duration_since(standing.since) < RETURN_GRACE)
    }

    /// Returns true if the upstream gets no requests but probes.
    pub fn is_ejected(&self, upstream: NameHash) -> bool {
        self.standings.get(&upstream).is_some_and(|standing| standing.is_ejected)
    }

    /// Returns the ejected upstreams.
    pub fn ejected(&self) -> impl Iterator<Item = NameHash> + '_ {
        let ejected = self.standings.iter().filter(|(_, standing)| standing.is_ejected);
        ejected.map(|(upstream, _)| *upstream)
    }

    /// Sets the number of entries that probe an ejected upstream before this one.
    pub fn set_turn(&mut self, upstream: NameHash, turn: usize) {
        if let Some(standing) = self.standings.get_mut(&upstream) {
            standing.turn = turn;
        }
    }

    /// Returns true if an ejected upstream should get the next request as a probe.
    pub fn is_due(&self, upstream: NameHash, may_repeat: bool, now: Instant) -> bool {
        self.standings.get(&upstream).is_some_and(|standing| standing.is_due(may_repeat, now))
    }

    /// Forgets an upstream that is gone or has restarted.
    pub fn forget(&mut self, upstream: NameHash) {
        self.standings.remove(&upstream);
        self.known.remove(&upstream);
        self.own.retain(|(gone, _), _| *gone != upstream);
    }

    /// Returns what the other entries should know.
    pub fn report(&mut self, now: Instant) -> EjectionReport {
        self.own.retain(|_, counts| counts.answered.count(now) >= MIN_WEIGHT);
        self.standings.retain(|_, standing| {
            standing.is_ejected || now.saturating_duration_since(standing.since) < RELAPSE_TIME
        });
        let fails = |upstream: &NameHash| self.total(*upstream).failed >= MIN_WEIGHT;
        let answers = self.own.iter().filter(|((upstream, _), _)| fails(upstream));
        let mut answers: Vec<RouteAnswers> = answers
            .map(|((upstream, route), counts)| RouteAnswers {
                upstream: *upstream,
                route: *route,
                answers: counts.answers(now),
            })
            .collect();
        answers.sort_by(|a, b| b.answers.failed.total_cmp(&a.answers.failed));
        answers.truncate(MAX_REPORTED);
        let probes = self.standings.iter().take(MAX_REPORTED);
        let probes = probes.map(|(upstream, standing)| ProbeReport {
            upstream: *upstream,
            number: standing.number,
            passed: standing.passed,
            age: now.saturating_duration_since(standing.since),
        });
        EjectionReport { answers, probes: probes.collect() }
    }

    /// Returns the decisions since the last call.
    pub fn take_changes(&mut self) -> Vec<EjectionChange> {
        std::mem::take(&mut self.changes)
    }
}

/// Returns the fraction of failures, which few answers hardly raise.
fn fraction(answers: &Answers) -> f64 {
    answers.failed / (answers.answered + 1.0)
}

/// Returns the Chernoff bound on the chance that `expected` failures are as many as were seen, as
/// its negative logarithm; 0 if they are no more.
fn evidence(seen: Answers, expected: f64) -> f64 {
    let Answers { answered, failed } = seen;
    let usual = (expected / answered).min(1.0);
    let fraction = (failed / answered).min(1.0);
    if fraction <= usual {
        return 0.0;
    }
    let sound = 1.0 - fraction;
    let sound_part = if sound > 0.0 { sound * (sound / (1.0 - usual)).ln() } else { 0.0 };
    answered * (fraction * (fraction / usual).ln() + sound_part)
}
