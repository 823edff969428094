//! Learned concurrency limits in requests and tokens.
//!
//! The limits come only from times that the side process measures itself, from dispatch to first
//! token and between tokens; load reports of engines lag and are not used.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use egretgate_core::limit::{Limit, LimitOptions};
//!
//! let now = Instant::now();
//! let mut limit = Limit::new(LimitOptions::default(), now);
//! limit.started(420);
//! limit.first_token(120, Duration::from_millis(40), now);
//! limit.next_token(Duration::from_millis(12), now);
//! assert_eq!(limit.room().requests, 3);
//! assert_eq!(limit.estimate().between, 0.012);
//! limit.ended(420, 122, Duration::from_millis(52));
//! assert_eq!(limit.room().requests, 4);
//! ```

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::ids::{Ticket, Tier};

mod length;
mod linear_fit;
mod reservation;

pub use length::Lengths;
use linear_fit::Line;
pub use reservation::Reserve;

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
/// Part of a limit that less urgent work leaves free while more urgent work comes.
const RESERVED: f64 = 0.25;
/// Increase in one step after the slow start, as a share of the limit.
const STEP: f64 = 1.0 / 32.0;
/// Samples of one kind on which a limit is cut.
const CUT_SAMPLES: u64 = 20;
/// First tokens without which no limit rises.
const RAISE_FIRSTS: u64 = 4;
/// Share of each new measurement in the running means.
const SHARE: f64 = 0.05;
/// Prompt tokens from which the time for a token is learned.
const MIN_PROMPT: u32 = 32;
/// Limit in requests up to which what is measured counts as unloaded.
const IDLE: f64 = 2.0;
/// Factor of the unloaded time to a first token that is allowed at least.
const UNLOADED: f64 = 2.0;
/// Factor by which the unloaded time for a prompt token rises at each decision while unloaded.
const DRIFT: f64 = 1.1;

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

    /// Returns what is expected of several upstreams behind one queue: the best time of each part,
    /// so that nothing is refused which one of them could finish, and the sum of their rates.
    pub fn join(estimates: impl IntoIterator<Item = Self>) -> Option<Self> {
        estimates.into_iter().reduce(|one, other| Self {
            base: one.base.min(other.base),
            prefill: one.prefill.min(other.prefill),
            between: one.between.min(other.between),
            rate: one.rate + other.rate,
            slot: one.slot.min(other.slot),
        })
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

/// Returns a time of `value` seconds, at most [`Estimate::LONGEST`]; none if it is below zero.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0))
        .map_or(Estimate::LONGEST, |time| time.min(Estimate::LONGEST))
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
    /// Mean amount in use at the measurements since the last decision, and their number.
    mean: f64,
    samples: f64,
}

impl Bound {
    fn new(initial: f64, least: f64, most: f64) -> Self {
        let most = most.max(least);
        let value = initial.clamp(least, most);
        Self { value, least, most, used: 0.0, peak: 0.0, mean: 0.0, samples: 0.0 }
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

    fn sample(&mut self) {
        self.samples += 1.0;
        self.mean += (self.used - self.mean) / self.samples;
    }

    /// Raises the limit if it held something back. `unused` is what a full limit leaves free.
    fn raise(&mut self, fast: bool, unused: f64) {
        if self.mean < BINDING * (self.value - unused) {
            return;
        }
        let step = if fast { self.value } else { (self.value * STEP).max(self.least) };
        self.value = (self.value + step).min(self.most);
    }

    fn cut(&mut self, factor: f64) {
        let from = self.value.min(self.peak.max(self.least));
        self.value = (from * factor).max(self.least);
    }

    fn open_window(&mut self) {
        self.peak = self.used;
        self.mean = 0.0;
        self.samples = 0.0;
    }
}

/// What a window's measurements ask for.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Nothing: more ran than the limit allows, as after a cut, so that its effect isn't seen yet.
    Pass,
    /// A decrease by this factor.
    Cut(f64),
    /// An increase.
    Raise,
    /// Nothing: the target is nearly reached, or first tokens are too few.
    Hold,
}

/// Least times seen, in seconds; infinite until one is.
#[derive(Debug, Clone, Copy)]
struct Unloaded {
    /// To a first token.
    first: f64,
    /// For a prompt token.
    prompt: f64,
}

impl Unloaded {
    const NONE: Self = Self { first: f64::INFINITY, prompt: f64::INFINITY };

    fn add(&mut self, prompt: u32, seconds: f64) {
        self.first = self.first.min(seconds);
        if prompt >= MIN_PROMPT {
            self.prompt = self.prompt.min(seconds / f64::from(prompt));
        }
    }

    fn forget(&mut self) {
        self.first *= DRIFT;
        self.prompt *= DRIFT;
    }

    /// Returns the time to the first token of a prompt, as far as it is known.
    fn time(&self, prompt: u32) -> f64 {
        let known = |value: f64| if value.is_finite() { value } else { 0.0 };
        known(self.first) + known(self.prompt) * f64::from(prompt)
    }
}

/// Learned limits of one upstream, with the estimates that come out of the same measurements.
///
/// Additive increase and multiplicative decrease, where a decrease follows the excess of the 95th
/// percentile over the target, as the credits of Breakwater do (Cho et al., OSDI '20). A limit
/// rises only while it binds, and doubles until the first excess. The first-token target is at
/// least twice what the prompt takes without load, so that long prompts and slow calls cut nothing, learned as TCP Vegas learns its base round trip
/// (Brakmo and Peterson, 1995), the idea behind the gradient of Netflix's concurrency-limits. It is
/// learned anew only while the limit is so low that nothing delays a prompt: under load the least
/// time would creep up with the delays that it is to judge.
#[derive(Debug, Clone)]
pub struct Limit {
    options: LimitOptions,
    requests: Bound,
    tokens: Bound,
    /// Scores of first tokens since the last decision.
    firsts: Histogram<u32>,
    /// Scores of times between tokens since the last decision.
    gaps: Histogram<u32>,
    /// True if work was held back for more urgent work since the last decision.
    held: bool,
    /// True until the first excess.
    fast: bool,
    /// Start of the present window.
    opened: Instant,
    /// First-token time by prompt length, under the load of late.
    first: Line,
    /// Least time to a first token and for a prompt token seen without load.
    unloaded: Unloaded,
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
            held: false,
            fast: true,
            opened: now,
            first: Line::new(),
            unloaded: Unloaded::NONE,
            between: None,
            cost: None,
            took: None,
        }
    }

    /// Sets the targets, and the upper bound in requests, at least 1.
    pub fn set_targets(&mut self, first: Duration, between: Duration, requests: u32) {
        self.options = LimitOptions { first, between, requests, ..self.options };
        self.requests.most = f64::from(requests.max(1));
        self.requests.value = self.requests.value.min(self.requests.most);
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
        self.unloaded.add(prompt, seconds);
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

    /// Returns whether work may start and still leave a part of the limit free for more urgent
    /// work. True while nothing runs.
    pub fn spares_room(&self) -> bool {
        let within = |bound: &Bound| bound.used < bound.value * (1.0 - RESERVED);
        self.requests.used < 1.0 || within(&self.requests) && within(&self.tokens)
    }

    /// Notes that work was held back because [`Limit::spares_room`] was false.
    pub const fn hold_back(&mut self) {
        self.held = true;
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
        let unloaded = self.unloaded.time(prompt);
        self.options.first.as_secs_f64().max(UNLOADED * unloaded)
    }

    fn decide(&mut self, now: Instant) {
        self.requests.sample();
        self.tokens.sample();
        let passed = now.saturating_duration_since(self.opened);
        let samples = self.firsts.len().max(self.gaps.len());
        if passed < self.options.window || samples < CUT_SAMPLES {
            return;
        }
        self.adjust();
        self.opened = now;
        self.requests.open_window();
        self.tokens.open_window();
        self.held = false;
        if self.requests.value <= IDLE {
            self.unloaded.forget();
        }
    }

    fn adjust(&mut self) {
        let step = self.step();
        match step {
            Step::Cut(factor) => self.cut(factor),
            Step::Raise => self.raise(),
            Step::Pass | Step::Hold => {}
        }
        self.gaps.reset();
        if !matches!(step, Step::Hold) || self.firsts.len() >= CUT_SAMPLES {
            self.firsts.reset();
        }
    }

    fn step(&self) -> Step {
        let judged = |scores: &Histogram<u32>| {
            if scores.len() < CUT_SAMPLES { 0.0 } else { worst(scores) }
        };
        let excess = judged(&self.firsts).max(judged(&self.gaps)) - 1.0;
        let score = worst(&self.firsts).max(worst(&self.gaps));
        if self.requests.peak > self.requests.value {
            Step::Pass
        } else if excess > 0.0 {
            Step::Cut((1.0 - BETA * excess).clamp(MAX_CUT, MIN_CUT))
        } else if score < CALM && self.firsts.len() >= RAISE_FIRSTS {
            Step::Raise
        } else {
            Step::Hold
        }
    }

    fn cut(&mut self, factor: f64) {
        self.requests.cut(factor);
        self.tokens.cut(factor);
        self.fast = false;
    }

    fn raise(&mut self) {
        // What is kept free for urgent work binds as if it were in use.
        let reserved = if self.held { RESERVED } else { 0.0 };
        let fraction = self.requests.value.fract();
        self.requests.raise(self.fast, fraction + reserved * self.requests.value);
        let cost = self.cost.unwrap_or(0.0);
        self.tokens.raise(self.fast, cost + reserved * self.tokens.value);
    }
}

/// Returns the score at the quantile that the target names; 0 without samples.
fn worst(scores: &Histogram<u32>) -> f64 {
    scores.value_at_quantile(QUANTILE) as f64 / SCALE
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
