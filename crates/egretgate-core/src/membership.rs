//! Which upstreams are live, leaving or suspected.
//!
//! The signs are heartbeats, a goodbye or a cut on the link, and the platform's instance list,
//! which lags. Whichever comes first takes an upstream out of the choice; only silence for long,
//! with no sign that its whole place was cut off, counts as its death.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{Incarnation, PlaceId, UpstreamId};

mod suspicion;

use suspicion::Suspicion;

/// Where an upstream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It takes work.
    Live,
    /// It is silent or its link is cut; it takes no work and may come back at once.
    Suspect,
    /// It leaves and takes no new work; what runs on it finishes.
    Leaving,
    /// It is behind a cut with its whole place; not counted as dead.
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
    /// Most upstreams of the place went silent together.
    PlaceCut(PlaceId),
    /// An upstream of the cut place was heard again.
    PlaceBack(PlaceId),
}

/// Bounds of a [`Membership`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipOptions {
    /// Expected time between heartbeats, used until it is measured.
    pub interval: Duration,
    /// Suspicion level from which an upstream takes no work.
    pub suspect: f64,
    /// Suspicion level from which it counts as dead; above `suspect`.
    pub dead: f64,
    /// Longest time between the silences of a cut place.
    pub window: Duration,
    /// Time over which an upstream's weight rises to 1 once it joins.
    pub ramp: Duration,
    /// Weight at the start of the ramp, in (0, 1].
    pub floor: f64,
    /// Time after which a dead upstream is forgotten.
    pub forget: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            suspect: 1.5,
            dead: 5.0,
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
    place: PlaceId,
    incarnation: Incarnation,
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
    /// True while the link is cut.
    cut: bool,
}

/// View of all upstreams.
#[derive(Debug, Clone)]
pub struct Membership {
    options: MembershipOptions,
    members: BTreeMap<UpstreamId, Member>,
    /// Places that count as cut, with the time at which they were found so.
    cuts: BTreeMap<PlaceId, Instant>,
}

impl Membership {
    /// Returns an empty view.
    pub fn new(options: MembershipOptions) -> Self {
        Self { options, members: BTreeMap::new(), cuts: BTreeMap::new() }
    }

    /// Notes a heartbeat or any other frame from an upstream's side process.
    pub fn heard(
        &mut self,
        upstream: &str,
        place: &str,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.cuts.remove(place).is_some() {
            changes.push(Change::PlaceBack(place.to_owned()));
        }
        let Some(member) = self.members.get_mut(upstream) else {
            let member = Member::new(place, incarnation, now, &self.options);
            self.members.insert(upstream.to_owned(), member);
            changes.push(Change::Joined(upstream.to_owned()));
            return changes;
        };
        if member.incarnation != incarnation {
            *member = Member::new(place, incarnation, now, &self.options);
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
    pub fn goodbye(&mut self, upstream: &str) -> Vec<Change> {
        let Some(member) = self.members.get_mut(upstream) else { return Vec::new() };
        member.goodbye = true;
        member.leave(upstream)
    }

    /// Notes that the link to an upstream was cut; no new work until it is heard again.
    pub fn cut(&mut self, upstream: &str) -> Vec<Change> {
        let Some(member) = self.members.get_mut(upstream) else { return Vec::new() };
        member.cut = true;
        if member.standing != Standing::Live {
            return Vec::new();
        }
        member.standing = Standing::Suspect;
        vec![Change::Suspected(upstream.to_owned())]
    }

    /// Notes what the instance list says about an upstream.
    ///
    /// The list lags, so that it can't bring back what said goodbye.
    pub fn listed(&mut self, upstream: &str, listing: Listing, now: Instant) -> Vec<Change> {
        let Some(member) = self.members.get_mut(upstream) else { return Vec::new() };
        member.listed_leaving = listing == Listing::Leaving;
        if member.listed_leaving {
            return member.leave(upstream);
        }
        if member.standing != Standing::Leaving || member.goodbye {
            return Vec::new();
        }
        member.standing = Standing::Live;
        member.joined = now;
        vec![Change::Joined(upstream.to_owned())]
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

    /// Returns the places that count as cut.
    pub fn cut_places(&self) -> impl Iterator<Item = &str> {
        self.cuts.keys().map(String::as_str)
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

    /// A place is cut if most of its upstreams that were in use, and at least two, went silent
    /// within the window.
    fn find_cuts(&mut self, now: Instant, changes: &mut Vec<Change>) {
        let mut places: BTreeMap<PlaceId, Silence> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.is_counted()) {
            places.entry(member.place.clone()).or_default().count(member);
        }
        for (place, silence) in places {
            if !silence.spans_most(self.options.window) {
                continue;
            }
            if !self.cuts.contains_key(&place) {
                self.cuts.insert(place.clone(), now);
                changes.push(Change::PlaceCut(place.clone()));
            }
            for member in self.members.values_mut().filter(|member| member.place == place) {
                if member.standing == Standing::Suspect {
                    member.standing = Standing::Unreachable;
                }
            }
        }
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
            member.standing != Standing::Gone || silent <= options.forget
        });
    }
}

impl Member {
    fn new(
        place: &str,
        incarnation: Incarnation,
        now: Instant,
        options: &MembershipOptions,
    ) -> Self {
        Self {
            place: place.to_owned(),
            incarnation,
            standing: Standing::Live,
            suspicion: Suspicion::new(options.interval, now),
            joined: now,
            heard: now,
            goodbye: false,
            listed_leaving: false,
            cut: false,
        }
    }

    fn hear(&mut self, now: Instant) {
        self.suspicion.heard(now);
        self.heard = now;
        self.cut = false;
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

    /// Returns true if the upstream counts when its place is weighed.
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

/// Silences of one place.
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

    /// Returns true if most of the place, and at least two, fell silent within `window`.
    fn spans_most(mut self, window: Duration) -> bool {
        let needed = (self.total / 2 + 1).max(2);
        self.heard.sort_unstable();
        self.heard.windows(needed).any(|span| span[needed - 1] - span[0] <= window)
    }
}
