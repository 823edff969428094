//! Upstreams of different speeds behind a fleet of many entries.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Fleet, Stream};

/// Each entry sends a request to the same upstream only once in many seconds, so no entry can learn
/// from its own requests which upstreams are slow.
#[test]
fn a_large_fleet_prefers_faster_upstreams() {
    struct Case {
        name: &'static str,
        entries: usize,
        upstreams: usize,
        /// Requests per second over all entries, relative to the capacity of the fast upstreams.
        load: f64,
        /// Largest allowed mean time of a request at its upstream, relative to that at a fast one.
        most: f64,
    }
    const CASES: [Case; 2] = [
        Case { name: "half full", entries: 100, upstreams: 180, load: 0.5, most: 1.2 },
        Case { name: "two thirds full", entries: 100, upstreams: 180, load: 0.67, most: 1.35 },
    ];
    const ZONES: usize = 5;
    const SLOTS: u32 = 5;
    const UPSTREAM_TIME: Duration = Duration::from_millis(300);
    /// Factor on the time that requests take at every third upstream.
    const SLOW: f64 = 4.0;
    for case in CASES {
        let mut fleet = Fleet::in_zones(ZONES, case.entries, case.upstreams, SLOTS);
        fleet.rng = Some(ChaCha8Rng::seed_from_u64(7));
        fleet.slowness =
            (0..case.upstreams).map(|index| if index % 3 == 2 { SLOW } else { 1.0 }).collect();
        let fast_slots = case.upstreams as f64 * 2.0 / 3.0 * f64::from(SLOTS);
        let rate = fast_slots / UPSTREAM_TIME.as_secs_f64() * case.load / case.entries as f64;
        let stream =
            |entry| Stream { entry, tier: 0, team: None, rate, upstream_time: UPSTREAM_TIME };
        let streams: Vec<Stream> = (0..case.entries).map(stream).collect();
        let tally = fleet.simulate(&streams, Duration::from_secs(5))[&0];
        let mean =
            tally.busy.as_secs_f64() / f64::from(tally.started) / UPSTREAM_TIME.as_secs_f64();
        assert!(mean <= case.most, "{}: {mean:.2}: {tally:?}", case.name);
        // The aim for first tokens is met by 95 of 100 requests.
        assert!(tally.in_time * 100 >= tally.asked * 95, "{}: {tally:?}", case.name);
    }
}
