//! When each entry reads shared state.

use std::time::{Duration, Instant};

use egretgate_core::gateway::follow::{Follower, PollIntervals, Reading};

const INTERVALS: PollIntervals = PollIntervals {
    period: Duration::from_millis(600),
    takeover_age: Duration::from_millis(850),
    rank_step: Duration::from_millis(80),
    max_age: Duration::from_millis(1_300),
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
        Case { name: "something newer", rank: 25, peer_reading: Some((2, 20, 0)), due_ms: 400 },
        Case { name: "something older", rank: 1, peer_reading: Some((2, 5, 0)), due_ms: 850 },
    ];
    for case in cases {
        let start = Instant::now();
        let received_at = start + Duration::from_millis(400);
        let mut follower = Follower::new(INTERVALS);
        follower.record_reading(Reading { fingerprint: 1, end: 10, read_at: start });
        if let Some((fingerprint, end, age)) = case.peer_reading {
            follower.record_peer_reading(Reading {
                fingerprint,
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
    follower.record_peer_reading(Reading { fingerprint: 1, end: 1, read_at: now });
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
            follower.record_reading(Reading { fingerprint: 1, end: 10, read_at: start });
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
