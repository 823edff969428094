//! Membership: goodbyes, silence, unreachable zones and returns.

use std::time::{Duration, Instant};

use egretgate_core::membership::{
    Listing, MemberState, Membership, MembershipChange, MembershipOptions, heartbeat_interval,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);
/// Time after which an upstream that is silent or leaving must receive no requests, from issue 4.
const PROMPT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
enum Op {
    Heard(usize, u64),
    Goodbye(usize, u64),
    Cut(usize, u64),
    Listed(usize, bool),
    Wait(u32),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        6 => (0..4usize, 0..3u64).prop_map(|(at, life)| Op::Heard(at, life)),
        1 => (0..4usize, 0..3u64).prop_map(|(at, life)| Op::Goodbye(at, life)),
        1 => (0..4usize, 0..3u64).prop_map(|(at, life)| Op::Cut(at, life)),
        1 => (0..4usize, any::<bool>()).prop_map(|(at, leaving)| Op::Listed(at, leaving)),
        3 => (1..900u32).prop_map(Op::Wait),
    ];
    prop::collection::vec(op, 1..150)
}

/// The oracle's state of one upstream.
#[derive(Debug, Default)]
struct Known {
    life: Option<u64>,
    former: Option<u64>,
    goodbye: bool,
    listed: bool,
    cut: bool,
    heard: Option<Instant>,
}

fn name(at: usize) -> String {
    format!("upstream-{at}")
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::with_cases(3000)
    })]

    #[test]
    fn nothing_new_goes_to_what_leaves_or_is_silent(ops in ops()) {
        let mut members = Membership::new(MembershipOptions::default());
        let mut known: Vec<Known> = (0..4).map(|_| Known::default()).collect();
        let mut now = Instant::now();
        for op in ops {
            match op {
                Op::Heard(at, life) => {
                    members.record_heartbeat(&name(at), "zone", life, now);
                    let one = &mut known[at];
                    if one.former == Some(life) {
                        continue;
                    }
                    if one.life != Some(life) {
                        *one = Known { life: Some(life), former: one.life, ..Known::default() };
                    }
                    (one.cut, one.heard) = (false, Some(now));
                }
                Op::Goodbye(at, life) => {
                    members.record_goodbye(&name(at), life);
                    known[at].goodbye |= known[at].life == Some(life);
                }
                Op::Cut(at, life) => {
                    members.record_disconnect(&name(at), life);
                    known[at].cut |= known[at].life == Some(life);
                }
                Op::Listed(at, leaving) => {
                    let listing = if leaving { Listing::Leaving } else { Listing::Live };
                    members.record_listing(&name(at), listing, now);
                    let one = &mut known[at];
                    if one.listed && !leaving {
                        one.heard = None;
                    }
                    one.listed = leaving;
                }
                Op::Wait(ms) => {
                    now += MS * ms;
                    members.tick(now);
                }
            }
            for (at, one) in known.iter().enumerate() {
                let weight = members.weight(&name(at), now);
                let silent = one.heard.is_none_or(|heard| now - heard > PROMPT);
                prop_assert!((0.0..=1.0).contains(&weight));
                if one.goodbye || one.listed || one.cut || silent {
                    prop_assert!(weight <= 0.0, "{:?}", one);
                } else if one.heard == Some(now) {
                    prop_assert!(weight > 0.0, "{:?}", one);
                }
            }
            let eligible = members.eligible(now).count();
            let counted = (0..4).filter(|&at| members.weight(&name(at), now) > 0.0).count();
            prop_assert_eq!(eligible, counted);
        }
    }
}

struct Scene {
    name: &'static str,
    /// Whether upstream `n` of 20 falls silent; upstream `n` is in zone `n % 4`.
    silent: fn(usize) -> bool,
    /// Seconds between the first silence and the last.
    spread: u32,
    /// Zones detected as unreachable.
    cuts: usize,
    /// Upstreams detected as dead.
    deaths: usize,
}

/// Twenty upstreams in four zones send heartbeats every half second with jitter; some become
/// silent. A silent zone must be reported as unreachable, not as the death of each of its
/// upstreams.
#[test]
fn a_cut_zone_is_not_many_deaths() {
    let cases = [
        Scene { name: "none", silent: |_| false, spread: 0, cuts: 0, deaths: 0 },
        Scene { name: "one", silent: |at| at == 7, spread: 0, cuts: 0, deaths: 1 },
        Scene { name: "two", silent: |at| at == 0 || at == 4, spread: 0, cuts: 0, deaths: 2 },
        Scene { name: "one in each zone", silent: |at| at < 4, spread: 0, cuts: 0, deaths: 4 },
        Scene { name: "a zone", silent: |at| at % 4 == 1, spread: 0, cuts: 1, deaths: 0 },
        Scene { name: "own link", silent: |_| true, spread: 0, cuts: 4, deaths: 0 },
        Scene {
            name: "3 s apart",
            silent: |at| at < 10 && at % 4 == 1,
            spread: 15,
            cuts: 0,
            deaths: 3,
        },
        Scene { name: "one by one", silent: |at| at % 4 == 1, spread: 400, cuts: 0, deaths: 5 },
    ];
    for (case, seed) in cases.iter().flat_map(|case| (0..10).map(move |seed| (case, seed))) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut members = Membership::new(MembershipOptions::default());
        let from = |at: usize| start + MS * 20_000 + MS * 50 * case.spread * at as u32;
        let healed = start + MS * (60_000 + 1000 * case.spread);
        let mut beats: Vec<_> = (0..20).map(|_| start + MS * rng.random_range(0..500)).collect();
        let (mut cuts, mut backs, mut deaths) = (0, 0, 0);
        let mut now = start;
        while now < healed + MS * 30_000 {
            now += MS * 50;
            let mut changes = Vec::new();
            for (at, beat) in beats.iter_mut().enumerate() {
                let is_silent = (case.silent)(at) && now >= from(at) && now < healed;
                if now >= *beat {
                    *beat = now + MS * rng.random_range(350..650);
                    if !is_silent {
                        changes.extend(members.record_heartbeat(
                            &name(at),
                            &format!("p{}", at % 4),
                            1,
                            now,
                        ));
                    }
                }
                let settled = now > from(at) + PROMPT && is_silent;
                assert!(!settled || members.weight(&name(at), now) <= 0.0, "{}", case.name);
            }
            changes.extend(members.tick(now));
            for change in changes {
                cuts += usize::from(matches!(change, MembershipChange::ZoneUnreachable(_)));
                backs += usize::from(matches!(change, MembershipChange::ZoneReachable(_)));
                deaths += usize::from(matches!(change, MembershipChange::Died(_)));
            }
        }
        let due = [case.cuts, case.cuts, case.deaths];
        assert_eq!([cuts, backs, deaths], due, "{}, seed {seed}", case.name);
        assert_eq!(members.eligible(now).count(), 20, "{}, seed {seed}", case.name);
    }
}

struct ReturnCase {
    name: &'static str,
    /// Length of the silence in milliseconds.
    silence: u32,
    life: u64,
    /// Weight after the return.
    weight: f64,
}

#[test]
fn a_return_starts_slowly() {
    let options = MembershipOptions::default();
    let floor = options.ramp_floor;
    let cases = [
        ReturnCase { name: "a few beats", silence: 2500, life: 1, weight: 1.0 },
        ReturnCase { name: "death", silence: 20_000, life: 1, weight: floor },
        ReturnCase { name: "another life", silence: 600, life: 2, weight: floor },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut members = Membership::new(options);
        for _ in 0..40 {
            members.record_heartbeat("a", "zone", 1, now);
            now += options.heartbeat_interval;
        }
        assert!(members.weight("a", now) >= 1.0);
        now += MS * case.silence;
        members.tick(now);
        members.record_heartbeat("a", "zone", case.life, now);
        let found = [0, 1, 2].map(|step| members.weight("a", now + options.ramp_time / 2 * step));
        let expected = [case.weight, f64::midpoint(case.weight, 1.0), 1.0];
        let same = found.iter().zip(expected).all(|(found, due)| (found - due).abs() < 1e-9);
        assert!(same, "{}: {found:?}", case.name);
    }
}

#[test]
fn silence_is_judged_by_the_pause_that_the_number_of_entries_sets() {
    struct Case {
        entries: u32,
        silence: Duration,
        standing: MemberState,
    }
    let cases = [
        Case { entries: 3, silence: Duration::from_millis(600), standing: MemberState::Live },
        Case { entries: 3, silence: Duration::from_secs(3), standing: MemberState::Suspect },
        Case { entries: 114, silence: Duration::from_secs(4), standing: MemberState::Live },
        Case { entries: 114, silence: Duration::from_secs(30), standing: MemberState::Suspect },
    ];
    for case in cases {
        let start = Instant::now();
        let mut membership = Membership::new(MembershipOptions::default());
        membership.record_heartbeat("writer-1", "olinda", 1, start);
        membership.set_interval(heartbeat_interval(case.entries));
        // Other upstreams of the zone send heartbeats, so that the zone does not count as
        // unreachable.
        let now = start + case.silence;
        for other in ["writer-2", "writer-3"] {
            membership.record_heartbeat(other, "olinda", 1, now);
        }
        membership.tick(now);
        let standing = membership.state("writer-1");
        assert_eq!(standing, Some(case.standing), "{} entries", case.entries);
    }
}
