//! The rate of requests that an upstream takes while it is cold.
//!
//! An upstream is cold for some time after its start, and may become cold again at any moment. How
//! long is known from the list and from its answers. Both are late, so an upstream counts as cold
//! too where it may have started again unseen: after a lost connection, after its zone was drained.
//! The newest notice of any entry decides. A request that began before a loss and succeeds after it
//! proves that the upstream has not started again.
//!
//! The rate is divided as a stated limit is (`RateLimit`), but its
//! bound holds in any second, also for entries that don't hear each other. So its parts belong to a
//! few entries that all derive from the list of entries in the directory, reachable or not.

use std::time::{Duration, Instant};

use super::bounded_time::after;
use super::catalog::ColdStart;
use super::peer::NameHash;
use super::rate_limit::part::{RatePart, order_key};
use crate::UpstreamId;

/// Time after the last lost connection for which an upstream counts as cold: if it hasn't started
/// again by then, it is no longer listed.
const LOST_TIME: Duration = Duration::from_secs(5);
/// Time before a success up to which it proves that the upstream lived: the answer may have been on
/// its way for so long.
const MIN_PROOF_AGE: Duration = Duration::from_millis(100);
/// Time for which the end of a doubt is reported: longer than any report takes.
const END_REPORT_TIME: Duration = Duration::from_secs(2);

/// How far requests to a cold upstream may exceed its rate, in any second and over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate; at least 1.
    pub overage: f64,
    /// Requests besides.
    pub slack: f64,
}

impl ColdBound {
    /// No request beyond the rate.
    pub const STRICT: Self = Self { overage: 1.0, slack: 0.0 };

    /// Returns the number of entries that divide a rate. Each may start one request at once beside
    /// its part. Half of the bound stays for requests that arrive later than others, and for entries
    /// with an older list of entries.
    fn parts(self, rate: f64, entries: usize) -> usize {
        let spare = self.slack + (self.overage - 1.0) * rate;
        ((spare / 2.0) as usize).clamp(1, entries.max(1))
    }
}

/// For how long an upstream counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdNotice {
    /// Time at which it was found out.
    pub stated_at: Instant,
    /// End of that time; not after `stated_at` if the upstream is warm.
    pub until: Instant,
    /// Time of the last lost connection, unless a request has proved that the upstream lived through
    /// it.
    pub loss: Option<Instant>,
    /// True if a request that began after the loss has succeeded.
    pub is_back: bool,
}

impl ColdNotice {
    /// Returns the notice of a time without a lost connection.
    const fn new(stated_at: Instant, until: Instant) -> Self {
        Self { stated_at, until, loss: None, is_back: false }
    }

    const fn is_lost(&self) -> bool {
        self.loss.is_some() && !self.is_back
    }
}

/// Why an upstream counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// The list says so.
    Listed,
    /// An answer says so, or its zone was restored.
    Noticed,
    /// Its connections were lost, and none has succeeded since.
    Lost,
    /// It works again after a lost connection.
    Back,
}

impl ColdCause {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Noticed => "noticed",
            Self::Lost => "lost",
            Self::Back => "back",
        }
    }
}

/// An upstream that counts as cold from now on, or as warm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdChange {
    /// Upstream.
    pub id: UpstreamId,
    /// Why it counts as cold; `None` if it is warm.
    pub cause: Option<ColdCause>,
    /// Time for which it counts as cold, as far as is known.
    pub time_left: Duration,
}

/// What an entry knows of one upstream's being cold, and its part of the rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdState {
    /// What is declared; `None` if it takes any rate.
    spec: Option<ColdStart>,
    /// Time that the last record in the list gave.
    listed: Option<Duration>,
    /// End of the time that the list gives.
    listed_until: Option<Instant>,
    /// Newest notice of any entry, beside the list.
    newest: Option<ColdNotice>,
    /// End of the time that was known before the last lost connection.
    sure_until: Option<Instant>,
    /// True if `newest` was found out by this entry.
    is_own: bool,
    /// Newest time through which the upstream is known to have lived, by its beginning and end.
    lived: Option<(Instant, Instant)>,
    /// Entries before this one in the upstream's order of entries; `None` if unknown.
    position: Option<usize>,
    part: RatePart,
    /// True if it counted as cold at the last call of [`ColdState::divide`].
    was_cold: bool,
}

impl ColdState {
    /// Returns the state of an upstream about which nothing is known yet.
    pub(super) const fn new() -> Self {
        Self {
            spec: None,
            listed: None,
            listed_until: None,
            newest: None,
            sure_until: None,
            is_own: false,
            lived: None,
            position: None,
            part: RatePart::new(0.0),
            was_cold: false,
        }
    }

    /// Sets what is declared.
    pub(super) const fn set_spec(&mut self, spec: Option<ColdStart>) {
        self.spec = spec;
    }

    /// Sets this entry's position among all entries that the directory lists.
    pub(super) fn set_entries(&mut self, upstream: NameHash, own: NameHash, others: &[NameHash]) {
        let own = order_key(own, upstream);
        let before = others.iter().filter(|entry| order_key(**entry, upstream) < own);
        self.position = Some(before.count());
    }

    /// Records the time that its record in the list gives. The record may be read again unchanged,
    /// which says nothing new.
    pub(super) fn record_listed(&mut self, cold_for: Duration, now: Instant) {
        if self.listed.replace(cold_for) != Some(cold_for) {
            self.listed_until = Some(after(now, cold_for));
        }
    }

    /// Records the time that an answer to this entry gives.
    pub(super) fn record_answer(&mut self, cold_for: Duration, now: Instant) {
        if self.spec.is_some() && (self.is_cold(now) || !cold_for.is_zero()) {
            self.listed_until = None;
            self.sure_until = None;
            self.set_own(ColdNotice::new(now, after(now, cold_for)));
        }
    }

    /// Records that it may have become cold unseen.
    pub(super) fn record_doubt(&mut self, now: Instant) {
        if let Some(spec) = self.spec {
            self.set_own(ColdNotice::new(now, after(now, spec.time)));
        }
    }

    /// Records a connection that failed or was lost.
    pub(super) fn record_loss(&mut self, now: Instant) {
        if self.spec.is_some() {
            let loss = Some(now);
            let until = now + LOST_TIME;
            self.set_own(ColdNotice { stated_at: now, until, loss, is_back: false });
        }
    }

    /// Records a success of a request that began at `started`.
    pub(super) fn record_success(&mut self, started: Instant, now: Instant) {
        let Some(spec) = self.spec else { return };
        if let Some(proven) = now.checked_sub(MIN_PROOF_AGE).filter(|proven| started < *proven) {
            let joined = self.lived.filter(|(_, to)| started <= *to);
            let from = joined.map_or(started, |(from, _)| from.min(started));
            self.lived = Some((from, proven));
        }
        let Some(newest) = self.newest else { return };
        if self.is_disproved(&newest) {
            self.disprove(now);
        } else if newest.is_lost() && newest.loss.is_some_and(|loss| started > loss) {
            let until = after(now, spec.time);
            self.set_own(ColdNotice { stated_at: now, until, is_back: true, ..newest });
        }
    }

    /// Records what another entry found out.
    pub(super) fn record_peer(&mut self, notice: ColdNotice, now: Instant) {
        if self.newest.is_some_and(|newest| newest.stated_at >= notice.stated_at) {
            return;
        }
        if self.is_disproved(&notice) {
            // The others learn of it from this entry.
            self.disprove(now);
        } else {
            self.set(notice, false);
        }
    }

    /// Returns true if the upstream is known to have lived through the loss of a notice.
    fn is_disproved(&self, notice: &ColdNotice) -> bool {
        let lived = self.lived.zip(notice.loss);
        lived.is_some_and(|((from, to), loss)| (from..=to).contains(&loss))
    }

    /// Ends the time that a loss brought about.
    fn disprove(&mut self, now: Instant) {
        let until = self.sure_until.map_or(now, |until| until.max(now));
        self.set_own(ColdNotice::new(now, until));
    }

    fn set_own(&mut self, notice: ColdNotice) {
        self.set(notice, true);
    }

    fn set(&mut self, notice: ColdNotice, is_own: bool) {
        let before = self.newest.filter(|before| notice.is_lost() && !before.is_lost());
        self.sure_until = self.sure_until.max(before.map(|before| before.until));
        self.newest = Some(notice);
        self.is_own = is_own;
    }

    /// Returns the notice that other entries should learn from this one.
    pub(super) fn report(&self, now: Instant) -> Option<ColdNotice> {
        let is_recent = |notice: &ColdNotice| {
            now < notice.until || now.duration_since(notice.stated_at) < END_REPORT_TIME
        };
        self.newest.filter(|notice| self.spec.is_some() && self.is_own && is_recent(notice))
    }

    /// Returns the time for which the upstream counts as cold; zero if it is warm.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        let noticed = self.newest.map(|notice| notice.until);
        let until = noticed.max(self.sure_until).max(self.listed_until);
        let until = until.filter(|_| self.spec.is_some());
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns why the upstream counts as cold; `None` if it is warm.
    pub(super) fn cause(&self, now: Instant) -> Option<ColdCause> {
        let notice = self.newest.filter(|notice| now < notice.until);
        self.is_cold(now).then(|| match notice {
            Some(notice) if notice.is_back => ColdCause::Back,
            Some(notice) if notice.is_lost() => ColdCause::Lost,
            Some(_) => ColdCause::Noticed,
            None => ColdCause::Listed,
        })
    }

    /// Returns true if the upstream counts as cold.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        !self.time_left(now).is_zero()
    }

    /// Divides the rate among `entries` entries, this one among them, and fills this entry's part.
    /// Returns true if the upstream has become cold or warm since the last call.
    pub(super) fn divide(&mut self, entries: usize, bound: ColdBound, now: Instant) -> bool {
        let is_cold = self.is_cold(now);
        let changed = std::mem::replace(&mut self.was_cold, is_cold) != is_cold;
        let Some(spec) = self.spec.filter(|_| is_cold) else {
            self.part.clear();
            return changed;
        };
        let parts = bound.parts(spec.rate, entries);
        let has_part = self.position.is_some_and(|position| position < parts);
        self.part.refill(now);
        self.part.set_rate(if has_part { spec.rate / parts as f64 } else { 0.0 });
        changed
    }

    /// Returns the requests per second that this entry may start while the upstream is cold.
    pub(super) const fn rate(&self) -> f64 {
        self.part.rate()
    }

    /// Returns true if this entry may start a request.
    pub(super) fn allows(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.part.allows(now)
    }

    /// Counts a started request.
    pub(super) fn record_start(&mut self, now: Instant) {
        if self.is_cold(now) {
            self.part.record_start(now);
        }
    }
}
