//! Version moves: simulated moves of fake versions, confidence intervals, the traffic split and the
//! circuit breaker.

#[path = "../examples/support/moves_model.rs"]
mod model;

use std::thread;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use egretgate_core::Ticket;
use egretgate_core::moves::{
    Budget, Cap, Controller, Counts, Decision, Evidence, EvidenceKey, Interval, LoadPlan, MovePlan,
    Progress, Quota, RequestOutcome, Split, StopCause, TakeBackReason, VersionBreaker, may_unload,
    pick_version,
};
use model::{FakeVersion, HolderCrashes, Run, at, plan, run};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Largest permitted rate of false alarms, and of moves to a good version that are taken back.
const FALSE_ALARMS: f64 = 0.01;
/// Seeds of each fake version; the example `moves` runs 200.
const SEEDS: u64 = 24;
const THREADS: u64 = 4;

fn runs(version: FakeVersion, crashes: HolderCrashes, seeds: u64) -> Vec<Run> {
    let worker = |first: u64| {
        let seeds = (first..seeds).step_by(THREADS as usize);
        seeds.map(|seed| run(version, seed, crashes)).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|first| scope.spawn(move || worker(first))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    })
}

#[test]
fn bad_versions_are_taken_back_within_their_share() {
    for version in FakeVersion::ALL.into_iter().filter(|&version| version != FakeVersion::Good) {
        for (seed, run) in runs(version, HolderCrashes::None, SEEDS).into_iter().enumerate() {
            assert!(!run.done, "{} seed {seed}: {run:?}", version.as_str());
            assert!(run.max_share <= 0.05, "{} seed {seed}: {run:?}", version.as_str());
            assert_eq!(run.served_late, 0, "{} seed {seed}: {run:?}", version.as_str());
        }
    }
}

#[test]
fn good_versions_finish_in_time() {
    let runs = runs(FakeVersion::Good, HolderCrashes::None, SEEDS);
    let taken_back = runs.iter().filter(|run| !run.done).count();
    assert!(taken_back as f64 <= FALSE_ALARMS * SEEDS as f64, "{taken_back} taken back");
}

#[test]
fn another_holder_continues_after_any_crash() {
    struct Case {
        version: FakeVersion,
        done: bool,
    }
    let cases = [
        Case { version: FakeVersion::Good, done: true },
        Case { version: FakeVersion::FailsLater, done: false },
        Case { version: FakeVersion::SlowUnderLoad, done: false },
    ];
    for case in cases {
        for seed in 0..3 {
            let after_steps = run(case.version, seed, HolderCrashes::Recorded);
            let before_decisions = run(case.version, seed, HolderCrashes::Always);
            assert_eq!(
                (after_steps.done, after_steps.seconds),
                (before_decisions.done, before_decisions.seconds),
                "seed {seed}"
            );
            let unrecorded = run(case.version, seed, HolderCrashes::Unrecorded);
            for run in [&after_steps, &before_decisions, &unrecorded] {
                assert_eq!(run.done, case.done, "{:?} seed {seed}: {run:?}", case.version);
            }
        }
    }
}

#[test]
fn intervals_hold_at_all_times_at_once() {
    struct Case {
        fraction: f64,
        alpha: f64,
    }
    let cases = [
        Case { fraction: 0.005, alpha: 0.05 },
        Case { fraction: 0.1, alpha: 0.05 },
        Case { fraction: 0.5, alpha: 0.2 },
    ];
    for Case { fraction, alpha } in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(11);
        let mut outside = 0;
        const RUNS: u64 = 300;
        for _ in 0..RUNS {
            let mut hits = 0;
            outside += u64::from((1..=600).any(|total| {
                hits += u64::from(rng.random_bool(fraction));
                let bounds = Interval::new(hits, total, alpha);
                fraction < bounds.low || fraction > bounds.high
            }));
        }
        assert!(outside as f64 <= alpha * RUNS as f64, "{outside} runs excluded {fraction}");
    }
}

/// Returns counters of `total` requests, of which `errors` failed.
fn counts(total: u64, errors: u64) -> Counts {
    Counts { total, errors, slow_first_token: 0, slow_inter_token: 0 }
}

fn evidence(new: [Counts; 2], level: u32) -> Evidence {
    let mut evidence = Evidence::default();
    for (route, new) in ["report", "quote"].into_iter().zip(new) {
        for old_level in 0..=3 {
            evidence.merge(1, EvidenceKey::new(route, "v1", old_level), counts(50_000, 250));
        }
        evidence.merge(2, EvidenceKey::new(route, "v2", level), new);
    }
    evidence
}

#[test]
fn verdicts_follow_from_the_evidence() {
    struct Case {
        name: &'static str,
        step: usize,
        second: u64,
        new: [Counts; 2],
        level: u32,
        want: fn(&Decision) -> bool,
    }
    let good = counts(4_000, 20);
    let cases = [
        Case {
            name: "proven at the heaviest level after the soak",
            step: 2,
            second: 3_700,
            new: [good, good],
            level: 3,
            want: |decision| *decision == Decision::Step { step: 3, share: 250_000 },
        },
        Case {
            name: "not before the soak",
            step: 2,
            second: 3_500,
            new: [good, good],
            level: 3,
            want: |decision| *decision == Decision::Hold,
        },
        Case {
            name: "not without the heaviest level",
            step: 2,
            second: 3_700,
            new: [good, good],
            level: 2,
            want: |decision| *decision == Decision::Hold,
        },
        Case {
            name: "not with one route unproven",
            step: 2,
            second: 3_700,
            new: [good, counts(100, 0)],
            level: 3,
            want: |decision| *decision == Decision::Hold,
        },
        Case {
            name: "not on too few requests",
            step: 2,
            second: 3_700,
            new: [good, counts(300, 3)],
            level: 3,
            want: |decision| *decision == Decision::Hold,
        },
        Case {
            name: "a worse route takes it back",
            step: 2,
            second: 100,
            new: [good, counts(300, 60)],
            level: 0,
            want: |result| {
                let Decision::TakeBack(TakeBackReason::Worse, found) = result else { return false };
                found.iter().all(|finding| finding.route == "quote")
            },
        },
        Case {
            name: "unproven at the end is taken back",
            step: 2,
            second: 7_200,
            new: [good, good],
            level: 2,
            want: |decision| matches!(decision, Decision::TakeBack(TakeBackReason::Unproven, _)),
        },
        Case {
            name: "proven but below the full share at the end is taken back",
            step: 4,
            second: 7_200,
            new: [good, good],
            level: 3,
            want: |decision| matches!(decision, Decision::TakeBack(TakeBackReason::Unproven, _)),
        },
        Case {
            name: "proven at the full share is done",
            step: 5,
            second: 7_200,
            new: [good, good],
            level: 3,
            want: |decision| matches!(decision, Decision::Done(found) if !found.is_empty()),
        },
    ];
    for case in cases {
        let progress = Progress::at_step(case.step, at(0));
        let decision =
            Controller.decide(&plan(), progress, &evidence(case.new, case.level), at(case.second));
        assert!((case.want)(&decision), "{}: {decision:?}", case.name);
    }
}

#[test]
fn an_open_breaker_takes_the_move_back() {
    let mut evidence = evidence([counts(4_000, 20); 2], 3);
    evidence.record_stop(7, StopCause::ConsecutiveErrors);
    let decision = Controller.decide(&plan(), Progress::new(at(0)), &evidence, at(10));
    assert_matches!(
        decision,
        Decision::TakeBack(TakeBackReason::Stopped(StopCause::ConsecutiveErrors), _)
    );
}

#[test]
fn a_breaker_opens_on_crashes_and_consecutive_failures() {
    struct Case {
        outcomes: Vec<RequestOutcome>,
        want: Option<StopCause>,
    }
    let mut interrupted = vec![RequestOutcome::Error; 9];
    interrupted.push(RequestOutcome::Good);
    interrupted.extend([RequestOutcome::Error; 9]);
    let cases = [
        Case {
            outcomes: vec![RequestOutcome::Error; 10],
            want: Some(StopCause::ConsecutiveErrors),
        },
        Case { outcomes: interrupted, want: None },
        Case { outcomes: vec![RequestOutcome::Crash], want: None },
        Case {
            outcomes: vec![RequestOutcome::Crash, RequestOutcome::Good, RequestOutcome::Crash],
            want: Some(StopCause::Crash),
        },
    ];
    for case in cases {
        let mut breaker = VersionBreaker::new();
        case.outcomes.iter().for_each(|&outcome| {
            breaker.record(outcome);
        });
        assert_eq!(breaker.cause(), case.want, "{:?}", case.outcomes);
        breaker.record(RequestOutcome::Good);
        assert_eq!(breaker.cause(), case.want, "the breaker stays open");
    }
}

#[test]
fn loads_keep_to_the_rate_and_unloads_wait() {
    let start = Instant::now();
    let ids = ["a", "b", "c"].map(String::from);
    // Weights of 100 bytes at 10 bytes per second: one load each 10 seconds, two at once.
    let mut plan = LoadPlan::new(ids, 100, 10, 2);
    let after = |seconds| start + Duration::from_secs(seconds);
    assert_eq!(plan.start_next(after(0)).as_deref(), Some("a"));
    assert_eq!(plan.start_next(after(9)), None, "the rate");
    assert_eq!(plan.start_next(after(10)).as_deref(), Some("b"));
    assert_eq!(plan.start_next(after(30)), None, "two at once");
    plan.mark_failed("a", after(30));
    plan.mark_loaded("b");
    assert_eq!(plan.start_next(after(30)).as_deref(), Some("c"));
    assert_eq!(plan.start_next(after(45)), None, "a failed load waits");
    assert_eq!(plan.start_next(after(60)).as_deref(), Some("a"));
    plan.mark_loaded("a");
    assert!(!plan.is_done());
    plan.mark_loaded("c");
    assert!(plan.is_done());
    assert!(may_unload(false, 0, 0));
    assert!(!may_unload(true, 0, 0) && !may_unload(false, 1, 0) && !may_unload(false, 0, 1));
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// At every moment the new version has had at most its share of the requests, in each minute at
    /// most one request more than its share, and never more requests in flight than its cap.
    #[test]
    fn share_and_cap_are_never_exceeded(
        step in 0_usize..3,
        new_upstreams in 1_u32..4,
        cap in 1_u32..20,
        ends in proptest::collection::vec(0_u8..4, 400..4_000),
    ) {
        let plan = MovePlan { cap: Cap::InFlight(cap), ..plan() };
        let split = Split::new(&plan, Progress::at_step(step, at(0)), new_upstreams, 12, 1);
        let share = f64::from(plan.share(step)) / 1e6;
        let (mut quota, mut in_flight, mut sent) = (Quota::default(), 0, 0_u64);
        let mut minute = 0_u64;
        let now = Instant::now();
        for (index, end) in ends.into_iter().enumerate() {
            let ticket = Ticket::new(9, index as u64);
            if *pick_version(&split, ticket, &mut quota, now, at(index as u64 / 20)) == plan.to {
                sent += 1;
                minute += 1;
                in_flight += 1;
            }
            if index % 1_200 == 1_199 {
                prop_assert!(minute as f64 <= share * 1_200.0 + 1.0);
                minute = 0;
            }
            prop_assert!(sent as f64 <= share * (index + 1) as f64);
            prop_assert!(in_flight <= cap);
            if end == 0 && in_flight > 0 {
                quota.end_request();
                in_flight -= 1;
            }
        }
    }

    /// Late, duplicate or reordered reports change nothing.
    #[test]
    fn evidence_does_not_depend_on_delivery(
        reports in proptest::collection::vec((0_u64..3, 0_u32..3, 1_u64..50, 0_u64..5), 1..40),
        order in any::<u64>(),
    ) {
        let mut sent = Vec::new();
        let mut known = std::collections::BTreeMap::new();
        for (process, level, total, errors) in reports {
            let sum: &mut Counts = known.entry((process, level)).or_default();
            sum.add(counts(total, errors.min(total)));
            sent.push((process, EvidenceKey::new("r", "v", level), *sum));
        }
        let mut expected = std::collections::BTreeMap::<EvidenceKey, Counts>::new();
        for ((_, level), sum) in known {
            expected.entry(EvidenceKey::new("r", "v", level)).or_default().add(sum);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(order);
        let mut evidence = Evidence::default();
        for _ in 0..3 {
            let mut shuffled = sent.clone();
            while !shuffled.is_empty() {
                let (process, key, sum) = shuffled.swap_remove(rng.random_range(0..shuffled.len()));
                evidence.merge(process, key, sum);
            }
        }
        prop_assert_eq!(evidence.totals(), expected);
    }
}

#[test]
fn bursts_load_the_new_upstreams_like_the_others() {
    let plan = MovePlan { cap: Cap::PerSecond(1_000_000), ..plan() };
    let split = Split::new(&plan, Progress::at_step(2, at(0)), 1, 12, 1);
    let (mut quota, now) = (Quota::default(), Instant::now());
    let mut max_sent = 0;
    for minute in 0..10 {
        let sent = |second: u64, quota: &mut Quota| {
            let picked = (0..60).filter(|index| {
                let ticket = Ticket::new(3, second * 60 + index);
                *pick_version(&split, ticket, quota, now, at(second)) == plan.to
            });
            picked.count()
        };
        let second_half: usize = (0..60).map(|s| sent(minute * 60 + s, &mut quota)).skip(30).sum();
        max_sent = max_sent.max(second_half);
    }
    // A twelfth of 60 requests per second is 150 in half a minute; the mean share gives 90.
    assert!(max_sent >= 130, "{max_sent} in the second half of a minute");
    let taken_back = Split::taken_back(&plan);
    let none = (0..100_000).all(|index| {
        *pick_version(&taken_back, Ticket::new(3, index), &mut quota, now, at(index)) == plan.from
    });
    assert!(none, "requests went to the new version after the move was taken back");
}

#[test]
fn a_cap_per_second_holds_and_is_divided_among_entries() {
    let plan = MovePlan { cap: Cap::PerSecond(9), ..plan() };
    let split = Split::new(&plan, Progress::at_step(2, at(0)), 1, 20, 3);
    let (mut quota, start) = (Quota::default(), Instant::now());
    for second in 0..5 {
        let now = start + Duration::from_secs(second);
        let picked = (0..10_000).filter(|index| {
            let ticket = Ticket::new(3, second * 10_000 + index);
            *pick_version(&split, ticket, &mut quota, now, at(59)) == plan.to
        });
        assert_eq!(picked.count(), 3);
    }
}

#[test]
fn equal_versions_raise_false_alarms_at_most_at_the_stated_rate() {
    const RUNS: u64 = 300;
    let strict =
        Budget { errors: 0.0, slow_first_token: 0.0, slow_inter_token: 0.0, ..Budget::default() };
    let plan = MovePlan { budget: strict, ..plan() };
    let mut alarms = 0_u64;
    for seed in 0..RUNS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut old, mut new) = (Counts::default(), Counts::default());
        let mut evidence = Evidence::default();
        for second in 0..100 {
            (0..40).for_each(|_| old.record(rng.random_bool(0.1), rng.random_bool(0.3), false));
            (0..10).for_each(|_| new.record(rng.random_bool(0.1), rng.random_bool(0.3), false));
            evidence.merge(1, EvidenceKey::new("report", "v1", 0), old);
            evidence.merge(2, EvidenceKey::new("report", "v2", 0), new);
            let decision = Controller.decide(&plan, Progress::new(at(0)), &evidence, at(second));
            if matches!(decision, Decision::TakeBack(..)) {
                alarms += 1;
                break;
            }
        }
    }
    assert!(alarms as f64 <= FALSE_ALARMS * RUNS as f64, "{alarms} of {RUNS}");
}
