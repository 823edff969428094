//! The requests of one service that wait and run, as one entry sees them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::admission::UpstreamKey;
use super::refusals::{ExcessRefusals, RefusalCounters};
use super::request_queue::{Priority, QueueKey, RequestQueue};
use super::reserve::{LoadCounters, PriorityLoad, Reserve};
use super::retry_limit::RetryWindow;
use super::share::SlotShare;

/// Weight of a new sample in the running average of the upstream time.
const UPSTREAM_TIME_SMOOTHING: f64 = 0.05;
/// Weight of a sample above the running average of the unloaded time. Samples below it have four
/// times this weight, so the average follows the lowest fifth of the samples and queueing at the
/// upstream doesn't hide how short requests are.
const RISE_SMOOTHING: f64 = UPSTREAM_TIME_SMOOTHING / 4.0;
/// Largest fraction of the slots that is reserved for more urgent requests: enough for the entries
/// that refuse them to see headroom.
const MAX_RESERVED_FRACTION: f64 = 1.0 / 3.0;
/// Excess refusals of more urgent requests, per second, up to which no slots are reserved for them.
const MIN_EXCESS_PER_SECOND: f64 = 0.5;
/// Largest age of a report, in report intervals: it waits for its turn and for the next refresh.
const REPORT_AGE_INTERVALS: f64 = 2.0;
/// Unloaded time, in seconds, below which requests end before reports of them arrive.
const SHORT_CALL_SECONDS: f64 = 0.15;

/// State of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceState {
    /// Waiting requests.
    pub(super) queue: RequestQueue,
    /// Requests and retries in the window of the retry budget.
    pub(super) retries: RetryWindow,
    /// Upstreams of the service.
    pub(super) members: Vec<UpstreamKey>,
    /// This entry's share of the slots; `None` before the first refresh.
    pub(super) share: Option<SlotShare>,
    /// Requests of this entry in flight.
    pub(super) running: u32,
    /// Running average of the upstream time, in seconds.
    pub(super) upstream_seconds: Option<f64>,
    /// Running average of the upstream time without queueing there, in seconds.
    unloaded_seconds: Option<f64>,
    /// Arrivals and refusals at this entry.
    pub(super) refusals: RefusalCounters,
    /// Refusals of all entries beyond the tolerated fraction.
    pub(super) excess_refusals: ExcessRefusals,
    /// Requests of this entry by priority.
    pub(super) loads: LoadCounters,
    /// True once an upstream stated its pace: where upstreams share their instances with others,
    /// slots are reserved by need, elsewhere only once urgent requests are refused.
    pub(super) states_pace: bool,
    /// Which less urgent requests may start.
    pub(super) reserve: Reserve,
    /// Slots of all upstreams.
    pub(super) slots: u32,
    /// Requests that all entries start at one upstream per second, on average.
    starts_per_second: f64,
}

impl ServiceState {
    /// Records the upstream time of a request.
    pub(super) fn record_upstream_time(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        let old = self.upstream_seconds.unwrap_or(sample);
        self.upstream_seconds = Some(old + (sample - old) * UPSTREAM_TIME_SMOOTHING);
        let old = self.unloaded_seconds.unwrap_or(sample);
        let smoothing = if sample > old { RISE_SMOOTHING } else { UPSTREAM_TIME_SMOOTHING };
        self.unloaded_seconds = Some(old + (sample - old) * smoothing);
    }

    /// Returns the expected wait of a request. By Little's law, slots become free at the rate of
    /// the running requests divided by the upstream time.
    pub(super) fn expected_wait(&self, queue_key: &QueueKey, now: Instant) -> Duration {
        let Some(seconds) =
            self.upstream_seconds.filter(|seconds| *seconds > 0.0 && self.running > 0)
        else {
            return Duration::ZERO;
        };
        let wait = self.queue.expected_wait(queue_key, f64::from(self.running) / seconds, now);
        if !self.has_short_calls() {
            return wait;
        }
        // Short calls also wait until a running one ends, and then in the queue of the upstream.
        let unloaded = self.unloaded_seconds.unwrap_or(seconds);
        let queued = Duration::from_secs_f64((seconds - unloaded).max(0.0));
        wait + Duration::from_secs_f64(seconds) / self.running + queued
    }

    /// Returns the load of each priority at this entry.
    pub(super) fn loads(&self, now: Instant) -> BTreeMap<Priority, PriorityLoad> {
        let mut loads: BTreeMap<Priority, PriorityLoad> = self.loads.by_priority(now).collect();
        for key in self.queue.iter() {
            loads.entry(key.priority).or_default().waiting += 1;
        }
        loads
    }

    /// Returns the fraction of the slots that is reserved because the fleet refuses requests more
    /// urgent than `priority`.
    pub(super) fn reserved_fraction(&self, priority: Priority) -> f64 {
        if self.has_short_calls() {
            let excess = self.excess_refusals.more_urgent_than(priority);
            let wanted = excess * self.upstream_seconds.unwrap_or(0.0);
            return (wanted / f64::from(self.slots.max(1))).min(MAX_RESERVED_FRACTION);
        }
        // A long request occupies its slot for longer than the requests that arrive meanwhile can
        // wait, so the largest fraction is reserved at once. For more urgent tiers, [`Reserve`]
        // limits what starts.
        let excess = if self.states_pace {
            self.excess_refusals.within_share_of(priority)
        } else {
            self.excess_refusals.more_urgent_than(priority)
        };
        if excess > MIN_EXCESS_PER_SECOND { MAX_RESERVED_FRACTION } else { 0.0 }
    }

    /// Returns true if the fleet refuses enough requests less urgent than `priority` to fill a
    /// slot.
    pub(super) fn has_precedence(&self, priority: Priority) -> bool {
        self.excess_refusals.less_urgent_than(priority) * self.upstream_seconds.unwrap_or(0.0)
            >= 1.0
    }

    /// Returns this entry's demand for slots. Waiting requests of teams beyond their shares don't
    /// count: they would take slots from entries that serve other teams.
    pub(super) fn demand(&self) -> f64 {
        let within = self.queue.iter().filter(|key| !key.priority.over_share).count();
        f64::from(self.running) + within as f64
    }

    /// Computes the starts from the requests of all entries in flight. By Little's law, they start
    /// at the rate of the running requests divided by the upstream time.
    pub(super) fn estimate_starts(&mut self, in_flight: u32) {
        let Some(seconds) = self.upstream_seconds.filter(|seconds| *seconds > 0.0) else { return };
        let per_upstream = f64::from(in_flight) / self.members.len().max(1) as f64;
        self.starts_per_second = per_upstream / seconds;
    }

    /// Returns the number of requests that an upstream may run besides those reported, if reports
    /// arrive at this interval.
    pub(super) fn unreported_starts(&self, report_interval: Duration) -> f64 {
        self.starts_per_second * report_interval.as_secs_f64() * REPORT_AGE_INTERVALS
    }

    /// Returns true if requests end before other entries' reports of them arrive.
    pub(super) fn has_short_calls(&self) -> bool {
        self.unloaded_seconds.is_some_and(|seconds| seconds < SHORT_CALL_SECONDS)
    }
}
