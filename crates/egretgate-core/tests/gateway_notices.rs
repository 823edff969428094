//! What an entry does with what upstreams say of themselves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{Admission, AdmissionRequest, UpstreamKey};
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::scheduler::{Departure, Scheduler};
use egretgate_core::gateway::upstream::{ListedUpstream, Stage};

const SERVICE: &str = "writer";

fn listed(id: &str, started_ms: u64) -> ListedUpstream {
    ListedUpstream {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "olinda".to_owned(),
        version: "v1".to_owned(),
        slots: 9,
        stage: Stage::Ready,
        started_ms: Some(started_ms),
    }
}

fn entry(index: u64, upstreams: Vec<ListedUpstream>) -> Scheduler {
    let mut entry = Scheduler::new(&format!("entry-{index}"), "olinda", index);
    entry.set_upstreams(upstreams);
    entry
}

/// Returns the upstream at which a request starts.
fn start(entry: &mut Scheduler, now: Instant) -> Option<UpstreamKey> {
    let request = AdmissionRequest {
        number: 1,
        service: SERVICE.to_owned(),
        route: String::new(),
        priority: Priority::default(),
        charge: None,
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
    };
    match entry.admit(request, now) {
        Admission::Started(key) => Some(key),
        Admission::Queued | Admission::Refused(_) => None,
    }
}

/// An upstream said to one entry that it leaves; another entry lists the same name.
#[test]
fn only_the_incarnation_that_said_so_leaves() {
    struct Case {
        name: &'static str,
        /// Start of the incarnation that the other entry lists.
        started_ms: u64,
        /// True if the other entry lists the incarnation that left first, then the new one.
        is_relisted: bool,
        leaves: bool,
    }
    const CASES: [Case; 3] = [
        Case { name: "the same one", started_ms: 1, is_relisted: false, leaves: true },
        Case { name: "a new one", started_ms: 2, is_relisted: false, leaves: false },
        Case { name: "a new one, later", started_ms: 1, is_relisted: true, leaves: false },
    ];
    for Case { name, started_ms, is_relisted, leaves } in CASES {
        let now = Instant::now();
        let mut told = entry(1, vec![listed("engine", 1)]);
        let key = start(&mut told, now).expect("a free upstream");
        told.record_leaving(key);
        told.record_leaving(key);
        let departure = Departure { id: "engine".to_owned(), told_by: None };
        assert_eq!(told.take_departures(), [departure], "{name}");
        assert_eq!(start(&mut told, now), None, "{name}");
        let mut other = entry(2, vec![listed("engine", started_ms)]);
        other.receive_report(told.report(now), now);
        if is_relisted {
            other.set_upstreams(vec![listed("engine", 2)]);
            other.receive_report(told.report(now), now);
        }
        assert_eq!(start(&mut other, now).is_none(), leaves, "{name}");
        // The new incarnation, then an answer of the old one that arrives late.
        told.set_upstreams(vec![listed("engine", 2)]);
        told.record_leaving(key);
        assert!(start(&mut told, now).is_some(), "{name}: the new incarnation");
        assert_eq!(told.report(now).leaving, [], "{name}");
    }
}
