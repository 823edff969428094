//! The stop that an entry or side process applies at once to a failing version.

/// Consecutive failures at which a version is stopped.
///
/// A version that fails up to one request in ten independently shows such a run within ten
/// million requests with a probability below 0.001.
const MAX_CONSECUTIVE_FAILURES: u32 = 10;

/// How a request of the new version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Whole answer.
    Good,
    /// Answer with an error, or cut.
    Error,
    /// The upstream died.
    Crash,
}

/// Why a process stopped a version by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopCause {
    /// The upstream died more than once while it ran the version.
    Crash,
    /// Requests failed one after the other.
    ConsecutiveErrors,
}

impl StopCause {
    /// Returns the name used in records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::ConsecutiveErrors => "run-of-errors",
        }
    }
}

/// Watch over one version at one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct VersionBreaker {
    /// Failures since the last whole answer.
    consecutive_failures: u32,
    /// Deaths of upstreams that ran the version.
    crashes: u32,
    stopped: Option<StopCause>,
}

impl VersionBreaker {
    /// Crashes at which a version is stopped: one may be the fault of a single request.
    const MAX_CRASHES: u32 = 2;

    /// Returns the watch of a version that has not run yet.
    pub const fn new() -> Self {
        Self { consecutive_failures: 0, crashes: 0, stopped: None }
    }

    /// Takes in how a request ended and returns the stop, which lasts once it is set.
    pub fn record(&mut self, outcome: RequestOutcome) -> Option<StopCause> {
        match outcome {
            RequestOutcome::Good => self.consecutive_failures = 0,
            RequestOutcome::Error => self.consecutive_failures += 1,
            RequestOutcome::Crash => self.crashes += 1,
        }
        let stop = if self.crashes >= Self::MAX_CRASHES {
            Some(StopCause::Crash)
        } else {
            (self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES)
                .then_some(StopCause::ConsecutiveErrors)
        };
        self.stopped = self.stopped.or(stop);
        self.stopped
    }

    /// Returns why the version was stopped here.
    pub const fn cause(&self) -> Option<StopCause> {
        self.stopped
    }
}
