//! The load of one entry by priority.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::PriorityLoad;
use crate::gateway::admission::UpstreamKey;
use crate::gateway::decaying_count::DecayingCount;
use crate::gateway::request_queue::Priority;

/// Decay time of the slot times: longer than most answers, so that long ones count too.
const SLOT_TIME_DECAY: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct Counters {
    running: u32,
    ended: DecayingCount,
    busy: DecayingCount,
}

/// Requests of one entry that occupy slots of a service.
#[derive(Debug, Clone, Default)]
pub struct LoadCounters {
    counters: BTreeMap<Priority, Counters>,
    /// Start and priority of each request in flight, by upstream.
    runs: HashMap<UpstreamKey, Vec<(Instant, Priority)>>,
}

impl LoadCounters {
    /// Records that a request starts.
    pub fn record_start(&mut self, key: UpstreamKey, priority: Priority, now: Instant) {
        self.runs.entry(key).or_default().push((now, priority));
        let empty = DecayingCount::new(SLOT_TIME_DECAY, now);
        let counters = Counters { running: 0, ended: empty, busy: empty };
        self.counters.entry(priority).or_insert(counters).running += 1;
    }

    /// Records that a request which started at `started` ends; `sound` is true if its answer is
    /// complete.
    pub fn record_end(&mut self, key: UpstreamKey, started: Instant, sound: bool, now: Instant) {
        let Some(runs) = self.runs.get_mut(&key) else { return };
        let position = runs.iter().position(|(start, _)| *start == started).unwrap_or(0);
        let (start, priority) = runs.swap_remove(position);
        if runs.is_empty() {
            self.runs.remove(&key);
        }
        let Some(counters) = self.counters.get_mut(&priority) else { return };
        counters.running = counters.running.saturating_sub(1);
        if sound {
            counters.ended.increment(now);
            counters.busy.add(now.saturating_duration_since(start).as_secs_f64(), now);
        }
    }

    /// Returns the load of each priority, without the requests that wait.
    pub fn by_priority(&self, now: Instant) -> impl Iterator<Item = (Priority, PriorityLoad)> + '_ {
        self.counters.iter().map(move |(priority, counters)| {
            let load = PriorityLoad {
                running: counters.running,
                waiting: 0,
                ended: counters.ended.count(now),
                busy: counters.busy.count(now),
            };
            (*priority, load)
        })
    }
}
