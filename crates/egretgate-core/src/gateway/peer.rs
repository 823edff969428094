//! The reports that the entries of a fleet send each other.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::cold_start::ColdNotice;
use super::crash_quarantine::SuspectReport;
use super::ejection::EjectionReport;
use super::era::Era;
use super::follow::{Fingerprint, Reading};
use super::rate_limit::LimitNotice;
use super::rate_limit::part::order_key;
use super::refusals::RefusalCounts;
use super::request_queue::Priority;
use super::reserve::PriorityLoad;
use super::returns::PlannedReturn;
use super::traffic_move::{MoveKey, MoveReport};
use crate::{Incarnation, InstanceId, Offset, ServiceId, ZoneId};

/// Silence after which another entry is unreachable and its load no longer counts: several of its
/// reports are missing then.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which another entry is forgotten: it is assumed to have stopped rather than become
/// unreachable.
pub const PEER_EXPIRY: Duration = Duration::from_secs(20);

/// Longest time for which an upstream counts as cold by another entry's word.
const MAX_COLD_TIME: Duration = Duration::from_mins(1);

/// Hash that replaces a name in reports.
pub type NameHash = u64;

/// Returns the hash that replaces a name in reports.
pub fn name_hash(name: &str) -> NameHash {
    xxh3_64(name.as_bytes())
}

/// The report of one entry for its peers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerReport {
    /// Name of the entry.
    pub name: InstanceId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Sequence number among the reports of that incarnation.
    pub sequence: u64,
    /// Requests in flight and waiting, by service.
    pub demand: HashMap<NameHash, f64>,
    /// Requests in flight, by upstream.
    pub running: HashMap<NameHash, u32>,
    /// Seconds per unit of work, by upstream: the mean over the requests that the entry completed
    /// there since its last report.
    pub unit_seconds: HashMap<NameHash, f64>,
    /// What upstreams stated to the entry about their limits, by upstream.
    pub limits: HashMap<NameHash, AgedLimit>,
    /// What the entry found out of upstreams that may be cold, by upstream.
    pub cold: HashMap<NameHash, AgedCold>,
    /// Upstreams that said to the entry that they leave.
    pub leaving: Vec<LeavingUpstream>,
    /// Arrivals and refusals for lack of headroom, by service and priority.
    pub refusals: BTreeMap<(NameHash, Priority), RefusalCounts>,
    /// Requests in flight, waiting and ended, by service and priority.
    pub loads: BTreeMap<(NameHash, Priority), PriorityLoad>,
    /// Tokens admitted in that incarnation, by team.
    pub admitted: HashMap<NameHash, u64>,
    /// What the entry knows of requests under which upstreams have crashed.
    pub requests: Vec<SuspectReport>,
    /// What the entry knows of prompt parts under which upstreams have crashed.
    pub parts: Vec<SuspectReport>,
    /// Counts and decisions for the declared moves whose state in the store is known.
    pub moves: BTreeMap<MoveKey, MoveReport>,
    /// When callers were told to come back.
    pub returns: Vec<PlannedReturn>,
    /// What the entry knows of upstreams that fail.
    pub ejection: EjectionReport,
    /// Its reading of the declarations.
    pub catalog: Option<AgedReading>,
    /// Its reading of the list of upstreams.
    pub upstreams: Option<AgedReading>,
}

/// An upstream that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingUpstream {
    /// Hash of its name.
    pub upstream: NameHash,
    /// Start of the incarnation that leaves, in Unix milliseconds, if it is known.
    pub started_ms: Option<u64>,
}

/// A reading of shared state, with its age instead of its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgedReading {
    /// Identifies the content.
    pub fingerprint: Fingerprint,
    /// Era of the directory, if it is known.
    pub era: Option<Era>,
    /// Position after the newest record when it was read.
    pub end: Offset,
    /// Time since the reading.
    pub age: Duration,
}

impl AgedReading {
    /// Returns the reading with its age at `now`.
    pub fn new(reading: Reading, now: Instant) -> Self {
        let age = now.saturating_duration_since(reading.read_at);
        let Reading { fingerprint, era, end, .. } = reading;
        Self { fingerprint, era, end, age }
    }

    /// Returns the reading that was received at `now`.
    pub fn reading(self, now: Instant) -> Reading {
        let at = now.checked_sub(self.age).unwrap_or(now);
        Reading { fingerprint: self.fingerprint, era: self.era, end: self.end, read_at: at }
    }
}

/// What an upstream stated about its limit, with its age instead of its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgedLimit {
    /// Requests per second from all entries together; `None` if the limit has ended.
    pub limit: Option<f64>,
    /// Time since the answer that stated it.
    pub age: Duration,
}

impl AgedLimit {
    /// Returns the notice with its age at `now`.
    pub fn new(notice: LimitNotice, now: Instant) -> Self {
        let age = now.saturating_duration_since(notice.stated_at);
        Self { limit: notice.limit, age }
    }

    /// Returns the notice that was received at `now`.
    pub fn notice(self, now: Instant) -> LimitNotice {
        LimitNotice { limit: self.limit, stated_at: now.checked_sub(self.age).unwrap_or(now) }
    }
}

/// What an entry found out of an upstream that may be cold, with ages instead of times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgedCold {
    /// Time since it was found out.
    pub age: Duration,
    /// Time for which it counts as cold; zero if it is warm.
    pub time_left: Duration,
    /// Time since the last lost connection, unless a request has proved that it lived through it.
    pub loss_age: Option<Duration>,
    /// True if a request that began after the loss has succeeded.
    pub is_back: bool,
}

impl AgedCold {
    /// Returns the notice with its ages at `now`.
    pub fn new(notice: ColdNotice, now: Instant) -> Self {
        let age = |time| now.saturating_duration_since(time);
        Self {
            age: age(notice.stated_at),
            time_left: notice.until.saturating_duration_since(now),
            loss_age: notice.loss.map(age),
            is_back: notice.is_back,
        }
    }

    /// Returns the notice that was received at `now`.
    pub fn notice(self, now: Instant) -> ColdNotice {
        let at = |age| now.checked_sub(age).unwrap_or(now);
        ColdNotice {
            stated_at: at(self.age),
            until: now + self.time_left.min(MAX_COLD_TIME),
            loss: self.loss_age.map(at),
            is_back: self.is_back,
        }
    }
}

/// Tokens that another entry has admitted for a team since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenSpend {
    /// Team.
    pub team: NameHash,
    /// Tokens; negative if it gave back more, of requests that it didn't send, than it admitted.
    pub tokens: i64,
    /// Time since the report before, in which they were admitted.
    pub silence: Duration,
}

#[derive(Debug, Clone)]
struct Peer {
    report: PeerReport,
    received_at: Instant,
    /// True while its requests are part of [`Peers::running`].
    is_counted: bool,
}

/// The other entries, by their last reports.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    peers: BTreeMap<InstanceId, Peer>,
    /// Requests in flight of the reachable entries, by upstream. Kept up to date report by report:
    /// the sum over all reports would take time in proportion to entries times upstreams.
    running: HashMap<NameHash, u32>,
}

impl Peers {
    /// Returns true if a report is newer than the last one from that incarnation of its sender.
    pub fn is_newer(&self, report: &PeerReport) -> bool {
        let old = self.peers.get(&report.name).map(|peer| &peer.report);
        let same_incarnation = old.filter(|old| old.incarnation == report.incarnation);
        same_incarnation.is_none_or(|old| old.sequence < report.sequence)
    }

    /// Records a report and returns the tokens admitted since the last one; none for an outdated
    /// report.
    pub fn record_report(&mut self, report: PeerReport, now: Instant) -> Vec<TokenSpend> {
        let silence = self
            .peers
            .get(&report.name)
            .map_or(Duration::ZERO, |peer| now.saturating_duration_since(peer.received_at));
        let old = self.peers.get(&report.name).map(|peer| &peer.report);
        let known = old.is_some();
        let same_incarnation = old.filter(|old| old.incarnation == report.incarnation);
        if !self.is_newer(&report) {
            return Vec::new();
        }
        // A total of 0 isn't reported.
        let ended = same_incarnation.into_iter().flat_map(|old| old.admitted.keys());
        let ended = ended.filter(|team| !report.admitted.contains_key(*team));
        let totals = report.admitted.iter().map(|(team, total)| (team, *total));
        let spends = totals.chain(ended.map(|team| (team, 0))).map(|(team, total)| {
            let before = same_incarnation.and_then(|old| old.admitted.get(team)).copied();
            // What a new peer admitted before its first report may have been long ago.
            let spent = if known { difference(total, before.unwrap_or_default()) } else { 0 };
            TokenSpend { team: *team, tokens: spent, silence }
        });
        let spends = spends.filter(|spend| spend.tokens != 0).collect();
        for (upstream, count) in &report.running {
            let sum = self.running.entry(*upstream).or_default();
            *sum = sum.saturating_add(*count);
        }
        let name = report.name.clone();
        let old = self.peers.insert(name, Peer { report, received_at: now, is_counted: true });
        if let Some(old) = old.filter(|old| old.is_counted) {
            subtract(&mut self.running, &old.report.running);
        }
        spends
    }

    /// Removes the requests of the entries that have become unreachable from the load of the
    /// upstreams, and forgets entries that have not reported for long.
    pub fn expire(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            let is_reachable = now.duration_since(peer.received_at) < PEER_TIMEOUT;
            if !is_reachable && std::mem::replace(&mut peer.is_counted, false) {
                subtract(&mut self.running, &peer.report.running);
            }
        }
        self.peers.retain(|_, peer| now.duration_since(peer.received_at) < PEER_EXPIRY);
    }

    /// Returns the number of reachable entries.
    pub fn reachable_count(&self, now: Instant) -> usize {
        self.reachable(now).count()
    }

    /// Returns the number of entries whose last report is no older than `age`.
    pub fn heard_count(&self, age: Duration, now: Instant) -> usize {
        let is_recent = |peer: &&Peer| now.saturating_duration_since(peer.received_at) <= age;
        self.peers.values().filter(is_recent).count()
    }

    /// Returns the number of entries, unreachable ones included.
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of known entries in a zone, unreachable ones included.
    pub fn zone_count(&self, zone: &str) -> usize {
        self.peers.values().filter(|peer| peer.report.zone == zone).count()
    }

    /// Returns each reachable entry with its demand for a service.
    pub fn demand(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = (&str, f64)> + '_ {
        let hash = name_hash(service);
        self.reachable(now).map(move |report| {
            (report.name.as_str(), report.demand.get(&hash).copied().unwrap_or(0.0))
        })
    }

    /// Returns the arrivals and refusals at each reachable entry, by priority.
    pub fn refusals(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = (Priority, RefusalCounts)> + '_ {
        let hash = name_hash(service);
        let refusals = self.reachable(now).flat_map(|report| &report.refusals);
        refusals
            .filter(move |((reported, _), _)| *reported == hash)
            .map(|((_, priority), counts)| (*priority, *counts))
    }

    /// Returns the load of each reachable entry, by priority.
    pub fn loads(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = (Priority, PriorityLoad)> + '_ {
        let hash = name_hash(service);
        let loads = self.reachable(now).flat_map(|report| &report.loads);
        loads
            .filter(move |((reported, _), _)| *reported == hash)
            .map(|((_, priority), load)| (*priority, *load))
    }

    /// Returns the number of reachable entries whose names sort before `name`.
    pub fn rank(&self, name: &str, now: Instant) -> usize {
        self.reachable(now).filter(|report| report.name.as_str() < name).count()
    }

    /// Returns the number of reachable entries that come before `own` in the upstream's order of
    /// entries.
    pub(super) fn position(&self, own: NameHash, upstream: NameHash, now: Instant) -> usize {
        let own = order_key(own, upstream);
        let before = |report: &&PeerReport| order_key(name_hash(&report.name), upstream) < own;
        self.reachable(now).filter(before).count()
    }

    /// Returns what each reachable entry reports of upstreams that fail, with the age of the report.
    pub(super) fn ejection_reports(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&EjectionReport, Duration)> + '_ {
        let ages = self.peers.values().map(move |peer| {
            (&peer.report.ejection, now.saturating_duration_since(peer.received_at))
        });
        ages.filter(|(_, age)| *age < PEER_TIMEOUT)
    }

    /// Returns the requests that other entries have in flight at an upstream, as of the last
    /// [`Peers::expire`].
    pub fn running(&self, upstream: NameHash) -> u32 {
        self.running.get(&upstream).copied().unwrap_or(0)
    }

    fn reachable(&self, now: Instant) -> impl Iterator<Item = &PeerReport> + '_ {
        let is_recent = move |peer: &&Peer| now.duration_since(peer.received_at) < PEER_TIMEOUT;
        self.peers.values().filter(is_recent).map(|peer| &peer.report)
    }
}

/// Returns `a - b`, or the nearest number that the type holds.
fn difference(a: u64, b: u64) -> i64 {
    a.checked_signed_diff(b).unwrap_or(if a < b { i64::MIN } else { i64::MAX })
}

/// Subtracts the requests of one report from the sums.
fn subtract(sums: &mut HashMap<NameHash, u32>, running: &HashMap<NameHash, u32>) {
    for (upstream, count) in running {
        if let Some(sum) = sums.get_mut(upstream) {
            *sum = sum.saturating_sub(*count);
            if *sum == 0 {
                sums.remove(upstream);
            }
        }
    }
}
