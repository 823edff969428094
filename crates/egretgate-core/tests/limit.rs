//! Adaptive limits against models of different engines, and the estimates that derive from them.

use std::time::{Duration, Instant};

use egretgate_core::limit::{
    Estimate, LengthPredictor, Limit, LimitOptions, Reservation, RunningRequest, choose_victim,
};
use egretgate_core::{Ticket, Tier};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An engine that slows down with the number of running requests; times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Engine {
    name: &'static str,
    /// Inter-token latency with nothing else running, and its increase per running request.
    inter_token: (f64, f64),
    /// Time to first token per prompt token, and its increase per running request.
    prefill: (f64, f64),
}

impl Engine {
    fn inter_token_ms(&self, running: usize) -> f64 {
        self.inter_token.0 + self.inter_token.1 * running as f64
    }

    fn first_token_ms(&self, prompt: u32, running: usize) -> f64 {
        15.0 + f64::from(prompt) * (self.prefill.0 + self.prefill.1 * running as f64)
    }

    /// Returns the maximum number of running requests with which 95 in 100 tokens stay within
    /// 34 ms.
    fn ideal_requests(&self) -> usize {
        (1..256).take_while(|&running| self.inter_token_ms(running) * 1.1 <= 34.0).count().max(1)
    }
}

#[derive(Debug, Default)]
struct Measured {
    /// Number of measured inter-token latencies.
    tokens: u32,
    /// Number of those over 34 ms.
    slow: u32,
    /// Mean number of running requests.
    running: f64,
    /// Lowest limit in requests.
    min_limit: u32,
}

/// Keeps `limit` saturated on `engine` for `seconds` and returns measurements of the second half.
fn saturate(limit: &mut Limit, engine: Engine, seconds: u32, now: &mut Instant) -> Measured {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut measured = Measured { min_limit: u32::MAX, ..Measured::default() };
    // Of each request: time of the next token, tokens left, tokens charged, start.
    let mut running: Vec<(Instant, u32, u64, Instant)> = Vec::new();
    let start = *now;
    for step in 0..seconds * 200 {
        *now = start + Duration::from_millis(5) * step;
        while limit.headroom().requests > 0 {
            let (prompt, output) = (rng.random_range(20..1500), rng.random_range(20..300));
            let tokens = u64::from(prompt + output);
            limit.record_start(tokens, *now);
            let took = engine.first_token_ms(prompt, running.len()) * rng.random_range(0.9..1.1);
            let first = *now + Duration::from_secs_f64(took / 1e3);
            limit.record_first_token(prompt, Duration::from_secs_f64(took / 1e3), *now);
            running.push((first, output, tokens, *now));
        }
        let count = running.len();
        measured.min_limit = measured.min_limit.min(limit.requests());
        running.retain_mut(|(due, left, tokens, started)| {
            while *due <= *now && *left > 0 {
                let latency_ms = engine.inter_token_ms(count) * rng.random_range(0.9..1.1);
                limit.record_next_token(Duration::from_secs_f64(latency_ms / 1e3), *now);
                if step > seconds * 100 {
                    measured.tokens += 1;
                    measured.slow += u32::from(latency_ms > 34.0);
                }
                *due += Duration::from_secs_f64(latency_ms / 1e3);
                *left -= 1;
            }
            if *left == 0 {
                limit.record_end(*tokens, *tokens, *now - *started);
            }
            *left > 0
        });
        if step > seconds * 100 {
            measured.running += count as f64 / f64::from(seconds * 100);
        }
    }
    for (.., tokens, _) in running {
        limit.record_failure(tokens);
    }
    measured
}

const FAST: Engine = Engine { name: "fast", inter_token: (6.0, 0.2), prefill: (0.02, 0.0005) };
const SLOW: Engine = Engine { name: "slow", inter_token: (18.0, 1.0), prefill: (0.1, 0.002) };
const SMALL: Engine = Engine { name: "small", inter_token: (10.0, 5.0), prefill: (0.15, 0.01) };
const PREFILL: Engine =
    Engine { name: "prefill-bound", inter_token: (5.0, 0.1), prefill: (0.1, 0.01) };

/// The limit converges to the load at which 95 in 100 tokens of an engine stay within 34 ms, and
/// adapts when the engine slows down to half its speed.
#[test]
fn tokens_stay_within_the_objective() {
    for engine in [FAST, SLOW, SMALL] {
        let mut now = Instant::now();
        let mut limit = Limit::new(LimitOptions::default(), now);
        assert_eq!(limit.requests(), LimitOptions::default().initial);
        let (inter_token, prefill) = (engine.inter_token, engine.prefill);
        let (inter_token, prefill) =
            ((inter_token.0, inter_token.1 * 2.0), (prefill.0 * 2.0, prefill.1));
        let phases = [engine, Engine { inter_token, prefill, ..engine }, engine];
        for (phase, engine) in phases.into_iter().enumerate() {
            let measured = saturate(&mut limit, engine, 120, &mut now);
            let fraction = f64::from(measured.slow) / f64::from(measured.tokens);
            let mean = measured.running / engine.ideal_requests() as f64;
            println!("{}: slow {fraction:.3}, running over ideal {mean:.2}", engine.name);
            assert!(fraction <= 0.05, "{}: {fraction} of tokens are slow", engine.name);
            assert!(mean >= 0.7, "{}: only {mean} of the ideal load", engine.name);
            let cut_too_far =
                phase == 1 && f64::from(measured.min_limit) < 0.5 * engine.ideal_requests() as f64;
            assert!(
                !cut_too_far,
                "{}: cut to {} after a change of speed",
                engine.name, measured.min_limit
            );
        }
        limit.restart(now);
        assert_eq!(limit.requests(), LimitOptions::default().initial);
        assert_eq!(limit.headroom().running, 0);
        saturate(&mut limit, engine, 10, &mut now);
        let found = limit.requests() as usize;
        assert!(
            found >= engine.ideal_requests() / 2,
            "{}: slow start reached only {found}",
            engine.name
        );
    }
}

/// Where prefill is the bottleneck, the time to first token determines the limit.
#[test]
fn first_tokens_stay_within_the_objective() {
    let mut now = Instant::now();
    let mut limit = Limit::new(LimitOptions::default(), now);
    let measured = saturate(&mut limit, PREFILL, 240, &mut now);
    let mean = measured.running;
    let first = PREFILL.first_token_ms(1400, mean as usize);
    println!("prefill-bound: running {mean:.1}, first {first:.0} ms at 1400 prompt tokens");
    assert!(first <= 380.0 * 1.1, "{first} ms to the first token");
    let estimate = limit.estimate(now);
    for prompt in [200, 700, 1400] {
        let estimated = estimate.service_time(prompt, 5).as_secs_f64() * 1e3;
        let actual = PREFILL.first_token_ms(prompt, mean as usize)
            + 5.0 * PREFILL.inter_token_ms(mean as usize);
        assert!(
            (estimated / actual - 1.0).abs() <= 0.25,
            "{prompt}: estimated {estimated} ms, was {actual} ms"
        );
    }
    let joined =
        Estimate::combine([estimate, Estimate { token_rate: 1.0, ..estimate }]).expect("two");
    assert!(joined.is_near(&estimate) && joined.token_rate > estimate.token_rate);
}

struct CallCase {
    name: &'static str,
    /// Maximum number of calls running at a time.
    offered: u32,
    /// Number of calls from which they slow each other down.
    knee: u32,
    /// Bounds of the final limit.
    bounds: (u32, u32),
}

/// Calls of half a second exceed the objective even unloaded: the limit follows the delay that they
/// cause each other, and does not rise beyond demand.
#[test]
fn slow_calls_are_limited_by_their_delay() {
    let cases = [
        CallCase { name: "few calls", offered: 3, knee: 20, bounds: (3, 8) },
        CallCase { name: "many calls", offered: 256, knee: 20, bounds: (15, 60) },
    ];
    for case in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(12);
        let mut now = Instant::now();
        let mut limit = Limit::new(LimitOptions::default(), now);
        let mut running: Vec<(Instant, Duration)> = Vec::new();
        for _ in 0..20_000 {
            now += Duration::from_millis(10);
            while limit.headroom().requests > 0 && running.len() < case.offered as usize {
                limit.record_start(1, now);
                let slow = f64::max(1.0, running.len() as f64 / f64::from(case.knee));
                let took = Duration::from_secs_f64(0.5 * slow * rng.random_range(0.9..1.1));
                running.push((now + took, took));
            }
            running.retain(|&(due, took)| {
                if due <= now {
                    limit.record_first_token(0, took, now);
                    limit.record_end(1, 1, took);
                }
                due > now
            });
        }
        let (low, high) = case.bounds;
        let found = limit.requests();
        println!("{}: limit {found}", case.name);
        assert!((low..=high).contains(&found), "{}: {found}", case.name);
    }
}

struct LengthCase {
    quantile: f64,
    shortest: f64,
    longest: f64,
}

#[test]
fn lengths_follow_their_quantile() {
    let cases = [
        LengthCase { quantile: 0.5, shortest: 100.0, longest: 200.0 },
        LengthCase { quantile: 0.5, shortest: 10.0, longest: 1000.0 },
        LengthCase { quantile: 0.8, shortest: 10.0, longest: 1000.0 },
    ];
    for LengthCase { quantile, shortest, longest } in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(10);
        let mut lengths = LengthPredictor::new(quantile, 64);
        assert_eq!(lengths.predict("route"), 64);
        let mut draw = || rng.random_range(shortest.ln()..longest.ln()).exp() as u32;
        (0..500).for_each(|_| lengths.observe("route", draw()));
        let mut within = 0;
        for _ in 0..4000 {
            let length = draw();
            within += u32::from(length <= lengths.predict("route"));
            lengths.observe("route", length);
        }
        let fraction = f64::from(within) / 4000.0;
        assert!((fraction - quantile).abs() <= 0.05, "{fraction} for {quantile}");
    }
}

struct VictimCase {
    waiting: Tier,
    /// Tier, tokens generated and whether it can be resumed.
    running: &'static [(Tier, u32, bool)],
    victim: Option<u64>,
}

#[test]
fn only_the_lowest_resumable_tier_is_preempted() {
    let cases = [
        VictimCase { waiting: 0, running: &[], victim: None },
        VictimCase {
            waiting: 0,
            running: &[(1, 9, true), (3, 9, true), (3, 2, true)],
            victim: Some(2),
        },
        VictimCase { waiting: 0, running: &[(1, 9, true), (3, 2, false)], victim: Some(0) },
        VictimCase { waiting: 1, running: &[(1, 9, true), (0, 2, true)], victim: None },
    ];
    for case in cases {
        let request = |(at, &(tier, output_tokens, resumable))| RunningRequest {
            ticket: Ticket::new(0, at as u64),
            tier,
            output_tokens,
            resumable,
        };
        let running: Vec<_> = case.running.iter().enumerate().map(request).collect();
        assert_eq!(
            choose_victim(case.waiting, &running).map(|ticket| ticket.sequence),
            case.victim
        );
    }
}

/// Rounding must not turn a short time to first token into the maximum estimate.
#[test]
fn short_first_tokens_never_estimate_longest() {
    let mut rng = ChaCha8Rng::seed_from_u64(17);
    for _ in 0..50 {
        let now = Instant::now();
        let mut limit = Limit::new(LimitOptions::default(), now);
        for _ in 0..2000 {
            let prompt = rng.random_range(1..=8);
            // The time is proportional to the prompt: the line passes through the origin.
            let took = Duration::from_micros(u64::from(prompt) * rng.random_range(90..=110));
            limit.record_first_token(prompt, took, now);
            let base = limit.estimate(now).base;
            assert!(base < Duration::from_secs(1), "base {base:?}");
        }
    }
}

/// Guards against an upstream that was slow once, is avoided for that and never gets work again.
#[test]
fn the_delay_of_an_idle_upstream_fades() {
    struct Case {
        name: &'static str,
        /// Requests that run all the time.
        running: u32,
        idle: Duration,
        fades: bool,
    }
    let (unloaded, slow) = (Duration::from_millis(5), Duration::from_millis(1_600));
    let cases = [
        Case { name: "at once", running: 0, idle: Duration::ZERO, fades: false },
        Case { name: "idle", running: 0, idle: Duration::from_secs(10), fades: true },
        Case { name: "stalled", running: 1, idle: Duration::from_secs(10), fades: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut limit = Limit::new(LimitOptions::default(), now);
        for _ in 0..case.running {
            limit.record_start(8, now);
        }
        for took in [[unloaded; 20], [slow; 20]].as_flattened() {
            limit.record_first_token(8, *took, now);
        }
        let later = now + case.idle;
        let expected = limit.estimate(later).service_time(8, 0);
        let range = if case.fades { unloaded..2 * unloaded } else { slow / 4..slow };
        assert!(range.contains(&expected), "{}: {expected:?}", case.name);
        limit.record_start(8, later);
        assert_eq!(limit.estimate(later).service_time(8, 0), expected, "{}", case.name);
        for _ in 0..20 {
            limit.record_first_token(8, slow, later);
        }
        let learned = limit.estimate(later).service_time(8, 0);
        assert!(learned > slow / 4, "{}: {learned:?} while it is slow again", case.name);
    }
}

#[test]
fn capacity_is_reserved_while_urgent_work_is_offered() {
    struct Case {
        name: &'static str,
        offered: &'static [Tier],
        tier: Tier,
        elapsed: Duration,
        applies: bool,
    }
    let second = Duration::from_secs(1);
    let cases = [
        Case { name: "no offer", offered: &[], tier: 3, elapsed: second, applies: false },
        Case { name: "its own tier", offered: &[1], tier: 1, elapsed: second, applies: false },
        Case { name: "a lower tier", offered: &[2], tier: 1, elapsed: second, applies: false },
        Case { name: "a higher tier", offered: &[0], tier: 1, elapsed: second, applies: true },
        Case { name: "long ago", offered: &[0], tier: 1, elapsed: second * 30, applies: false },
        Case {
            name: "the top tier",
            offered: &[0, 1, 2],
            tier: 0,
            elapsed: second,
            applies: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut reservation = Reservation::default();
        for &tier in case.offered {
            reservation.record_offer(tier, now);
        }
        assert_eq!(
            reservation.applies_to(case.tier, now + case.elapsed),
            case.applies,
            "{}",
            case.name
        );
    }

    let options = LimitOptions { initial: 8, max_requests: 8, ..LimitOptions::default() };
    let mut limit = Limit::new(options, Instant::now());
    let mut started = 0;
    while limit.keeps_reservation() {
        limit.record_start(1, Instant::now());
        started += 1;
    }
    assert_eq!(started, 6, "a quarter of 8 stays reserved");
    assert!(limit.headroom().requests >= 2);
    let one = LimitOptions { initial: 1, max_requests: 1, ..LimitOptions::default() };
    assert!(
        Limit::new(one, Instant::now()).keeps_reservation(),
        "an idle engine always starts work"
    );
}

#[test]
fn reserved_capacity_does_not_keep_the_limit_from_rising() {
    let options = LimitOptions { initial: 4, max_requests: 64, ..LimitOptions::default() };
    for (held_back, grows) in [(false, false), (true, true)] {
        let mut now = Instant::now();
        let mut limit = Limit::new(options, now);
        // Three of four run: a quarter stays reserved, and latencies are far below their targets.
        for _ in 0..3 {
            limit.record_start(1, now);
        }
        for _ in 0..400 {
            if held_back {
                limit.mark_held_back();
            }
            now += Duration::from_millis(5);
            limit.record_first_token(8, Duration::from_millis(1), now);
            limit.record_next_token(Duration::from_millis(1), now);
        }
        assert_eq!(limit.requests() > 4, grows, "held back: {held_back}");
    }
}
