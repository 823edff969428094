//! The upstreams known to one entry, indexed by service, version and zone.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::view::{GroupAverages, tier_index};
use super::{ChoiceRequest, InFlightRequest, LoadReport, Policy, Upstream, UpstreamKey, View};
use crate::ids::{MAX_TIERS, ServiceId, Tier, VersionId, ZoneId};

/// Points of each upstream on the hash ring of its group.
const RING_POINTS: u64 = 16;
/// Upstreams tried along the ring before affinity is given up.
const MAX_RING_STEPS: usize = 4;
/// Size of a pool up to which a choice compares all members.
const SMALL_POOL: usize = 24;
/// Random candidates from the entry's own zone.
const NEAR_SAMPLES: usize = 4;
/// Random candidates from other zones.
const FAR_SAMPLES: usize = 2;
/// Random candidates of a Prequal-style decision.
const PREQUAL_PROBES: usize = 6;
/// Attempts to draw an eligible upstream at random before a scan.
const RANDOM_TRIES: usize = 8;
/// Load of an upstream relative to the mean of its group up to which affinity applies: the factor
/// 1 + epsilon of consistent hashing with bounded loads.
const LOAD_BOUND_FACTOR: f64 = 1.5;
/// Fraction of the prompt whose prefill is expected to be saved by affinity.
const EXPECTED_HIT_FRACTION: f64 = 0.75;
/// Predicted gain in seconds below which a request stays in its own zone.
const SPILL_MARGIN_S: f64 = 0.02;
/// Seconds added to the prediction of an upstream that reports that it would refuse the tier.
const SHED_PENALTY_S: f64 = 60.0;
/// One-way latency to a zone for which none was set.
const DEFAULT_ZONE_LATENCY: Duration = Duration::from_millis(1);
/// Number of excluded upstreams above which a scan looks them up in a set.
const SMALL_EXCLUDED: usize = 16;

slotmap::new_key_type! {
    struct GroupKey;
}

/// Upstreams of one service and version in one zone.
#[derive(Debug, Default)]
struct Group {
    zone: ZoneId,
    members: Vec<UpstreamKey>,
    /// Hash ring: point to upstream.
    ring: BTreeMap<u64, UpstreamKey>,
    /// Sum of the entry's outstanding weighted tokens at the members.
    weighted_tokens: u64,
    /// Sum of the entry's requests in flight at the members.
    in_flight: u64,
    /// Sums of the entry's requests without a first token at the members, by tier.
    unstarted: [u64; MAX_TIERS],
    /// Sum of the members' capacity, in tokens per second.
    capacity: u64,
    /// Sum of the members' concurrency slots.
    slots: u64,
    /// Sum of other entries' requests in the members' last reports.
    other_requests: u64,
}

/// Groups of one service and version, one for each zone.
#[derive(Debug, Default)]
struct Pool {
    /// Every member of every group.
    members: Vec<UpstreamKey>,
    groups: Vec<GroupKey>,
    /// Index in `groups` of each zone's group.
    zones: HashMap<ZoneId, usize>,
}

/// Contribution of a member to the sums of its groups.
#[derive(Debug, Clone, Copy, Default)]
struct Contribution {
    weighted_tokens: u64,
    in_flight: u64,
    unstarted: [u64; MAX_TIERS],
    capacity: u64,
    slots: u64,
    other_requests: u64,
}

#[derive(Debug)]
struct Member {
    view: View,
    groups: Vec<GroupKey>,
    /// Contribution that the groups' sums currently include.
    contribution: Contribution,
}

/// The upstreams known to one entry.
///
/// ```
/// use std::time::Instant;
///
/// use egretgate_core::choice::{ChoiceRequest, Fleet, Policy, Upstream};
/// use rand::SeedableRng;
///
/// let mut fleet = Fleet::new(Policy::Affinity);
/// let key = fleet.insert(Upstream {
///     id: "forecast-1".into(),
///     zone: "olinda".into(),
///     service: "forecast-llm".into(),
///     versions: vec!["v1".into()],
/// });
/// let request = ChoiceRequest {
///     service: "forecast-llm",
///     version: None,
///     tier: 0,
///     prompt_tokens: 200,
///     output_tokens: 50,
///     prefix_hash: 7,
///     zone: "olinda",
///     excluded: &[],
/// };
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// assert_eq!(fleet.choose(&request, Instant::now(), &mut rng), Some(key));
/// ```
#[derive(Debug, Default)]
pub struct Fleet {
    policy: Policy,
    members: SlotMap<UpstreamKey, Member>,
    groups: SlotMap<GroupKey, Group>,
    /// Pools by service, then by version; the empty version stands for any version.
    pools: HashMap<ServiceId, HashMap<VersionId, Pool>>,
    /// One-way latency to other zones.
    latencies: HashMap<ZoneId, Duration>,
    /// Zones whose upstreams get no new requests.
    drained: BTreeSet<ZoneId>,
}

impl Fleet {
    /// Returns an empty fleet that chooses by `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Sets the one-way latency to a zone.
    pub fn set_latency(&mut self, zone: &str, latency: Duration) {
        self.latencies.insert(zone.to_owned(), latency);
    }

    /// Adds an upstream at full weight.
    pub fn insert(&mut self, upstream: Upstream) -> UpstreamKey {
        let mut view = View::new(upstream);
        view.drained = self.drained.contains(&view.upstream.zone);
        let member = Member { view, groups: Vec::new(), contribution: Contribution::default() };
        let key = self.members.insert(member);
        self.join_groups(key);
        key
    }

    /// Removes an upstream; true if it was known.
    pub fn remove(&mut self, key: UpstreamKey) -> bool {
        self.leave_groups(key);
        self.members.remove(key).is_some()
    }

    /// Returns the view of an upstream.
    pub fn view(&self, key: UpstreamKey) -> Option<&View> {
        self.members.get(key).map(|member| &member.view)
    }

    /// Returns every upstream with its view.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &View)> {
        self.members.iter().map(|(key, member)| (key, &member.view))
    }

    /// Returns the number of upstreams known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns true if no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Replaces the versions that an upstream runs.
    pub fn set_versions(&mut self, key: UpstreamKey, versions: Vec<VersionId>) {
        self.leave_groups(key);
        let Some(member) = self.members.get_mut(key) else { return };
        member.view.upstream.versions = versions;
        self.join_groups(key);
    }

    /// Sets the fraction of its full load that an upstream may receive, in 0..=1; 0 excludes it.
    pub fn set_weight(&mut self, key: UpstreamKey, weight: f64) {
        let Some(member) = self.members.get_mut(key) else { return };
        member.view.weight = weight.clamp(0.0, 1.0);
        self.update_sums(key);
    }

    /// Replaces the drained zones: their upstreams, also those that are inserted later, get no new
    /// requests. What is in flight there stays counted.
    pub fn set_drained(&mut self, zones: BTreeSet<ZoneId>) {
        self.drained = zones;
        for key in self.members.keys().collect::<Vec<_>>() {
            let view = &mut self.members[key].view;
            view.drained = self.drained.contains(&view.upstream.zone);
            self.update_sums(key);
        }
    }

    /// Records a load report.
    pub fn record_report(&mut self, key: UpstreamKey, report: LoadReport, now: Instant) {
        let Some(member) = self.members.get_mut(key) else { return };
        member.view.set_report(report, now);
        self.update_sums(key);
    }

    /// Counts a request as in flight, from its offer on.
    pub fn begin(
        &mut self,
        key: UpstreamKey,
        request: &ChoiceRequest<'_>,
        now: Instant,
    ) -> InFlightRequest {
        let weighted_tokens = InFlightRequest::weighted_tokens(request);
        let averages = self.group_averages(key, request.tier);
        let mut in_flight = InFlightRequest {
            weighted_tokens,
            tier: request.tier,
            prompt_tokens: request.prompt_tokens,
            predicted_first: 0.0,
            assumed_load: 0.0,
            offered_at: now,
            first_token: None,
        };
        let Some(member) = self.members.get_mut(key) else { return in_flight };
        in_flight.predicted_first = member.view.predict(request, averages, 0.0, now);
        in_flight.assumed_load = member.view.load(averages, now);
        member.view.begin(&in_flight);
        self.update_sums(key);
        in_flight
    }

    /// Records the first token of a request; later calls for the same request do nothing.
    pub fn record_first_token(
        &mut self,
        key: UpstreamKey,
        in_flight: &mut InFlightRequest,
        now: Instant,
    ) {
        if in_flight.first_token.is_some() {
            return;
        }
        in_flight.first_token = Some(now);
        let Some(member) = self.members.get_mut(key) else { return };
        member.view.observe_first_token(in_flight, now);
        self.update_sums(key);
    }

    /// Ends a request after `tokens` generated tokens, whether it succeeded or not.
    pub fn end(&mut self, key: UpstreamKey, in_flight: InFlightRequest, tokens: u32, now: Instant) {
        let Some(member) = self.members.get_mut(key) else { return };
        member.view.end(&in_flight, now);
        if let Some(first) = in_flight.first_token {
            member.view.observe_stream(tokens, now.saturating_duration_since(first));
        }
        self.update_sums(key);
    }

    /// Chooses an upstream; `None` if all eligible ones are excluded or there are none.
    pub fn choose<R: Rng + ?Sized>(
        &self,
        request: &ChoiceRequest<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        let pool = self.pool(request)?;
        let chosen = match self.policy {
            Policy::Random => None,
            Policy::LeastInFlight => self.least_in_flight(pool, request, rng),
            Policy::TwoChoices => self.two_choices(pool, request, rng),
            Policy::Prequal => self.prequal(pool, request, now, rng),
            Policy::Affinity => self.affinity(pool, request, now, rng),
        };
        chosen.or_else(|| self.random(pool, request, rng)).or_else(|| self.scan(pool, request, rng))
    }

    fn pool(&self, request: &ChoiceRequest<'_>) -> Option<&Pool> {
        self.pools.get(request.service)?.get(request.version.unwrap_or_default())
    }

    /// Returns the upstream's view if the request may be sent there.
    fn eligible_view(&self, key: UpstreamKey, request: &ChoiceRequest<'_>) -> Option<&View> {
        let view = &self.members.get(key)?.view;
        (view.is_eligible() && !request.excluded.contains(&key)).then_some(view)
    }

    /// Draws a random member of a group; `None` if the request may not be sent there now.
    fn draw<R: Rng + ?Sized>(
        &self,
        group: &Group,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        if group.members.is_empty() {
            return None;
        }
        let key = group.members[rng.random_range(0..group.members.len())];
        let view = self.eligible_view(key, request)?;
        draw_admission(view, rng).then_some(key)
    }

    /// Draws a random member of a pool, each with the same probability; `None` if the request may
    /// not be sent there now.
    fn draw_any<R: Rng + ?Sized>(
        &self,
        pool: &Pool,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        if pool.members.is_empty() {
            return None;
        }
        let key = pool.members[rng.random_range(0..pool.members.len())];
        let view = self.eligible_view(key, request)?;
        draw_admission(view, rng).then_some(key)
    }

    fn random<R: Rng + ?Sized>(
        &self,
        pool: &Pool,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        (0..RANDOM_TRIES).find_map(|_| self.draw_any(pool, request, rng))
    }

    /// Finds any eligible member, in the entry's own zone first, from a random start in each group.
    fn scan<R: Rng + ?Sized>(
        &self,
        pool: &Pool,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        let many = request.excluded.len() > SMALL_EXCLUDED;
        let excluded_set: HashSet<UpstreamKey> =
            if many { request.excluded.iter().copied().collect() } else { HashSet::default() };
        let is_allowed = |key: UpstreamKey| {
            let excluded =
                if many { excluded_set.contains(&key) } else { request.excluded.contains(&key) };
            !excluded && self.members[key].view.is_eligible()
        };
        let own = pool.zones.get(request.zone).map(|&index| pool.groups[index]);
        let other_groups = pool.groups.iter().copied().filter(|&key| Some(key) != own);
        own.into_iter().chain(other_groups).find_map(|group| {
            let members = &self.groups[group].members;
            if members.is_empty() {
                return None;
            }
            let start = rng.random_range(0..members.len());
            let (head, tail) = members.split_at(start);
            tail.iter().chain(head).copied().find(|&key| is_allowed(key))
        })
    }

    /// Chooses a member with the fewest own requests in flight; ties are broken at random.
    fn least_in_flight<R: Rng + ?Sized>(
        &self,
        pool: &Pool,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        let mut best: Option<(u32, u32, UpstreamKey)> = None;
        for &key in &pool.members {
            let Some(view) = self.eligible_view(key, request) else { continue };
            if best.is_some_and(|(in_flight, ..)| view.own_in_flight > in_flight)
                || !draw_admission(view, rng)
            {
                continue;
            }
            let candidate = (view.own_in_flight, rng.random::<u32>(), key);
            if best.is_none_or(|least| candidate < least) {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, key)| key)
    }

    fn two_choices<R: Rng + ?Sized>(
        &self,
        pool: &Pool,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        let first = self.draw_any(pool, request, rng);
        let second = self.draw_any(pool, request, rng);
        let (Some(first), Some(second)) = (first, second) else { return first.or(second) };
        let in_flight = |key: UpstreamKey| self.members[key].view.own_in_flight;
        Some(if in_flight(second) < in_flight(first) { second } else { first })
    }

    /// Chooses the lowest latency among the cold candidates; if all are equally hot, among all.
    fn prequal<R: Rng + ?Sized>(
        &self,
        pool: &Pool,
        request: &ChoiceRequest<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        let mut probes = [None; PREQUAL_PROBES];
        for probe in &mut probes {
            *probe = self.draw_any(pool, request, rng);
        }
        let views = || probes.iter().flatten().map(|&key| (key, &self.members[key].view));
        // Hot candidates have the most requests in flight: those above the 5/6 quantile of the
        // probes.
        let hottest = views().map(|(_, view)| view.in_flight()).max()?;
        let coldest = views().map(|(_, view)| view.in_flight()).min()?;
        if hottest == coldest {
            return least_by(views(), |view| prequal_latency(view, request.tier, now));
        }
        let cold = views().filter(|(_, view)| view.in_flight() < hottest);
        least_by(cold, |view| prequal_latency(view, request.tier, now))
    }

    /// Chooses the lowest score among the upstream that the hash ring assigns to the prefix and
    /// random candidates, or all members of a small pool.
    fn affinity<R: Rng + ?Sized>(
        &self,
        pool: &Pool,
        request: &ChoiceRequest<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        let mut best: Option<(f64, UpstreamKey)> = None;
        let mut consider = |key: UpstreamKey, score: f64| {
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        };
        let own_key = pool.zones.get(request.zone).map(|&index| pool.groups[index]);
        let own_key = own_key.filter(|&group| !self.groups[group].members.is_empty());
        let own_group = own_key.map(|key| &self.groups[key]);
        let averages = own_group.map(|group| group.averages(request.tier)).unwrap_or_default();
        if let Some(key) = own_group.and_then(|group| self.first_on_ring(group, request, rng)) {
            consider(key, self.score(key, averages, request, EXPECTED_HIT_FRACTION, now));
        }
        if pool.members.len() <= SMALL_POOL {
            for &group in &pool.groups {
                let group = &self.groups[group];
                let averages = group.averages(request.tier);
                let penalty =
                    if group.zone == request.zone { 0.0 } else { self.zone_penalty(group) };
                for &key in &group.members {
                    let Some(view) = self.eligible_view(key, request) else { continue };
                    if draw_admission(view, rng) {
                        consider(key, self.score(key, averages, request, 0.0, now) + penalty);
                    }
                }
            }
            return best.map(|(_, key)| key);
        }
        if let Some(group) = own_group {
            for _ in 0..NEAR_SAMPLES {
                let Some(key) = self.draw(group, request, rng) else { continue };
                consider(key, self.score(key, averages, request, 0.0, now));
            }
        }
        let samples = if own_key.is_some() { FAR_SAMPLES } else { NEAR_SAMPLES + FAR_SAMPLES };
        for _ in 0..samples {
            let key = pool.groups[rng.random_range(0..pool.groups.len())];
            if Some(key) == own_key {
                continue;
            }
            let group = &self.groups[key];
            let Some(key) = self.draw(group, request, rng) else { continue };
            let averages = group.averages(request.tier);
            consider(key, self.score(key, averages, request, 0.0, now) + self.zone_penalty(group));
        }
        best.map(|(_, key)| key)
    }

    /// Returns the first member along the ring that accepts the request within its load bound.
    fn first_on_ring<R: Rng + ?Sized>(
        &self,
        group: &Group,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<UpstreamKey> {
        let after = group.ring.range((Bound::Included(request.prefix_hash), Bound::Unbounded));
        let around = after.chain(group.ring.iter()).map(|(_, &key)| key);
        let mut last = None;
        let mut steps = 0;
        for key in around {
            if last == Some(key) {
                continue;
            }
            last = Some(key);
            steps += 1;
            if steps > MAX_RING_STEPS {
                return None;
            }
            let Some(view) = self.eligible_view(key, request) else { continue };
            if self.is_within_bound(key, group, request) && draw_admission(view, rng) {
                return Some(key);
            }
        }
        None
    }

    /// Returns true if the member stays within its load bound in the group with the request added.
    fn is_within_bound(
        &self,
        key: UpstreamKey,
        group: &Group,
        request: &ChoiceRequest<'_>,
    ) -> bool {
        let tokens = InFlightRequest::weighted_tokens(request);
        let member = &self.members[key];
        let total = (group.weighted_tokens + tokens) as f64;
        let fraction = member.contribution.capacity as f64 / group.capacity.max(1) as f64;
        let bound = (LOAD_BOUND_FACTOR * total * fraction).max(tokens as f64);
        (member.view.weighted_tokens + tokens) as f64 <= bound
    }

    /// Returns the predicted seconds to first token plus penalties.
    fn score(
        &self,
        key: UpstreamKey,
        averages: GroupAverages,
        request: &ChoiceRequest<'_>,
        hit_fraction: f64,
        now: Instant,
    ) -> f64 {
        let view = &self.members[key].view;
        let predicted =
            view.predict(request, averages, hit_fraction, now) + view.excess(request.tier, now);
        let penalty = if view.sheds(request.tier, now) { SHED_PENALTY_S } else { 0.0 };
        predicted + penalty
    }

    /// Returns the penalty for another zone, in seconds.
    fn zone_penalty(&self, group: &Group) -> f64 {
        let latency = self.latencies.get(&group.zone).copied().unwrap_or(DEFAULT_ZONE_LATENCY);
        2.0 * latency.as_secs_f64() + SPILL_MARGIN_S
    }

    fn group_averages(&self, key: UpstreamKey, tier: Tier) -> GroupAverages {
        let Some(member) = self.members.get(key) else { return GroupAverages::default() };
        let Some(&group) = member.groups.first() else { return GroupAverages::default() };
        self.groups[group].averages(tier)
    }

    /// Adds a member to its groups.
    fn join_groups(&mut self, key: UpstreamKey) {
        let Some(member) = self.members.get(key) else { return };
        let upstream = member.view.upstream.clone();
        let any = std::iter::once(VersionId::new());
        let mut joined = Vec::new();
        for version in any.chain(upstream.versions) {
            let versions = self.pools.entry(upstream.service.clone()).or_default();
            let pool = versions.entry(version).or_default();
            pool.members.push(key);
            let group = pool.zone_group(&upstream.zone, &mut self.groups);
            self.groups[group].add_member(key, &upstream.id);
            joined.push(group);
        }
        self.members[key].groups = joined;
        self.update_sums(key);
    }

    /// Removes a member from its groups.
    fn leave_groups(&mut self, key: UpstreamKey) {
        let Some(member) = self.members.get_mut(key) else { return };
        let contribution = std::mem::take(&mut member.contribution);
        for group in std::mem::take(&mut member.groups) {
            self.groups[group].subtract(contribution);
            self.groups[group].remove_member(key, &member.view.upstream.id);
        }
        let Some(pools) = self.pools.get_mut(&member.view.upstream.service) else { return };
        for pool in pools.values_mut() {
            pool.members.retain(|&other| other != key);
        }
    }

    /// Updates the sums of a member's groups with its current contribution.
    fn update_sums(&mut self, key: UpstreamKey) {
        let Some(member) = self.members.get_mut(key) else { return };
        let old = std::mem::replace(&mut member.contribution, Contribution::of(&member.view));
        for &group in &member.groups {
            self.groups[group].subtract(old);
            self.groups[group].add(member.contribution);
        }
    }
}

impl Pool {
    /// Returns the group of a zone, and creates it if needed.
    fn zone_group(&mut self, zone: &str, groups: &mut SlotMap<GroupKey, Group>) -> GroupKey {
        if let Some(&index) = self.zones.get(zone) {
            return self.groups[index];
        }
        let key = groups.insert(Group { zone: zone.to_owned(), ..Group::default() });
        self.zones.insert(zone.to_owned(), self.groups.len());
        self.groups.push(key);
        key
    }
}

impl Group {
    fn add_member(&mut self, key: UpstreamKey, id: &str) {
        self.members.push(key);
        for point in 0..RING_POINTS {
            self.ring.entry(xxh3_64_with_seed(id.as_bytes(), point)).or_insert(key);
        }
    }

    fn remove_member(&mut self, key: UpstreamKey, id: &str) {
        self.members.retain(|&member| member != key);
        for point in 0..RING_POINTS {
            let hash = xxh3_64_with_seed(id.as_bytes(), point);
            if self.ring.get(&hash) == Some(&key) {
                self.ring.remove(&hash);
            }
        }
    }

    fn add(&mut self, contribution: Contribution) {
        self.weighted_tokens += contribution.weighted_tokens;
        self.in_flight += contribution.in_flight;
        self.unstarted
            .iter_mut()
            .zip(contribution.unstarted)
            .for_each(|(sum, count)| *sum += count);
        self.capacity += contribution.capacity;
        self.slots += contribution.slots;
        self.other_requests += contribution.other_requests;
    }

    fn subtract(&mut self, contribution: Contribution) {
        self.weighted_tokens -= contribution.weighted_tokens;
        self.in_flight -= contribution.in_flight;
        self.unstarted
            .iter_mut()
            .zip(contribution.unstarted)
            .for_each(|(sum, count)| *sum -= count);
        self.capacity -= contribution.capacity;
        self.slots -= contribution.slots;
        self.other_requests -= contribution.other_requests;
    }

    fn averages(&self, tier: Tier) -> GroupAverages {
        let urgent: u64 = self.unstarted[..=tier_index(tier)].iter().sum();
        let all: u64 = self.unstarted.iter().sum();
        GroupAverages {
            others_ratio: self.other_requests as f64 / self.slots.max(1) as f64,
            request_tokens: self.weighted_tokens as f64 / self.in_flight.max(1) as f64,
            ahead_fraction: (urgent + 1) as f64 / (all + 1) as f64,
        }
    }
}

impl Contribution {
    fn of(view: &View) -> Self {
        let slots = u64::from(view.slots());
        let capacity =
            if view.is_eligible() { view.token_rate() * slots as f64 * view.weight } else { 0.0 };
        Self {
            weighted_tokens: view.weighted_tokens,
            in_flight: u64::from(view.own_in_flight),
            unstarted: view.unstarted.map(u64::from),
            capacity: capacity as u64,
            slots,
            other_requests: u64::from(view.other_requests()),
        }
    }
}

/// Draws whether an upstream accepts a request, with its weight as the probability: less than 1 in
/// slow start.
fn draw_admission<R: Rng + ?Sized>(view: &View, rng: &mut R) -> bool {
    view.weight >= 1.0 || rng.random::<f64>() < view.weight
}

/// Returns the latency in seconds that a Prequal-style decision compares.
fn prequal_latency(view: &View, tier: Tier, now: Instant) -> f64 {
    view.report.first_token.as_secs_f64().max(view.excess(tier, now))
}

fn least_by<'a>(
    views: impl Iterator<Item = (UpstreamKey, &'a View)>,
    cost: impl Fn(&View) -> f64,
) -> Option<UpstreamKey> {
    views
        .map(|(key, view)| (cost(view), key))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, key)| key)
}
