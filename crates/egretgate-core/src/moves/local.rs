//! The stop that an entry or side process applies at once to a failing version.

/// Consecutive failures at which a version is stopped.
///
/// A version that fails up to one request in ten independently shows such a run within ten
/// million requests with a probability below 0.001.
const RUN: u32 = 10;

/// How a request of the new version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Whole answer.
    Good,
    /// Answer with an error, or cut.
    Error,
    /// The upstream died.
    Crash,
}

/// Why a process stopped a version by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stop {
    /// The upstream died more than once while it ran the version.
    Crash,
    /// Requests failed one after the other.
    Run,
}

impl Stop {
    /// Returns the name used in records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::Run => "run-of-errors",
        }
    }
}

/// Watch over one version at one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct LocalStop {
    /// Failures since the last whole answer.
    run: u32,
    /// Deaths of upstreams that ran the version.
    crashes: u32,
    stopped: Option<Stop>,
}

impl LocalStop {
    /// Crashes at which a version is stopped: one may be the fault of a single request.
    const CRASHES: u32 = 2;

    /// Returns the watch of a version that has not run yet.
    pub const fn new() -> Self {
        Self { run: 0, crashes: 0, stopped: None }
    }

    /// Takes in how a request ended and returns the stop, which lasts once it is set.
    pub fn record(&mut self, outcome: Outcome) -> Option<Stop> {
        match outcome {
            Outcome::Good => self.run = 0,
            Outcome::Error => self.run += 1,
            Outcome::Crash => self.crashes += 1,
        }
        let stop = if self.crashes >= Self::CRASHES {
            Some(Stop::Crash)
        } else {
            (self.run >= RUN).then_some(Stop::Run)
        };
        self.stopped = self.stopped.or(stop);
        self.stopped
    }

    /// Returns why the version was stopped here.
    pub const fn stopped(&self) -> Option<Stop> {
        self.stopped
    }
}
