//! Which request starts at which upstream, which one waits and which one is refused.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::service_state::Backlog;
use super::catalog::Catalog;
use super::request_queue::{Place, RequestNumber};
use super::token_bucket::Meter;
use super::traffic_move::{Ending, Moves};
use super::admission::{Admission, Crowd, End, Order, Reason, Refusal, Start, UpstreamKey};
use super::peer::Peers;
use super::broken_runs::Breaks;
use super::retry_limit::RepeatLimit;
use super::share::Turn;
use super::upstream::{Listed, Outcome, Standing};
use crate::{Incarnation, InstanceId, ServiceId, TeamId, UpstreamId, ZoneId};

mod peer_view;
mod placement;
mod reports;

/// Waiting requests that are looked at for one place, if those ahead need a faster upstream.
const LOOKED_AT: usize = 24;

/// The decisions of one entry.
#[derive(Debug)]
pub struct Scheduler {
    name: InstanceId,
    zone: ZoneId,
    incarnation: Incarnation,
    sequence: u64,
    catalog: Arc<Catalog>,
    limit: RepeatLimit,
    upstreams: SlotMap<UpstreamKey, Standing>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    services: BTreeMap<ServiceId, Backlog>,
    waiting: HashMap<RequestNumber, (Place, Order)>,
    meters: HashMap<TeamId, Meter>,
    peers: Peers,
    /// Other entries that are known to exist, whether heard or not; `None` before they were read.
    expected: Option<usize>,
    /// False while the directory of entries can't be read.
    in_touch: bool,
    refreshed: Option<Instant>,
    turn: Turn,
    breaks: Breaks,
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
            limit: RepeatLimit::default(),
            upstreams: SlotMap::with_key(),
            by_id: HashMap::new(),
            services: BTreeMap::new(),
            waiting: HashMap::new(),
            meters: HashMap::new(),
            peers: Peers::default(),
            expected: None,
            in_touch: true,
            refreshed: None,
            turn: Turn::default(),
            breaks: Breaks::default(),
            moves: Moves::default(),
        }
    }

    /// Sets the budget of repeats.
    #[must_use]
    pub const fn with_limit(mut self, limit: RepeatLimit) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the number of other entries that are known to exist.
    pub fn expect_peers(&mut self, expected: usize) {
        if self.expected.is_none() {
            self.meters.values_mut().for_each(|meter| meter.start(expected + 1));
        }
        self.expected = Some(expected);
    }

    /// Notes whether the directory of entries can be read.
    pub const fn set_in_touch(&mut self, in_touch: bool) {
        self.in_touch = in_touch;
    }

    /// Puts declarations in force.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>, now: Instant) {
        for team in catalog.teams() {
            match (team.limit, self.meters.get_mut(&team.name)) {
                (Some(limit), Some(meter)) => meter.set_limit(limit),
                (Some(limit), None) => {
                    let mut meter = Meter::new(limit, now);
                    if let Some(expected) = self.expected {
                        meter.start(expected + 1);
                    }
                    self.meters.insert(team.name.clone(), meter);
                }
                (None, _) => {
                    self.meters.remove(&team.name);
                }
            }
        }
        self.moves.set_orders(catalog.moves(), now);
        self.catalog = catalog;
    }

    /// Replaces the list of upstreams and returns those that are gone or live anew.
    pub fn set_roster(&mut self, roster: Vec<Listed>) -> Vec<UpstreamKey> {
        let mut gone = Vec::new();
        let mut seen = HashMap::with_capacity(roster.len());
        for listed in roster {
            let id = listed.id.clone();
            match self.by_id.get(&id).copied() {
                Some(key) if self.upstreams[key].listed.is_same_life(&listed) => {
                    self.upstreams[key].listed = listed;
                    seen.insert(id, key);
                }
                old => {
                    gone.extend(old);
                    seen.insert(id, self.upstreams.insert(Standing::new(listed)));
                }
            }
        }
        let unlisted = self.by_id.iter().filter(|(id, _)| !seen.contains_key(*id));
        gone.extend(unlisted.map(|(_, key)| *key));
        for key in &gone {
            self.upstreams.remove(*key);
        }
        self.by_id = seen;
        self.regroup();
        gone
    }

    /// Returns an upstream.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Standing> {
        self.upstreams.get(key)
    }

    /// Returns every upstream.
    pub fn upstreams(&self) -> impl Iterator<Item = &Standing> {
        self.upstreams.values()
    }

    /// Decides on a request that has just come, or comes again after an upstream didn't serve it.
    ///
    /// [`Scheduler::pump`] comes first, so that what waits goes before what comes.
    pub fn admit(&mut self, order: Order, now: Instant) -> Admission {
        if order.digest.as_ref().is_some_and(|digest| self.breaks.is_poison(digest)) {
            return Admission::Refused(Refusal::Poison);
        }
        if let Some(refusal) = self.charge(&order, now) {
            return Admission::Refused(refusal);
        }
        self.refresh(now);
        if order.pace.is_some() {
            return self.admit_faster(&order, now);
        }
        let entries = self.entries();
        let place = Place { rank: order.rank, objective: order.objective, number: order.number };
        let backlog = self.services.entry(order.service.clone()).or_default();
        if order.repeat {
            if !backlog.repeats.repeat(now, &self.limit, entries) {
                return Admission::Refused(Refusal::OverBudget);
            }
        } else {
            backlog.repeats.request(now, &self.limit);
        }
        backlog.lane.arrived(place.rank, now);
        backlog.strains.arrived(place.rank, now);
        let wait = backlog.expected_wait(&place, now);
        // Those that wait were looked at before: what has room now has none for them.
        if let Some(key) = self.choose(&order, now) {
            self.begin(&order.service, key);
            return Admission::Started(key);
        }
        let reason = if self.gives_way(&order) {
            Some(Reason::GivesWay)
        } else {
            (wait > order.worthwhile || now + wait > order.until).then_some(Reason::TooLong)
        };
        if let Some(reason) = reason {
            self.note_refused(&order, now);
            let crowd = self.crowd(&order.service, reason, wait);
            return Admission::Refused(Refusal::Overloaded(crowd));
        }
        if let Some(backlog) = self.services.get_mut(&order.service) {
            backlog.lane.push(place, order.until);
        }
        self.waiting.insert(order.number, (place, order));
        Admission::Queued
    }

    /// Decides on a running request that would do better elsewhere. It doesn't wait, and its refusal
    /// is no want of room.
    fn admit_faster(&mut self, order: &Order, now: Instant) -> Admission {
        let Some(key) = self.choose(order, now) else {
            return Admission::Refused(Refusal::Overloaded(Crowd::because(Reason::NoneFaster)));
        };
        let entries = self.entries();
        let backlog = self.services.entry(order.service.clone()).or_default();
        if !backlog.repeats.repeat(now, &self.limit, entries) {
            return Admission::Refused(Refusal::OverBudget);
        }
        self.begin(&order.service, key);
        Admission::Started(key)
    }

    /// Starts waiting requests for which there is room.
    pub fn pump(&mut self, now: Instant) -> Vec<Start> {
        self.refresh(now);
        let busy = self.services.iter().filter(|(_, backlog)| !backlog.lane.is_empty());
        let busy: Vec<ServiceId> = busy.map(|(service, _)| service.clone()).collect();
        busy.into_iter().flat_map(|service| self.pump_service(&service, now)).collect()
    }

    /// Removes a request that waits no longer.
    pub fn withdraw(&mut self, number: RequestNumber) {
        if let Some((place, order)) = self.waiting.remove(&number) {
            if let Some(backlog) = self.services.get_mut(&order.service) {
                backlog.lane.remove(&place);
            }
            self.refund(&order);
        }
    }

    /// Removes and returns the requests that have waited as long as they may.
    pub fn expire(&mut self, now: Instant) -> Vec<(RequestNumber, Crowd)> {
        let mut gone = Vec::new();
        for (service, backlog) in &mut self.services {
            let places = backlog.lane.expire(now);
            gone.extend(places.into_iter().map(|place| (place.number, service.clone())));
        }
        let mut refused = Vec::with_capacity(gone.len());
        for (number, service) in gone {
            refused.push((number, self.crowd(&service, Reason::Expired, Duration::ZERO)));
            if let Some((_, order)) = self.waiting.remove(&number) {
                self.note_refused(&order, now);
            }
        }
        self.peers.expire(now);
        refused
    }

    /// Notes how a started request ended.
    pub fn finish(&mut self, end: &End, now: Instant) {
        let End { key, outcome, digest, .. } = *end;
        if let Some(backlog) = self.services.get_mut(&end.service) {
            backlog.running = backlog.running.saturating_sub(1);
            if matches!(outcome, Outcome::Good { .. }) {
                backlog.note_hold(now.saturating_duration_since(end.started));
            }
        }
        if let Some(standing) = self.upstreams.get_mut(key) {
            standing.note(outcome, end.suspected, now);
            if let Some(ending) = judged(end) {
                self.moves.note(&end.service, &standing.listed.version, &end.route, ending);
            }
        }
        match (digest, outcome) {
            (Some(digest), Outcome::Broken) => self.breaks.note(digest, now),
            (Some(digest), Outcome::Good { .. }) => self.breaks.clear(&digest, now),
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
    pub fn rank(&self, now: Instant) -> usize {
        self.peers.rank(&self.name, now)
    }

    /// Returns the number of waiting requests.
    pub fn backlog(&self) -> usize {
        self.waiting.len()
    }

    fn charge(&mut self, order: &Order, now: Instant) -> Option<Refusal> {
        let charge = order.charge.as_ref()?;
        let entries = self.entries() as f64;
        let reached = (self.peers.fresh(now) + 1) as f64;
        let reach = (reached / entries).min(1.0);
        let meter = self.meters.get_mut(&charge.team)?;
        meter.take(charge.tokens, order.rank.route, reach, now).err().map(Refusal::OverLimit)
    }

    fn crowd(&self, service: &ServiceId, reason: Reason, expected: Duration) -> Crowd {
        let backlog = self.services.get(service);
        let waiting = backlog.map_or(0, |backlog| backlog.lane.len());
        let running = backlog.map_or(0, |backlog| backlog.running);
        Crowd { reason, expected, waiting, running }
    }

    fn note_refused(&mut self, order: &Order, now: Instant) {
        self.refund(order);
        if let Some(backlog) = self.services.get_mut(&order.service) {
            backlog.strains.refused(order.rank, now);
        }
    }

    fn refund(&mut self, order: &Order) {
        if let Some(charge) = &order.charge
            && let Some(meter) = self.meters.get_mut(&charge.team)
        {
            meter.give_back(charge.tokens);
        }
    }

    fn pump_service(&mut self, service: &ServiceId, now: Instant) -> Vec<Start> {
        let mut starts = Vec::new();
        let Some(backlog) = self.services.get(service) else { return starts };
        let order: Vec<Place> = backlog.lane.order().collect();
        let mut missed = 0;
        for place in order {
            let Some((_, order)) = self.waiting.get(&place.number) else { continue };
            let Some(key) = self.choose(order, now) else {
                missed += 1;
                if missed >= LOOKED_AT {
                    break;
                }
                continue;
            };
            self.waiting.remove(&place.number);
            if let Some(backlog) = self.services.get_mut(service) {
                backlog.lane.remove(&place);
            }
            self.begin(service, key);
            starts.push(Start { number: place.number, upstream: key });
        }
        starts
    }

    fn begin(&mut self, service: &ServiceId, key: UpstreamKey) {
        if let Some(standing) = self.upstreams.get_mut(key) {
            standing.own += 1;
        }
        if let Some(backlog) = self.services.get_mut(service) {
            backlog.running += 1;
        }
    }

    fn regroup(&mut self) {
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
fn judged(end: &End) -> Option<Ending> {
    let (error, pace) = match end.outcome {
        Outcome::Good { pace } => (false, pace),
        Outcome::Failed | Outcome::Broken | Outcome::Silent => (true, None),
        Outcome::Full | Outcome::Moved | Outcome::Unreachable | Outcome::Left => return None,
    };
    Some(Ending { error, first: end.first, pace })
}
