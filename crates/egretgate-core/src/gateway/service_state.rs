//! What waits for one service and runs there, as one entry sees it.

use std::time::{Duration, Instant};

use super::admission::UpstreamKey;
use super::refusals::{ExcessRefusals, RefusalCounters};
use super::request_queue::{Priority, QueueKey, RequestQueue};
use super::retry_limit::RetryWindow;
use super::share::SlotShare;

/// Factor by which a new sample moves the running average of the time at an upstream.
const UPSTREAM_TIME_SMOOTHING: f64 = 0.05;
/// The same for a sample above the time of undisturbed requests: that average follows the lowest
/// fifth, so that queueing at the upstream doesn't hide how short they are.
const RISE_SMOOTHING: f64 = UPSTREAM_TIME_SMOOTHING / 4.0;
/// Part of the slots that is left free for more urgent requests at most: enough that the entries
/// which refuse them see room.
const MAX_RESERVED_FRACTION: f64 = 1.0 / 3.0;
/// Refusals a second of more urgent requests that are too few to leave room for.
const MIN_EXCESS_PER_SECOND: f64 = 0.5;
/// Time at an upstream below which reports of other entries are out of date, in seconds.
const SHORT_CALL_SECONDS: f64 = 0.15;

/// Requests of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceState {
    /// What waits.
    pub(super) queue: RequestQueue,
    /// Requests and repeats within the window of the budget.
    pub(super) retries: RetryWindow,
    /// Upstreams of the service.
    pub(super) members: Vec<UpstreamKey>,
    /// Part of the slots that belongs to this entry; `None` before the first refresh.
    pub(super) share: Option<SlotShare>,
    /// Requests of this entry at upstreams.
    pub(super) running: u32,
    /// Running average of the seconds that a request is at an upstream.
    pub(super) upstream_seconds: Option<f64>,
    /// Running average of the seconds that an undisturbed request is there.
    unloaded_seconds: Option<f64>,
    /// What came and what was refused here.
    pub(super) refusals: RefusalCounters,
    /// What the whole fleet refuses beyond what is tolerated.
    pub(super) excess_refusals: ExcessRefusals,
    /// Slots of all upstreams together.
    pub(super) slots: u32,
}

impl ServiceState {
    /// Notes how long a request was at an upstream.
    pub(super) fn record_upstream_time(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        let old = self.upstream_seconds.unwrap_or(sample);
        self.upstream_seconds = Some(old + (sample - old) * UPSTREAM_TIME_SMOOTHING);
        let old = self.unloaded_seconds.unwrap_or(sample);
        let smoothing = if sample > old { RISE_SMOOTHING } else { UPSTREAM_TIME_SMOOTHING };
        self.unloaded_seconds = Some(old + (sample - old) * smoothing);
    }

    /// Returns the time that a request at `place` is likely to wait: by Little's law, places come
    /// free as often as what runs is over the time that each is held.
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
        // Short calls also wait for the one that runs, and then at the upstream.
        let unloaded = self.unloaded_seconds.unwrap_or(seconds);
        let queued = Duration::from_secs_f64((seconds - unloaded).max(0.0));
        wait + Duration::from_secs_f64(seconds) / self.running + queued
    }

    /// Returns the part of the slots that requests of `rank` leave to more urgent ones which the
    /// fleet refuses.
    pub(super) fn reserved_fraction(&self, priority: Priority) -> f64 {
        let excess = self.excess_refusals.more_urgent_than(priority);
        if self.has_short_calls() {
            let wanted = excess * self.upstream_seconds.unwrap_or(0.0);
            return (wanted / f64::from(self.slots.max(1))).min(MAX_RESERVED_FRACTION);
        }
        // A long request holds its slot for longer than those that come meanwhile can wait.
        if excess > MIN_EXCESS_PER_SECOND { MAX_RESERVED_FRACTION } else { 0.0 }
    }

    /// Returns true if the fleet refuses enough that is less urgent than `rank` to fill a slot.
    pub(super) fn has_precedence(&self, priority: Priority) -> bool {
        self.excess_refusals.less_urgent_than(priority) * self.upstream_seconds.unwrap_or(0.0)
            >= 1.0
    }

    /// Returns true if requests end before other entries' reports of them arrive.
    pub(super) fn has_short_calls(&self) -> bool {
        self.unloaded_seconds.is_some_and(|seconds| seconds < SHORT_CALL_SECONDS)
    }
}
