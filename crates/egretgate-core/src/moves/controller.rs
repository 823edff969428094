//! Decisions on a move: hold, step, take back or finish.

use std::collections::BTreeMap;
use std::fmt;
use std::time::SystemTime;

use super::interval::proves_below;
use super::{
    Budget, Counts, Evidence, EvidenceKey, FULL_SHARE_PPM, Interval, Metric, MovePlan, Ppm,
    Progress, StopCause,
};
use crate::ids::RouteId;

/// Probability that a version no worse than the old one is found worse at any time during the move.
const FALSE_ALARM_PROBABILITY: f64 = 0.01;
/// Probability that one comparison accepts a version that is worse than the budget allows.
const FALSE_PROOF_PROBABILITY: f64 = 0.01;
/// Fraction of [`FALSE_PROOF_PROBABILITY`] spent on the bound of the old version. It is small
/// because the old version has many more requests.
const OLD_BOUND_FRACTION: f64 = 0.1;
/// Name of the sum over all routes in findings.
const ALL_ROUTES: &str = "*";
/// Number of load levels over which the probability of a false alarm is divided.
const LOAD_LEVELS: usize = 4;
/// A step up to [`MovePlan::MAX_UNPROVEN_PPM`] needs the samples of a proof divided by this.
const UNPROVEN_SAMPLES_DIVISOR: u64 = 10;
/// Smallest fraction of a route's requests of the old version for which a load level is compared
/// on its own.
const MIN_LEVEL_FRACTION: f64 = 0.05;

/// A comparison of both versions on which a decision is based.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Route.
    pub route: RouteId,
    /// Load level; `None` for the sum over all levels.
    pub level: Option<u32>,
    /// Metric that was compared.
    pub metric: Metric,
    /// Counters of the old version.
    pub old: Counts,
    /// Counters of the new version.
    pub new: Counts,
}

/// Why a move is taken back.
#[derive(Debug, Clone, PartialEq)]
pub enum TakeBackReason {
    /// The new version is worse than the budget allows.
    Worse,
    /// A process stopped the new version by itself.
    Stopped(StopCause),
    /// The move reached its end before the new version was proven; the findings show where proof is
    /// missing.
    Unproven,
}

/// What to do with a move now.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Keep the current step for now.
    Hold,
    /// Record the step with this index and share.
    Step {
        /// Index into [`MovePlan::steps`].
        step: usize,
        /// Share of the new version.
        share: Ppm,
    },
    /// Record that the move is taken back; the new version gets no more requests.
    TakeBack(TakeBackReason, Vec<Finding>),
    /// Record that the move is done, with these findings as evidence.
    Done(Vec<Finding>),
}

/// Decides on moves. It has no state: each decision is a function of its arguments.
#[derive(Debug, Clone, Copy, Default)]
pub struct Controller;

/// Counters of both versions.
#[derive(Debug, Clone, Copy, Default)]
struct VersionCounts {
    old: Counts,
    new: Counts,
}

type LevelCounts = BTreeMap<(RouteId, u32), VersionCounts>;

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route={} ", self.route)?;
        if let Some(level) = self.level {
            write!(f, "level={level} ")?;
        }
        let (old, new) = (self.old.bad_requests(self.metric), self.new.bad_requests(self.metric));
        let name = self.metric.as_str();
        write!(f, "metric={name} old={old}/{} new={new}/{}", self.old.total, self.new.total)
    }
}

impl Budget {
    /// Returns how much worse the new version may be in a metric.
    pub const fn margin(&self, metric: Metric) -> f64 {
        match metric {
            Metric::Errors => self.errors,
            Metric::FirstToken => self.slow_first_token,
            Metric::InterToken => self.slow_inter_token,
        }
    }
}

impl Controller {
    /// Decides on a move at its recorded step.
    ///
    /// The holder of the lease calls [`Evidence::start_window`] after each step. A new holder,
    /// which has not done so, uses the counters since the start of the move as the window, which is
    /// equally valid.
    pub fn decide(
        self,
        plan: &MovePlan,
        progress: Progress,
        evidence: &Evidence,
        now: SystemTime,
    ) -> Decision {
        if let Some(cause) = evidence.first_stop() {
            return Decision::TakeBack(TakeBackReason::Stopped(cause), Vec::new());
        }
        let since_start = collect_counts(plan, &evidence.totals());
        let window = fill_window(&since_start, collect_counts(plan, &evidence.window()));
        let mut worse = find_regressions(plan, &since_start);
        worse.extend(find_regressions(plan, &window));
        worse.extend(find_regressions(plan, &sum_routes(&since_start)));
        worse.extend(find_regressions(plan, &sum_routes(&window)));
        if !worse.is_empty() {
            return Decision::TakeBack(TakeBackReason::Worse, worse);
        }
        let last = plan.share(progress.step) == FULL_SHARE_PPM;
        let missing = find_unproven(plan, &since_start, &window);
        let dwelt = now >= progress.since + plan.budget.min_dwell;
        if last && dwelt && missing.is_empty() {
            return Decision::Done(list_findings(&since_start));
        }
        if now >= plan.end {
            return Decision::TakeBack(TakeBackReason::Unproven, missing);
        }
        let next = progress.step + 1;
        let share = plan.share(next);
        let ready = if share <= MovePlan::MAX_UNPROVEN_PPM {
            has_enough_samples(plan, &window)
        } else {
            missing.is_empty() && now >= plan.soak_end()
        };
        if last || !dwelt || !ready {
            return Decision::Hold;
        }
        Decision::Step { step: next, share }
    }
}

/// Returns the counters of both versions on the move's routes.
fn collect_counts(plan: &MovePlan, counts: &BTreeMap<EvidenceKey, Counts>) -> LevelCounts {
    let mut levels = LevelCounts::new();
    for (key, &counts) in counts {
        if !plan.routes.contains(&key.route) {
            continue;
        }
        let versions = levels.entry((key.route.clone(), key.level)).or_default();
        if key.version == plan.to {
            versions.new.add(counts);
        } else if key.version == plan.from {
            versions.old.add(counts);
        }
    }
    levels
}

/// Replaces the old version's counters in the window by those of the whole move where the old
/// version has fewer requests in the window than the new one: at large shares it gets few requests
/// or none.
fn fill_window(since_start: &LevelCounts, mut window: LevelCounts) -> LevelCounts {
    for (key, versions) in &mut window {
        if versions.old.total < versions.new.total {
            versions.old = since_start.get(key).map(|versions| versions.old).unwrap_or_default();
        }
    }
    window
}

/// Returns the comparisons that show the new version to be worse than the budget allows.
fn find_regressions(plan: &MovePlan, levels: &LevelCounts) -> Vec<Finding> {
    let windows = plan.steps.len() + 1;
    // Each route and the sum over all routes are compared.
    let tests = Metric::ALL.len() * (plan.routes.len() + 1) * LOAD_LEVELS * windows;
    let alpha = FALSE_ALARM_PROBABILITY / (2 * tests) as f64;
    let mut findings = Vec::new();
    for ((route, level), versions) in levels {
        for metric in Metric::ALL {
            let margin = plan.budget.margin(metric);
            if versions.new.bad_fraction(metric) <= versions.old.bad_fraction(metric) + margin {
                continue;
            }
            let new = interval_of(versions.new, metric, alpha);
            let old = interval_of(versions.old, metric, alpha);
            if new.low > old.high + margin {
                findings.push(new_finding(route, Some(*level), metric, *versions));
            }
        }
    }
    findings
}

/// Returns the comparisons that do not yet prove the new version good. On each route these are
/// over all load levels since the start, over all load levels since the last step, and at the
/// heaviest level alone.
fn find_unproven(plan: &MovePlan, since_start: &LevelCounts, window: &LevelCounts) -> Vec<Finding> {
    let (all, recent) = (sum_by_route(since_start), sum_by_route(window));
    let mut missing = Vec::new();
    for route in &plan.routes {
        let sum = all.get(route).copied().unwrap_or_default();
        missing.extend(unproven_metrics(plan, route, None, sum));
        let versions = recent.get(route).copied().unwrap_or_default();
        missing.extend(unproven_metrics(plan, route, None, versions));
        let Some((level, versions)) = heaviest_level(route, sum, since_start) else { continue };
        missing.extend(unproven_metrics(plan, route, Some(level), versions));
    }
    missing
}

/// Returns the heaviest load level that has at least [`MIN_LEVEL_FRACTION`] of the old version's
/// requests on a route.
fn heaviest_level(
    route: &str,
    total: VersionCounts,
    since_start: &LevelCounts,
) -> Option<(u32, VersionCounts)> {
    let min_requests = (MIN_LEVEL_FRACTION * total.old.total as f64).max(1.0);
    let levels = since_start.iter().filter(|((name, _), _)| name == route);
    let significant = levels.filter(|(_, versions)| versions.old.total as f64 >= min_requests);
    significant.map(|((_, level), versions)| (*level, *versions)).max_by_key(|(level, _)| *level)
}

/// Returns a finding for each metric whose counters do not prove the new version good.
fn unproven_metrics(
    plan: &MovePlan,
    route: &str,
    level: Option<u32>,
    versions: VersionCounts,
) -> Vec<Finding> {
    let proven = |metric: &Metric| {
        let old_alpha = FALSE_PROOF_PROBABILITY * OLD_BOUND_FRACTION;
        let bound = interval_of(versions.old, *metric, old_alpha).low + plan.budget.margin(*metric);
        let Counts { total, .. } = versions.new;
        total >= plan.budget.min_samples
            && proves_below(
                versions.new.bad_requests(*metric),
                total,
                bound,
                FALSE_PROOF_PROBABILITY - old_alpha,
            )
    };
    let unproven = Metric::ALL.into_iter().filter(|metric| !proven(metric));
    unproven.map(|metric| new_finding(route, level, metric, versions)).collect()
}

/// Returns true if the new version has enough requests for a step up to
/// [`MovePlan::MAX_UNPROVEN_PPM`].
fn has_enough_samples(plan: &MovePlan, window: &LevelCounts) -> bool {
    let total: u64 = window.values().map(|versions| versions.new.total).sum();
    total >= plan.budget.min_samples / UNPROVEN_SAMPLES_DIVISOR
}

/// Sums the counters over all routes: few requests of each may show together what no route shows
/// by itself. Both versions get the same mixture of routes.
fn sum_routes(levels: &LevelCounts) -> LevelCounts {
    let mut sums = LevelCounts::new();
    for ((_, level), versions) in levels {
        let sum = sums.entry((ALL_ROUTES.to_owned(), *level)).or_default();
        sum.old.add(versions.old);
        sum.new.add(versions.new);
    }
    sums
}

fn sum_by_route(levels: &LevelCounts) -> BTreeMap<RouteId, VersionCounts> {
    let mut sums: BTreeMap<RouteId, VersionCounts> = BTreeMap::new();
    for ((route, _), versions) in levels {
        let sum = sums.entry(route.clone()).or_default();
        sum.old.add(versions.old);
        sum.new.add(versions.new);
    }
    sums
}

/// Returns every comparison of a move that is done.
fn list_findings(since_start: &LevelCounts) -> Vec<Finding> {
    let all = since_start.iter().flat_map(|((route, level), versions)| {
        Metric::ALL.map(|metric| new_finding(route, Some(*level), metric, *versions))
    });
    all.collect()
}

fn interval_of(counts: Counts, metric: Metric, alpha: f64) -> Interval {
    Interval::new(counts.bad_requests(metric), counts.total, alpha)
}

fn new_finding(
    route: &str,
    level: Option<u32>,
    metric: Metric,
    versions: VersionCounts,
) -> Finding {
    Finding { route: route.to_owned(), level, metric, old: versions.old, new: versions.new }
}
