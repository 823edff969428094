//! Chooses the version of a service that gets a request while an operator moves its traffic.
//!
//! Every entry counts how requests of both versions end and reports the counts to the others, so
//! each entry decides by the same [`Controller`] from nearly the same counts. An entry that finds
//! the new version worse sends it nothing from then on, whatever the others do. The leading entry
//! promotes the version and has the end of the move recorded; if it dies, the next one has received
//! its counts.
//!
//! A move lasts some seconds. A version that fails or is slow from the start, later or on one route
//! must get a small share, and a good one must get all traffic in time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::bad_answers::{BadAnswers, RouteCounts};
use super::bounded_time::MAX_TIME;
use super::catalog::MoveSpec;
use super::peer::{NameHash, name_hash};
use super::request_queue::RequestNumber;
use crate::moves::{
    Budget, Cap, Controller, Counts, Decision, Evidence, EvidenceKey, FULL_SHARE_PPM, Finding,
    MovePlan, Ppm, Progress, TakeBackReason,
};
use crate::{Incarnation, RouteId, VersionId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use super::bad_answers::BadVersion;

/// How much worse the new version may be. The margins are wide: a bad version fails or delays a
/// good fraction of its requests, and in some seconds a small share brings few samples.
const BUDGET: Budget = Budget {
    errors: 0.2,
    slow_first_token: 0.3,
    slow_inter_token: 0.3,
    min_samples: 10,
    min_dwell: Duration::from_millis(1_200),
};
/// Share of a version before it is proven, in parts per million: below the tenth that users allow.
const CANARY_SHARE: Ppm = 80_000;
/// Bound on unproven requests in flight: none beyond the share.
const CANARY_CAP: Cap = Cap::InFlight(u32::MAX);
/// Fraction of the move's time at which the controller's plan begins; half of the plan's time
/// passes before the version may be promoted. A fault that appears late must still meet a small
/// share: users allow a bad version a tenth of the requests over the whole time.
const BEGIN_FRACTION: f64 = 0.4;
/// Fraction of the move's time at which it ends; the rest is for recording the end.
const END_FRACTION: f64 = 0.9;
/// Silence of the promoting leader after which the share falls back to the canary's.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Factor on the old version's lower quartile above which an answer counts as slow: users call
/// versions bad that are several times slower.
const SLOW_FACTOR: f64 = 2.5;
/// Samples of the old version from which a quartile is taken.
const QUARTILE_SAMPLES: usize = 64;
/// Smallest fraction of the old version's requests with which a route counts in the verdict.
const MIN_ROUTE_FRACTION: f64 = 0.05;

/// State of a move in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveState {
    /// The store has not been read yet.
    Unknown,
    /// The move is declared and no state is recorded.
    Ordered,
    /// The move has begun.
    Running,
    /// All traffic goes to the new version.
    Done,
    /// All traffic stays with the old version.
    TakenBack,
}

impl MoveState {
    /// Returns true if the move has ended.
    pub const fn is_end(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }
}

/// A move with its state in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveStatus {
    /// The declared move.
    pub spec: MoveSpec,
    /// Its state.
    pub state: MoveState,
}

/// How a request ended, for the verdict on its version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VersionSample {
    /// True if it failed.
    pub error: bool,
    /// Time to first byte of its answer.
    pub first_byte: Option<Duration>,
    /// Seconds between its events.
    pub event_interval: Option<f64>,
}

/// The newest samples of a value at the old version. Their lower quartile doesn't follow the upstreams
/// that are several times slower than the others.
#[derive(Debug, Clone, Default)]
struct NewestSamples {
    samples: VecDeque<f64>,
    lower_quartile: Option<f64>,
}

impl NewestSamples {
    fn push(&mut self, sample: Option<f64>) {
        let Some(sample) = sample else { return };
        if self.samples.len() >= QUARTILE_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        let quarter = sorted.len() / 4;
        self.lower_quartile = Some(*sorted.select_nth_unstable_by(quarter, f64::total_cmp).1);
    }

    /// Returns true if a sample is several times larger than the lower quartile.
    fn is_exceeded(&self, sample: Option<f64>) -> bool {
        sample
            .zip(self.lower_quartile)
            .is_some_and(|(sample, quartile)| sample > quartile * SLOW_FACTOR)
    }
}

/// What is usual for a route at the old version.
#[derive(Debug, Clone, Default)]
struct Baseline {
    /// Seconds to the first byte of an answer.
    first_byte: NewestSamples,
    /// Seconds between events.
    event_interval: NewestSamples,
}

/// An entry's report of one move.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MoveReport {
    /// Time since the move was first seen.
    pub age: Duration,
    /// True if the sender leads and has promoted the new version.
    pub promoted: bool,
    /// End of the move, once it is recorded.
    pub ended: Option<MoveState>,
    /// The sender's counts by route; true for the new version.
    pub counts: Vec<(NameHash, bool, Counts)>,
}

/// Key of a move in reports: its service and its new version.
pub type MoveKey = (NameHash, NameHash);

/// A move, as one entry tracks it.
#[derive(Debug, Clone)]
struct MoveTracker {
    spec: MoveSpec,
    /// Time at which any entry first saw the move.
    first_seen: Instant,
    state: MoveState,
    progress: Progress,
    evidence: Evidence,
    /// Counts of this entry.
    own_counts: BTreeMap<EvidenceKey, Counts>,
    baselines: HashMap<RouteId, Baseline>,
    bad_answers: BadAnswers,
    /// True once this entry has found the new version worse.
    rejected: bool,
    /// Last time that another entry reported the new version as promoted.
    promoted_at: Option<Instant>,
}

/// The declared moves, at most one per service.
#[derive(Debug, Clone, Default)]
pub struct Moves {
    moves: HashMap<String, MoveTracker>,
    /// Versions that this entry rejected since the last [`Moves::take_rejections`].
    rejections: Vec<Rejection>,
}

/// A new version that an entry sends no more requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct Rejection {
    /// The move.
    pub spec: MoveSpec,
    /// Why.
    pub reason: RejectReason,
}

/// Why a new version is rejected.
#[derive(Debug, Clone, PartialEq)]
pub enum RejectReason {
    /// The comparison of all answers since the start, or since it was promoted.
    Compared(TakeBackReason, Vec<Finding>),
    /// It has turned bad.
    Bad(BadVersion),
}

impl Moves {
    /// Replaces the declared moves.
    pub fn set_moves(&mut self, specs: &[MoveSpec], now: Instant) {
        self.moves.retain(|_, tracker| specs.contains(&tracker.spec));
        for spec in specs {
            self.moves.entry(spec.service.clone()).or_insert_with(|| MoveTracker::new(spec, now));
        }
    }

    /// Sets the state of a move in the store. A recorded end doesn't change.
    pub fn set_state(&mut self, spec: &MoveSpec, state: MoveState) {
        if let Some(tracker) = self.find(spec).filter(|tracker| !tracker.has_ended()) {
            tracker.state = state;
        }
    }

    /// Returns the moves whose state in the store isn't known yet.
    pub fn unknown(&self) -> Vec<MoveSpec> {
        let unknown = self.moves.values().filter(|tracker| tracker.state == MoveState::Unknown);
        unknown.map(|tracker| tracker.spec.clone()).collect()
    }

    /// Returns the moves with their states that the directory should hold.
    pub fn recorded(&self) -> Vec<MoveStatus> {
        let is_recorded = |state: MoveState| state == MoveState::Running || state.is_end();
        let recorded = self.moves.values().filter(|tracker| is_recorded(tracker.state));
        recorded
            .map(|tracker| MoveStatus { spec: tracker.spec.clone(), state: tracker.state })
            .collect()
    }

    /// Returns the version that a request should go to, and whether it must.
    ///
    /// `allow_canary` is false if the request must not go to an unproven version.
    pub fn version_preference(
        &self,
        service: &str,
        number: RequestNumber,
        allow_canary: bool,
        now: Instant,
    ) -> VersionPreference<'_> {
        let Some(tracker) = self.moves.get(service) else { return VersionPreference::Any };
        let target = &tracker.spec.target;
        let share = tracker.share(now);
        let point =
            xxh3_64_with_seed(&number.to_le_bytes(), name_hash(target)) % u64::from(FULL_SHARE_PPM);
        if share == FULL_SHARE_PPM {
            VersionPreference::Prefer(target)
        } else if allow_canary && point < u64::from(share) {
            VersionPreference::Canary(target)
        } else {
            VersionPreference::Exclude(target)
        }
    }

    /// Counts how a request ended.
    pub fn record_sample(
        &mut self,
        service: &str,
        version: &VersionId,
        route: &RouteId,
        sample: VersionSample,
    ) {
        let Some(tracker) = self.moves.get_mut(service) else { return };
        let is_new = *version == tracker.spec.target;
        let baseline = tracker.baselines.entry(route.clone()).or_default();
        let first_byte = sample.first_byte.map(|first_byte| first_byte.as_secs_f64());
        let (slow_first_token, slow_inter_token) = (
            baseline.first_byte.is_exceeded(first_byte),
            baseline.event_interval.is_exceeded(sample.event_interval),
        );
        if !is_new {
            baseline.first_byte.push(first_byte);
            baseline.event_interval.push(sample.event_interval);
        }
        let evidence_key = EvidenceKey::new(route.clone(), if is_new { NEW } else { OLD }, 0);
        tracker.own_counts.entry(evidence_key).or_default().record(
            sample.error,
            slow_first_token,
            slow_inter_token,
        );
    }

    /// Returns this entry's reports of its moves, for its peers.
    pub fn report(&self, is_leader: bool, now: Instant) -> BTreeMap<MoveKey, MoveReport> {
        let reports = self.moves.values().filter(|tracker| tracker.state != MoveState::Unknown);
        reports.map(|tracker| (key(&tracker.spec), tracker.report(is_leader, now))).collect()
    }

    /// Merges another entry's report of a move.
    pub fn merge_report(
        &mut self,
        from: Incarnation,
        move_key: MoveKey,
        report: MoveReport,
        now: Instant,
    ) {
        let Some(tracker) = self.moves.values_mut().find(|tracker| key(&tracker.spec) == move_key)
        else {
            return;
        };
        if let Some(first_seen) = now.checked_sub(report.age) {
            tracker.first_seen = tracker.first_seen.min(first_seen);
        }
        if let Some(ended) = report.ended {
            tracker.state = ended;
        }
        if report.promoted {
            tracker.promoted_at = Some(now);
        }
        for (route, is_new, counts) in report.counts {
            let version = if is_new { NEW } else { OLD };
            tracker.evidence.merge(from, EvidenceKey::new(route_name(route), version, 0), counts);
        }
    }

    /// Judges every move that has not ended and returns the states to record.
    ///
    /// `own` is this entry's incarnation, `is_leader` is true if it leads, and `old_running`
    /// returns how many requests any entry has at the old version of a move's service.
    pub fn judge(
        &mut self,
        own: Incarnation,
        is_leader: bool,
        old_running: impl Fn(&MoveSpec) -> u32,
        now: Instant,
    ) -> Vec<MoveStatus> {
        let Self { moves, rejections } = self;
        let active = moves.values_mut().filter(|tracker| !tracker.has_ended());
        active
            .filter_map(|tracker| tracker.judge(own, is_leader, &old_running, rejections, now))
            .collect()
    }

    /// Returns the versions that this entry rejected since the last call.
    pub fn take_rejections(&mut self) -> Vec<Rejection> {
        std::mem::take(&mut self.rejections)
    }

    fn find(&mut self, spec: &MoveSpec) -> Option<&mut MoveTracker> {
        self.moves.get_mut(&spec.service).filter(|tracker| tracker.spec == *spec)
    }
}

/// The version that a request should go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionPreference<'a> {
    /// Any version.
    Any,
    /// This version, or another one if it has no upstream.
    Prefer(&'a VersionId),
    /// This version, or another one if it has no headroom.
    Canary(&'a VersionId),
    /// Any version but this one.
    Exclude(&'a VersionId),
}

/// Name of the old versions in counts.
const OLD: &str = "old";
/// Name of the new version in counts.
const NEW: &str = "new";
/// Incarnation under which counts stand that no process has reported.
const NO_PROCESS: Incarnation = 0;

impl MoveTracker {
    fn new(spec: &MoveSpec, now: Instant) -> Self {
        Self {
            spec: spec.clone(),
            first_seen: now,
            state: MoveState::Unknown,
            progress: Progress::new(UNIX_EPOCH),
            evidence: Evidence::default(),
            own_counts: BTreeMap::new(),
            baselines: HashMap::new(),
            bad_answers: BadAnswers::default(),
            rejected: false,
            promoted_at: None,
        }
    }

    fn has_ended(&self) -> bool {
        self.state.is_end()
    }

    /// Returns the new version's share of the requests.
    fn share(&self, now: Instant) -> Ppm {
        match self.state {
            MoveState::Done => FULL_SHARE_PPM,
            // Until the store has been read, the move may already have been taken back.
            MoveState::Unknown | MoveState::TakenBack => 0,
            MoveState::Ordered | MoveState::Running if self.rejected => 0,
            MoveState::Ordered | MoveState::Running => {
                let recent =
                    |promoted_at| now.saturating_duration_since(promoted_at) < LEADER_TIMEOUT;
                let promoted = self.promoted_at.is_some_and(recent) || self.progress.step > 0;
                if promoted { FULL_SHARE_PPM } else { CANARY_SHARE }
            }
        }
    }

    fn report(&self, is_leader: bool, now: Instant) -> MoveReport {
        let counts = self.own_counts.iter().map(|(evidence_key, counts)| {
            (name_hash(&evidence_key.route), evidence_key.version == NEW, *counts)
        });
        MoveReport {
            age: now.saturating_duration_since(self.first_seen),
            promoted: is_leader && self.progress.step > 0 && !self.rejected,
            ended: self.has_ended().then_some(self.state),
            counts: counts.collect(),
        }
    }

    fn judge(
        &mut self,
        own: Incarnation,
        is_leader: bool,
        old_running: impl Fn(&MoveSpec) -> u32,
        rejections: &mut Vec<Rejection>,
        now: Instant,
    ) -> Option<MoveStatus> {
        if self.state == MoveState::Unknown {
            return None;
        }
        for (evidence_key, counts) in &self.own_counts {
            let evidence_key = EvidenceKey::new(
                route_name(name_hash(&evidence_key.route)),
                evidence_key.version.clone(),
                0,
            );
            self.evidence.merge(own, evidence_key, *counts);
        }
        // The controller's clock starts when the move is first seen; the time of day may jump.
        let time = UNIX_EPOCH + now.saturating_duration_since(self.first_seen);
        let plan = self.plan();
        let bad_version = self.bad_answers.update(&self.counts_by_route());
        let mut evidence = self.evidence.clone();
        for (route, missing) in self.bad_answers.missing() {
            evidence.merge(NO_PROCESS, EvidenceKey::new(route.clone(), OLD, 0), missing);
        }
        let decision = Controller.decide(&plan, self.progress, &evidence, time);
        let reason = match (&decision, bad_version) {
            (Decision::TakeBack(reason, findings), _) => {
                Some(RejectReason::Compared(reason.clone(), findings.clone()))
            }
            (_, Some(bad_version)) => Some(RejectReason::Bad(bad_version)),
            _ => None,
        };
        let is_new = reason.is_some() && !std::mem::replace(&mut self.rejected, true);
        if let Some(reason) = reason.filter(|_| is_new) {
            rejections.push(Rejection { spec: self.spec.clone(), reason });
        }
        let state = match decision {
            _ if self.rejected => Some(MoveState::TakenBack),
            Decision::TakeBack(..) => Some(MoveState::TakenBack),
            Decision::Step { step, .. } => {
                if is_leader {
                    self.progress = Progress::at_step(step, time);
                    self.evidence.start_window();
                }
                None
            }
            // The old version's upstreams stop as soon as the move is done.
            Decision::Done(_) => (old_running(&self.spec) == 0).then_some(MoveState::Done),
            Decision::Hold => None,
        };
        let state =
            state.or_else(|| (self.state == MoveState::Ordered).then_some(MoveState::Running))?;
        is_leader.then(|| MoveStatus { spec: self.spec.clone(), state })
    }

    /// Returns the counters of both versions since the start of the move.
    fn counts_by_route(&self) -> BTreeMap<RouteId, RouteCounts> {
        let mut routes: BTreeMap<RouteId, RouteCounts> = BTreeMap::new();
        for (evidence_key, counts) in self.evidence.totals() {
            let is_new = evidence_key.version == NEW;
            let route = routes.entry(evidence_key.route).or_default();
            if is_new { route.new.add(counts) } else { route.old.add(counts) }
        }
        routes
    }

    fn plan(&self) -> MovePlan {
        let within = self.spec.within.min(MAX_TIME);
        let at = |fraction: f64| SystemTime::UNIX_EPOCH + within.mul_f64(fraction);
        MovePlan {
            service: self.spec.service.clone(),
            routes: self.significant_routes(),
            from: OLD.to_owned(),
            to: NEW.to_owned(),
            steps: vec![CANARY_SHARE, FULL_SHARE_PPM],
            cap: CANARY_CAP,
            budget: BUDGET,
            begin: at(BEGIN_FRACTION),
            end: at(END_FRACTION),
        }
    }

    /// Returns the routes with a significant fraction of the old version's requests.
    fn significant_routes(&self) -> Vec<RouteId> {
        let totals = self.evidence.totals();
        let old = || totals.iter().filter(|(evidence_key, _)| evidence_key.version == OLD);
        let all: u64 = old().map(|(_, counts)| counts.total).sum();
        let least = (all as f64 * MIN_ROUTE_FRACTION).max(1.0);
        let significant = old().filter(|(_, counts)| counts.total as f64 >= least);
        let routes: Vec<RouteId> =
            significant.map(|(evidence_key, _)| evidence_key.route.clone()).collect();
        // Without requests nothing is proven: an empty route, which no request has, keeps the
        // verdict open.
        if routes.is_empty() { vec![RouteId::new()] } else { routes }
    }
}

fn key(spec: &MoveSpec) -> MoveKey {
    (name_hash(&spec.service), name_hash(&spec.target))
}

/// Returns the name of a route in the counts of several entries.
fn route_name(hash: NameHash) -> RouteId {
    format!("{hash:016x}")
}
