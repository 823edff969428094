//! When refused callers are told to come back, and the place of those that do.
//!
//! Each refusal for lack of headroom names a time. All entries learn these times from the reports,
//! so that returns are spread over what callers wait for, and the entry to which a caller returns
//! knows that it comes as told. Nothing is asked of the caller: it sends the same request again.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::Digest;

/// Identifies a request that comes again: a part of its digest, which only those can compute who can
/// send it.
pub type ReturnId = u64;

/// Fraction of a caller's remaining time within which it comes back.
const RETURN_FRACTION: f64 = 1.0 / 3.0;
/// Range, in fractions of that time, in which returns are planned: bursts outlast the earlier part.
const PLAN_RANGE: (f64, f64) = (0.55, 0.95);
/// Length of the spans whose returns are compared.
const SPAN: Duration = Duration::from_millis(100);
/// Time before the planned one at which a caller counts as returned: clocks and messages differ.
const EARLY: Duration = Duration::from_millis(50);
/// Time after the planned one until which a caller counts as returned.
const LATE: Duration = Duration::from_secs(1);
/// Fraction of an entry's requests that may have a place before others because they come back as
/// told. Their answers are late; under a load far beyond the capacity, they would take all slots.
const MAX_PLACED_FRACTION: f64 = 0.1;
/// Requests that may have such a place at once.
const PLACED_BURST: f64 = 2.0;
/// Time for which a planned return is in the reports: longer than the interval of the rarest ones.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// Largest number of planned returns in a report.
const MAX_REPORTED: usize = 64;
/// Largest number of planned returns that an entry holds.
const MAX_HELD: usize = 16_384;
/// Step between the offsets of successive returns in their spans, which spreads any number evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The time at which the caller of a refused request was told to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedReturn {
    /// Request.
    pub id: ReturnId,
    /// Time until the return, from now.
    pub due_in: Duration,
}

/// A planned return.
#[derive(Debug, Clone, Copy)]
struct Due {
    at: Instant,
    /// True once the request has come, in time or not.
    is_spent: bool,
}

/// Whether a request was refused before, in the order in which such requests start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It comes back as told.
    Returned,
    /// It wasn't refused, as far as is known.
    #[default]
    New,
    /// It was refused and comes again before the time that it was told.
    Early,
}

impl Standing {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Returned => "returned",
            Self::New => "new",
            Self::Early => "early",
        }
    }
}

/// The planned returns of all entries, as one entry knows them.
#[derive(Debug)]
pub struct Returns {
    /// Returns by request; the newest refusal of a request decides.
    due: HashMap<ReturnId, Due>,
    /// Planned returns by span.
    spans: HashMap<u64, u32>,
    /// Own refusals that are still reported, with their times.
    own: VecDeque<(Instant, ReturnId)>,
    /// Start of the first span; `None` before the first return is planned.
    start: Option<Instant>,
    /// Returns planned by this entry.
    planned: u64,
    /// Places that may be given now; at most [`PLACED_BURST`].
    places: f64,
    /// Time of the last [`Returns::expire`].
    expired: Option<Instant>,
}

impl Default for Returns {
    fn default() -> Self {
        Self {
            due: HashMap::new(),
            spans: HashMap::new(),
            own: VecDeque::new(),
            start: None,
            planned: 0,
            places: PLACED_BURST,
            expired: None,
        }
    }
}

impl Returns {
    /// Plans the return of a caller that has `time_left` and returns the time until it: in a span
    /// with fewer returns, not before `room`, the time at which the queue will have room.
    pub fn plan(
        &mut self,
        digest: Option<Digest>,
        room: Duration,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        self.expire(now);
        let longest = time_left.mul_f64(RETURN_FRACTION);
        let last = longest.mul_f64(PLAN_RANGE.1);
        let first = longest.mul_f64(PLAN_RANGE.0).max(room).min(last);
        let spans = (last.saturating_sub(first).as_nanos() / SPAN.as_nanos()) as u32 + 1;
        // Entries with the same reports must not all choose the same span, so each compares two
        // that differ from request to request.
        let id = digest.map(|digest| return_id(&digest));
        self.planned += 1;
        let seed = id.unwrap_or(self.planned);
        let compared = [seed, seed >> 32].map(|seed| (seed % u64::from(spans)) as u32);
        let count = |span: &u32| {
            let index = self.span_of(now + first + SPAN * *span);
            index.and_then(|index| self.spans.get(&index)).copied().unwrap_or(0)
        };
        let chosen = compared.into_iter().min_by_key(count).unwrap_or(0);
        let phase = (self.planned as f64 * GOLDEN_RATIO).fract();
        let wait = (first + SPAN * chosen + SPAN.mul_f64(phase)).min(last);
        if let Some(id) = id {
            self.hold(id, now + wait, now);
            self.own.push_back((now, id));
        }
        wait
    }

    /// Returns the standing of a request that arrives. It has come back then: the same request is a new one
    /// afterwards, and one that came too early has lost its place.
    pub fn take(&mut self, digest: &Digest, now: Instant) -> Standing {
        self.places = (self.places + MAX_PLACED_FRACTION).min(PLACED_BURST);
        let Some(due) = self.due.get_mut(&return_id(digest)) else { return Standing::New };
        let is_first = !std::mem::replace(&mut due.is_spent, true);
        if now + EARLY < due.at {
            Standing::Early
        } else if is_first && now <= due.at + LATE && self.places >= 1.0 {
            self.places -= 1.0;
            Standing::Returned
        } else {
            Standing::New
        }
    }

    /// Records what another entry planned.
    pub fn merge(&mut self, planned: &[PlannedReturn], now: Instant) {
        for planned in planned.iter().take(MAX_REPORTED) {
            let due = now + planned.due_in;
            // The same return is in several reports.
            if self.due.get(&planned.id).is_none_or(|known| known.at + EARLY < due) {
                self.hold(planned.id, due, now);
            }
        }
    }

    /// Returns this entry's recent refusals for its report.
    pub fn report(&mut self, now: Instant) -> Vec<PlannedReturn> {
        while self.own.front().is_some_and(|(at, _)| now.duration_since(*at) > REPORT_TIME) {
            self.own.pop_front();
        }
        let newest = self.own.iter().rev().take(MAX_REPORTED);
        let newest = newest.filter_map(|(_, id)| {
            let due = self.due.get(id).filter(|due| !due.is_spent && due.at > now)?;
            Some(PlannedReturn { id: *id, due_in: due.at - now })
        });
        newest.collect()
    }

    /// Returns the number of callers that are expected back.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Returns true if no caller is expected back.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    fn hold(&mut self, id: ReturnId, at: Instant, now: Instant) {
        self.expire(now);
        if self.due.len() >= MAX_HELD {
            return;
        }
        self.start.get_or_insert(now);
        let old = self.due.insert(id, Due { at, is_spent: false });
        if let Some(span) = old.and_then(|old| self.span_of(old.at))
            && let Some(count) = self.spans.get_mut(&span)
        {
            *count = count.saturating_sub(1);
        }
        if let Some(span) = self.span_of(at) {
            *self.spans.entry(span).or_default() += 1;
        }
    }

    /// Forgets callers that haven't come back.
    fn expire(&mut self, now: Instant) {
        if self.expired.is_some_and(|last| now.duration_since(last) < SPAN) {
            return;
        }
        self.expired = Some(now);
        self.due.retain(|_, due| now <= due.at + LATE);
        if let Some(current) = self.span_of(now) {
            self.spans.retain(|span, _| *span >= current);
        }
    }

    fn span_of(&self, at: Instant) -> Option<u64> {
        let age = at.saturating_duration_since(self.start?);
        Some((age.as_nanos() / SPAN.as_nanos()) as u64)
    }
}

/// Returns what identifies the request with a digest.
pub fn return_id(digest: &Digest) -> ReturnId {
    digest.prefix()
}
