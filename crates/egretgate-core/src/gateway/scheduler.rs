//! Which request starts at which upstream, which one waits and which one is refused.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;

use super::catalog::Catalog;
use super::lane::{Lane, Place, Rank, RequestNumber};
use super::meter::Meter;
use super::order::{Admission, End, Order, Refusal, Start, UpstreamKey};
use super::peer::{PeerReport, Peers, name_hash};
use super::poison::Breaks;
use super::repeat::{RepeatLimit, Repeats};
use super::share::Share;
use super::standing::{Listed, Outcome, Standing};
use crate::{Incarnation, InstanceId, ServiceId, TeamId, UpstreamId, ZoneId};

/// Age at which what is derived from other entries' reports is worked out anew.
const REFRESH: Duration = Duration::from_millis(20);

/// Factor by which a new sample moves the running average of the time at an upstream.
const HOLD_SMOOTHING: f64 = 0.05;
/// Time at an upstream below which reports of other entries are out of date, in seconds.
const BRIEF_SECONDS: f64 = 0.15;
/// Requests that all entries together may have at an upstream, for each slot, where they end
/// too soon for reports: as many wait as run, which doubles a short time.
const BRIEF_REQUESTS: u32 = 2;
/// Time that an answer is reckoned to take against its likely length: nine of ten estimates are
/// less than this factor off.
const LENGTH_MARGIN: f64 = 1.7;
/// Waiting requests that are looked at for one place, if those ahead need a faster upstream.
const LOOKED_AT: usize = 24;
/// Entries up to which each compares every upstream: their reports are young enough.
const CLOSE_ENTRIES: usize = 4;
/// Upstreams that are compared for a request at least: with late reports, the better of two
/// spreads load best (Mitzenmacher, "How Useful Is Old Information?", 2000).
const COMPARED: usize = 2;
/// Sorts before every name.
const FIRST_NAME: &str = "";
/// Sorts after every name.
const LAST_NAME: &str = "\u{10ffff}";
/// Time for which a refusal keeps what is less urgent back everywhere: some reports long.
const PRESSURE: Duration = Duration::from_millis(250);
/// Part of an upstream's slots that stay free of requests while more urgent ones are refused
/// elsewhere: enough that the entries which refuse see room.
const KEPT_FREE: f64 = 1.0 / 3.0;
/// Entries that may take a slot unseen between two reports, for each slot kept free.
const ENTRIES_PER_SLOT: u32 = 8;

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
    breaks: Breaks,
}

#[derive(Debug, Default)]
struct Backlog {
    lane: Lane,
    repeats: Repeats,
    members: Vec<UpstreamKey>,
    share: Option<Share>,
    running: u32,
    /// Running average of the seconds that a request is at an upstream.
    hold: Option<f64>,
    /// When a request of each rank was last refused here for want of room.
    refused: BTreeMap<Rank, Instant>,
    /// Most urgent rank that other entries refuse.
    refused_elsewhere: Option<Rank>,
}

impl Backlog {
    fn note_hold(&mut self, hold: Duration) {
        let sample = hold.as_secs_f64();
        let old = self.hold.unwrap_or(sample);
        self.hold = Some(old + (sample - old) * HOLD_SMOOTHING);
    }

    /// Returns the time that a request at `place` is likely to wait: by Little's law, places come
    /// free as often as what runs is over the time that each is held.
    fn expected_wait(&self, place: &Place, now: Instant) -> Duration {
        let Some(hold) = self.hold.filter(|hold| *hold > 0.0 && self.running > 0) else {
            return Duration::ZERO;
        };
        self.lane.expected_wait(place, f64::from(self.running) / hold, now)
    }

    /// Returns the most urgent rank that this entry refuses.
    fn refused(&self, now: Instant) -> Option<Rank> {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < PRESSURE;
        self.refused.iter().find(|(_, at)| recent(at)).map(|(rank, _)| *rank)
    }

    /// Returns true if requests more urgent than `rank` are refused here or elsewhere.
    fn gives_way(&self, rank: Rank, now: Instant) -> bool {
        let refused = self.refused(now).into_iter().chain(self.refused_elsewhere).min();
        refused.is_some_and(|refused| refused < rank)
    }

    /// Returns true if requests end before other entries' reports of them arrive.
    fn is_brief(&self) -> bool {
        self.hold.is_some_and(|hold| hold < BRIEF_SECONDS)
    }
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
            breaks: Breaks::default(),
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
        let wait = backlog.expected_wait(&place, now);
        // Those that wait were looked at before: what has room now has none for them.
        if let Some(key) = self.choose(&order, now) {
            self.begin(&order.service, key);
            return Admission::Started(key);
        }
        let gives_way = self.gives_way(&order, now);
        if gives_way || wait > order.worthwhile || now + wait > order.until {
            self.note_refused(&order, now);
            return Admission::Refused(Refusal::Overloaded);
        }
        if let Some(backlog) = self.services.get_mut(&order.service) {
            backlog.lane.push(place, order.until);
        }
        self.waiting.insert(order.number, (place, order));
        Admission::Queued
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
    pub fn expire(&mut self, now: Instant) -> Vec<RequestNumber> {
        let mut gone = Vec::new();
        for backlog in self.services.values_mut() {
            gone.extend(backlog.lane.expire(now).into_iter().map(|place| place.number));
        }
        for number in &gone {
            if let Some((_, order)) = self.waiting.remove(number) {
                self.note_refused(&order, now);
            }
        }
        self.peers.expire(now);
        gone
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
            standing.own = standing.own.saturating_sub(1);
            standing.note(outcome, now);
        }
        match (digest, outcome) {
            (Some(digest), Outcome::Broken) => self.breaks.note(digest, now),
            (Some(digest), Outcome::Good { .. }) => self.breaks.clear(&digest),
            _ => {}
        }
    }

    /// Notes that a request at the upstream has been silent for long.
    pub fn suspect(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(standing) = self.upstreams.get_mut(key) {
            standing.suspect(now);
        }
    }

    /// Takes in what another entry reports.
    pub fn hear(&mut self, report: PeerReport, now: Instant) {
        if report.name == self.name {
            return;
        }
        for spent in self.peers.hear(report, now) {
            let meters = self.meters.iter_mut();
            for (_, meter) in meters.filter(|(team, _)| name_hash(team) == spent.team) {
                meter.spend_elsewhere(spent.tokens);
            }
        }
    }

    /// Returns what this entry tells the others.
    pub fn report(&mut self, now: Instant) -> PeerReport {
        self.sequence += 1;
        let demand = self.services.iter().map(|(service, backlog)| {
            (name_hash(service), f64::from(backlog.running) + backlog.lane.len() as f64)
        });
        let refused = self.services.iter().filter_map(|(service, backlog)| {
            backlog.refused(now).map(|rank| (name_hash(service), rank))
        });
        let running = self.upstreams.values().filter(|standing| standing.own > 0);
        let running = running.map(|standing| (name_hash(&standing.listed.id), standing.own));
        let admitted = self.meters.iter().map(|(team, meter)| (name_hash(team), meter.admitted()));
        PeerReport {
            name: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            demand: demand.collect(),
            running: running.collect(),
            refused: refused.collect(),
            admitted: admitted.filter(|(_, tokens)| *tokens > 0).collect(),
            catalog: None,
            roster: None,
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

    fn gives_way(&self, order: &Order, now: Instant) -> bool {
        let backlog = self.services.get(&order.service);
        backlog.is_some_and(|backlog| backlog.gives_way(order.rank, now))
    }

    fn note_refused(&mut self, order: &Order, now: Instant) {
        self.refund(order);
        if let Some(backlog) = self.services.get_mut(&order.service) {
            backlog.refused.insert(order.rank, now);
        }
    }

    fn refund(&mut self, order: &Order) {
        if let Some(charge) = &order.charge
            && let Some(meter) = self.meters.get_mut(&charge.team)
        {
            meter.give_back(charge.tokens);
        }
    }

    /// Returns the number of entries, this one among them.
    fn entries(&self) -> usize {
        self.peers.known().max(self.expected.unwrap_or(0)) + 1
    }

    /// Returns the number of entries that are taken to serve callers though they can't be heard.
    ///
    /// An entry that hears few of the others and can't read the directory either is cut off rather
    /// than the only one left. Otherwise those that can't be heard are taken to be gone.
    fn unheard(&self, now: Instant) -> usize {
        let others = self.entries() - 1;
        let heard = self.peers.fresh(now).min(others);
        if !self.in_touch && heard * 2 < others { others - heard } else { 0 }
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

    /// Returns the upstream with room that is likely to serve the request soonest.
    fn choose(&self, order: &Order, now: Instant) -> Option<UpstreamKey> {
        let backlog = self.services.get(&order.service)?;
        let share = backlog.share.unwrap_or(Share::WHOLE);
        let entries = self.entries();
        let margin = (entries as u32 - 1).div_ceil(ENTRIES_PER_SLOT);
        let usual = self.usual_pace(backlog);
        let brief = entries > 1 && backlog.is_brief();
        let gives_way = backlog.gives_way(order.rank, now);
        let left = order.deadline.saturating_duration_since(now).as_secs_f64();
        let in_time = |standing: &Standing| {
            order.events * standing.pace().unwrap_or(usual) * LENGTH_MARGIN <= left
        };
        // A long answer waits for an upstream that is fast enough, if there is one at all.
        let picky =
            order.events > 0.0 && backlog.members.iter().any(|key| in_time(&self.upstreams[*key]));
        let usable = backlog.members.iter().copied().filter(|key| {
            let standing = &self.upstreams[*key];
            let room = if gives_way {
                has_spare(standing)
            } else if brief {
                let slots = standing.listed.slots * BRIEF_REQUESTS;
                standing.own < slots.div_ceil(entries as u32)
            } else {
                has_room(standing, share, margin)
            };
            standing.is_usable(now)
                && room
                && !self.catalog.is_held_back(&order.service, &standing.listed.version)
                && (!picky || in_time(standing))
                && !order.avoid.contains(&standing.listed.id)
        });
        let cost = |key: &UpstreamKey| self.upstreams[*key].cost(usual, &self.zone);
        // Entries with the same late reports must not all choose the same upstream, so each
        // compares a part of them that differs from request to request.
        let part = CLOSE_ENTRIES * CLOSE_ENTRIES;
        let compared = (backlog.members.len() * part / (entries * entries)).max(COMPARED);
        let usable: Vec<UpstreamKey> = usable.collect();
        let first = spread(order.number, usable.len());
        let some = usable.iter().cycle().skip(first).take(compared.min(usable.len())).copied();
        some.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn usual_pace(&self, backlog: &Backlog) -> f64 {
        let paces = backlog.members.iter().filter_map(|key| self.upstreams[*key].pace());
        let (count, sum) = paces.fold((0, 0.0), |(count, sum), pace| (count + 1, sum + pace));
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }

    fn refresh(&mut self, now: Instant) {
        if self.refreshed.is_some_and(|last| now.duration_since(last) < REFRESH) {
            return;
        }
        self.refreshed = Some(now);
        let unheard = self.unheard(now);
        let part = unheard as f64 / self.entries() as f64;
        for standing in self.upstreams.values_mut() {
            let assumed = (f64::from(standing.listed.slots) * part).floor() as u32;
            standing.others = self.peers.running(&standing.listed.id, now) + assumed;
        }
        for (service, backlog) in &mut self.services {
            let demand = f64::from(backlog.running) + backlog.lane.len() as f64;
            backlog.refused_elsewhere = self.peers.refused(service, now);
            let others = self.peers.demand(service, now);
            // Those that can't be heard are taken to have as much to do as this one. A part of them,
            // another one at each entry, goes before it, so that entries which hear nothing don't
            // take the same slots.
            let before = (name_hash(&self.name) % (unheard as u64 + 1)) as usize;
            let assumed = (0..unheard)
                .map(|index| (if index < before { FIRST_NAME } else { LAST_NAME }, demand));
            backlog.share = Some(Share::new(&self.name, demand, others.chain(assumed)));
        }
    }

    fn regroup(&mut self) {
        for backlog in self.services.values_mut() {
            backlog.members.clear();
        }
        for (key, standing) in &self.upstreams {
            let service = standing.listed.service.clone();
            self.services.entry(service).or_default().members.push(key);
        }
    }
}

/// Returns true if this entry may send one more request to the upstream.
///
/// Its own part of the slots is its to use, with one request waiting at the upstream at most. Any
/// other slot may be taken while `margin` slots stay free for entries whose reports are on their
/// way.
fn has_room(standing: &Standing, share: Share, margin: u32) -> bool {
    let slots = standing.listed.slots;
    let used = standing.own + standing.others;
    let own = standing.own < share.slots(&standing.listed.id, slots) && used <= slots;
    own || used + margin.min(slots / 2) < slots
}

/// Returns true if the upstream has room to spare beside more urgent requests.
fn has_spare(standing: &Standing) -> bool {
    let slots = f64::from(standing.listed.slots);
    f64::from(standing.own + standing.others) < (slots * (1.0 - KEPT_FREE)).floor()
}

/// Returns a position below `count` that differs from request to request.
fn spread(number: RequestNumber, count: usize) -> usize {
    (xxh3_64(&number.to_le_bytes()) % count.max(1) as u64) as usize
}
