//! Simulation of a version move: requests second by second, random outcomes, one controller.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use egretgate_core::Ticket;
use egretgate_core::moves::{
    Budget, Cap, Controller, Counts, Decision, Evidence, EvidenceKey, MovePlan, Progress, Quota,
    RequestOutcome, Split, TakeBackReason, VersionBreaker, pick_version,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Upstreams of the service; some of them run the new version.
const UPSTREAMS: u32 = 12;
/// Requests per second that one upstream can run.
const UPSTREAM_REQUESTS_PER_SECOND: f64 = 5.0;
/// Entries, each with its own quota.
const ENTRIES: usize = 2;
/// Routes of the move.
const ROUTES: [&str; 2] = ["report", "quote"];
/// Seconds from the start to the end of the move.
const MOVE_SECONDS: u64 = 7_200;
/// Seconds between the controller's decisions.
const DECISION_SECONDS: u64 = 5;
/// Seconds until the entries apply a decision.
const APPLY_SECONDS: u64 = 2;
/// Seconds simulated after a move was taken back.
const AFTER_SECONDS: u64 = 60;
/// Period of the load, in seconds.
const LOAD_PERIOD_SECONDS: f64 = 1_200.0;
/// Seconds for which an upstream is down after a crash.
const DOWN_SECONDS: u64 = 60;
/// Requests that fail with each crash of an upstream, in addition to the one that caused it.
const CRASH_FAILURES: u64 = 5;
/// Number of load levels.
const LOAD_LEVELS: usize = 4;
/// Process that reports the counters of the new version.
const NEW_VERSION_PROCESS: u64 = 1;

/// A simulated new version, good or faulty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FakeVersion {
    /// Like the old version.
    Good,
    /// Fails one request in five from the start.
    FailsAtOnce,
    /// Fails one request in five, starting at some time in the first half of the move.
    FailsLater,
    /// Slow first token in one request in five.
    SlowAtOnce,
    /// Slow first token in one request in three, only on a loaded upstream.
    SlowUnderLoad,
    /// Fails one request in eight, only on one route.
    BadOnRoute,
    /// Crashes its upstream in one request in five hundred.
    Crashing,
    /// Its error rate exceeds the old version's by three times the budget.
    SlightlyBad,
    /// Its error rate exceeds the old version's by a quarter more than the budget.
    JustOver,
}

/// When the holder of the move's lease crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderCrashes {
    /// Never.
    None,
    /// Right after each decision is recorded.
    Recorded,
    /// After each decision and before it is recorded, so that the next holder decides again.
    Unrecorded,
    /// Before each decision.
    Always,
}

/// Result of one run.
#[derive(Debug, Clone)]
pub struct Run {
    /// True if the move was done, false if it was taken back.
    pub done: bool,
    /// Why the move was taken back.
    pub reason: Option<TakeBackReason>,
    /// Seconds from the start of the move until it was done or taken back.
    pub seconds: u64,
    /// Requests that the new version served.
    pub served: u64,
    /// Requests that the new version failed or served slowly.
    pub harmed: u64,
    /// Requests that the new version served after the entries had applied the end of the move.
    pub served_late: u64,
    /// Largest share of a route's requests given to the new version up to any moment, from the
    /// route's 100th request on.
    pub max_share: f64,
    /// Largest share of a route's requests in any minute.
    pub minute_share: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct FailureRates {
    error: f64,
    slow_first_token: f64,
    slow_inter_token: f64,
    crash: f64,
}

impl FakeVersion {
    /// Every fake version, the good one first.
    pub const ALL: [Self; 9] = [
        Self::Good,
        Self::FailsAtOnce,
        Self::FailsLater,
        Self::SlowAtOnce,
        Self::SlowUnderLoad,
        Self::BadOnRoute,
        Self::Crashing,
        Self::SlightlyBad,
        Self::JustOver,
    ];

    /// Returns the name printed in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::FailsAtOnce => "fails at once",
            Self::FailsLater => "fails later",
            Self::SlowAtOnce => "slow at once",
            Self::SlowUnderLoad => "slow under load",
            Self::BadOnRoute => "bad on one route",
            Self::Crashing => "crashing",
            Self::SlightlyBad => "three times budget",
            Self::JustOver => "a quarter over budget",
        }
    }

    /// Returns the failure probabilities of the new version.
    fn failure_rates(self, route: usize, load: f64, second: u64, onset: u64) -> FailureRates {
        let mut failure_rates = FailureRates::old(load);
        match self {
            Self::FailsAtOnce => failure_rates.error = 0.2,
            Self::FailsLater if second >= onset => failure_rates.error = 0.2,
            Self::SlowAtOnce => failure_rates.slow_first_token = 0.2,
            Self::SlowUnderLoad if load >= 0.75 => failure_rates.slow_first_token = 0.33,
            Self::BadOnRoute if route == 1 => failure_rates.error = 0.125,
            Self::Good | Self::FailsLater | Self::SlowUnderLoad | Self::BadOnRoute => {}
            Self::Crashing => failure_rates.crash = 0.002,
            Self::SlightlyBad => failure_rates.error += 0.06,
            Self::JustOver => failure_rates.error += 0.025,
        }
        failure_rates
    }
}

impl FailureRates {
    /// Returns the failure probabilities of the old version at a load of its upstream.
    fn old(load: f64) -> Self {
        Self {
            error: 0.005,
            slow_first_token: 0.01 + 0.04 * load * load,
            slow_inter_token: 0.02,
            crash: 0.0,
        }
    }
}

/// Returns the move that is simulated.
pub fn plan() -> MovePlan {
    MovePlan {
        service: "report-writers".into(),
        routes: ROUTES.map(Into::into).to_vec(),
        from: "v1".into(),
        to: "v2".into(),
        steps: MovePlan::DEFAULT_STEPS_PPM.to_vec(),
        cap: Cap::InFlight(64),
        budget: Budget::default(),
        begin: at(0),
        end: at(MOVE_SECONDS),
    }
}

/// Returns the wall-clock time at a second of the simulation.
pub fn at(second: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000 + second)
}

/// Load of the upstreams of one version, smoothed over a few seconds.
#[derive(Debug, Clone, Copy, Default)]
struct LoadAverage {
    load: f64,
}

impl LoadAverage {
    fn update(&mut self, requests: u64, upstreams: u32) {
        let current =
            requests as f64 / (f64::from(upstreams.max(1)) * UPSTREAM_REQUESTS_PER_SECOND);
        self.load = (self.load + 0.3 * (current - self.load)).min(1.0);
    }

    fn level(self) -> usize {
        ((self.load * LOAD_LEVELS as f64) as usize).min(LOAD_LEVELS - 1)
    }
}

/// The side processes of the simulation: their counters, and the circuit breaker of the new
/// version.
#[derive(Debug, Default)]
struct SideProcesses {
    /// Counters by version, route and load level.
    counts: [[[Counts; LOAD_LEVELS]; ROUTES.len()]; 2],
    breaker: VersionBreaker,
    harmed: u64,
}

impl SideProcesses {
    /// Adds the reports of all side processes to the evidence.
    fn report(&self, evidence: &mut Evidence) {
        for (process, version) in ["v1", "v2"].into_iter().enumerate() {
            for (route, name) in ROUTES.into_iter().enumerate() {
                for (level, &counts) in self.counts[process][route].iter().enumerate() {
                    let key = EvidenceKey::new(name, version, level as u32);
                    evidence.merge(process as u64, key, counts);
                }
            }
        }
        if let Some(stop) = self.breaker.cause() {
            evidence.record_stop(NEW_VERSION_PROCESS, stop);
        }
    }

    /// Runs a request and returns true if it crashed the upstream.
    fn serve(
        &mut self,
        new: bool,
        route: usize,
        level: usize,
        failure_rates: FailureRates,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let counts = &mut self.counts[usize::from(new)][route][level];
        let crash = failure_rates.crash > 0.0 && rng.random_bool(failure_rates.crash);
        let error = crash || rng.random_bool(failure_rates.error);
        let slow_first_token = rng.random_bool(failure_rates.slow_first_token);
        let slow_inter_token = rng.random_bool(failure_rates.slow_inter_token);
        counts.record(error, slow_first_token, slow_inter_token);
        if crash {
            (0..CRASH_FAILURES).for_each(|_| counts.record(true, false, false));
        }
        if new {
            self.harmed += u64::from(error || slow_first_token || slow_inter_token);
            let outcome = match (crash, error) {
                (true, _) => RequestOutcome::Crash,
                (_, true) => RequestOutcome::Error,
                _ => RequestOutcome::Good,
            };
            self.breaker.record(outcome);
        }
        crash
    }
}

/// Returns the largest share of the new version on a route that had at least `min_requests`
/// requests.
fn share(counts: &[[u64; ROUTES.len()]; 2], min_requests: u64) -> f64 {
    let [old, new] = counts;
    let routes = old.iter().zip(new).filter(|&(&old, &new)| old + new >= min_requests);
    routes.map(|(&old, &new)| new as f64 / (old + new) as f64).fold(0.0, f64::max)
}

/// Simulates one move to a fake version.
pub fn run(version: FakeVersion, seed: u64, crashes: HolderCrashes) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = plan();
    let start = Instant::now();
    let onset = rng.random_range(MOVE_SECONDS / 24..MOVE_SECONDS / 2 - 600);
    let load_phase = rng.random_range(0.0..LOAD_PERIOD_SECONDS);
    let mut side_processes = SideProcesses::default();
    let mut evidence = Evidence::default();
    let mut progress = Progress::new(at(0));
    let mut quotas: [[Quota; ROUTES.len()]; ENTRIES] = Default::default();
    let mut loads = [LoadAverage::default(); 2];
    let mut sequence = 0;
    let mut down_until = 0;
    let mut totals = [[0_u64; ROUTES.len()]; 2];
    let mut minute = [[0_u64; ROUTES.len()]; 2];
    let mut run = Run {
        done: false,
        reason: None,
        seconds: 0,
        served: 0,
        harmed: 0,
        served_late: 0,
        max_share: 0.0,
        minute_share: 0.0,
    };
    let mut verdict: Option<(u64, bool)> = None;
    for second in 0..MOVE_SECONDS + 60 {
        let new_upstreams = plan.required_upstreams(progress.step, UPSTREAMS);
        let load_wave =
            ((second as f64 + load_phase) / LOAD_PERIOD_SECONDS * std::f64::consts::TAU).sin();
        let rate = f64::from(UPSTREAMS) * UPSTREAM_REQUESTS_PER_SECOND * (0.62 + 0.3 * load_wave);
        let arrivals = (rate * rng.random_range(0.8..1.2)).round() as u64;
        let in_force = verdict.is_some_and(|(since, _)| second >= since + APPLY_SECONDS);
        let split = if in_force {
            Split::taken_back(&plan)
        } else {
            Split::new(&plan, progress, new_upstreams, UPSTREAMS, ENTRIES as u32)
        };
        let mut sent = [0_u64; 2];
        for _ in 0..arrivals {
            sequence += 1;
            let entry = rng.random_range(0..ENTRIES);
            let route = usize::from(rng.random_bool(0.4));
            let now = start + Duration::from_secs(second);
            let quota = &mut quotas[entry][route];
            let ticket = Ticket::new(entry as u64 + 1, sequence);
            let stopped = side_processes.breaker.cause().is_some();
            let picked =
                !stopped && pick_version(&split, ticket, quota, now, at(second)) == &plan.to;
            let new = picked && second >= down_until;
            if picked {
                quota.end_request();
            }
            let index = usize::from(new);
            let load = loads[index].load;
            let failure_rates = if new {
                version.failure_rates(route, load, second, onset)
            } else {
                FailureRates::old(load)
            };
            let level = loads[index].level();
            if side_processes.serve(new, route, level, failure_rates, &mut rng) {
                down_until = second + DOWN_SECONDS;
            }
            sent[index] += 1;
            totals[index][route] += 1;
            minute[index][route] += 1;
            run.served += u64::from(new);
            run.served_late += u64::from(new && in_force);
        }
        // No request went to the new version although every upstream is to run it: the breaker
        // opened, an upstream is down or the move was taken back, so the old version runs on all.
        let old_on_all = sent[1] == 0 && new_upstreams == UPSTREAMS;
        loads[0].update(sent[0], if old_on_all { UPSTREAMS } else { UPSTREAMS - new_upstreams });
        loads[1].update(sent[1], new_upstreams);
        run.max_share = run.max_share.max(share(&totals, 100));
        if second % 60 == 59 {
            run.minute_share = run.minute_share.max(share(&minute, 1));
            minute = Default::default();
        }
        if verdict.is_some_and(|(since, done)| done || second > since + AFTER_SECONDS) {
            break;
        }
        if second % DECISION_SECONDS != 0 || verdict.is_some() {
            continue;
        }
        if crashes == HolderCrashes::Always {
            evidence = Evidence::default();
        }
        side_processes.report(&mut evidence);
        let mut decision = Controller.decide(&plan, progress, &evidence, at(second));
        if crashes == HolderCrashes::Unrecorded && decision != Decision::Hold {
            let mut next = Evidence::default();
            side_processes.report(&mut next);
            decision = Controller.decide(&plan, progress, &next, at(second));
            evidence = next;
        }
        match decision {
            Decision::Hold => {}
            Decision::Step { step, .. } => {
                progress = Progress::at_step(step, at(second));
                evidence.start_window();
                if crashes == HolderCrashes::Recorded {
                    evidence = Evidence::default();
                }
            }
            Decision::TakeBack(reason, _) => {
                run.reason = Some(reason);
                verdict = Some((second, false));
            }
            Decision::Done(_) => {
                run.done = true;
                verdict = Some((second, true));
            }
        }
    }
    run.seconds = verdict.map_or(MOVE_SECONDS, |(second, _)| second);
    run.harmed = side_processes.harmed;
    run
}
