//! A team's limit where a deployment tolerates an excess over it: what the exact limit allows is
//! admitted, and the excess is never exceeded.

use std::time::{Duration, Instant};

use egretgate_core::gateway::catalog::TokenLimit;
use egretgate_core::gateway::limit_tolerance::LimitTolerance;
use egretgate_core::gateway::token_bucket::TokenBucket;

const LIMIT: TokenLimit = TokenLimit { rate: 60_000.0, burst: 60_000.0 };
const TOLERANCE: LimitTolerance =
    LimitTolerance { overage: 0.1, slack: 190_000.0, window: Duration::from_secs(8) };
const STEP: Duration = Duration::from_millis(10);
/// Steps between reports, which arrive one interval late.
const REPORT_STEPS: usize = 12;
const OVERDUE_AGE: Duration = Duration::from_millis(350);
const STEPS: usize = 2_600;
/// Steps in the window of the tolerance.
const WINDOW_STEPS: usize = 800;
const COST: u64 = 500;
const SMALL_COST: u64 = 100;
const LEAST_URGENT: u8 = 3;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    entries: usize,
    /// Entries that each hear no other during the cut.
    cut_off: usize,
    /// What the team sends relative to its limit before step 600, until step 1,800 and after.
    loads: [f64; 3],
    tier: u8,
    /// Tokens of a request.
    cost: u64,
    /// True if all entries lose their state at step 1,000.
    restart: bool,
    /// Fraction of what the exact limit allows that is admitted.
    least: f64,
}

struct Entry {
    bucket: TokenBucket,
    /// Total that the others know.
    reported: u64,
    /// Step of its last report.
    last: usize,
    offered: f64,
}

fn entry(entries: usize, now: Instant) -> Entry {
    let mut bucket = TokenBucket::new(LIMIT, now).with_tolerance(TOLERANCE);
    bucket.add_initial(entries);
    Entry { bucket, reported: 0, last: 0, offered: 0.0 }
}

/// Returns the tokens admitted in each step, and those that the exact limit admits.
fn play(case: &Case) -> (Vec<f64>, f64) {
    let start = Instant::now();
    let mut fleet: Vec<Entry> = (0..case.entries).map(|_| entry(case.entries, start)).collect();
    let (mut exact, mut exact_total) = (LIMIT.burst, 0.0);
    let mut admitted = Vec::new();
    for step in 0..STEPS {
        let now = start + STEP * step as u32;
        let is_cut = (500..1_700).contains(&step);
        let is_alone = |index: usize| is_cut && index < case.cut_off;
        if case.restart && step == 1_000 {
            fleet = (0..case.entries).map(|_| entry(case.entries, now)).collect();
        }
        if step % REPORT_STEPS == 0 {
            for from in 0..case.entries {
                let total = fleet[from].bucket.admitted();
                let spent = total - fleet[from].reported;
                if is_alone(from) {
                    continue;
                }
                fleet[from].reported = total;
                let silent = (step - std::mem::replace(&mut fleet[from].last, step)) as u32;
                // What was left to it while it was overdue.
                let overdue = (STEP * silent).saturating_sub(OVERDUE_AGE).as_secs_f64();
                let part = LIMIT.rate * overdue / case.entries as f64;
                let spent = spent.saturating_sub(part as u64);
                let heard = (0..case.entries).filter(|to| *to != from && !is_alone(*to));
                heard.for_each(|to| fleet[to].bucket.record_peer_spend(spent, now));
            }
        }
        exact = (exact + LIMIT.rate * STEP.as_secs_f64()).min(LIMIT.burst);
        let load = case.loads[usize::from(step >= 600) + usize::from(step >= 1_800)];
        let mut tokens = 0.0;
        for (index, entry) in fleet.iter_mut().enumerate() {
            let heard = if is_alone(index) {
                1
            } else if is_cut {
                case.entries - case.cut_off
            } else {
                case.entries
            };
            let heard_fraction = heard as f64 / case.entries as f64;
            entry.offered += LIMIT.rate * load * STEP.as_secs_f64() / case.entries as f64;
            while entry.offered >= case.cost as f64 {
                entry.offered -= case.cost as f64;
                if exact >= case.cost as f64 {
                    exact -= case.cost as f64;
                    exact_total += case.cost as f64;
                }
                if entry.bucket.take(case.cost, case.tier, heard_fraction, now).is_ok() {
                    tokens += case.cost as f64;
                }
            }
        }
        admitted.push(tokens);
    }
    (admitted, exact_total)
}

#[test]
fn what_the_limit_allows_is_admitted_and_the_excess_is_kept() {
    let case = Case {
        name: "",
        entries: 29,
        cut_off: 0,
        loads: [0.5, 0.9, 0.5],
        tier: LEAST_URGENT,
        cost: COST,
        restart: false,
        least: 0.99,
    };
    let cases = [
        Case { name: "one entry", entries: 1, ..case },
        Case { name: "twelve entries", entries: 12, ..case },
        Case { name: "within the limit", ..case },
        Case { name: "at the limit", loads: [1.0; 3], ..case },
        Case { name: "beyond, alone", entries: 1, loads: [0.5, 6.0, 1.0], ..case },
        Case { name: "beyond", loads: [0.5, 6.0, 1.0], ..case },
        Case { name: "urgent and beyond", loads: [0.5, 6.0, 1.0], tier: 0, ..case },
        Case { name: "within the limit and cut", cut_off: 10, ..case },
        Case {
            name: "urgent, idle, then cut",
            cut_off: 10,
            loads: [0.1, 6.0, 6.0],
            tier: 0,
            ..case
        },
        Case { name: "urgent, all cut", cut_off: 29, loads: [0.1, 6.0, 6.0], tier: 0, ..case },
        Case { name: "urgent restart", restart: true, loads: [0.5, 6.0, 6.0], tier: 0, ..case },
        Case {
            name: "small restart",
            restart: true,
            loads: [0.5, 6.0, 6.0],
            cost: SMALL_COST,
            ..case
        },
        Case {
            name: "small, all cut",
            cut_off: 29,
            loads: [0.1, 6.0, 6.0],
            cost: SMALL_COST,
            ..case
        },
        Case { name: "urgent restart while cut", restart: true, cut_off: 10, tier: 0, ..case },
    ];
    let most = LIMIT.rate * 8.0 + LIMIT.burst + TOLERANCE.excess(LIMIT);
    let mut violations = Vec::new();
    for case in cases {
        let (admitted, exact) = play(&case);
        let windows = admitted.windows(WINDOW_STEPS).map(|steps| steps.iter().sum::<f64>());
        let largest = windows.fold(0.0, f64::max);
        if largest > most {
            violations.push(format!("{}: {largest} in a window, {most} allowed", case.name));
        }
        let total: f64 = admitted.iter().sum();
        if total < exact * case.least {
            violations.push(format!("{}: {total} admitted, {exact} within the limit", case.name));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
