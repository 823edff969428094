//! What an entry decides when the directory's store comes back from an older copy.

use std::time::{Duration, Instant};

use egretgate_core::gateway::era::{ERA_TIMEOUT, Era, EraTracker, EraVerdict, StatedEra};
use egretgate_core::gateway::follow::{Follower, PollIntervals, Reading};

const INTERVALS: PollIntervals = PollIntervals {
    period: Duration::from_millis(600),
    takeover_age: Duration::from_millis(850),
    rank_step: Duration::from_millis(80),
    max_age: Duration::from_millis(1_300),
    min_gap: Duration::from_millis(500),
};
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_answer_begins_an_era_or_is_outdated() {
    use EraVerdict::{Begins, Current, Outdated};
    use StatedEra::{Invalid, Missing, Number};
    struct Case {
        name: &'static str,
        /// Answers in order, each with its time in milliseconds.
        answers: &'static [(u64, StatedEra)],
        /// Verdict on the last answer.
        verdict: EraVerdict,
        /// The era in force after it.
        era: Option<Era>,
    }
    let cases = [
        Case {
            name: "the first",
            answers: &[(0, Number(4))],
            verdict: Begins { before: None, era: 4 },
            era: Some(4),
        },
        Case {
            name: "the same",
            answers: &[(0, Number(4)), (9, Number(4))],
            verdict: Current,
            era: Some(4),
        },
        Case {
            name: "higher",
            answers: &[(0, Number(4)), (9, Number(5))],
            verdict: Begins { before: Some(4), era: 5 },
            era: Some(5),
        },
        Case {
            name: "two drills, one unseen",
            answers: &[(0, Number(4)), (9, Number(6))],
            verdict: Begins { before: Some(4), era: 6 },
            era: Some(6),
        },
        Case {
            name: "lower, late",
            answers: &[(0, Number(5)), (4_999, Number(4))],
            verdict: Outdated { stated: 4, era: 5 },
            era: Some(5),
        },
        Case {
            name: "lower, again and again beside the higher one",
            answers: &[(0, Number(5)), (4_000, Number(5)), (8_000, Number(4))],
            verdict: Outdated { stated: 4, era: 5 },
            era: Some(5),
        },
        Case {
            name: "lower, the higher one silent",
            answers: &[(0, Number(5)), (3_000, Number(4)), (5_000, Number(4))],
            verdict: Begins { before: Some(5), era: 4 },
            era: Some(4),
        },
        Case {
            name: "missing",
            answers: &[(0, Number(5)), (9, Missing)],
            verdict: Current,
            era: Some(5),
        },
        Case {
            name: "no number",
            answers: &[(0, Number(5)), (9, Invalid)],
            verdict: Current,
            era: Some(5),
        },
        Case { name: "never stated", answers: &[(0, Missing)], verdict: Current, era: None },
    ];
    for case in cases {
        let start = Instant::now();
        let mut tracker = EraTracker::default();
        let verdicts = case
            .answers
            .iter()
            .map(|(at, stated)| tracker.record_answer(*stated, start + Duration::from_millis(*at)));
        assert_eq!(verdicts.last(), Some(case.verdict), "{}", case.name);
        assert_eq!(tracker.era(), case.era, "{}", case.name);
    }
}

#[test]
fn a_recent_reading_of_another_entry_raises_the_era_and_none_lowers_it() {
    struct Case {
        name: &'static str,
        peer_era: Era,
        age: Duration,
        era: Era,
    }
    let cases = [
        Case { name: "higher", peer_era: 6, age: SECOND, era: 6 },
        Case {
            name: "higher, of an entry that lost the store",
            peer_era: 6,
            age: ERA_TIMEOUT,
            era: 5,
        },
        Case { name: "lower", peer_era: 4, age: Duration::ZERO, era: 5 },
        Case { name: "the same", peer_era: 5, age: ERA_TIMEOUT, era: 5 },
    ];
    for case in cases {
        let start = Instant::now();
        let now = start + ERA_TIMEOUT * 3;
        let mut tracker = EraTracker::default();
        tracker.record_answer(StatedEra::Number(5), start);
        let verdict = tracker.record_peer(case.peer_era, now.checked_sub(case.age).unwrap(), now);
        assert_eq!(tracker.era(), Some(case.era), "{}", case.name);
        let is_outdated = matches!(verdict, EraVerdict::Outdated { .. });
        assert_eq!(is_outdated, case.peer_era != case.era, "{}", case.name);
    }
}

/// Guards against offsets that are compared across eras: the entry has read fingerprint 1 up to
/// offset 10 in era 2.
#[test]
fn readings_of_another_era_are_not_compared_by_offset() {
    struct Case {
        name: &'static str,
        era: Option<Era>,
        fingerprint: u64,
        end: u64,
        /// Milliseconds after the entry's own reading at which it reads.
        due_ms: u64,
        /// Whether the reading displaces an earlier one of era 2 and offset 10 in what is passed on.
        replaces: bool,
    }
    let cases = [
        Case {
            name: "same era, same",
            era: Some(2),
            fingerprint: 1,
            end: 20,
            due_ms: 1_250,
            replaces: true,
        },
        Case {
            name: "same era, other",
            era: Some(2),
            fingerprint: 7,
            end: 20,
            due_ms: 500,
            replaces: true,
        },
        Case {
            name: "older era, same",
            era: Some(1),
            fingerprint: 1,
            end: 20,
            due_ms: 850,
            replaces: false,
        },
        Case {
            name: "older era, other",
            era: Some(1),
            fingerprint: 7,
            end: 20,
            due_ms: 850,
            replaces: false,
        },
        Case {
            name: "newer era, same",
            era: Some(3),
            fingerprint: 1,
            end: 20,
            due_ms: 500,
            replaces: true,
        },
        Case {
            name: "newer era, lower offset",
            era: Some(3),
            fingerprint: 7,
            end: 5,
            due_ms: 500,
            replaces: true,
        },
        Case {
            name: "newer era, same but lower offset",
            era: Some(3),
            fingerprint: 1,
            end: 5,
            due_ms: 500,
            replaces: true,
        },
        Case {
            name: "earlier build, same",
            era: None,
            fingerprint: 1,
            end: 20,
            due_ms: 850,
            replaces: true,
        },
        Case {
            name: "earlier build, other",
            era: None,
            fingerprint: 7,
            end: 20,
            due_ms: 500,
            replaces: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let received_at = start + Duration::from_millis(400);
        let own = Reading { fingerprint: 1, era: Some(2), end: 10, read_at: start };
        let mut follower = Follower::new(INTERVALS);
        follower.record_reading(own);
        let Case { era, fingerprint, end, .. } = case;
        let reading = Reading { fingerprint, era, end, read_at: received_at };
        follower.record_peer_reading(reading);
        let due = follower.due(1, received_at);
        assert_eq!((due - start).as_millis() as u64, case.due_ms, "{}", case.name);
        assert_eq!(reading.replaces(&own), case.replaces, "{}", case.name);
    }
}

#[test]
fn an_entry_reads_again_when_an_era_begins() {
    let start = Instant::now();
    let mut follower = Follower::new(INTERVALS);
    follower.record_reading(Reading { fingerprint: 1, era: Some(2), end: 10, read_at: start });
    follower.record_era(2);
    assert!(!follower.is_behind());
    follower.record_era(3);
    assert!(follower.is_behind());
    assert_eq!(follower.due(9, start), start + INTERVALS.min_gap);
    follower.record_reading(Reading { fingerprint: 1, era: Some(3), end: 4, read_at: start });
    assert!(!follower.is_behind());
}
