//! The rate of requests that an upstream states to take from all entries together.
//!
//! Reports among entries are too late to count single requests against a limit of a few per second.
//! So a limit is divided beforehand: each upstream's limit belongs in equal parts to a few entries,
//! which all entries derive from the names of those they reach. The others send nothing there and
//! learn from the reports of these few when the limit changes.

use std::time::{Duration, Instant};

use part::RatePart;

pub(super) mod part;

/// Entries that divide a limit among them, for each request per second of the limit. Each may start
/// one request at once, so more of them would exceed the limit together.
const ENTRIES_PER_RATE: f64 = 1.0;
/// Entries that divide a limit among them, besides those for its rate.
const MIN_ENTRIES: usize = 3;
/// Requests beyond the first that an entry without demand saves up, in seconds of its part.
const SAVED_SECONDS: f64 = 0.25;
/// Least rate at which a limited upstream gets requests, per second: only its answers tell when the
/// limit ends.
const PROBE_RATE: f64 = 0.25;
/// Time for which the end of a limit is reported: longer than any report takes.
const END_REPORT_TIME: Duration = Duration::from_secs(10);

/// What an answer of an upstream states about its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// Requests per second from all entries together; `None` if there is no limit.
    pub limit: Option<f64>,
    /// Time of the answer.
    pub stated_at: Instant,
}

/// The limit of one upstream and this entry's part of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    /// Newest notice of any entry; `None` if the upstream never stated a limit.
    newest: Option<LimitNotice>,
    /// True if `newest` was stated to this entry.
    is_own: bool,
    /// This entry's part.
    part: RatePart,
}

impl RateLimit {
    /// Returns the state of an upstream that never stated a limit.
    pub(super) const fn new() -> Self {
        Self { newest: None, is_own: false, part: RatePart::new(SAVED_SECONDS) }
    }

    /// Returns the limit in force.
    pub(super) fn limit(&self) -> Option<f64> {
        self.newest.and_then(|notice| notice.limit)
    }

    /// Records what an answer to this entry states; returns true if that is new.
    pub(super) fn record_own(&mut self, limit: Option<f64>, now: Instant) -> bool {
        let is_new = self.limit() != limit;
        // Answers without a limit matter only once: as the end of one.
        if is_new || limit.is_some() {
            self.set(LimitNotice { limit, stated_at: now }, true);
        }
        is_new
    }

    /// Records what another entry was told.
    pub(super) fn record_peer(&mut self, notice: LimitNotice) {
        if self.newest.is_none_or(|newest| newest.stated_at < notice.stated_at) {
            self.set(notice, false);
        }
    }

    fn set(&mut self, notice: LimitNotice, is_own: bool) {
        self.newest = Some(notice);
        self.is_own = is_own;
        if notice.limit.is_none() {
            self.part.clear();
        }
    }

    /// Returns the notice that other entries should learn from this one.
    pub(super) fn report(&self, now: Instant) -> Option<LimitNotice> {
        let is_recent = |notice: &LimitNotice| {
            notice.limit.is_some() || now.duration_since(notice.stated_at) < END_REPORT_TIME
        };
        self.newest.filter(|notice| self.is_own && is_recent(notice))
    }

    /// Divides the limit: `position` is the number of reachable entries before this one in the
    /// upstream's order of entries, `reachable` the number of all reachable entries with this one,
    /// and `reachable_fraction` their fraction of all entries: the others may send unseen.
    pub(super) fn divide(&mut self, position: usize, reachable: usize, reachable_fraction: f64) {
        let Some(limit) = self.limit() else { return };
        let limit = limit.max(PROBE_RATE);
        let parts = (limit * ENTRIES_PER_RATE).min(reachable as f64) as usize;
        let parts = (parts + MIN_ENTRIES).min(reachable);
        let has_part = position < parts;
        self.part.set_rate(if has_part { limit * reachable_fraction / parts as f64 } else { 0.0 });
    }

    /// Returns true if this entry may start a request.
    pub(super) fn allows(&self, now: Instant) -> bool {
        self.limit().is_none() || self.part.allows(now)
    }

    /// Counts a started request.
    pub(super) fn record_start(&mut self, now: Instant) {
        if self.limit().is_some() {
            self.part.record_start(now);
        }
    }

    /// Fills this entry's part up to `now`.
    pub(super) fn refill(&mut self, now: Instant) {
        self.part.refill(now);
    }
}
