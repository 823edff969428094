//! The retry budget and the jitter of the retry-after time.

use std::time::{Duration, Instant};

use egretgate_core::retry::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, RetryBudget, draw_retry_after};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

struct BudgetCase {
    name: &'static str,
    ratio: f64,
    min_rate: f64,
    cap: f64,
    /// Retries attempted for each request.
    attempted: u32,
}

#[test]
fn retries_stay_within_their_budget() {
    let cases = [
        BudgetCase { name: "a tenth", ratio: 0.1, min_rate: 1.0, cap: 50.0, attempted: 3 },
        BudgetCase { name: "none", ratio: 0.0, min_rate: 0.0, cap: 50.0, attempted: 3 },
        BudgetCase {
            name: "minimum rate only",
            ratio: 0.0,
            min_rate: 2.0,
            cap: 10.0,
            attempted: 1,
        },
    ];
    for case in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let start = Instant::now();
        let mut now = start;
        let mut budget = RetryBudget::new(case.ratio, case.min_rate, case.cap, now);
        let mut retries = 0.0;
        for request in 1..20_000 {
            now += Duration::from_micros(rng.random_range(0..2000));
            budget.deposit(now);
            let granted = (0..case.attempted).filter(|_| budget.withdraw(now)).count();
            retries += granted as f64;
            let elapsed = (now - start).as_secs_f64();
            let max = case.ratio * f64::from(request) + case.min_rate * (elapsed + 1.0);
            assert!(retries <= max + 1e-6, "{}: {retries} of {request}", case.name);
            assert!(budget.balance() <= case.cap, "{}", case.name);
        }
        let elapsed = (now - start).as_secs_f64();
        let min = case.ratio * 19_999.0 + case.min_rate * elapsed;
        assert!(retries >= min - 2.0, "{}: only {retries} of {min}", case.name);
        now += Duration::from_hours(1);
        let withdrawn = (0..1000).filter(|_| budget.withdraw(now)).count();
        assert!(withdrawn as f64 <= case.cap, "{}: {withdrawn} withdrawn at once", case.name);
    }
}

struct JitterCase {
    base: Duration,
    load: f64,
}

#[test]
fn retry_times_are_spread_out() {
    let cases = [
        JitterCase { base: Duration::ZERO, load: 0.0 },
        JitterCase { base: Duration::from_secs(1), load: 1.0 },
        JitterCase { base: Duration::from_secs(1), load: f64::NAN },
        JitterCase { base: Duration::from_hours(1), load: 1e9 },
    ];
    for JitterCase { base, load } in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(2);
        let mut times: Vec<_> =
            (0..10_000).map(|_| draw_retry_after(base, load, &mut rng)).collect();
        times.sort_unstable();
        let (first, last) = (times[0], times[9999]);
        assert!(
            first >= MIN_RETRY_AFTER.max(base.min(MAX_RETRY_AFTER / 2)) && last <= MAX_RETRY_AFTER
        );
        let span = last.saturating_sub(first);
        assert!(span >= base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2) / 2, "{base:?}: {span:?}");
        for tenth in 0..10 {
            let (low, high) = (first + span / 10 * tenth, first + span / 10 * (tenth + 1));
            let count = times.iter().filter(|&&time| time >= low && time < high).count();
            assert!(count <= 2000, "{base:?}: {count} of 10000 in one tenth");
        }
    }
}
