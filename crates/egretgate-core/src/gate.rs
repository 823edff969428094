//! Per-tier admission gates at an entry, driven by the queue states that side processes publish.
//!
//! Each side process publishes the lowest tier in its queue and the tier from which it refuses
//! requests (the admission level of DAGOR, `SoCC` '18). From these an entry decides whether a
//! request may be offered to any upstream, may be offered only to the upstreams that may still
//! accept it, or must be refused.
//!
//! When the gate refuses a request, one of three conditions holds for every upstream that could
//! have run it. Either the upstream itself refused it and has published no free capacity since. Or,
//! for tiers that do not probe, the last signal received from it neither admits the tier nor shows
//! a lower tier in its queue. Or that signal is older than this entry's last refusal of a higher
//! tier, which found no capacity there either. A request of a lower tier can therefore be queued
//! there only if it was admitted after that signal or refusal was sent. Such an inversion lasts as
//! long as a signal takes to arrive. If signals are lost it lasts at most [`Gate::SIGNAL_TTL`]:
//! then the last signals expire and the upstreams are probed.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use slotmap::SecondaryMap;

use crate::choice::UpstreamKey;
use crate::ids::{MAX_TIERS, Tier};

/// Queue state that a side process publishes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signal {
    /// Lowest tier in the queue.
    pub lowest_tier: Option<Tier>,
    /// Tier from which new requests are refused; `None` if none are.
    pub shed_tier: Option<Tier>,
}

/// An upstream that refused or displaced the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The upstream.
    pub key: UpstreamKey,
    /// When its refusal arrived. The load report that came with it is recorded with the same time.
    pub at: Instant,
}

/// Decision on a request at an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateDecision {
    /// The request may be offered to any upstream.
    Offer,
    /// Only these upstreams may still accept it, the most likely first. Never empty.
    Probe(Vec<UpstreamKey>),
    /// No upstream may accept it: refuse it now, with a retry-after time.
    Refuse {
        /// Retry-after time, drawn with jitter.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct ReceivedSignal {
    signal: Signal,
    /// When it arrived. Strictly later than every earlier signal and refusal, even if the clock
    /// returns the same time.
    received_at: Instant,
}

/// Likelihood that an upstream accepts a request; lower values are more likely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Likelihood {
    /// Its last signal admits the tier.
    Admits,
    /// A lower tier is queued there and would be displaced; the lower that tier, the more likely.
    Displaces(std::cmp::Reverse<Tier>),
    /// It has no signal, or an expired one.
    Unknown,
    /// Its last signal refuses the tier, but requests of this tier probe all upstreams.
    Full,
}

/// The gates of one service at one entry.
#[derive(Debug, Clone)]
pub struct Gate {
    /// Requests of tiers numbered below this, the more urgent ones, are offered to every upstream
    /// before they are refused.
    probe_below: Tier,
    signals: SecondaryMap<UpstreamKey, ReceivedSignal>,
    /// Number of upstreams whose last signal admits each tier.
    admitting: [u32; MAX_TIERS],
    /// Time at which this entry last refused each tier.
    last_refused: [Option<Instant>; MAX_TIERS],
    /// Time of the last signal or refusal; never decreases.
    last_event: Option<Instant>,
    /// Age at which a signal expires; at least [`Gate::SIGNAL_TTL`].
    signal_ttl: Duration,
}

impl Signal {
    /// Returns true if the side process admits `tier` without displacing anything.
    pub fn admits(self, tier: Tier) -> bool {
        self.shed_tier.is_none_or(|shed| tier < shed)
    }

    /// Returns true if a lower tier is queued that `tier` would displace.
    pub fn displaces(self, tier: Tier) -> bool {
        self.lowest_tier.is_some_and(|lowest| lowest > tier)
    }
}

impl Gate {
    /// Age at which a signal expires, at the default heartbeat interval.
    pub const SIGNAL_TTL: Duration = Duration::from_secs(2);
    /// Minimum retry-after time of a refused request of tier 0; each lower tier adds as much again.
    pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

    /// Returns the gates of a service; requests of tiers numbered below `probe_below` probe every
    /// upstream.
    pub fn new(probe_below: Tier) -> Self {
        Self {
            probe_below,
            signals: SecondaryMap::new(),
            admitting: [0; MAX_TIERS],
            last_refused: [None; MAX_TIERS],
            signal_ttl: Self::SIGNAL_TTL,
            last_event: None,
        }
    }

    /// Sets the expected interval between signals; a signal expires after two intervals, but not
    /// before [`Gate::SIGNAL_TTL`].
    pub fn set_interval(&mut self, interval: Duration) {
        self.signal_ttl = Self::SIGNAL_TTL.max(interval * 2);
    }

    /// Records the signal of a side process.
    pub fn record_signal(&mut self, key: UpstreamKey, signal: Signal, now: Instant) {
        let received_at = self.event_time(now);
        let old = self.signals.insert(key, ReceivedSignal { signal, received_at });
        self.update_admitting(old.map(|received| received.signal), Some(signal));
    }

    /// Removes an upstream that left.
    pub fn remove(&mut self, key: UpstreamKey) {
        let old = self.signals.remove(key);
        self.update_admitting(old.map(|received| received.signal), None);
    }

    /// Decides on a request of `tier` that the upstreams in `tried` refused.
    ///
    /// `candidates` are the upstreams that could run it. They are read only if the request was
    /// already refused somewhere, a higher tier was refused recently, or no upstream admits the
    /// tier.
    pub fn decide<R: Rng + ?Sized>(
        &mut self,
        tier: Tier,
        tried: &[Attempt],
        candidates: impl IntoIterator<Item = UpstreamKey>,
        now: Instant,
        rng: &mut R,
    ) -> GateDecision {
        let closed_since = self.closed_since(tier, now);
        let open = self.admitting[tier_index(tier)] > 0 || self.signals.is_empty();
        if tried.is_empty() && closed_since.is_none() && open {
            return GateDecision::Offer;
        }
        let mut remaining: Vec<(Likelihood, UpstreamKey)> = candidates
            .into_iter()
            .filter_map(|key| Some((self.likelihood(key, tier, tried, closed_since, now)?, key)))
            .collect();
        if remaining.is_empty() {
            self.last_refused[tier_index(tier)] = Some(self.event_time(now));
            return GateDecision::Refuse { retry_after: draw_retry_after(tier, rng) };
        }
        remaining.sort_by_key(|&(likelihood, _)| likelihood);
        GateDecision::Probe(remaining.into_iter().map(|(_, key)| key).collect())
    }

    /// Returns the time of this entry's last refusal of a higher tier, if it is not expired. It
    /// closes the gate of `tier` until later signals show free capacity.
    fn closed_since(&self, tier: Tier, now: Instant) -> Option<Instant> {
        let refused = self.last_refused[..tier_index(tier)].iter().flatten().copied();
        refused.filter(|&at| now.saturating_duration_since(at) <= self.signal_ttl).max()
    }

    /// Returns how likely `key` is to accept the request, or `None` if it must not be tried.
    fn likelihood(
        &self,
        key: UpstreamKey,
        tier: Tier,
        tried: &[Attempt],
        closed_since: Option<Instant>,
        now: Instant,
    ) -> Option<Likelihood> {
        let received = self.signals.get(key);
        let refused =
            tried.iter().filter(|attempt| attempt.key == key).map(|attempt| attempt.at).max();
        // Signals older than these refusals don't count: the capacity that they show was not
        // available to this request or to a higher tier.
        let since = refused.max(closed_since);
        let Some(received) = received.filter(|received| {
            now.saturating_duration_since(received.received_at) <= self.signal_ttl
        }) else {
            return since.is_none().then_some(Likelihood::Unknown);
        };
        let newer = since.is_none_or(|since| received.received_at > since);
        if newer && received.signal.admits(tier) {
            return Some(Likelihood::Admits);
        }
        if newer && received.signal.displaces(tier) {
            return Some(Likelihood::Displaces(std::cmp::Reverse(received.signal.lowest_tier?)));
        }
        let probes = tier < self.probe_below && refused.is_none() && closed_since.is_none();
        probes.then_some(Likelihood::Full)
    }

    /// Returns the time of a new signal or refusal: `now`, or just after the last one if that is
    /// later.
    fn event_time(&mut self, now: Instant) -> Instant {
        let after = self.last_event.map(|last| last + Duration::from_nanos(1));
        let at = after.map_or(now, |after| after.max(now));
        self.last_event = Some(at);
        at
    }

    fn update_admitting(&mut self, old: Option<Signal>, new: Option<Signal>) {
        for (tier, count) in self.admitting.iter_mut().enumerate() {
            let admits = |signal: Option<Signal>| signal.is_some_and(|s| s.admits(tier as Tier));
            *count += u32::from(admits(new));
            *count -= u32::from(admits(old));
        }
    }
}

/// Returns the array index of a tier.
fn tier_index(tier: Tier) -> usize {
    usize::from(tier).min(MAX_TIERS - 1)
}

/// Returns a retry-after time, drawn with jitter and longer for lower tiers.
fn draw_retry_after<R: Rng + ?Sized>(tier: Tier, rng: &mut R) -> Duration {
    let base = Gate::MIN_RETRY_AFTER * (u32::from(tier) + 1);
    base.mul_f64(1.0 + rng.random::<f64>())
}
