//! The dispatcher: the task that owns the queue, the limits and every ticket of the side process.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use egretgate_core::death_news::DeathNews;
use egretgate_core::limit::{LengthPredictor, Reservation};
use egretgate_core::queue::{DiscardedWork, OfferOutcome, Queue, QueueOptions, Work};
use egretgate_core::{
    Digest, Error, ErrorKind, Incarnation, ServiceId, Ticket, Tier, UpstreamId, ZoneId,
};
use egretgate_link::message::{
    CopyQuery, CopyState, DeathAck, DeathReport, Goodbye, Load, Offer, Refused, Snapshot, TicketId,
    TicketQuery, TicketState, TicketStatus, Welcome, to_entry, to_side,
};
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until};

use crate::engines::{EngineKey, Engines};
use crate::entries::{ConnectionHandle, ConnectionId, Entries};
use crate::finished_tickets::FinishedTickets;
use crate::replica::ConfigReplica;
use crate::run::{Control, RunSummary};
use crate::samples::Samples;
use crate::target_client::Probe;

mod lifecycle;
mod maintenance;

/// Capacity of the dispatcher's message channel.
pub(crate) const DISPATCHER_CHANNEL_CAPACITY: usize = 4096;
/// Interval between two rounds of maintenance.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Quantile of a route's answer lengths that predicts the next one.
const LENGTH_QUANTILE: f64 = 0.5;
/// Predicted answer length of a route without any finished answer, in tokens.
const INITIAL_LENGTH_TOKENS: u32 = 64;
/// Delay before a suspect request is queued, so that deaths of engines that run an equal request
/// become known first.
const SUSPECT_DELAY: Duration = Duration::from_millis(100);

/// Messages to the dispatcher.
#[derive(Debug)]
pub(crate) enum DispatcherMessage {
    /// An entry has connected.
    Attach { entry: Incarnation, handle: ConnectionHandle, reply: oneshot::Sender<Attached> },
    /// A connection was lost or closed.
    Lost { entry: Incarnation, id: ConnectionId },
    /// A frame from an entry.
    Frame { entry: Incarnation, body: to_side::Body },
    /// Latency measured while a request runs.
    Latency { ticket: Ticket, latency: Latency },
    /// A run has ended. The reply is the load that goes out with its last frame.
    Ended { summary: RunSummary, reply: oneshot::Sender<Load> },
    /// The last frame of a run was delivered, or its delivery was abandoned.
    Delivered(Ticket),
    /// The delay of a suspect's offer is over.
    DelayedOffer { entry: Incarnation, offer: Offer },
    /// A probe of an engine has ended.
    Probed { engine: EngineKey, probe: Probe },
    /// Shut down: refuse queued requests, finish running ones, then reply. Offers that still arrive
    /// are refused until [`DispatcherMessage::Close`].
    Stop(oneshot::Sender<()>),
    /// End the task. Connections close once their last frames are written.
    Close,
}

/// Latency measured while a request runs.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Latency {
    /// Time from dispatch to the first token.
    FirstToken(Duration),
    /// Mean time between tokens since the previous report.
    InterToken(Duration),
}

/// Answer to [`DispatcherMessage::Attach`].
#[derive(Debug)]
pub(crate) struct Attached {
    /// Identifier of the connection.
    pub id: ConnectionId,
    /// First frame to the entry.
    pub welcome: Welcome,
}

/// Identity of the side process.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// Random number drawn at the start of the process.
    pub incarnation: Incarnation,
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: ZoneId,
    /// Service that the upstream serves.
    pub service: ServiceId,
}

/// A queued offer and the entry that sent it.
#[derive(Debug)]
struct QueuedOffer {
    entry: Incarnation,
    offer: Offer,
}

/// A running request.
#[derive(Debug)]
struct Running {
    engine: EngineKey,
    digest: Digest,
    control: mpsc::Sender<Control>,
    route: String,
    team: String,
    tier: Tier,
    /// Estimated prompt length, in tokens.
    prompt: u32,
    /// Predicted answer length, in tokens.
    output_tokens: u32,
    load_level: u32,
    version: String,
    started: Instant,
}

/// An engine's death that this process has not seen in the log yet.
#[derive(Debug)]
struct UnconfirmedDeath {
    report: DeathReport,
    reported: Instant,
}

/// State of the dispatcher task.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    identity: Identity,
    engines: Engines,
    queue: Queue<QueuedOffer>,
    entries: Entries,
    running: HashMap<Ticket, Running>,
    finished: FinishedTickets,
    lengths: LengthPredictor,
    reservation: Reservation,
    samples: Samples,
    config: ConfigReplica,
    rng: ChaCha8Rng,
    log: Logger,
    self_sender: mpsc::Sender<DispatcherMessage>,
    death_count: u64,
    unconfirmed: Vec<UnconfirmedDeath>,
    /// Ended runs whose last frame may still have to be sent again after a reconnect.
    delivering: HashMap<Ticket, mpsc::Sender<Control>>,
    /// Replies that wait for a probe, by engine: an answer was cut, and the engine may have died.
    probe_waiters: Vec<(EngineKey, oneshot::Sender<Load>)>,
    /// Replies that wait until every entry knows of a death.
    death_news: DeathNews<EngineKey, oneshot::Sender<Load>>,
    /// Number of offers in their [`SUSPECT_DELAY`].
    delayed_offers: usize,
    /// True once shutdown has begun.
    stopping: bool,
    /// Reply to [`DispatcherMessage::Stop`], sent once no request runs.
    stop_reply: Option<oneshot::Sender<()>>,
    /// True once [`DispatcherMessage::Close`] has arrived.
    closed: bool,
    last_broadcast: Instant,
    /// When the dispatcher last handled a message or a tick.
    last_active: Instant,
    /// When the process last resumed after a freeze. Latencies measured across a freeze say nothing
    /// about an engine.
    resumed: Option<Instant>,
}

impl Dispatcher {
    /// Returns a dispatcher that starts requests on `engines`.
    pub(crate) fn new(
        identity: Identity,
        engines: Engines,
        queue: QueueOptions,
        rng: ChaCha8Rng,
        log: Logger,
        self_sender: mpsc::Sender<DispatcherMessage>,
    ) -> Self {
        let now = Instant::now();
        Self {
            identity,
            engines,
            queue: Queue::new(queue, now),
            entries: Entries::default(),
            running: HashMap::new(),
            finished: FinishedTickets::default(),
            lengths: LengthPredictor::new(LENGTH_QUANTILE, INITIAL_LENGTH_TOKENS),
            reservation: Reservation::default(),
            samples: Samples::default(),
            config: ConfigReplica::default(),
            rng,
            log,
            self_sender,
            death_count: 0,
            unconfirmed: Vec::new(),
            delivering: HashMap::new(),
            probe_waiters: Vec::new(),
            death_news: DeathNews::default(),
            delayed_offers: 0,
            stopping: false,
            stop_reply: None,
            closed: false,
            last_broadcast: now,
            last_active: now,
            resumed: None,
        }
    }

    /// Handles messages until [`DispatcherMessage::Close`].
    pub(crate) async fn run(mut self, mut messages: mpsc::Receiver<DispatcherMessage>) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.closed {
            let now = Instant::now();
            let wake = self.queue.next_wakeup(now).unwrap_or(now + TICK_INTERVAL);
            let wake = self.death_news.next_deadline().map_or(wake, |due| wake.min(due));
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = sleep_until(wake.into()) => {}
                _ = tick.tick() => self.tick(),
            }
            self.advance();
        }
    }

    fn handle(&mut self, message: DispatcherMessage) {
        self.detect_freeze(Instant::now());
        match message {
            DispatcherMessage::Attach { entry, handle, reply } => self.attach(entry, handle, reply),
            DispatcherMessage::Lost { entry, id } => {
                self.entries.detach(entry, id, Instant::now());
                let released = self.death_news.remove_entry(entry);
                self.reply_load(released);
            }
            DispatcherMessage::Frame { entry, body } => self.handle_frame(entry, body),
            DispatcherMessage::Latency { ticket, latency } => self.record_latency(ticket, latency),
            DispatcherMessage::Ended { summary, reply } => {
                match self.handle_ended(&summary) {
                    // Answered after the probe, and after all entries know of a death, before the
                    // caller can retry.
                    Some(engine) => {
                        if let Some(reply) = self.death_news.hold(&engine, reply) {
                            self.probe_waiters.push((engine, reply));
                        }
                    }
                    None => drop(reply.send(self.load())),
                }
            }
            DispatcherMessage::Delivered(ticket) => {
                self.delivering.remove(&ticket);
            }
            DispatcherMessage::DelayedOffer { entry, offer } => {
                self.delayed_offers -= 1;
                self.handle_offer(entry, offer);
            }
            DispatcherMessage::Probed { engine, probe } => self.handle_probed(engine, probe),
            DispatcherMessage::Stop(reply) => self.stop(reply),
            DispatcherMessage::Close => self.closed = true,
        }
    }

    fn attach(
        &mut self,
        entry: Incarnation,
        handle: ConnectionHandle,
        reply: oneshot::Sender<Attached>,
    ) {
        let id = self.entries.attach(entry, handle);
        let welcome = Welcome {
            incarnation: self.identity.incarnation,
            upstream: self.identity.upstream.clone(),
            zone: self.identity.zone.clone(),
            service: self.identity.service.clone(),
            versions: self.engines.versions(),
            load: Some(self.load()),
        };
        let _ = reply.send(Attached { id, welcome });
        if self.stopping {
            self.entries.send(entry, to_entry::Body::Goodbye(Goodbye {}));
        }
    }

    fn handle_frame(&mut self, entry: Incarnation, body: to_side::Body) {
        match body {
            to_side::Body::Hello(_) => {}
            to_side::Body::Offer(offer) if self.is_suspect(&offer) => self.delay(entry, offer),
            to_side::Body::Offer(offer) => self.handle_offer(entry, offer),
            to_side::Body::Withdraw(withdraw) => self.withdraw(entry, ticket_of(withdraw.ticket)),
            to_side::Body::Query(query) => self.query(entry, &query),
            to_side::Body::Credit(credit) => {
                self.control(ticket_of(credit.ticket), Control::Credit(credit.taken_chunks));
            }
            to_side::Body::Heartbeat(heartbeat) => {
                self.config.record_heartbeat(&heartbeat);
                self.request_records(entry);
            }
            to_side::Body::Records(records) => {
                if self.config.apply(&records) {
                    self.apply_declarations();
                    self.request_records(entry);
                    self.broadcast_load();
                }
            }
            to_side::Body::DeathAck(DeathAck { sequence }) => {
                let released = self.death_news.record_ack(entry, sequence);
                self.reply_load(released);
            }
            to_side::Body::CopyQuery(CopyQuery { digest }) => {
                let asked = Digest::from_slice(&digest);
                let running = self.running.values().any(|run| Some(run.digest) == asked);
                let state = CopyState { digest, running };
                self.entries.send(entry, to_entry::Body::CopyState(state));
            }
            to_side::Body::SnapshotRequest(_) => {
                let snapshot = Snapshot { state: self.config.encode() };
                self.entries.send(entry, to_entry::Body::Snapshot(snapshot));
            }
        }
    }

    /// Answers runs that have waited with the current load.
    fn reply_load(&self, waiting: Vec<oneshot::Sender<Load>>) {
        for reply in waiting {
            let _ = reply.send(self.load());
        }
    }

    fn is_suspect(&self, offer: &Offer) -> bool {
        offer.exclusive || self.config.is_suspect(digest_of(offer))
    }

    /// Queues a suspect's offer after [`SUSPECT_DELAY`].
    fn delay(&mut self, entry: Incarnation, offer: Offer) {
        self.delayed_offers += 1;
        let self_sender = self.self_sender.clone();
        let deadline_ms = offer.deadline_ms.saturating_sub(SUSPECT_DELAY.as_millis() as u64);
        tokio::spawn(async move {
            sleep(SUSPECT_DELAY).await;
            let offer = Offer { deadline_ms, ..offer };
            let _ = self_sender.send(DispatcherMessage::DelayedOffer { entry, offer }).await;
        });
    }

    /// Requests missing configuration records from an entry, if a heartbeat announced any.
    fn request_records(&mut self, entry: Incarnation) {
        if let Some(request) = self.config.next_request(Instant::now()) {
            self.entries.send(entry, to_entry::Body::RecordsRequest(request));
        }
    }

    fn handle_offer(&mut self, entry: Incarnation, offer: Offer) {
        let now = Instant::now();
        let ticket = ticket_of(offer.ticket);
        if self.running.contains_key(&ticket) || self.queue.contains(ticket) {
            return;
        }
        if let Some(error) = self.find_refusal(ticket, &offer) {
            return self.refuse(entry, ticket, &error);
        }
        let work = self.build_work(ticket, &offer, now);
        self.reservation.record_offer(work.tier, now);
        let estimate = self.engines.estimate(now);
        let payload = QueuedOffer { entry, offer };
        match self.queue.offer(work, payload, now, &estimate, &mut self.rng) {
            OfferOutcome::Queued { displaced } => {
                self.entries.add_queued(entry, ticket);
                for discarded in displaced {
                    self.refuse_discarded(discarded);
                }
                self.start_next();
                self.notify_queued(entry, ticket);
            }
            OfferOutcome::Refused { error, .. } => self.refuse(entry, ticket, &error),
            OfferOutcome::Duplicate { .. } => {}
        }
    }

    /// Returns the error with which an offer must be refused at once, if any.
    fn find_refusal(&self, ticket: Ticket, offer: &Offer) -> Option<Error> {
        let kind = if self.stopping {
            ErrorKind::Stopping
        } else if self.finished.get(ticket).is_some() || !self.engines.serves(&offer.version) {
            ErrorKind::NoUpstream
        } else if self.config.is_quarantined(digest_of(offer)) {
            ErrorKind::Quarantined
        } else {
            return None;
        };
        Some(Error::new(kind, "refused by the side process"))
    }

    fn build_work(&mut self, ticket: Ticket, offer: &Offer, now: Instant) -> Work {
        let digest = digest_of(offer);
        let predicted = self.lengths.predict(&offer.route).min(offer.output_tokens.max(1));
        Work {
            ticket,
            team: offer.team.clone(),
            tier: offer.tier.min(u32::from(Tier::MAX)) as Tier,
            weight: self.config.weight(&offer.team),
            deadline: now + Duration::from_millis(offer.deadline_ms),
            prompt_tokens: offer.prompt_tokens,
            output_tokens: predicted,
            digest,
            exclusive: self.is_suspect(offer),
            version: offer.version.clone(),
        }
    }

    /// Tells an entry that a request was not run. The entry may offer it here again, unless the
    /// ticket is recorded as refused.
    fn refuse(&mut self, entry: Incarnation, ticket: Ticket, error: &Error) {
        metrics::counter!("egretside_refused_total", "kind" => error.kind.code()).increment(1);
        let refused = Refused {
            ticket: Some(ticket.into()),
            code: error.kind.code().to_owned(),
            after_ms: error.retry_after.map_or(0, |after| after.as_millis() as u64),
            load: Some(self.load()),
        };
        self.entries.send(entry, to_entry::Body::Refused(refused));
    }

    fn refuse_discarded(&mut self, discarded: DiscardedWork<QueuedOffer>) {
        let ticket = discarded.queued.work.ticket;
        let entry = discarded.queued.payload.entry;
        self.entries.remove_queued(entry, ticket);
        self.refuse(entry, ticket, &discarded.error);
    }

    /// Removes a queued request or cancels a running one. An unseen ticket is recorded as refused,
    /// so that an offer that arrives later is not run.
    fn withdraw(&mut self, entry: Incarnation, ticket: Ticket) {
        if self.ticket_status(ticket) == TicketStatus::Running {
            return self.control(ticket, Control::Cancel);
        }
        let queued = self.queue.cancel(ticket);
        if let Some(queued) = &queued {
            self.entries.remove_queued(queued.payload.entry, ticket);
        }
        let unseen = self.finished.get(ticket).is_none();
        if queued.is_some() || unseen {
            self.finished.record(ticket, TicketStatus::Refused);
            self.refuse(entry, ticket, &maintenance::withdrawn_error());
        }
    }

    /// Answers a query. An unseen ticket is recorded as refused; a running answer continues on the
    /// connection that sent the query.
    fn query(&mut self, entry: Incarnation, query: &TicketQuery) {
        let ticket = ticket_of(query.ticket);
        let status = self.ticket_status(ticket);
        let state = TicketState {
            ticket: Some(ticket.into()),
            status: status.into(),
            incarnation: self.identity.incarnation,
        };
        if status == TicketStatus::Unseen {
            self.finished.record(ticket, TicketStatus::Refused);
        }
        self.entries.send(entry, to_entry::Body::TicketState(state));
        if status == TicketStatus::Running
            && let Some(frames) = self.entries.frames(entry).cloned()
        {
            let TicketQuery { next_chunk, taken_chunks, .. } = *query;
            self.control(ticket, Control::Resume { frames, next_chunk, taken_chunks });
        }
    }

    fn ticket_status(&self, ticket: Ticket) -> TicketStatus {
        if self.running.contains_key(&ticket) || self.delivering.contains_key(&ticket) {
            TicketStatus::Running
        } else if self.queue.contains(ticket) {
            TicketStatus::Queued
        } else {
            self.finished.get(ticket).unwrap_or(TicketStatus::Unseen)
        }
    }

    fn control(&self, ticket: Ticket, control: Control) {
        let running = self.running.get(&ticket).map(|running| &running.control);
        if let Some(run) = running.or_else(|| self.delivering.get(&ticket)) {
            let _ = run.try_send(control);
        }
    }

    fn record_latency(&mut self, ticket: Ticket, latency: Latency) {
        let Some(run) = self.running.get(&ticket) else { return };
        if self.was_frozen(run) {
            return;
        }
        let limit = self.engines.limit(run.engine);
        match latency {
            Latency::FirstToken(time) => limit.record_first_token(run.prompt, time, Instant::now()),
            Latency::InterToken(mean) => limit.record_next_token(mean, Instant::now()),
        }
    }
}

fn ticket_of(id: Option<TicketId>) -> Ticket {
    id.unwrap_or_default().into()
}

fn digest_of(offer: &Offer) -> Digest {
    Digest::from_slice(&offer.digest).unwrap_or_default()
}
