//! The task that owns what the entry knows of upstreams: links, membership, choice and gates.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::choice::{self, Policy, Report, Upstream, UpstreamKey};
use egretgate_core::gate::{Attempt, Gate, Signal, Verdict};
use egretgate_core::membership::{Change, Listing, Membership, MembershipOptions};
use egretgate_core::moves::{Outcome, Split};
use egretgate_core::retry::{RetryBudget, come_back};
use egretgate_core::{
    Digest, Error, ErrorKind, Incarnation, PlaceId, Result, RouteId, ServiceId, TeamId, Ticket,
    Tier, UpstreamId, VersionId,
};
use egretgate_link::message::{Deaths, Heartbeat, Load, Records, Welcome};
use egretgate_platform::{Instance, InstanceState};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info, warn};
use slotmap::SlotMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use crate::entry::evidence::SampleBook;
use crate::entry::journal::JournalMessage;
use crate::entry::link::{Identity, LINK_DEPTH, Link, LinkMessage};
pub(crate) use crate::entry::traffic::RouteSplit;
use crate::entry::traffic::Traffic;

/// Depth of the fleet's message channel.
pub(crate) const FLEET_DEPTH: usize = 8192;
/// Pause between two rounds of upkeep.
const TICK: Duration = Duration::from_millis(100);
/// Tiers of a lower rank than this ask every upstream before they are refused.
const PROBING: Tier = 1;
/// Retries allowed for each request.
const RETRY_SHARE: f64 = 0.2;
/// Retries allowed per second besides.
const RETRY_RESERVE: f64 = 50.0;
/// Most retries saved up.
const RETRY_CAP: f64 = 1000.0;
/// Pause between two reports of evidence to the journal.
const EVIDENCE_PAUSE: Duration = Duration::from_secs(1);
/// Base of the time to come back while no upstream serves.
const NO_UPSTREAM_AFTER: Duration = Duration::from_millis(500);

slotmap::new_key_type! {
    /// Key of a link.
    pub(crate) struct LinkKey;
}

/// What the fleet is told.
#[derive(Debug)]
pub(crate) enum FleetMessage {
    /// A link stands.
    Up { key: LinkKey, welcome: Welcome },
    /// A link is cut.
    Down(LinkKey),
    /// A side process said goodbye.
    Leaving(LinkKey),
    /// A side process told its load.
    Load { key: LinkKey, load: Load },
    /// A side process asks for configuration records.
    RecordsAsk { key: LinkKey, from: u64 },
    /// Configuration records for a side process.
    Records { key: LinkKey, records: Records },
    /// A side process reports deaths of its engines.
    Deaths { key: LinkKey, deaths: Deaths },
    /// A side process sent its configuration state.
    Snapshot(Bytes),
    /// The instance list was read: the upstreams, and the number of entries.
    Listed { upstreams: Vec<Instance>, entries: u32 },
    /// How the traffic of moving routes is split.
    Splits(Vec<RouteSplit>),
    /// The entry's configuration has a new offset.
    Offset(Heartbeat),
    /// Ask every side process for its configuration state.
    AskSnapshots,
    /// Choose an upstream.
    Choose { wish: Wish, reply: oneshot::Sender<Result<Chosen>> },
    /// The first token of a request arrived.
    First { key: UpstreamKey, flight: choice::Flight, reply: oneshot::Sender<choice::Flight> },
    /// A request has ended, however it ended.
    Ended { key: UpstreamKey, flight: choice::Flight, tokens: u32 },
    /// A request of a moving route has ended for good.
    Tried { route: RouteId, version: VersionId, outcome: Outcome },
    /// A team's request has entered; refused if the team is at its limit.
    Enter { team: TeamId, limit: u32, reply: oneshot::Sender<bool> },
    /// A team's request has left.
    Leave(TeamId),
    /// Tell the state of every side process.
    Status(oneshot::Sender<Vec<SideStatus>>),
}

/// A request for which an upstream is wanted.
#[derive(Debug, Clone)]
pub(crate) struct Wish {
    /// Name of the request.
    pub ticket: Ticket,
    /// Route that it takes.
    pub route: RouteId,
    /// Service that must run it.
    pub service: ServiceId,
    /// Version that must run it; on the first try the one in force, which a move may replace.
    pub version: VersionId,
    /// Rank of its tier.
    pub tier: Tier,
    /// Estimated prompt length, in tokens.
    pub prompt: u32,
    /// Estimated answer length, in tokens.
    pub output: u32,
    /// Digest of a suspect, which every entry sends to the same upstream: there it runs alone.
    pub suspect: Option<Digest>,
    /// Hash of the prompt's start.
    pub prefix: u64,
    /// Upstreams that refused it, latest last.
    pub tried: Vec<Attempt>,
    /// The last refusal; `None` on the first try.
    pub refusal: Option<Error>,
}

/// An upstream to offer the request to.
#[derive(Debug)]
pub(crate) struct Chosen {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Version that is to run the request.
    pub version: VersionId,
    /// Link to its side process.
    pub link: mpsc::Sender<LinkMessage>,
    /// What must be given back at the end.
    pub flight: choice::Flight,
}

/// What one side process last told of its configuration.
#[derive(Debug, Clone)]
pub(crate) struct SideStatus {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Offset after the last configuration record folded.
    pub offset: u64,
    /// Chain digest there.
    pub digest: Bytes,
    /// True while the link stands.
    pub connected: bool,
    /// Place of the upstream.
    pub place: PlaceId,
    /// Time since it last told its load.
    pub age: Duration,
}

#[derive(Debug)]
struct Side {
    name: UpstreamId,
    address: SocketAddr,
    messages: mpsc::Sender<LinkMessage>,
    /// Set by the first greeting.
    known: Option<Known>,
    connected: bool,
    offset: u64,
    digest: Bytes,
    /// When it last told its load, or was listed first.
    heard: Instant,
}

#[derive(Debug, Clone)]
struct Known {
    key: UpstreamKey,
    incarnation: Incarnation,
    place: PlaceId,
    service: ServiceId,
}

/// State of the fleet task.
#[derive(Debug)]
pub(crate) struct Fleet {
    identity: Identity,
    place: PlaceId,
    sides: SlotMap<LinkKey, Side>,
    by_upstream: HashMap<UpstreamKey, LinkKey>,
    choice: choice::Fleet,
    gates: HashMap<ServiceId, Gate>,
    membership: Membership,
    budget: RetryBudget,
    teams: HashMap<TeamId, u32>,
    samples: SampleBook,
    traffic: Traffic,
    /// Entries that share the caps of moves; at least 1.
    entries: u32,
    /// When evidence was last sent to the journal.
    reported: Instant,
    beat: Heartbeat,
    rng: ChaCha8Rng,
    log: Logger,
    own: mpsc::Sender<FleetMessage>,
    journal: mpsc::Sender<JournalMessage>,
}

impl Fleet {
    /// Returns a fleet without upstreams.
    pub(crate) fn new(
        identity: Identity,
        policy: Policy,
        rng: ChaCha8Rng,
        log: Logger,
        own: mpsc::Sender<FleetMessage>,
        journal: mpsc::Sender<JournalMessage>,
    ) -> Self {
        let now = Instant::now();
        Self {
            place: identity.place.clone(),
            identity,
            sides: SlotMap::with_key(),
            by_upstream: HashMap::new(),
            choice: choice::Fleet::new(policy),
            gates: HashMap::new(),
            membership: Membership::new(MembershipOptions::default()),
            budget: RetryBudget::new(RETRY_SHARE, RETRY_RESERVE, RETRY_CAP, now),
            teams: HashMap::new(),
            samples: SampleBook::default(),
            traffic: Traffic::default(),
            entries: 1,
            reported: now,
            beat: Heartbeat::default(),
            rng,
            log,
            own,
            journal,
        }
    }

    /// Handles messages until every sender is gone.
    pub(crate) async fn run(mut self, mut messages: mpsc::Receiver<FleetMessage>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => return,
                },
                _ = tick.tick() => self.tick(),
            }
        }
    }

    async fn handle(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::Up { key, welcome } => self.up(key, welcome),
            FleetMessage::Down(key) => self.down(key),
            FleetMessage::Leaving(key) => self.leaving(key),
            FleetMessage::Load { key, load } => self.load(key, &load),
            FleetMessage::RecordsAsk { key, from } => {
                self.tell_journal(JournalMessage::RecordsAsk { key, from }).await;
            }
            FleetMessage::Records { key, records } => {
                self.tell_side(key, LinkMessage::Records(records));
            }
            FleetMessage::Deaths { key, deaths } => self.deaths(key, deaths).await,
            FleetMessage::Snapshot(state) => {
                self.tell_journal(JournalMessage::PeerState(state)).await;
            }
            FleetMessage::Listed { upstreams, entries } => {
                self.entries = entries;
                self.listed(&upstreams);
            }
            FleetMessage::Splits(splits) => self.set_splits(splits),
            FleetMessage::Offset(beat) => self.beat(beat),
            FleetMessage::AskSnapshots => self.broadcast(|| LinkMessage::Snapshot),
            FleetMessage::Choose { mut wish, reply } => {
                self.split(&mut wish);
                let _ = reply.send(self.choose(&wish));
            }
            FleetMessage::First { key, mut flight, reply } => {
                self.choice.first(key, &mut flight, Instant::now());
                let _ = reply.send(flight);
            }
            FleetMessage::Ended { key, flight, tokens } => {
                self.choice.end(key, flight, tokens, Instant::now());
            }
            FleetMessage::Tried { route, version, outcome } => {
                if let Some(stop) = self.traffic.ended(&route, &version, outcome) {
                    warn!(self.log, "version stopped here";
                        "route" => route, "version" => version, "reason" => stop.as_str());
                }
            }
            FleetMessage::Enter { team, limit, reply } => {
                let _ = reply.send(self.enter(team, limit));
            }
            FleetMessage::Leave(team) => self.leave(&team),
            FleetMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn up(&mut self, key: LinkKey, welcome: Welcome) {
        let Some(side) = self.sides.get_mut(key) else { return };
        side.connected = true;
        let upstream = Upstream {
            id: side.name.clone(),
            place: welcome.place.clone(),
            service: welcome.service.clone(),
            versions: welcome.versions.clone(),
        };
        let upstream_key = match &side.known {
            Some(known) if known.service == welcome.service => {
                self.choice.set_versions(known.key, upstream.versions);
                known.key
            }
            _ => self.choice.insert(upstream),
        };
        side.known = Some(Known {
            key: upstream_key,
            incarnation: welcome.incarnation,
            place: welcome.place,
            service: welcome.service,
        });
        let _ = side.messages.try_send(LinkMessage::Heartbeat(self.beat.clone()));
        self.by_upstream.insert(upstream_key, key);
        self.load(key, &welcome.load.unwrap_or_default());
    }

    fn down(&mut self, key: LinkKey) {
        let Some(side) = self.sides.get_mut(key) else { return };
        side.connected = false;
        let Some(known) = side.known.clone() else { return };
        let name = side.name.clone();
        let changes = self.membership.cut(&name, known.incarnation);
        self.note_changes(&changes);
        self.weigh(&name, known.key);
    }

    fn leaving(&mut self, key: LinkKey) {
        let Some(side) = self.sides.get(key) else { return };
        let Some(known) = side.known.clone() else { return };
        let name = side.name.clone();
        let changes = self.membership.goodbye(&name, known.incarnation);
        self.note_changes(&changes);
        self.weigh(&name, known.key);
    }

    fn load(&mut self, key: LinkKey, load: &Load) {
        let now = Instant::now();
        let Some(side) = self.sides.get_mut(key) else { return };
        let Some(known) = side.known.clone() else { return };
        let name = side.name.clone();
        side.heard = now;
        side.offset = load.offset;
        side.digest = load.digest.clone();
        let changes = self.membership.heard(&name, &known.place, known.incarnation, now);
        self.note_changes(&changes);
        let report = report_of(load);
        self.choice.report(known.key, report, now);
        let signal = Signal { lowest: report.lowest, shed: report.shed };
        self.gate(&known.service).hear(known.key, signal, now);
        self.samples.take(&name, known.incarnation, &load.samples);
        self.weigh(&name, known.key);
    }

    fn gate(&mut self, service: &str) -> &mut Gate {
        self.gates.entry(service.to_owned()).or_insert_with(|| Gate::new(PROBING))
    }

    /// Sets what share of its usual work an upstream may get now.
    fn weigh(&mut self, name: &str, key: UpstreamKey) {
        let weight = self.membership.weight(name, Instant::now());
        self.choice.set_weight(key, weight);
    }

    async fn deaths(&mut self, key: LinkKey, deaths: Deaths) {
        let Some(known) = self.sides.get(key).and_then(|side| side.known.as_ref()) else { return };
        let message = JournalMessage::Deaths { incarnation: known.incarnation, deaths };
        self.tell_journal(message).await;
    }

    async fn tell_journal(&self, message: JournalMessage) {
        let _ = self.journal.send(message).await;
    }

    fn tell_side(&self, key: LinkKey, message: LinkMessage) {
        if let Some(side) = self.sides.get(key) {
            let _ = side.messages.try_send(message);
        }
    }

    fn broadcast(&self, message: impl Fn() -> LinkMessage) {
        for side in self.sides.values() {
            let _ = side.messages.try_send(message());
        }
    }

    /// Tells every side process of a new offset at once, so that laggards ask.
    fn beat(&mut self, beat: Heartbeat) {
        self.beat = beat;
        self.broadcast(|| LinkMessage::Heartbeat(self.beat.clone()));
    }

    fn listed(&mut self, instances: &[Instance]) {
        for instance in instances {
            let known = self
                .sides
                .values()
                .any(|side| side.name == instance.name && side.address == instance.address);
            if !known {
                self.add_side(instance);
            }
            let listing = match instance.state {
                InstanceState::Live => Listing::Live,
                InstanceState::Leaving => Listing::Leaving,
            };
            let changes = self.membership.listed(&instance.name, listing, Instant::now());
            self.note_changes(&changes);
        }
        self.remove_unlisted(instances);
        self.weigh_all();
    }

    fn add_side(&mut self, instance: &Instance) {
        let (messages, receiver) = mpsc::channel(LINK_DEPTH);
        let side = Side {
            name: instance.name.clone(),
            address: instance.address,
            messages,
            known: None,
            connected: false,
            offset: 0,
            digest: Bytes::new(),
            heard: Instant::now(),
        };
        let key = self.sides.insert(side);
        let link =
            Link::new(key, instance.address, self.identity.clone(), receiver, self.own.clone());
        tokio::spawn(link.run());
        info!(self.log, "side process listed";
            "upstream" => &instance.name, "address" => instance.address);
    }

    /// Drops sides that are neither listed nor connected: a list that lost them proves nothing.
    fn remove_unlisted(&mut self, instances: &[Instance]) {
        let gone: Vec<LinkKey> = self
            .sides
            .iter()
            .filter(|(_, side)| !side.connected)
            .filter(|(_, side)| {
                !instances.iter().any(|one| one.name == side.name && one.address == side.address)
            })
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            let Some(side) = self.sides.remove(key) else { continue };
            let _ = side.messages.try_send(LinkMessage::Stop);
            let Some(known) = side.known else { continue };
            self.by_upstream.remove(&known.key);
            self.choice.remove(known.key);
            self.gate(&known.service).forget(known.key);
        }
    }

    fn tick(&mut self) {
        let changes = self.membership.tick(Instant::now());
        self.note_changes(&changes);
        self.weigh_all();
        self.report_evidence();
    }

    fn weigh_all(&mut self) {
        let known: Vec<(UpstreamId, UpstreamKey)> = self
            .sides
            .values()
            .filter_map(|side| Some((side.name.clone(), side.known.as_ref()?.key)))
            .collect();
        for (name, key) in known {
            self.weigh(&name, key);
        }
    }

    fn note_changes(&self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Joined(name) => info!(self.log, "upstream joined"; "upstream" => name),
                Change::Suspected(name) => {
                    warn!(self.log, "upstream suspected"; "upstream" => name);
                }
                Change::Left(name) => info!(self.log, "upstream leaving"; "upstream" => name),
                Change::Died(name) => warn!(self.log, "upstream died"; "upstream" => name),
                Change::PlaceCut(place) => warn!(self.log, "place cut"; "place" => place),
                Change::PlaceBack(place) => info!(self.log, "place back"; "place" => place),
            }
        }
    }

    fn choose(&mut self, wish: &Wish) -> Result<Chosen> {
        let now = Instant::now();
        self.take_retry(wish, now)?;
        self.gate(&wish.service);
        let Self { gates, choice, rng, .. } = self;
        let gate = gates.get_mut(&wish.service).expect("inserted above");
        let candidates = choice.iter().filter(|(_, view)| serves(view, wish)).map(|(key, _)| key);
        let key = match gate.decide(wish.tier, &wish.tried, candidates, now, rng) {
            Verdict::Offer => self.pick(wish, now),
            Verdict::Probe(keys) => self.pick_among(wish, &keys, now),
            Verdict::Refuse { after } => return Err(self.refuse(wish, after)),
        };
        key.and_then(|key| self.begin(wish, key, now)).ok_or_else(|| self.none_left(wish))
    }

    /// Gives the first try of a moving route's request its version.
    fn split(&mut self, wish: &mut Wish) {
        if !wish.tried.is_empty() {
            return;
        }
        let version = self.traffic.pick(&wish.route, wish.ticket);
        let Some(version) = version else { return };
        let declared = std::mem::replace(&mut wish.version, version);
        if !self.choice.iter().any(|(_, view)| serves(view, wish)) {
            wish.version = declared;
        }
    }

    fn set_splits(&mut self, splits: Vec<RouteSplit>) {
        let (choice, entries) = (&self.choice, self.entries);
        self.traffic.set(splits, |plan, progress| {
            let of_service =
                || choice.iter().filter(|(_, view)| view.upstream.service == plan.service);
            let hosts = of_service().filter(|(_, view)| view.upstream.versions.contains(&plan.to));
            let (hosts, upstreams) = (hosts.count() as u32, of_service().count() as u32);
            Split::new(plan, progress, hosts, upstreams, entries)
        });
    }

    /// Sends the journal the measurements on which moves are judged.
    fn report_evidence(&mut self) {
        let now = Instant::now();
        if self.traffic.is_empty() || now.duration_since(self.reported) < EVIDENCE_PAUSE {
            return;
        }
        self.reported = now;
        let mut evidence = self.samples.evidence().clone();
        if let Some(stop) = self.traffic.stopped() {
            evidence.stop(self.identity.incarnation, stop);
        }
        let _ = self.journal.try_send(JournalMessage::Evidence(Box::new(evidence)));
    }

    fn pick(&mut self, wish: &Wish, now: Instant) -> Option<UpstreamKey> {
        if let Some(digest) = wish.suspect {
            return self.pick_by_digest(wish, digest);
        }
        let ask = ask_of(wish, &self.place, &[]);
        self.choice.choose(&ask, now, &mut self.rng)
    }

    /// Chooses by rendezvous hashing (Thaler and Ravishankar, 1998) among those not yet tried.
    fn pick_by_digest(&self, wish: &Wish, digest: Digest) -> Option<UpstreamKey> {
        let tried = |key: &UpstreamKey| wish.tried.iter().any(|attempt| attempt.key == *key);
        self.choice
            .iter()
            .filter(|(key, view)| serves(view, wish) && !tried(key))
            .max_by_key(|(_, view)| Digest::of(&[digest.as_bytes(), view.upstream.id.as_bytes()]))
            .map(|(key, _)| key)
    }

    /// Chooses among the upstreams that the gate left, so that retries don't all meet the same
    /// one; the likeliest one if the choice falls on none of them.
    fn pick_among(
        &mut self,
        wish: &Wish,
        keys: &[UpstreamKey],
        now: Instant,
    ) -> Option<UpstreamKey> {
        let left: HashSet<UpstreamKey> = keys.iter().copied().collect();
        let excluded: Vec<UpstreamKey> = self
            .choice
            .iter()
            .filter(|(key, view)| serves(view, wish) && !left.contains(key))
            .map(|(key, _)| key)
            .collect();
        let ask = ask_of(wish, &self.place, &excluded);
        let chosen = self.choice.choose(&ask, now, &mut self.rng);
        chosen.filter(|key| left.contains(key)).or_else(|| keys.first().copied())
    }

    fn begin(&mut self, wish: &Wish, key: UpstreamKey, now: Instant) -> Option<Chosen> {
        let side = self.sides.get(*self.by_upstream.get(&key)?)?;
        let ask = ask_of(wish, &self.place, &[]);
        let link = side.messages.clone();
        let upstream = side.name.clone();
        let flight = self.choice.begin(key, &ask, now);
        Some(Chosen { key, upstream, version: wish.version.clone(), link, flight })
    }

    /// The first try fills the retry budget; a further one takes from it, unless its tier asks
    /// every upstream or the upstream was stopping.
    fn take_retry(&mut self, wish: &Wish, now: Instant) -> Result<()> {
        let Some(refusal) = &wish.refusal else {
            self.budget.deposit(now);
            return Ok(());
        };
        let free = wish.tier < PROBING || refusal.kind == ErrorKind::Stopping;
        if free || self.budget.withdraw(now) { Ok(()) } else { Err(refusal.clone()) }
    }

    fn refuse(&mut self, wish: &Wish, after: Duration) -> Error {
        match &wish.refusal {
            Some(refusal) => {
                let after = refusal.after.unwrap_or(after).max(after);
                refusal.clone().after(after)
            }
            None if !self.choice.iter().any(|(_, view)| serves(view, wish)) => self.none_left(wish),
            None => {
                Error::new(ErrorKind::Overloaded, "every upstream refuses the tier").after(after)
            }
        }
    }

    fn none_left(&mut self, wish: &Wish) -> Error {
        let after = come_back(NO_UPSTREAM_AFTER, 1.0, &mut self.rng);
        match &wish.refusal {
            Some(refusal) => refusal.clone().after(refusal.after.unwrap_or(after)),
            None => Error::new(ErrorKind::NoUpstream, "no upstream serves the route").after(after),
        }
    }

    fn enter(&mut self, team: TeamId, limit: u32) -> bool {
        let count = self.teams.entry(team).or_default();
        if limit > 0 && *count >= limit {
            return false;
        }
        *count += 1;
        true
    }

    fn leave(&mut self, team: &str) {
        if let Some(count) = self.teams.get_mut(team) {
            *count -= 1;
            if *count == 0 {
                self.teams.remove(team);
            }
        }
    }

    fn status(&self) -> Vec<SideStatus> {
        let status = |side: &Side| SideStatus {
            upstream: side.name.clone(),
            offset: side.offset,
            digest: side.digest.clone(),
            connected: side.connected,
            place: side.known.as_ref().map(|known| known.place.clone()).unwrap_or_default(),
            age: side.heard.elapsed(),
        };
        self.sides.values().map(status).collect()
    }
}

/// Returns whether the upstream could run the request now.
fn serves(view: &choice::View, wish: &Wish) -> bool {
    let upstream = &view.upstream;
    upstream.service == wish.service
        && upstream.versions.contains(&wish.version)
        && view.weight() > 0.0
        && view.report().healthy
}

fn ask_of<'a>(wish: &'a Wish, place: &'a str, excluded: &'a [UpstreamKey]) -> choice::Ask<'a> {
    choice::Ask {
        service: &wish.service,
        version: Some(&wish.version),
        tier: wish.tier,
        prompt: wish.prompt,
        output: wish.output,
        prefix: wish.prefix,
        place,
        excluded,
    }
}

fn report_of(load: &Load) -> Report {
    let rank = |plus_one: u32| plus_one.checked_sub(1).map(|rank| rank as Tier);
    Report {
        queued: load.queued,
        running: load.running,
        limit: load.limit,
        tokens: load.waiting_tokens,
        first: Duration::from_micros(load.first_us),
        between: Duration::from_micros(load.between_us),
        lowest: rank(load.lowest),
        shed: rank(load.shed),
        healthy: load.healthy,
    }
}
