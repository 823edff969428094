//! Choice of an upstream: every policy against a simple oracle, and the guarantees of affinity.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use egretgate_core::choice::{
    ChoiceRequest, Fleet, InFlightRequest, LoadReport, Policy, Upstream, UpstreamKey,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONES: [&str; 3] = ["boa-viagem", "santo-amaro", "olinda"];
const VERSIONS: [&str; 2] = ["v1", "v2"];

fn upstream(index: usize, versions: &[&str]) -> Upstream {
    Upstream {
        id: format!("forecast-{index}"),
        zone: ZONES[index % ZONES.len()].into(),
        service: "forecast-llm".into(),
        versions: versions.iter().map(ToString::to_string).collect(),
    }
}

fn request() -> ChoiceRequest<'static> {
    ChoiceRequest {
        service: "forecast-llm",
        version: Some("v1"),
        tier: 1,
        prompt_tokens: 1_000,
        output_tokens: 200,
        prefix_hash: 42,
        zone: ZONES[0],
        excluded: &[],
    }
}

fn idle() -> LoadReport {
    LoadReport { limit: 8, healthy: true, ..LoadReport::default() }
}

/// Returns a fleet of `size` idle upstreams, assigned to the zones in turn.
fn fleet(policy: Policy, size: usize, now: Instant) -> (Fleet, Vec<UpstreamKey>) {
    let mut fleet = Fleet::new(policy);
    let keys: Vec<_> = (0..size).map(|index| fleet.insert(upstream(index, &["v1"]))).collect();
    for &key in &keys {
        fleet.record_report(key, idle(), now);
    }
    (fleet, keys)
}

/// The oracle's state of an upstream.
#[derive(Debug)]
struct Known {
    key: UpstreamKey,
    versions: Vec<&'static str>,
    eligible: bool,
    weight: f64,
    healthy: bool,
}

fn some_versions(rng: &mut ChaCha8Rng) -> Vec<&'static str> {
    VERSIONS.into_iter().filter(|_| rng.random_bool(0.6)).collect()
}

#[test]
fn each_policy_finds_an_eligible_upstream_if_there_is_one() {
    for policy in Policy::ALL {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let start = Instant::now();
            let mut fleet = Fleet::new(policy);
            let mut known: Vec<Known> = Vec::new();
            let mut in_flight: Vec<(UpstreamKey, InFlightRequest)> = Vec::new();
            for step in 0..400 {
                let now = start + Duration::from_millis(50 * step);
                let any = rng.random_range(0..known.len().max(1));
                match rng.random_range(0..12) {
                    0 if known.len() < 60 => {
                        let versions = some_versions(&mut rng);
                        let key = fleet.insert(upstream(step as usize, &versions));
                        known.push(Known {
                            key,
                            versions,
                            eligible: true,
                            weight: 1.0,
                            healthy: true,
                        });
                    }
                    1 if known.len() > 3 => assert!(fleet.remove(known.swap_remove(any).key)),
                    2 if !known.is_empty() => {
                        known[any].weight = [0.0, 0.1, 1.0][rng.random_range(0..3)];
                        fleet.set_weight(known[any].key, known[any].weight);
                    }
                    3 if !known.is_empty() => {
                        known[any].healthy = rng.random_bool(0.7);
                        let report = LoadReport { healthy: known[any].healthy, ..idle() };
                        fleet.record_report(known[any].key, report, now);
                    }
                    4 if !known.is_empty() => {
                        known[any].versions = some_versions(&mut rng);
                        let versions = known[any].versions.iter().map(ToString::to_string);
                        fleet.set_versions(known[any].key, versions.collect());
                    }
                    5 | 6 if !in_flight.is_empty() => {
                        let index = rng.random_range(0..in_flight.len());
                        let (key, mut ended) = in_flight.swap_remove(index);
                        if rng.random_bool(0.7) {
                            fleet.record_first_token(key, &mut ended, now);
                        }
                        fleet.end(key, ended, rng.random_range(0..100), now);
                    }
                    _ => {
                        let version =
                            rng.random_bool(0.8).then(|| VERSIONS[rng.random_range(0..2)]);
                        let excluded: Vec<_> =
                            known.iter().filter(|_| rng.random_bool(0.4)).map(|k| k.key).collect();
                        let request = ChoiceRequest {
                            version,
                            prefix_hash: rng.random(),
                            zone: ZONES[rng.random_range(0..3)],
                            excluded: &excluded,
                            ..request()
                        };
                        for upstream in &mut known {
                            let runs_version =
                                version.is_none_or(|v| upstream.versions.contains(&v));
                            let allowed = !excluded.contains(&upstream.key);
                            upstream.eligible = runs_version
                                && allowed
                                && upstream.weight > 0.0
                                && upstream.healthy;
                        }
                        let chosen = fleet.choose(&request, now, &mut rng);
                        let context = format!("{policy:?} seed {seed} step {step}");
                        let Some(key) = chosen else {
                            assert!(known.iter().all(|k| !k.eligible), "{context}: none chosen");
                            continue;
                        };
                        let found = known.iter().find(|k| k.key == key);
                        assert!(found.is_some_and(|k| k.eligible), "{context}: {found:?}");
                        in_flight.push((key, fleet.begin(key, &request, now)));
                    }
                }
                let total: u32 =
                    known.iter().map(|k| fleet.view(k.key).expect("known").own_in_flight()).sum();
                let live = |key: UpstreamKey| fleet.view(key).is_some();
                let counted = in_flight.iter().filter(|&&(key, _)| live(key)).count() as u32;
                assert_eq!(counted, total, "{policy:?} seed {seed} step {step}");
            }
        }
    }
}

#[test]
fn an_idle_fleet_sends_a_prefix_to_one_upstream_of_the_own_zone() {
    for size in [9, 90, 600] {
        let now = Instant::now();
        let (mut fleet, _) = fleet(Policy::Affinity, size, now);
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let mut used = BTreeSet::new();
        for prefix in 0..50 {
            let request =
                ChoiceRequest { prefix_hash: xxhash_rust::xxh3::xxh3_64(&[prefix]), ..request() };
            let first = fleet.choose(&request, now, &mut rng).expect("an upstream");
            assert_eq!(fleet.view(first).expect("known").upstream.zone, ZONES[0]);
            for _ in 0..5 {
                let in_flight = fleet.begin(first, &request, now);
                fleet.end(first, in_flight, 0, now);
                assert_eq!(fleet.choose(&request, now, &mut rng), Some(first), "size {size}");
            }
            used.insert(first);
        }
        assert!(used.len() > 2, "prefixes spread over upstreams");
    }
}

#[test]
fn a_popular_prefix_overloads_no_upstream() {
    for size in [12, 120] {
        let now = Instant::now();
        let (mut fleet, keys) = fleet(Policy::Affinity, size, now);
        let mut rng = ChaCha8Rng::seed_from_u64(4);
        // Each upstream of the own zone has 8 slots; all requests share one prefix.
        let own = size / ZONES.len();
        for _ in 0..own * 8 {
            let key = fleet.choose(&request(), now, &mut rng).expect("an upstream");
            fleet.begin(key, &request(), now);
        }
        let max = keys.iter().map(|&key| fleet.view(key).expect("known").own_in_flight()).max();
        assert!(max <= Some(8 * 3 / 2), "size {size}: {max:?} at one upstream");
    }
}

#[test]
fn load_in_the_own_zone_spills_over_to_others() {
    for size in [9, 90] {
        let now = Instant::now();
        let (mut fleet, keys) = fleet(Policy::Affinity, size, now);
        let busy = LoadReport {
            queued: 30,
            running: 8,
            pending_tokens: 10_000,
            inter_token: Duration::from_millis(30),
            ..idle()
        };
        keys.iter().step_by(3).for_each(|&key| fleet.record_report(key, busy, now));
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut away = 0;
        for _ in 0..200 {
            let key = fleet.choose(&request(), now, &mut rng).expect("an upstream");
            away += u32::from(fleet.view(key).expect("known").upstream.zone != ZONES[0]);
        }
        // Two samples among three zones both draw the own zone one time in nine.
        assert!(away >= 150, "size {size}: {away} of 200 elsewhere");
    }
}

/// How the faulty upstream differs from the others, whose reports are true and recent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// Reports itself idle with many slots, but requests take seconds to start.
    FalseReports,
    /// Stopped reporting: its last report, from before it became slow, says that it is idle.
    StaleReport,
    /// In slow start, at a tenth of its weight.
    SlowStart,
    /// Reports that it refuses the tier.
    RefusesTier,
}

#[test]
fn a_faulty_upstream_does_not_attract_the_load() {
    struct Case {
        fault: Fault,
        /// Maximum number of 3,000 requests that one of 9 upstreams may receive; an equal share is
        /// 333.
        max_requests: u64,
    }
    let cases = [
        Case { fault: Fault::FalseReports, max_requests: 333 },
        Case { fault: Fault::StaleReport, max_requests: 333 },
        Case { fault: Fault::SlowStart, max_requests: 333 / 2 },
        Case { fault: Fault::RefusesTier, max_requests: 0 },
    ];
    for Case { fault, max_requests } in cases {
        let start = Instant::now();
        let (mut fleet, keys) = fleet(Policy::Affinity, 9, start);
        let faulty = keys[0];
        if fault == Fault::SlowStart {
            fleet.set_weight(faulty, 0.1);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(6);
        let mut waiting: Vec<(Duration, UpstreamKey, InFlightRequest)> = Vec::new();
        let mut count = 0;
        for step in 0..3_000_u64 {
            let time = Duration::from_millis(10 * step);
            let now = start + time;
            for (_, key, mut in_flight) in waiting.extract_if(.., |(due, ..)| *due <= time) {
                fleet.record_first_token(key, &mut in_flight, now);
                fleet.end(key, in_flight, 0, now);
            }
            if step % 20 == 0 {
                let slots = if fault == Fault::FalseReports { 64 } else { 8 };
                let shed = (fault == Fault::RefusesTier).then_some(1);
                for &key in &keys {
                    let report = LoadReport { running: 4, ..idle() };
                    let faulty_report = LoadReport { limit: slots, shed_tier: shed, ..idle() };
                    match fault {
                        Fault::StaleReport if key == faulty => {}
                        _ => fleet.record_report(
                            key,
                            if key == faulty { faulty_report } else { report },
                            now,
                        ),
                    }
                }
            }
            let request = ChoiceRequest { prefix_hash: rng.random(), ..request() };
            let key = fleet.choose(&request, now, &mut rng).expect("an upstream");
            let slow = key == faulty && matches!(fault, Fault::FalseReports | Fault::StaleReport);
            let takes = Duration::from_millis(if slow { 4_000 } else { 150 });
            waiting.push((time + takes, key, fleet.begin(key, &request, now)));
            count += u64::from(key == faulty);
        }
        assert!(
            count <= max_requests,
            "{fault:?}: {count} of 3000 at the faulty one, at most {max_requests}"
        );
    }
}

/// Guards against an upstream that was slow once, is avoided for that and never gets work again.
#[test]
fn an_upstream_that_was_slow_is_tried_again() {
    const SLOW: Duration = Duration::from_secs(1);
    const FAST: Duration = Duration::from_millis(20);
    const AVOIDED_TIME: Duration = Duration::from_secs(2);
    const RETRY_TIME: Duration = Duration::from_secs(20);
    let short = ChoiceRequest { prompt_tokens: 4, ..request() };
    let mut now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut fleet = Fleet::new(Policy::Affinity);
    let [slow, fast] = [0, 3].map(|index| fleet.insert(upstream(index, &["v1"])));
    let run = |fleet: &mut Fleet, key, took: Duration, now: Instant| {
        let mut in_flight = fleet.begin(key, &short, now);
        fleet.record_first_token(key, &mut in_flight, now + took);
        fleet.end(key, in_flight, 0, now + took);
    };
    for _ in 0..20 {
        run(&mut fleet, slow, SLOW, now);
        run(&mut fleet, fast, FAST, now);
    }
    let begin = now + SLOW;
    now = begin;
    loop {
        assert!(now < begin + RETRY_TIME, "it gets nothing any more");
        for key in [slow, fast] {
            fleet.record_report(key, idle(), now);
        }
        if fleet.choose(&short, now, &mut rng) == Some(slow) {
            break;
        }
        run(&mut fleet, fast, FAST, now);
        now += Duration::from_millis(100);
    }
    assert!(now >= begin + AVOIDED_TIME, "it attracts requests after {:?}", now - begin);
}

#[test]
fn upstreams_in_drained_zones_get_nothing_under_any_policy() {
    let policies = [
        Policy::Random,
        Policy::LeastInFlight,
        Policy::TwoChoices,
        Policy::Prequal,
        Policy::Affinity,
    ];
    for policy in policies {
        // Above and below the size up to which a choice compares all members.
        for size in [6, 60] {
            let now = Instant::now();
            let (mut fleet, _) = fleet(policy, size, now);
            let mut rng = ChaCha8Rng::seed_from_u64(size as u64);
            fleet.set_drained(BTreeSet::from([ZONES[0].to_owned()]));
            let late = fleet.insert(upstream(3 * size, &["v1"]));
            fleet.record_report(late, idle(), now);
            let mut chosen = BTreeSet::new();
            for _ in 0..200 {
                let key = fleet.choose(&request(), now, &mut rng).expect("two zones are left");
                chosen.insert(fleet.view(key).expect("known").upstream.zone.clone());
            }
            assert!(!chosen.contains(ZONES[0]), "{policy:?} {size}: {chosen:?}");
            fleet.set_drained(ZONES.map(str::to_owned).into());
            assert_eq!(fleet.choose(&request(), now, &mut rng), None, "{policy:?} {size}");
            fleet.set_drained(ZONES[1..].iter().map(ToString::to_string).collect());
            let key = fleet.choose(&request(), now, &mut rng).expect("restored");
            assert_eq!(fleet.view(key).expect("known").upstream.zone, ZONES[0]);
        }
    }
}
