//! Parameters of an engine and faults of a version.

use std::borrow::Cow;
use std::time::Duration;

/// Parameters of an engine: speed, cache size, report delays and order handling.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    pub(crate) version: Cow<'static, str>,
    pub(crate) token_time: Duration,
    pub(crate) prefill_time: Duration,
    pub(crate) prefill_budget: usize,
    pub(crate) knee: usize,
    pub(crate) cache_blocks: usize,
    pub(crate) load_lag: Duration,
    pub(crate) event_lag: Duration,
    pub(crate) event_gaps: f64,
    pub(crate) load_time: Duration,
    pub(crate) fencing: bool,
    pub(crate) down: Duration,
    pub(crate) seed: u64,
}

impl EngineSpec {
    /// Returns the default parameters: a step of 2 ms, a knee of 16 requests, version `v1` loaded,
    /// reports without delay, fencing numbers checked, 500 ms of downtime after a crash.
    pub const fn new() -> Self {
        Self {
            version: Cow::Borrowed("v1"),
            token_time: Duration::from_millis(2),
            prefill_time: Duration::from_micros(10),
            prefill_budget: 512,
            knee: 16,
            cache_blocks: 4096,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            event_gaps: 0.0,
            load_time: Duration::ZERO,
            fencing: true,
            down: Duration::from_millis(500),
            seed: 0,
        }
    }

    /// Sets the version loaded at start.
    #[must_use]
    pub fn version(mut self, version: impl Into<Cow<'static, str>>) -> Self {
        self.version = version.into();
        self
    }

    /// Sets the time of a step without prefill while at most [`knee`](Self::knee) requests generate.
    #[must_use]
    pub const fn token_time(mut self, time: Duration) -> Self {
        self.token_time = time;
        self
    }

    /// Sets the time that the prefill of one prompt token adds to a step.
    #[must_use]
    pub const fn prefill_time(mut self, time: Duration) -> Self {
        self.prefill_time = time;
        self
    }

    /// Sets the largest number of prompt tokens processed in one step.
    #[must_use]
    pub const fn prefill_budget(mut self, tokens: usize) -> Self {
        self.prefill_budget = tokens;
        self
    }

    /// Sets the number of generating requests beyond which a step takes longer in proportion.
    #[must_use]
    pub const fn knee(mut self, requests: usize) -> Self {
        self.knee = requests;
        self
    }

    /// Sets the size of the prefix cache, in blocks of 16 tokens.
    #[must_use]
    pub const fn cache_blocks(mut self, blocks: usize) -> Self {
        self.cache_blocks = blocks;
        self
    }

    /// Sets the age of the reported load.
    #[must_use]
    pub const fn load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets the delay before a cache event is published.
    #[must_use]
    pub const fn event_lag(mut self, lag: Duration) -> Self {
        self.event_lag = lag;
        self
    }

    /// Sets the fraction of cache events that are never published, from 0 to 1.
    #[must_use]
    pub const fn event_gaps(mut self, fraction: f64) -> Self {
        self.event_gaps = fraction;
        self
    }

    /// Sets the time that loading a version takes.
    #[must_use]
    pub const fn load_time(mut self, time: Duration) -> Self {
        self.load_time = time;
        self
    }

    /// Sets whether an order with an outdated fencing number is refused.
    #[must_use]
    pub const fn fencing(mut self, checked: bool) -> Self {
        self.fencing = checked;
        self
    }

    /// Sets the downtime after a crash caused by a poisonous request.
    #[must_use]
    pub const fn down(mut self, down: Duration) -> Self {
        self.down = down;
        self
    }

    /// Sets the seed of the engine's random faults.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self::new()
    }
}

/// Faults of a version.
///
/// Faults apply to requests for which all conditions hold: the version has run more than `after`
/// requests, this one included, the batch holds at least `above` requests, and the body contains
/// `marker`.
#[derive(Debug, Clone)]
pub struct VersionFaults {
    pub(crate) errors: f64,
    pub(crate) cuts: f64,
    pub(crate) slow: f64,
    pub(crate) after: u64,
    pub(crate) above: usize,
    pub(crate) marker: Cow<'static, str>,
}

impl VersionFaults {
    /// Returns an empty set of faults.
    pub const fn new() -> Self {
        let marker = Cow::Borrowed("");
        Self { errors: 0.0, cuts: 0.0, slow: 1.0, after: 0, above: 0, marker }
    }

    /// Sets the fraction of requests that are answered with status 500, from 0 to 1.
    #[must_use]
    pub const fn errors(mut self, fraction: f64) -> Self {
        self.errors = fraction;
        self
    }

    /// Sets the fraction of requests whose connection is closed after half of their tokens, from 0
    /// to 1.
    #[must_use]
    pub const fn cuts(mut self, fraction: f64) -> Self {
        self.cuts = fraction;
        self
    }

    /// Sets the number of steps that each token takes, at least 1.
    #[must_use]
    pub const fn slow(mut self, factor: f64) -> Self {
        self.slow = factor;
        self
    }

    /// Sets the number of initial requests that run without faults.
    #[must_use]
    pub const fn after(mut self, requests: u64) -> Self {
        self.after = requests;
        self
    }

    /// Sets the smallest batch at which faults apply.
    #[must_use]
    pub const fn above(mut self, batch: usize) -> Self {
        self.above = batch;
        self
    }

    /// Sets the text that a body must contain for faults to apply.
    #[must_use]
    pub fn marker(mut self, marker: impl Into<Cow<'static, str>>) -> Self {
        self.marker = marker.into();
        self
    }
}

impl Default for VersionFaults {
    fn default() -> Self {
        Self::new()
    }
}
