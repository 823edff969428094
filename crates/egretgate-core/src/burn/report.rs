//! Report of burn rates by tier and by team.

use serde::Serialize;

use super::{Count, Row, WINDOWS};
use crate::ids::TeamId;

/// Burn rate above which the fast alert fires: 2% of a 30-day budget in an hour.
const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate above which the slow alert fires: 5% of a 30-day budget in 6 hours.
const SLOW_BURN_RATE: f64 = 6.0;

/// Positions in [`WINDOWS`].
const FIVE_MINUTES: usize = 0;
const HALF_HOUR: usize = 1;
const HOUR: usize = 2;
const SIX_HOURS: usize = 3;

/// Alert on a burn rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// Above 14.4 in both the last hour and the last 5 minutes.
    Fast,
    /// Above 6 in both the last 6 hours and the last 30 minutes.
    Slow,
}

/// Burn rates of one tier, or of one team in it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportLine {
    /// Name of the tier.
    pub tier: String,
    /// Name of the team; `None` for the tier as a whole.
    pub team: Option<TeamId>,
    /// Fraction of requests that must be good.
    pub objective: f64,
    /// Good requests in the longest window.
    pub good: u64,
    /// Bad requests in the longest window.
    pub bad: u64,
    /// Fraction of the longest window's error budget that is left; negative if it is exceeded.
    pub left: f64,
    /// Burn rates over [`WINDOWS`], shortest first.
    pub burn: [f64; WINDOWS.len()],
    /// Active alert, if any.
    pub alert: Option<Alert>,
}

/// Burn rates by tier and by team.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// Lengths of the windows, in seconds.
    pub windows_s: [u64; WINDOWS.len()],
    /// One line for each tier, by name.
    pub tiers: Vec<ReportLine>,
    /// One line for each team in each tier, by tier and team.
    pub teams: Vec<ReportLine>,
}

impl Alert {
    /// Returns the name used in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Slow => "slow",
        }
    }

    fn of(rates: &[f64; WINDOWS.len()]) -> Option<Self> {
        if rates[HOUR] > FAST_BURN_RATE && rates[FIVE_MINUTES] > FAST_BURN_RATE {
            Some(Self::Fast)
        } else if rates[SIX_HOURS] > SLOW_BURN_RATE && rates[HALF_HOUR] > SLOW_BURN_RATE {
            Some(Self::Slow)
        } else {
            None
        }
    }
}

/// Returns the report on `rows`, which must be in the order that [`super::merge`] returns.
pub fn build_report(rows: &[Row]) -> BurnReport {
    let teams = rows.iter().map(|row| report_line(row, Some(row.team.clone()))).collect();
    let tiers = rows.chunk_by(|a, b| a.tier == b.tier).map(sum).map(|row| report_line(&row, None));
    let windows_s = WINDOWS.map(|window| window.as_secs());
    BurnReport { windows_s, tiers: tiers.collect(), teams }
}

/// Returns the sum of rows of one tier.
fn sum(rows: &[Row]) -> Row {
    let mut sum = Row { counts: Default::default(), ..rows[0].clone() };
    for row in rows {
        sum.objective = sum.objective.max(row.objective);
        for (sum, count) in sum.counts.iter_mut().zip(row.counts) {
            sum.add(count);
        }
    }
    sum
}

fn report_line(row: &Row, team: Option<TeamId>) -> ReportLine {
    let burn = row.counts.map(|count| count.burn_rate(row.objective));
    let Count { good, bad } = row.counts[SIX_HOURS];
    ReportLine {
        tier: row.tier.clone(),
        team,
        objective: row.objective,
        good,
        bad,
        left: 1.0 - burn[SIX_HOURS],
        burn,
        alert: Alert::of(&burn),
    }
}
