//! The state of one upstream, as an entry sees it: its load, its speed and whether it works.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::cold_start::ColdState;
use super::peer::{NameHash, name_hash};
use super::rate_limit::RateLimit;
use crate::{RegionId, ServiceId, UpstreamId, VersionId, ZoneId};

/// Weight of a new sample in the running averages; about the last ten samples count.
const SMOOTHING: f64 = 0.1;
/// First backoff, during which a failing upstream gets no requests. A restart takes seconds, so
/// frequent probes are cheap.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// Longest backoff, so that the recovery of a failing upstream is noticed soon.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Backoff after an upstream rejected a request for lack of headroom; a few requests end meanwhile.
const REJECTED_BACKOFF: Duration = Duration::from_millis(60);
/// Invalid or missing answers in a row that mark an upstream as failing; a single one may be a lost
/// answer.
const LOST_ANSWER_THRESHOLD: u32 = 2;
/// Weight of the failure rate when upstreams are compared: one that fails half of its requests
/// counts as six times as slow.
const FAILURE_WEIGHT: f64 = 10.0;
/// Cost factor of an upstream in another zone. Traffic between zones costs extra, so of equally
/// good upstreams one in the entry's own zone is chosen.
const CROSS_ZONE_FACTOR: f64 = 1.06;

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes new requests.
    Ready,
    /// It is about to stop and must get no new requests.
    Draining,
}

/// An upstream, as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Name.
    pub id: UpstreamId,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of the service.
    pub version: VersionId,
    /// Requests that it runs at once; at least 1.
    pub slots: u32,
    /// Whether it takes new requests.
    pub stage: Stage,
    /// Start of this incarnation, in Unix milliseconds; distinguishes incarnations with the same
    /// name.
    pub started_ms: Option<u64>,
    /// Time for which it stays cold, as of the record's writing; zero if it is warm.
    pub cold_for: Duration,
}

impl ListedUpstream {
    /// Returns true if both describe the same incarnation of the same upstream.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.address == other.address
            && self.started_ms == other.started_ms
            && self.service == other.service
    }
}

/// How a request ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The upstream sent a complete answer.
    Succeeded {
        /// Seconds per unit of work, if known: per event of a stream, or for a whole call.
        unit_seconds: Option<f64>,
    },
    /// The upstream answered with an error.
    Failed,
    /// The upstream refused the request and did not run it.
    Rejected,
    /// The address belongs to another upstream.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The answer was cut, is not valid, or answers another request.
    InvalidAnswer,
    /// The upstream sent nothing for too long.
    Stalled,
    /// The caller left, or the request was never sent.
    Abandoned,
}

/// Samples of a value.
#[derive(Debug, Clone, Copy, Default)]
struct Samples {
    count: u32,
    sum: f64,
}

/// An upstream with its observed state.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// The directory's record of it.
    pub listed: ListedUpstream,
    /// Hash of its name.
    pub(super) hash: NameHash,
    /// Requests of this entry in flight.
    pub own_running: u32,
    /// Requests of other entries in flight, as last reported.
    pub peer_running: u32,
    /// Running average of the seconds per unit of work, over the requests of all entries.
    unit_seconds: Option<f64>,
    /// Samples of this entry that its peers don't know yet.
    unreported: Samples,
    /// Running average of the fraction of requests that fail, in `0.0..=1.0`.
    failure_rate: f64,
    /// Invalid or missing answers since the last success.
    lost_answers: u32,
    /// Requests of `own_running` for which nothing has arrived for long; at most `own_running`.
    stalled: u32,
    /// Time of its last answer.
    last_answer: Option<Instant>,
    /// Consecutive backoffs; each doubles the next.
    backoffs: u32,
    /// End of the current backoff.
    backoff_until: Option<Instant>,
    /// End of the time for which other upstreams are preferred, after a single missing answer.
    suspected_until: Option<Instant>,
    /// End of the time for which it wants no requests from this entry.
    paused_until: Option<Instant>,
    /// True once one of its answers said that it leaves; it stays so.
    said_leaving: bool,
    /// True if `said_leaving` was said to this entry.
    pub(super) told_leaving: bool,
    /// True while it gets no requests but probes, since it fails more than its siblings.
    pub(super) is_ejected: bool,
    /// True once the address was found to belong to another upstream.
    misdirected: bool,
    /// True while operators drain its zone.
    pub(super) drained: bool,
    /// Region of its zone, if it is known.
    pub(super) region: Option<RegionId>,
    /// The rate of requests that it takes.
    pub(super) rate_limit: RateLimit,
    /// The rate of requests that it takes while it is cold.
    pub(super) cold: ColdState,
}

impl UpstreamState {
    /// Returns the state of an upstream about which nothing is known yet.
    pub fn new(listed: ListedUpstream) -> Self {
        Self {
            hash: name_hash(&listed.id),
            listed,
            own_running: 0,
            peer_running: 0,
            unit_seconds: None,
            unreported: Samples::default(),
            failure_rate: 0.0,
            lost_answers: 0,
            stalled: 0,
            last_answer: None,
            backoffs: 0,
            backoff_until: None,
            suspected_until: None,
            paused_until: None,
            said_leaving: false,
            told_leaving: false,
            is_ejected: false,
            misdirected: false,
            drained: false,
            region: None,
            rate_limit: RateLimit::new(),
            cold: ColdState::new(),
        }
    }

    /// Returns the state with which the same incarnation is back after its record was gone: what it
    /// said of itself and its requests stay, and it gets requests at once unless it said otherwise.
    pub(super) fn returned(&self, listed: ListedUpstream) -> Self {
        Self {
            hash: self.hash,
            own_running: self.own_running,
            unit_seconds: self.unit_seconds,
            failure_rate: self.failure_rate,
            stalled: self.stalled,
            last_answer: self.last_answer,
            paused_until: self.paused_until,
            said_leaving: self.is_leaving(),
            told_leaving: self.told_leaving,
            rate_limit: self.rate_limit,
            cold: self.cold,
            ..Self::new(listed)
        }
    }

    /// Returns true if the upstream may get a request now.
    pub fn is_usable(&self, now: Instant) -> bool {
        let backing_off = self.is_backing_off(now);
        // After a backoff, one request at a time probes whether the upstream works again.
        let probing = self.backoffs > 0 && self.active() > 0;
        self.is_available()
            && self.pause_left(now).is_zero()
            && !backing_off
            && !probing
            && self.allows_start(now)
    }

    /// Returns true if the rates that it takes leave this entry a request now.
    pub(super) fn allows_start(&self, now: Instant) -> bool {
        self.rate_limit.allows(now) && self.cold.allows(now)
    }

    /// Returns the time for which it counts as cold; zero if it is warm.
    pub fn cold_left(&self, now: Instant) -> Duration {
        self.cold.time_left(now)
    }

    fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns the number of requests of all entries that it runs, as far as is known.
    pub(super) const fn running(&self) -> u32 {
        self.own_running.saturating_add(self.peer_running)
    }

    /// Returns true if it takes no requests for a while: it pauses or is backed off.
    pub(super) fn is_resting(&self, now: Instant) -> bool {
        self.is_backing_off(now) || !self.pause_left(now).is_zero()
    }

    /// Returns true if it takes requests, now or after a pause or a backoff.
    pub(super) fn is_available(&self) -> bool {
        !self.is_leaving() && !self.misdirected && !self.drained
    }

    /// Returns true while operators drain its zone.
    pub const fn is_drained(&self) -> bool {
        self.drained
    }

    /// Returns the time that is left of its pause.
    pub fn pause_left(&self, now: Instant) -> Duration {
        self.paused_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that it wants no requests from this entry until a time. An earlier time doesn't
    /// shorten a pause.
    pub(super) fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Returns true if it takes no new requests any more, as the directory or the upstream itself
    /// says.
    pub fn is_leaving(&self) -> bool {
        self.said_leaving || self.listed.stage == Stage::Draining
    }

    /// Records that it said to this entry that it leaves; returns true if that is new.
    pub(super) fn record_leaving(&mut self) -> bool {
        self.told_leaving = true;
        !std::mem::replace(&mut self.said_leaving, true)
    }

    /// Records that it said to another entry that it leaves; returns true if that is new.
    pub(super) fn record_peer_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.said_leaving, true)
    }

    /// Returns the requests per second that it takes from all entries together, if it states a
    /// limit.
    pub fn limit(&self) -> Option<f64> {
        self.rate_limit.limit()
    }

    /// Returns true if other upstreams should be preferred: an answer is overdue, which may be the
    /// fault of that one request or of the upstream.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    /// Records that other upstreams should be preferred until a time.
    pub(super) fn prefer_others(&mut self, until: Instant) {
        self.suspected_until = self.suspected_until.max(Some(until));
    }

    /// Returns how slow the upstream would be for one more request, so that upstreams can be
    /// compared; `mean` replaces its own seconds per unit of work while these are unknown, and
    /// `unreported` is the number of requests of peers that it may run besides those reported.
    pub fn cost(&self, mean: f64, zone: &str, unreported: f64) -> f64 {
        let unit_seconds = self.unit_seconds.unwrap_or(mean);
        let running = f64::from(self.running()) + unreported;
        let load = running / f64::from(self.listed.slots);
        let zone_factor = if self.listed.zone == zone { 1.0 } else { CROSS_ZONE_FACTOR };
        unit_seconds * (1.0 + load) * (1.0 + FAILURE_WEIGHT * self.failure_rate) * zone_factor
    }

    /// Returns the running average of the seconds per unit of work.
    pub const fn unit_seconds(&self) -> Option<f64> {
        self.unit_seconds
    }

    /// Returns the number of this entry's requests that the upstream is likely to be working on: an
    /// answer that is long overdue was probably lost.
    pub const fn active(&self) -> u32 {
        self.own_running.saturating_sub(self.stalled)
    }

    /// Returns the time of its last answer to this entry.
    pub(super) const fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }

    /// Records how a request ended; `suspected` is true if [`UpstreamState::suspect`] was called
    /// for it.
    pub fn record_outcome(&mut self, outcome: Outcome, suspected: bool, now: Instant) {
        self.own_running = self.own_running.saturating_sub(1);
        self.stalled = self.stalled.saturating_sub(u32::from(suspected)).min(self.own_running);
        if matches!(outcome, Outcome::Succeeded { .. } | Outcome::Failed | Outcome::Rejected) {
            self.last_answer = Some(now);
        }
        match outcome {
            Outcome::Succeeded { unit_seconds } => self.record_success(unit_seconds),
            Outcome::Failed => self.record_failure(),
            Outcome::Rejected => self.backoff_until = Some(now + REJECTED_BACKOFF),
            Outcome::Misdirected => self.misdirected = true,
            Outcome::Unreachable => {
                self.record_failure();
                self.back_off(now);
            }
            Outcome::InvalidAnswer | Outcome::Stalled => {
                self.record_failure();
                // The silence of a suspected request was handled when it was suspected.
                if !suspected {
                    self.record_lost_answer(now);
                }
            }
            Outcome::Abandoned => {}
        }
    }

    /// Records that nothing has arrived for a request in flight since `since`; `again` is true if
    /// this was already recorded for the same request.
    ///
    /// If the upstream has answered other requests since then, it works, and only this answer is
    /// overdue.
    pub fn suspect(&mut self, since: Instant, again: bool, now: Instant) {
        if !again {
            self.stalled = (self.stalled + 1).min(self.own_running);
        }
        if self.last_answer.is_none_or(|last_answer| last_answer <= since) {
            self.suspected_until = Some(now + MIN_BACKOFF);
            self.record_lost_answer(now);
        }
    }

    /// Counts a missing or invalid answer.
    fn record_lost_answer(&mut self, now: Instant) {
        self.lost_answers += 1;
        if self.lost_answers >= LOST_ANSWER_THRESHOLD {
            self.back_off(now);
        }
    }

    fn record_success(&mut self, unit_seconds: Option<f64>) {
        self.failure_rate -= self.failure_rate * SMOOTHING;
        self.lost_answers = 0;
        self.backoffs = 0;
        self.backoff_until = None;
        self.suspected_until = None;
        if let Some(sample) = unit_seconds {
            self.record_unit_seconds(sample);
            self.unreported.count += 1;
            self.unreported.sum += sample;
        }
    }

    /// Records the seconds per unit of work that this entry or another one measured.
    pub(super) fn record_unit_seconds(&mut self, sample: f64) {
        let old = self.unit_seconds.unwrap_or(sample);
        self.unit_seconds = Some(old + (sample - old) * SMOOTHING);
    }

    /// Returns the mean of the samples since the last call; `None` if there were none.
    pub(super) fn take_unreported(&mut self) -> Option<f64> {
        let Samples { count, sum } = std::mem::take(&mut self.unreported);
        (count > 0).then(|| sum / f64::from(count))
    }

    fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * SMOOTHING;
    }

    fn back_off(&mut self, now: Instant) {
        if self.backoff_until.is_some_and(|until| now < until) {
            return;
        }
        let delay = MIN_BACKOFF * 2_u32.pow(self.backoffs.min(4));
        self.backoff_until = Some(now + delay.min(MAX_BACKOFF));
        self.backoffs += 1;
    }
}
