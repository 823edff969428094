//! Decides which requests start at which upstream, which wait and which are refused.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::admission::{
    Admission, AdmissionRequest, BrokenRun, Completion, Overload, Reason, Refusal, Start,
    UpstreamKey,
};
use super::catalog::Catalog;
use super::cold_start::{ColdBound, ColdChange};
use super::counted_entries::CountedEntries;
use super::crash_quarantine::{CrashQuarantine, SuspectChange, SuspectKind, request_hash};
use super::departed::DepartedUpstreams;
use super::drained_zones::ZoneChange;
use super::ejection::Ejections;
use super::limit_tolerance::LimitTolerance;
use super::peer::{LeavingUpstream, NameHash, Peers, name_hash};
use super::report_schedule::ReportSchedule;
use super::request_queue::{QueueKey, RequestNumber};
use super::retry_limit::RetryLimit;
use super::returns::{Returns, Standing};
use super::service_state::ServiceState;
use super::share::TimeSlice;
use super::silent_runs::{SilentCrash, SilentRuns};
use super::team_share::TeamShares;
use super::token_bucket::TokenBucket;
use super::traffic_move::{Moves, VersionSample};
use super::upstream::{ListedUpstream, Outcome, UpstreamState};
use crate::{Digest, Incarnation, InstanceId, RegionId, ServiceId, TeamId, UpstreamId, ZoneId};

mod cold;
mod ejecting;
mod entry_count;
mod peer_view;
mod placement;
mod places;
mod reports;
mod silence;

pub use entry_count::EntryUpkeep;

/// Waiting requests of a service that find no upstream before its dispatch stops. Several are tried
/// because the requests ahead may need a faster upstream than the one with a free slot.
const MAX_UNPLACED: usize = 24;

/// Seed that makes draws independent of the choice among upstreams.
const DRAW_SEED: u64 = 1;

/// A change of the limit that an upstream states.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// Upstream.
    pub id: UpstreamId,
    /// Requests per second before; `None` if it stated no limit.
    pub before: Option<f64>,
    /// Requests per second now; `None` if it states no limit any more.
    pub limit: Option<f64>,
}

/// An upstream that is known to leave from now on, by its own word.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Upstream.
    pub id: UpstreamId,
    /// Entry whose report says so; `None` if an answer to this entry did.
    pub told_by: Option<InstanceId>,
}

/// The scheduler of one entry.
#[derive(Debug)]
pub struct Scheduler {
    name: InstanceId,
    zone: ZoneId,
    incarnation: Incarnation,
    /// Sequence number of the last report.
    sequence: u64,
    catalog: Arc<Catalog>,
    retry_limit: RetryLimit,
    limit_tolerance: LimitTolerance,
    upstreams: SlotMap<UpstreamKey, UpstreamState>,
    departed: DepartedUpstreams,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    by_hash: HashMap<NameHash, UpstreamKey>,
    services: BTreeMap<ServiceId, ServiceState>,
    waiting: HashMap<RequestNumber, (QueueKey, AdmissionRequest)>,
    /// When the retries that aren't sent yet were taken from the budget.
    retry_times: HashMap<RequestNumber, Instant>,
    buckets: HashMap<TeamId, TokenBucket>,
    team_shares: TeamShares,
    returns: Returns,
    peers: Peers,
    /// Other entries that count, reachable or not; `None` before the directory was read.
    peer_count: Option<usize>,
    counted: CountedEntries,
    /// False while the directory of entries can't be read.
    directory_up: bool,
    /// Time of the last refresh of the values that are derived from the peers' reports.
    refreshed: Option<Instant>,
    /// When this entry and its peers send reports.
    schedule: ReportSchedule,
    time_slice: TimeSlice,
    /// Requests under which upstreams have crashed.
    requests: CrashQuarantine,
    /// Parts of prompts under which upstreams have crashed.
    parts: CrashQuarantine,
    silent_runs: SilentRuns,
    /// Findings that were not taken yet.
    silent_crashes: Vec<SilentCrash>,
    /// Waiting requests that are trials of a quarantined suspect.
    trials: HashSet<RequestNumber>,
    moves: Moves,
    /// Upstreams that were found to leave since the last [`Scheduler::take_departures`].
    departures: Vec<Departure>,
    /// Region of each zone.
    regions: HashMap<ZoneId, RegionId>,
    /// Zones whose drain began or ended since the last [`Scheduler::take_zone_changes`].
    zone_changes: Vec<ZoneChange>,
    /// How far requests may exceed the rate of a cold upstream.
    cold_bound: ColdBound,
    /// Hashes of this entry and of the others that the directory lists; `None` before it was read.
    listed_entries: Option<(NameHash, Vec<NameHash>)>,
    /// Requests that found no upstream while a cold one had a free slot.
    cold_holds: u64,
    /// Upstreams that became cold or warm since the last [`Scheduler::take_cold_changes`].
    cold_changes: Vec<ColdChange>,
    ejections: Ejections,
}

impl Scheduler {
    /// Returns the scheduler of the entry `name` in `zone`.
    pub fn new(name: &str, zone: &str, incarnation: Incarnation) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            incarnation,
            sequence: 0,
            catalog: Arc::default(),
            retry_limit: RetryLimit::default(),
            limit_tolerance: LimitTolerance::default(),
            upstreams: SlotMap::with_key(),
            departed: DepartedUpstreams::default(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            services: BTreeMap::new(),
            waiting: HashMap::new(),
            retry_times: HashMap::new(),
            buckets: HashMap::new(),
            team_shares: TeamShares::default(),
            returns: Returns::default(),
            peers: Peers::default(),
            peer_count: None,
            counted: CountedEntries::new(name),
            directory_up: true,
            refreshed: None,
            schedule: ReportSchedule::new(0, 0),
            time_slice: TimeSlice::default(),
            requests: CrashQuarantine::new(SuspectKind::Request),
            parts: CrashQuarantine::new(SuspectKind::Part),
            silent_runs: SilentRuns::default(),
            silent_crashes: Vec::new(),
            trials: HashSet::new(),
            moves: Moves::default(),
            departures: Vec::new(),
            regions: HashMap::new(),
            zone_changes: Vec::new(),
            cold_bound: ColdBound::STRICT,
            listed_entries: None,
            cold_holds: 0,
            cold_changes: Vec::new(),
            ejections: Ejections::default(),
        }
    }

    /// Sets the retry budget.
    #[must_use]
    pub const fn with_retry_limit(mut self, limit: RetryLimit) -> Self {
        self.retry_limit = limit;
        self
    }

    /// Sets the region of each zone.
    #[must_use]
    pub fn with_regions(mut self, regions: HashMap<ZoneId, RegionId>) -> Self {
        self.regions = regions;
        self
    }

    /// Sets the excess over the limits of teams that is tolerated.
    #[must_use]
    pub const fn with_limit_tolerance(mut self, tolerance: LimitTolerance) -> Self {
        self.limit_tolerance = tolerance;
        self
    }

    /// Sets the number of other entries that count.
    pub fn set_peer_count(&mut self, count: usize) {
        if self.peer_count.is_none() {
            self.buckets.values_mut().for_each(|bucket| bucket.add_initial(count + 1));
        }
        self.peer_count = Some(count);
    }

    /// Records whether the directory of entries can be read.
    pub const fn set_directory_up(&mut self, up: bool) {
        self.directory_up = up;
    }

    /// Applies a new version of the declarations.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>, now: Instant) {
        for team in catalog.teams() {
            match (team.limit, self.buckets.get_mut(&team.name)) {
                (Some(limit), Some(bucket)) => bucket.set_limit(limit),
                (Some(limit), None) => {
                    let bucket = TokenBucket::new(limit, now);
                    let mut bucket = bucket.with_tolerance(self.limit_tolerance);
                    if let Some(count) = self.peer_count {
                        bucket.add_initial(count + 1);
                    }
                    self.buckets.insert(team.name.clone(), bucket);
                }
                (None, _) => {
                    self.buckets.remove(&team.name);
                }
            }
        }
        self.moves.set_moves(catalog.moves(), now);
        let before = std::mem::replace(&mut self.catalog, catalog);
        self.apply_zones(before.drained_zones(), now);
        self.place_upstreams();
    }

    /// Replaces the list of upstreams and returns the keys of those that are no longer listed or
    /// have restarted.
    pub fn set_upstreams(&mut self, upstreams: Vec<ListedUpstream>) -> Vec<UpstreamKey> {
        let mut gone = Vec::new();
        let mut by_id = HashMap::with_capacity(upstreams.len());
        for listed in upstreams {
            let id = listed.id.clone();
            match self.by_id.get(&id).copied() {
                Some(key) if self.upstreams[key].listed.is_same_incarnation(&listed) => {
                    self.upstreams[key].listed = listed;
                    by_id.insert(id, key);
                }
                old => {
                    gone.extend(old);
                    let Self { departed, upstreams, .. } = self;
                    let key = departed
                        .restore(&listed, |state| upstreams.insert(state))
                        .unwrap_or_else(|| upstreams.insert(UpstreamState::new(listed)));
                    by_id.insert(id, key);
                }
            }
        }
        let unlisted = self.by_id.iter().filter(|(id, _)| !by_id.contains_key(*id));
        gone.extend(unlisted.map(|(_, key)| *key));
        for key in &gone {
            if let Some(upstream) = self.upstreams.remove(*key) {
                self.ejections.forget(upstream.hash);
                self.departed.insert(*key, upstream);
            }
        }
        self.by_id = by_id;
        self.silent_runs.record_listing();
        self.by_hash = self.upstreams.iter().map(|(key, upstream)| (upstream.hash, key)).collect();
        self.place_upstreams();
        self.order_entries();
        self.rebuild_members();
        gone
    }

    /// Returns the state of an upstream.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.upstreams.get(key)
    }

    /// Returns the key of an upstream that may have been gone and be back since it had this one.
    fn present_key(&self, key: UpstreamKey) -> UpstreamKey {
        if self.upstreams.contains_key(key) {
            return key;
        }
        self.departed.successor(key).unwrap_or(key)
    }

    /// Returns the state of an upstream, listed or gone; `None` if it was forgotten.
    fn upstream_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamState> {
        let key = self.present_key(key);
        self.upstreams.get_mut(key).or_else(|| self.departed.get_mut(key))
    }

    /// Returns the state of every upstream.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams.values()
    }

    /// Decides on a new request, or on a retry after an upstream didn't serve it.
    ///
    /// Call [`Scheduler::dispatch`] first, so that waiting requests start before new ones.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> Admission {
        self.judge_silence(now);
        if self.quarantine_of(&request).is_none() {
            return self.admit_allowed(request, now);
        }
        if let Some(refusal) = self.refuse_quarantined(&request, now) {
            return Admission::Refused(refusal);
        }
        let (number, digest) = (request.number, request.digest);
        self.trials.insert(number);
        let admission = self.admit_allowed(request, now);
        if admission != Admission::Queued {
            self.trials.remove(&number);
        }
        if matches!(admission, Admission::Refused(_)) {
            self.end_trial(digest, now);
        }
        admission
    }

    /// Decides on a request that isn't quarantined, or that is a trial.
    fn admit_allowed(&mut self, mut request: AdmissionRequest, now: Instant) -> Admission {
        if let Some(refusal) = self.charge_team(&request, now) {
            return Admission::Refused(refusal);
        }
        self.refresh(now);
        let bucket = request.charge.as_ref().and_then(|charge| self.buckets.get(&charge.team));
        let share_rank = bucket.map_or(0, |bucket| self.team_shares.rank(bucket, now));
        request.priority.over_share = share_rank > 0;
        if request.faster_than.is_some() {
            return self.admit_migration(&request, now);
        }
        let digest = request.digest.filter(|_| !request.is_retry);
        let standing = digest.map_or(Standing::New, |digest| self.returns.take(&digest, now));
        if standing == Standing::Returned {
            // Its answer is late already, so it waits for as long as it can.
            request.useful_wait = request.queue_deadline.saturating_duration_since(now);
        }
        let (entries, retry_limit) = (self.entries(), self.own_retry_limit(now));
        let queue_key = QueueKey {
            priority: request.priority,
            share_rank,
            standing,
            objective: request.objective,
            number: request.number,
        };
        let service_state = self.services.entry(request.service.clone()).or_default();
        if request.is_retry {
            if !service_state.retries.take_retry(now, &retry_limit, entries) {
                return Admission::Refused(Refusal::RetryBudgetSpent);
            }
            self.retry_times.insert(request.number, now);
        } else {
            service_state.retries.record_request(now, &self.retry_limit);
        }
        service_state.queue.record_arrival(queue_key.priority, now);
        service_state.refusals.record_arrival(queue_key.priority, now);
        if !service_state.reserve.admits(request.priority, draw(request.number)) {
            let wait = service_state.expected_wait(&queue_key, now);
            self.record_refusal(&request, now);
            let reason = Reason::ReservedForUrgent;
            let overload = self.overload(&request, &queue_key, reason, wait, now);
            return Admission::Refused(Refusal::Overloaded(overload));
        }
        let wait = service_state.expected_wait(&queue_key, now);
        // The queue was dispatched just before, so no waiting request can use the free slots.
        if let Some(key) = self.choose_upstream(&request, now) {
            self.retry_times.remove(&request.number);
            self.record_start(&request, key, now);
            return Admission::Started(key);
        }
        let wait = wait.max(self.cold_wait(&request, now));
        self.count_cold_hold(&request, now);
        let pause = self.pause_left(&request, now);
        let is_too_long = |wait| wait > request.useful_wait || now + wait > request.queue_deadline;
        let excluded = self.excluded(&request);
        let reason = if excluded.is_some() {
            excluded
        } else if is_too_long(pause) {
            Some(Reason::Paused)
        } else if self.must_yield(&request) {
            Some(Reason::ReservedForUrgent)
        } else {
            is_too_long(wait).then_some(Reason::TooLong)
        };
        if let Some(reason) = reason {
            self.refuse(&request, reason, now);
            let overload = self.overload(&request, &queue_key, reason, wait, now);
            return Admission::Refused(Refusal::Overloaded(overload));
        }
        if let Some(service_state) = self.services.get_mut(&request.service) {
            service_state.queue.push(queue_key, request.queue_deadline);
        }
        self.waiting.insert(request.number, (queue_key, request));
        Admission::Queued
    }

    /// Decides on a running stream that may migrate to a faster upstream. Such a request never
    /// waits, and its refusal isn't counted as one for lack of headroom.
    fn admit_migration(&mut self, request: &AdmissionRequest, now: Instant) -> Admission {
        let Some(key) = self.choose_upstream(request, now) else {
            return Admission::Refused(Refusal::Overloaded(Overload::without_state(
                Reason::NoneFaster,
            )));
        };
        let (entries, retry_limit) = (self.entries(), self.own_retry_limit(now));
        let service_state = self.services.entry(request.service.clone()).or_default();
        if !service_state.retries.take_retry(now, &retry_limit, entries) {
            return Admission::Refused(Refusal::RetryBudgetSpent);
        }
        self.record_start(request, key, now);
        Admission::Started(key)
    }

    /// Starts the waiting requests for which there is headroom.
    pub fn dispatch(&mut self, now: Instant) -> Vec<Start> {
        self.refresh(now);
        let busy =
            self.services.iter().filter(|(_, service_state)| !service_state.queue.is_empty());
        let busy: Vec<ServiceId> = busy.map(|(service, _)| service.clone()).collect();
        busy.into_iter().flat_map(|service| self.dispatch_service(&service, now)).collect()
    }

    /// Removes a waiting request whose caller has left.
    pub fn withdraw(&mut self, number: RequestNumber, now: Instant) {
        let is_trial = self.trials.remove(&number);
        if let Some((queue_key, request)) = self.waiting.remove(&number) {
            if is_trial {
                self.end_trial(request.digest, now);
            }
            if let Some(service_state) = self.services.get_mut(&request.service) {
                service_state.queue.remove(&queue_key);
            }
            self.refund(&request, now);
        }
    }

    /// Removes and returns the requests whose queue deadline has passed, and those that were
    /// quarantined while they waited.
    pub fn expire(&mut self, now: Instant) -> Vec<(RequestNumber, Refusal)> {
        let mut expired = Vec::new();
        for service_state in self.services.values_mut() {
            let queue_keys = service_state.queue.expire(now);
            expired.extend(queue_keys.into_iter().map(|queue_key| queue_key.number));
        }
        let mut refused = Vec::with_capacity(expired.len());
        for number in expired {
            let is_trial = self.trials.remove(&number);
            let Some((queue_key, request)) = self.waiting.remove(&number) else { continue };
            if is_trial {
                self.end_trial(request.digest, now);
            }
            let reason = Reason::Expired;
            let overload = self.overload(&request, &queue_key, reason, Duration::ZERO, now);
            refused.push((number, Refusal::Overloaded(overload)));
            self.record_refusal(&request, now);
        }
        refused.extend(self.expire_excluded(now));
        if self.quarantined_parts() + self.quarantined_requests() > 0 {
            let held = self.waiting.iter().filter(|(number, _)| !self.trials.contains(*number));
            let held = held.filter_map(|(number, (_, request))| {
                self.quarantine_of(request).map(|refusal| (*number, refusal))
            });
            let held: Vec<(RequestNumber, Refusal)> = held.collect();
            for (number, refusal) in held {
                self.withdraw(number, now);
                refused.push((number, refusal));
            }
        }
        refused
    }

    /// Records how a started request ended.
    pub fn finish(&mut self, completion: &Completion, now: Instant) {
        let Completion { outcome, digest, .. } = *completion;
        let key = self.present_key(completion.key);
        self.record_answer(completion, now);
        self.record_life(completion, key, now);
        if let Some(service_state) = self.services.get_mut(&completion.service) {
            service_state.running = service_state.running.saturating_sub(1);
            let sound = matches!(outcome, Outcome::Succeeded { .. });
            service_state.loads.record_end(key, completion.started, sound, now);
            if sound {
                service_state
                    .record_upstream_time(now.saturating_duration_since(completion.started));
            }
        }
        if let Some(upstream) = self.upstream_mut(key) {
            upstream.record_outcome(outcome, completion.suspected, now);
            upstream.record_cold_outcome(outcome, completion.started, now);
            if let Some(sample) = version_sample(completion) {
                let version = upstream.listed.version.clone();
                let Completion { service, route, .. } = completion;
                self.moves.record_sample(service, &version, route, sample);
            }
        }
        let request = digest.as_ref().map(request_hash);
        match outcome {
            Outcome::Succeeded { .. } => {
                self.requests.record_sound(request.as_slice(), now);
                if completion.wrote.is_some() {
                    self.parts.record_sound(&completion.parts, now);
                }
            }
            // The check of the upstream decides.
            Outcome::InvalidAnswer => {}
            // What becomes of the upstream decides.
            Outcome::Stalled | Outcome::Abandoned
                if completion.first_byte.is_none() && self.record_silence(completion, key, now) => {
            }
            _ => self.end_trial(digest, now),
        }
    }

    /// Records that the upstream of a broken run was down afterwards, so that its requests may have
    /// crashed it.
    pub fn record_crash(&mut self, run: &BrokenRun, now: Instant) {
        self.record_down(run, now);
        self.count_crash(run, now);
    }

    /// Counts a crash of an upstream under the request of a run and its parts.
    fn count_crash(&mut self, run: &BrokenRun, now: Instant) {
        let BrokenRun { upstream, digest, parts, wrote, at } = run;
        let upstream = name_hash(upstream);
        let request = digest.as_ref().map(request_hash);
        self.requests.record_crash(request.as_slice(), upstream, *wrote, *at, now);
        self.parts.record_crash(parts, upstream, *wrote, *at, now);
    }

    /// Records that the upstream of a broken run was up afterwards, so that the upstream has failed
    /// and not the request.
    pub fn record_upstream_up(&mut self, run: &BrokenRun, now: Instant) {
        self.end_trial(run.digest, now);
    }

    /// Ends the trial of a request without a result, if there is one.
    fn end_trial(&mut self, digest: Option<Digest>, now: Instant) {
        let request = digest.as_ref().map(request_hash);
        self.requests.record_undecided(request.as_slice(), now);
    }

    /// Returns the changes of the quarantine of requests since the last call.
    pub fn take_request_changes(&mut self) -> Vec<SuspectChange> {
        self.requests.take_changes()
    }

    /// Returns the changes of the quarantine of prompt parts since the last call.
    pub fn take_part_changes(&mut self) -> Vec<SuspectChange> {
        self.parts.take_changes()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_requests(&self) -> usize {
        self.requests.quarantined_count()
    }

    /// Returns the number of quarantined prompt parts.
    pub fn quarantined_parts(&self) -> usize {
        self.parts.quarantined_count()
    }

    /// Returns why a request is quarantined; `None` if it isn't.
    fn quarantine_of(&self, request: &AdmissionRequest) -> Option<Refusal> {
        let hash = request.digest.as_ref().map(request_hash);
        if self.requests.is_quarantined(hash.as_slice()) {
            return Some(Refusal::Poison);
        }
        self.parts.is_quarantined(&request.parts).then_some(Refusal::QuarantinedPart)
    }

    /// Returns why a quarantined request is refused; `None` if it passes as a trial.
    fn refuse_quarantined(&mut self, request: &AdmissionRequest, now: Instant) -> Option<Refusal> {
        let own = name_hash(&self.name);
        let hash = request.digest.as_ref().map(request_hash);
        if self.requests.is_refused(hash.as_slice(), own, now) {
            return Some(Refusal::Poison);
        }
        if self.parts.is_refused(&request.parts, own, now) {
            self.end_trial(request.digest, now);
            return Some(Refusal::QuarantinedPart);
        }
        None
    }

    /// Records that the upstream has sent nothing for a request since `since`; `again` is true if
    /// this was already recorded for the same request.
    pub fn suspect(&mut self, key: UpstreamKey, since: Instant, again: bool, now: Instant) {
        if let Some(upstream) = self.upstream_mut(key) {
            upstream.suspect(since, again, now);
        }
    }

    /// Records the limit that an upstream stated in an answer, in requests per second over all
    /// entries; returns the change, if it is one.
    pub fn record_limit(
        &mut self,
        key: UpstreamKey,
        limit: Option<f64>,
        now: Instant,
    ) -> Option<LimitChange> {
        let upstream = self.upstream_mut(key)?;
        let before = upstream.limit();
        let is_new = upstream.rate_limit.record_own(limit, now);
        let id = upstream.listed.id.clone();
        if is_new {
            // The limit is divided before the next request is decided on.
            self.refreshed = None;
        }
        is_new.then_some(LimitChange { id, before, limit })
    }

    /// Records that an upstream of a service states the pace of its work.
    pub fn record_pace(&mut self, service: &ServiceId) {
        self.services.entry(service.clone()).or_default().states_pace = true;
    }

    /// Returns true if an upstream of a service has stated the pace of its work.
    pub fn states_pace(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(|service_state| service_state.states_pace)
    }

    /// Records that an upstream wants no requests from this entry until a time; returns its name.
    pub fn pause(&mut self, key: UpstreamKey, until: Instant) -> Option<&UpstreamId> {
        let upstream = self.upstream_mut(key)?;
        upstream.pause(until);
        Some(&upstream.listed.id)
    }

    /// Records that an upstream said in an answer that it leaves.
    pub fn record_leaving(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstream_mut(key)
            && upstream.record_leaving()
        {
            let id = upstream.listed.id.clone();
            self.departures.push(Departure { id, told_by: None });
        }
    }

    /// Records that another entry was told that an upstream leaves.
    fn record_peer_leaving(&mut self, leaving: LeavingUpstream, peer: &InstanceId) {
        self.departed.record_peer_leaving(leaving);
        let key = self.by_hash.get(&leaving.upstream);
        let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(*key)) else { return };
        // Another incarnation of that name may be listed here.
        if upstream.listed.started_ms == leaving.started_ms && upstream.record_peer_leaving() {
            let id = upstream.listed.id.clone();
            self.departures.push(Departure { id, told_by: Some(peer.clone()) });
        }
    }

    /// Returns the upstreams that were found to leave since the last call.
    pub fn take_departures(&mut self) -> Vec<Departure> {
        std::mem::take(&mut self.departures)
    }

    /// Returns this entry's rank: the number of reachable entries whose names sort before its own.
    pub fn peer_rank(&self, now: Instant) -> usize {
        self.peers.rank(&self.name, now)
    }

    /// Returns the number of callers that are expected back.
    pub fn expected_returns(&self) -> usize {
        self.returns.len()
    }

    /// Returns the number of teams that have spent more than their limits allowed.
    pub fn teams_in_debt(&self) -> usize {
        self.buckets.values().filter(|bucket| bucket.is_in_debt()).count()
    }

    /// Returns the slots of each service that are kept free for more urgent requests.
    pub fn reserved_slots(&self) -> impl Iterator<Item = (&ServiceId, f64)> {
        self.services.iter().map(|(service, state)| (service, state.reserve.slots()))
    }

    /// Returns the number of waiting requests.
    pub fn queue_len(&self) -> usize {
        self.waiting.len()
    }

    fn charge_team(&mut self, request: &AdmissionRequest, now: Instant) -> Option<Refusal> {
        let charge = request.charge.as_ref()?;
        let entries = self.entries() as f64;
        // An entry that is overdue may be cut off and spend its part unseen.
        let heard = (self.peers.heard_count(self.schedule.overdue_age(), now) + 1) as f64;
        let has_part = self.counted.has_part(now);
        let heard_fraction = if has_part { (heard / entries).min(1.0) } else { 0.0 };
        let bucket = self.buckets.get_mut(&charge.team)?;
        bucket
            .take(charge.tokens, request.priority.route_tier, heard_fraction, now)
            .err()
            .map(Refusal::OverLimit)
    }

    fn overload(
        &mut self,
        request: &AdmissionRequest,
        queue_key: &QueueKey,
        reason: Reason,
        expected_wait: Duration,
        now: Instant,
    ) -> Overload {
        let time_left = request.deadline.saturating_duration_since(now);
        let retry_after = self.returns.plan(request.digest, expected_wait, time_left, now);
        let service_state = self.services.get(&request.service);
        let waiting = service_state.map_or(0, |service_state| service_state.queue.len());
        let running = service_state.map_or(0, |service_state| service_state.running);
        let pause = self.pause_left(request, now);
        let retry_after = Some(retry_after);
        let QueueKey { share_rank, standing, .. } = *queue_key;
        Overload {
            reason,
            expected_wait,
            pause,
            retry_after,
            share_rank,
            standing,
            waiting,
            running,
        }
    }

    fn record_refusal(&mut self, request: &AdmissionRequest, now: Instant) {
        self.refund(request, now);
        if let Some(service_state) = self.services.get_mut(&request.service) {
            service_state.refusals.record_refusal(request.priority, now);
        }
    }

    /// Gives back what was taken for a request that isn't sent.
    fn refund(&mut self, request: &AdmissionRequest, now: Instant) {
        if let Some(taken) = self.retry_times.remove(&request.number)
            && let Some(service_state) = self.services.get_mut(&request.service)
        {
            service_state.retries.give_back(taken);
        }
        if let Some(charge) = &request.charge
            && let Some(bucket) = self.buckets.get_mut(&charge.team)
        {
            bucket.refund(charge.tokens, now);
        }
    }

    fn dispatch_service(&mut self, service: &ServiceId, now: Instant) -> Vec<Start> {
        let mut starts = Vec::new();
        let Some(service_state) = self.services.get(service) else { return starts };
        let queued: Vec<QueueKey> = service_state.queue.iter().collect();
        let mut unplaced = 0;
        for queue_key in queued {
            let Some((_, request)) = self.waiting.get(&queue_key.number) else { continue };
            let is_held = self.quarantine_of(request).is_some();
            if is_held && !self.trials.contains(&queue_key.number) {
                // Refused at the next [`Scheduler::expire`].
                continue;
            }
            let Some(key) = self.choose_upstream(request, now) else {
                unplaced += 1;
                if unplaced >= MAX_UNPLACED {
                    break;
                }
                continue;
            };
            let request = self.waiting.remove(&queue_key.number).map(|(_, request)| request);
            self.trials.remove(&queue_key.number);
            self.retry_times.remove(&queue_key.number);
            if let Some(service_state) = self.services.get_mut(service) {
                service_state.queue.remove(&queue_key);
            }
            if let Some(request) = request {
                self.record_start(&request, key, now);
            }
            starts.push(Start { number: queue_key.number, upstream: key });
        }
        starts
    }

    fn record_start(&mut self, request: &AdmissionRequest, key: UpstreamKey, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.own_running += 1;
            upstream.rate_limit.record_start(now);
            upstream.cold.record_start(now);
            self.ejections.record_start(upstream.hash);
        }
        if let Some(service_state) = self.services.get_mut(&request.service) {
            service_state.running += 1;
            service_state.loads.record_start(key, request.priority, now);
        }
    }

    fn rebuild_members(&mut self) {
        for service_state in self.services.values_mut() {
            service_state.members.clear();
            service_state.slots = 0;
        }
        for (key, upstream) in &self.upstreams {
            let service = upstream.listed.service.clone();
            let service_state = self.services.entry(service).or_default();
            service_state.members.push(key);
            if !upstream.drained {
                service_state.slots = service_state.slots.saturating_add(upstream.listed.slots);
            }
        }
    }
}

/// Returns a number in `0.0..1.0` that differs from request to request.
fn draw(number: RequestNumber) -> f64 {
    xxh3_64_with_seed(&number.to_le_bytes(), DRAW_SEED) as f64 / u64::MAX as f64
}

/// Returns the sample of the upstream's version that a completed request provides; `None` if its
/// outcome says nothing about the version.
fn version_sample(completion: &Completion) -> Option<VersionSample> {
    let (error, unit_seconds) = match completion.outcome {
        Outcome::Succeeded { unit_seconds } => (false, unit_seconds),
        Outcome::Failed | Outcome::InvalidAnswer | Outcome::Stalled => (true, None),
        Outcome::Rejected | Outcome::Misdirected | Outcome::Unreachable | Outcome::Abandoned => {
            return None;
        }
    };
    Some(VersionSample { error, first_byte: completion.first_byte, event_interval: unit_seconds })
}
