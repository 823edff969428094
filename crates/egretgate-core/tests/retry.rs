//! The retry budget and the jitter of the time to retry after.

use std::time::{Duration, Instant};

use egretgate_core::retry::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, RetryBudget, draw_retry_after};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

struct BudgetCase {
    name: &'static str,
    share: f64,
    reserve: f64,
    cap: f64,
    /// Retries attempted for each request.
    wanted: u32,
}

#[test]
fn retries_stay_within_their_share() {
    let cases = [
        BudgetCase { name: "a tenth", share: 0.1, reserve: 1.0, cap: 50.0, wanted: 3 },
        BudgetCase { name: "none", share: 0.0, reserve: 0.0, cap: 50.0, wanted: 3 },
        BudgetCase { name: "reserve only", share: 0.0, reserve: 2.0, cap: 10.0, wanted: 1 },
    ];
    for case in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let start = Instant::now();
        let mut now = start;
        let mut budget = RetryBudget::new(case.share, case.reserve, case.cap, now);
        let mut retries = 0.0;
        for request in 1..20_000 {
            now += Duration::from_micros(rng.random_range(0..2000));
            budget.deposit(now);
            let granted = (0..case.wanted).filter(|_| budget.withdraw(now)).count();
            retries += granted as f64;
            let passed = (now - start).as_secs_f64();
            let most = case.share * f64::from(request) + case.reserve * (passed + 1.0);
            assert!(retries <= most + 1e-6, "{}: {retries} of {request}", case.name);
            assert!(budget.balance() <= case.cap, "{}", case.name);
        }
        let passed = (now - start).as_secs_f64();
        let due = case.share * 19_999.0 + case.reserve * passed;
        assert!(retries >= due - 2.0, "{}: only {retries} of {due}", case.name);
        now += Duration::from_hours(1);
        let saved = (0..1000).filter(|_| budget.withdraw(now)).count();
        assert!(saved as f64 <= case.cap, "{}: {saved} saved up", case.name);
    }
}

struct SpreadCase {
    base: Duration,
    load: f64,
}

#[test]
fn callers_come_back_spread_out() {
    let cases = [
        SpreadCase { base: Duration::ZERO, load: 0.0 },
        SpreadCase { base: Duration::from_secs(1), load: 1.0 },
        SpreadCase { base: Duration::from_secs(1), load: f64::NAN },
        SpreadCase { base: Duration::from_hours(1), load: 1e9 },
    ];
    for SpreadCase { base, load } in cases {
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
            let share = times.iter().filter(|&&time| time >= low && time < high).count();
            assert!(share <= 2000, "{base:?}: {share} of 10000 in one tenth");
        }
    }
}
