//! Rulings on a part, their trials, and how entries agree on them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{
    Admission, AdmissionRequest, BrokenRun, Completion, Needs, Refusal, UpstreamKey,
};
use egretgate_core::gateway::crash_quarantine::{Ruling, SuspectReport};
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::prompt_part::{PartHash, part_hash};
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome, Stage};

const SERVICE: &str = "writer";
const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_millis(300);

fn entry(index: usize, entries: usize, slots: u32) -> Scheduler {
    let mut entry = Scheduler::new(&format!("entry-{index}"), "zone", index as u64 + 1);
    entry.set_peer_count(entries - 1);
    let listed = |id: usize| ListedUpstream {
        id: format!("engine-{id}"),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "zone".to_owned(),
        version: "v1".to_owned(),
        slots,
        stage: Stage::Ready,
        started_ms: Some(1),
        cold_for: Duration::ZERO,
    };
    entry.set_upstreams((0..2).map(listed).collect());
    entry
}

fn request(number: u64, parts: &[PartHash], now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        number,
        service: SERVICE.to_owned(),
        route: String::new(),
        priority: Priority { tier: 0, route_tier: 0, over_share: false },
        charge: None,
        objective: now + Duration::from_millis(600),
        useful_wait: Duration::from_secs(2),
        queue_deadline: now + Duration::from_secs(4),
        events: 0.0,
        deadline: now + Duration::from_secs(8),
        faster_than: None,
        is_retry: false,
        avoid: Vec::new(),
        digest: None,
        parts: parts.into(),
        needs: Needs::default(),
    }
}

fn completion(key: UpstreamKey, parts: &[PartHash], is_sound: bool, at: Instant) -> Completion {
    let (outcome, wrote) = if is_sound {
        (Outcome::Succeeded { unit_seconds: None }, Some(RUN_TIME))
    } else {
        (Outcome::InvalidAnswer, None)
    };
    Completion {
        parts: Arc::from(parts),
        wrote,
        ..Completion::new(SERVICE.to_owned(), key, outcome, at)
    }
}

/// Returns a report that rules that a part is quarantined.
fn ruling_report(part: PartHash, sequence: u64) -> PeerReport {
    let ruling = (Ruling { number: 1, ..Ruling::default() }, Duration::ZERO);
    let report = SuspectReport {
        suspect: part,
        ruling,
        crashes: Vec::new(),
        sound_age: None,
        claim_age: None,
        trial_age: None,
    };
    PeerReport {
        name: "entry-x".to_owned(),
        incarnation: 99,
        sequence,
        parts: vec![report],
        ..PeerReport::default()
    }
}

/// Guards against a sound part that stays refused, and against trials that crash one upstream
/// after the other.
#[test]
fn one_trial_decides_on_a_quarantined_part() {
    struct Case {
        entries: usize,
        is_sound: bool,
        /// Entries that get requests with the part.
        asked: usize,
    }
    let cases = [
        Case { entries: 1, is_sound: true, asked: 1 },
        Case { entries: 5, is_sound: true, asked: 5 },
        Case { entries: 5, is_sound: true, asked: 1 },
        Case { entries: 26, is_sound: true, asked: 26 },
        Case { entries: 1, is_sound: false, asked: 1 },
        Case { entries: 5, is_sound: false, asked: 5 },
        Case { entries: 26, is_sound: false, asked: 26 },
    ];
    for Case { entries, is_sound, asked } in cases {
        let name = format!("{entries} entries, {asked} asked, sound: {is_sound}");
        let start = Instant::now();
        let parts = [part_hash("common"), part_hash("subject")];
        let mut fleet: Vec<_> = (0..entries).map(|index| entry(index, entries, 100)).collect();
        for entry in &mut fleet {
            entry.receive_report(ruling_report(parts[1], 1), start);
        }
        let mut runs: Vec<(usize, UpstreamKey, Instant)> = Vec::new();
        let mut started = Vec::new();
        let mut reported = start;
        for step in 0..2_000_u64 {
            let now = start + STEP * step as u32;
            for (index, key, at) in runs.extract_if(.., |run| run.2 + RUN_TIME <= now) {
                fleet[index].finish(&completion(key, &parts, is_sound, at), now);
                if !is_sound {
                    let upstream = fleet[index].upstream(key).unwrap().listed.id.clone();
                    let (digest, parts) = (None, Arc::from(&parts[..]));
                    let crash = BrokenRun { upstream, digest, parts, wrote: None, at: now };
                    fleet[index].record_crash(&crash, now);
                }
            }
            if now >= reported + REPORT_INTERVAL {
                reported = now;
                let reports: Vec<_> = fleet.iter_mut().map(|entry| entry.report(now)).collect();
                for entry in &mut fleet {
                    for report in &reports {
                        entry.receive_report(report.clone(), now);
                    }
                }
            }
            let index = step as usize % asked;
            match fleet[index].admit(request(step, &parts, now), now) {
                Admission::Started(key) => {
                    runs.push((index, key, now));
                    started.push(now - start);
                }
                admission => {
                    assert_eq!(admission, Admission::Refused(Refusal::QuarantinedPart), "{name}");
                }
            }
        }
        let first = started[0];
        assert!(first > Duration::from_secs(1), "{name}: trial after {first:?}");
        let during = started.iter().filter(|at| **at < first + RUN_TIME).count();
        assert_eq!(during, 1, "{name}: one trial at a time");
        let later = started.len() - during;
        if is_sound {
            assert!(later > 1_000, "{name}: {later} start after the trial");
        } else {
            assert_eq!(later, 0, "{name}: none starts after the trial");
        }
    }
}

/// Guards against requests that wait while their part is quarantined and start afterwards.
#[test]
fn waiting_requests_leave_when_their_part_is_quarantined() {
    let now = Instant::now();
    let (bad, sound) = ([part_hash("bad")], [part_hash("sound")]);
    let mut entry = entry(0, 2, 1);
    let mut running = Vec::new();
    for number in 0..2 {
        let admission = entry.admit(request(number, &sound, now), now);
        let Admission::Started(key) = admission else { panic!("{admission:?}") };
        running.push(key);
    }
    for (number, parts) in [(2, &bad), (3, &sound)] {
        assert_eq!(entry.admit(request(number, parts, now), now), Admission::Queued);
    }
    entry.receive_report(ruling_report(bad[0], 1), now);
    entry.finish(&completion(running[0], &sound, true, now), now);
    let started: Vec<u64> = entry.dispatch(now).iter().map(|start| start.number).collect();
    assert_eq!(started, [3], "only the sound request starts");
    assert_eq!(entry.expire(now), [(2, Refusal::QuarantinedPart)]);
    assert_eq!(entry.queue_len(), 0);
}

/// Guards against a late report of an older ruling that undoes a newer one.
#[test]
fn the_newest_ruling_holds_in_whatever_order_reports_arrive() {
    let now = Instant::now();
    let part = part_hash("subject");
    let report = |number, sequence| {
        let mut report = ruling_report(part, sequence);
        report.parts[0].ruling.0.number = number;
        report
    };
    struct Case {
        numbers: &'static [u32],
        is_refused: bool,
    }
    let cases = [
        Case { numbers: &[1], is_refused: true },
        Case { numbers: &[1, 2], is_refused: false },
        Case { numbers: &[2, 1], is_refused: false },
        Case { numbers: &[3, 1, 2], is_refused: true },
        Case { numbers: &[1, 2, 1, 3], is_refused: true },
    ];
    for Case { numbers, is_refused } in cases {
        let mut entry = entry(0, 2, 9);
        for (index, number) in numbers.iter().enumerate() {
            entry.receive_report(report(*number, index as u64 + 1), now);
        }
        let admission = entry.admit(request(1, &[part], now), now);
        let refused = admission == Admission::Refused(Refusal::QuarantinedPart);
        assert_eq!(refused, is_refused, "{numbers:?}");
    }
}

/// Guards against an entry that missed a release and refuses a sound part until it forgets it.
#[test]
fn an_entry_that_was_cut_off_learns_of_a_release() {
    let start = Instant::now();
    let part = part_hash("subject");
    let (mut released, mut cut_off) = (entry(0, 2, 9), entry(1, 2, 9));
    for entry in [&mut released, &mut cut_off] {
        entry.receive_report(ruling_report(part, 1), start);
    }
    let mut release = ruling_report(part, 2);
    release.parts[0].ruling.0.number = 2;
    released.receive_report(release, start);
    // Longer than a change is reported.
    let healed = start + Duration::from_secs(20);
    for step in 0..10 {
        let now = healed + REPORT_INTERVAL * step;
        let report = cut_off.report(now);
        released.receive_report(report, now);
        let report = released.report(now);
        cut_off.receive_report(report, now);
    }
    let now = healed + Duration::from_secs(1);
    for entry in [&mut released, &mut cut_off] {
        let admission = entry.admit(request(1, &[part], now), now);
        assert!(matches!(admission, Admission::Started(_)), "{admission:?}");
    }
}

/// Guards against a part that is refused for as long as somebody asks for it.
#[test]
fn a_part_whose_trial_crashed_is_forgotten_after_a_while() {
    const ASK_INTERVAL: Duration = Duration::from_millis(500);
    const FORGOTTEN_AFTER: Duration = Duration::from_mins(5);
    let start = Instant::now();
    let parts = [part_hash("subject")];
    let mut entry = entry(0, 2, 9);
    entry.receive_report(ruling_report(parts[0], 1), start);
    let mut crashed = None;
    for step in 0..1_000 {
        let now = start + ASK_INTERVAL * step;
        entry.report(now);
        let admission = entry.admit(request(step.into(), &parts, now), now);
        let Admission::Started(key) = admission else { continue };
        let Some(crashed_at) = crashed else {
            let upstream = entry.upstream(key).unwrap().listed.id.clone();
            entry.finish(&completion(key, &parts, false, now), now);
            let (digest, parts) = (None, Arc::from(&parts[..]));
            let crash = BrokenRun { upstream, digest, parts, wrote: None, at: now };
            entry.record_crash(&crash, now);
            crashed = Some(now);
            continue;
        };
        let after = now - crashed_at;
        assert!(after >= FORGOTTEN_AFTER, "it starts again {after:?} after the crash");
        return;
    }
    panic!("it is refused for good");
}
