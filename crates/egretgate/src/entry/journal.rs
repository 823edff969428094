//! The task that owns the state folded from the log, and every append of this entry.
//!
//! It tails the log, applies each record to the state and to the keyed calls, appends records, and
//! publishes a [`StateView`] at each change.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::directory::Directory;
use egretgate_core::fold::{Applied, FoldEffect as Folded, QuarantineView, State, StateSection};
use egretgate_core::intent::{self, KeyedCalls};
use egretgate_core::moves::Evidence;
use egretgate_core::record::outbox::{Append, Outbox};
use egretgate_core::record::{Body, Class};
use egretgate_core::snapshot::Keeper;
use egretgate_core::{Digest, Error, ErrorKind, Incarnation, Offset, Result, Ticket};
use egretgate_link::message::{DeathReport, Heartbeat};
use egretgate_platform::{Batch, LogClient};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

use crate::entry::fleet::{FleetMessage, LinkKey};
use crate::entry::state::StateView;

mod calls;
mod keeper;
mod leases;
mod moves;
mod reader;
mod replication;

pub(crate) use calls::{CallDecision, RecordedResult};
pub(crate) use replication::RecentRecords;

/// Capacity of the journal's message channel.
pub(crate) const JOURNAL_CHANNEL_CAPACITY: usize = 8192;
/// Longest time between two checks for due timers and expired changes.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a snapshot is due, however few records were read.
const SNAPSHOT_INTERVAL: Duration = Duration::from_mins(10);
/// Interval between two checks of leases, version moves and the keeper's work.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for reading back an operator's change; after it the outcome is reported as unknown.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(8);

/// Messages to the journal task.
#[derive(Debug)]
pub(crate) enum JournalMessage {
    /// Start a keyed call: one that runs at most once for its idempotency key.
    Begin { call: intent::KeyedCall, reply: oneshot::Sender<CallDecision> },
    /// Ask whether a keyed call may be dispatched now.
    MayDispatch { ticket: Ticket, reply: oneshot::Sender<bool> },
    /// The call was answered.
    Ended { ticket: Ticket, recorded: RecordedResult },
    /// The call is proven not run.
    NotRun { ticket: Ticket },
    /// The call was dispatched and its outcome can't be known.
    Unknown { ticket: Ticket },
    /// The caller disconnected while the call waited for its intent to be read back.
    Abandon(Ticket),
    /// Append a configuration record; answered once it was read back and applied.
    Append { body: Body, reply: oneshot::Sender<Result<Offset>> },
    /// A read of the log returned.
    Read { issued: u64, result: egretgate_platform::Result<Batch> },
    /// An append returned.
    Appended { queue: AppendQueue, sequence: u64, result: egretgate_platform::Result<Offset> },
    /// A side process requests configuration records.
    RecordsRequest { key: LinkKey, from: Offset },
    /// A side process sent its configuration state.
    SideState(Bytes),
    /// A side process reports the death of an engine.
    Death { key: LinkKey, incarnation: Incarnation, report: DeathReport },
    /// A suspect was answered in whole.
    Cleared(Digest),
    /// The number of entries, which share the log's append rate.
    EntryCount(u32),
    /// Measurements of versions, collected from every side process.
    Evidence(Box<Evidence>),
    /// Run a query of an operator on the state.
    Inspect(Inspection),
}

/// A query of the state: a closure that runs in the journal's task.
pub(crate) struct Inspection(pub Box<dyn FnOnce(&Journal) + Send>);

/// The queue of this entry that an append comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendQueue {
    /// Configuration records.
    Config,
    /// Intents and outcomes of keyed calls.
    Calls,
    /// Log time and snapshots, appended by the keeper.
    Keeper,
}

/// A configuration record whose read-back is awaited.
#[derive(Debug)]
struct PendingChange {
    reply: oneshot::Sender<Result<Offset>>,
    deadline: Instant,
}

/// State of the journal task.
#[derive(Debug)]
pub(crate) struct Journal {
    state: State,
    calls: KeyedCalls,
    config_outbox: Outbox,
    pending_changes: HashMap<u64, PendingChange>,
    waiting_calls: HashMap<Ticket, oneshot::Sender<CallDecision>>,
    quarantine: QuarantineView,
    recent_records: RecentRecords,
    view: watch::Sender<Arc<StateView>>,
    client: LogClient,
    self_sender: mpsc::Sender<JournalMessage>,
    fleet: mpsc::Sender<FleetMessage>,
    log: Logger,
    started: Instant,
    reader: reader::LogReader,
    leases: leases::Leases,
    tracked_moves: moves::TrackedMoves,
    keeper: Keeper,
    /// Time of the last round of [`Journal::maintain`].
    last_maintenance: Instant,
}

impl Journal {
    /// Returns a journal that has read nothing.
    pub(crate) fn new(
        writer: Incarnation,
        client: LogClient,
        view: watch::Sender<Arc<StateView>>,
        self_sender: mpsc::Sender<JournalMessage>,
        fleet: mpsc::Sender<FleetMessage>,
        log: Logger,
    ) -> Self {
        Self {
            state: State::new(),
            calls: KeyedCalls::new(writer, intent::GROUP_INTERVAL),
            config_outbox: Outbox::new(writer),
            pending_changes: HashMap::new(),
            waiting_calls: HashMap::new(),
            quarantine: QuarantineView::default(),
            recent_records: RecentRecords::default(),
            view,
            client,
            self_sender,
            fleet,
            log,
            started: Instant::now(),
            reader: reader::LogReader::default(),
            leases: leases::Leases::new(writer),
            tracked_moves: moves::TrackedMoves::default(),
            keeper: Keeper::new(writer, SNAPSHOT_INTERVAL),
            last_maintenance: Instant::now(),
        }
    }

    /// Handles messages until every sender is dropped.
    pub(crate) async fn run(mut self, mut messages: mpsc::Receiver<JournalMessage>) {
        self.schedule_read(Duration::ZERO);
        loop {
            let now = Instant::now();
            let wake = self
                .calls
                .next_timer(now)
                .map_or(now + TICK_INTERVAL, |due| due.min(now + TICK_INTERVAL));
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => return,
                },
                () = sleep_until(wake.into()) => {}
            }
            self.calls.run_timers(Instant::now());
            self.expire_pending();
            self.run_effects();
            self.maintain();
        }
    }

    /// Renews leases, advances version moves and runs the keeper, at most once per
    /// [`MAINTENANCE_INTERVAL`].
    fn maintain(&mut self) {
        let now = Instant::now();
        if now.duration_since(self.last_maintenance) < MAINTENANCE_INTERVAL
            || !self.view.borrow().ready
        {
            return;
        }
        self.last_maintenance = now;
        self.renew_leases();
        self.advance_moves();
        self.run_keeper();
    }

    async fn handle(&mut self, message: JournalMessage) {
        match message {
            JournalMessage::Begin { call, reply } => self.begin(call, reply),
            JournalMessage::MayDispatch { ticket, reply } => {
                let _ = reply.send(self.calls.try_dispatch(ticket, Instant::now()));
            }
            JournalMessage::Ended { ticket, recorded } => {
                self.calls.mark_ended(ticket, Some(recorded.into()));
            }
            JournalMessage::NotRun { ticket } => {
                self.calls.mark_not_run(ticket, ErrorKind::NoUpstream);
            }
            JournalMessage::Unknown { ticket } => self.calls.mark_ended(ticket, None),
            JournalMessage::Abandon(ticket) => {
                self.waiting_calls.remove(&ticket);
                self.calls.abandon(ticket);
            }
            JournalMessage::Append { body, reply } => self.append(body, reply),
            JournalMessage::Read { issued, result } => self.handle_read(issued, result).await,
            JournalMessage::Appended { queue, sequence, result } => {
                self.handle_appended(queue, sequence, &result);
            }
            JournalMessage::RecordsRequest { key, from } => self.send_records(key, from).await,
            JournalMessage::SideState(state) => self.adopt_side_state(&state).await,
            JournalMessage::Death { key, incarnation, report } => {
                self.add_death(incarnation, &report);
                let sequence = report.sequence;
                let _ = self.fleet.send(FleetMessage::DeathKnown { key, sequence }).await;
            }
            JournalMessage::Cleared(digest) => self.append_clear(digest),
            JournalMessage::EntryCount(entry_count) => {
                self.calls.set_interval(intent::group_interval(entry_count));
            }
            JournalMessage::Evidence(evidence) => self.tracked_moves.merge(&evidence),
            JournalMessage::Inspect(Inspection(query)) => query(self),
        }
    }

    /// Returns the state folded from the log.
    pub(crate) const fn state(&self) -> &State {
        &self.state
    }

    /// Returns the newest configuration records.
    pub(crate) const fn recent_records(&self) -> &RecentRecords {
        &self.recent_records
    }

    /// Returns whether the log is reachable.
    pub(crate) const fn is_log_up(&self) -> bool {
        self.reader.is_up()
    }

    /// Queues a configuration record.
    fn append(&mut self, body: Body, reply: oneshot::Sender<Result<Offset>>) {
        if !self.view.borrow().ready {
            let detail = "shared state is not read yet; nothing was changed";
            let _ = reply.send(Err(Error::new(ErrorKind::NotReady, detail)));
            return;
        }
        if !self.reader.is_up() {
            let detail = "the platform's log can't be reached; nothing was changed";
            let _ = reply.send(Err(Error::new(ErrorKind::LogOutage, detail)));
            return;
        }
        match self.config_outbox.push(body) {
            Ok(sequence) => {
                let pending = PendingChange { reply, deadline: Instant::now() + CONFIRM_TIMEOUT };
                self.pending_changes.insert(sequence, pending);
                self.send_config();
            }
            Err(error) => {
                let _ = reply.send(Err(error));
            }
        }
    }

    fn send_config(&mut self) {
        if let Some(append) = self.config_outbox.pop() {
            self.send(AppendQueue::Config, append);
        }
    }

    fn send(&self, queue: AppendQueue, append: Append) {
        let client = self.client.clone();
        let self_sender = self.self_sender.clone();
        tokio::spawn(async move {
            let Append { sequence, data } = append;
            let result = client.append(&[data.into()]).await;
            let _ = self_sender.send(JournalMessage::Appended { queue, sequence, result }).await;
        });
    }

    fn handle_appended(
        &mut self,
        queue: AppendQueue,
        sequence: u64,
        result: &egretgate_platform::Result<Offset>,
    ) {
        let Err(error) = result else { return };
        warn!(self.log, "append failed"; "sequence" => sequence, "error" => error.to_string());
        metrics::counter!("egretgate_append_failures_total").increment(1);
        self.reader.record_lost_answer();
        match queue {
            AppendQueue::Config => self.config_outbox.mark_answer_lost(sequence),
            AppendQueue::Calls => self.calls.mark_answer_lost(sequence),
            AppendQueue::Keeper => self.keeper.mark_answer_lost(sequence),
        }
        if matches!(error, egretgate_platform::Error::Refused(_)) {
            self.set_log_up(false);
        }
    }

    fn expire_pending(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .pending_changes
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            let Some(pending) = self.pending_changes.remove(&sequence) else { continue };
            let detail = "the log did not confirm the change in time; check the records";
            let _ = pending.reply.send(Err(Error::new(ErrorKind::OutcomeUnknown, detail)));
        }
    }

    /// Passes a record's effect on to the calls, the keeper and the change that waits for it.
    fn handle_applied(&mut self, applied: &Applied) {
        self.calls.observe(applied, self.state.keys());
        self.keeper.observe(applied, &self.state, Instant::now());
        let Some(id) = applied.id else { return };
        if id.class == Class::Config && self.config_outbox.confirm(id.writer, id.sequence) {
            self.confirm(id.sequence, applied);
            self.send_config();
        }
    }

    fn confirm(&mut self, sequence: u64, applied: &Applied) {
        let Some(pending) = self.pending_changes.remove(&sequence) else { return };
        let result = match &applied.effect {
            Folded::Refused(error) => Err(error.clone()),
            _ => Ok(applied.offset),
        };
        let _ = pending.reply.send(result);
    }

    /// Publishes the changed parts of the state.
    async fn publish(&mut self, sections: &[StateSection]) {
        if sections.contains(&StateSection::Moves) || sections.contains(&StateSection::Declarations)
        {
            self.publish_splits().await;
        }
        if sections.contains(&StateSection::Zones) {
            let zones = self.state.config().drained_zones().keys().cloned().collect();
            let _ = self.fleet.send(FleetMessage::DrainedZones(zones)).await;
        }
        let config = self.state.config();
        if sections.contains(&StateSection::Quarantine) {
            self.quarantine.rebase(config.quarantine(), config.next_offset());
        }
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            if sections.contains(&StateSection::Declarations)
                || sections.contains(&StateSection::Moves)
            {
                let declared = config.declarations().clone();
                view.directory = Arc::new(Directory::new(declared, config.moved_versions()));
            }
            if sections.contains(&StateSection::Quarantine) {
                view.quarantine = Arc::new(self.quarantine.clone());
            }
        });
    }

    fn set_log_up(&mut self, up: bool) {
        if !self.reader.set_up(up) {
            return;
        }
        info!(self.log, "log reachable"; "up" => up);
        metrics::gauge!("egretgate_log_up").set(f64::from(u8::from(up)));
        self.calls.set_log_up(up);
        self.view.send_modify(|view| Arc::make_mut(view).log_up = up);
    }

    /// Has the fleet send every side process the configuration's offset.
    async fn broadcast_offset(&self) {
        let config = self.state.config();
        let digest = Bytes::copy_from_slice(config.digest().as_bytes());
        let heartbeat = Heartbeat { offset: config.next_offset(), digest };
        metrics::gauge!("egretgate_config_offset").set(config.next_offset() as f64);
        let _ = self.fleet.send(FleetMessage::ConfigOffset(heartbeat)).await;
    }
}

impl std::fmt::Debug for Inspection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Inspection")
    }
}
