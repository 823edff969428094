//! Cumulative measurements per version, route and load level, for version moves.

use std::collections::BTreeMap;
use std::time::Duration;

use egretgate_core::{RouteId, VersionId};
use egretgate_link::message::Sample;

use crate::run::{Finish, Report};

/// Longest time to a good first token.
const FIRST_TARGET: Duration = Duration::from_millis(380);
/// Longest good mean time between tokens.
const BETWEEN_TARGET: Duration = Duration::from_millis(34);
/// Most rows kept.
const MAX_ROWS: usize = 256;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    route: RouteId,
    version: VersionId,
    level: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    total: u64,
    errors: u64,
    slow_first: u64,
    slow_between: u64,
}

/// Cumulative counters of one side process.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    rows: BTreeMap<Key, Counts>,
}

impl Samples {
    /// Counts an ended run. Cancelled runs and those never sent say nothing of a version.
    pub(crate) fn note(&mut self, route: &str, version: &str, level: u32, report: &Report) {
        if matches!(report.finish, Finish::Cancelled | Finish::NotSent) {
            return;
        }
        let key = Key { route: route.to_owned(), version: version.to_owned(), level };
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&key) {
            return;
        }
        let counts = self.rows.entry(key).or_default();
        counts.total += 1;
        counts.errors += u64::from(matches!(report.finish, Finish::Failed | Finish::Cut));
        counts.slow_first += u64::from(report.first.is_some_and(|time| time > FIRST_TARGET));
        counts.slow_between += u64::from(report.between.is_some_and(|time| time > BETWEEN_TARGET));
    }

    /// Returns the counters as frames carry them.
    pub(crate) fn frames(&self) -> Vec<Sample> {
        let frame = |(key, counts): (&Key, &Counts)| Sample {
            route: key.route.clone(),
            version: key.version.clone(),
            level: key.level,
            total: counts.total,
            errors: counts.errors,
            slow_first: counts.slow_first,
            slow_between: counts.slow_between,
        };
        self.rows.iter().map(frame).collect()
    }
}
