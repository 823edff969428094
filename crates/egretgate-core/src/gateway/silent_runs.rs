//! Runs that ended without an answer, until it is known whether their upstream has crashed.
//!
//! A crash that takes the whole machine closes no connection, so it looks like an upstream that is
//! slow, frozen or cut off. What tells them apart comes later: an upstream that lives answers again,
//! and after a crash another incarnation is listed in its place, or none.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::admission::BrokenRun;
use super::upstream::ListedUpstream;
use crate::{Digest, UpstreamId};

/// Time for which a run is remembered: upstreams are back some seconds after a crash.
const MEMORY: Duration = Duration::from_secs(20);
/// Time without a record after which an upstream has crashed: one that lives lists itself again
/// within about two seconds.
const GONE_TIME: Duration = Duration::from_secs(5);
/// Interval at which the runs are compared with the list while it stays the same.
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of runs that are remembered.
const MAX_RUNS: usize = 256;

/// How the end of a silent run's upstream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSign {
    /// Another run at the same upstream broke, and the upstream was down.
    Down,
    /// Another incarnation is listed under its name, or another upstream at its address.
    Replaced,
    /// Its record is gone.
    Gone,
}

impl CrashSign {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Down => "down",
            Self::Replaced => "replaced",
            Self::Gone => "gone",
        }
    }
}

/// A silent run whose upstream has crashed, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentCrash {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Digest of the request.
    pub digest: Option<Digest>,
    /// How the crash was found.
    pub sign: CrashSign,
    /// Time from the last sign of life of the upstream to the finding.
    pub age: Duration,
}

/// A run that ended without an answer.
#[derive(Debug, Clone)]
struct SilentRun {
    listed: ListedUpstream,
    /// Its time is that of the upstream's last sign of life.
    run: BrokenRun,
    /// Time at which the run ended.
    ended: Instant,
    /// Time since which the upstream has no record.
    gone_since: Option<Instant>,
}

/// The runs that ended without an answer, oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct SilentRuns {
    runs: Vec<SilentRun>,
    /// Time of the last comparison with the list; `None` if the list may have changed since.
    compared: Option<Instant>,
}

impl SilentRuns {
    /// Returns true if there are none.
    pub(super) const fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Records that the list of upstreams may have changed.
    pub(super) const fn record_listing(&mut self) {
        self.compared = None;
    }

    /// Returns true if the runs should be compared with the list now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let is_due = |compared| now.saturating_duration_since(compared) >= COMPARE_INTERVAL;
        !self.runs.is_empty() && self.compared.is_none_or(is_due)
    }

    /// Adds a run; returns runs that are no longer remembered for lack of room.
    pub(super) fn insert(
        &mut self,
        listed: ListedUpstream,
        run: BrokenRun,
        now: Instant,
    ) -> Option<BrokenRun> {
        let oldest = (self.runs.len() >= MAX_RUNS).then(|| self.runs.remove(0).run);
        self.runs.push(SilentRun { listed, run, ended: now, gone_since: None });
        oldest
    }

    /// Removes and returns the runs at an upstream that has answered a request which began at
    /// `started`.
    pub(super) fn record_answer(
        &mut self,
        upstream: &ListedUpstream,
        started: Instant,
    ) -> Vec<BrokenRun> {
        let is_there = |listed: &ListedUpstream| {
            listed.id == upstream.id && listed.is_same_incarnation(upstream)
        };
        let is_refuted =
            |silent: &mut SilentRun| started >= silent.ended && is_there(&silent.listed);
        self.runs.extract_if(.., is_refuted).map(|silent| silent.run).collect()
    }

    /// Removes and returns the runs at an upstream that was found down.
    pub(super) fn record_down(&mut self, upstream: &UpstreamId) -> Vec<BrokenRun> {
        let is_there = |silent: &mut SilentRun| silent.run.upstream == *upstream;
        self.runs.extract_if(.., is_there).map(|silent| silent.run).collect()
    }

    /// Compares the runs with the list of upstreams; removes and returns those whose upstreams have
    /// crashed, and those of which nothing will be known.
    pub(super) fn compare<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a ListedUpstream> + Clone,
        now: Instant,
    ) -> (Vec<(BrokenRun, CrashSign)>, Vec<BrokenRun>) {
        self.compared = Some(now);
        let by_id: HashMap<&UpstreamId, &ListedUpstream> =
            listed.clone().map(|listed| (&listed.id, listed)).collect();
        let by_address: HashMap<_, _> = listed.map(|listed| (listed.address, listed)).collect();
        let (mut crashed, mut undecided) = (Vec::new(), Vec::new());
        self.runs.retain_mut(|silent| {
            let old = &silent.listed;
            let at_address = by_address.get(&old.address).filter(|other| other.id != old.id);
            let sign = match by_id.get(&old.id) {
                Some(present) if present.is_same_incarnation(old) => {
                    silent.gone_since = None;
                    None
                }
                Some(_) => Some(CrashSign::Replaced),
                None if at_address.is_some() => Some(CrashSign::Replaced),
                None => {
                    let since = *silent.gone_since.get_or_insert(now);
                    let is_gone = now.saturating_duration_since(since) >= GONE_TIME;
                    is_gone.then_some(CrashSign::Gone)
                }
            };
            if let Some(sign) = sign {
                crashed.push((silent.run.clone(), sign));
                return false;
            }
            let is_kept = now.saturating_duration_since(silent.ended) < MEMORY;
            if !is_kept {
                undecided.push(silent.run.clone());
            }
            is_kept
        });
        (crashed, undecided)
    }
}
