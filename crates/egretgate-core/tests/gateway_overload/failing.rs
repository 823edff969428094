//! Upstreams that answer with errors, and therefore always have a free slot.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Failing, Fleet, Stream, Tally};

const ENTRIES: usize = 20;
const UPSTREAMS: usize = 50;
const SLOTS: u32 = 5;
const UPSTREAM_TIME: Duration = Duration::from_millis(400);
/// Time from which upstreams fail, half a second before requests are counted.
const FROM: Duration = Duration::from_millis(500);

fn simulate(failing: Failing, load: f64, seed: u64, time: Duration) -> Tally {
    let mut fleet = Fleet::in_zones(3, ENTRIES, UPSTREAMS, SLOTS);
    fleet.failing = failing;
    fleet.rng = Some(ChaCha8Rng::seed_from_u64(seed));
    let most = UPSTREAMS as f64 * f64::from(SLOTS) / UPSTREAM_TIME.as_secs_f64();
    let rate = most * load / ENTRIES as f64;
    let stream = |entry| Stream { entry, tier: 0, team: None, rate, upstream_time: UPSTREAM_TIME };
    let streams: Vec<Stream> = (0..ENTRIES).map(stream).collect();
    fleet.simulate(&streams, time)[&0]
}

#[test]
fn upstreams_that_fail_at_once_dont_take_the_work_of_full_ones() {
    struct Case {
        name: &'static str,
        failing: Failing,
        load: f64,
        /// Largest allowed fraction of the requests that fail.
        most: f64,
    }
    let failing =
        |rate, upstreams| Failing { upstreams, rate, from: FROM, until: Duration::from_secs(5) };
    let cases = [
        Case { name: "six of fifty", failing: failing(1.0, 6), load: 1.2, most: 0.03 },
        Case { name: "six of fifty, more load", failing: failing(1.0, 6), load: 2.0, most: 0.03 },
    ];
    for case in cases {
        for seed in 0..3 {
            let tally = simulate(case.failing, case.load, seed, Duration::from_secs(5));
            let fraction = f64::from(tally.failed) / f64::from(tally.asked);
            let name = case.name;
            assert!(fraction <= case.most, "{name}, seed {seed}: {fraction:.3}: {tally:?}");
        }
    }
}

#[test]
fn failing_upstreams_get_few_requests_also_if_they_are_many_or_the_load_is_little() {
    struct Case {
        name: &'static str,
        upstreams: usize,
        load: f64,
        /// Largest allowed fraction of the requests that fail.
        most: f64,
    }
    let cases = [
        Case { name: "sixteen of fifty", upstreams: 16, load: 1.2, most: 0.05 },
        Case { name: "little load", upstreams: 6, load: 0.5, most: 0.03 },
    ];
    let mut faults = Vec::new();
    for case in cases {
        for seed in 0..3 {
            let until = Duration::from_secs(5);
            let failing = Failing { upstreams: case.upstreams, rate: 1.0, from: FROM, until };
            let tally = simulate(failing, case.load, seed, until);
            let fraction = f64::from(tally.failed) / f64::from(tally.asked);
            if fraction > case.most {
                faults.push(format!("{}, seed {seed}: {fraction:.3}", case.name));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:?}");
}

/// Where requests fail everywhere alike, and where upstreams work again, all slots are used.
#[test]
fn upstreams_that_work_keep_their_work() {
    struct Case {
        name: &'static str,
        failing: Failing,
        /// Time for which it is watched.
        time: Duration,
    }
    let cases = [
        Case {
            name: "all fail alike",
            failing: Failing {
                upstreams: UPSTREAMS,
                rate: 0.14,
                from: Duration::ZERO,
                until: Duration::MAX,
            },
            time: Duration::from_secs(5),
        },
        Case {
            name: "six have failed",
            failing: Failing {
                upstreams: 6,
                rate: 1.0,
                from: Duration::ZERO,
                until: Duration::from_millis(900),
            },
            time: Duration::from_secs(6),
        },
    ];
    for case in cases {
        for seed in 0..3 {
            let tally = simulate(case.failing, 1.3, seed, case.time);
            let seconds = case.time.as_secs_f64() - 1.0;
            let slots = UPSTREAMS as f64 * f64::from(SLOTS);
            let used = tally.busy.as_secs_f64() / seconds / slots;
            let name = case.name;
            assert!(used >= 0.85, "{name}, seed {seed}: {used:.2} of the slots: {tally:?}");
        }
    }
}
