//! How an engine behaves.

use std::borrow::Cow;
use std::time::Duration;

/// Speed, memory and reports of an engine.
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
    /// Returns an engine of moderate speed that holds version `v1`, reports at once, checks
    /// fencing numbers, and is down for 500 ms after a crash.
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

    /// Sets the version that the engine holds at its start.
    #[must_use]
    pub fn version(mut self, version: impl Into<Cow<'static, str>>) -> Self {
        self.version = version.into();
        self
    }

    /// Sets the time of a step up to the knee, without prefill.
    #[must_use]
    pub const fn token_time(mut self, time: Duration) -> Self {
        self.token_time = time;
        self
    }

    /// Sets the time that each prompt token adds to a step.
    #[must_use]
    pub const fn prefill_time(mut self, time: Duration) -> Self {
        self.prefill_time = time;
        self
    }

    /// Sets the number of prompt tokens processed in one step.
    #[must_use]
    pub const fn prefill_budget(mut self, tokens: usize) -> Self {
        self.prefill_budget = tokens;
        self
    }

    /// Sets the number of running requests past which a step takes longer in proportion.
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

    /// Sets how far the load report lags.
    #[must_use]
    pub const fn load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets how late cache events are published.
    #[must_use]
    pub const fn event_lag(mut self, lag: Duration) -> Self {
        self.event_lag = lag;
        self
    }

    /// Sets the share of cache events that are lost, from 0 to 1.
    #[must_use]
    pub const fn event_gaps(mut self, fraction: f64) -> Self {
        self.event_gaps = fraction;
        self
    }

    /// Sets the time that an order to load takes.
    #[must_use]
    pub const fn load_time(mut self, time: Duration) -> Self {
        self.load_time = time;
        self
    }

    /// Sets whether an order with an old fencing number is refused.
    #[must_use]
    pub const fn fencing(mut self, checked: bool) -> Self {
        self.fencing = checked;
        self
    }

    /// Sets how long the engine refuses connections after a poisonous request has crashed it.
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

/// How a version fails.
///
/// Faults apply to a request that meets all conditions: the version has run `after` requests, the
/// batch holds at least `above` requests, and the body holds `marker`.
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
    /// Returns a version that never fails.
    pub const fn new() -> Self {
        let marker = Cow::Borrowed("");
        Self { errors: 0.0, cuts: 0.0, slow: 1.0, after: 0, above: 0, marker }
    }

    /// Sets the share of requests that end in status 500, from 0 to 1.
    #[must_use]
    pub const fn errors(mut self, fraction: f64) -> Self {
        self.errors = fraction;
        self
    }

    /// Sets the share of requests that are cut after half their tokens, from 0 to 1.
    #[must_use]
    pub const fn cuts(mut self, fraction: f64) -> Self {
        self.cuts = fraction;
        self
    }

    /// Sets how many steps each token takes, at least 1.
    #[must_use]
    pub const fn slow(mut self, factor: f64) -> Self {
        self.slow = factor;
        self
    }

    /// Sets the number of requests that run without faults first.
    #[must_use]
    pub const fn after(mut self, requests: u64) -> Self {
        self.after = requests;
        self
    }

    /// Sets the size of the batch from which faults apply.
    #[must_use]
    pub const fn above(mut self, batch: usize) -> Self {
        self.above = batch;
        self
    }

    /// Sets the text that a body must hold for faults to apply.
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
