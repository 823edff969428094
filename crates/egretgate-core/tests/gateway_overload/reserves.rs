//! Urgent requests under a burst, beside less urgent ones that would fill the slots, and alone.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Fleet, SERVICE, Stream, Tally};

const ENTRIES: usize = 12;
const UPSTREAMS: usize = 50;
const SLOTS: u32 = 4;
/// A third of the upstreams is slower by this factor.
const SLOWNESS: f64 = 4.4;
/// Time that requests of a tier take at a fast upstream, in milliseconds.
const UPSTREAM_MS: [u64; 2] = [250, 550];

struct Case {
    name: &'static str,
    /// Load of each tier relative to the capacity of the slots.
    loads: [f64; 2],
    /// Entries that are cut off from the others.
    cut_off: usize,
}

/// Urgent requests get 0.95 of what they get alone; less urgent ones are still served, all of them
/// where there is room.
#[test]
fn urgent_requests_get_what_they_get_alone() {
    check(&[
        Case { name: "beside a burst", loads: [0.6, 1.0], cut_off: 0 },
        Case { name: "a quiet second", loads: [0.3, 0.3], cut_off: 0 },
    ]);
}

/// The same where entries know only their own load.
#[test]
fn urgent_requests_of_cut_off_entries_get_what_they_get_alone() {
    check(&[Case { name: "two entries cut off", loads: [0.5, 1.0], cut_off: 2 }]);
}

fn check(cases: &[Case]) {
    for case in cases {
        let alone = in_time(play(case, [case.loads[0], 0.0])[0]);
        let [urgent, others] = play(case, case.loads);
        let beside = in_time(urgent);
        let name = case.name;
        assert!(beside >= alone * 0.95, "{name}: {beside:.3}, alone {alone:.3}: {urgent:?}");
        let started = f64::from(others.started) / f64::from(others.asked);
        assert!(started >= 0.01, "{name}: {others:?}");
        if case.loads.iter().sum::<f64>() < 0.7 {
            assert!(started >= 0.99, "{name}: {others:?}");
        }
    }
}

fn in_time(tally: Tally) -> f64 {
    f64::from(tally.in_time) / f64::from(tally.asked)
}

fn play(case: &Case, loads: [f64; 2]) -> [Tally; 2] {
    let mut fleet = Fleet::new(ENTRIES, UPSTREAMS, SLOTS);
    fleet.rng = Some(ChaCha8Rng::seed_from_u64(3));
    fleet.cut_off = case.cut_off;
    for entry in &mut fleet.entries {
        entry.record_pace(&SERVICE.to_owned());
    }
    for entry in &mut fleet.entries[ENTRIES - case.cut_off..] {
        entry.set_directory_up(false);
    }
    let slowness = |index| if index % 3 == 2 { SLOWNESS } else { 1.0 };
    fleet.slowness = (0..UPSTREAMS).map(slowness).collect();
    let slots: f64 = fleet.slowness.iter().map(|slowness| f64::from(SLOTS) / slowness).sum();
    let streams = (0..2 * ENTRIES).map(|index| {
        let (entry, tier) = (index / 2, index % 2);
        let upstream_time = Duration::from_millis(UPSTREAM_MS[tier]);
        let rate = slots / upstream_time.as_secs_f64() * loads[tier] / ENTRIES as f64;
        Stream { entry, tier: tier as u8, team: None, rate, upstream_time }
    });
    let streams: Vec<Stream> = streams.filter(|stream| stream.rate > 0.0).collect();
    let tallies = fleet.simulate(&streams, Duration::from_secs(5));
    [0, 1].map(|tier| tallies.get(&tier).copied().unwrap_or_default())
}
