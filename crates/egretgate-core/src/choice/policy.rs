//! The closed set of policies.

/// How an upstream is chosen among those that hold the service and version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Any, at random.
    Random,
    /// The one with the fewest own requests in flight, over all of them.
    LeastInFlight,
    /// The better of two random ones by own requests in flight (Mitzenmacher 2001).
    TwoChoices,
    /// Hot and cold by requests in flight, then least latency (Prequal, NSDI '24).
    Prequal,
    /// Prefix affinity under a load bound (Mirrokni et al., SODA '18) against sampled upstreams,
    /// by predicted time to first token; own zone first.
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
