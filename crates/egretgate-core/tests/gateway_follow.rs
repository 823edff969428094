//! When each entry reads shared state.

use std::time::{Duration, Instant};

use egretgate_core::gateway::follow::{Follower, PollIntervals, Reading};

const INTERVALS: PollIntervals = PollIntervals {
    period: Duration::from_millis(600),
    takeover_age: Duration::from_millis(850),
    rank_step: Duration::from_millis(80),
    max_age: Duration::from_millis(1_300),
    min_gap: Duration::from_millis(500),
};

#[test]
fn an_entry_reads_when_its_rank_is_due() {
    struct Case {
        name: &'static str,
        rank: usize,
        /// What another entry reports: fingerprint, end and age in milliseconds.
        peer_reading: Option<(u64, u64, u64)>,
        /// Milliseconds after the entry's own reading, which had the fingerprint 1 and the end 10.
        due_ms: u64,
    }
    let cases = [
        Case { name: "the first reads at its period", rank: 0, peer_reading: None, due_ms: 600 },
        Case { name: "the second takes over", rank: 1, peer_reading: None, due_ms: 850 },
        Case { name: "the third reads after it", rank: 2, peer_reading: None, due_ms: 930 },
        Case { name: "the last within the limit", rank: 25, peer_reading: None, due_ms: 1_300 },
        Case { name: "the same, later", rank: 1, peer_reading: Some((1, 20, 0)), due_ms: 1_250 },
        Case { name: "the same, aged", rank: 1, peer_reading: Some((1, 20, 300)), due_ms: 950 },
        // Not at 400 ms, when it learns of it: the gap after its own reading is kept.
        Case { name: "something newer", rank: 25, peer_reading: Some((2, 20, 0)), due_ms: 500 },
        Case { name: "something older", rank: 1, peer_reading: Some((2, 5, 0)), due_ms: 850 },
    ];
    for case in cases {
        let start = Instant::now();
        let received_at = start + Duration::from_millis(400);
        let mut follower = Follower::new(INTERVALS);
        follower.record_reading(Reading { fingerprint: 1, era: None, end: 10, read_at: start });
        if let Some((fingerprint, end, age)) = case.peer_reading {
            follower.record_peer_reading(Reading {
                fingerprint,
                era: None,
                end,
                read_at: received_at.checked_sub(Duration::from_millis(age)).unwrap(),
            });
        }
        let due = follower.due(case.rank, received_at);
        assert_eq!((due - start).as_millis() as u64, case.due_ms, "{}", case.name);
    }
}

#[test]
fn an_entry_without_a_reading_reads_at_once() {
    let now = Instant::now();
    let mut follower = Follower::new(INTERVALS);
    assert_eq!(follower.due(7, now), now);
    follower.record_peer_reading(Reading { fingerprint: 1, era: None, end: 1, read_at: now });
    assert_eq!(follower.due(7, now), now);
    assert_eq!(follower.reading(), None);
}

/// The leading entry loses the store and still reports, while dozens of others report their
/// readings to each other. If readings were passed on, they would seem recent and no other entry
/// would take over. Ages are sent in whole milliseconds and take one to arrive.
#[test]
fn readings_that_peers_pass_around_do_not_stay_recent() {
    struct Case {
        name: &'static str,
        entries: usize,
    }
    let cases =
        [Case { name: "four entries", entries: 4 }, Case { name: "26 entries", entries: 26 }];
    const MILLISECOND: Duration = Duration::from_millis(1);
    for case in cases {
        let start = Instant::now();
        let mut followers = vec![Follower::new(INTERVALS); case.entries];
        for follower in &mut followers {
            follower.record_reading(Reading { fingerprint: 1, era: None, end: 10, read_at: start });
        }
        // Each entry reports every 104 ms, one after the other; none reads.
        let interval = Duration::from_millis(104) / case.entries as u32;
        let mut now = start;
        let mut turn = 0;
        while followers[1].due(1, now) > now {
            now += interval;
            let from = turn % case.entries;
            turn += 1;
            let reading = followers[from].reading().expect("it was read");
            let age = Duration::from_millis((now - reading.read_at).as_millis() as u64);
            let arrives = now + MILLISECOND;
            for (to, follower) in followers.iter_mut().enumerate() {
                if to != from {
                    follower.record_peer_reading(Reading {
                        read_at: arrives.checked_sub(age).unwrap(),
                        ..reading
                    });
                }
            }
            assert!(now < start + Duration::from_secs(5), "{}: nobody reads", case.name);
        }
        let late = (now - start).saturating_sub(INTERVALS.takeover_age);
        assert!(late < Duration::from_millis(50), "{}: {late:?} after the takeover", case.name);
    }
}

/// A hundred upstreams list themselves within seconds while a fleet starts, so each reading differs
/// from the one before. An entry that reads makes the others read, which must not make it read again
/// at once.
#[test]
fn a_changing_list_is_read_at_a_bounded_rate() {
    struct Case {
        name: &'static str,
        entries: usize,
    }
    let cases =
        [Case { name: "four entries", entries: 4 }, Case { name: "103 entries", entries: 103 }];
    const TIME: Duration = Duration::from_secs(4);
    const STEP: Duration = Duration::from_millis(20);
    for case in cases {
        let start = Instant::now();
        let mut followers = vec![Follower::new(INTERVALS); case.entries];
        let mut readings = 0;
        let mut now = start;
        while now < start + TIME {
            for index in 0..case.entries {
                if followers[index].due(index, now) > now {
                    continue;
                }
                // The list changes between any two readings.
                readings += 1;
                let end = readings;
                let reading = Reading { fingerprint: end, era: None, end, read_at: now };
                for (other, follower) in followers.iter_mut().enumerate() {
                    if other == index {
                        follower.record_reading(reading);
                    } else {
                        follower.record_peer_reading(reading);
                    }
                }
            }
            for (index, follower) in followers.iter().enumerate() {
                let age = now - follower.reading().expect("it was read").read_at;
                assert!(age < INTERVALS.max_age, "{}: entry {index}: {age:?}", case.name);
            }
            now += STEP;
        }
        let most = case.entries as u128 * (TIME.as_millis() / INTERVALS.min_gap.as_millis() + 1);
        assert!(u128::from(readings) <= most, "{}: {readings} readings", case.name);
    }
}
