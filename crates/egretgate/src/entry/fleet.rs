//! The task that owns what the entry knows of upstreams: links, membership, choice and gates.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use egretgate_core::choice::{self, Policy, UpstreamKey};
use egretgate_core::gate::Gate;
use egretgate_core::membership::{Membership, MembershipOptions, heartbeat_interval};
use egretgate_core::moves::Split;
use egretgate_core::retry::RetryBudget;
use egretgate_core::{ServiceId, TeamId, ZoneId};
use egretgate_link::message::Heartbeat;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, warn};
use slotmap::SlotMap;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use crate::entry::evidence::SampleBook;
use crate::entry::journal::JournalMessage;
use crate::entry::link::{Identity, LinkMessage};
pub(crate) use crate::entry::traffic::RouteSplit;
use crate::entry::traffic::Traffic;

mod choosing;
mod message;
mod sides;

use choosing::{PROBING, serves};
pub(crate) use message::{Chosen, FleetMessage, SideStatus, Wish};
use sides::Side;

/// Depth of the fleet's message channel.
pub(crate) const FLEET_DEPTH: usize = 8192;
/// Pause between two rounds of upkeep.
const TICK: Duration = Duration::from_millis(100);
/// Retries allowed for each request.
const RETRY_SHARE: f64 = 0.2;
/// Retries allowed per second besides.
const RETRY_RESERVE: f64 = 50.0;
/// Most retries saved up.
const RETRY_CAP: f64 = 1000.0;
/// Pause between two reports of evidence to the journal.
const EVIDENCE_PAUSE: Duration = Duration::from_secs(1);

slotmap::new_key_type! {
    /// Key of a link.
    pub(crate) struct LinkKey;
}

/// State of the fleet task.
#[derive(Debug)]
pub(crate) struct Fleet {
    identity: Identity,
    zone: ZoneId,
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
            zone: identity.zone.clone(),
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
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::Up { key, welcome } => self.up(key, welcome),
            FleetMessage::Down(key) => self.down(key),
            FleetMessage::Leaving(key) => self.leaving(key),
            FleetMessage::Load { key, load } => self.load(key, &load),
            FleetMessage::RecordsAsk { key, from } => {
                self.tell_journal(JournalMessage::RecordsAsk { key, from });
            }
            FleetMessage::Records { key, records } => {
                self.tell_side(key, LinkMessage::Records(records));
            }
            FleetMessage::Deaths { key, deaths } => self.deaths(key, deaths),
            FleetMessage::Snapshot(state) => {
                self.tell_journal(JournalMessage::PeerState(state));
            }
            FleetMessage::Listed { upstreams, entries } => {
                if self.entries != entries && self.tell_journal(JournalMessage::Entries(entries)) {
                    self.set_entries(entries);
                }
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
                self.choice.record_first_token(key, &mut flight, Instant::now());
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

    fn gate(&mut self, service: &str) -> &mut Gate {
        let pause = heartbeat_interval(self.entries);
        self.gates.entry(service.to_owned()).or_insert_with(|| {
            let mut gate = Gate::new(PROBING);
            gate.set_interval(pause);
            gate
        })
    }

    /// Follows the number of entries, with which the pause between heartbeats grows.
    fn set_entries(&mut self, entries: u32) {
        self.entries = entries;
        let pause = heartbeat_interval(entries);
        self.membership.set_interval(pause);
        for gate in self.gates.values_mut() {
            gate.set_interval(pause);
        }
    }

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
        if self.traffic.is_empty() {
            self.samples = SampleBook::default();
        }
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
            evidence.record_stop(self.identity.incarnation, stop);
        }
        self.tell_journal(JournalMessage::Evidence(Box::new(evidence)));
    }
}
