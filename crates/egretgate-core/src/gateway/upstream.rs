//! What an entry believes of one upstream: its load, its pace and whether it works.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::{ServiceId, UpstreamId, VersionId, ZoneId};

/// Factor by which a new sample moves a running average; about the last ten samples count.
const SMOOTHING: f64 = 0.1;
/// First time that a failing upstream gets no work; a restart takes seconds, so tries are cheap.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// Longest time that a failing upstream gets no work, so that its return is noticed soon.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time without work after an upstream refuses for want of room: a few requests end meanwhile.
const REJECTED_BACKOFF: Duration = Duration::from_millis(60);
/// Broken answers in a row that mark an upstream as failing; one alone may be a lost answer.
const LOST_ANSWER_THRESHOLD: u32 = 2;
/// Weight of the share of failures when upstreams are compared: one that fails half of its
/// requests counts as six times as slow.
const FAILURE_WEIGHT: f64 = 10.0;
/// Factor for an upstream in another zone: traffic between zones costs, so equals stay local.
const CROSS_ZONE_FACTOR: f64 = 1.06;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It does.
    Ready,
    /// It is about to stop and must get nothing new.
    Draining,
}

/// An upstream as it is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Name.
    pub id: UpstreamId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of its software.
    pub version: VersionId,
    /// Requests that it runs at once; at least 1.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: Stage,
    /// Start of this life, in Unix milliseconds; tells two lives under one name apart.
    pub started_ms: Option<u64>,
}

impl ListedUpstream {
    /// Returns true if both describe the same life of the same upstream.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.address == other.address
            && self.started_ms == other.started_ms
            && self.service == other.service
    }
}

/// How a request ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// A whole answer; `unit_seconds` is the time it took against what its size suggests, if known.
    Succeeded {
        /// Seconds for each unit of work.
        unit_seconds: Option<f64>,
    },
    /// The upstream answered with a failure.
    Failed,
    /// The upstream refused and did not run it.
    Rejected,
    /// Another upstream has the address.
    Misdirected,
    /// No connection came about.
    Unreachable,
    /// The answer was cut, spoiled or another request's.
    InvalidAnswer,
    /// The upstream was silent too long.
    Stalled,
    /// The caller left, or the request was never sent.
    Abandoned,
}

/// An upstream with what is believed of it.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// How it is listed.
    pub listed: ListedUpstream,
    /// Requests of this entry in flight.
    pub own_running: u32,
    /// Requests of other entries in flight, as they last said.
    pub peer_running: u32,
    /// Running average of the pace, in seconds for each unit of work.
    unit_seconds: Option<f64>,
    /// Running share of failures, in `0.0..=1.0`.
    failure_rate: f64,
    /// Broken or silent answers since the last good one.
    lost_answers: u32,
    /// Requests of `own_running` that have been silent for long; at most `own_running`.
    stalled: u32,
    /// Time of the last answer from it.
    last_answer: Option<Instant>,
    /// Pauses in a row; doubles the next.
    backoffs: u32,
    /// End of the current pause.
    backoff_until: Option<Instant>,
    /// End of the time for which others are preferred, after a single silent answer.
    suspected_until: Option<Instant>,
    /// True once another upstream was met at the address.
    misdirected: bool,
}

impl UpstreamState {
    /// Returns the standing of an upstream of which nothing is known.
    pub const fn new(listed: ListedUpstream) -> Self {
        Self {
            listed,
            own_running: 0,
            peer_running: 0,
            unit_seconds: None,
            failure_rate: 0.0,
            lost_answers: 0,
            stalled: 0,
            last_answer: None,
            backoffs: 0,
            backoff_until: None,
            suspected_until: None,
            misdirected: false,
        }
    }

    /// Returns true if the upstream may get a request now.
    pub fn is_usable(&self, now: Instant) -> bool {
        let backing_off = self.backoff_until.is_some_and(|until| now < until);
        // After a pause, one request at a time tries whether the upstream works again.
        let probing = self.backoffs > 0 && self.active() > 0;
        self.listed.stage == Stage::Ready && !self.misdirected && !backing_off && !probing
    }

    /// Returns true if other upstreams are to be preferred: an answer is overdue, which may be the
    /// answer's fault or the upstream's.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    /// Returns how slow the upstream is for one more request; `usual` stands in while its own
    /// pace is unknown.
    pub fn cost(&self, mean: f64, zone: &str) -> f64 {
        let unit_seconds = self.unit_seconds.unwrap_or(mean);
        let load = f64::from(self.own_running + self.peer_running) / f64::from(self.listed.slots);
        let zone_factor = if self.listed.zone == zone { 1.0 } else { CROSS_ZONE_FACTOR };
        unit_seconds * (1.0 + load) * (1.0 + FAILURE_WEIGHT * self.failure_rate) * zone_factor
    }

    /// Returns the running average of the pace.
    pub const fn unit_seconds(&self) -> Option<f64> {
        self.unit_seconds
    }

    /// Returns this entry's requests that are likely to be at work there: an answer that is long
    /// overdue was probably lost.
    pub const fn active(&self) -> u32 {
        self.own_running.saturating_sub(self.stalled)
    }

    /// Notes how a request ended; `suspected` if its silence was noted before.
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
                // A silence that was noted before counts once.
                if !suspected {
                    self.record_lost_answer(now);
                }
            }
            Outcome::Abandoned => {}
        }
    }

    /// Notes that a request in flight has been silent since `since`; `again` if it was before.
    ///
    /// If the upstream has answered others meanwhile, it works, and only that answer is overdue.
    pub fn suspect(&mut self, since: Instant, again: bool, now: Instant) {
        if !again {
            self.stalled = (self.stalled + 1).min(self.own_running);
        }
        if self.last_answer.is_none_or(|last_answer| last_answer <= since) {
            self.suspected_until = Some(now + MIN_BACKOFF);
            self.record_lost_answer(now);
        }
    }

    /// Counts an answer that didn't come.
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
            let old = self.unit_seconds.unwrap_or(sample);
            self.unit_seconds = Some(old + (sample - old) * SMOOTHING);
        }
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
