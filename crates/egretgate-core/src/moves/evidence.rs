//! Cumulative request counters of both versions, merged over processes.

use std::collections::{BTreeMap, HashMap};

use super::StopCause;
use crate::ids::{Incarnation, RouteId, VersionId};

/// What a set of counters is for: one version on one route at one load level.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvidenceKey {
    /// Route.
    pub route: RouteId,
    /// Version.
    pub version: VersionId,
    /// Load level when the request started; 0 is the lightest.
    pub level: u32,
}

/// Cumulative counters of one [`EvidenceKey`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that ended. Never less than any other counter.
    pub total: u64,
    /// Requests that failed.
    pub errors: u64,
    /// Requests with a slow first token.
    pub slow_first_token: u64,
    /// Requests with a high inter-token latency.
    pub slow_inter_token: u64,
}

/// Metric that is compared between versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Metric {
    /// Requests that fail.
    Errors,
    /// Requests with a slow first token.
    FirstToken,
    /// Requests with a high inter-token latency.
    InterToken,
}

#[derive(Debug, Clone, Default)]
struct ProcessCounts {
    counts: BTreeMap<EvidenceKey, Counts>,
    /// Counters at the start of the current step.
    window_start: BTreeMap<EvidenceKey, Counts>,
    stop: Option<StopCause>,
}

/// Cumulative counters by process. Later reports of a process replace its earlier ones.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    processes: HashMap<Incarnation, ProcessCounts>,
}

impl Metric {
    /// Every metric.
    pub const ALL: [Self; 3] = [Self::Errors, Self::FirstToken, Self::InterToken];

    /// Returns the name used in records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Errors => "errors",
            Self::FirstToken => "first-token",
            Self::InterToken => "between-tokens",
        }
    }
}

impl EvidenceKey {
    /// Returns the key of one version on one route at one load level.
    pub fn new(route: impl Into<RouteId>, version: impl Into<VersionId>, level: u32) -> Self {
        Self { route: route.into(), version: version.into(), level }
    }
}

impl Counts {
    /// Returns the number of requests that count against the version in a metric.
    pub const fn bad_requests(self, metric: Metric) -> u64 {
        match metric {
            Metric::Errors => self.errors,
            Metric::FirstToken => self.slow_first_token,
            Metric::InterToken => self.slow_inter_token,
        }
    }

    /// Returns the fraction of requests that count against the version in a metric; 0 without
    /// requests.
    pub fn bad_fraction(self, metric: Metric) -> f64 {
        self.bad_requests(metric) as f64 / self.total.max(1) as f64
    }

    /// Adds one request that ended.
    pub fn record(&mut self, error: bool, slow_first_token: bool, slow_inter_token: bool) {
        self.total += 1;
        self.errors += u64::from(error);
        self.slow_first_token += u64::from(slow_first_token);
        self.slow_inter_token += u64::from(slow_inter_token);
    }

    /// Adds the counters of another process or key.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.errors += other.errors;
        self.slow_first_token += other.slow_first_token;
        self.slow_inter_token += other.slow_inter_token;
    }

    /// Returns the maximum of each counter.
    fn max(self, other: Self) -> Self {
        Self {
            total: self.total.max(other.total),
            errors: self.errors.max(other.errors),
            slow_first_token: self.slow_first_token.max(other.slow_first_token),
            slow_inter_token: self.slow_inter_token.max(other.slow_inter_token),
        }
    }

    /// Returns the requests since an earlier state of these counters.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            total: self.total.saturating_sub(earlier.total),
            errors: self.errors.saturating_sub(earlier.errors),
            slow_first_token: self.slow_first_token.saturating_sub(earlier.slow_first_token),
            slow_inter_token: self.slow_inter_token.saturating_sub(earlier.slow_inter_token),
        }
    }
}

impl Evidence {
    /// Adds the cumulative counters that a process reported. Older or duplicate reports change
    /// nothing.
    pub fn merge(&mut self, process: Incarnation, key: EvidenceKey, counts: Counts) {
        let known = self.processes.entry(process).or_default().counts.entry(key).or_default();
        *known = known.max(counts);
    }

    /// Records that a process stopped the new version by itself.
    pub fn record_stop(&mut self, process: Incarnation, cause: StopCause) {
        self.processes.entry(process).or_default().stop.get_or_insert(cause);
    }

    /// Adds all evidence that another holder of the lease collected.
    pub fn merge_all(&mut self, other: &Self) {
        for (&process, reported) in &other.processes {
            for (key, &counts) in &reported.counts {
                self.merge(process, key.clone(), counts);
            }
            if let Some(cause) = reported.stop {
                self.record_stop(process, cause);
            }
        }
    }

    /// Starts a new window. Called when a step is recorded.
    pub fn start_window(&mut self) {
        for process in self.processes.values_mut() {
            process.window_start.clone_from(&process.counts);
        }
    }

    /// Returns why a process stopped the new version, if any did; the first in the order of
    /// [`StopCause`] if there are several.
    pub fn first_stop(&self) -> Option<StopCause> {
        self.processes.values().filter_map(|process| process.stop).min()
    }

    /// Returns the counters summed over processes, since the move began.
    pub fn totals(&self) -> BTreeMap<EvidenceKey, Counts> {
        self.sum(|_| None)
    }

    /// Returns the counters summed over processes, since the last [`Evidence::start_window`].
    pub fn window(&self) -> BTreeMap<EvidenceKey, Counts> {
        self.sum(|process| Some(&process.window_start))
    }

    fn sum(
        &self,
        window_start: impl Fn(&ProcessCounts) -> Option<&BTreeMap<EvidenceKey, Counts>>,
    ) -> BTreeMap<EvidenceKey, Counts> {
        let mut sums: BTreeMap<EvidenceKey, Counts> = BTreeMap::new();
        for process in self.processes.values() {
            for (key, &counts) in &process.counts {
                let start =
                    window_start(process).and_then(|window_start| window_start.get(key)).copied();
                let counts = counts.since(start.unwrap_or_default());
                sums.entry(key.clone()).or_default().add(counts);
            }
        }
        sums
    }
}
