//! What an entry believes of one upstream: its load, its pace and whether it works.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::{ServiceId, UpstreamId, VersionId, ZoneId};

/// Factor by which a new sample moves a running average; about the last ten samples count.
const SMOOTHING: f64 = 0.1;
/// First time that a failing upstream gets no work; a restart takes seconds, so tries are cheap.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest time that a failing upstream gets no work, so that its return is noticed soon.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Time without work after an upstream refuses for want of room: a few requests end meanwhile.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Broken answers in a row that mark an upstream as failing; one alone may be a lost answer.
const BROKEN_IN_A_ROW: u32 = 2;
/// Weight of the share of failures when upstreams are compared: one that fails half of its
/// requests counts as six times as slow.
const FAULT_WEIGHT: f64 = 10.0;
/// Factor for an upstream in another zone: traffic between zones costs, so equals stay local.
const REMOTE_FACTOR: f64 = 1.06;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It does.
    Ready,
    /// It is about to stop and must get nothing new.
    Leaving,
}

/// An upstream as it is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
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
    pub born: Option<u64>,
}

impl Listed {
    /// Returns true if both describe the same life of the same upstream.
    pub fn is_same_life(&self, other: &Self) -> bool {
        self.address == other.address && self.born == other.born && self.service == other.service
    }
}

/// How a request ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// A whole answer; `pace` is the time it took against what its size suggests, if known.
    Good {
        /// Seconds for each unit of work.
        pace: Option<f64>,
    },
    /// The upstream answered with a failure.
    Failed,
    /// The upstream refused and did not run it.
    Full,
    /// Another upstream has the address.
    Moved,
    /// No connection came about.
    Unreachable,
    /// The answer was cut, spoiled or another request's.
    Broken,
    /// The upstream was silent too long.
    Silent,
    /// The caller left, or the request was never sent.
    Left,
}

/// An upstream with what is believed of it.
#[derive(Debug, Clone)]
pub struct Standing {
    /// How it is listed.
    pub listed: Listed,
    /// Requests of this entry in flight.
    pub own: u32,
    /// Requests of other entries in flight, as they last said.
    pub others: u32,
    /// Running average of the pace, in seconds for each unit of work.
    pace: Option<f64>,
    /// Running share of failures, in `0.0..=1.0`.
    faults: f64,
    /// Broken or silent answers since the last good one.
    broken: u32,
    /// Requests of `own` that have been silent for long; at most `own`.
    silent: u32,
    /// Time of the last answer from it.
    heard: Option<Instant>,
    /// Pauses in a row; doubles the next.
    pauses: u32,
    /// End of the current pause.
    paused: Option<Instant>,
    /// End of the time for which others are preferred, after a single silent answer.
    doubted: Option<Instant>,
    /// True once another upstream was met at the address.
    moved: bool,
}

impl Standing {
    /// Returns the standing of an upstream of which nothing is known.
    pub const fn new(listed: Listed) -> Self {
        Self {
            listed,
            own: 0,
            others: 0,
            pace: None,
            faults: 0.0,
            broken: 0,
            silent: 0,
            heard: None,
            pauses: 0,
            paused: None,
            doubted: None,
            moved: false,
        }
    }

    /// Returns true if the upstream may get a request now.
    pub fn is_usable(&self, now: Instant) -> bool {
        let waiting = self.paused.is_some_and(|until| now < until);
        // After a pause, one request at a time tries whether the upstream works again.
        let trying = self.pauses > 0 && self.at_work() > 0;
        self.listed.stage == Stage::Ready && !self.moved && !waiting && !trying
    }

    /// Returns true if other upstreams are to be preferred: an answer is overdue, which may be the
    /// answer's fault or the upstream's.
    pub fn is_doubted(&self, now: Instant) -> bool {
        self.doubted.is_some_and(|until| now < until)
    }

    /// Returns how slow the upstream is for one more request; `usual` stands in while its own
    /// pace is unknown.
    pub fn cost(&self, usual: f64, zone: &str) -> f64 {
        let pace = self.pace.unwrap_or(usual);
        let load = f64::from(self.own + self.others) / f64::from(self.listed.slots);
        let near = if self.listed.zone == zone { 1.0 } else { REMOTE_FACTOR };
        pace * (1.0 + load) * (1.0 + FAULT_WEIGHT * self.faults) * near
    }

    /// Returns the running average of the pace.
    pub const fn pace(&self) -> Option<f64> {
        self.pace
    }

    /// Returns this entry's requests that are likely to be at work there: an answer that is long
    /// overdue was probably lost.
    pub const fn at_work(&self) -> u32 {
        self.own.saturating_sub(self.silent)
    }

    /// Notes how a request ended; `suspected` if its silence was noted before.
    pub fn note(&mut self, outcome: Outcome, suspected: bool, now: Instant) {
        self.own = self.own.saturating_sub(1);
        self.silent = self.silent.saturating_sub(u32::from(suspected)).min(self.own);
        if matches!(outcome, Outcome::Good { .. } | Outcome::Failed | Outcome::Full) {
            self.heard = Some(now);
        }
        match outcome {
            Outcome::Good { pace } => self.succeed(pace),
            Outcome::Failed => self.fail(),
            Outcome::Full => self.paused = Some(now + FULL_PAUSE),
            Outcome::Moved => self.moved = true,
            Outcome::Unreachable => {
                self.fail();
                self.pause(now);
            }
            Outcome::Broken | Outcome::Silent => {
                self.fail();
                // A silence that was noted before counts once.
                if !suspected {
                    self.miss(now);
                }
            }
            Outcome::Left => {}
        }
    }

    /// Notes that a request in flight has been silent since `since`; `again` if it was before.
    ///
    /// If the upstream has answered others meanwhile, it works, and only that answer is overdue.
    pub fn suspect(&mut self, since: Instant, again: bool, now: Instant) {
        if !again {
            self.silent = (self.silent + 1).min(self.own);
        }
        if self.heard.is_none_or(|heard| heard <= since) {
            self.doubted = Some(now + FIRST_PAUSE);
            self.miss(now);
        }
    }

    /// Counts an answer that didn't come.
    fn miss(&mut self, now: Instant) {
        self.broken += 1;
        if self.broken >= BROKEN_IN_A_ROW {
            self.pause(now);
        }
    }

    fn succeed(&mut self, pace: Option<f64>) {
        self.faults -= self.faults * SMOOTHING;
        self.broken = 0;
        self.pauses = 0;
        self.paused = None;
        self.doubted = None;
        if let Some(sample) = pace {
            let old = self.pace.unwrap_or(sample);
            self.pace = Some(old + (sample - old) * SMOOTHING);
        }
    }

    fn fail(&mut self) {
        self.faults += (1.0 - self.faults) * SMOOTHING;
    }

    fn pause(&mut self, now: Instant) {
        if self.paused.is_some_and(|until| now < until) {
            return;
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.pauses.min(4));
        self.paused = Some(now + pause.min(LONGEST_PAUSE));
        self.pauses += 1;
    }
}
