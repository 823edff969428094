//! Per-tier gates at an entry, raised and lowered from what side processes publish.
//!
//! Each side process publishes the lowest tier that waits in its queue and the tier from which it
//! refuses (the admission level of DAGOR, `SoCC` '18). From these an entry decides whether a tier
//! may be offered at once, where it may still be tried, or that it must be refused.
//!
//! At the moment of a refusal, one of three things holds for every upstream that could have run
//! the request. The upstream itself refused it and sent no sign of room since. Or, for tiers that
//! do not probe, the last signal that arrived from it says that it neither admits the tier nor
//! holds a lower one. Or that signal is older than a refusal of a higher tier here, which found no
//! room there either. A lower tier may therefore wait there only if it was admitted after that
//! signal or refusal was sent: the error lasts as long as a signal travels, and at most
//! [`Gate::SIGNAL_TTL`] if signals are lost, since after that they count as unknown and are probed.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use slotmap::SecondaryMap;

use crate::choice::UpstreamKey;
use crate::ids::{MAX_TIERS, Tier};

/// What a side process publishes about its queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signal {
    /// Lowest tier held in the queue.
    pub lowest_tier: Option<Tier>,
    /// Tier from which new requests are refused.
    pub shed_tier: Option<Tier>,
}

/// An upstream that refused or displaced the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The upstream.
    pub key: UpstreamKey,
    /// When its refusal arrived; the load that it carried is heard with the same time.
    pub at: Instant,
}

/// What an entry may do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateDecision {
    /// Any upstream may be offered the request.
    Offer,
    /// Only these may still take it, most likely first. Never empty.
    Probe(Vec<UpstreamKey>),
    /// None may take it: answer now, with a time to come back.
    Refuse {
        /// Time after which another try is welcome, spread over callers.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct ReceivedSignal {
    signal: Signal,
    /// When it arrived. Later than every earlier signal and refusal, also within one reading of
    /// the clock.
    received_at: Instant,
}

/// How likely an upstream is to take a request; the lesser is the likelier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Likelihood {
    /// Its last signal says that it admits the tier.
    Admits,
    /// It holds a lower tier that it would displace, the lowest first.
    Displaces(std::cmp::Reverse<Tier>),
    /// Nothing fresh is known.
    Unknown,
    /// It refuses, as far as is known, but the tier probes all.
    Full,
}

/// The gates of one service at one entry.
#[derive(Debug, Clone)]
pub struct Gate {
    /// Tiers of a lower rank than this ask every upstream before they are refused.
    probe_below: Tier,
    signals: SecondaryMap<UpstreamKey, ReceivedSignal>,
    /// Upstreams whose last signal admits each tier.
    admitting: [u32; MAX_TIERS],
    /// When this entry last refused each tier.
    last_refused: [Option<Instant>; MAX_TIERS],
    /// Time of the last event. Never goes back.
    last_event: Option<Instant>,
    /// Age at which a signal counts as unknown; at least [`Gate::SIGNAL_TTL`].
    signal_ttl: Duration,
}

impl Signal {
    /// Returns true if the side process admits `tier` without displacing anything.
    pub fn admits(self, tier: Tier) -> bool {
        self.shed_tier.is_none_or(|shed| tier < shed)
    }

    /// Returns true if a lower tier waits that `tier` would displace.
    pub fn displaces(self, tier: Tier) -> bool {
        self.lowest_tier.is_some_and(|lowest| lowest > tier)
    }
}

impl Gate {
    /// Age at which a signal counts as unknown, while heartbeats come at their usual pace.
    pub const SIGNAL_TTL: Duration = Duration::from_secs(2);
    /// Shortest time to come back that a refusal of rank 0 names.
    pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

    /// Returns the gates of a service; tiers below rank `probing` ask every upstream.
    pub fn new(probing: Tier) -> Self {
        Self {
            probe_below: probing,
            signals: SecondaryMap::new(),
            admitting: [0; MAX_TIERS],
            last_refused: [None; MAX_TIERS],
            signal_ttl: Self::SIGNAL_TTL,
            last_event: None,
        }
    }

    /// Sets the expected time between signals, twice which a signal counts for.
    pub fn set_interval(&mut self, interval: Duration) {
        self.signal_ttl = Self::SIGNAL_TTL.max(interval * 2);
    }

    /// Takes in what a side process published.
    pub fn record_signal(&mut self, key: UpstreamKey, signal: Signal, now: Instant) {
        let at = self.event_time(now);
        let old = self.signals.insert(key, ReceivedSignal { signal, received_at: at });
        self.update_admitting(old.map(|heard| heard.signal), Some(signal));
    }

    /// Forgets an upstream that left.
    pub fn remove(&mut self, key: UpstreamKey) {
        let old = self.signals.remove(key);
        self.update_admitting(old.map(|heard| heard.signal), None);
    }

    /// Decides on a request of `tier` that the upstreams in `tried` refused.
    ///
    /// `candidates` are the upstreams that could run it; they are looked at only once the request
    /// was refused somewhere, or while a higher tier is being refused or no upstream admits it.
    pub fn decide<R: Rng + ?Sized>(
        &mut self,
        tier: Tier,
        tried: &[Attempt],
        candidates: impl IntoIterator<Item = UpstreamKey>,
        now: Instant,
        rng: &mut R,
    ) -> GateDecision {
        let closed = self.closed_since(tier, now);
        let heard = self.admitting[tier_index(tier)] > 0 || self.signals.is_empty();
        if tried.is_empty() && closed.is_none() && heard {
            return GateDecision::Offer;
        }
        let mut left: Vec<(Likelihood, UpstreamKey)> = candidates
            .into_iter()
            .filter_map(|key| Some((self.likelihood(key, tier, tried, closed, now)?, key)))
            .collect();
        if left.is_empty() {
            self.last_refused[tier_index(tier)] = Some(self.event_time(now));
            return GateDecision::Refuse { retry_after: draw_retry_after(tier, rng) };
        }
        left.sort_by_key(|&(chance, _)| chance);
        GateDecision::Probe(left.into_iter().map(|(_, key)| key).collect())
    }

    /// Returns the last refusal of a higher tier here, which closes the gate of `tier` until
    /// signals show room, or for [`Gate::SIGNAL_TTL`] if none come.
    fn closed_since(&self, tier: Tier, now: Instant) -> Option<Instant> {
        let refused = self.last_refused[..tier_index(tier)].iter().flatten().copied();
        refused.filter(|&at| now.saturating_duration_since(at) <= self.signal_ttl).max()
    }

    /// Returns how likely `key` is to take the request, or `None` if it must not be asked.
    fn likelihood(
        &self,
        key: UpstreamKey,
        tier: Tier,
        tried: &[Attempt],
        closed: Option<Instant>,
        now: Instant,
    ) -> Option<Likelihood> {
        let heard = self.signals.get(key);
        let refused = tried.iter().filter(|attempt| attempt.key == key).map(|a| a.at).max();
        // Only a signal from after these events shows room that nobody was denied.
        let since = refused.max(closed);
        let Some(heard) = heard
            .filter(|heard| now.saturating_duration_since(heard.received_at) <= self.signal_ttl)
        else {
            return since.is_none().then_some(Likelihood::Unknown);
        };
        let newer = since.is_none_or(|since| heard.received_at > since);
        if newer && heard.signal.admits(tier) {
            return Some(Likelihood::Admits);
        }
        if newer && heard.signal.displaces(tier) {
            return Some(Likelihood::Displaces(std::cmp::Reverse(heard.signal.lowest_tier?)));
        }
        let probes = tier < self.probe_below && refused.is_none() && closed.is_none();
        probes.then_some(Likelihood::Full)
    }

    /// Returns the time of a new event: `now`, or just after the last event if that is later.
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

/// Returns the index of a tier.
fn tier_index(tier: Tier) -> usize {
    usize::from(tier).min(MAX_TIERS - 1)
}

/// Returns a time to come back, spread over callers and longer for lower tiers.
fn draw_retry_after<R: Rng + ?Sized>(tier: Tier, rng: &mut R) -> Duration {
    let base = Gate::MIN_RETRY_AFTER * (u32::from(tier) + 1);
    base.mul_f64(1.0 + rng.random::<f64>())
}
