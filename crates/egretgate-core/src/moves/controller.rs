//! The verdict on a move.

use std::collections::BTreeMap;
use std::fmt;
use std::time::SystemTime;

use super::interval::proves_below;
use super::{Budget, Cell, Counts, Evidence, Interval, Metric, Move, Ppm, Progress, Stop, WHOLE};
use crate::ids::RouteId;

/// Probability that a version no worse than the old one is ever found worse.
const FALSE_ALARM: f64 = 0.01;
/// Probability that a version worse than the budget is found good by one comparison.
const FALSE_PROOF: f64 = 0.01;
/// Part of [`FALSE_PROOF`] that goes to the bound of the old version, which has many more requests.
const OLD_PART: f64 = 0.1;
/// Load levels over which the probability of a false alarm is divided.
const LEVELS: usize = 4;
/// Part of the samples that a step within [`Move::CAUTION`] needs.
const CAUTIOUS_PART: u64 = 10;
/// Share of a route's requests from which a load level of the old version is material.
const MATERIAL: f64 = 0.05;

/// The state of a comparison on which a verdict rests.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Route.
    pub route: RouteId,
    /// Load level; `None` for all of them.
    pub level: Option<u32>,
    /// What was compared.
    pub metric: Metric,
    /// Counters of the old version.
    pub old: Counts,
    /// Counters of the new version.
    pub new: Counts,
}

/// Why a move is taken back.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// The new version is worse than the budget allows.
    Worse,
    /// A process stopped the new version by itself.
    Stopped(Stop),
    /// The end came before the new version was proven; the findings say where proof is missing.
    Unproven,
}

/// What is to be done with a move now.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Nothing yet.
    Hold,
    /// Record the step with this index and share.
    Step {
        /// Index into [`Move::steps`].
        step: usize,
        /// Share of the new version.
        share: Ppm,
    },
    /// Record that the move is taken back; the new version gets nothing more.
    TakeBack(Reason, Vec<Finding>),
    /// Record that the move is done, on this evidence.
    Done(Vec<Finding>),
}

/// Judges moves. Holds nothing: every verdict follows from its arguments.
#[derive(Debug, Clone, Copy, Default)]
pub struct Controller;

/// Counters of both versions.
#[derive(Debug, Clone, Copy, Default)]
struct Pair {
    old: Counts,
    new: Counts,
}

type Pairs = BTreeMap<(RouteId, u32), Pair>;

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route={} ", self.route)?;
        if let Some(level) = self.level {
            write!(f, "level={level} ")?;
        }
        let (old, new) = (self.old.hits(self.metric), self.new.hits(self.metric));
        let name = self.metric.as_str();
        write!(f, "metric={name} old={old}/{} new={new}/{}", self.old.total, self.new.total)
    }
}

impl Budget {
    /// Returns how much worse the new version may be by a metric.
    pub const fn margin(&self, metric: Metric) -> f64 {
        match metric {
            Metric::Errors => self.errors,
            Metric::First => self.first,
            Metric::Between => self.between,
        }
    }
}

impl Controller {
    /// Decides on a move at its recorded step.
    ///
    /// Every step must have been followed by [`Evidence::mark`] at the holder; a holder that
    /// starts without marks judges the window from the start of the move, which is as valid.
    pub fn decide(
        self,
        plan: &Move,
        progress: Progress,
        evidence: &Evidence,
        now: SystemTime,
    ) -> Decision {
        if let Some(stop) = evidence.stopped() {
            return Decision::TakeBack(Reason::Stopped(stop), Vec::new());
        }
        let whole = pairs(plan, &evidence.totals());
        let window = window(&whole, pairs(plan, &evidence.window()));
        let mut worse = alarms(plan, &whole);
        worse.extend(alarms(plan, &window));
        if !worse.is_empty() {
            return Decision::TakeBack(Reason::Worse, worse);
        }
        let last = plan.share(progress.step) == WHOLE;
        let missing = missing(plan, &whole, &window);
        let dwelt = now >= progress.since + plan.budget.dwell;
        if last && dwelt && missing.is_empty() {
            return Decision::Done(proofs(&whole));
        }
        if now >= plan.end {
            return Decision::TakeBack(Reason::Unproven, missing);
        }
        let next = progress.step + 1;
        let share = plan.share(next);
        let ready = if share <= Move::CAUTION {
            enough(plan, &window)
        } else {
            missing.is_empty() && now >= plan.soaked()
        };
        if last || !dwelt || !ready {
            return Decision::Hold;
        }
        Decision::Step { step: next, share }
    }
}

/// Returns the counters of both versions on the move's routes.
fn pairs(plan: &Move, counts: &BTreeMap<Cell, Counts>) -> Pairs {
    let mut pairs = Pairs::new();
    for (cell, &counts) in counts {
        if !plan.routes.contains(&cell.route) {
            continue;
        }
        let pair = pairs.entry((cell.route.clone(), cell.level)).or_default();
        if cell.version == plan.to {
            pair.new.add(counts);
        } else if cell.version == plan.from {
            pair.old.add(counts);
        }
    }
    pairs
}

/// Completes a window in which the old version no longer ran by all that is known of it.
fn window(whole: &Pairs, mut window: Pairs) -> Pairs {
    for (key, pair) in &mut window {
        if pair.old.total < pair.new.total {
            pair.old = whole.get(key).map(|pair| pair.old).unwrap_or_default();
        }
    }
    window
}

/// Returns the comparisons by which the new version is worse.
fn alarms(plan: &Move, pairs: &Pairs) -> Vec<Finding> {
    let windows = plan.steps.len() + 1;
    let tests = Metric::ALL.len() * plan.routes.len().max(1) * LEVELS * windows;
    let alpha = FALSE_ALARM / (2 * tests) as f64;
    let mut found = Vec::new();
    for ((route, level), pair) in pairs {
        for metric in Metric::ALL {
            let margin = plan.budget.margin(metric);
            if pair.new.share(metric) <= pair.old.share(metric) + margin {
                continue;
            }
            let new = interval(pair.new, metric, alpha);
            let old = interval(pair.old, metric, alpha);
            if new.low > old.high + margin {
                found.push(finding(route, Some(*level), metric, *pair));
            }
        }
    }
    found
}

/// Returns the comparisons that do not yet prove the new version good: on each route, over all
/// load levels since the start and since the last step, and at the heaviest level alone.
fn missing(plan: &Move, whole: &Pairs, window: &Pairs) -> Vec<Finding> {
    let (all, recent) = (by_route(whole), by_route(window));
    let mut missing = Vec::new();
    for route in &plan.routes {
        let sum = all.get(route).copied().unwrap_or_default();
        missing.extend(unproven(plan, route, None, sum));
        let pair = recent.get(route).copied().unwrap_or_default();
        missing.extend(unproven(plan, route, None, pair));
        let Some((level, pair)) = heaviest(route, sum, whole) else { continue };
        missing.extend(unproven(plan, route, Some(level), pair));
    }
    missing
}

/// Returns the heaviest load level that the old version meets in a material share of requests.
fn heaviest(route: &str, sum: Pair, whole: &Pairs) -> Option<(u32, Pair)> {
    let least = (MATERIAL * sum.old.total as f64).max(1.0);
    let levels = whole.iter().filter(|((of, _), _)| of == route);
    let material = levels.filter(|(_, pair)| pair.old.total as f64 >= least);
    material.map(|((_, level), pair)| (*level, *pair)).max_by_key(|(level, _)| *level)
}

/// Returns the metrics by which a pair does not prove the new version good.
fn unproven(plan: &Move, route: &str, level: Option<u32>, pair: Pair) -> Vec<Finding> {
    let proven = |metric: &Metric| {
        let old = FALSE_PROOF * OLD_PART;
        let bound = interval(pair.old, *metric, old).low + plan.budget.margin(*metric);
        let Counts { total, .. } = pair.new;
        total >= plan.budget.samples
            && proves_below(pair.new.hits(*metric), total, bound, FALSE_PROOF - old)
    };
    let open = Metric::ALL.into_iter().filter(|metric| !proven(metric));
    open.map(|metric| finding(route, level, metric, pair)).collect()
}

/// Returns true if the new version ran what a step within [`Move::CAUTION`] needs.
fn enough(plan: &Move, window: &Pairs) -> bool {
    let total: u64 = window.values().map(|pair| pair.new.total).sum();
    total >= plan.budget.samples / CAUTIOUS_PART
}

fn by_route(pairs: &Pairs) -> BTreeMap<RouteId, Pair> {
    let mut sums: BTreeMap<RouteId, Pair> = BTreeMap::new();
    for ((route, _), pair) in pairs {
        let sum = sums.entry(route.clone()).or_default();
        sum.old.add(pair.old);
        sum.new.add(pair.new);
    }
    sums
}

/// Returns the state of every comparison of a move that is done.
fn proofs(whole: &Pairs) -> Vec<Finding> {
    let all = whole.iter().flat_map(|((route, level), pair)| {
        Metric::ALL.map(|metric| finding(route, Some(*level), metric, *pair))
    });
    all.collect()
}

fn interval(counts: Counts, metric: Metric, alpha: f64) -> Interval {
    Interval::new(counts.hits(metric), counts.total, alpha)
}

fn finding(route: &str, level: Option<u32>, metric: Metric, pair: Pair) -> Finding {
    Finding { route: route.to_owned(), level, metric, old: pair.old, new: pair.new }
}
