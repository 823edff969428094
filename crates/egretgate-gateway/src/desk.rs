//! The task that owns the scheduler and the idle connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{
    Admission, AdmissionRequest, Completion, Overload, Reason, Refusal, UpstreamKey,
};
use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::request_queue::RequestNumber;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::gateway::traffic_move::MoveStatus;
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome};
use egretgate_core::{Digest, RouteId, ServiceId, UpstreamId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use crate::connect::Connection;
use crate::moves::Judged;

/// Time between looks at the queue while requests wait.
const TICK: Duration = Duration::from_millis(15);
/// Idle connections kept for each upstream; more than its slots are never in use at once.
const IDLE_CONNECTIONS: usize = 16;

/// A request's place at an upstream. Dropping it gives the place back.
#[derive(Debug)]
pub(crate) struct Lease {
    /// Name of the upstream.
    pub(crate) id: UpstreamId,
    /// Address of the upstream.
    pub(crate) address: SocketAddr,
    /// A connection that is open.
    pub(crate) idle: Option<Connection>,
    key: UpstreamKey,
    service: ServiceId,
    digest: Option<Digest>,
    started: Instant,
    /// True once the desk was told of its silence.
    suspected: bool,
    route: RouteId,
    first: Option<Duration>,
    desk: DeskHandle,
    outcome: Outcome,
}

impl Lease {
    /// Ends the request at the upstream; the connection is kept for another one.
    pub(crate) fn finish(mut self, outcome: Outcome, idle: Option<Connection>) {
        self.outcome = outcome;
        self.idle = idle;
    }

    /// Notes that the head of the answer came.
    pub(crate) fn answered(&mut self) {
        self.first = Some(self.started.elapsed());
    }

    /// Notes that the upstream has been silent for long.
    pub(crate) fn suspect(&mut self, since: Instant) {
        let again = std::mem::replace(&mut self.suspected, true);
        self.desk.tell(Message::Suspect { key: self.key, since, again });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let end = Completion {
            service: std::mem::take(&mut self.service),
            key: self.key,
            outcome: self.outcome,
            digest: self.digest,
            started: self.started,
            suspected: self.suspected,
            route: std::mem::take(&mut self.route),
            first_byte: self.first,
        };
        self.desk.tell(Message::Finish(end, self.idle.take()));
    }
}

/// What became of a request that asked for an upstream.
pub(crate) type Reply = Result<Lease, Refusal>;

/// What other tasks tell the desk.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request asks for an upstream.
    Admit(Box<AdmissionRequest>, oneshot::Sender<Reply>),
    /// A request waits no longer.
    Withdraw(RequestNumber),
    /// A started request ended, with its connection for another one.
    Finish(Completion, Option<Connection>),
    /// A request at the upstream has been silent since `since`.
    Suspect {
        key: UpstreamKey,
        since: Instant,
        /// True if it was silent before.
        again: bool,
    },
    /// Declarations to put in force.
    Catalog(Arc<Catalog>),
    /// The list of upstreams.
    Roster(Vec<ListedUpstream>),
    /// Other entries that are known to exist.
    Expect(usize),
    /// Whether the directory can be read.
    InTouch(bool),
    /// A report of another entry.
    Hear(PeerReport),
    /// Asks for what is to be recorded of moves.
    JudgeMoves(oneshot::Sender<Judged>),
    /// How a move stands in the directory.
    RecordMove(MoveStatus),
    /// Asks for this entry's report, and the number of reachable entries before it.
    Report(oneshot::Sender<(PeerReport, usize)>),
}

/// Reaches the desk.
#[derive(Debug, Clone)]
pub(crate) struct DeskHandle {
    messages: mpsc::UnboundedSender<Message>,
}

impl DeskHandle {
    /// Starts a desk.
    pub(crate) fn start(scheduler: Scheduler) -> Self {
        let (messages, inbox) = mpsc::unbounded_channel();
        let handle = Self { messages };
        let desk = Desk {
            scheduler,
            waiting: HashMap::new(),
            idle: HashMap::new(),
            handle: handle.clone(),
        };
        tokio::spawn(desk.run(inbox));
        handle
    }

    /// Tells the desk. It outlives every handle, so a failed send means that the process ends.
    pub(crate) fn tell(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Asks for an upstream. Dropping the future withdraws the request.
    pub(crate) async fn admit(&self, order: AdmissionRequest) -> Reply {
        let number = order.number;
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Admit(Box::new(order), reply));
        let mut waiting = Waiting { desk: self, number: Some(number) };
        let reply = answer.await;
        waiting.number = None;
        reply.unwrap_or(Err(Refusal::Overloaded(Overload::without_state(Reason::Stopping))))
    }

    /// Has the moves of traffic judged; `None` if the process ends.
    pub(crate) async fn judge_moves(&self) -> Option<Judged> {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::JudgeMoves(reply));
        answer.await.ok()
    }

    /// Tells how a move stands in the directory.
    pub(crate) fn record_move(&self, status: MoveStatus) {
        self.tell(Message::RecordMove(status));
    }

    /// Returns this entry's report and its rank; `None` if the process ends.
    pub(crate) async fn report(&self) -> Option<(PeerReport, usize)> {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Report(reply));
        answer.await.ok()
    }
}

/// Withdraws a request whose caller leaves while it waits.
struct Waiting<'a> {
    desk: &'a DeskHandle,
    number: Option<RequestNumber>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.desk.tell(Message::Withdraw(number));
        }
    }
}

struct Desk {
    scheduler: Scheduler,
    waiting: HashMap<RequestNumber, Waiter>,
    /// Idle connections, the one used last at the end.
    idle: HashMap<UpstreamKey, Vec<Connection>>,
    /// Its own address, for leases.
    handle: DeskHandle,
}

struct Waiter {
    service: ServiceId,
    route: RouteId,
    digest: Option<Digest>,
    reply: oneshot::Sender<Reply>,
}

impl Desk {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick(), if !self.waiting.is_empty() => self.tick(),
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Admit(order, reply) => self.admit(*order, reply, now),
            Message::Withdraw(number) => {
                self.waiting.remove(&number);
                self.scheduler.withdraw(number);
            }
            Message::Finish(end, idle) => {
                self.finish(&end, idle, now);
                self.pump(now);
            }
            Message::Suspect { key, since, again } => {
                self.scheduler.suspect(key, since, again, now);
                self.pump(now);
            }
            Message::Catalog(catalog) => self.scheduler.set_catalog(catalog, now),
            Message::Roster(roster) => {
                for key in self.scheduler.set_upstreams(roster) {
                    self.idle.remove(&key);
                }
                self.pump(now);
            }
            Message::InTouch(in_touch) => self.scheduler.set_directory_up(in_touch),
            Message::Expect(expected) => self.scheduler.set_peer_count(expected),
            Message::Hear(report) => self.scheduler.receive_report(report, now),
            Message::JudgeMoves(reply) => {
                let unknown = self.scheduler.unknown_moves();
                let ends = self.scheduler.judge_moves(now);
                // The asking task may have ended.
                let _ = reply.send(Judged { unknown, ends });
            }
            Message::RecordMove(status) => self.scheduler.record_move(&status.spec, status.state),
            Message::Report(reply) => {
                self.measure();
                // The asking task may have ended.
                let _ = reply.send((self.scheduler.report(now), self.scheduler.peer_rank(now)));
            }
        }
    }

    fn admit(&mut self, order: AdmissionRequest, reply: oneshot::Sender<Reply>, now: Instant) {
        self.pump(now);
        let number = order.number;
        let (service, route) = (order.service.clone(), order.route.clone());
        let waiter = Waiter { service, route, digest: order.digest, reply };
        match self.scheduler.admit(order, now) {
            Admission::Started(key) => self.grant(waiter, key, now),
            Admission::Queued => {
                self.waiting.insert(number, waiter);
            }
            Admission::Refused(refusal) => {
                // A caller that has left needs no answer.
                let _ = waiter.reply.send(Err(refusal));
            }
        }
    }

    /// Counts what waits and what is listed, for the metrics page.
    fn measure(&self) {
        metrics::gauge!("egretgate_waiting").set(self.waiting.len() as f64);
        metrics::gauge!("egretgate_upstreams").set(self.scheduler.upstreams().count() as f64);
    }

    fn tick(&mut self) {
        let now = Instant::now();
        for (number, crowd) in self.scheduler.expire(now) {
            if let Some(waiter) = self.waiting.remove(&number) {
                // A caller that has left needs no answer.
                let _ = waiter.reply.send(Err(Refusal::Overloaded(crowd)));
            }
        }
        self.pump(now);
    }

    fn pump(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        for start in self.scheduler.dispatch(now) {
            match self.waiting.remove(&start.number) {
                Some(waiter) => self.grant(waiter, start.upstream, now),
                None => unreachable!("a queued request has a place to reply to"),
            }
        }
    }

    fn grant(&mut self, waiter: Waiter, key: UpstreamKey, now: Instant) {
        let idle = self.take_idle(key, now);
        let Some(standing) = self.scheduler.upstream(key) else {
            unreachable!("an upstream that was just chosen is listed");
        };
        let lease = Lease {
            id: standing.listed.id.clone(),
            address: standing.listed.address,
            idle,
            key,
            service: waiter.service,
            digest: waiter.digest,
            started: now,
            suspected: false,
            route: waiter.route,
            first: None,
            desk: self.handle.clone(),
            outcome: Outcome::Abandoned,
        };
        // If the caller has left, dropping the lease gives the place back.
        let _ = waiter.reply.send(Ok(lease));
    }

    fn finish(&mut self, end: &Completion, idle: Option<Connection>, now: Instant) {
        let key = end.key;
        self.scheduler.finish(end, now);
        if self.scheduler.upstream(key).is_none() {
            return;
        }
        let kept = self.idle.entry(key).or_default();
        kept.extend(idle);
        if kept.len() > IDLE_CONNECTIONS {
            kept.remove(0);
        }
    }

    fn take_idle(&mut self, key: UpstreamKey, now: Instant) -> Option<Connection> {
        let kept = self.idle.get_mut(&key)?;
        kept.retain(|connection| connection.is_usable(now));
        kept.pop()
    }
}
