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
//! members.heard("forecast-7", "olinda", 1, now);
//! assert!(members.weight("forecast-7", now) > 0.0);
//! members.goodbye("forecast-7", 1);
//! members.heard("forecast-7", "olinda", 1, now);
//! assert_eq!(members.eligible(now).count(), 0);
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{Incarnation, UpstreamId, ZoneId};

mod failure_detector;

use failure_detector::Suspicion;

/// Budget of a side process for heartbeats to all entries, in bytes per second.
const HEARTBEAT_BUDGET: f64 = 2048.0;
/// Size of a heartbeat on the wire without measurements, in bytes.
const HEARTBEAT_BYTES: f64 = 64.0;
/// Shortest pause between two heartbeats to one entry.
const HEARTBEAT_MIN: Duration = Duration::from_millis(500);

/// Returns the pause between heartbeats by which a side process stays within its budget with
/// `entries` receivers. Entries expect the same pause.
pub fn heartbeat_pause(entries: u32) -> Duration {
    let pause = f64::from(entries) * HEARTBEAT_BYTES / HEARTBEAT_BUDGET;
    Duration::from_secs_f64(pause).max(HEARTBEAT_MIN)
}

/// Where an upstream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It takes work.
    Live,
    /// It is silent or its link is cut; it takes no work and may come back at once.
    Suspect,
    /// It leaves and takes no new work; what runs on it finishes.
    Leaving,
    /// It is behind a cut with its whole zone; not counted as dead.
    Unreachable,
    /// It is dead.
    Gone,
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
pub enum Change {
    /// The upstream takes work again, or for the first time.
    Joined(UpstreamId),
    /// The upstream is silent.
    Suspected(UpstreamId),
    /// The upstream leaves.
    Left(UpstreamId),
    /// The upstream died.
    Died(UpstreamId),
    /// Most upstreams of the zone went silent together.
    ZoneCut(ZoneId),
    /// An upstream of the cut zone was heard again.
    ZoneBack(ZoneId),
}

/// Bounds of a [`Membership`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipOptions {
    /// Expected time between heartbeats, used until it is measured.
    pub interval: Duration,
    /// Suspicion level from which an upstream takes no work.
    pub suspect: f64,
    /// Suspicion level from which it counts as dead. Over four times `suspect`, so that a whole
    /// zone is suspected before any of its upstreams counts as dead.
    pub dead: f64,
    /// Longest time between the silences of a cut zone.
    pub window: Duration,
    /// Time over which an upstream's weight rises to 1 once it joins.
    pub ramp: Duration,
    /// Weight at the start of the ramp, in (0, 1].
    pub floor: f64,
    /// Time after which a dead or unreachable upstream is forgotten.
    pub forget: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            suspect: 1.5,
            dead: 7.0,
            window: Duration::from_secs(5),
            ramp: Duration::from_secs(10),
            floor: 0.1,
            forget: Duration::from_mins(10),
        }
    }
}

/// One upstream.
#[derive(Debug, Clone)]
struct Member {
    zone: ZoneId,
    incarnation: Incarnation,
    /// Life before this one, whose late frames count for nothing.
    former: Option<Incarnation>,
    standing: Standing,
    suspicion: Suspicion,
    /// Time at which it last joined; the ramp starts here.
    joined: Instant,
    /// Time at which it was last heard.
    heard: Instant,
    /// True once this incarnation said goodbye, which nothing takes back.
    goodbye: bool,
    /// True while the instance list says that it leaves.
    listed_leaving: bool,
}

/// View of all upstreams.
#[derive(Debug, Clone)]
pub struct Membership {
    options: MembershipOptions,
    members: BTreeMap<UpstreamId, Member>,
    /// Zones that count as cut.
    cuts: BTreeSet<ZoneId>,
}

impl Membership {
    /// Returns an empty view.
    pub fn new(options: MembershipOptions) -> Self {
        Self { options, members: BTreeMap::new(), cuts: BTreeSet::new() }
    }

    /// Sets the expected time between heartbeats, as [`heartbeat_pause`] gives it.
    pub fn set_interval(&mut self, interval: Duration) {
        self.options.interval = interval;
        for member in self.members.values_mut() {
            member.suspicion.set_expected(interval);
        }
    }

    /// Notes a heartbeat or any other frame from an upstream's side process.
    pub fn heard(
        &mut self,
        upstream: &str,
        zone: &str,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let Some(member) = self.members.get_mut(upstream) else {
            let member = Member::new(zone, incarnation, now, &self.options);
            self.members.insert(upstream.to_owned(), member);
            changes.push(Change::Joined(upstream.to_owned()));
            return changes;
        };
        if member.former == Some(incarnation) {
            return changes;
        }
        if member.incarnation != incarnation {
            let former = Some(member.incarnation);
            *member = Member { former, ..Member::new(zone, incarnation, now, &self.options) };
            changes.push(Change::Joined(upstream.to_owned()));
            return changes;
        }
        member.hear(now);
        if member.leaves() || member.standing == Standing::Live {
            return changes;
        }
        if member.standing != Standing::Suspect {
            member.joined = now;
        }
        member.standing = Standing::Live;
        changes.push(Change::Joined(upstream.to_owned()));
        changes
    }

    /// Notes that an upstream leaves, by its own word; no new work from here on.
    pub fn goodbye(&mut self, upstream: &str, incarnation: Incarnation) -> Vec<Change> {
        let Some(member) = self.life(upstream, incarnation) else { return Vec::new() };
        member.goodbye = true;
        member.leave(upstream)
    }

    /// Notes that the link to an upstream was cut; no new work until it is heard again.
    pub fn cut(&mut self, upstream: &str, incarnation: Incarnation) -> Vec<Change> {
        let Some(member) = self.life(upstream, incarnation) else { return Vec::new() };
        if member.standing != Standing::Live {
            return Vec::new();
        }
        member.standing = Standing::Suspect;
        vec![Change::Suspected(upstream.to_owned())]
    }

    /// Notes what the instance list says about an upstream.
    ///
    /// The list lags, so that it can't bring back what said goodbye, and whatever else it brings
    /// back takes work only once it is heard.
    pub fn listed(&mut self, upstream: &str, listing: Listing, now: Instant) -> Vec<Change> {
        let Some(member) = self.members.get_mut(upstream) else { return Vec::new() };
        member.listed_leaving = listing == Listing::Leaving;
        if member.listed_leaving {
            return member.leave(upstream);
        }
        if member.standing != Standing::Leaving || member.goodbye {
            return Vec::new();
        }
        member.standing = Standing::Suspect;
        member.joined = now;
        Vec::new()
    }

    /// Weighs the silences up to `now`; to be called a few times within a heartbeat's interval.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        self.suspect_silent(now, &mut changes);
        self.find_cuts(now, &mut changes);
        self.bury(now, &mut changes);
        changes
    }

    /// Returns where an upstream stands; `None` if it was never heard, or long ago.
    pub fn standing(&self, upstream: &str) -> Option<Standing> {
        self.members.get(upstream).map(|member| member.standing)
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
    pub fn cut_zones(&self) -> impl Iterator<Item = &str> {
        self.cuts.iter().map(String::as_str)
    }

    /// Returns an upstream if `incarnation` is its present life.
    fn life(&mut self, upstream: &str, incarnation: Incarnation) -> Option<&mut Member> {
        self.members.get_mut(upstream).filter(|member| member.incarnation == incarnation)
    }

    fn suspect_silent(&mut self, now: Instant, changes: &mut Vec<Change>) {
        for (name, member) in &mut self.members {
            let silent = member.suspicion.level(now) >= self.options.suspect;
            if silent && member.standing == Standing::Live {
                member.standing = Standing::Suspect;
                changes.push(Change::Suspected(name.clone()));
            }
        }
    }

    /// A zone is cut while most of its upstreams that were in use, and at least two, are silent
    /// since times that lie within the window.
    fn find_cuts(&mut self, now: Instant, changes: &mut Vec<Change>) {
        let mut zones: BTreeMap<ZoneId, Silence> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.is_counted()) {
            zones.entry(member.zone.clone()).or_default().count(member);
        }
        let window = self.options.window;
        let cuts: BTreeSet<ZoneId> = zones
            .into_iter()
            .filter_map(|(zone, silence)| silence.spans_most(window).then_some(zone))
            .collect();
        for zone in cuts.difference(&self.cuts) {
            changes.push(Change::ZoneCut(zone.clone()));
        }
        for zone in self.cuts.difference(&cuts) {
            changes.push(Change::ZoneBack(zone.clone()));
        }
        for member in self.members.values_mut() {
            member.follow(cuts.contains(&member.zone), now);
        }
        self.cuts = cuts;
    }

    fn bury(&mut self, now: Instant, changes: &mut Vec<Change>) {
        let options = self.options;
        for (name, member) in &mut self.members {
            let dead = member.suspicion.level(now) >= options.dead;
            match member.standing {
                Standing::Suspect | Standing::Live if dead => {
                    member.standing = Standing::Gone;
                    changes.push(Change::Died(name.clone()));
                }
                Standing::Leaving if dead => member.standing = Standing::Gone,
                _ => {}
            }
        }
        self.members.retain(|_, member| {
            let silent = now.saturating_duration_since(member.heard);
            let lost = matches!(member.standing, Standing::Gone | Standing::Unreachable);
            !lost || silent <= options.forget
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
            former: None,
            standing: Standing::Live,
            suspicion: Suspicion::new(options.interval, now),
            joined: now,
            heard: now,
            goodbye: false,
            listed_leaving: false,
        }
    }

    fn hear(&mut self, now: Instant) {
        self.suspicion.heard(now);
        self.heard = now;
    }

    const fn leaves(&self) -> bool {
        self.goodbye || self.listed_leaving
    }

    fn leave(&mut self, upstream: &str) -> Vec<Change> {
        if matches!(self.standing, Standing::Leaving | Standing::Gone) {
            return Vec::new();
        }
        self.standing = Standing::Leaving;
        vec![Change::Left(upstream.to_owned())]
    }

    /// Follows what was found about the zone. Once it is back, silence counts from `now`.
    fn follow(&mut self, cut: bool, now: Instant) {
        match self.standing {
            Standing::Suspect if cut => self.standing = Standing::Unreachable,
            Standing::Unreachable if !cut => {
                self.standing = Standing::Suspect;
                self.suspicion.restart(now);
            }
            _ => {}
        }
    }

    /// Returns true if the upstream counts when its zone is weighed.
    const fn is_counted(&self) -> bool {
        matches!(self.standing, Standing::Live | Standing::Suspect | Standing::Unreachable)
    }

    fn weight(&self, options: &MembershipOptions, now: Instant) -> f64 {
        if self.standing != Standing::Live {
            return 0.0;
        }
        let passed = now.saturating_duration_since(self.joined).as_secs_f64();
        let risen = passed / options.ramp.as_secs_f64().max(f64::MIN_POSITIVE);
        (options.floor + (1.0 - options.floor) * risen).clamp(0.0, 1.0)
    }
}

/// Silences of one zone.
#[derive(Debug, Default)]
struct Silence {
    /// Upstreams in use before.
    total: usize,
    /// Times at which the silent ones were last heard.
    heard: Vec<Instant>,
}

impl Silence {
    fn count(&mut self, member: &Member) {
        self.total += 1;
        if member.standing != Standing::Live {
            self.heard.push(member.heard);
        }
    }

    /// Returns true if most of the zone, and at least two, fell silent within `window`.
    fn spans_most(mut self, window: Duration) -> bool {
        let needed = (self.total / 2 + 1).max(2);
        self.heard.sort_unstable();
        self.heard.windows(needed).any(|span| span[needed - 1] - span[0] <= window)
    }
}
