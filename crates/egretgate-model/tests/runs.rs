//! Runs of whole sites.

use egretgate_model::experiment::{self, Difference, Estimate};
use egretgate_model::site::{Trouble, TroubleKind};
use egretgate_model::{Policy, Results, Site, simulate};

const SMALL: &str = include_str!("../sites/small.toml");
const SITES: [&str; 6] = [
    SMALL,
    include_str!("../sites/recife.toml"),
    include_str!("../sites/recife-burst.toml"),
    include_str!("../sites/recife-grown-burst.toml"),
    include_str!("../sites/ulaanbaatar.toml"),
    include_str!("../sites/ulaanbaatar-burst.toml"),
];

fn small() -> Site {
    Site::parse(SMALL).unwrap()
}

fn text(results: &Results) -> String {
    serde_json::to_string(results).unwrap()
}

#[test]
fn sites_are_read() {
    for site in SITES {
        Site::parse(site).unwrap();
    }
}

#[test]
fn faulty_sites_are_refused() {
    struct Case {
        from: &'static str,
        to: &'static str,
        message: &'static str,
    }
    const CASES: [Case; 6] = [
        Case { from: "slots = 6", to: "slots = 0", message: "slots must be over 0" },
        Case { from: "service = \"ledger\"", to: "service = \"none\"", message: "no service none" },
        Case { from: "attempts = 2", to: "attempts = 0", message: "attempts must be over 0" },
        Case {
            from: "report_ms = 40.0",
            to: "report_ms = 0.0",
            message: "report_ms must be over 0",
        },
        Case { from: "name = \"ledger\"", to: "name = \"writer\"", message: "two services" },
        Case { from: "link_ms", to: "link_msec", message: "unknown field" },
    ];
    for case in CASES {
        let error = Site::parse(&SMALL.replacen(case.from, case.to, 1)).unwrap_err();
        let error = format!("{error:#}");
        assert!(error.contains(case.message), "{}: {error}", case.to);
    }
}

#[test]
fn a_seed_gives_the_same_run_and_every_policy_the_same_callers() {
    let site = small();
    for policy in Policy::ALL {
        let results = simulate(&site, policy, 3);
        assert_eq!(text(&results), text(&simulate(&site, policy, 3)), "{policy:?}");
        let asked = |results: &Results| results.kinds.iter().map(|kind| kind.asked).collect();
        let first: Vec<u64> = asked(&simulate(&site, Policy::Egretgate, 3));
        let own: Vec<u64> = asked(&results);
        assert_eq!(first, own, "{policy:?}");
        for kind in &results.kinds {
            let ended = kind.in_time + kind.late + kind.refused + kind.failed;
            assert_eq!(kind.asked, ended, "{policy:?}: {}: each request ends once", kind.kind);
        }
    }
}

#[test]
fn without_overload_everything_is_in_time() {
    let mut site = small();
    site.troubles.clear();
    site.requests.iter_mut().for_each(|kind| kind.per_second *= 0.5);
    for seed in 0..4 {
        let results = simulate(&site, Policy::Egretgate, seed);
        assert!(results.value > 0.99, "seed {seed}: {results:?}");
    }
}

/// Guards against less urgent requests taking capacity from the top tier, at twice the load that
/// the engines can run, most of it less urgent.
#[test]
fn at_twice_the_capacity_the_top_tier_gets_what_it_gets_alone() {
    let mut alone = small();
    alone.troubles.clear();
    alone.requests.retain(|kind| kind.service == "writer" && kind.tier == 0);
    let mut both = small();
    both.troubles.clear();
    both.requests.retain(|kind| kind.service == "writer");
    // The requests for notes alone exceed what the engines can run.
    both.requests[1].per_second *= 8.0;
    let in_time = |site: &Site| {
        let runs = experiment::run(site, &[Policy::Egretgate], 0..8, false);
        let kinds = runs[0].results.iter().map(|results| &results.kinds[0]);
        let (in_time, asked) =
            kinds.fold((0, 0), |(good, all), kind| (good + kind.in_time, all + kind.asked));
        in_time as f64 / asked as f64
    };
    let (alone, both) = (in_time(&alone), in_time(&both));
    assert!(both >= 0.99 * alone, "{both:.3} with the other tier, {alone:.3} alone");
}

#[test]
fn the_policy_beats_the_baselines_under_load() {
    let site = small();
    let policies = [Policy::LeastInFlight, Policy::Egretgate, Policy::InOrder, Policy::Random];
    let runs = experiment::run(&site, &policies, 0..12, false);
    for base in [0, 2, 3] {
        let gain = Difference::between(&runs[1], &runs[base]).value;
        assert!(gain.mean > 0.0 && gain.is_significant(), "{:?}: {gain:?}", runs[base].policy);
    }
}

#[test]
fn troubles_reduce_the_value() {
    let without_troubles = Site { troubles: Vec::new(), ..small() };
    let untroubled = simulate(&without_troubles, Policy::Egretgate, 1);
    let service = || "writer".to_owned();
    let kinds = [
        TroubleKind::Crash { service: service(), part: 0.5 },
        TroubleKind::Slow { service: service(), part: 1.0, factor: 4.0 },
        TroubleKind::Fail { service: service(), part: 1.0, rate: 0.5 },
        TroubleKind::Burst { factor: 5.0 },
    ];
    for what in kinds {
        let name = format!("{what:?}");
        let trouble = Trouble { at: 2.0, seconds: 6.0, what };
        let site = Site { troubles: vec![trouble], ..without_troubles.clone() };
        let results = simulate(&site, Policy::Egretgate, 1);
        assert!(
            results.value < untroubled.value,
            "{name}: {} of {}",
            results.value,
            untroubled.value
        );
    }
}

#[test]
fn estimates_of_known_samples() {
    struct Case {
        samples: &'static [f64],
        mean: f64,
        margin: f64,
    }
    // Margins by tables of Student's t distribution: 12.706 for one degree of freedom, 2.776 for
    // four.
    const CASES: [Case; 3] = [
        Case { samples: &[1.0, 3.0], mean: 2.0, margin: 12.706 },
        Case { samples: &[2.0, 2.0, 2.0], mean: 2.0, margin: 0.0 },
        Case { samples: &[1.0, 2.0, 3.0, 4.0, 5.0], mean: 3.0, margin: 1.963 },
    ];
    for case in CASES {
        let estimate = Estimate::of(case.samples);
        assert!((estimate.mean - case.mean).abs() < 1e-9, "{:?}", case.samples);
        assert!((estimate.margin - case.margin).abs() < 1e-3, "{:?}: {estimate:?}", case.samples);
    }
    assert!(!Estimate::of(&[1.0]).is_significant());
}
