//! Version moves: canary rollouts with traffic shares, evidence and verdicts.
//!
//! A move shifts the traffic of some routes from one version of a service to another by a set
//! time. [`Controller::decide`] is a function of the move, the recorded [`Progress`] and the
//! cumulative [`Evidence`], so any holder of the move's lease can continue after another one
//! crashed. Until the new version is proven on every route at every load level that the old one
//! meets, its share stays at or below [`MovePlan::MAX_UNPROVEN_PPM`].

mod controller;
mod evidence;
mod interval;
mod load;
mod local;
mod split;

use std::time::{Duration, SystemTime};

use crate::ids::{RouteId, ServiceId, VersionId};

pub use controller::{Controller, Decision, Finding, TakeBackReason};
pub use evidence::{Counts, Evidence, EvidenceKey, Metric};
pub use interval::Interval;
pub use load::{LoadPlan, may_unload};
pub use local::{RequestOutcome, StopCause, VersionBreaker};
pub use split::{Quota, Split, pick_version};

/// Parts per million: the unit of shares.
pub type Ppm = u32;

/// Share that stands for all of the traffic.
pub const FULL_SHARE_PPM: Ppm = 1_000_000;

/// How much worse than the old version the new one may be, as differences between fractions of
/// requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Fraction of requests that fail.
    pub errors: f64,
    /// Fraction of requests with a slow first token.
    pub slow_first_token: f64,
    /// Fraction of requests with a high inter-token latency.
    pub slow_inter_token: f64,
    /// Requests of the new version that each proof needs; a tenth of that for steps up to
    /// [`MovePlan::MAX_UNPROVEN_PPM`].
    pub min_samples: u64,
    /// Minimum time at each step.
    pub min_dwell: Duration,
}

/// Absolute limit on the new version's traffic until it is proven.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cap {
    /// Requests in flight over all entries.
    InFlight(u32),
    /// Requests per second over all entries.
    PerSecond(u32),
}

/// The shift of routes' traffic from one version to another by a set time.
#[derive(Debug, Clone, PartialEq)]
pub struct MovePlan {
    /// Service whose version changes.
    pub service: ServiceId,
    /// Routes whose traffic moves.
    pub routes: Vec<RouteId>,
    /// Version that serves when the move begins.
    pub from: VersionId,
    /// Version that serves once the move is done.
    pub to: VersionId,
    /// Shares in rising order, ending with [`FULL_SHARE_PPM`]. A share may be repeated.
    pub steps: Vec<Ppm>,
    /// Absolute limit until the new version is proven.
    pub cap: Cap,
    /// How much worse the new version may be.
    pub budget: Budget,
    /// When the operator started the move.
    pub begin: SystemTime,
    /// Time by which the move is done or taken back.
    pub end: SystemTime,
}

/// The last step that the log records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Index into [`MovePlan::steps`].
    pub step: usize,
    /// When the step was recorded.
    pub since: SystemTime,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            errors: 0.02,
            slow_first_token: 0.05,
            slow_inter_token: 0.05,
            min_samples: 200,
            min_dwell: Duration::from_mins(1),
        }
    }
}

impl MovePlan {
    /// Largest share of a version that is not proven, in parts per million.
    pub const MAX_UNPROVEN_PPM: Ppm = 50_000;
    /// Shares of a move that specifies none, in parts per million.
    pub const DEFAULT_STEPS_PPM: [Ppm; 6] =
        [2_000, 10_000, 50_000, 250_000, 500_000, FULL_SHARE_PPM];

    /// Returns the share at a step.
    pub fn share(&self, step: usize) -> Ppm {
        self.steps.get(step).or(self.steps.last()).copied().unwrap_or(0).min(FULL_SHARE_PPM)
    }

    /// Returns how many of `upstreams` must run the new version at a step: the fewest for which an
    /// upstream with the new version gets no more load than one with the old version.
    pub fn required_upstreams(&self, step: usize, upstreams: u32) -> u32 {
        let load = u64::from(self.share(step)) * u64::from(upstreams);
        load.div_ceil(u64::from(FULL_SHARE_PPM)) as u32
    }

    /// Returns when the share may first exceed [`MovePlan::MAX_UNPROVEN_PPM`]: halfway to the end,
    /// so that a fault that appears late still affects only a small share.
    pub fn soak_end(&self) -> SystemTime {
        let duration = self.end.duration_since(self.begin).unwrap_or_default();
        self.begin + duration / 2
    }
}

impl Progress {
    /// Returns the progress of a move that starts at `now`.
    pub const fn new(now: SystemTime) -> Self {
        Self { step: 0, since: now }
    }

    /// Returns the progress of a move whose `step` was recorded at `now`.
    pub const fn at_step(step: usize, now: SystemTime) -> Self {
        Self { step, since: now }
    }
}
