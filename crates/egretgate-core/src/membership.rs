//! Which upstreams are live, leaving or suspected.
//!
//! The signs are heartbeats, a goodbye or a cut on the link, and the platform's instance list,
//! which lags. Whichever comes first takes an upstream out of the choice; only silence for long,
//! with no sign that its whole zone was cut off, counts as its death.
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

/// Budget of a side process for heartbeats to all entries, in bytes per second.
const HEARTBEAT_BYTES_PER_S: f64 = 2048.0;
/// Size of a heartbeat on the wire without measurements, in bytes.
const HEARTBEAT_BYTES: f64 = 64.0;
/// Shortest pause between two heartbeats to one entry.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the pause between heartbeats by which a side process stays within its budget with
/// `entries` receivers. Entries expect the same pause.
pub fn heartbeat_interval(entries: u32) -> Duration {
    let pause = f64::from(entries) * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_S;
    Duration::from_secs_f64(pause).max(MIN_HEARTBEAT_INTERVAL)
}

/// Where an upstream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It takes work.
    Live,
    /// It is silent or its link is cut; it takes no work and may come back at once.
    Suspect,
    /// It leaves and takes no new work; what runs on it finishes.
    Leaving,
    /// It is behind a cut with its whole zone; not counted as dead.
    Unreachable,
    /// It is dead.
    Dead,
}

/// What the instance list says about an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// It is listed as live.
    Live,
    /// It is listed as leaving.
    Leaving,
}

/// A change that others must hear of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// The upstream takes work again, or for the first time.
    Joined(UpstreamId),
    /// The upstream is silent.
    Suspected(UpstreamId),
    /// The upstream leaves.
    Left(UpstreamId),
    /// The upstream died.
    Died(UpstreamId),
    /// Most upstreams of the zone went silent together.
    ZoneUnreachable(ZoneId),
    /// An upstream of the cut zone was heard again.
    ZoneReachable(ZoneId),
}

/// Bounds of a [`Membership`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipOptions {
    /// Expected time between heartbeats, used until it is measured.
    pub heartbeat_interval: Duration,
    /// Suspicion level from which an upstream takes no work.
    pub suspect_level: f64,
    /// Suspicion level from which it counts as dead. Over four times `suspect_level`, so that a whole
    /// zone is suspected before any of its upstreams counts as dead.
    pub dead_level: f64,
    /// Longest time between the silences of a cut zone.
    pub zone_window: Duration,
    /// Time over which an upstream's weight rises to 1 once it joins.
    pub ramp_time: Duration,
    /// Weight at the start of the ramp, in (0, 1].
    pub ramp_floor: f64,
    /// Time after which a dead or unreachable upstream is forgotten.
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

/// One upstream.
#[derive(Debug, Clone)]
struct Member {
    zone: ZoneId,
    incarnation: Incarnation,
    /// Life before this one, whose late frames count for nothing.
    previous_incarnation: Option<Incarnation>,
    state: MemberState,
    detector: FailureDetector,
    /// Time at which it last joined; the ramp starts here.
    joined_at: Instant,
    /// Time at which it was last heard.
    last_heard: Instant,
    /// True once this incarnation said goodbye, which nothing takes back.
    said_goodbye: bool,
    /// True while the instance list says that it leaves.
    listed_leaving: bool,
}

/// View of all upstreams.
#[derive(Debug, Clone)]
pub struct Membership {
    options: MembershipOptions,
    members: BTreeMap<UpstreamId, Member>,
    /// Zones that count as cut.
    unreachable_zones: BTreeSet<ZoneId>,
}

impl Membership {
    /// Returns an empty view.
    pub fn new(options: MembershipOptions) -> Self {
        Self { options, members: BTreeMap::new(), unreachable_zones: BTreeSet::new() }
    }

    /// Sets the expected time between heartbeats, as [`heartbeat_interval`] gives it.
    pub fn set_interval(&mut self, interval: Duration) {
        self.options.heartbeat_interval = interval;
        for member in self.members.values_mut() {
            member.detector.set_expected(interval);
        }
    }

    /// Notes a heartbeat or any other frame from an upstream's side process.
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
            let former = Some(member.incarnation);
            *member = Member {
                previous_incarnation: former,
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

    /// Notes that an upstream leaves, by its own word; no new work from here on.
    pub fn record_goodbye(
        &mut self,
        upstream: &str,
        incarnation: Incarnation,
    ) -> Vec<MembershipChange> {
        let Some(member) = self.current_member(upstream, incarnation) else { return Vec::new() };
        member.said_goodbye = true;
        member.mark_leaving(upstream)
    }

    /// Notes that the link to an upstream was cut; no new work until it is heard again.
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

    /// Notes what the instance list says about an upstream.
    ///
    /// The list lags, so that it can't bring back what said goodbye, and whatever else it brings
    /// back takes work only once it is heard.
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

    /// Weighs the silences up to `now`; to be called a few times within a heartbeat's interval.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        self.mark_suspects(now, &mut changes);
        self.update_zones(now, &mut changes);
        self.remove_dead(now, &mut changes);
        changes
    }

    /// Returns where an upstream stands; `None` if it was never heard, or long ago.
    pub fn state(&self, upstream: &str) -> Option<MemberState> {
        self.members.get(upstream).map(|member| member.state)
    }

    /// Returns the share of its usual new work that an upstream may get; 0 if none.
    pub fn weight(&self, upstream: &str, now: Instant) -> f64 {
        self.members.get(upstream).map_or(0.0, |member| member.weight(&self.options, now))
    }

    /// Returns the upstreams that may get new work, with their weights in (0, 1].
    pub fn eligible(&self, now: Instant) -> impl Iterator<Item = (&str, f64)> {
        self.members
            .iter()
            .map(move |(name, member)| (name.as_str(), member.weight(&self.options, now)))
            .filter(|&(_, weight)| weight > 0.0)
    }

    /// Returns the zones that count as cut.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &str> {
        self.unreachable_zones.iter().map(String::as_str)
    }

    /// Returns an upstream if `incarnation` is its present life.
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

    /// A zone is cut while most of its upstreams that were in use, and at least two, are silent
    /// since times that lie within the window.
    fn update_zones(&mut self, now: Instant, changes: &mut Vec<MembershipChange>) {
        let mut zones: BTreeMap<ZoneId, ZoneSilence> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.is_counted()) {
            zones.entry(member.zone.clone()).or_default().count(member);
        }
        let window = self.options.zone_window;
        let cuts: BTreeSet<ZoneId> = zones
            .into_iter()
            .filter_map(|(zone, silence)| silence.exceeds_window(window).then_some(zone))
            .collect();
        for zone in cuts.difference(&self.unreachable_zones) {
            changes.push(MembershipChange::ZoneUnreachable(zone.clone()));
        }
        for zone in self.unreachable_zones.difference(&cuts) {
            changes.push(MembershipChange::ZoneReachable(zone.clone()));
        }
        for member in self.members.values_mut() {
            member.apply_zone_state(cuts.contains(&member.zone), now);
        }
        self.unreachable_zones = cuts;
    }

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
            let silent = now.saturating_duration_since(member.last_heard);
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
            last_heard: now,
            said_goodbye: false,
            listed_leaving: false,
        }
    }

    fn record_heartbeat(&mut self, now: Instant) {
        self.detector.record_heartbeat(now);
        self.last_heard = now;
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

    /// Follows what was found about the zone. Once it is back, silence counts from `now`.
    fn apply_zone_state(&mut self, cut: bool, now: Instant) {
        match self.state {
            MemberState::Suspect if cut => self.state = MemberState::Unreachable,
            MemberState::Unreachable if !cut => {
                self.state = MemberState::Suspect;
                self.detector.restart(now);
            }
            _ => {}
        }
    }

    /// Returns true if the upstream counts when its zone is weighed.
    const fn is_counted(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Suspect | MemberState::Unreachable)
    }

    fn weight(&self, options: &MembershipOptions, now: Instant) -> f64 {
        if self.state != MemberState::Live {
            return 0.0;
        }
        let passed = now.saturating_duration_since(self.joined_at).as_secs_f64();
        let risen = passed / options.ramp_time.as_secs_f64().max(f64::MIN_POSITIVE);
        (options.ramp_floor + (1.0 - options.ramp_floor) * risen).clamp(0.0, 1.0)
    }
}

/// Silences of one zone.
#[derive(Debug, Default)]
struct ZoneSilence {
    /// Upstreams in use before.
    total: usize,
    /// Times at which the silent ones were last heard.
    last_heard: Vec<Instant>,
}

impl ZoneSilence {
    fn count(&mut self, member: &Member) {
        self.total += 1;
        if member.state != MemberState::Live {
            self.last_heard.push(member.last_heard);
        }
    }

    /// Returns true if most of the zone, and at least two, fell silent within `window`.
    fn exceeds_window(mut self, window: Duration) -> bool {
        let needed = (self.total / 2 + 1).max(2);
        self.last_heard.sort_unstable();
        self.last_heard.windows(needed).any(|span| span[needed - 1] - span[0] <= window)
    }
}
