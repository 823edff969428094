//! Upstreams that fail more than their siblings get no requests but probes; others keep theirs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::Digest;
use egretgate_core::gateway::admission::{
    Admission, AdmissionRequest, BrokenRun, Completion, Needs,
};
use egretgate_core::gateway::ejection::{EjectionEvent, EjectionReport, Ejections, ProbeReport};
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome, Stage};

/// Time at an entry between the answers of one step.
const STEP: Duration = Duration::from_millis(100);
const AGE: Duration = Duration::from_millis(50);

/// Failures and successes of a route at one upstream, in each step.
type Rates = [(u32, u32); 2];

/// Returns the ejected ones of several upstreams after a second of answers at several entries.
fn ejected(upstreams: &[Rates], entries: usize) -> Vec<usize> {
    let mut now = Instant::now();
    let start = now;
    let mut fleet = vec![Ejections::default(); entries];
    let members: Vec<u64> = (1..=upstreams.len() as u64).collect();
    let mut reports = vec![EjectionReport::default(); entries];
    let mut turn = 0;
    for _ in 0..10 {
        now += STEP;
        for (upstream, rates) in members.iter().zip(upstreams) {
            for (route, (failed, sound)) in rates.iter().enumerate() {
                for index in 0..failed + sound {
                    turn += 1;
                    let entry = &mut fleet[turn % entries];
                    entry.record_answer(*upstream, route as u32, index < *failed, start, now);
                }
            }
        }
        for (number, entry) in fleet.iter_mut().enumerate() {
            let others = reports.iter().enumerate().filter(|(other, _)| *other != number);
            if entry.update(others.map(|(_, report)| (report, AGE)), now) {
                entry.judge(&members, now);
            }
        }
        reports = fleet.iter_mut().map(|entry| entry.report(now)).collect();
    }
    let is_ejected = |index: &usize| fleet.iter().all(|entry| entry.is_ejected(members[*index]));
    (0..upstreams.len()).filter(is_ejected).collect()
}

#[test]
fn only_upstreams_that_fail_more_than_their_siblings_are_ejected() {
    struct Case {
        name: &'static str,
        upstreams: Vec<Rates>,
        entries: usize,
        ejected: Vec<usize>,
    }
    const SOUND: Rates = [(0, 2), (0, 1)];
    const FAILS: Rates = [(2, 0), (1, 0)];
    let cases = [
        Case { name: "none fails", upstreams: vec![SOUND; 6], entries: 3, ejected: vec![] },
        Case {
            name: "one fails, few answers at each of many entries",
            upstreams: [vec![FAILS], vec![SOUND; 9]].concat(),
            entries: 29,
            ejected: vec![0],
        },
        Case {
            name: "one fails nine of ten requests",
            upstreams: [vec![[(9, 1), (0, 0)]], vec![SOUND; 9]].concat(),
            entries: 4,
            ejected: vec![0],
        },
        Case {
            name: "one serves as many as it fails",
            upstreams: [vec![[(1, 1), (1, 1)]], vec![SOUND; 9]].concat(),
            entries: 4,
            ejected: vec![],
        },
        Case { name: "all fail alike", upstreams: vec![FAILS; 6], entries: 3, ejected: vec![] },
        Case {
            name: "a route fails everywhere",
            upstreams: vec![[(1, 1), (0, 2)]; 6],
            entries: 3,
            ejected: vec![],
        },
        Case {
            name: "a route that fails everywhere is most of the work of one",
            upstreams: [vec![[(3, 1), (0, 0)]], vec![[(3, 1), (0, 9)]; 5]].concat(),
            entries: 3,
            ejected: vec![],
        },
        Case {
            name: "a route fails only here",
            upstreams: [vec![[(8, 0), (0, 1)]], vec![[(0, 4), (0, 1)]; 5]].concat(),
            entries: 3,
            ejected: vec![0],
        },
        Case { name: "the only upstream", upstreams: vec![FAILS], entries: 3, ejected: vec![] },
        Case {
            name: "one of three",
            upstreams: vec![SOUND, FAILS, SOUND],
            entries: 3,
            ejected: vec![1],
        },
    ];
    for case in cases {
        assert_eq!(ejected(&case.upstreams, case.entries), case.ejected, "{}", case.name);
    }
}

#[test]
fn no_more_than_half_are_ejected() {
    for failing in 1..=10 {
        let upstreams: Vec<Rates> =
            (0..10).map(|index| [(u32::from(index < failing) * 4, 1), (0, 0)]).collect();
        let count = ejected(&upstreams, 1).len();
        assert!(count <= 5, "{failing} fail: {count}");
    }
}

/// Returns the view of an entry that has ejected upstream 1, and the time.
fn entry_with_ejected() -> (Ejections, Instant) {
    let mut entry = Ejections::default();
    let now = Instant::now();
    for _ in 0..8 {
        entry.record_answer(1, 0, true, now, now);
    }
    assert!(entry.update(std::iter::empty(), now));
    entry.judge(&[1, 2, 3, 4], now);
    let events: Vec<EjectionEvent> =
        entry.take_changes().iter().map(|change| change.event).collect();
    assert_eq!(events, [EjectionEvent::Ejected]);
    (entry, now)
}

#[test]
fn an_ejected_upstream_returns_by_successful_probes() {
    let (mut entry, start) = entry_with_ejected();
    assert!(!entry.is_due(1, true, start), "it was just ejected");
    let mut now = start + Duration::from_millis(600);
    assert!(entry.is_due(1, true, now), "a request that may be repeated probes first");
    assert!(!entry.is_due(1, false, now), "another one waits");
    assert!(entry.is_due(1, false, now + Duration::from_secs(1)), "none that may be repeated came");

    entry.record_start(1);
    assert!(!entry.is_due(1, true, now), "one probe at a time");
    entry.record_answer(1, 0, true, now, now);
    assert!(!entry.is_due(1, true, now + Duration::from_millis(600)), "the pause has grown");
    now += Duration::from_millis(1_100);
    assert!(entry.is_due(1, true, now));

    entry.record_answer(1, 0, false, start, now);
    entry.record_answer(1, 0, false, start, now);
    entry.record_answer(1, 0, false, start, now);
    assert!(entry.is_ejected(1), "requests from before the ejection are no probes");
    for _ in 0..2 {
        assert!(entry.is_ejected(1));
        entry.record_start(1);
        entry.record_answer(1, 0, false, now, now);
    }
    assert!(!entry.is_ejected(1));
}

#[test]
fn an_entry_learns_from_the_probes_of_others() {
    struct Case {
        name: &'static str,
        number: u32,
        passed: u32,
        /// Whether the upstream is still ejected.
        ejected: bool,
        /// Whether a probe is due after the first pause.
        due: bool,
    }
    let cases = [
        Case { name: "no probe", number: 1, passed: 0, ejected: true, due: true },
        Case { name: "a failed probe", number: 3, passed: 0, ejected: true, due: false },
        Case { name: "it has returned", number: 1, passed: 2, ejected: false, due: false },
        Case { name: "an older return", number: 0, passed: 3, ejected: true, due: true },
    ];
    for Case { name, number, passed, ejected, due } in cases {
        let (mut entry, start) = entry_with_ejected();
        let now = start + Duration::from_millis(600);
        entry.merge_probes(&[ProbeReport { upstream: 1, number, passed, age: AGE }], now);
        entry.merge_probes(&[ProbeReport { upstream: 2, number, passed: 0, age: AGE }], now);
        assert_eq!(entry.is_ejected(1), ejected, "{name}");
        assert_eq!(entry.is_due(1, true, now), due, "{name}");
        assert!(!entry.is_ejected(2), "{name}: an entry ejects by evidence only");
    }
}

#[test]
fn only_ends_that_tell_of_a_failing_upstream_count_against_it() {
    struct Case {
        name: &'static str,
        outcome: Outcome,
        /// Whether all runs are of the same request.
        same: bool,
        /// Whether the upstream is down after each run.
        down: bool,
        ejected: usize,
    }
    const USUAL: Case =
        Case { name: "", outcome: Outcome::InvalidAnswer, same: false, down: false, ejected: 1 };
    let cases = [
        Case { name: "errors", outcome: Outcome::Failed, ..USUAL },
        Case { name: "cut answers", outcome: Outcome::InvalidAnswer, ..USUAL },
        Case { name: "cut answers, down after each", down: true, ..USUAL },
        Case {
            name: "a request that crashes upstreams",
            same: true,
            down: true,
            ejected: 0,
            ..USUAL
        },
        Case { name: "cut answers to equal requests", same: true, ..USUAL },
        Case { name: "refusals when idle", outcome: Outcome::Rejected, ..USUAL },
        Case { name: "silence", outcome: Outcome::Stalled, ejected: 0, ..USUAL },
        Case { name: "callers left", outcome: Outcome::Abandoned, ejected: 0, ..USUAL },
        Case { name: "another's address", outcome: Outcome::Misdirected, ejected: 0, ..USUAL },
    ];
    for Case { name, outcome, same, down, ejected } in cases {
        let listed = |index: u32| ListedUpstream {
            id: format!("engine-{index}"),
            service: "writer".to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "olinda".to_owned(),
            version: "v1".to_owned(),
            slots: 4,
            stage: Stage::Ready,
            started_ms: Some(1),
            cold_for: Duration::ZERO,
        };
        let mut entry = Scheduler::new("entry-0", "olinda", 1);
        entry.set_upstreams((0..4).map(listed).collect());
        let mut now = Instant::now();
        let mut chosen = None;
        for number in 0..8 {
            let request = request(number, now);
            let Admission::Started(first) = entry.admit(request, now) else {
                panic!("{name}: there are free slots");
            };
            let key = *chosen.get_or_insert(first);
            let digest = if same { 0 } else { number };
            let digest = Some(Digest::of(&[&digest.to_le_bytes()]));
            let end = Completion::new("writer".to_owned(), key, outcome, now);
            entry.finish(&Completion { digest, ..end }, now);
            if down {
                let upstream = entry.upstream(key).unwrap().listed.id.clone();
                let crash =
                    BrokenRun { upstream, digest, parts: Arc::default(), wrote: None, at: now };
                entry.record_crash(&crash, now);
            }
        }
        now += Duration::from_millis(50);
        entry.dispatch(now);
        assert_eq!(entry.ejected_count(), ejected, "{name}");
    }
}

fn request(number: u64, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        number,
        service: "writer".to_owned(),
        route: String::new(),
        priority: Priority { tier: 0, route_tier: 0, over_share: false },
        charge: None,
        objective: now + Duration::from_secs(1),
        useful_wait: Duration::from_secs(1),
        queue_deadline: now + Duration::from_secs(1),
        events: 0.0,
        deadline: now + Duration::from_secs(8),
        faster_than: None,
        is_retry: false,
        avoid: Vec::new(),
        digest: None,
        parts: Arc::default(),
        needs: Needs::default(),
    }
}
