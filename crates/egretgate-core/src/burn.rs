//! Burn rates of error budgets: good and bad requests against objectives.
//!
//! A burn rate of 1 uses up the error budget exactly at the end of the window. An alert fires when
//! both a long and a short window exceed its burn rate (multi-window burn-rate alerts, Google SRE
//! Workbook, chapter 5).
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use egretgate_core::burn::{Alert, BurnCounter, build_report};
//! use egretgate_core::declaration::Declarations;
//!
//! let mut declared = Declarations::default();
//! let door = serde_json::from_str(r#"{"rank": 0, "objective": 0.99}"#).unwrap();
//! declared.tiers.insert("door".to_owned(), door);
//!
//! let start = Instant::now();
//! let mut burn = BurnCounter::new(start);
//! let now = start + Duration::from_secs(60);
//! burn.record(now, 0, "rounds-north", false);
//!
//! let report = build_report(&burn.rows(now, &declared));
//! assert_eq!(report.tiers[0].alert, Some(Alert::Fast));
//! ```

mod report;
mod series;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

pub use report::{Alert, BurnReport, ReportLine, build_report};

use crate::declaration::Declarations;
use crate::ids::{MAX_TIERS, TeamId, Tier};
use series::{Series, minute};

/// Windows over which requests are counted, shortest first.
pub const WINDOWS: [Duration; 4] = [
    Duration::from_mins(5),
    Duration::from_mins(30),
    Duration::from_hours(1),
    Duration::from_hours(6),
];

/// Maximum number of pairs of tier and team that are counted separately.
pub const MAX_SERIES: usize = 16_384;

/// Team under which requests are counted once [`MAX_SERIES`] pairs are in use.
pub const OTHER_TEAMS: &str = "(other)";

/// Numbers of good and bad requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that met their tier's objective.
    pub good: u64,
    /// Requests that did not meet their tier's objective.
    pub bad: u64,
}

/// Counts of one team in one tier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the tier.
    pub tier: String,
    /// Name of the team.
    pub team: TeamId,
    /// Fraction of requests that must be good, in (0, 1).
    pub objective: f64,
    /// Counts over [`WINDOWS`].
    pub counts: [Count; WINDOWS.len()],
}

/// Counts of good and bad requests at one process.
///
/// Invariant: there are at most [`MAX_SERIES`] series plus one for [`OTHER_TEAMS`] in each tier.
/// Each has a bounded number of buckets, only for minutes in which requests ended.
#[derive(Debug)]
pub struct BurnCounter {
    start: Instant,
    tiers: [BTreeMap<TeamId, Series>; MAX_TIERS],
    /// Minute of the last sweep.
    last_sweep: u32,
}

impl Count {
    /// Returns the number of requests.
    pub const fn total(self) -> u64 {
        self.good.saturating_add(self.bad)
    }

    /// Returns the burn rate: the fraction of bad requests divided by the fraction that `objective`
    /// allows.
    pub fn burn_rate(self, objective: f64) -> f64 {
        if self.total() == 0 {
            return 0.0;
        }
        self.bad as f64 / self.total() as f64 / (1.0 - objective)
    }

    /// Adds the requests of `other`.
    pub const fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

impl BurnCounter {
    /// Returns empty counts of a process that started at `start`.
    pub fn new(start: Instant) -> Self {
        Self { start, tiers: Default::default(), last_sweep: 0 }
    }

    /// Counts one request that ended. Tiers that can't be declared are not counted.
    pub fn record(&mut self, now: Instant, tier: Tier, team: &str, good: bool) {
        let minute = minute(self.start, now);
        self.sweep(minute);
        let full = self.len() >= MAX_SERIES;
        let Some(teams) = self.tiers.get_mut(usize::from(tier)) else { return };
        if let Some(series) = teams.get_mut(team) {
            return series.record(minute, good);
        }
        let team = if full { OTHER_TEAMS } else { team };
        teams.entry(team.to_owned()).or_default().record(minute, good);
    }

    /// Returns the counts of every declared tier and its teams, by tier name and team.
    pub fn rows(&self, now: Instant, declared: &Declarations) -> Vec<Row> {
        let minute = minute(self.start, now);
        let mut rows = Vec::new();
        for (name, tier) in &declared.tiers {
            let Some(teams) = self.tiers.get(usize::from(tier.rank)) else { continue };
            rows.extend(teams.iter().map(|(team, series)| Row {
                tier: name.clone(),
                team: team.clone(),
                objective: tier.objective,
                counts: series.counts(minute),
            }));
        }
        rows.retain(|row| row.counts.iter().any(|count| count.total() > 0));
        rows
    }

    /// Returns the number of series.
    pub fn len(&self) -> usize {
        self.tiers.iter().map(BTreeMap::len).sum()
    }

    /// Returns the number of buckets of all series, at most 96 for each; a bucket takes 12 bytes.
    pub fn buckets(&self) -> usize {
        self.tiers.iter().flat_map(BTreeMap::values).map(Series::len).sum()
    }

    /// Returns true if nothing is counted.
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(BTreeMap::is_empty)
    }

    /// Removes series without a request in the longest window, once per coarse bucket.
    fn sweep(&mut self, minute: u32) {
        if minute / series::COARSE_BUCKET_MINUTES == self.last_sweep / series::COARSE_BUCKET_MINUTES
        {
            return;
        }
        self.last_sweep = minute;
        for teams in &mut self.tiers {
            teams.retain(|_, series| series.expire(minute));
        }
    }
}

/// Returns the sums of rows from several processes, by tier and team.
///
/// Where processes have different objectives for a tier, the strictest applies.
pub fn merge(rows: impl IntoIterator<Item = Row>) -> Vec<Row> {
    let mut merged: BTreeMap<(String, TeamId), Row> = BTreeMap::new();
    for row in rows {
        let key = (row.tier.clone(), row.team.clone());
        let Some(sum) = merged.get_mut(&key) else {
            merged.insert(key, row);
            continue;
        };
        sum.objective = sum.objective.max(row.objective);
        for (sum, count) in sum.counts.iter_mut().zip(row.counts) {
            sum.add(count);
        }
    }
    merged.into_values().collect()
}
