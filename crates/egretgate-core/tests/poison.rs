//! Quarantine: the table fuzzed against sets, and a simulation of twenty upstreams that counts
//! innocent requests quarantined by mistake.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use egretgate_core::Digest;
use egretgate_core::copy_check::CopyChecks;
use egretgate_core::death_news::DeathNews;
use egretgate_core::poison::{
    Death, QuarantineEntry, QuarantineOptions, QuarantineState, QuarantineTable,
};
use egretgate_core::running_copies::RunningCopies;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone)]
enum Op {
    /// Upstream, number of the death, digests.
    Died(u8, u64, Vec<u8>),
    Completed(u8),
    Lift(u8),
    /// Lets logical time pass.
    Advance(u64),
    /// Restores the copy from a snapshot.
    Snapshot,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let digests = prop::collection::vec(0..24u8, 0..8);
    let op = prop_oneof![
        5 => (0..4u8, 0..40u64, digests).prop_map(|(at, sequence, all)| Op::Died(at, sequence, all)),
        3 => (0..24u8).prop_map(Op::Completed),
        1 => (0..24u8).prop_map(Op::Lift),
        1 => (0..60u64).prop_map(Op::Advance),
        1 => Just(Op::Snapshot),
    ];
    prop::collection::vec(op, 1..80)
}

fn digest(name: u8) -> Digest {
    Digest::of(&[&[name]])
}

fn death(upstream: u8, sequence: u64) -> Death {
    Death::new(&format!("upstream-{upstream}"), 1, sequence)
}

fn apply(table: &mut QuarantineTable, op: &Op, at: &mut u64) {
    match op {
        Op::Died(upstream, sequence, digests) => {
            let digests: Vec<_> = digests.iter().copied().map(digest).collect();
            table.record_death(death(*upstream, *sequence), &digests, *at);
        }
        Op::Completed(name) => drop(table.record_completion(digest(*name))),
        Op::Lift(name) => drop(table.lift(digest(*name))),
        Op::Advance(time) => {
            *at += time;
            table.expire(*at);
        }
        Op::Snapshot => {}
    }
}

const LARGE: QuarantineOptions = QuarantineOptions {
    capacity: 100,
    max_deaths: 1000,
    suspect_ttl: 1 << 40,
    quarantine_ttl: 1 << 40,
};
const SMALL: QuarantineOptions =
    QuarantineOptions { capacity: 6, max_deaths: 20, suspect_ttl: 50, quarantine_ttl: 90 };

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(8), failure_persistence: None, ..ProptestConfig::with_cases(2000)
    })]

    #[test]
    fn two_deaths_quarantine_and_a_completion_clears(ops in ops()) {
        let mut table = QuarantineTable::new(LARGE);
        let mut deaths = BTreeSet::new();
        let mut counts: BTreeMap<u8, usize> = BTreeMap::new();
        let mut at = 0;
        for op in &ops {
            apply(&mut table, op, &mut at);
            match op {
                Op::Died(upstream, sequence, digests) => {
                    if deaths.insert((*upstream, *sequence)) {
                        for name in digests.iter().collect::<BTreeSet<_>>() {
                            *counts.entry(*name).or_default() += 1;
                        }
                    }
                }
                Op::Completed(name) => {
                    if counts.get(name) == Some(&1) {
                        counts.remove(name);
                    }
                }
                Op::Lift(name) => drop(counts.remove(name)),
                Op::Advance(_) | Op::Snapshot => {}
            }
            for name in 0..24 {
                let expected = match counts.get(&name) {
                    None => QuarantineState::Clear,
                    Some(1) => QuarantineState::Suspect,
                    Some(_) => QuarantineState::Quarantined,
                };
                prop_assert_eq!(table.state(digest(name)), expected);
            }
        }
    }

    #[test]
    fn a_small_table_evicts_suspects_first(ops in ops()) {
        let mut table = QuarantineTable::new(SMALL);
        let mut copy = table.clone();
        let mut at = 0;
        for op in &ops {
            let quarantined = |entry: &&QuarantineEntry| entry.state() == QuarantineState::Quarantined;
            let before: Vec<_> = table.entries().filter(quarantined).copied().collect();
            apply(&mut copy, op, &mut at.clone());
            apply(&mut table, op, &mut at);
            if matches!(op, Op::Snapshot) {
                let (entries, deaths) = (copy.entries().copied(), copy.deaths());
                copy = QuarantineTable::from_entries(SMALL, entries, deaths);
            }
            prop_assert_eq!(&table, &copy, "a snapshot changes the table");
            prop_assert!(table.len() <= SMALL.capacity && table.deaths().count() <= SMALL.max_deaths);
            let evicted = before.iter().any(|entry| {
                let fresh = at - entry.last_death <= SMALL.quarantine_ttl;
                fresh && table.state(entry.digest) == QuarantineState::Clear
            });
            let suspects = table.entries().any(|entry| entry.state() == QuarantineState::Suspect);
            let lifted = matches!(op, Op::Lift(_));
            prop_assert!(!evicted || lifted || !suspects, "a suspect outlived a quarantined one");
        }
    }

    #[test]
    fn order_and_duplicates_of_deaths_change_no_state(ops in ops(), seed in any::<u64>()) {
        let mut deaths: BTreeMap<(u8, u64), Op> = BTreeMap::new();
        for op in ops {
            if let Op::Died(upstream, sequence, _) = op {
                deaths.entry((upstream, sequence)).or_insert(op);
            }
        }
        let once: Vec<_> = deaths.into_values().collect();
        let mut twice = [once.clone(), once.clone()].concat();
        twice.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        let fold = |ops: &[Op]| {
            let mut table = QuarantineTable::new(LARGE);
            for op in ops {
                apply(&mut table, op, &mut 0);
            }
            (0..24).map(|name| table.state(digest(name))).collect::<Vec<_>>()
        };
        prop_assert_eq!(fold(&once), fold(&twice));
    }
}

/// How suspects are placed and how fast deaths propagate.
#[derive(Debug, Clone, Copy)]
struct Placement {
    name: &'static str,
    /// True if suspects run exclusively.
    exclusive: bool,
    /// Time from a death until every entry has recorded it, in milliseconds.
    propagation_ms: u64,
}

#[derive(Debug, Default)]
struct Totals {
    innocents: usize,
    /// Innocent requests that were quarantined.
    quarantined: usize,
    deaths: usize,
    /// Maximum number of upstreams that one request crashed.
    max_crashes: usize,
}

const UPSTREAMS: usize = 20;
const SLOTS: usize = 8;
/// Number of requests in one run that crash their upstreams.
const CULPRITS: usize = 20;

#[derive(Debug)]
struct RunningRequest {
    id: u64,
    end: u64,
    exclusive: bool,
}

/// Simulates ten minutes of arrivals at three quarters of the slots, in steps of 50 ms. Every 30 s
/// a request arrives that crashes its upstream after 300 ms; callers retry within a second.
fn simulate(placement: Placement, seed: u64) -> Totals {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut totals = Totals::default();
    let mut table = QuarantineTable::new(QuarantineOptions::default());
    let mut undelivered: Vec<(u64, Death, Vec<Digest>)> = Vec::new();
    let mut upstreams: [Vec<RunningRequest>; UPSTREAMS] = Default::default();
    let mut down_until = [0; UPSTREAMS];
    let mut arrivals: Vec<(u64, u64)> = Vec::new();
    let mut crashes: BTreeMap<u64, usize> = BTreeMap::new();
    let (mut last_id, mut sequence) = (0, 0);
    let key = |id: u64| Digest::of(&[&id.to_le_bytes()]);
    let is_culprit = |id: u64| id % 1_000_000 == 999_999;
    for now in (0..CULPRITS as u64 * 30_000).step_by(50) {
        if now % 30_000 == 0 {
            arrivals.push((now, now * 1_000_000 + 999_999));
        }
        for _ in 0..rng.random_range(0..=6) {
            last_id += 1;
            arrivals.push((now, last_id));
            totals.innocents += 1;
        }
        undelivered.retain(|(at, death, digests)| {
            if *at <= now {
                table.record_death(*death, digests, now);
            }
            *at > now
        });
        for at in 0..UPSTREAMS {
            let crashing =
                upstreams[at].iter().find(|request| is_culprit(request.id) && request.end <= now);
            if let Some(culprit) = crashing {
                *crashes.entry(culprit.id).or_default() += 1;
                sequence += 1;
                let digests = upstreams[at].iter().map(|request| key(request.id)).collect();
                undelivered.push((
                    now + placement.propagation_ms,
                    Death::new(&at.to_string(), 1, sequence),
                    digests,
                ));
                for request in upstreams[at].drain(..) {
                    arrivals.push((now + rng.random_range(100..1000), request.id));
                }
                down_until[at] = now + 5000;
            }
            upstreams[at].retain(|request| {
                if request.end <= now {
                    table.record_completion(key(request.id));
                }
                request.end > now
            });
        }
        arrivals.retain(|&(at, id)| {
            let state = table.state(key(id));
            if at > now {
                return true;
            }
            if state == QuarantineState::Quarantined {
                totals.quarantined += usize::from(!is_culprit(id));
                return false;
            }
            let exclusive = placement.exclusive && state == QuarantineState::Suspect;
            let max_running = if exclusive { 1 } else { SLOTS };
            let open = |requests: &[RunningRequest]| {
                requests.len() < max_running && requests.iter().all(|request| !request.exclusive)
            };
            let is_free = |at: &usize| down_until[*at] <= now && open(&upstreams[*at]);
            let free: Vec<_> = (0..UPSTREAMS).filter(is_free).collect();
            if free.is_empty() {
                return true;
            }
            let duration = if is_culprit(id) { 300 } else { rng.random_range(200..4000) };
            let at = free[rng.random_range(0..free.len())];
            upstreams[at].push(RunningRequest { id, end: now + duration, exclusive });
            false
        });
    }
    let (deaths, max_crashes) =
        (crashes.values().sum(), crashes.values().copied().max().unwrap_or(0));
    Totals { deaths, max_crashes, ..totals }
}

/// Prints how many innocent requests are quarantined in each case. If suspects run exclusively and
/// deaths propagate immediately, none are, and each culprit crashes two upstreams.
#[test]
fn exclusive_runs_quarantine_no_innocent_request() {
    let cases = [
        Placement { name: "not exclusive, at once", exclusive: false, propagation_ms: 0 },
        Placement { name: "exclusive, at once", exclusive: true, propagation_ms: 0 },
        Placement { name: "exclusive, 250 ms", exclusive: true, propagation_ms: 250 },
        Placement { name: "exclusive, 1 s", exclusive: true, propagation_ms: 1000 },
        Placement { name: "exclusive, 5 s", exclusive: true, propagation_ms: 5000 },
    ];
    for case in cases {
        let mut sum = Totals::default();
        for seed in 0..2 {
            let totals = simulate(case, seed);
            sum.innocents += totals.innocents;
            sum.quarantined += totals.quarantined;
            sum.deaths += totals.deaths;
            sum.max_crashes = sum.max_crashes.max(totals.max_crashes);
        }
        println!("{}: {sum:?}", case.name);
        assert!(
            sum.deaths >= 2 * CULPRITS,
            "{}: the culprits crashed too few upstreams",
            case.name
        );
        if case.exclusive && case.propagation_ms == 0 {
            assert_eq!((sum.quarantined, sum.max_crashes), (0, 2), "{}", case.name);
        }
    }
}

/// Copies of a request start and end at one entry.
#[test]
fn a_suspect_does_not_start_beside_a_copy() {
    struct Case {
        name: &'static str,
        /// Copies in flight when the request arrives.
        copies: usize,
        state: QuarantineState,
        starts: bool,
    }
    const CASES: [Case; 4] = [
        Case { name: "first", copies: 0, state: QuarantineState::Clear, starts: true },
        Case { name: "copies", copies: 2, state: QuarantineState::Clear, starts: true },
        Case { name: "suspect", copies: 0, state: QuarantineState::Suspect, starts: true },
        Case {
            name: "suspect and copy",
            copies: 2,
            state: QuarantineState::Suspect,
            starts: false,
        },
    ];
    for case in CASES {
        let (digest, other) = (Digest::of(&[b"venom"]), Digest::of(&[b"innocent"]));
        let mut running = RunningCopies::default();
        for _ in 0..case.copies {
            assert!(running.start(digest, QuarantineState::Clear));
        }
        assert!(running.start(other, QuarantineState::Suspect), "{}", case.name);
        assert_eq!(running.start(digest, case.state), case.starts, "{}", case.name);
        for _ in 0..case.copies + usize::from(case.starts) {
            running.end(&digest);
        }
        assert!(running.start(digest, QuarantineState::Suspect), "{}: all ended", case.name);
    }
}

/// Upstreams answer one after the other, in different orders, or not at all.
#[test]
fn a_check_for_copies_is_clear_only_if_no_upstream_may_run_one() {
    #[derive(Clone, Copy)]
    enum Step {
        /// The upstream answers whether it runs a copy.
        Answer(u8, bool),
        /// The upstream answers for another digest.
        Other(u8),
        /// The connection to the upstream is lost.
        Lost(u8),
        /// Time passes.
        Wait(u64),
    }
    use Step::*;
    struct Case {
        name: &'static str,
        asked: &'static [u8],
        steps: &'static [Step],
        /// Whether it is clear after the last step; `None` if it has not ended.
        result: Option<bool>,
    }
    const CASES: [Case; 9] = [
        Case { name: "nobody to ask", asked: &[], steps: &[], result: Some(true) },
        Case {
            name: "none runs one",
            asked: &[1, 2],
            steps: &[Answer(2, false), Answer(1, false)],
            result: Some(true),
        },
        Case {
            name: "the first runs one",
            asked: &[1, 2],
            steps: &[Answer(1, true)],
            result: Some(false),
        },
        Case {
            name: "the last runs one",
            asked: &[1, 2],
            steps: &[Answer(2, false), Answer(1, true)],
            result: Some(false),
        },
        Case {
            name: "one answers twice",
            asked: &[1, 2],
            steps: &[Answer(1, false), Answer(1, false)],
            result: None,
        },
        Case {
            name: "one answers for another digest",
            asked: &[1, 2],
            steps: &[Answer(1, false), Other(2)],
            result: None,
        },
        Case {
            name: "one is lost, then the other answers",
            asked: &[1, 2],
            steps: &[Lost(2), Answer(1, false)],
            result: Some(true),
        },
        Case {
            name: "one is silent",
            asked: &[1, 2],
            steps: &[Answer(1, false), Wait(400)],
            result: None,
        },
        Case {
            name: "one is silent for long",
            asked: &[1, 2],
            steps: &[Answer(1, false), Wait(400), Wait(200)],
            result: Some(false),
        },
    ];
    let (digest, other) = (Digest::of(&[b"venom"]), Digest::of(&[b"innocent"]));
    for case in CASES {
        let mut now = Instant::now();
        let mut checks = CopyChecks::default();
        let mut ended: Vec<_> =
            checks.begin(digest, case.asked.iter().copied(), "caller", now).into_iter().collect();
        for step in case.steps {
            assert_eq!(ended, [], "{}: ended early", case.name);
            ended.extend(match *step {
                Answer(upstream, is_running) => checks.record_answer(upstream, digest, is_running),
                Other(upstream) => checks.record_answer(upstream, other, false),
                Lost(upstream) => checks.remove_upstream(upstream),
                Wait(time) => {
                    now += Duration::from_millis(time);
                    checks.expire(now)
                }
            });
        }
        let result = ended.first().map(|result| result.is_clear);
        assert_eq!((ended.len() <= 1, result), (true, case.result), "{}", case.name);
    }
}

/// What is held back for a death goes on once every entry knows of it, is gone or is overdue.
#[test]
fn ends_are_held_back_until_a_death_is_known() {
    #[derive(Clone, Copy)]
    enum Step {
        Ack(u64, u64),
        Gone(u64),
        Wait(u64),
    }
    use Step::*;
    struct Case {
        name: &'static str,
        entries: &'static [u64],
        steps: &'static [Step],
        /// True if the last step releases what is held, and none before it.
        released: bool,
    }
    const CASES: [Case; 8] = [
        Case { name: "no entry", entries: &[], steps: &[], released: true },
        Case { name: "one of two", entries: &[1, 2], steps: &[Ack(1, 7)], released: false },
        Case { name: "both", entries: &[1, 2], steps: &[Ack(1, 7), Ack(2, 7)], released: true },
        Case {
            name: "one twice",
            entries: &[1, 2],
            steps: &[Ack(1, 7), Ack(1, 7)],
            released: false,
        },
        Case { name: "another death", entries: &[1], steps: &[Ack(1, 6)], released: false },
        Case {
            name: "one is gone",
            entries: &[1, 2],
            steps: &[Ack(1, 7), Gone(2)],
            released: true,
        },
        Case { name: "soon", entries: &[1], steps: &[Wait(400)], released: false },
        Case { name: "overdue", entries: &[1], steps: &[Wait(400), Wait(200)], released: true },
    ];
    for Case { name, entries, steps, released } in CASES {
        let mut now = Instant::now();
        let mut news = DeathNews::default();
        news.announce("engine", 7, entries.iter().copied(), now);
        assert_eq!(news.hold(&"other", "end"), Some("end"), "{name}: another engine");
        let mut ends: Vec<&str> = news.hold(&"engine", "end").into_iter().collect();
        for step in steps {
            assert_eq!(ends, [""; 0], "{name}: released early");
            ends = match *step {
                Ack(entry, sequence) => news.record_ack(entry, sequence),
                Gone(entry) => news.remove_entry(entry),
                Wait(time) => {
                    now += Duration::from_millis(time);
                    news.expire(now)
                }
            };
        }
        assert_eq!((ends.len() == 1, news.is_pending(&"engine")), (released, !released), "{name}");
    }
}
