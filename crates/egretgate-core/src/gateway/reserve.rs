//! Which of a priority's requests may start while more urgent ones need the slots.
//!
//! The need of a priority is the number of slots that its requests occupy at the rate at which they
//! arrive, besides those that wait already. All less urgent priorities together may hold what is
//! left of the slots after the need of the more urgent ones and a margin for random arrivals
//! (square-root staffing). While the need of all priorities fits into the slots, nothing is
//! reserved.

use std::collections::BTreeMap;
use std::time::Duration;

use super::refusals::RefusalCounts;
use super::request_queue::Priority;

mod load_counters;

pub use load_counters::LoadCounters;

/// Slots of the margin per square root of the slots needed: with one, about one in six moments
/// needs more.
const MARGIN_PER_ROOT: f64 = 1.0;
/// Least fraction of a priority's requests that may start, so that no priority is starved.
const MIN_ADMITTED: f64 = 0.05;
/// Margins that stay idle when a priority takes slots which more urgent ones need but don't occupy.
const IDLE_MARGINS: f64 = 2.0;
/// Shortest time for which the requests are counted that may start: slots get free one by one.
const MIN_HORIZON: Duration = Duration::from_millis(200);
/// Completions that the mean slot time of the service counts for in the one of a priority.
const PRIOR_COMPLETIONS: f64 = 2.0;

/// The requests of one priority that occupy or want slots.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PriorityLoad {
    /// Requests in flight.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Decayed count of the requests that ended with a complete answer.
    pub ended: f64,
    /// Decayed sum of the times for which these occupied slots, in seconds.
    pub busy: f64,
}

impl PriorityLoad {
    /// Returns the sums of two loads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            waiting: self.waiting.saturating_add(other.waiting),
            ended: self.ended + other.ended,
            busy: self.busy + other.busy,
        }
    }

    /// Returns the mean time for which a request occupies a slot, in seconds; `mean` is the one
    /// over all priorities.
    fn slot_seconds(self, mean: f64) -> f64 {
        (self.busy + mean * PRIOR_COMPLETIONS) / (self.ended + PRIOR_COMPLETIONS)
    }
}

/// What the entries know together of the load of a service.
#[derive(Debug, Clone, Default)]
pub struct FleetLoad {
    /// Slots of the upstreams that take requests.
    pub slots: f64,
    /// Mean time for which a request occupies a slot, in seconds.
    pub slot_seconds: f64,
    /// Age of the reports on which the sums rest.
    pub age: Duration,
    priorities: BTreeMap<Priority, (PriorityLoad, RefusalCounts)>,
}

impl FleetLoad {
    /// Returns a load without requests.
    pub const fn new(slots: f64, slot_seconds: f64, age: Duration) -> Self {
        Self { slots, slot_seconds, age, priorities: BTreeMap::new() }
    }

    /// Adds the requests of one entry.
    #[must_use]
    pub fn with_loads(mut self, loads: impl Iterator<Item = (Priority, PriorityLoad)>) -> Self {
        for (priority, load) in loads {
            let (sum, _) = self.priorities.entry(priority).or_default();
            *sum = sum.plus(load);
        }
        self
    }

    /// Adds the arrivals at one entry.
    #[must_use]
    pub fn with_arrivals(
        mut self,
        arrivals: impl Iterator<Item = (Priority, RefusalCounts)>,
    ) -> Self {
        for (priority, counts) in arrivals {
            let (_, sum) = self.priorities.entry(priority).or_default();
            *sum = sum.plus(counts);
        }
        self
    }
}

/// The decision for every priority of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reserve {
    /// Fraction of a priority's requests that may start, in `MIN_ADMITTED..1.0`; priorities that are
    /// missing are not limited.
    admitted: BTreeMap<Priority, f64>,
    /// Slots that the least urgent priority must leave to others; at least 0.
    slots: f64,
}

impl Reserve {
    /// Returns the decision for a load.
    pub fn new(fleet: &FleetLoad) -> Self {
        let FleetLoad { slots, slot_seconds, age, ref priorities } = *fleet;
        let need = |load: PriorityLoad, counts: RefusalCounts| {
            counts.arrived_per_second() * load.slot_seconds(slot_seconds) + f64::from(load.waiting)
        };
        let total: f64 = priorities.values().map(|(load, counts)| need(*load, *counts)).sum();
        if total + margin(total) <= slots || slots <= 0.0 {
            return Self::default();
        }
        let horizon = age.max(MIN_HORIZON).as_secs_f64();
        let mut reserve = Self::default();
        let mut held: f64 = priorities.values().map(|(load, _)| f64::from(load.running)).sum();
        let waiting: f64 = priorities.values().map(|(load, _)| f64::from(load.waiting)).sum();
        // Slots that nothing occupies or waits for.
        let mut idle = slots - held - waiting;
        // What the priorities so far need, and what those of more urgent tiers need.
        let (mut needed, mut urgent) = (0.0, 0.0);
        let mut tiers = None;
        for (priority, (load, counts)) in priorities {
            if tiers != Some((priority.tier, priority.route_tier)) {
                tiers = Some((priority.tier, priority.route_tier));
                urgent = needed;
            }
            let need = need(*load, *counts);
            let left = (slots - needed - margin(needed)).max(0.0);
            // A priority whose need fits waits until less urgent requests leave their slots. Teams
            // beyond their shares only wait longer than others of their tiers.
            if need > left && urgent > 0.0 {
                reserve.slots = reserve.slots.max(slots - left);
                let freed = held * horizon / load.slot_seconds(slot_seconds).max(horizon);
                let wanted = counts.arrived_per_second() * horizon;
                let room = (left - held + freed).max(idle - IDLE_MARGINS * margin(needed));
                let admitted = if wanted > 0.0 { room / wanted } else { 1.0 };
                let admitted = admitted.clamp(MIN_ADMITTED, 1.0);
                idle -= admitted * wanted;
                if admitted < 1.0 {
                    reserve.admitted.insert(*priority, admitted);
                }
            }
            needed += need;
            held -= f64::from(load.running);
        }
        reserve
    }

    /// Returns true if a request may start or wait; `draw` in `0.0..1.0` differs from request to
    /// request.
    pub fn admits(&self, priority: Priority, draw: f64) -> bool {
        self.admitted.get(&priority).is_none_or(|admitted| draw < *admitted)
    }

    /// Returns the slots that the least urgent priority must leave to others.
    pub const fn slots(&self) -> f64 {
        self.slots
    }
}

fn margin(needed: f64) -> f64 {
    MARGIN_PER_ROOT * needed.sqrt()
}
