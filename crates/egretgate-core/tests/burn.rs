//! Burn rates: windows against a simple oracle, merging, alerts and bounded memory.

use std::time::{Duration, Instant};

use egretgate_core::burn::{
    Alert, BurnCounter, Count, MAX_SERIES, OTHER_TEAMS, Row, WINDOWS, build_report, merge,
};
use egretgate_core::declaration::{Declarations, TierSpec};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MINUTE: Duration = Duration::from_mins(1);

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(7);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn declared(objectives: &[f64]) -> Declarations {
    let mut declared = Declarations::default();
    for (rank, &objective) in objectives.iter().enumerate() {
        let tier = TierSpec {
            rank: rank as u8,
            objective,
            first_token_ms: 1,
            between_tokens_ms: 1,
            deadline_ms: 1,
        };
        declared.tiers.insert(format!("tier-{rank}"), tier);
    }
    declared
}

/// One request: minutes since the previous one, tier, team and whether it was good.
type Event = (u32, u8, u8, bool);

fn events() -> impl Strategy<Value = Vec<Event>> {
    vec((0..45_u32, 0..3_u8, 0..3_u8, any::<bool>()), 0..120)
}

fn rows() -> impl Strategy<Value = Vec<Row>> {
    let count = (0..100_u64, 0..100_u64).prop_map(|(good, bad)| Count { good, bad });
    let row = (0..3_u8, 0..3_u8, 90..95_u8, vec(count, WINDOWS.len()));
    let row = row.prop_map(|(tier, team, percent, counts)| Row {
        tier: format!("tier-{tier}"),
        team: format!("team-{team}"),
        objective: f64::from(percent) / 100.0,
        counts: counts.try_into().expect("one count for each window"),
    });
    vec(row, 0..12)
}

/// Returns true if a request of `minute` counts in a window that ends in minute `now`: windows up
/// to an hour have a resolution of a minute, longer ones of ten minutes.
fn is_counted(window: Duration, minute: u32, now: u32) -> bool {
    let length = (window.as_secs() / 60) as u32;
    match length {
        ..=60 => minute + length > now,
        _ => minute / 10 + length / 10 > now / 10,
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn windows_agree_with_the_list_of_requests(events in events(), after in 0..500_u32) {
        let declared = declared(&[0.9, 0.95, 0.99]);
        let start = Instant::now();
        let mut burn = BurnCounter::new(start);
        let mut now = 0;
        let mut list = Vec::new();
        for (step, tier, team, good) in events {
            now += step;
            burn.record(start + MINUTE * now, tier, &format!("team-{team}"), good);
            list.push((now, tier, team, good));
        }
        now += after;
        let rows = burn.rows(start + MINUTE * now, &declared);
        for (tier, team) in (0..3).flat_map(|tier| (0..3).map(move |team| (tier, team))) {
            let expected = WINDOWS.map(|window| {
                let mut count = Count::default();
                for &(_, _, _, good) in list.iter().filter(|event| {
                    (event.1, event.2) == (tier, team) && is_counted(window, event.0, now)
                }) {
                    count.add(Count { good: good.into(), bad: (!good).into() });
                }
                count
            });
            let (tier, team) = (format!("tier-{tier}"), format!("team-{team}"));
            let found = rows.iter().find(|row| row.tier == tier && row.team == team);
            let found = found.map_or_else(Default::default, |row| row.counts);
            prop_assert_eq!(found, expected);
        }
    }

    #[test]
    fn merge_is_commutative_and_associative(a in rows(), b in rows(), c in rows()) {
        let merged = |a: &[Row], b: &[Row]| merge(a.iter().chain(b).cloned());
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
    }

    /// A report over merged rows contains the requests of every process exactly once.
    #[test]
    fn report_keeps_every_request(a in rows(), b in rows()) {
        let total = |rows: &[Row]| rows.iter().map(|row| row.counts[3].total()).sum::<u64>();
        let report = build_report(&merge(a.iter().chain(&b).cloned()));
        let lines = |lines: &[egretgate_core::burn::ReportLine]| {
            lines.iter().map(|line| line.good + line.bad).sum::<u64>()
        };
        prop_assert_eq!(lines(&report.tiers), total(&a) + total(&b));
        prop_assert_eq!(lines(&report.teams), total(&a) + total(&b));
    }
}

struct Case {
    name: &'static str,
    /// Good and bad requests over 5 minutes, 30 minutes, an hour and 6 hours.
    counts: [(u64, u64); WINDOWS.len()],
    left: f64,
    alert: Option<Alert>,
}

/// At an objective of 99%, a burn rate of 14.4 is 14.4% bad requests and a burn rate of 6 is 6%.
const CASES: [Case; 6] = [
    Case { name: "none", counts: [(0, 0); 4], left: 1.0, alert: None },
    Case { name: "just met", counts: [(99, 1); 4], left: 0.0, alert: None },
    Case {
        name: "fast",
        counts: [(85, 15), (90, 10), (850, 150), (9_850, 150)],
        left: -0.5,
        alert: Some(Alert::Fast),
    },
    Case {
        name: "fast, but no longer",
        counts: [(100, 0), (970, 30), (850, 150), (9_850, 150)],
        left: -0.5,
        alert: None,
    },
    Case {
        name: "slow",
        counts: [(93, 7), (93, 7), (93, 7), (93, 7)],
        left: -6.0,
        alert: Some(Alert::Slow),
    },
    Case {
        name: "slow, but no longer",
        counts: [(100, 0), (100, 0), (93, 7), (93, 7)],
        left: -6.0,
        alert: None,
    },
];

#[test]
fn alerts_need_a_long_and_a_short_window() {
    for case in CASES {
        let counts = case.counts.map(|(good, bad)| Count { good, bad });
        let (tier, team) = ("door".to_owned(), "rounds".to_owned());
        let row = Row { tier, team, objective: 0.99, counts };
        let report = build_report(&[row]);
        assert_eq!(report.tiers[0].alert, case.alert, "{}", case.name);
        assert!((report.tiers[0].left - case.left).abs() < 1e-9, "{}", case.name);
    }
}

#[test]
fn series_are_bounded_and_dropped_when_idle() {
    let declared = declared(&[0.9]);
    let start = Instant::now();
    let mut burn = BurnCounter::new(start);
    let teams = MAX_SERIES + 100;
    for team in 0..teams {
        burn.record(start, 0, &format!("team-{team}"), true);
    }
    assert_eq!(burn.len(), MAX_SERIES + 1);
    let rows = burn.rows(start, &declared);
    assert_eq!(rows.iter().map(|row| row.counts[0].good).sum::<u64>(), teams as u64);
    let other = rows.iter().find(|row| row.team == OTHER_TEAMS).expect("further teams");
    assert_eq!(other.counts[0].good, 100);

    burn.record(start + Duration::from_hours(7), 0, "team-0", true);
    assert_eq!(burn.len(), 1);
}

#[test]
fn buckets_of_a_series_are_bounded() {
    let start = Instant::now();
    let mut burn = BurnCounter::new(start);
    for minute in 0..3_000 {
        burn.record(start + MINUTE * minute, 0, "rounds", minute % 2 == 0);
        assert!(burn.buckets() <= 60 + 36, "{} buckets in minute {minute}", burn.buckets());
    }
}
