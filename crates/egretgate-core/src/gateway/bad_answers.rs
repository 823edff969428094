//! Finds that the new version of a service has turned bad, however late in its move.
//!
//! Comparisons since the start of a move set the good answers of the time before against the bad
//! ones. Here each bad answer beyond what the old version gives adds to a sum, and each good one
//! takes a little from it, down to zero (Page, "Continuous Inspection Schemes", Biometrika 1954).
//!
//! The old version gets most requests at first and none in the end, so its counters since the start
//! say little of a time in which both versions were bad. What it would have given at the times of
//! the new version's requests is counted as well (direct standardization).

use std::collections::BTreeMap;

use crate::RouteId;
use crate::moves::{Counts, Metric};

/// Fractions by which the new version may give more bad answers than the old one. Failures don't
/// depend on the upstream that serves a request, slow answers do.
const ERROR_MARGIN: f64 = 0.1;
const SLOW_MARGIN: f64 = 0.25;
/// Excess of bad answers from which the new version is found bad.
const MAX_ERRORS: f64 = 15.0;
const MAX_SLOW: f64 = 12.0;
/// Number of the old version's answers that are recent: both versions may turn bad together.
const RECENT: f64 = 100.0;
/// Answers of the old version on a route from which the versions are compared there.
const MIN_OLD: u64 = 10;
/// Weight of the old version's recent answers from which their bad fraction counts.
const MIN_RECENT: f64 = 5.0;

/// Counters of both versions on one route.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RouteCounts {
    pub(super) old: Counts,
    pub(super) new: Counts,
}

/// Why a version was found bad.
#[derive(Debug, Clone, PartialEq)]
pub struct BadVersion {
    /// Route; `None` for the sum over all routes.
    pub route: Option<RouteId>,
    /// What is bad about the answers.
    pub metric: Metric,
    /// Excess of bad answers.
    pub excess: f64,
    /// Counters of the old version since the start of the move.
    pub old: Counts,
    /// Counters of the new version since the start of the move.
    pub new: Counts,
}

/// The answers on one route, or on all.
#[derive(Debug, Clone, Default)]
struct Series {
    /// Counters at the last update.
    counts: RouteCounts,
    /// Weights of the old version's recent answers, and of the bad ones among them, by metric.
    recent: (f64, [f64; Metric::ALL.len()]),
    /// Excess of bad answers of the new version, by metric; at least 0.
    excess: [f64; Metric::ALL.len()],
    /// Bad answers that the old version would have given to the new one's requests, by metric.
    usual: [f64; Metric::ALL.len()],
}

impl Series {
    /// Adds the answers since the last update; returns the metric by which the new version is bad,
    /// with the excess.
    fn update(&mut self, counts: RouteCounts) -> Option<(Metric, f64)> {
        let last = std::mem::replace(&mut self.counts, counts);
        let (old, new) = (counts.old.since(last.old), counts.new.since(last.new));
        let keep = (-(old.total as f64) / RECENT).exp();
        let mut found = None;
        self.recent.0 = self.recent.0 * keep + old.total as f64;
        for (index, metric) in Metric::ALL.into_iter().enumerate() {
            let recent_bad = &mut self.recent.1[index];
            *recent_bad = *recent_bad * keep + old.bad_requests(metric) as f64;
            let overall = counts.old.bad_fraction(metric);
            let is_known = self.recent.0 >= MIN_RECENT;
            let recent = if is_known { *recent_bad / self.recent.0 } else { overall };
            self.usual[index] += new.total as f64 * recent;
            let (margin, most) = match metric {
                Metric::Errors => (ERROR_MARGIN, MAX_ERRORS),
                Metric::FirstToken | Metric::InterToken => (SLOW_MARGIN, MAX_SLOW),
            };
            let excess = &mut self.excess[index];
            let expected = new.total as f64 * (overall.max(recent) + margin);
            *excess = (*excess + new.bad_requests(metric) as f64 - expected).max(0.0);
            if *excess >= most && counts.old.total >= MIN_OLD {
                found.get_or_insert((metric, *excess));
            }
        }
        found
    }

    /// Returns the bad answers that the old version's counters lack, compared with what it would
    /// have given at the times of the new version's requests.
    fn missing(&self) -> Counts {
        let RouteCounts { old, new } = self.counts;
        let missing = |metric: Metric| {
            let usual = self.usual[metric as usize] / new.total.max(1) as f64;
            let missing = old.total as f64 * usual.min(1.0) - old.bad_requests(metric) as f64;
            missing.max(0.0) as u64
        };
        Counts {
            total: 0,
            errors: missing(Metric::Errors),
            slow_first_token: missing(Metric::FirstToken),
            slow_inter_token: missing(Metric::InterToken),
        }
    }
}

/// The answers of both versions during a move, by route.
#[derive(Debug, Clone, Default)]
pub(super) struct BadAnswers {
    routes: BTreeMap<RouteId, Series>,
    all: Series,
}

impl BadAnswers {
    /// Adds the answers since the last update, from the counters since the start of the move;
    /// returns why the new version is bad, if it is.
    pub(super) fn update(&mut self, routes: &BTreeMap<RouteId, RouteCounts>) -> Option<BadVersion> {
        let mut all = RouteCounts::default();
        let mut found = None;
        for (route, counts) in routes {
            all.old.add(counts.old);
            all.new.add(counts.new);
            let series = self.routes.entry(route.clone()).or_default();
            if let Some((metric, excess)) = series.update(*counts) {
                let RouteCounts { old, new } = *counts;
                let route = Some(route.clone());
                found = Some(BadVersion { route, metric, excess, old, new });
            }
        }
        if let Some((metric, excess)) = self.all.update(all) {
            let RouteCounts { old, new } = all;
            found.get_or_insert(BadVersion { route: None, metric, excess, old, new });
        }
        found
    }

    /// Returns, by route, the bad answers that the old version's counters lack.
    pub(super) fn missing(&self) -> impl Iterator<Item = (&RouteId, Counts)> {
        self.routes.iter().map(|(route, series)| (route, series.missing()))
    }
}
