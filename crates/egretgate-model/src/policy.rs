//! Policies of entries: the decisions of `egretgate-core`, and baselines to compare them with.

use std::str::FromStr;

use eyre::{Report, eyre};

/// Policy by which the entries of a run choose upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The decisions of `egretgate-core`, with reports between entries.
    Egretgate,
    /// The same without reports.
    Alone,
    /// A random upstream, without waiting; never refuses.
    Random,
    /// The upstream with the fewest requests of the entry, without waiting; never refuses.
    LeastInFlight,
    /// In the order of arrival, with at most the entry's share of each upstream's slots; never
    /// refuses.
    InOrder,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 5] =
        [Self::Egretgate, Self::Alone, Self::Random, Self::LeastInFlight, Self::InOrder];

    /// Returns the name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Egretgate => "egretgate",
            Self::Alone => "alone",
            Self::Random => "random",
            Self::LeastInFlight => "least-in-flight",
            Self::InOrder => "in-order",
        }
    }
}

impl FromStr for Policy {
    type Err = Report;

    fn from_str(name: &str) -> Result<Self, Report> {
        let found = Self::ALL.into_iter().find(|policy| policy.as_str() == name);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str).join(", ");
            eyre!("no policy {name}: there are {names}")
        })
    }
}
