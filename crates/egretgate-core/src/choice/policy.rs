//! Policies for the choice of an upstream.

/// How an upstream is chosen among those that run the service and version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// A random upstream.
    Random,
    /// The upstream with the fewest of the entry's own requests in flight, among all.
    LeastInFlight,
    /// The one of two random upstreams with fewer own requests in flight (Mitzenmacher 2001).
    TwoChoices,
    /// The lowest latency among a few random upstreams without the hot ones, which have the most
    /// requests in flight (Prequal, NSDI '24).
    Prequal,
    /// Prefix affinity with bounded loads (Mirrokni et al., SODA '18), compared with sampled
    /// upstreams by predicted time to first token; the entry's own zone is preferred.
    #[default]
    Affinity,
}

impl Policy {
    /// Every policy, for comparisons.
    pub const ALL: [Self; 5] =
        [Self::Random, Self::LeastInFlight, Self::TwoChoices, Self::Prequal, Self::Affinity];

    /// Returns the name used in tables and settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastInFlight => "least-in-flight",
            Self::TwoChoices => "two-choices",
            Self::Prequal => "prequal",
            Self::Affinity => "affinity",
        }
    }
}
