//! Parts of prompts that crash the upstreams which run them.

mod fleet;
mod rulings;

use std::time::Duration;

use fleet::{Fleet, Plan, Report};

/// Most requests with the part that may be sent later than the stable window after the fifth
/// crash.
const MAX_SENT_LATE: usize = 3;
/// Seeds of a case with few entries; large fleets are played with the first one.
const SEEDS: std::ops::Range<u64> = 0..3;

struct Case {
    name: &'static str,
    plan: Plan,
}

/// Plays each case with its seeds and returns what `check` finds wrong.
fn play(cases: &[Case], check: impl Fn(&Plan, &Report) -> Option<String> + Sync) -> Vec<String> {
    let check = &check;
    let play_case = |Case { name, plan }: &Case| {
        let seeds = if plan.entries > 5 { 0..1 } else { SEEDS };
        let runs = seeds.filter_map(|seed| {
            let report = Fleet::new(Plan { seed, ..plan.clone() }).run();
            check(plan, &report).map(|found| format!("{name}, seed {seed}: {found}"))
        });
        runs.collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            cases.iter().map(|case| scope.spawn(move || play_case(case))).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Guards against a part of prompts under which one upstream after the other crashes.
#[test]
fn a_part_that_crashes_upstreams_is_stopped() {
    let plan = || Plan { bad_rate: 2.0, ..Plan::default() };
    let fleet = |entries, upstreams| Plan { entries, upstreams, ..plan() };
    let large = |entries| Plan { rate: 250.0, seconds: 15.0, ..fleet(entries, 40) };
    let cases = [
        Case { name: "one entry", plan: fleet(1, 12) },
        Case { name: "two entries", plan: fleet(2, 12) },
        Case { name: "five entries", plan: plan() },
        Case { name: "26 entries", plan: large(26) },
        Case { name: "100 entries", plan: large(100) },
        Case { name: "often", plan: Plan { bad_rate: 12.0, ..plan() } },
        Case { name: "seldom", plan: Plan { bad_rate: 0.4, ..plan() } },
        Case { name: "at once, then seldom", plan: Plan { bad_burst: 8, bad_rate: 0.5, ..plan() } },
        Case {
            name: "after some events",
            plan: Plan { bad_writes: true, crash_after: Duration::from_millis(60), ..plan() },
        },
        Case {
            name: "after many events",
            plan: Plan { bad_writes: true, crash_after: Duration::from_millis(200), ..plan() },
        },
        Case { name: "few upstreams", plan: Plan { rate: 30.0, ..fleet(5, 4) } },
        Case { name: "some cut off", plan: Plan { cut_off: (2, 3.0..9.0), ..plan() } },
        Case {
            name: "restarts",
            plan: Plan { restarts: vec![5.0, 7.5, 9.0, 11.0, 13.5, 16.0], ..plan() },
        },
        Case { name: "all restart", plan: Plan { restart_all: Some(10.0), ..plan() } },
        Case {
            name: "all restart, seldom",
            plan: Plan { bad_rate: 0.6, restart_all: Some(14.0), seconds: 40.0, ..plan() },
        },
        Case { name: "joining", plan: Plan { joining: 3, ..plan() } },
        Case {
            name: "other crashes",
            plan: Plan { crashes: vec![(6.0, 0.3), (9.0, 0.3), (14.0, 0.5)], ..plan() },
        },
        Case {
            name: "all at once, 26 entries",
            plan: Plan {
                cut_off: (5, 4.0..10.0),
                restarts: vec![6.0, 12.0],
                joining: 2,
                crashes: vec![(7.0, 0.3), (13.0, 0.3)],
                ..large(26)
            },
        },
    ];
    let failed = play(&cases, |plan, report| {
        let late = report.sent_late();
        if late > MAX_SENT_LATE {
            return Some(format!("{late} sent late"));
        }
        let last = report.crashes.get(4).or(report.crashes.last())?;
        let span = last + 6.0..22.0f64.min(plan.seconds);
        if span.end - span.start < 1.0 {
            return None;
        }
        let (before, after) = (report.started(1.0..4.0), report.started(span));
        (after < before / 2.0).then(|| format!("{after:.3} start, {before:.3} before"))
    });
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against sound requests that are refused since upstreams crash for other reasons.
#[test]
fn crashes_for_other_reasons_refuse_no_sound_part() {
    let plan = |entries, crashes| Plan { entries, crashes, ..Plan::default() };
    let each = |from: f64, gap: f64, fraction: f64| {
        let times = (0..).map(move |index| from + gap * f64::from(index));
        times.take_while(|at| *at < 20.0).map(|at| (at, fraction)).collect::<Vec<_>>()
    };
    let large = |entries| Plan {
        upstreams: 40,
        rate: 250.0,
        seconds: 15.0,
        ..plan(entries, vec![(5.0, 0.3), (8.0, 0.6), (12.0, 0.15)])
    };
    let cases = [
        Case { name: "a third, one entry", plan: plan(1, vec![(5.0, 0.35)]) },
        Case { name: "a third, thrice", plan: plan(5, each(5.0, 3.0, 0.35)) },
        Case { name: "nearly all", plan: plan(5, vec![(5.0, 0.9), (10.0, 0.9)]) },
        Case { name: "all", plan: plan(5, vec![(5.0, 1.0), (10.0, 1.0), (15.0, 1.0)]) },
        Case { name: "one after the other", plan: plan(5, each(4.0, 0.25, 0.05)) },
        Case { name: "one after the other, quickly", plan: plan(2, each(4.0, 0.15, 0.05)) },
        Case { name: "26 entries", plan: large(26) },
        Case { name: "100 entries", plan: large(100) },
        Case {
            name: "100 entries, one after the other",
            plan: Plan { crashes: each(4.0, 0.1, 0.01), ..large(100) },
        },
        Case {
            name: "cut off, restarting and joining",
            plan: Plan {
                cut_off: (2, 4.0..10.0),
                restarts: vec![5.5, 8.0, 9.5, 12.0],
                joining: 2,
                ..plan(5, each(5.0, 2.0, 0.35))
            },
        },
    ];
    let failed = play(&cases, |_, report| {
        let refused = report.refused_parts;
        (refused > 0).then(|| format!("{refused} refused"))
    });
    assert!(failed.is_empty(), "{failed:#?}");
}
