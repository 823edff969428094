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
/// Required bound of the time during which a silent upstream may still receive requests.
const MAX_REACTION_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
enum Op {
    /// Upstream and incarnation, as in the two below.
    Heartbeat(usize, u64),
    Goodbye(usize, u64),
    Disconnect(usize, u64),
    /// Upstream, and whether it is listed as leaving.
    Listed(usize, bool),
    /// Lets this many milliseconds pass.
    Wait(u32),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        6 => (0..4usize, 0..3u64).prop_map(|(at, incarnation)| Op::Heartbeat(at, incarnation)),
        1 => (0..4usize, 0..3u64).prop_map(|(at, incarnation)| Op::Goodbye(at, incarnation)),
        1 => (0..4usize, 0..3u64).prop_map(|(at, incarnation)| Op::Disconnect(at, incarnation)),
        1 => (0..4usize, any::<bool>()).prop_map(|(at, leaving)| Op::Listed(at, leaving)),
        3 => (1..900u32).prop_map(Op::Wait),
    ];
    prop::collection::vec(op, 1..150)
}

/// The oracle's state of one upstream.
#[derive(Debug, Default)]
struct Known {
    incarnation: Option<u64>,
    previous: Option<u64>,
    goodbye: bool,
    listed_leaving: bool,
    disconnected: bool,
    last_frame: Option<Instant>,
}

fn name(at: usize) -> String {
    format!("upstream-{at}")
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::with_cases(3000)
    })]

    #[test]
    fn upstreams_that_leave_or_are_silent_receive_nothing(ops in ops()) {
        let mut members = Membership::new(MembershipOptions::default());
        let mut known: Vec<Known> = (0..4).map(|_| Known::default()).collect();
        let mut now = Instant::now();
        for op in ops {
            match op {
                Op::Heartbeat(at, incarnation) => {
                    members.record_heartbeat(&name(at), "zone", incarnation, now);
                    let one = &mut known[at];
                    if one.previous == Some(incarnation) {
                        continue;
                    }
                    if one.incarnation != Some(incarnation) {
                        *one = Known {
                            incarnation: Some(incarnation),
                            previous: one.incarnation,
                            ..Known::default()
                        };
                    }
                    (one.disconnected, one.last_frame) = (false, Some(now));
                }
                Op::Goodbye(at, incarnation) => {
                    members.record_goodbye(&name(at), incarnation);
                    known[at].goodbye |= known[at].incarnation == Some(incarnation);
                }
                Op::Disconnect(at, incarnation) => {
                    members.record_disconnect(&name(at), incarnation);
                    known[at].disconnected |= known[at].incarnation == Some(incarnation);
                }
                Op::Listed(at, leaving) => {
                    let listing = if leaving { Listing::Leaving } else { Listing::Live };
                    members.record_listing(&name(at), listing, now);
                    let one = &mut known[at];
                    if one.listed_leaving && !leaving {
                        one.last_frame = None;
                    }
                    one.listed_leaving = leaving;
                }
                Op::Wait(ms) => {
                    now += MS * ms;
                    members.tick(now);
                }
            }
            for (at, one) in known.iter().enumerate() {
                let weight = members.weight(&name(at), now);
                let silent = one.last_frame.is_none_or(|last| now - last > MAX_REACTION_TIME);
                prop_assert!((0.0..=1.0).contains(&weight));
                if one.goodbye || one.listed_leaving || one.disconnected || silent {
                    prop_assert!(weight <= 0.0, "{:?}", one);
                } else if one.last_frame == Some(now) {
                    prop_assert!(weight > 0.0, "{:?}", one);
                }
            }
            let eligible = members.eligible(now).count();
            let counted = (0..4).filter(|&at| members.weight(&name(at), now) > 0.0).count();
            prop_assert_eq!(eligible, counted);
        }
    }
}

struct Scenario {
    name: &'static str,
    /// Whether upstream `n` of 20 becomes silent; upstream `n` is in zone `n % 4`.
    silent: fn(usize) -> bool,
    /// Seconds between the first silence and the last.
    spread: u32,
    /// Zones detected as unreachable.
    unreachable: usize,
    /// Upstreams detected as dead.
    deaths: usize,
}

/// Twenty upstreams in four zones send heartbeats every half second with jitter; some become
/// silent. A silent zone must be reported as unreachable, not as the death of each of its
/// upstreams.
#[test]
fn an_unreachable_zone_is_not_reported_as_deaths() {
    let cases = [
        Scenario { name: "none", silent: |_| false, spread: 0, unreachable: 0, deaths: 0 },
        Scenario { name: "one", silent: |at| at == 7, spread: 0, unreachable: 0, deaths: 1 },
        Scenario {
            name: "two",
            silent: |at| at == 0 || at == 4,
            spread: 0,
            unreachable: 0,
            deaths: 2,
        },
        Scenario {
            name: "one in each zone",
            silent: |at| at < 4,
            spread: 0,
            unreachable: 0,
            deaths: 4,
        },
        Scenario { name: "a zone", silent: |at| at % 4 == 1, spread: 0, unreachable: 1, deaths: 0 },
        Scenario {
            name: "the entry's own link",
            silent: |_| true,
            spread: 0,
            unreachable: 4,
            deaths: 0,
        },
        Scenario {
            name: "3 s apart",
            silent: |at| at < 10 && at % 4 == 1,
            spread: 15,
            unreachable: 0,
            deaths: 3,
        },
        Scenario {
            name: "one by one",
            silent: |at| at % 4 == 1,
            spread: 400,
            unreachable: 0,
            deaths: 5,
        },
    ];
    for (case, seed) in cases.iter().flat_map(|case| (0..10).map(move |seed| (case, seed))) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut members = Membership::new(MembershipOptions::default());
        let silent_from = |at: usize| start + MS * 20_000 + MS * 50 * case.spread * at as u32;
        let recovery = start + MS * (60_000 + 1000 * case.spread);
        let mut next_heartbeats: Vec<_> =
            (0..20).map(|_| start + MS * rng.random_range(0..500)).collect();
        let (mut unreachable, mut reachable, mut deaths) = (0, 0, 0);
        let mut now = start;
        while now < recovery + MS * 30_000 {
            now += MS * 50;
            let mut changes = Vec::new();
            for (at, next_heartbeat) in next_heartbeats.iter_mut().enumerate() {
                let is_silent = (case.silent)(at) && now >= silent_from(at) && now < recovery;
                if now >= *next_heartbeat {
                    *next_heartbeat = now + MS * rng.random_range(350..650);
                    if !is_silent {
                        changes.extend(members.record_heartbeat(
                            &name(at),
                            &format!("p{}", at % 4),
                            1,
                            now,
                        ));
                    }
                }
                let must_be_ineligible = now > silent_from(at) + MAX_REACTION_TIME && is_silent;
                assert!(
                    !must_be_ineligible || members.weight(&name(at), now) <= 0.0,
                    "{}",
                    case.name
                );
            }
            changes.extend(members.tick(now));
            for change in changes {
                unreachable += usize::from(matches!(change, MembershipChange::ZoneUnreachable(_)));
                reachable += usize::from(matches!(change, MembershipChange::ZoneReachable(_)));
                deaths += usize::from(matches!(change, MembershipChange::Died(_)));
            }
        }
        let expected = [case.unreachable, case.unreachable, case.deaths];
        assert_eq!([unreachable, reachable, deaths], expected, "{}, seed {seed}", case.name);
        assert_eq!(members.eligible(now).count(), 20, "{}, seed {seed}", case.name);
    }
}

struct ReturnCase {
    name: &'static str,
    /// Length of the silence in milliseconds.
    silence: u32,
    incarnation: u64,
    /// Weight after the return.
    weight: f64,
}

#[test]
fn a_returning_upstream_starts_slowly() {
    let options = MembershipOptions::default();
    let floor = options.ramp_floor;
    let cases = [
        ReturnCase { name: "a few heartbeats", silence: 2500, incarnation: 1, weight: 1.0 },
        ReturnCase { name: "death", silence: 20_000, incarnation: 1, weight: floor },
        ReturnCase { name: "another incarnation", silence: 600, incarnation: 2, weight: floor },
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
        members.record_heartbeat("a", "zone", case.incarnation, now);
        let found = [0, 1, 2].map(|step| members.weight("a", now + options.ramp_time / 2 * step));
        let expected = [case.weight, f64::midpoint(case.weight, 1.0), 1.0];
        let same =
            found.iter().zip(expected).all(|(found, expected)| (found - expected).abs() < 1e-9);
        assert!(same, "{}: {found:?}", case.name);
    }
}

#[test]
fn silence_is_measured_against_the_interval_for_the_number_of_entries() {
    struct Case {
        entries: u32,
        silence: Duration,
        state: MemberState,
    }
    let cases = [
        Case { entries: 3, silence: Duration::from_millis(600), state: MemberState::Live },
        Case { entries: 3, silence: Duration::from_secs(3), state: MemberState::Suspect },
        Case { entries: 114, silence: Duration::from_secs(4), state: MemberState::Live },
        Case { entries: 114, silence: Duration::from_secs(30), state: MemberState::Suspect },
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
        let state = membership.state("writer-1");
        assert_eq!(state, Some(case.state), "{} entries", case.entries);
    }
}
