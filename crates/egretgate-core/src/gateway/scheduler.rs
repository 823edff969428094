//! Which request starts at which upstream, which one waits and which one is refused.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::admission::{
    Admission, AdmissionRequest, Completion, Overload, Reason, Refusal, Start, UpstreamKey,
};
use super::broken_runs::BrokenRuns;
use super::catalog::Catalog;
use super::peer::Peers;
use super::request_queue::{QueueKey, RequestNumber};
use super::retry_limit::RetryLimit;
use super::service_state::ServiceState;
use super::share::TimeSlice;
use super::token_bucket::TokenBucket;
use super::traffic_move::{Moves, VersionSample};
use super::upstream::{ListedUpstream, Outcome, UpstreamState};
use crate::{Incarnation, InstanceId, ServiceId, TeamId, UpstreamId, ZoneId};

mod peer_view;
mod placement;
mod reports;

/// Waiting requests that are looked at for one place, if those ahead need a faster upstream.
const MAX_UNPLACED: usize = 24;

/// The decisions of one entry.
#[derive(Debug)]
pub struct Scheduler {
    name: InstanceId,
    zone: ZoneId,
    incarnation: Incarnation,
    sequence: u64,
    catalog: Arc<Catalog>,
    retry_limit: RetryLimit,
    upstreams: SlotMap<UpstreamKey, UpstreamState>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    services: BTreeMap<ServiceId, ServiceState>,
    waiting: HashMap<RequestNumber, (QueueKey, AdmissionRequest)>,
    buckets: HashMap<TeamId, TokenBucket>,
    peers: Peers,
    /// Other entries that are known to exist, whether heard or not; `None` before they were read.
    peer_count: Option<usize>,
    /// False while the directory of entries can't be read.
    directory_up: bool,
    refreshed: Option<Instant>,
    time_slice: TimeSlice,
    broken_runs: BrokenRuns,
    moves: Moves,
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
            upstreams: SlotMap::with_key(),
            by_id: HashMap::new(),
            services: BTreeMap::new(),
            waiting: HashMap::new(),
            buckets: HashMap::new(),
            peers: Peers::default(),
            peer_count: None,
            directory_up: true,
            refreshed: None,
            time_slice: TimeSlice::default(),
            broken_runs: BrokenRuns::default(),
            moves: Moves::default(),
        }
    }

    /// Sets the budget of repeats.
    #[must_use]
    pub const fn with_retry_limit(mut self, limit: RetryLimit) -> Self {
        self.retry_limit = limit;
        self
    }

    /// Sets the number of other entries that are known to exist.
    pub fn set_peer_count(&mut self, expected: usize) {
        if self.peer_count.is_none() {
            self.buckets.values_mut().for_each(|meter| meter.add_initial(expected + 1));
        }
        self.peer_count = Some(expected);
    }

    /// Notes whether the directory of entries can be read.
    pub const fn set_directory_up(&mut self, in_touch: bool) {
        self.directory_up = in_touch;
    }

    /// Puts declarations in force.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>, now: Instant) {
        for team in catalog.teams() {
            match (team.limit, self.buckets.get_mut(&team.name)) {
                (Some(limit), Some(meter)) => meter.set_limit(limit),
                (Some(limit), None) => {
                    let mut meter = TokenBucket::new(limit, now);
                    if let Some(expected) = self.peer_count {
                        meter.add_initial(expected + 1);
                    }
                    self.buckets.insert(team.name.clone(), meter);
                }
                (None, _) => {
                    self.buckets.remove(&team.name);
                }
            }
        }
        self.moves.set_moves(catalog.moves(), now);
        self.catalog = catalog;
    }

    /// Replaces the list of upstreams and returns those that are gone or live anew.
    pub fn set_upstreams(&mut self, roster: Vec<ListedUpstream>) -> Vec<UpstreamKey> {
        let mut gone = Vec::new();
        let mut seen = HashMap::with_capacity(roster.len());
        for listed in roster {
            let id = listed.id.clone();
            match self.by_id.get(&id).copied() {
                Some(key) if self.upstreams[key].listed.is_same_incarnation(&listed) => {
                    self.upstreams[key].listed = listed;
                    seen.insert(id, key);
                }
                old => {
                    gone.extend(old);
                    seen.insert(id, self.upstreams.insert(UpstreamState::new(listed)));
                }
            }
        }
        let unlisted = self.by_id.iter().filter(|(id, _)| !seen.contains_key(*id));
        gone.extend(unlisted.map(|(_, key)| *key));
        for key in &gone {
            self.upstreams.remove(*key);
        }
        self.by_id = seen;
        self.rebuild_members();
        gone
    }

    /// Returns an upstream.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.upstreams.get(key)
    }

    /// Returns every upstream.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams.values()
    }

    /// Decides on a request that has just come, or comes again after an upstream didn't serve it.
    ///
    /// [`Scheduler::dispatch`] comes first, so that what waits goes before what comes.
    pub fn admit(&mut self, order: AdmissionRequest, now: Instant) -> Admission {
        if order.digest.as_ref().is_some_and(|digest| self.broken_runs.is_poison(digest)) {
            return Admission::Refused(Refusal::Poison);
        }
        if let Some(refusal) = self.charge_team(&order, now) {
            return Admission::Refused(refusal);
        }
        self.refresh(now);
        if order.faster_than.is_some() {
            return self.admit_migration(&order, now);
        }
        let entries = self.entries();
        let place =
            QueueKey { priority: order.priority, objective: order.objective, number: order.number };
        let backlog = self.services.entry(order.service.clone()).or_default();
        if order.is_retry {
            if !backlog.retries.take_retry(now, &self.retry_limit, entries) {
                return Admission::Refused(Refusal::RetryBudgetSpent);
            }
        } else {
            backlog.retries.record_request(now, &self.retry_limit);
        }
        backlog.queue.record_arrival(place.priority, now);
        backlog.refusals.record_arrival(place.priority, now);
        let wait = backlog.expected_wait(&place, now);
        // Those that wait were looked at before: what has room now has none for them.
        if let Some(key) = self.choose_upstream(&order, now) {
            self.record_start(&order.service, key);
            return Admission::Started(key);
        }
        let reason = if self.must_yield(&order) {
            Some(Reason::ReservedForUrgent)
        } else {
            (wait > order.useful_wait || now + wait > order.queue_deadline)
                .then_some(Reason::TooLong)
        };
        if let Some(reason) = reason {
            self.record_refusal(&order, now);
            let crowd = self.overload(&order.service, reason, wait);
            return Admission::Refused(Refusal::Overloaded(crowd));
        }
        if let Some(backlog) = self.services.get_mut(&order.service) {
            backlog.queue.push(place, order.queue_deadline);
        }
        self.waiting.insert(order.number, (place, order));
        Admission::Queued
    }

    /// Decides on a running request that would do better elsewhere. It doesn't wait, and its refusal
    /// is no want of room.
    fn admit_migration(&mut self, order: &AdmissionRequest, now: Instant) -> Admission {
        let Some(key) = self.choose_upstream(order, now) else {
            return Admission::Refused(Refusal::Overloaded(Overload::without_state(
                Reason::NoneFaster,
            )));
        };
        let entries = self.entries();
        let backlog = self.services.entry(order.service.clone()).or_default();
        if !backlog.retries.take_retry(now, &self.retry_limit, entries) {
            return Admission::Refused(Refusal::RetryBudgetSpent);
        }
        self.record_start(&order.service, key);
        Admission::Started(key)
    }

    /// Starts waiting requests for which there is room.
    pub fn dispatch(&mut self, now: Instant) -> Vec<Start> {
        self.refresh(now);
        let busy = self.services.iter().filter(|(_, backlog)| !backlog.queue.is_empty());
        let busy: Vec<ServiceId> = busy.map(|(service, _)| service.clone()).collect();
        busy.into_iter().flat_map(|service| self.dispatch_service(&service, now)).collect()
    }

    /// Removes a request that waits no longer.
    pub fn withdraw(&mut self, number: RequestNumber) {
        if let Some((place, order)) = self.waiting.remove(&number) {
            if let Some(backlog) = self.services.get_mut(&order.service) {
                backlog.queue.remove(&place);
            }
            self.refund(&order);
        }
    }

    /// Removes and returns the requests that have waited as long as they may.
    pub fn expire(&mut self, now: Instant) -> Vec<(RequestNumber, Overload)> {
        let mut gone = Vec::new();
        for (service, backlog) in &mut self.services {
            let places = backlog.queue.expire(now);
            gone.extend(places.into_iter().map(|place| (place.number, service.clone())));
        }
        let mut refused = Vec::with_capacity(gone.len());
        for (number, service) in gone {
            refused.push((number, self.overload(&service, Reason::Expired, Duration::ZERO)));
            if let Some((_, order)) = self.waiting.remove(&number) {
                self.record_refusal(&order, now);
            }
        }
        self.peers.expire(now);
        refused
    }

    /// Notes how a started request ended.
    pub fn finish(&mut self, end: &Completion, now: Instant) {
        let Completion { key, outcome, digest, .. } = *end;
        if let Some(backlog) = self.services.get_mut(&end.service) {
            backlog.running = backlog.running.saturating_sub(1);
            if matches!(outcome, Outcome::Succeeded { .. }) {
                backlog.record_upstream_time(now.saturating_duration_since(end.started));
            }
        }
        if let Some(standing) = self.upstreams.get_mut(key) {
            standing.record_outcome(outcome, end.suspected, now);
            if let Some(ending) = version_sample(end) {
                self.moves.record_sample(
                    &end.service,
                    &standing.listed.version,
                    &end.route,
                    ending,
                );
            }
        }
        match (digest, outcome) {
            (Some(digest), Outcome::InvalidAnswer) => self.broken_runs.record_broken(digest, now),
            (Some(digest), Outcome::Succeeded { .. }) => {
                self.broken_runs.record_success(&digest, now);
            }
            _ => {}
        }
    }

    /// Notes that a request at the upstream has been silent since `since`; `again` if it was
    /// before.
    pub fn suspect(&mut self, key: UpstreamKey, since: Instant, again: bool, now: Instant) {
        if let Some(standing) = self.upstreams.get_mut(key) {
            standing.suspect(since, again, now);
        }
    }

    /// Returns the number of reachable entries whose names come before this one's.
    pub fn peer_rank(&self, now: Instant) -> usize {
        self.peers.rank(&self.name, now)
    }

    /// Returns the number of waiting requests.
    pub fn queue_len(&self) -> usize {
        self.waiting.len()
    }

    fn charge_team(&mut self, order: &AdmissionRequest, now: Instant) -> Option<Refusal> {
        let charge = order.charge.as_ref()?;
        let entries = self.entries() as f64;
        let reached = (self.peers.reachable_count(now) + 1) as f64;
        let reach = (reached / entries).min(1.0);
        let meter = self.buckets.get_mut(&charge.team)?;
        meter
            .take(charge.tokens, order.priority.route_tier, reach, now)
            .err()
            .map(Refusal::OverLimit)
    }

    fn overload(&self, service: &ServiceId, reason: Reason, expected: Duration) -> Overload {
        let backlog = self.services.get(service);
        let waiting = backlog.map_or(0, |backlog| backlog.queue.len());
        let running = backlog.map_or(0, |backlog| backlog.running);
        Overload { reason, expected_wait: expected, waiting, running }
    }

    fn record_refusal(&mut self, order: &AdmissionRequest, now: Instant) {
        self.refund(order);
        if let Some(backlog) = self.services.get_mut(&order.service) {
            backlog.refusals.record_refusal(order.priority, now);
        }
    }

    fn refund(&mut self, order: &AdmissionRequest) {
        if let Some(charge) = &order.charge
            && let Some(meter) = self.buckets.get_mut(&charge.team)
        {
            meter.refund(charge.tokens);
        }
    }

    fn dispatch_service(&mut self, service: &ServiceId, now: Instant) -> Vec<Start> {
        let mut starts = Vec::new();
        let Some(backlog) = self.services.get(service) else { return starts };
        let order: Vec<QueueKey> = backlog.queue.iter().collect();
        let mut missed = 0;
        for place in order {
            let Some((_, order)) = self.waiting.get(&place.number) else { continue };
            let Some(key) = self.choose_upstream(order, now) else {
                missed += 1;
                if missed >= MAX_UNPLACED {
                    break;
                }
                continue;
            };
            self.waiting.remove(&place.number);
            if let Some(backlog) = self.services.get_mut(service) {
                backlog.queue.remove(&place);
            }
            self.record_start(service, key);
            starts.push(Start { number: place.number, upstream: key });
        }
        starts
    }

    fn record_start(&mut self, service: &ServiceId, key: UpstreamKey) {
        if let Some(standing) = self.upstreams.get_mut(key) {
            standing.own_running += 1;
        }
        if let Some(backlog) = self.services.get_mut(service) {
            backlog.running += 1;
        }
    }

    fn rebuild_members(&mut self) {
        for backlog in self.services.values_mut() {
            backlog.members.clear();
            backlog.slots = 0;
        }
        for (key, standing) in &self.upstreams {
            let service = standing.listed.service.clone();
            let backlog = self.services.entry(service).or_default();
            backlog.members.push(key);
            backlog.slots += standing.listed.slots;
        }
    }
}

/// Returns what the end of a request says of its upstream's version; `None` if nothing.
fn version_sample(end: &Completion) -> Option<VersionSample> {
    let (error, pace) = match end.outcome {
        Outcome::Succeeded { unit_seconds: pace } => (false, pace),
        Outcome::Failed | Outcome::InvalidAnswer | Outcome::Stalled => (true, None),
        Outcome::Rejected | Outcome::Misdirected | Outcome::Unreachable | Outcome::Abandoned => {
            return None;
        }
    };
    Some(VersionSample { error, first_byte: end.first_byte, event_interval: pace })
}
