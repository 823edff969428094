//! Callers that are refused and come back.

use std::time::{Duration, Instant};

use egretgate_core::Digest;
use egretgate_core::gateway::returns::Standing::{Early, New, Returned};
use egretgate_core::gateway::returns::{PlannedReturn, Returns, Standing, return_id};

const TIME_LEFT: Duration = Duration::from_secs(6);

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Another entry, which has the report, knows a caller that comes as told, once.
#[test]
fn a_caller_that_comes_as_told_is_known_everywhere() {
    struct Case {
        name: &'static str,
        /// Milliseconds after the planned time, of one request after the other.
        arrivals: &'static [i64],
        known: &'static [Standing],
    }
    let cases = [
        Case { name: "as told", arrivals: &[0], known: &[Returned] },
        Case { name: "a little late", arrivals: &[300], known: &[Returned] },
        Case { name: "twice", arrivals: &[0, 20], known: &[Returned, New] },
        Case { name: "too late", arrivals: &[2_000], known: &[New] },
        Case { name: "at once, then as told", arrivals: &[-900, 0], known: &[Early, New] },
        Case {
            name: "often",
            arrivals: &[-900, -600, -300, 10],
            known: &[Early, Early, Early, New],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let digest = Digest::of(&[b"explain"]);
        let (mut refusing, mut other) = (Returns::default(), Returns::default());
        let wait = refusing.plan(Some(digest), Duration::ZERO, TIME_LEFT, start);
        let reported = start + millis(100);
        other.merge(&refusing.report(reported), reported);
        for (arrival, known) in case.arrivals.iter().zip(case.known) {
            let now = start + millis((wait.as_millis() as i64 + arrival) as u64);
            // The report comes again.
            other.merge(&refusing.report(reported), reported);
            assert_eq!(other.take(&digest, now), *known, "{}, at {arrival} ms", case.name);
        }
        assert_eq!(other.take(&Digest::of(&[b"other"]), start + wait), New, "{}", case.name);
    }
}

/// A burst of refusals at many entries comes back evenly, within the time that callers wait.
#[test]
fn returns_are_spread() {
    struct Case {
        entries: usize,
        /// Refusals of an entry between two reports.
        refusals: usize,
    }
    const REPORTS: u64 = 10;
    for case in [Case { entries: 1, refusals: 60 }, Case { entries: 29, refusals: 3 }] {
        let start = Instant::now();
        let mut fleet: Vec<Returns> = (0..case.entries).map(|_| Returns::default()).collect();
        let mut spans = vec![0_u32; 30];
        for report in 0..REPORTS {
            let now = start + millis(20) * report as u32;
            for (entry, returns) in fleet.iter_mut().enumerate() {
                for refusal in 0..case.refusals {
                    let name = [report as u8, entry as u8, refusal as u8];
                    let room = Duration::ZERO;
                    let wait = returns.plan(Some(Digest::of(&[&name])), room, TIME_LEFT, now);
                    assert!(wait <= TIME_LEFT / 3, "{wait:?} is longer than callers wait");
                    spans[((now + wait - start).as_millis() / 100) as usize] += 1;
                }
            }
            let reports: Vec<Vec<PlannedReturn>> =
                fleet.iter_mut().map(|returns| returns.report(now)).collect();
            for (to, returns) in fleet.iter_mut().enumerate() {
                let others = reports.iter().enumerate().filter(|(from, _)| *from != to);
                others.for_each(|(_, report)| returns.merge(report, now));
            }
        }
        let total: u32 = spans.iter().sum();
        let largest = spans.iter().copied().max().unwrap_or_default();
        // Eight spans and those into which time has moved meanwhile.
        assert!(f64::from(largest) <= f64::from(total) / 8.0 * 1.5, "{spans:?}");
    }
}

/// Nobody is told to come before there is room, as long as it can wait for that.
#[test]
fn a_return_waits_for_room() {
    struct Case {
        room: u64,
        earliest: u64,
    }
    let cases = [
        Case { room: 0, earliest: 1_100 },
        Case { room: 1_500, earliest: 1_500 },
        Case { room: 60_000, earliest: 1_900 },
    ];
    for case in cases {
        let mut returns = Returns::default();
        let now = Instant::now();
        for index in 0..200_u8 {
            let digest = Some(Digest::of(&[&[index]]));
            let wait = returns.plan(digest, millis(case.room), TIME_LEFT, now);
            assert!(wait >= millis(case.earliest), "{wait:?}, room after {} ms", case.room);
            assert!(wait <= TIME_LEFT / 3, "{wait:?}");
        }
    }
}

#[test]
fn a_planned_return_is_reported_until_it_is_due() {
    let mut returns = Returns::default();
    let now = Instant::now();
    let digest = Digest::of(&[b"explain"]);
    let wait = returns.plan(Some(digest), Duration::ZERO, TIME_LEFT, now);
    let reported = returns.report(now + millis(200));
    assert_eq!(
        reported,
        [PlannedReturn { id: return_id(&digest), due_in: wait.saturating_sub(millis(200)) }]
    );
    assert_eq!(returns.report(now + wait), []);
}

/// Under any load, callers that come back leave most places to those whose answers can be in time.
#[test]
fn returns_leave_places_to_newcomers() {
    struct Case {
        name: &'static str,
        /// Requests that come back for each newcomer.
        returns: usize,
        /// Least and largest number of places for 400 newcomers.
        placed: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { name: "few", returns: 0, placed: 0..=0 },
        Case { name: "one each", returns: 1, placed: 70..=90 },
        Case { name: "four each", returns: 4, placed: 180..=210 },
    ];
    for case in cases {
        let now = Instant::now();
        let mut returns = Returns::default();
        let mut placed = 0;
        for newcomer in 0..400_u16 {
            assert_eq!(returns.take(&Digest::of(&[&newcomer.to_le_bytes()]), now), New);
            for index in 0..case.returns {
                let digest = Digest::of(&[&newcomer.to_le_bytes(), &[index as u8]]);
                let planned = PlannedReturn { id: return_id(&digest), due_in: millis(1) };
                returns.merge(&[planned], now);
                placed += usize::from(returns.take(&digest, now) == Returned);
            }
        }
        assert!(case.placed.contains(&placed), "{}: {placed}", case.name);
    }
}
