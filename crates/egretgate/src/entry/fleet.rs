//! The task that owns the entry's view of the upstreams: links, membership, load, and the gates
//! that admit or refuse requests.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use egretgate_core::choice::{self, Policy, UpstreamKey};
use egretgate_core::copy_check::CopyChecks;
use egretgate_core::gate::Gate;
use egretgate_core::membership::{Membership, MembershipOptions, heartbeat_interval};
use egretgate_core::moves::Split;
use egretgate_core::retry::RetryBudget;
use egretgate_core::running_copies::RunningCopies;
use egretgate_core::{ServiceId, TeamId, ZoneId};
use egretgate_link::message::Heartbeat;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, warn};
use slotmap::SlotMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use crate::entry::evidence::SampleCollector;
use crate::entry::journal::JournalMessage;
use crate::entry::link::{Identity, LinkMessage};
pub(crate) use crate::entry::traffic::RouteSplit;
use crate::entry::traffic::TrafficSplitter;

mod copies;
mod message;
mod selection;
mod sides;
mod zones;

pub(crate) use message::{ChosenUpstream, FleetMessage, RoutingRequest, SideStatus};
use selection::{PROBING_TIERS, serves};
use sides::SideProcess;

/// Capacity of the fleet's message channel.
pub(crate) const FLEET_CHANNEL_CAPACITY: usize = 8192;
/// Interval between two rounds of maintenance.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of retries that each first try adds to the retry budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Number of retries that each second adds to the retry budget.
const RETRIES_PER_SECOND: f64 = 50.0;
/// Maximum number of retries saved up in the retry budget.
const MAX_SAVED_RETRIES: f64 = 1000.0;
/// Interval between two reports of evidence to the journal.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);

slotmap::new_key_type! {
    /// Key of a link.
    pub(crate) struct LinkKey;
}

/// State of the fleet task.
#[derive(Debug)]
pub(crate) struct Fleet {
    identity: Identity,
    zone: ZoneId,
    sides: SlotMap<LinkKey, SideProcess>,
    by_upstream: HashMap<UpstreamKey, LinkKey>,
    choice: choice::Fleet,
    drained: BTreeSet<ZoneId>,
    gates: HashMap<ServiceId, Gate>,
    membership: Membership,
    retry_budget: RetryBudget,
    team_requests: HashMap<TeamId, u32>,
    copies: RunningCopies,
    copy_checks: CopyChecks<LinkKey, oneshot::Sender<bool>>,
    samples: SampleCollector,
    traffic: TrafficSplitter,
    /// Number of entries, which share the caps of version moves; at least 1.
    entry_count: u32,
    /// When evidence was last sent to the journal.
    evidence_sent: Instant,
    heartbeat: Heartbeat,
    rng: ChaCha8Rng,
    log: Logger,
    self_sender: mpsc::Sender<FleetMessage>,
    journal: mpsc::Sender<JournalMessage>,
}

impl Fleet {
    /// Returns a fleet without upstreams.
    pub(crate) fn new(
        identity: Identity,
        policy: Policy,
        rng: ChaCha8Rng,
        log: Logger,
        self_sender: mpsc::Sender<FleetMessage>,
        journal: mpsc::Sender<JournalMessage>,
    ) -> Self {
        let now = Instant::now();
        Self {
            zone: identity.zone.clone(),
            identity,
            sides: SlotMap::with_key(),
            by_upstream: HashMap::new(),
            choice: choice::Fleet::new(policy),
            drained: BTreeSet::new(),
            gates: HashMap::new(),
            membership: Membership::new(MembershipOptions::default()),
            retry_budget: RetryBudget::new(
                RETRIES_PER_REQUEST,
                RETRIES_PER_SECOND,
                MAX_SAVED_RETRIES,
                now,
            ),
            team_requests: HashMap::new(),
            copies: RunningCopies::default(),
            copy_checks: CopyChecks::default(),
            samples: SampleCollector::default(),
            traffic: TrafficSplitter::default(),
            entry_count: 1,
            evidence_sent: now,
            heartbeat: Heartbeat::default(),
            rng,
            log,
            self_sender,
            journal,
        }
    }

    /// Handles messages until every sender is dropped.
    pub(crate) async fn run(mut self, mut messages: mpsc::Receiver<FleetMessage>) {
        let mut tick = interval(TICK_INTERVAL);
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
            FleetMessage::Up { key, welcome } => self.handle_up(key, welcome),
            FleetMessage::Down(key) => self.handle_down(key),
            FleetMessage::Leaving(key) => self.handle_leaving(key),
            FleetMessage::Load { key, load } => self.handle_load(key, &load),
            FleetMessage::RecordsRequest { key, from } => {
                self.send_to_journal(JournalMessage::RecordsRequest { key, from });
            }
            FleetMessage::Records { key, records } => {
                self.send_to_side(key, LinkMessage::Records(records));
            }
            FleetMessage::Death { key, report } => self.handle_death(key, report),
            FleetMessage::DeathKnown { key, sequence } => {
                self.send_to_side(key, LinkMessage::DeathAck(sequence));
            }
            FleetMessage::Snapshot(state) => {
                self.send_to_journal(JournalMessage::SideState(state));
            }
            FleetMessage::Listed { upstreams, entry_count } => {
                if self.entry_count != entry_count
                    && self.send_to_journal(JournalMessage::EntryCount(entry_count))
                {
                    self.set_entry_count(entry_count);
                }
                self.handle_listing(&upstreams);
            }
            FleetMessage::DrainedZones(zones) => self.set_drained(zones),
            FleetMessage::Splits(splits) => self.set_splits(splits),
            FleetMessage::ConfigOffset(heartbeat) => self.broadcast_heartbeat(heartbeat),
            FleetMessage::RequestSnapshots => self.broadcast(|| LinkMessage::SnapshotRequest),
            FleetMessage::Choose { mut request, reply } => {
                self.assign_version(&mut request);
                let _ = reply.send(self.choose(&request));
            }
            FleetMessage::FirstToken { key, mut in_flight, reply } => {
                self.choice.record_first_token(key, &mut in_flight, Instant::now());
                let _ = reply.send(in_flight);
            }
            FleetMessage::Ended { key, in_flight, tokens } => {
                self.choice.end(key, in_flight, tokens, Instant::now());
            }
            FleetMessage::VersionOutcome { route, version, outcome } => {
                if let Some(cause) = self.traffic.record_outcome(&route, &version, outcome) {
                    warn!(self.log, "new version stopped at this entry";
                        "route" => route, "version" => version, "reason" => cause.as_str());
                }
            }
            FleetMessage::AcquireTeamSlot { team, limit, reply } => {
                let _ = reply.send(self.acquire_team_slot(team, limit));
            }
            FleetMessage::ReleaseTeamSlot(team) => self.release_team_slot(&team),
            FleetMessage::StartCopy { digest, state, service, reply } => {
                self.start_copy(digest, state, &service, reply);
            }
            FleetMessage::CopyState { key, digest, running } => {
                let ended = self.copy_checks.record_answer(key, digest, running);
                self.end_copy_checks(ended);
            }
            FleetMessage::EndCopy(digest) => self.copies.end(&digest),
            FleetMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn gate(&mut self, service: &str) -> &mut Gate {
        let interval = heartbeat_interval(self.entry_count);
        self.gates.entry(service.to_owned()).or_insert_with(|| {
            let mut gate = Gate::new(PROBING_TIERS);
            gate.set_interval(interval);
            gate
        })
    }

    /// Sets the number of entries. The interval between heartbeats grows with it.
    fn set_entry_count(&mut self, entry_count: u32) {
        self.entry_count = entry_count;
        let interval = heartbeat_interval(entry_count);
        self.membership.set_interval(interval);
        for gate in self.gates.values_mut() {
            gate.set_interval(interval);
        }
    }

    /// Replaces the declared version by that of the route's version move, on the first try and if
    /// an upstream can run it.
    fn assign_version(&mut self, request: &mut RoutingRequest) {
        if !request.tried.is_empty() {
            return;
        }
        let version = self.traffic.pick(&request.route, request.ticket);
        let Some(version) = version else { return };
        let declared = std::mem::replace(&mut request.version, version);
        if !self.choice.iter().any(|(_, view)| serves(view, request)) {
            request.version = declared;
        }
    }

    fn set_splits(&mut self, splits: Vec<RouteSplit>) {
        let (choice, entry_count) = (&self.choice, self.entry_count);
        self.traffic.set_splits(splits, |plan, progress| {
            let candidates =
                || choice.iter().filter(|(_, view)| view.upstream.service == plan.service);
            let updated =
                candidates().filter(|(_, view)| view.upstream.versions.contains(&plan.to));
            let (new_upstreams, upstreams) = (updated.count() as u32, candidates().count() as u32);
            Split::new(plan, progress, new_upstreams, upstreams, entry_count)
        });
        if self.traffic.is_empty() {
            self.samples = SampleCollector::default();
        }
    }

    /// Sends the journal the measurements by which version moves are judged.
    fn report_evidence(&mut self) {
        let now = Instant::now();
        if self.traffic.is_empty() || now.duration_since(self.evidence_sent) < EVIDENCE_INTERVAL {
            return;
        }
        self.evidence_sent = now;
        let mut evidence = self.samples.evidence().clone();
        if let Some(cause) = self.traffic.first_stop() {
            evidence.record_stop(self.identity.incarnation, cause);
        }
        self.send_to_journal(JournalMessage::Evidence(Box::new(evidence)));
    }
}
