//! What waits for one service and runs there, as one entry sees it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::lane::{Lane, Place, Rank};
use super::order::UpstreamKey;
use super::repeat::Repeats;
use super::share::Share;

/// Factor by which a new sample moves the running average of the time at an upstream.
const HOLD_SMOOTHING: f64 = 0.05;
/// Time at an upstream below which reports of other entries are out of date, in seconds.
const BRIEF_SECONDS: f64 = 0.15;
/// Time for which a refusal keeps what is less urgent back everywhere: some reports long.
const PRESSURE: Duration = Duration::from_millis(250);

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
    /// When a request of each rank was last refused here for want of room.
    pub(super) refused: BTreeMap<Rank, Instant>,
    /// Most urgent rank that other entries refuse.
    pub(super) refused_elsewhere: Option<Rank>,
}

impl Backlog {
    /// Notes how long a request was at an upstream.
    pub(super) fn note_hold(&mut self, hold: Duration) {
        let sample = hold.as_secs_f64();
        let old = self.hold.unwrap_or(sample);
        self.hold = Some(old + (sample - old) * HOLD_SMOOTHING);
    }

    /// Returns the time that a request at `place` is likely to wait: by Little's law, places come
    /// free as often as what runs is over the time that each is held.
    pub(super) fn expected_wait(&self, place: &Place, now: Instant) -> Duration {
        let Some(hold) = self.hold.filter(|hold| *hold > 0.0 && self.running > 0) else {
            return Duration::ZERO;
        };
        self.lane.expected_wait(place, f64::from(self.running) / hold, now)
    }

    /// Returns the most urgent rank that this entry refuses.
    pub(super) fn refused(&self, now: Instant) -> Option<Rank> {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < PRESSURE;
        self.refused.iter().find(|(_, at)| recent(at)).map(|(rank, _)| *rank)
    }

    /// Returns true if requests more urgent than `rank` are refused here or elsewhere.
    pub(super) fn gives_way(&self, rank: Rank, now: Instant) -> bool {
        let refused = self.refused(now).into_iter().chain(self.refused_elsewhere).min();
        refused.is_some_and(|refused| refused < rank)
    }

    /// Returns true if requests end before other entries' reports of them arrive.
    pub(super) fn is_brief(&self) -> bool {
        self.hold.is_some_and(|hold| hold < BRIEF_SECONDS)
    }
}
