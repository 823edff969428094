//! Adaptive concurrency limits in requests and tokens.
//!
//! The limits derive only from times that the side process measures: dispatch to first token, and
//! between tokens. Load reports of engines lag and are not used.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use egretgate_core::limit::{Limit, LimitOptions};
//!
//! let now = Instant::now();
//! let mut limit = Limit::new(LimitOptions::default(), now);
//! limit.record_start(420, now);
//! limit.record_first_token(120, Duration::from_millis(40), now);
//! limit.record_next_token(Duration::from_millis(12), now);
//! assert_eq!(limit.headroom().requests, 3);
//! assert_eq!(limit.estimate(now).inter_token_seconds, 0.012);
//! limit.record_end(420, 122, Duration::from_millis(52));
//! assert_eq!(limit.headroom().requests, 4);
//! ```

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::ids::{Ticket, Tier};

mod length;
mod linear_fit;
mod reservation;

pub use length::LengthPredictor;
use linear_fit::LinearFit;
pub use reservation::Reservation;

/// Histogram units per score of 1. A score is a measured time divided by its target.
const SCORE_SCALE: f64 = 1000.0;
/// Highest recorded score, in histogram units; higher scores are recorded as this.
const MAX_SCORE: u64 = 64_000;
/// Quantile of the scores that must be within the target.
const TARGET_QUANTILE: f64 = 0.95;
/// Score below which the limits rise.
const RAISE_BELOW_SCORE: f64 = 0.9;
/// Relative decrease of a limit per unit by which the score exceeds 1.
const CUT_STRENGTH: f64 = 0.5;
/// Factor of the largest decrease of a limit in one step.
const MIN_CUT_FACTOR: f64 = 0.5;
/// Factor of the smallest decrease of a limit in one step.
const MAX_CUT_FACTOR: f64 = 0.95;
/// Fraction of a limit that must have been in use for it to rise.
const MIN_UTILIZATION: f64 = 0.8;
/// Fraction of a limit reserved for more urgent work while such work is being offered.
const RESERVED_FRACTION: f64 = 0.25;
/// Increase in one step after slow start, as a fraction of the limit.
const RAISE_FRACTION: f64 = 1.0 / 32.0;
/// Samples of one kind, times to first token or inter-token latencies, needed for a decrease.
const MIN_CUT_SAMPLES: u64 = 20;
/// First tokens needed in a window for an increase.
const MIN_RAISE_FIRST_TOKENS: u64 = 4;
/// Weight of a new measurement in the running means.
const MEAN_GAIN: f64 = 0.05;
/// Prompt length, in tokens, from which the time per prompt token is learned.
const MIN_PROMPT_TOKENS: u32 = 32;
/// Limit in requests up to which measurements count as unloaded.
const UNLOADED_REQUESTS: f64 = 2.0;
/// The first-token target is at least this multiple of the unloaded time to first token.
const FIRST_TOKEN_FACTOR: f64 = 2.0;
/// Time since the last first token after which half of the learned delay beyond the unloaded time
/// is forgotten, while nothing runs.
const DELAY_HALF_AGE: Duration = Duration::from_secs(1);
/// Factor by which the unloaded latency rises at each decision while unloaded, so that it is
/// learned anew.
const UNLOADED_DRIFT: f64 = 1.1;

/// Capacity for new starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Headroom {
    /// Requests that may start.
    pub requests: u32,
    /// Tokens that may start; work with more tokens starts only if nothing runs.
    pub tokens: u64,
    /// Running requests.
    pub running: u32,
    /// True while a suspect runs, during which nothing else starts.
    pub exclusive: bool,
}

/// Expected speed of the upstream. The default expects no delay at all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Part of the time to first token that does not depend on the prompt.
    pub base: Duration,
    /// Prefill time for each prompt token, in seconds.
    pub prefill_seconds: f64,
    /// Inter-token latency, in seconds.
    pub inter_token_seconds: f64,
    /// Tokens of prompts and answers finished per second when the limit is fully used.
    pub token_rate: f64,
    /// Time until a running request ends; zero while there is headroom.
    pub slot_wait: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            base: Duration::ZERO,
            prefill_seconds: 0.0,
            inter_token_seconds: 0.0,
            token_rate: f64::INFINITY,
            slot_wait: Duration::ZERO,
        }
    }
}

impl Estimate {
    /// Upper bound of every estimated time.
    pub const MAX_TIME: Duration = Duration::from_hours(24);
    /// Relative change of speed up to which queued work isn't evaluated again.
    pub const SPEED_TOLERANCE: f64 = 1.0 / 32.0;

    /// Returns the time from start to the end of the answer.
    pub fn service_time(&self, prompt: u32, output: u32) -> Duration {
        let token_seconds =
            self.prefill_seconds * f64::from(prompt) + self.inter_token_seconds * f64::from(output);
        self.base + bounded_duration(token_seconds)
    }

    /// Returns the time until `ahead` tokens of queued work have been started.
    pub fn wait_time(&self, ahead: u64) -> Duration {
        if ahead == 0 {
            return self.slot_wait;
        }
        self.slot_wait + bounded_duration(ahead as f64 / self.token_rate)
    }

    /// Returns the time to first token of a new request behind `ahead` queued tokens.
    pub fn first_token_time(&self, ahead: u64, prompt: u32) -> Duration {
        self.wait_time(ahead) + self.service_time(prompt, 0)
    }

    /// Returns the estimate for several upstreams behind one queue: the lowest of each time, so
    /// that no request is refused that one of them could finish, and the sum of their rates.
    pub fn combine(estimates: impl IntoIterator<Item = Self>) -> Option<Self> {
        estimates.into_iter().reduce(|one, other| Self {
            base: one.base.min(other.base),
            prefill_seconds: one.prefill_seconds.min(other.prefill_seconds),
            inter_token_seconds: one.inter_token_seconds.min(other.inter_token_seconds),
            token_rate: one.token_rate + other.token_rate,
            slot_wait: one.slot_wait.min(other.slot_wait),
        })
    }

    /// Returns true if the components of the service time are within [`Estimate::SPEED_TOLERANCE`]
    /// of those of `other`.
    pub fn is_near(&self, other: &Self) -> bool {
        is_near(self.base.as_secs_f64(), other.base.as_secs_f64())
            && is_near(self.prefill_seconds, other.prefill_seconds)
            && is_near(self.inter_token_seconds, other.inter_token_seconds)
    }
}

fn is_near(one: f64, other: f64) -> bool {
    (one - other).abs() <= Estimate::SPEED_TOLERANCE * one.max(other)
}

/// Returns a time of `seconds`, at most [`Estimate::MAX_TIME`]; zero if it is negative.
fn bounded_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0))
        .map_or(Estimate::MAX_TIME, |time| time.min(Estimate::MAX_TIME))
}

/// Targets and bounds of a [`Limit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitOptions {
    /// Target for the time from dispatch to first token.
    pub first_token: Duration,
    /// Target for the inter-token latency.
    pub inter_token: Duration,
    /// Initial limit in requests; the limit in tokens starts at the same fraction of its maximum.
    pub initial: u32,
    /// Upper bound of the limit in requests.
    pub max_requests: u32,
    /// Upper bound of the limit in tokens of prompts and answers: the size of the engine's KV
    /// cache.
    pub max_tokens: u64,
    /// Minimum time between two decisions.
    pub window: Duration,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(380),
            inter_token: Duration::from_millis(34),
            initial: 4,
            max_requests: 256,
            max_tokens: 1 << 20,
            window: Duration::from_millis(250),
        }
    }
}

/// One of the two limits, in requests or in tokens.
#[derive(Debug, Clone)]
struct AdaptiveBound {
    /// Current limit, in `min..=max`.
    value: f64,
    min: f64,
    max: f64,
    /// Amount in use.
    used: f64,
    /// Largest amount in use since the last decision.
    peak: f64,
    /// Mean amount in use, sampled at each measurement since the last decision.
    mean: f64,
    /// Number of these samples.
    samples: f64,
}

impl AdaptiveBound {
    fn new(initial: f64, min: f64, max: f64) -> Self {
        let max = max.max(min);
        let value = initial.clamp(min, max);
        Self { value, min, max, used: 0.0, peak: 0.0, mean: 0.0, samples: 0.0 }
    }

    fn acquire(&mut self, amount: f64) {
        self.used += amount;
        self.peak = self.peak.max(self.used);
    }

    fn release(&mut self, amount: f64) {
        self.used = (self.used - amount).max(0.0);
    }

    fn available(&self) -> f64 {
        (self.value - self.used).max(0.0)
    }

    fn sample(&mut self) {
        self.samples += 1.0;
        self.mean += (self.used - self.mean) / self.samples;
    }

    /// Raises the limit if it was nearly reached. `unused` is the amount that stays free even when
    /// the limit is reached.
    fn raise(&mut self, slow_start: bool, unused: f64) {
        if self.mean < MIN_UTILIZATION * (self.value - unused) {
            return;
        }
        let step =
            if slow_start { self.value } else { (self.value * RAISE_FRACTION).max(self.min) };
        self.value = (self.value + step).min(self.max);
    }

    fn cut(&mut self, factor: f64) {
        let from = self.value.min(self.peak.max(self.min));
        self.value = (from * factor).max(self.min);
    }

    fn open_window(&mut self) {
        self.peak = self.used;
        self.mean = 0.0;
        self.samples = 0.0;
    }
}

/// Change of the limits that a window's measurements call for.
#[derive(Debug, Clone, Copy)]
enum Adjustment {
    /// No change: more requests ran than the limit allows, as after a cut, so the effect of the cut
    /// can't be measured yet.
    AwaitEffect,
    /// A decrease by this factor.
    Cut(f64),
    /// An increase.
    Raise,
    /// No change: the score is close to the target, or there are too few first tokens.
    Hold,
}

/// Lowest latencies measured, in seconds; infinite until there is one.
#[derive(Debug, Clone, Copy)]
struct UnloadedLatency {
    /// Time to first token.
    first_token: f64,
    /// Time per prompt token.
    per_token: f64,
}

impl UnloadedLatency {
    const NONE: Self = Self { first_token: f64::INFINITY, per_token: f64::INFINITY };

    fn add(&mut self, prompt: u32, seconds: f64) {
        self.first_token = self.first_token.min(seconds);
        if prompt >= MIN_PROMPT_TOKENS {
            self.per_token = self.per_token.min(seconds / f64::from(prompt));
        }
    }

    fn drift(&mut self) {
        self.first_token *= UNLOADED_DRIFT;
        self.per_token *= UNLOADED_DRIFT;
    }

    /// Returns the unloaded time to first token for a prompt; components without a measurement
    /// count as zero.
    fn first_token_time(&self, prompt: u32) -> f64 {
        let or_zero = |value: f64| if value.is_finite() { value } else { 0.0 };
        or_zero(self.first_token) + or_zero(self.per_token) * f64::from(prompt)
    }
}

/// Learned limits of one upstream, with the estimates that derive from the same measurements.
///
/// The limits follow additive increase and multiplicative decrease. A decrease is proportional to
/// the excess of the 95th percentile over the target, as for the credits of Breakwater (Cho et al.,
/// OSDI '20). A limit rises only while it is nearly reached; it doubles until a target is first
/// exceeded, then rises by 1/32 or its minimum, whichever is more. The first-token target is at
/// least twice the unloaded time for the prompt, so that long prompts and slow calls cause no
/// decrease.
///
/// The unloaded time is learned as TCP Vegas learns its base round-trip time (Brakmo and Peterson,
/// 1995), the idea behind the gradient of Netflix's concurrency-limits. It is raised only while the
/// limit is so low that nothing delays a prompt: under load the minimum would rise with the very
/// delays that it serves to detect.
#[derive(Debug, Clone)]
pub struct Limit {
    options: LimitOptions,
    requests: AdaptiveBound,
    tokens: AdaptiveBound,
    /// Scores of the times to first token since the last decision.
    first_token_scores: Histogram<u32>,
    /// Scores of the inter-token latencies since the last decision.
    inter_token_scores: Histogram<u32>,
    /// True if work was held back for the reservation since the last decision.
    held_back: bool,
    /// True until a target is first exceeded.
    slow_start: bool,
    /// Start of the current window.
    window_start: Instant,
    /// Time to first token by prompt length, under recent load.
    first_token_fit: LinearFit,
    /// Time of the last first token; `None` until there is one.
    last_first_token: Option<Instant>,
    /// Lowest time to first token and time per prompt token.
    unloaded: UnloadedLatency,
    /// Mean inter-token latency, in seconds.
    inter_token: Option<f64>,
    /// Mean number of tokens of completed requests.
    mean_tokens: Option<f64>,
    /// Mean duration of completed requests, in seconds.
    mean_time: Option<f64>,
}

impl Limit {
    /// Returns the limit of an upstream that has just started, in slow start.
    pub fn new(options: LimitOptions, now: Instant) -> Self {
        let scores = || Histogram::new_with_bounds(1, MAX_SCORE, 2).expect("bounds are valid");
        let initial = f64::from(options.initial.max(1));
        let tokens = options.max_tokens as f64 * initial / f64::from(options.max_requests.max(1));
        Self {
            options,
            requests: AdaptiveBound::new(initial, 1.0, f64::from(options.max_requests)),
            tokens: AdaptiveBound::new(tokens, 1024.0, options.max_tokens as f64),
            first_token_scores: scores(),
            inter_token_scores: scores(),
            held_back: false,
            slow_start: true,
            window_start: now,
            first_token_fit: LinearFit::new(),
            last_first_token: None,
            unloaded: UnloadedLatency::NONE,
            inter_token: None,
            mean_tokens: None,
            mean_time: None,
        }
    }

    /// Sets the targets and the upper bound in requests, at least 1.
    pub fn set_targets(&mut self, first_token: Duration, inter_token: Duration, max_requests: u32) {
        self.options = LimitOptions { first_token, inter_token, max_requests, ..self.options };
        self.requests.max = f64::from(max_requests.max(1));
        self.requests.value = self.requests.value.min(self.requests.max);
    }

    /// Returns to slow start after the upstream has restarted, with nothing running. Learned
    /// latencies and means are kept.
    pub fn restart(&mut self, now: Instant) {
        let fresh = Self::new(self.options, now);
        let old = std::mem::replace(self, fresh);
        let Self { first_token_fit, last_first_token, unloaded, inter_token, .. } = old;
        let Self { mean_tokens, mean_time, .. } = old;
        self.first_token_fit = first_token_fit;
        self.last_first_token = last_first_token;
        self.unloaded = unloaded;
        self.inter_token = inter_token;
        self.mean_tokens = mean_tokens;
        self.mean_time = mean_time;
    }

    /// Records the dispatch of a request with `tokens` tokens: its prompt and the estimated answer.
    pub fn record_start(&mut self, tokens: u64, now: Instant) {
        self.first_token_fit = self.faded_fit(now);
        self.requests.acquire(1.0);
        self.tokens.acquire(tokens as f64);
    }

    /// Records a first token, `took` after dispatch.
    pub fn record_first_token(&mut self, prompt: u32, took: Duration, now: Instant) {
        let seconds = took.as_secs_f64();
        self.first_token_fit.add(f64::from(prompt), seconds);
        self.last_first_token = Some(now);
        self.unloaded.add(prompt, seconds);
        let score = seconds / self.first_token_target(prompt);
        self.first_token_scores.saturating_record(scale_score(score));
        self.decide(now);
    }

    /// Records a later token, `interval` after the previous token.
    pub fn record_next_token(&mut self, interval: Duration, now: Instant) {
        let seconds = interval.as_secs_f64();
        update_mean(&mut self.inter_token, seconds);
        let score = seconds / self.options.inter_token.as_secs_f64();
        self.inter_token_scores.saturating_record(scale_score(score));
        self.decide(now);
    }

    /// Records the end of a request that was started with `tokens`, `took` after dispatch.
    ///
    /// `actual` is the number of tokens of its prompt and answer.
    pub fn record_end(&mut self, tokens: u64, actual: u64, took: Duration) {
        self.requests.release(1.0);
        self.tokens.release(tokens as f64);
        update_mean(&mut self.mean_tokens, actual as f64);
        update_mean(&mut self.mean_time, took.as_secs_f64());
    }

    /// Records the end of a request that failed or was cancelled; its times don't count.
    pub fn record_failure(&mut self, tokens: u64) {
        self.requests.release(1.0);
        self.tokens.release(tokens as f64);
    }

    /// Returns the capacity for new starts. The caller sets `exclusive` while a suspect runs.
    pub fn headroom(&self) -> Headroom {
        Headroom {
            requests: self.requests.available().floor() as u32,
            tokens: self.tokens.available().floor() as u64,
            running: self.requests.used as u32,
            exclusive: false,
        }
    }

    /// Returns true if work may start without using the fraction of the limits reserved for more
    /// urgent work. Always true while nothing runs.
    pub fn keeps_reservation(&self) -> bool {
        let within = |bound: &AdaptiveBound| bound.used < bound.value * (1.0 - RESERVED_FRACTION);
        self.requests.used < 1.0 || within(&self.requests) && within(&self.tokens)
    }

    /// Records that work was held back because [`Limit::keeps_reservation`] was false.
    pub const fn mark_held_back(&mut self) {
        self.held_back = true;
    }

    /// Returns the limit in requests.
    pub fn requests(&self) -> u32 {
        self.requests.value as u32
    }

    /// Returns the limit in tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens.value as u64
    }

    /// Returns the expected speed of the upstream.
    pub fn estimate(&self, now: Instant) -> Estimate {
        let (base, prefill) = self.faded_fit(now).fit();
        Estimate {
            base: bounded_duration(base),
            prefill_seconds: prefill,
            inter_token_seconds: self.inter_token.unwrap_or(0.0),
            token_rate: self.token_rate(),
            slot_wait: self.slot_wait(),
        }
    }

    /// Returns the times to first token as expected at `now`.
    ///
    /// While nothing runs, the learned delay fades to the unloaded time: an upstream that is
    /// avoided for its delay would otherwise never show that the delay is over.
    fn faded_fit(&self, now: Instant) -> LinearFit {
        let mut fit = self.first_token_fit.clone();
        if self.requests.used < 1.0
            && let Some(last) = self.last_first_token
        {
            let age = now.saturating_duration_since(last).as_secs_f64();
            let kept = 0.5_f64.powf(age / DELAY_HALF_AGE.as_secs_f64());
            fit.fade(kept, |prompt| self.unloaded.first_token_time(prompt as u32));
        }
        fit
    }

    /// Returns the number of tokens finished per second when the limit is reached, by Little's law.
    fn token_rate(&self) -> f64 {
        let (Some(tokens), Some(time)) = (self.mean_tokens, self.mean_time) else {
            return f64::INFINITY;
        };
        let concurrency = self.requests.value.min(self.tokens.value / tokens.max(1.0)).max(1.0);
        concurrency * tokens / time.max(f64::MIN_POSITIVE)
    }

    /// Returns the mean time until one of the running requests ends; zero while there is headroom.
    fn slot_wait(&self) -> Duration {
        let has_headroom = self.requests.available() >= 1.0 && self.tokens.available() >= 1.0;
        match self.mean_time {
            Some(seconds) if !has_headroom => {
                bounded_duration(seconds / self.requests.used.max(1.0))
            }
            _ => Duration::ZERO,
        }
    }

    fn first_token_target(&self, prompt: u32) -> f64 {
        let unloaded = self.unloaded.first_token_time(prompt);
        self.options.first_token.as_secs_f64().max(FIRST_TOKEN_FACTOR * unloaded)
    }

    fn decide(&mut self, now: Instant) {
        self.requests.sample();
        self.tokens.sample();
        let passed = now.saturating_duration_since(self.window_start);
        let samples = self.first_token_scores.len().max(self.inter_token_scores.len());
        if passed < self.options.window || samples < MIN_CUT_SAMPLES {
            return;
        }
        self.adjust();
        self.window_start = now;
        self.requests.open_window();
        self.tokens.open_window();
        self.held_back = false;
        if self.requests.value <= UNLOADED_REQUESTS {
            self.unloaded.drift();
        }
    }

    fn adjust(&mut self) {
        let adjustment = self.next_adjustment();
        match adjustment {
            Adjustment::Cut(factor) => self.cut(factor),
            Adjustment::Raise => self.raise(),
            Adjustment::AwaitEffect | Adjustment::Hold => {}
        }
        self.inter_token_scores.reset();
        if !matches!(adjustment, Adjustment::Hold)
            || self.first_token_scores.len() >= MIN_CUT_SAMPLES
        {
            self.first_token_scores.reset();
        }
    }

    fn next_adjustment(&self) -> Adjustment {
        let cut_score = |scores: &Histogram<u32>| {
            if scores.len() < MIN_CUT_SAMPLES { 0.0 } else { quantile_score(scores) }
        };
        let excess =
            cut_score(&self.first_token_scores).max(cut_score(&self.inter_token_scores)) - 1.0;
        let score =
            quantile_score(&self.first_token_scores).max(quantile_score(&self.inter_token_scores));
        if self.requests.peak > self.requests.value {
            Adjustment::AwaitEffect
        } else if excess > 0.0 {
            Adjustment::Cut((1.0 - CUT_STRENGTH * excess).clamp(MIN_CUT_FACTOR, MAX_CUT_FACTOR))
        } else if score < RAISE_BELOW_SCORE
            && self.first_token_scores.len() >= MIN_RAISE_FIRST_TOKENS
        {
            Adjustment::Raise
        } else {
            Adjustment::Hold
        }
    }

    fn cut(&mut self, factor: f64) {
        self.requests.cut(factor);
        self.tokens.cut(factor);
        self.slow_start = false;
    }

    fn raise(&mut self) {
        // Reserved capacity counts as in use: otherwise the limit could never rise while work is
        // held back for it.
        let reserved = if self.held_back { RESERVED_FRACTION } else { 0.0 };
        let fraction = self.requests.value.fract();
        self.requests.raise(self.slow_start, fraction + reserved * self.requests.value);
        let cost = self.mean_tokens.unwrap_or(0.0);
        self.tokens.raise(self.slow_start, cost + reserved * self.tokens.value);
    }
}

/// Returns the score at [`TARGET_QUANTILE`]; 0 without samples.
fn quantile_score(scores: &Histogram<u32>) -> f64 {
    scores.value_at_quantile(TARGET_QUANTILE) as f64 / SCORE_SCALE
}

fn scale_score(score: f64) -> u64 {
    ((score * SCORE_SCALE) as u64).clamp(1, MAX_SCORE)
}

fn update_mean(mean: &mut Option<f64>, value: f64) {
    *mean = Some(mean.map_or(value, |mean| mean + MEAN_GAIN * (value - mean)));
}

/// A running request, as a candidate for preemption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRequest {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Tier of the request.
    pub tier: Tier,
    /// Tokens generated so far.
    pub output_tokens: u32,
    /// True if the engine can resume its stream after the request is cancelled.
    pub resumable: bool,
}

/// Returns the running request to preempt so that work of tier `waiting` can start: it is cancelled
/// and resumed later.
///
/// It is of the lowest running tier, which must be lower than `waiting`, and has generated the
/// fewest tokens. Only requests that their engine can resume are preempted.
pub fn choose_victim(waiting: Tier, running: &[RunningRequest]) -> Option<Ticket> {
    running
        .iter()
        .filter(|request| request.resumable && request.tier > waiting)
        .max_by_key(|request| {
            (request.tier, std::cmp::Reverse(request.output_tokens), request.ticket)
        })
        .map(|request| request.ticket)
}
