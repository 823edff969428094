//! Membership of upstreams: live, suspected, leaving, unreachable or dead.
//!
//! State is derived from heartbeats, a goodbye or a disconnect of the link, and the platform's
//! instance list, which lags. Whichever of them first shows that an upstream is silent or leaving
//! makes it ineligible. Only a long silence counts as its death, and only if its zone is not
//! unreachable as a whole.
//!
//! ```
//! use std::time::Instant;
//!
//! use egretgate_core::membership::{Membership, MembershipOptions};
//!
//! let now = Instant::now();
//! let mut members = Membership::new(MembershipOptions::default());
//! members.record_heartbeat("forecast-7", "olinda", 1, now);
//! assert!(members.weight("forecast-7", now) > 0.0);
//! members.record_goodbye("forecast-7", 1);
//! members.record_heartbeat("forecast-7", "olinda", 1, now);
//! assert_eq!(members.eligible(now).count(), 0);
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{Incarnation, UpstreamId, ZoneId};

mod failure_detector;

use failure_detector::FailureDetector;

/// Bandwidth that a side process uses at most for heartbeats to all entries, in bytes per second.
const HEARTBEAT_BYTES_PER_S: f64 = 2048.0;
/// Size of a heartbeat on the wire without measurements, in bytes.
const HEARTBEAT_BYTES: f64 = 64.0;
/// Minimum interval of heartbeats to one entry.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the heartbeat interval at which a side process stays within its bandwidth with `entries`
/// receivers. Entries expect the same interval.
pub fn heartbeat_interval(entries: u32) -> Duration {
    let interval = f64::from(entries) * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_S;
    Duration::from_secs_f64(interval).max(MIN_HEARTBEAT_INTERVAL)
}

/// State of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It receives requests.
    Live,
    /// It is silent or its link is disconnected. It receives no requests until its next heartbeat
    /// makes it live again.
    Suspect,
    /// It is shutting down and receives no new requests; running ones finish.
    Leaving,
    /// It is silent together with most of its zone; it does not count as dead.
    Unreachable,
    /// It was silent for so long that it counts as dead.
    Dead,
}

/// State of an upstream in the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// It is listed as live.
    Live,
    /// It is listed as leaving.
    Leaving,
}

/// A change of state that callers must act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// The upstream receives requests for the first time, or again.
    Joined(UpstreamId),
    /// The upstream is silent or disconnected.
    Suspected(UpstreamId),
    /// The upstream is leaving.
    Left(UpstreamId),
    /// The upstream died.
    Died(UpstreamId),
    /// Most upstreams of the zone became silent together.
    ZoneUnreachable(ZoneId),
    /// The zone is no longer unreachable.
    ZoneReachable(ZoneId),
}

/// Bounds of a [`Membership`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipOptions {
    /// Expected heartbeat interval, used until it is measured.
    pub heartbeat_interval: Duration,
    /// Suspicion level from which an upstream receives no requests.
    pub suspect_level: f64,
    /// Suspicion level from which it counts as dead. More than four times `suspect_level`, so that
    /// all upstreams of an unreachable zone are suspected before any of them counts as dead.
    pub dead_level: f64,
    /// Time within which most upstreams of a zone must become silent for the zone to count as
    /// unreachable.
    pub zone_window: Duration,
    /// Time over which the weight of an upstream rises to 1 after it joins.
    pub ramp_time: Duration,
    /// Weight at the start of the ramp, in (0, 1].
    pub ramp_floor: f64,
    /// Time after which a dead or unreachable upstream is removed.
    pub forget_after: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            suspect_level: 1.5,
            dead_level: 7.0,
            zone_window: Duration::from_secs(5),
            ramp_time: Duration::from_secs(10),
            ramp_floor: 0.1,
            forget_after: Duration::from_mins(10),
        }
    }
}

/// State of one upstream.
#[derive(Debug, Clone)]
struct Member {
    zone: ZoneId,
    incarnation: Incarnation,
    /// Incarnation before this one, whose late frames are ignored.
    previous_incarnation: Option<Incarnation>,
    state: MemberState,
    detector: FailureDetector,
    /// Time at which it last joined; its weight rises from then on.
    joined_at: Instant,
    /// Time of its last frame.
    last_frame: Instant,
    /// True once this incarnation said goodbye, which can't be revoked.
    said_goodbye: bool,
    /// True while the instance list marks it as leaving.
    listed_leaving: bool,
}

/// Membership of all upstreams.
#[derive(Debug, Clone)]
pub struct Membership {
    options: MembershipOptions,
    members: BTreeMap<UpstreamId, Member>,
    /// Zones that are unreachable.
    unreachable_zones: BTreeSet<ZoneId>,
}

impl Membership {
    /// Returns a membership without upstreams.
    pub fn new(options: MembershipOptions) -> Self {
        Self { options, members: BTreeMap::new(), unreachable_zones: BTreeSet::new() }
    }

    /// Sets the expected heartbeat interval, as returned by [`heartbeat_interval`].
    pub fn set_interval(&mut self, interval: Duration) {
        self.options.heartbeat_interval = interval;
        for member in self.members.values_mut() {
            member.detector.set_expected(interval);
        }
    }

    /// Records a heartbeat or any other frame from an upstream's side process.
    pub fn record_heartbeat(
        &mut self,
        upstream: &str,
        zone: &str,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        let Some(member) = self.members.get_mut(upstream) else {
            let member = Member::new(zone, incarnation, now, &self.options);
            self.members.insert(upstream.to_owned(), member);
            changes.push(MembershipChange::Joined(upstream.to_owned()));
            return changes;
        };
        if member.previous_incarnation == Some(incarnation) {
            return changes;
        }
        if member.incarnation != incarnation {
            let previous_incarnation = Some(member.incarnation);
            *member = Member {
                previous_incarnation,
                ..Member::new(zone, incarnation, now, &self.options)
            };
            changes.push(MembershipChange::Joined(upstream.to_owned()));
            return changes;
        }
        member.record_heartbeat(now);
        if member.is_leaving() || member.state == MemberState::Live {
            return changes;
        }
        if member.state != MemberState::Suspect {
            member.joined_at = now;
        }
        member.state = MemberState::Live;
        changes.push(MembershipChange::Joined(upstream.to_owned()));
        changes
    }

    /// Records an upstream's announcement that it is leaving; it receives no new requests.
    pub fn record_goodbye(
        &mut self,
        upstream: &str,
        incarnation: Incarnation,
    ) -> Vec<MembershipChange> {
        let Some(member) = self.current_member(upstream, incarnation) else { return Vec::new() };
        member.said_goodbye = true;
        member.mark_leaving(upstream)
    }

    /// Records that the link to an upstream was disconnected; it receives no new requests until its
    /// next heartbeat.
    pub fn record_disconnect(
        &mut self,
        upstream: &str,
        incarnation: Incarnation,
    ) -> Vec<MembershipChange> {
        let Some(member) = self.current_member(upstream, incarnation) else { return Vec::new() };
        if member.state != MemberState::Live {
            return Vec::new();
        }
        member.state = MemberState::Suspect;
        vec![MembershipChange::Suspected(upstream.to_owned())]
    }

    /// Records the state of an upstream in the instance list.
    ///
    /// Because the list lags, it can't revoke a goodbye. An upstream that it lists as live again
    /// receives requests only after its next heartbeat.
    pub fn record_listing(
        &mut self,
        upstream: &str,
        listing: Listing,
        now: Instant,
    ) -> Vec<MembershipChange> {
        let Some(member) = self.members.get_mut(upstream) else { return Vec::new() };
        member.listed_leaving = listing == Listing::Leaving;
        if member.listed_leaving {
            return member.mark_leaving(upstream);
        }
        if member.state != MemberState::Leaving || member.said_goodbye {
            return Vec::new();
        }
        member.state = MemberState::Suspect;
        member.joined_at = now;
        Vec::new()
    }

    /// Evaluates how long each upstream has been silent. Call it several times per heartbeat
    /// interval.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        self.mark_suspects(now, &mut changes);
        self.update_zones(now, &mut changes);
        self.remove_dead(now, &mut changes);
        changes
    }

    /// Returns the state of an upstream; `None` if it is unknown or was removed.
    pub fn state(&self, upstream: &str) -> Option<MemberState> {
        self.members.get(upstream).map(|member| member.state)
    }

    /// Returns the fraction of its full load that an upstream may receive; 0 if it is not eligible.
    pub fn weight(&self, upstream: &str, now: Instant) -> f64 {
        self.members.get(upstream).map_or(0.0, |member| member.weight(&self.options, now))
    }

    /// Returns the eligible upstreams with their weights in (0, 1].
    pub fn eligible(&self, now: Instant) -> impl Iterator<Item = (&str, f64)> {
        self.members
            .iter()
            .map(move |(name, member)| (name.as_str(), member.weight(&self.options, now)))
            .filter(|&(_, weight)| weight > 0.0)
    }

    /// Returns the zones that are unreachable.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &str> {
        self.unreachable_zones.iter().map(String::as_str)
    }

    /// Returns an upstream if `incarnation` is its current incarnation.
    fn current_member(&mut self, upstream: &str, incarnation: Incarnation) -> Option<&mut Member> {
        self.members.get_mut(upstream).filter(|member| member.incarnation == incarnation)
    }

    fn mark_suspects(&mut self, now: Instant, changes: &mut Vec<MembershipChange>) {
        for (name, member) in &mut self.members {
            let silent = member.detector.suspicion(now) >= self.options.suspect_level;
            if silent && member.state == MemberState::Live {
                member.state = MemberState::Suspect;
                changes.push(MembershipChange::Suspected(name.clone()));
            }
        }
    }

    /// Updates which zones are unreachable.
    ///
    /// A zone is unreachable while most of its counted upstreams, and at least two, are silent and
    /// their last frames arrived within the window.
    fn update_zones(&mut self, now: Instant, changes: &mut Vec<MembershipChange>) {
        let mut zones: BTreeMap<ZoneId, ZoneSilence> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.is_counted()) {
            zones.entry(member.zone.clone()).or_default().count(member);
        }
        let window = self.options.zone_window;
        let unreachable: BTreeSet<ZoneId> = zones
            .into_iter()
            .filter_map(|(zone, silence)| silence.fell_silent_within(window).then_some(zone))
            .collect();
        for zone in unreachable.difference(&self.unreachable_zones) {
            changes.push(MembershipChange::ZoneUnreachable(zone.clone()));
        }
        for zone in self.unreachable_zones.difference(&unreachable) {
            changes.push(MembershipChange::ZoneReachable(zone.clone()));
        }
        for member in self.members.values_mut() {
            member.apply_zone_state(unreachable.contains(&member.zone), now);
        }
        self.unreachable_zones = unreachable;
    }

    /// Marks upstreams as dead after a long silence, and removes those whose last frame is older
    /// than `forget_after`.
    fn remove_dead(&mut self, now: Instant, changes: &mut Vec<MembershipChange>) {
        let options = self.options;
        for (name, member) in &mut self.members {
            let dead = member.detector.suspicion(now) >= options.dead_level;
            match member.state {
                MemberState::Suspect | MemberState::Live if dead => {
                    member.state = MemberState::Dead;
                    changes.push(MembershipChange::Died(name.clone()));
                }
                MemberState::Leaving if dead => member.state = MemberState::Dead,
                _ => {}
            }
        }
        self.members.retain(|_, member| {
            let silent = now.saturating_duration_since(member.last_frame);
            let lost = matches!(member.state, MemberState::Dead | MemberState::Unreachable);
            !lost || silent <= options.forget_after
        });
    }
}

impl Member {
    fn new(
        zone: &str,
        incarnation: Incarnation,
        now: Instant,
        options: &MembershipOptions,
    ) -> Self {
        Self {
            zone: zone.to_owned(),
            incarnation,
            previous_incarnation: None,
            state: MemberState::Live,
            detector: FailureDetector::new(options.heartbeat_interval, now),
            joined_at: now,
            last_frame: now,
            said_goodbye: false,
            listed_leaving: false,
        }
    }

    fn record_heartbeat(&mut self, now: Instant) {
        self.detector.record_heartbeat(now);
        self.last_frame = now;
    }

    const fn is_leaving(&self) -> bool {
        self.said_goodbye || self.listed_leaving
    }

    fn mark_leaving(&mut self, upstream: &str) -> Vec<MembershipChange> {
        if matches!(self.state, MemberState::Leaving | MemberState::Dead) {
            return Vec::new();
        }
        self.state = MemberState::Leaving;
        vec![MembershipChange::Left(upstream.to_owned())]
    }

    /// Applies the state of the zone. Once the zone is reachable again, silence counts from `now`.
    fn apply_zone_state(&mut self, zone_unreachable: bool, now: Instant) {
        match self.state {
            MemberState::Suspect if zone_unreachable => self.state = MemberState::Unreachable,
            MemberState::Unreachable if !zone_unreachable => {
                self.state = MemberState::Suspect;
                self.detector.restart(now);
            }
            _ => {}
        }
    }

    /// Returns true if the upstream counts in the evaluation of its zone.
    const fn is_counted(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Suspect | MemberState::Unreachable)
    }

    fn weight(&self, options: &MembershipOptions, now: Instant) -> f64 {
        if self.state != MemberState::Live {
            return 0.0;
        }
        let elapsed = now.saturating_duration_since(self.joined_at).as_secs_f64();
        let progress = elapsed / options.ramp_time.as_secs_f64().max(f64::MIN_POSITIVE);
        (options.ramp_floor + (1.0 - options.ramp_floor) * progress).clamp(0.0, 1.0)
    }
}

/// Silent upstreams of one zone.
#[derive(Debug, Default)]
struct ZoneSilence {
    /// Number of counted upstreams.
    total: usize,
    /// Times of the last frames of the silent ones.
    last_frames: Vec<Instant>,
}

impl ZoneSilence {
    fn count(&mut self, member: &Member) {
        self.total += 1;
        if member.state != MemberState::Live {
            self.last_frames.push(member.last_frame);
        }
    }

    /// Returns true if most of the zone, and at least two upstreams, became silent within `window`.
    fn fell_silent_within(mut self, window: Duration) -> bool {
        let needed = (self.total / 2 + 1).max(2);
        self.last_frames.sort_unstable();
        self.last_frames.windows(needed).any(|span| span[needed - 1] - span[0] <= window)
    }
}
