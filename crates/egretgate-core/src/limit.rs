//! Learned concurrency limits in requests and tokens.
//!
//! The limits come only from times that the side process measures itself, from dispatch to first
//! token and between tokens; load reports of engines lag and are not used.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::ids::{Ticket, Tier};

mod length;
mod line;

pub use length::Lengths;
use line::Line;

/// Scores are kept in thousandths of the target.
const SCALE: f64 = 1000.0;
/// Highest score kept.
const MAX_SCORE: u64 = 64_000;
/// Share of requests that must be within the target.
const QUANTILE: f64 = 0.95;
/// Score under which the limits rise.
const CALM: f64 = 0.9;
/// Strength of a decrease relative to the excess over the target.
const BETA: f64 = 0.5;
/// Largest decrease in one step.
const MAX_CUT: f64 = 0.5;
/// Smallest decrease in one step.
const MIN_CUT: f64 = 0.95;
/// Share of a limit that must have been in use for it to rise.
const BINDING: f64 = 0.8;
/// Increase in one step after the slow start, as a share of the limit.
const STEP: f64 = 1.0 / 32.0;
/// Samples of one kind that a decision needs.
const MIN_SAMPLES: u64 = 20;
/// Share of each new measurement in the running means.
const SHARE: f64 = 0.05;
/// Prompt tokens from which the time for a token is learned.
const MIN_PROMPT: u32 = 32;
/// Factor by which the unloaded time for a prompt token is forgotten at each decision.
const DRIFT: f64 = 1.002;

/// What may be started now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Requests that may start.
    pub requests: u32,
    /// Tokens that may start; work over it starts only if nothing runs.
    pub tokens: u64,
    /// Requests that run.
    pub running: u32,
    /// True while a suspect runs, beside which nothing starts.
    pub alone: bool,
}

/// What is expected of the upstream at this moment. The default expects no delay at all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Time to the first token without regard to the prompt.
    pub base: Duration,
    /// Time for each prompt token, in seconds.
    pub prefill: f64,
    /// Time between tokens, in seconds.
    pub between: f64,
    /// Tokens of prompts and answers finished in a second when the limit is in use.
    pub rate: f64,
    /// Time until a running request ends; zero while there is room.
    pub slot: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            base: Duration::ZERO,
            prefill: 0.0,
            between: 0.0,
            rate: f64::INFINITY,
            slot: Duration::ZERO,
        }
    }
}

impl Estimate {
    /// Longest time that is ever estimated.
    pub const LONGEST: Duration = Duration::from_hours(24);
    /// Relative change of speed under which waiting work isn't weighed anew.
    pub const TOLERANCE: f64 = 1.0 / 32.0;

    /// Returns the time from start to the end of the answer.
    pub fn service(&self, prompt: u32, output: u32) -> Duration {
        let tokens = self.prefill * f64::from(prompt) + self.between * f64::from(output);
        self.base + seconds(tokens)
    }

    /// Returns the time until `ahead` tokens of waiting work have been started.
    pub fn wait(&self, ahead: u64) -> Duration {
        if ahead == 0 {
            return self.slot;
        }
        self.slot + seconds(ahead as f64 / self.rate)
    }

    /// Returns the time to the first token of a new request behind `ahead` waiting tokens.
    pub fn first(&self, ahead: u64, prompt: u32) -> Duration {
        self.wait(ahead) + self.service(prompt, 0)
    }

    /// Returns true if the parts of the time of service are within [`Estimate::TOLERANCE`] of
    /// those of `other`.
    pub fn is_near(&self, other: &Self) -> bool {
        is_near(self.base.as_secs_f64(), other.base.as_secs_f64())
            && is_near(self.prefill, other.prefill)
            && is_near(self.between, other.between)
    }
}

fn is_near(one: f64, other: f64) -> bool {
    (one - other).abs() <= Estimate::TOLERANCE * one.max(other)
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).map_or(Estimate::LONGEST, |time| time.min(Estimate::LONGEST))
}

/// Targets and bounds of a [`Limit`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitOptions {
    /// Longest time from dispatch to first token.
    pub first: Duration,
    /// Longest time between tokens.
    pub between: Duration,
    /// Limits after a start.
    pub initial: u32,
    /// Upper bound in requests.
    pub requests: u32,
    /// Upper bound in tokens of prompts and answers, the size of the engine's KV cache.
    pub tokens: u64,
    /// Shortest time between two decisions.
    pub window: Duration,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(380),
            between: Duration::from_millis(34),
            initial: 4,
            requests: 256,
            tokens: 1 << 20,
            window: Duration::from_millis(250),
        }
    }
}

/// One of the two limits.
#[derive(Debug, Clone)]
struct Bound {
    /// At least `least`, at most `most`.
    value: f64,
    least: f64,
    most: f64,
    /// Amount in use.
    used: f64,
    /// Largest amount in use since the last decision.
    peak: f64,
}

impl Bound {
    fn new(initial: f64, least: f64, most: f64) -> Self {
        let most = most.max(least);
        Self { value: initial.clamp(least, most), least, most, used: 0.0, peak: 0.0 }
    }

    fn take(&mut self, amount: f64) {
        self.used += amount;
        self.peak = self.peak.max(self.used);
    }

    fn give(&mut self, amount: f64) {
        self.used = (self.used - amount).max(0.0);
    }

    fn free(&self) -> f64 {
        (self.value - self.used).max(0.0)
    }

    fn raise(&mut self, fast: bool) {
        if self.peak < BINDING * self.value {
            return;
        }
        let step = if fast { self.value } else { (self.value * STEP).max(self.least) };
        self.value = (self.value + step).min(self.most);
    }

    fn cut(&mut self, factor: f64) {
        let from = self.value.min(self.peak.max(self.least));
        self.value = (from * factor).max(self.least);
    }

    fn restart_peak(&mut self) {
        self.peak = self.used;
    }
}

/// Learned limits of one upstream, with the estimates that come out of the same measurements.
///
/// Additive increase and multiplicative decrease, where a decrease follows the excess of the 95th
/// percentile over the target, as the credits of Breakwater do (Cho et al., OSDI '20). A limit
/// rises only while it binds, and doubles until the first excess. The first-token target of a long
/// prompt is at least twice its unloaded prefill, learned as TCP Vegas learns its base round trip
/// (Brakmo and Peterson, 1995), the idea behind the gradient of Netflix's concurrency-limits.
#[derive(Debug, Clone)]
pub struct Limit {
    options: LimitOptions,
    requests: Bound,
    tokens: Bound,
    /// Scores of first tokens since the last decision.
    firsts: Histogram<u32>,
    /// Scores of times between tokens since the last decision.
    gaps: Histogram<u32>,
    /// True until the first excess.
    fast: bool,
    /// Start of the present window.
    opened: Instant,
    /// True in the window after a cut, whose measurements still show the load before it.
    settling: bool,
    /// First-token time by prompt length, under the load of late.
    first: Line,
    /// Least time for a prompt token seen, in seconds.
    unloaded: Option<f64>,
    /// Mean time between tokens, in seconds.
    between: Option<f64>,
    /// Mean tokens of ended requests.
    cost: Option<f64>,
    /// Mean time of ended requests, in seconds.
    took: Option<f64>,
}

impl Limit {
    /// Returns the limit of an upstream that has just started, in slow start.
    pub fn new(options: LimitOptions, now: Instant) -> Self {
        let scores = || Histogram::new_with_bounds(1, MAX_SCORE, 2).expect("bounds are valid");
        let initial = f64::from(options.initial.max(1));
        let share = options.tokens as f64 * initial / f64::from(options.requests.max(1));
        Self {
            options,
            requests: Bound::new(initial, 1.0, f64::from(options.requests)),
            tokens: Bound::new(share, 1024.0, options.tokens as f64),
            firsts: scores(),
            gaps: scores(),
            fast: true,
            opened: now,
            settling: false,
            first: Line::new(),
            unloaded: None,
            between: None,
            cost: None,
            took: None,
        }
    }

    /// Goes back to slow start, after the upstream has restarted; nothing runs any more.
    pub fn restart(&mut self, now: Instant) {
        let fresh = Self::new(self.options, now);
        let Self { first, unloaded, between, cost, took, .. } = self;
        let (first, unloaded, between) = (first.clone(), *unloaded, *between);
        let (cost, took) = (*cost, *took);
        *self = Self { first, unloaded, between, cost, took, ..fresh };
    }

    /// Notes the dispatch of a request of `tokens`, prompt and estimated answer.
    pub fn started(&mut self, tokens: u64) {
        self.requests.take(1.0);
        self.tokens.take(tokens as f64);
    }

    /// Notes a first token, `took` after dispatch.
    pub fn first_token(&mut self, prompt: u32, took: Duration, now: Instant) {
        let seconds = took.as_secs_f64();
        self.first.add(f64::from(prompt), seconds);
        if prompt >= MIN_PROMPT {
            let each = seconds / f64::from(prompt);
            self.unloaded = Some(self.unloaded.map_or(each, |least| least.min(each)));
        }
        let score = seconds / self.first_target(prompt);
        self.firsts.saturating_record(scaled(score));
        self.decide(now);
    }

    /// Notes a later token, `gap` after the one before.
    pub fn next_token(&mut self, gap: Duration, now: Instant) {
        let seconds = gap.as_secs_f64();
        blend(&mut self.between, seconds);
        let score = seconds / self.options.between.as_secs_f64();
        self.gaps.saturating_record(scaled(score));
        self.decide(now);
    }

    /// Notes the end of a request that was started with `tokens`, `took` after dispatch.
    ///
    /// `actual` is the number of tokens of its prompt and answer.
    pub fn ended(&mut self, tokens: u64, actual: u64, took: Duration) {
        self.requests.give(1.0);
        self.tokens.give(tokens as f64);
        blend(&mut self.cost, actual as f64);
        blend(&mut self.took, took.as_secs_f64());
    }

    /// Notes the end of a request that failed or was cancelled; its times teach nothing.
    pub fn dropped(&mut self, tokens: u64) {
        self.requests.give(1.0);
        self.tokens.give(tokens as f64);
    }

    /// Returns what may start now. A running suspect is for the caller to note.
    pub fn room(&self) -> Room {
        Room {
            requests: self.requests.free().floor() as u32,
            tokens: self.tokens.free().floor() as u64,
            running: self.requests.used as u32,
            alone: false,
        }
    }

    /// Returns the limit in requests.
    pub fn requests(&self) -> u32 {
        self.requests.value as u32
    }

    /// Returns the limit in tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens.value as u64
    }

    /// Returns what is expected of the upstream.
    pub fn estimate(&self) -> Estimate {
        let (base, prefill) = self.first.fit();
        Estimate {
            base: seconds(base),
            prefill,
            between: self.between.unwrap_or(0.0),
            rate: self.rate(),
            slot: self.slot(),
        }
    }

    /// Tokens finished in a second, by Little's law at the limit.
    fn rate(&self) -> f64 {
        let (Some(cost), Some(took)) = (self.cost, self.took) else { return f64::INFINITY };
        let parallel = self.requests.value.min(self.tokens.value / cost.max(1.0)).max(1.0);
        parallel * cost / took.max(f64::MIN_POSITIVE)
    }

    fn slot(&self) -> Duration {
        let room = self.requests.free() >= 1.0 && self.tokens.free() >= 1.0;
        match self.took {
            Some(took) if !room => seconds(took / self.requests.used.max(1.0)),
            _ => Duration::ZERO,
        }
    }

    fn first_target(&self, prompt: u32) -> f64 {
        let unloaded = self.unloaded.unwrap_or(0.0) * f64::from(prompt);
        self.options.first.as_secs_f64().max(2.0 * unloaded)
    }

    fn decide(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.opened);
        if passed < self.options.window {
            return;
        }
        let scores = [judge(&mut self.firsts), judge(&mut self.gaps)];
        let Some(score) = scores.into_iter().flatten().reduce(f64::max) else { return };
        if !std::mem::take(&mut self.settling) {
            self.adjust(score);
        }
        self.opened = now;
        self.requests.restart_peak();
        self.tokens.restart_peak();
        self.unloaded = self.unloaded.map(|least| least * DRIFT);
    }

    fn adjust(&mut self, score: f64) {
        if score < CALM {
            self.requests.raise(self.fast);
            self.tokens.raise(self.fast);
        } else if score > 1.0 {
            let factor = (1.0 - BETA * (score - 1.0)).clamp(MAX_CUT, MIN_CUT);
            self.requests.cut(factor);
            self.tokens.cut(factor);
            self.fast = false;
            self.settling = true;
            self.firsts.reset();
            self.gaps.reset();
        }
    }
}

/// Takes the score at the quantile that the target names, once there are samples enough.
fn judge(scores: &mut Histogram<u32>) -> Option<f64> {
    if scores.len() < MIN_SAMPLES {
        return None;
    }
    let score = scores.value_at_quantile(QUANTILE) as f64 / SCALE;
    scores.reset();
    Some(score)
}

fn scaled(score: f64) -> u64 {
    ((score * SCALE) as u64).clamp(1, MAX_SCORE)
}

fn blend(mean: &mut Option<f64>, value: f64) {
    *mean = Some(mean.map_or(value, |mean| mean + SHARE * (value - mean)));
}

/// One running request, as a candidate to give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// Name of the request.
    pub ticket: Ticket,
    /// Rank of its tier.
    pub tier: Tier,
    /// Tokens generated.
    pub produced: u32,
    /// True if the engine can resume its stream after a cancel.
    pub resumable: bool,
}

/// Returns the request to cancel, for later resumption, so that work of tier `waiting` may start.
///
/// It is of the lowest tier that runs, strictly below `waiting`, and has generated least. Nothing
/// is cancelled that its engine can't resume.
pub fn victim(waiting: Tier, running: &[Running]) -> Option<Ticket> {
    running
        .iter()
        .filter(|one| one.resumable && one.tier > waiting)
        .max_by_key(|one| (one.tier, std::cmp::Reverse(one.produced), one.ticket))
        .map(|one| one.ticket)
}
