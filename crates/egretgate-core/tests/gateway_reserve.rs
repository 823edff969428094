//! What the reserve admits of each priority, for loads of a fleet.

use std::time::Duration;

use egretgate_core::gateway::refusals::RefusalCounts;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::reserve::{FleetLoad, PriorityLoad, Reserve};

/// Decay time of the counted arrivals, in seconds.
const ARRIVAL_DECAY: f64 = 0.5;
const SLOTS: f64 = 200.0;
const SLOT_SECONDS: f64 = 0.5;
const STEPS: u32 = 1_000;

/// Load of one priority: arrivals per second, requests in flight and waiting.
type Load = (f64, u32, u32);

fn priority(tier: u8) -> Priority {
    Priority { tier: 1, route_tier: tier, over_share: false }
}

fn reserve(loads: &[Load]) -> Reserve {
    let arrivals = loads.iter().zip(0..).map(|((rate, ..), tier)| {
        (priority(tier), RefusalCounts { arrived: rate * ARRIVAL_DECAY, refused: 0.0 })
    });
    let loads = loads.iter().zip(0..).map(|(&(_, running, waiting), tier)| {
        let load = PriorityLoad { running, waiting, ended: 100.0, busy: 100.0 * SLOT_SECONDS };
        (priority(tier), load)
    });
    let fleet = FleetLoad::new(SLOTS, SLOT_SECONDS, Duration::from_millis(90));
    Reserve::new(&fleet.with_loads(loads).with_arrivals(arrivals))
}

/// Returns the fraction of the requests of a tier that is admitted.
fn admitted(reserve: &Reserve, tier: u8) -> f64 {
    let draws = (0..STEPS).map(|step| f64::from(step) / f64::from(STEPS));
    draws.filter(|draw| reserve.admits(priority(tier), *draw)).count() as f64 / f64::from(STEPS)
}

#[test]
fn less_urgent_requests_start_on_what_more_urgent_ones_leave() {
    struct Case {
        name: &'static str,
        loads: &'static [Load],
        /// Allowed range of the admitted fraction of each tier.
        admitted: &'static [std::ops::RangeInclusive<f64>],
    }
    const CASES: [Case; 7] = [
        Case {
            name: "all needs fit",
            loads: &[(100.0, 50, 0), (100.0, 50, 0), (100.0, 50, 0)],
            admitted: &[1.0..=1.0, 1.0..=1.0, 1.0..=1.0],
        },
        Case {
            name: "a burst that lesser requests still hold the slots of",
            loads: &[(300.0, 30, 0), (40.0, 10, 0), (200.0, 160, 0)],
            admitted: &[1.0..=1.0, 1.0..=1.0, 0.01..=0.1],
        },
        Case {
            name: "in balance, lesser requests get what is left",
            loads: &[(200.0, 100, 0), (0.0, 0, 0), (400.0, 90, 0)],
            admitted: &[1.0..=1.0, 1.0..=1.0, 0.4..=0.5],
        },
        Case {
            name: "the most urgent alone exceed the slots",
            loads: &[(900.0, 190, 80), (40.0, 5, 0), (200.0, 5, 0)],
            admitted: &[1.0..=1.0, 0.01..=0.1, 0.01..=0.1],
        },
        Case {
            name: "slots are idle although urgent arrivals would fill them",
            loads: &[(900.0, 20, 0), (40.0, 5, 0), (200.0, 5, 0)],
            admitted: &[1.0..=1.0, 1.0..=1.0, 0.95..=1.0],
        },
        Case {
            name: "the burst has gone, its requests still run",
            loads: &[(20.0, 150, 0), (20.0, 20, 0), (200.0, 25, 0)],
            admitted: &[1.0..=1.0, 1.0..=1.0, 1.0..=1.0],
        },
        Case {
            name: "one priority has nobody more urgent to yield to",
            loads: &[(900.0, 190, 80)],
            admitted: &[1.0..=1.0],
        },
    ];
    for case in CASES {
        let reserve = reserve(case.loads);
        for (tier, allowed) in case.admitted.iter().enumerate() {
            let admitted = admitted(&reserve, tier as u8);
            assert!(allowed.contains(&admitted), "{}: tier {tier}: {admitted}", case.name);
        }
    }
}
