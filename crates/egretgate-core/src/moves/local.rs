//! Circuit breaker by which one entry or side process stops a failing version at once, without
//! waiting for the move's controller.

/// Number of consecutive failures at which a version is stopped.
///
/// If a version fails up to one request in ten, independently, the probability of such a run
/// within ten million requests is below 0.001.
const STOP_AFTER_FAILURES: u32 = 10;

/// How a request of the new version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered completely.
    Good,
    /// The answer was an error or was cut off.
    Error,
    /// The upstream crashed.
    Crash,
}

/// Why a process stopped a version by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopCause {
    /// Upstreams crashed more than once while they ran the version.
    Crash,
    /// Consecutive requests failed.
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

/// Circuit breaker of one version in one process; once open it stays open.
#[derive(Debug, Clone, Copy, Default)]
pub struct VersionBreaker {
    /// Errors since the last complete answer; crashes are counted separately.
    consecutive_failures: u32,
    /// Crashes of upstreams that ran the version.
    crashes: u32,
    stopped: Option<StopCause>,
}

impl VersionBreaker {
    /// Number of crashes at which a version is stopped: one crash may be caused by a single
    /// request.
    const STOP_AFTER_CRASHES: u32 = 2;

    /// Returns the breaker of a version that has not run yet.
    pub const fn new() -> Self {
        Self { consecutive_failures: 0, crashes: 0, stopped: None }
    }

    /// Records the end of a request, and returns why the version is stopped if it is.
    pub fn record(&mut self, outcome: RequestOutcome) -> Option<StopCause> {
        match outcome {
            RequestOutcome::Good => self.consecutive_failures = 0,
            RequestOutcome::Error => self.consecutive_failures += 1,
            RequestOutcome::Crash => self.crashes += 1,
        }
        let stop = if self.crashes >= Self::STOP_AFTER_CRASHES {
            Some(StopCause::Crash)
        } else {
            (self.consecutive_failures >= STOP_AFTER_FAILURES)
                .then_some(StopCause::ConsecutiveErrors)
        };
        self.stopped = self.stopped.or(stop);
        self.stopped
    }

    /// Returns why this process stopped the version.
    pub const fn cause(&self) -> Option<StopCause> {
        self.stopped
    }
}
