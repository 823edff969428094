//! What waits for one service and runs there, as one entry sees it.

use std::time::{Duration, Instant};

use super::request_queue::{Lane, Place, Rank};
use super::admission::UpstreamKey;
use super::retry_limit::Repeats;
use super::share::Share;
use super::refusals::{Excess, Strains};

/// Factor by which a new sample moves the running average of the time at an upstream.
const HOLD_SMOOTHING: f64 = 0.05;
/// The same for a sample above the time of undisturbed requests: that average follows the lowest
/// fifth, so that queueing at the upstream doesn't hide how short they are.
const RISE_SMOOTHING: f64 = HOLD_SMOOTHING / 4.0;
/// Part of the slots that is left free for more urgent requests at most: enough that the entries
/// which refuse them see room.
const MOST_LEFT: f64 = 1.0 / 3.0;
/// Refusals a second of more urgent requests that are too few to leave room for.
const FEW: f64 = 0.5;
/// Time at an upstream below which reports of other entries are out of date, in seconds.
const BRIEF_SECONDS: f64 = 0.15;

/// Requests of one service.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// What waits.
    pub(super) lane: Lane,
    /// Requests and repeats within the window of the budget.
    pub(super) repeats: Repeats,
    /// Upstreams of the service.
    pub(super) members: Vec<UpstreamKey>,
    /// Part of the slots that belongs to this entry; `None` before the first refresh.
    pub(super) share: Option<Share>,
    /// Requests of this entry at upstreams.
    pub(super) running: u32,
    /// Running average of the seconds that a request is at an upstream.
    pub(super) hold: Option<f64>,
    /// Running average of the seconds that an undisturbed request is there.
    undisturbed: Option<f64>,
    /// What came and what was refused here.
    pub(super) strains: Strains,
    /// What the whole fleet refuses beyond what is tolerated.
    pub(super) excess: Excess,
    /// Slots of all upstreams together.
    pub(super) slots: u32,
}

impl Backlog {
    /// Notes how long a request was at an upstream.
    pub(super) fn note_hold(&mut self, hold: Duration) {
        let sample = hold.as_secs_f64();
        let old = self.hold.unwrap_or(sample);
        self.hold = Some(old + (sample - old) * HOLD_SMOOTHING);
        let old = self.undisturbed.unwrap_or(sample);
        let smoothing = if sample > old { RISE_SMOOTHING } else { HOLD_SMOOTHING };
        self.undisturbed = Some(old + (sample - old) * smoothing);
    }

    /// Returns the time that a request at `place` is likely to wait: by Little's law, places come
    /// free as often as what runs is over the time that each is held.
    pub(super) fn expected_wait(&self, place: &Place, now: Instant) -> Duration {
        let Some(hold) = self.hold.filter(|hold| *hold > 0.0 && self.running > 0) else {
            return Duration::ZERO;
        };
        let wait = self.lane.expected_wait(place, f64::from(self.running) / hold, now);
        if !self.is_brief() {
            return wait;
        }
        // Short calls also wait for the one that runs, and then at the upstream.
        let undisturbed = self.undisturbed.unwrap_or(hold);
        let queued = Duration::from_secs_f64((hold - undisturbed).max(0.0));
        wait + Duration::from_secs_f64(hold) / self.running + queued
    }

    /// Returns the part of the slots that requests of `rank` leave to more urgent ones which the
    /// fleet refuses.
    pub(super) fn left_free(&self, rank: Rank) -> f64 {
        let excess = self.excess.above(rank);
        if self.is_brief() {
            let wanted = excess * self.hold.unwrap_or(0.0);
            return (wanted / f64::from(self.slots.max(1))).min(MOST_LEFT);
        }
        // A long request holds its slot for longer than those that come meanwhile can wait.
        if excess > FEW { MOST_LEFT } else { 0.0 }
    }

    /// Returns true if the fleet refuses enough that is less urgent than `rank` to fill a slot.
    pub(super) fn goes_ahead(&self, rank: Rank) -> bool {
        self.excess.below(rank) * self.hold.unwrap_or(0.0) >= 1.0
    }

    /// Returns true if requests end before other entries' reports of them arrive.
    pub(super) fn is_brief(&self) -> bool {
        self.undisturbed.is_some_and(|hold| hold < BRIEF_SECONDS)
    }
}
