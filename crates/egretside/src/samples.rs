//! Cumulative measurements per version, route and load level, for version moves.

use std::collections::BTreeMap;

use egretgate_core::{RouteId, VersionId};
use egretgate_link::message::Sample;

use crate::replica::Targets;
use crate::run::{Finish, RunSummary};

/// Maximum number of keys with counters.
const MAX_SAMPLE_ROWS: usize = 256;

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
    slow_first_token: u64,
    slow_inter_token: u64,
}

/// Cumulative counters of one side process.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    rows: BTreeMap<SampleKey, Counts>,
}

impl Samples {
    /// Counts an ended run, unless it was cancelled or never sent: such a run says nothing about
    /// its version. A new key is dropped once [`MAX_SAMPLE_ROWS`] are in use.
    pub(crate) fn record(&mut self, key: SampleKey, targets: Targets, summary: &RunSummary) {
        if matches!(summary.finish, Finish::Cancelled | Finish::NotSent) {
            return;
        }
        if self.rows.len() >= MAX_SAMPLE_ROWS && !self.rows.contains_key(&key) {
            return;
        }
        let counts = self.rows.entry(key).or_default();
        counts.total += 1;
        counts.errors += u64::from(matches!(summary.finish, Finish::Failed | Finish::Cut));
        counts.slow_first_token +=
            u64::from(summary.first_token.is_some_and(|time| time > targets.first_token));
        counts.slow_inter_token +=
            u64::from(summary.inter_token.is_some_and(|time| time > targets.inter_token));
    }

    /// Returns the counters of the routes for which `has_open_move` is true.
    pub(crate) fn to_messages(&self, has_open_move: impl Fn(&str) -> bool) -> Vec<Sample> {
        let to_sample = |(key, counts): (&SampleKey, &Counts)| Sample {
            route: key.route.clone(),
            version: key.version.clone(),
            level: key.level,
            total: counts.total,
            errors: counts.errors,
            slow_first_token: counts.slow_first_token,
            slow_inter_token: counts.slow_inter_token,
        };
        self.rows.iter().filter(|(key, _)| has_open_move(&key.route)).map(to_sample).collect()
    }
}
