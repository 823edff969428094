//! What callers of a fleet get under more load than its upstreams can serve.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Fleet, Stream, Tally};

mod failing;
mod fleet;
mod reserves;
mod speeds;
mod teams;

/// A burst of urgent requests arrives at one half of the entries, while the other half gets long
/// requests that can wait. These entries must not fill the slots that the urgent requests need.
#[test]
fn no_entry_starts_less_urgent_requests_while_another_refuses_urgent_ones() {
    struct Case {
        name: &'static str,
        entries: usize,
        upstreams: usize,
        slots: u32,
        /// Urgent requests per second at each entry of the first half.
        urgent: f64,
        /// Other requests per second at each entry of the second half.
        others: f64,
        /// Smallest allowed fraction of the busy time of the slots that the urgent requests get.
        least: f64,
    }
    // Urgent requests take 400 ms, the others 800 ms.
    const CASES: [Case; 3] = [
        Case {
            name: "two entries, twice the capacity",
            entries: 2,
            upstreams: 4,
            slots: 5,
            urgent: 100.0,
            others: 20.0,
            least: 0.9,
        },
        Case {
            name: "ten entries, one and a half times the capacity",
            entries: 10,
            upstreams: 20,
            slots: 9,
            urgent: 135.0,
            others: 40.0,
            least: 0.9,
        },
        Case {
            name: "under the capacity",
            entries: 4,
            upstreams: 8,
            slots: 9,
            urgent: 30.0,
            others: 15.0,
            least: 0.4,
        },
    ];
    for case in CASES {
        let mut fleet = Fleet::new(case.entries, case.upstreams, case.slots);
        let half = case.entries / 2;
        let stream = |entry| Stream {
            entry,
            tier: if entry < half { 0 } else { 2 },
            team: None,
            rate: if entry < half { case.urgent } else { case.others },
            upstream_time: Duration::from_millis(if entry < half { 400 } else { 800 }),
        };
        let streams: Vec<Stream> = (0..case.entries).map(stream).collect();
        let tallies = fleet.simulate(&streams, Duration::from_secs(6));
        let (urgent, others) = (tallies[&0], tallies[&2]);
        let fraction = urgent.busy.as_secs_f64() / (urgent.busy + others.busy).as_secs_f64();
        assert!(fraction >= case.least, "{}: {fraction:.2}: {tallies:?}", case.name);
        let slots = case.upstreams as f64 * f64::from(case.slots);
        let asked = case.urgent * half as f64 * 0.4 + case.others * half as f64 * 0.8;
        if asked < slots {
            assert!(urgent.in_time == urgent.asked, "{}: {tallies:?}", case.name);
            assert!(others.started * 100 >= others.asked * 99, "{}: {tallies:?}", case.name);
        } else {
            // Less urgent requests yield without leaving slots idle.
            let used = (urgent.busy + others.busy).as_secs_f64() / 5.0 / slots;
            assert!(used >= 0.85, "{}: {used:.2} of the slots: {tallies:?}", case.name);
        }
    }
}

/// A service of short calls has few slots left behind many entries, so each entry's share is less
/// than a slot.
#[test]
fn many_entries_keep_few_slots_busy_with_short_calls() {
    struct Case {
        name: &'static str,
        entries: usize,
        upstreams: usize,
        slots: u32,
        upstream_time: Duration,
        /// Calls per second over all entries, relative to the capacity of the slots.
        load: f64,
        /// Smallest allowed number of calls that start, as a fraction of the capacity of the slots
        /// or, if they are fewer, of all calls.
        least: f64,
    }
    const CASES: [Case; 4] = [
        Case {
            name: "one upstream is left, overrun with longer calls",
            entries: 26,
            upstreams: 1,
            slots: 6,
            upstream_time: Duration::from_millis(45),
            load: 1.25,
            least: 0.9,
        },
        Case {
            name: "one upstream is left, overrun",
            entries: 26,
            upstreams: 1,
            slots: 6,
            upstream_time: Duration::from_millis(30),
            load: 1.25,
            least: 0.9,
        },
        Case {
            name: "one upstream is left, nearly full",
            entries: 26,
            upstreams: 1,
            slots: 6,
            upstream_time: Duration::from_millis(30),
            load: 0.8,
            least: 0.95,
        },
        Case {
            name: "five upstreams, overrun",
            entries: 21,
            upstreams: 5,
            slots: 6,
            upstream_time: Duration::from_millis(30),
            load: 1.25,
            least: 0.9,
        },
    ];
    for case in CASES {
        let mut fleet = Fleet::new(case.entries, case.upstreams, case.slots);
        let slots = case.upstreams as f64 * f64::from(case.slots);
        let most = slots / case.upstream_time.as_secs_f64();
        let rate = most * case.load / case.entries as f64;
        let stream =
            |entry| Stream { entry, tier: 0, team: None, rate, upstream_time: case.upstream_time };
        let streams: Vec<Stream> = (0..case.entries).map(stream).collect();
        let tally = fleet.simulate(&streams, Duration::from_secs(6))[&0];
        let wanted = f64::from(tally.asked).min(most * 5.0);
        let fraction = f64::from(tally.started) / wanted;
        assert!(fraction >= case.least, "{}: {fraction:.2}: {tally:?}", case.name);
    }
}

/// The service is overloaded and some of its entries are cut off from the others.
#[test]
fn a_cut_off_entry_keeps_to_its_share() {
    struct Case {
        name: &'static str,
        entries: usize,
        cut_off: usize,
        upstreams: usize,
        /// Requests per second over all entries, relative to the capacity of the slots.
        load: f64,
    }
    const CASES: [Case; 4] = [
        Case { name: "one of four", entries: 4, cut_off: 1, upstreams: 18, load: 1.5 },
        Case { name: "nine of twenty-six", entries: 26, cut_off: 9, upstreams: 48, load: 1.5 },
        Case { name: "all of four", entries: 4, cut_off: 4, upstreams: 18, load: 1.5 },
        Case { name: "under the capacity", entries: 26, cut_off: 9, upstreams: 48, load: 0.6 },
    ];
    /// Fraction of the slots by which cut-off entries may exceed theirs, since shares are whole
    /// slots.
    const ALLOWED_EXCESS: f64 = 0.05;
    const SLOTS: u32 = 9;
    const UPSTREAM_TIME: Duration = Duration::from_millis(600);
    for case in CASES {
        let name = case.name;
        let mut fleet = Fleet::new(case.entries, case.upstreams, SLOTS);
        fleet.cut_off = case.cut_off;
        let is_cut_off = |entry| entry >= case.entries - case.cut_off;
        for entry in &mut fleet.entries[case.entries - case.cut_off..] {
            entry.set_directory_up(false);
        }
        let slots = case.upstreams as f64 * f64::from(SLOTS);
        let rate = slots / UPSTREAM_TIME.as_secs_f64() * case.load / case.entries as f64;
        // Requests at cut-off entries have another tier, so that they are counted separately.
        let stream = |entry| Stream {
            entry,
            tier: u8::from(is_cut_off(entry)),
            team: None,
            rate,
            upstream_time: UPSTREAM_TIME,
        };
        let streams: Vec<Stream> = (0..case.entries).map(stream).collect();
        let tallies = fleet.simulate(&streams, Duration::from_secs(6));
        let fraction = tallies[&1].busy.as_secs_f64() / 5.0 / slots;
        let most = case.cut_off as f64 / case.entries as f64 + ALLOWED_EXCESS;
        assert!(fraction <= most, "{name}: {fraction:.2} of the slots: {tallies:?}");
        if case.load < 1.0 {
            let is_served = |tally: &Tally| tally.in_time * 100 >= tally.asked * 99;
            assert!(tallies.values().all(is_served), "{name}: {tallies:?}");
        }
    }
}

/// A service of short calls has one upstream left, which gets more calls than it can run, from two
/// tiers and with answers that get lost.
#[test]
fn a_service_with_one_upstream_left_serves_up_to_its_capacity() {
    struct Case {
        name: &'static str,
        /// Calls per second of each tier over all entries, relative to the capacity of the slots.
        loads: [f64; 2],
        /// Fraction of the answers that get lost.
        loss_rate: f64,
        /// Smallest allowed fraction of the urgent calls that start in time.
        urgent: f64,
        /// Smallest allowed number of calls that start, as a fraction of the capacity of the slots
        /// or, if they are fewer, of all calls.
        least: f64,
    }
    const CASES: [Case; 4] = [
        Case { name: "nearly full", loads: [0.2, 0.6], loss_rate: 0.0, urgent: 0.95, least: 0.95 },
        Case { name: "overrun", loads: [0.35, 1.1], loss_rate: 0.0, urgent: 0.95, least: 0.9 },
        Case { name: "answers lost", loads: [0.2, 0.6], loss_rate: 0.05, urgent: 0.9, least: 0.9 },
        Case {
            name: "overrun, lost",
            loads: [0.35, 1.1],
            loss_rate: 0.05,
            urgent: 0.9,
            least: 0.85,
        },
    ];
    const ENTRIES: usize = 26;
    const SLOTS: u32 = 6;
    const UPSTREAM_TIME: Duration = Duration::from_millis(35);
    for case in CASES {
        for seed in 0..4 {
            let mut fleet = Fleet::new(ENTRIES, 1, SLOTS);
            fleet.loss_rate = case.loss_rate;
            fleet.rng = Some(ChaCha8Rng::seed_from_u64(seed));
            let most = f64::from(SLOTS) / UPSTREAM_TIME.as_secs_f64();
            let streams = (0..2 * ENTRIES).map(|index| {
                let (entry, tier) = (index / 2, index % 2);
                // Callers are spread unevenly over entries.
                let weight = if entry % 2 == 0 { 1.5 } else { 0.5 };
                let rate = most * case.loads[tier] * weight / ENTRIES as f64;
                Stream { entry, tier: tier as u8, team: None, rate, upstream_time: UPSTREAM_TIME }
            });
            let streams: Vec<Stream> = streams.collect();
            let tallies = fleet.simulate(&streams, Duration::from_secs(8));
            let (urgent, others) = (tallies[&0], tallies[&1]);
            let name = case.name;
            let in_time = f64::from(urgent.in_time) / f64::from(urgent.asked);
            assert!(in_time >= case.urgent, "{name}, seed {seed}: {in_time:.2}: {tallies:?}");
            let wanted = f64::from(urgent.asked + others.asked).min(most * 7.0);
            let fraction = f64::from(urgent.started + others.started) / wanted;
            assert!(fraction >= case.least, "{name}, seed {seed}: {fraction:.2}: {tallies:?}");
        }
    }
}
