//! Cumulative measurements per version, route and load level, for version moves.

use std::collections::BTreeMap;

use egretgate_core::{RouteId, VersionId};
use egretgate_link::message::Sample;

use crate::replica::Targets;
use crate::run::{Finish, RunSummary};

/// Maximum number of rows kept.
const MAX_ROWS: usize = 256;

/// Dimensions by which requests are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SampleKey {
    /// Route.
    pub route: RouteId,
    /// Version.
    pub version: VersionId,
    /// Load level of the engine when the request started; 0 is the lowest.
    pub level: u32,
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
    rows: BTreeMap<SampleKey, Counts>,
}

impl Samples {
    /// Counts an ended run. Cancelled runs and those that were never sent say nothing about a
    /// version.
    pub(crate) fn record(&mut self, place: SampleKey, targets: Targets, report: &RunSummary) {
        if matches!(report.finish, Finish::Cancelled | Finish::NotSent) {
            return;
        }
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&place) {
            return;
        }
        let counts = self.rows.entry(place).or_default();
        counts.total += 1;
        counts.errors += u64::from(matches!(report.finish, Finish::Failed | Finish::Cut));
        counts.slow_first += u64::from(report.first_token.is_some_and(|time| time > targets.first));
        counts.slow_between +=
            u64::from(report.inter_token.is_some_and(|time| time > targets.between));
    }

    /// Returns the counters of the routes for which `moves` is true.
    pub(crate) fn to_messages(&self, moves: impl Fn(&str) -> bool) -> Vec<Sample> {
        let frame = |(key, counts): (&SampleKey, &Counts)| Sample {
            route: key.route.clone(),
            version: key.version.clone(),
            level: key.level,
            total: counts.total,
            errors: counts.errors,
            slow_first: counts.slow_first,
            slow_between: counts.slow_between,
        };
        self.rows.iter().filter(|(key, _)| moves(&key.route)).map(frame).collect()
    }
}
