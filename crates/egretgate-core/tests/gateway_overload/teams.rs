//! One team sends many times its usual load, through some entries more than through others.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Fleet, Stream, Tally};

/// Usual requests of the teams, and the burst of the first one.
struct Case {
    name: &'static str,
    entries: usize,
    upstreams: usize,
    /// Usual requests per second, relative to the capacity of the slots.
    load: f64,
    /// Factor on the requests of the first team.
    burst: f64,
}

const CASES: [Case; 3] = [
    Case { name: "four entries", entries: 4, upstreams: 12, load: 0.85, burst: 6.0 },
    Case { name: "twenty entries", entries: 20, upstreams: 30, load: 0.85, burst: 6.0 },
    Case { name: "no burst", entries: 4, upstreams: 12, load: 0.7, burst: 1.0 },
];
const TEAMS: usize = 4;
const SLOTS: u32 = 9;
const UPSTREAM_TIME: Duration = Duration::from_millis(300);
/// Limit of a team, relative to its usual requests.
const LIMIT: f64 = 1.8;

/// Teams have equal limits, of almost twice what they usually send. The team that sends more fills
/// the slots up to its limit; the requests of the others must not be refused beside its own.
#[test]
fn a_team_beyond_its_share_does_not_displace_others() {
    for case in CASES {
        let tallies = play(&case);
        for team in 1..TEAMS {
            let tally = tallies[&team];
            // Requests that arrive at the end may start after it.
            let started = f64::from(tally.started) / f64::from(tally.asked);
            assert!(started >= 0.99, "{}: team {team}: {started:.3}: {tally:?}", case.name);
        }
        let usual = usual_rate(&case) * UPSTREAM_TIME.as_secs_f64();
        let served = tallies[&0].busy.as_secs_f64() / 7.0 / usual;
        assert!(served >= 0.9, "{}: the first team gets {served:.2} of its usual", case.name);
    }
}

/// The answers of the other teams begin in time, as 95 of 100 should.
#[test]
fn a_team_beyond_its_share_does_not_delay_others() {
    for case in CASES {
        let tallies = play(&case);
        for team in 1..TEAMS {
            let tally = tallies[&team];
            let in_time = f64::from(tally.in_time) / f64::from(tally.asked);
            assert!(in_time >= 0.95, "{}: team {team}: {in_time:.2}: {tally:?}", case.name);
        }
    }
}

/// Returns the usual requests per second of a team.
fn usual_rate(case: &Case) -> f64 {
    let slots = case.upstreams as f64 * f64::from(SLOTS);
    slots / UPSTREAM_TIME.as_secs_f64() * case.load / TEAMS as f64
}

/// Returns the results by team.
fn play(case: &Case) -> BTreeMap<usize, Tally> {
    let mut fleet = Fleet::new(case.entries, case.upstreams, SLOTS);
    fleet.rng = Some(ChaCha8Rng::seed_from_u64(11));
    let usual = usual_rate(case);
    fleet.set_teams(TEAMS, usual * LIMIT);
    // The first team reaches the entries of the first half only.
    let streams = (0..TEAMS * case.entries).filter_map(|index| {
        let (team, entry) = (index % TEAMS, index / TEAMS);
        let rate = match team {
            0 if entry < case.entries / 2 => usual * case.burst * 2.0,
            0 => return None,
            _ => usual,
        };
        let rate = rate / case.entries as f64;
        Some(Stream { entry, tier: 0, team: Some(team), rate, upstream_time: UPSTREAM_TIME })
    });
    let streams: Vec<Stream> = streams.collect();
    fleet.simulate(&streams, Duration::from_secs(8));
    fleet.team_tallies
}
