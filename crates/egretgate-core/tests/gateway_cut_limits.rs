//! A team's limit while entries are cut off from the others.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{Admission, AdmissionRequest, Charge, Completion, Needs};
use egretgate_core::gateway::catalog::{Catalog, Team, TokenLimit};
use egretgate_core::gateway::regions::Regions;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome, Stage};

const SERVICE: &str = "writer";
const TEAM: &str = "atelier";
const STEP: Duration = Duration::from_millis(10);
/// Steps between reports, which arrive when the next ones are sent.
const REPORT_STEPS: u32 = 10;
const TOTAL: Duration = Duration::from_secs(20);
const CUT: std::ops::Range<Duration> = Duration::from_secs(6)..Duration::from_secs(12);
/// Window in which the limit is checked, and the tenth by which it may be exceeded.
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.1;
const LIMIT: TokenLimit = TokenLimit { rate: 60_000.0, burst: 60_000.0 };
const REQUEST_TOKENS: u64 = 100;

struct Case {
    name: &'static str,
    entries: usize,
    /// Entries, from the end of the list, that are cut off, each from all others.
    cut_off: usize,
    /// What the team sends, relative to its limit.
    load: f64,
}

fn entry(index: usize, entries: usize, now: Instant) -> Scheduler {
    let mut entry = Scheduler::new(&format!("entry-{index:03}"), "olinda", index as u64 + 1);
    let team = Team {
        name: TEAM.to_owned(),
        tier: None,
        limit: Some(LIMIT),
        default_cost: 1,
        regions: Regions::ANY,
    };
    entry.set_peer_count(entries - 1);
    entry.set_catalog(Arc::new(Catalog::new(1).with_team(team, Vec::new())), now);
    let listed = |index| ListedUpstream {
        id: format!("engine-{index}"),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "olinda".to_owned(),
        version: "v1".to_owned(),
        slots: 1_000,
        stage: Stage::Ready,
        started_ms: Some(1),
        cold_for: Duration::ZERO,
    };
    entry.set_upstreams((0..4).map(listed).collect());
    entry
}

fn request(number: u64, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        number,
        service: SERVICE.to_owned(),
        route: String::new(),
        priority: Priority::default(),
        charge: Some(Charge { team: TEAM.to_owned(), tokens: REQUEST_TOKENS }),
        objective: now + Duration::from_millis(400),
        useful_wait: Duration::from_millis(300),
        queue_deadline: now + Duration::from_millis(1_500),
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

/// Returns the tokens admitted in each step.
fn simulate(case: &Case) -> Vec<f64> {
    let start = Instant::now();
    let mut entries: Vec<Scheduler> =
        (0..case.entries).map(|index| entry(index, case.entries, start)).collect();
    let mut reports = Vec::new();
    let mut running: VecDeque<(Instant, usize, Completion)> = VecDeque::new();
    let mut due = vec![0.0; case.entries];
    let mut number = 0;
    let mut admitted = Vec::new();
    for step in 0..(TOTAL.as_millis() / STEP.as_millis()) as u32 {
        let now = start + STEP * step;
        let is_cut = CUT.contains(&(STEP * step));
        let is_alone = |index: usize| is_cut && index >= case.entries - case.cut_off;
        while running.front().is_some_and(|(until, ..)| *until <= now) {
            let (_, index, completion) = running.pop_front().expect("checked");
            entries[index].finish(&completion, now);
        }
        if step % REPORT_STEPS == 0 {
            for (from, report) in std::mem::take(&mut reports).into_iter().enumerate() {
                for (to, entry) in entries.iter_mut().enumerate() {
                    if from != to && !is_alone(from) && !is_alone(to) {
                        entry.receive_report(Clone::clone(&report), now);
                    }
                }
            }
            reports = entries.iter_mut().map(|entry| entry.report(now)).collect();
        }
        let mut tokens = 0.0;
        for (index, entry) in entries.iter_mut().enumerate() {
            due[index] += LIMIT.rate * case.load / case.entries as f64 * STEP.as_secs_f64();
            while due[index] >= REQUEST_TOKENS as f64 {
                due[index] -= REQUEST_TOKENS as f64;
                number += 1;
                if let Admission::Started(key) = entry.admit(request(number, now), now) {
                    tokens += REQUEST_TOKENS as f64;
                    let outcome = Outcome::Succeeded { unit_seconds: Some(0.1) };
                    let end = Completion::new(SERVICE.to_owned(), key, outcome, now);
                    running.push_back((now + Duration::from_millis(100), index, end));
                }
            }
        }
        admitted.push(tokens);
    }
    admitted
}

/// Until an entry finds that it no longer hears the others, it must not spend what they may spend.
#[test]
fn a_cut_does_not_let_a_team_exceed_its_limit() {
    let cases = [
        Case { name: "no cut", entries: 4, cut_off: 0, load: 6.0 },
        Case { name: "one of four", entries: 4, cut_off: 1, load: 6.0 },
        Case { name: "two of four", entries: 4, cut_off: 2, load: 6.0 },
        Case { name: "all of four", entries: 4, cut_off: 4, load: 6.0 },
        Case { name: "nine of twenty-six", entries: 26, cut_off: 9, load: 6.0 },
        Case { name: "one of four, hardly beyond", entries: 4, cut_off: 1, load: 1.3 },
    ];
    let window = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    let most = (LIMIT.rate * WINDOW.as_secs_f64() + LIMIT.burst) * (1.0 + OVERAGE);
    let mut violations = Vec::new();
    for case in cases {
        let admitted = simulate(&case);
        let sums = admitted.windows(window).map(|steps| steps.iter().sum::<f64>());
        let largest = sums.fold(0.0, f64::max);
        let before: f64 = admitted[200..600].iter().sum();
        let after: f64 = admitted[1_400..].iter().sum();
        if largest > most {
            violations.push(format!("{}: {largest} in a window, {most} allowed", case.name));
        }
        // Entries that hear each other spend what the limit grants.
        for (when, tokens, seconds) in [("before", before, 4.0), ("after", after, 6.0)] {
            if tokens < LIMIT.rate * seconds * 0.95 {
                violations.push(format!("{}: {tokens} in {seconds} s {when} the cut", case.name));
            }
        }
    }
    assert!(violations.is_empty(), "{} violations: {violations:#?}", violations.len());
}
