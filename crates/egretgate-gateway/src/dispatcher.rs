//! The task that owns the scheduler and the idle connections to upstreams.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use egretgate_core::gateway::admission::{
    Admission, AdmissionRequest, BrokenRun, Completion, Overload, Reason, Refusal, Start,
    UpstreamKey,
};
use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::cold_start::ColdCause;
use egretgate_core::gateway::counted_entries::ListedEntry;
use egretgate_core::gateway::crash_quarantine::SuspectChange;
use egretgate_core::gateway::panic_limit::PanicLimit;
use egretgate_core::gateway::peer::PeerReport;
use egretgate_core::gateway::prompt_part::PartHash;
use egretgate_core::gateway::request_queue::RequestNumber;
use egretgate_core::gateway::scheduler::{EntryUpkeep, Scheduler};
use egretgate_core::gateway::silent_runs::SilentCrash;
use egretgate_core::gateway::traffic_move::{MoveStatus, RejectReason, Rejection};
use egretgate_core::gateway::upstream::{ListedUpstream, Outcome, UpstreamState};
use egretgate_core::moves::TakeBackReason;
use egretgate_core::{Digest, RouteId, ServiceId, UpstreamId};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use crate::connect::Connection;
use crate::moves::PendingMoves;
use crate::tasks::{Tasks, guard};
use crate::upstream_check::UpstreamCheck;

/// Name of the task.
const TASK: &str = "dispatcher";
/// Interval at which the queue is checked while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Largest number of comparisons that are logged for a version that is rejected.
const MAX_LOGGED_FINDINGS: usize = 4;
/// Largest number of idle connections kept per upstream; no more connections than the upstream has
/// slots are ever in use at once.
const IDLE_CONNECTIONS: usize = 16;

/// A request's slot at an upstream. Dropping the permit frees the slot.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    /// Name of the upstream.
    pub(crate) id: UpstreamId,
    /// Address of the upstream.
    pub(crate) address: SocketAddr,
    /// An open connection that was idle, if there is one.
    pub(crate) idle: Option<Connection>,
    key: UpstreamKey,
    service: ServiceId,
    digest: Option<Digest>,
    parts: Arc<[PartHash]>,
    /// Time from the first to the last data of a successful answer; `None` if there was no data.
    wrote: Option<Duration>,
    started: Instant,
    /// True once [`SlotPermit::suspect`] was called.
    suspected: bool,
    /// True if the upstream had a limit when the permit was granted.
    limited: bool,
    /// True if it was known that upstreams of the service state their pace.
    states_pace: bool,
    route: RouteId,
    first_byte: Option<Duration>,
    dispatcher: DispatcherHandle,
    outcome: Outcome,
}

impl SlotPermit {
    /// Ends the request at the upstream; the connection in `idle` is kept for another request.
    pub(crate) fn finish(mut self, outcome: Outcome, idle: Option<Connection>) {
        self.outcome = outcome;
        self.idle = idle;
    }

    /// Records that the head of the answer has arrived.
    pub(crate) fn record_head(&mut self) {
        self.first_byte = Some(self.started.elapsed());
    }

    /// Records the time from the first to the last data of a successful answer.
    pub(crate) const fn record_writing(&mut self, time: Duration) {
        self.wrote = Some(time);
    }

    /// Records the limit that the answer states.
    pub(crate) fn record_limit(&self, limit: Option<f64>) {
        if limit.is_some() || self.limited {
            self.dispatcher.send(Message::Limit { key: self.key, limit });
        }
    }

    /// Records for how long the answer states that the upstream stays cold.
    pub(crate) fn record_cold(&self, cold_for: Duration) {
        self.dispatcher.send(Message::Cold { key: self.key, cold_for });
    }

    /// Records that the answer states the pace of the upstream.
    pub(crate) fn record_pace(&self) {
        if !self.states_pace {
            self.dispatcher.send(Message::Pace(self.service.clone()));
        }
    }

    /// Records that the upstream wants no requests for a while.
    pub(crate) fn record_pause(&self, pause: Duration) {
        self.dispatcher.send(Message::Pause {
            key: self.key,
            pause,
            until: Instant::now() + pause,
        });
    }

    /// Records that the answer states that the upstream leaves.
    pub(crate) fn record_leaving(&self) {
        self.dispatcher.send(Message::Leaving(self.key));
    }

    /// Records that the upstream has sent nothing since `since`.
    pub(crate) fn suspect(&mut self, since: Instant) {
        let again = std::mem::replace(&mut self.suspected, true);
        self.dispatcher.send(Message::Suspect { key: self.key, since, again });
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let completion = Completion {
            service: std::mem::take(&mut self.service),
            key: self.key,
            outcome: self.outcome,
            digest: self.digest,
            parts: Arc::clone(&self.parts),
            wrote: self.wrote,
            started: self.started,
            suspected: self.suspected,
            route: std::mem::take(&mut self.route),
            first_byte: self.first_byte,
        };
        let check = (self.outcome == Outcome::InvalidAnswer).then(|| UpstreamCheck {
            key: self.key,
            address: self.address,
            run: BrokenRun {
                upstream: std::mem::take(&mut self.id),
                digest: self.digest,
                parts: Arc::clone(&self.parts),
                wrote: self.wrote,
                at: Instant::now(),
            },
        });
        self.dispatcher.send(Message::Finish(completion, self.idle.take()));
        if let Some(check) = check {
            self.dispatcher.send(Message::Check(check));
        }
    }
}

/// The permit or the refusal of a request for an upstream.
pub(crate) type AdmitResult = Result<SlotPermit, Refusal>;

/// A message to the dispatcher.
#[derive(Debug)]
pub(crate) enum Message {
    /// Requests an upstream.
    Admit(Box<AdmissionRequest>, oneshot::Sender<AdmitResult>),
    /// Withdraws a waiting request.
    Withdraw(RequestNumber),
    /// Reports the end of a started request, with its connection if another request may use it.
    Finish(Completion, Option<Connection>),
    /// Requests a check of the upstream of a run that broke.
    Check(UpstreamCheck),
    /// Reports that the upstream of a run that broke is up, with a new connection to it if it left
    /// one open.
    UpstreamUp(BrokenRun, UpstreamKey, Option<Connection>),
    /// Reports that the upstream of a run that broke is down.
    Crashed(BrokenRun),
    /// Reports that the upstream has sent nothing for a request since `since`.
    Suspect {
        key: UpstreamKey,
        since: Instant,
        /// True if this was already reported for the same request.
        again: bool,
    },
    /// Reports the limit that an upstream states, in requests per second.
    Limit { key: UpstreamKey, limit: Option<f64> },
    /// Reports that upstreams of a service state their pace.
    Pace(ServiceId),
    /// Reports that an upstream wants no requests from this entry for a while.
    Pause { key: UpstreamKey, pause: Duration, until: Instant },
    /// Reports that an upstream states that it leaves.
    Leaving(UpstreamKey),
    /// Applies declarations.
    Catalog(Arc<Catalog>),
    /// Replaces the list of upstreams.
    Upstreams(Vec<ListedUpstream>),
    /// Reports the entries in the directory and requests what to do about the list; `own` is the
    /// address of this one.
    Entries { own: SocketAddr, listed: Vec<ListedEntry>, result: oneshot::Sender<EntryUpkeep> },
    /// Reports that the list of entries could not be read.
    EntriesUnreadable,
    /// Reports that this entry has written its record, by a call that began at this time.
    OwnRenewal(Instant),
    /// Reports for how long an upstream states to stay cold.
    Cold { key: UpstreamKey, cold_for: Duration },
    /// Reports whether the directory can be read.
    DirectoryUp(bool),
    /// Passes on a report of another entry.
    PeerReport(PeerReport),
    /// Requests the states of moves to record.
    JudgeMoves(oneshot::Sender<PendingMoves>),
    /// Reports the state of a move in the directory.
    RecordMove(MoveStatus),
    /// Requests this entry's report.
    Report(oneshot::Sender<OwnReport>),
}

/// This entry's report, with what its tasks need to know.
#[derive(Debug)]
pub(crate) struct OwnReport {
    pub(crate) report: PeerReport,
    /// Rank of this entry.
    pub(crate) rank: usize,
    /// True if this entry must renew its record in the directory.
    pub(crate) must_renew: bool,
}

/// Sends messages to the dispatcher.
#[derive(Debug, Clone)]
pub(crate) struct DispatcherHandle {
    messages: mpsc::UnboundedSender<Message>,
}

impl DispatcherHandle {
    /// Starts a dispatcher.
    pub(crate) fn start(scheduler: Scheduler, tasks: Tasks, log: Logger) -> Self {
        let (messages, receiver) = mpsc::unbounded_channel();
        let handle = Self { messages };
        let dispatcher = Dispatcher {
            scheduler,
            waiting: HashMap::new(),
            starts: VecDeque::new(),
            idle: HashMap::new(),
            admission_panics: PanicLimit::default(),
            report_panics: PanicLimit::default(),
            handle: handle.clone(),
            has_part: true,
            tasks: tasks.clone(),
            log,
        };
        tasks.spawn_vital(TASK, dispatcher.run(receiver));
        handle
    }

    /// Sends a message. The dispatcher outlives every handle, so a send fails only when the process
    /// ends.
    pub(crate) fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Requests an upstream. Dropping the future withdraws the request.
    pub(crate) async fn admit(&self, request: AdmissionRequest) -> AdmitResult {
        let number = request.number;
        let (result_sender, result) = oneshot::channel();
        self.send(Message::Admit(Box::new(request), result_sender));
        let mut withdraw = WithdrawOnDrop { dispatcher: self, number: Some(number) };
        let result = result.await;
        withdraw.number = None;
        result.unwrap_or(Err(Refusal::Overloaded(Overload::without_state(Reason::Failed))))
    }

    /// Requests the states of moves to record; `None` if the dispatcher fails.
    pub(crate) async fn judge_moves(&self) -> Option<PendingMoves> {
        let (result_sender, result) = oneshot::channel();
        self.send(Message::JudgeMoves(result_sender));
        result.await.ok()
    }

    /// Reports the state of a move in the directory.
    pub(crate) fn record_move(&self, status: MoveStatus) {
        self.send(Message::RecordMove(status));
    }

    /// Reports the entries in the directory and returns what to do about the list; `None` if the
    /// dispatcher fails.
    pub(crate) async fn record_entries(
        &self,
        own: SocketAddr,
        listed: Vec<ListedEntry>,
    ) -> Option<EntryUpkeep> {
        let (result_sender, result) = oneshot::channel();
        self.send(Message::Entries { own, listed, result: result_sender });
        result.await.ok()
    }

    /// Returns this entry's report; `None` if the dispatcher fails.
    pub(crate) async fn report(&self) -> Option<OwnReport> {
        let (result_sender, result) = oneshot::channel();
        self.send(Message::Report(result_sender));
        result.await.ok()
    }
}

/// Withdraws a request whose caller leaves while it waits.
struct WithdrawOnDrop<'a> {
    dispatcher: &'a DispatcherHandle,
    number: Option<RequestNumber>,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.dispatcher.send(Message::Withdraw(number));
        }
    }
}

struct Dispatcher {
    scheduler: Scheduler,
    waiting: HashMap<RequestNumber, Waiter>,
    /// Decisions that are not granted yet.
    starts: VecDeque<Start>,
    admission_panics: PanicLimit,
    report_panics: PanicLimit,
    /// Idle connections, the most recently used one at the end.
    idle: HashMap<UpstreamKey, Vec<Connection>>,
    /// Handle to this dispatcher, for permits.
    handle: DispatcherHandle,
    /// True if this entry had a part of the limits when that was last logged.
    has_part: bool,
    tasks: Tasks,
    log: Logger,
}

/// What the dispatcher must be able to do for the entry to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Duty {
    /// Decide on requests.
    Admit,
    /// Report to the other entries.
    Report,
    /// Anything else.
    Other,
}

struct Waiter {
    service: ServiceId,
    route: RouteId,
    digest: Option<Digest>,
    parts: Arc<[PartHash]>,
    result_sender: oneshot::Sender<AdmitResult>,
}

impl Dispatcher {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick(), if !self.waiting.is_empty() => {
                    self.work(Duty::Admit, Self::tick);
                }
                message = receiver.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
            }
        }
    }

    /// Handles a message. One that leads to a panic is dropped, which refuses the request that it
    /// belongs to, and everything else goes on.
    fn receive(&mut self, message: Message) {
        let now = Instant::now();
        self.work(Duty::Other, Self::log_ejections);
        match message {
            Message::Admit(request, result_sender) => {
                let number = request.number;
                let admit = |dispatcher: &mut Self| dispatcher.admit(*request, result_sender, now);
                if !self.work(Duty::Admit, admit) {
                    self.work(Duty::Other, |dispatcher| dispatcher.withdraw(number, now));
                }
            }
            Message::Finish(completion, idle) => self.finish(completion, idle, now),
            Message::Report(result_sender) => {
                self.work(Duty::Report, |dispatcher| dispatcher.report(result_sender, now));
            }
            message => {
                self.work(Duty::Other, |dispatcher| dispatcher.handle(message, now));
            }
        }
        if !self.starts.is_empty() {
            self.work(Duty::Other, |dispatcher| dispatcher.grant_starts(now));
        }
    }

    /// Does a piece of work; returns false if it panicked. The entry fails if a duty is never done.
    fn work(&mut self, duty: Duty, work: impl FnOnce(&mut Self)) -> bool {
        let log = self.log.clone();
        let done = guard(&log, TASK, || work(self)).is_some();
        let limit = match duty {
            Duty::Admit => &mut self.admission_panics,
            Duty::Report => &mut self.report_panics,
            Duty::Other => return done,
        };
        if done {
            limit.record_success();
        } else if limit.record_panic(Instant::now()) {
            self.tasks.fail(TASK);
        }
        done
    }

    fn handle(&mut self, message: Message, now: Instant) {
        match message {
            Message::Admit(..) | Message::Finish(..) | Message::Report(_) => {
                unreachable!("handled by their own functions")
            }
            Message::Withdraw(number) => self.withdraw(number, now),
            Message::Check(check) => {
                let check = check.finish(self.handle.clone(), self.log.clone());
                self.tasks.spawn("upstream check", check);
            }
            Message::UpstreamUp(run, key, connection) => {
                self.scheduler.record_upstream_up(&run, now);
                self.keep_idle(key, connection);
            }
            Message::Crashed(run) => {
                self.scheduler.record_crash(&run, now);
                self.log_suspects();
            }
            Message::Suspect { key, since, again } => {
                self.scheduler.suspect(key, since, again, now);
                self.dispatch(now);
            }
            Message::Limit { key, limit } => {
                if let Some(change) = self.scheduler.record_limit(key, limit, now) {
                    info!(self.log, "limit of an upstream"; "upstream" => change.id,
                        "per_second" => change.limit, "before" => change.before);
                }
            }
            Message::Pace(service) => {
                if !self.scheduler.states_pace(&service) {
                    info!(self.log, "slots are reserved by need"; "service" => &service);
                    self.scheduler.record_pace(&service);
                }
            }
            Message::Pause { key, pause, until } => {
                if let Some(id) = self.scheduler.pause(key, until) {
                    info!(self.log, "upstream pauses"; "upstream" => id,
                        "for_ms" => pause.as_millis() as u64);
                }
            }
            Message::Leaving(key) => {
                self.scheduler.record_leaving(key);
                self.log_departures();
            }
            Message::Catalog(catalog) => {
                self.scheduler.set_catalog(catalog, now);
                self.log_zone_changes();
            }
            Message::Upstreams(upstreams) => {
                for key in self.scheduler.set_upstreams(upstreams) {
                    self.idle.remove(&key);
                }
                self.scheduler.record_listed_cold(now);
                self.scheduler.judge_silence(now);
                self.log_suspects();
                self.dispatch(now);
            }
            Message::DirectoryUp(is_up) => self.scheduler.set_directory_up(is_up),
            Message::Entries { own, listed, result } => {
                let upkeep = self.scheduler.record_entries(own, &listed, now);
                self.log_entry_changes();
                // The requesting task may have ended.
                let _ = result.send(upkeep);
            }
            Message::EntriesUnreadable => self.scheduler.record_entries_unreadable(),
            Message::OwnRenewal(begun) => self.scheduler.record_own_renewal(begun),
            Message::Cold { key, cold_for } => self.scheduler.record_cold(key, cold_for, now),
            Message::PeerReport(report) => {
                self.scheduler.receive_report(report, now);
                self.log_suspects();
                self.log_departures();
            }
            Message::JudgeMoves(result_sender) => {
                let unknown = self.scheduler.unknown_moves();
                let changes = self.scheduler.judge_moves(now);
                self.log_rejections();
                let recorded = self.scheduler.recorded_moves(now);
                // The requesting task may have ended.
                let _ = result_sender.send(PendingMoves { unknown, changes, recorded });
            }
            Message::RecordMove(status) => self.scheduler.record_move(&status.spec, status.state),
        }
    }

    fn report(&mut self, result_sender: oneshot::Sender<OwnReport>, now: Instant) {
        self.set_gauges();
        self.log_cold_changes();
        self.log_entry_changes();
        self.scheduler.judge_silence(now);
        self.log_suspects();
        let report = self.scheduler.report(now);
        let rank = self.scheduler.peer_rank(now);
        let must_renew = self.scheduler.must_renew(now);
        // The requesting task may have ended.
        let _ = result_sender.send(OwnReport { report, rank, must_renew });
    }

    fn admit(
        &mut self,
        request: AdmissionRequest,
        result_sender: oneshot::Sender<AdmitResult>,
        now: Instant,
    ) {
        self.dispatch(now);
        let number = request.number;
        let (service, route) = (request.service.clone(), request.route.clone());
        let (digest, parts) = (request.digest, Arc::clone(&request.parts));
        let waiter = Waiter { service, route, digest, parts, result_sender };
        match self.scheduler.admit(request, now) {
            Admission::Started(key) => self.grant(waiter, key, now),
            Admission::Queued => {
                self.waiting.insert(number, waiter);
            }
            Admission::Refused(refusal) => {
                // A caller that has left needs no answer.
                let _ = waiter.result_sender.send(Err(refusal));
            }
        }
        self.log_suspects();
    }

    fn withdraw(&mut self, number: RequestNumber, now: Instant) {
        self.scheduler.withdraw(number, now);
        self.waiting.remove(&number);
    }

    /// Sets the gauges of waiting requests and listed upstreams.
    fn set_gauges(&self) {
        metrics::gauge!("egretgate_waiting").set(self.waiting.len() as f64);
        metrics::gauge!("egretgate_entries").set(self.scheduler.entries() as f64);
        metrics::gauge!("egretgate_upstreams").set(self.scheduler.upstreams().count() as f64);
        metrics::gauge!("egretgate_expected_returns").set(self.scheduler.expected_returns() as f64);
        metrics::gauge!("egretgate_teams_in_debt").set(self.scheduler.teams_in_debt() as f64);
        metrics::gauge!("egretgate_quarantined_parts")
            .set(self.scheduler.quarantined_parts() as f64);
        metrics::gauge!("egretgate_quarantined_requests")
            .set(self.scheduler.quarantined_requests() as f64);
        let drained = self.scheduler.upstreams().filter(|upstream| upstream.is_drained());
        metrics::gauge!("egretgate_upstreams_drained").set(drained.count() as f64);
        for (service, slots) in self.scheduler.reserved_slots() {
            metrics::gauge!("egretgate_reserved_slots", "service" => service.clone()).set(slots);
        }
        let leaving = self.scheduler.upstreams().filter(|upstream| upstream.is_leaving());
        metrics::gauge!("egretgate_upstreams_leaving").set(leaving.count() as f64);
        metrics::gauge!("egretgate_upstreams_ejected").set(self.scheduler.ejected_count() as f64);
        let now = Instant::now();
        let is_paused = |upstream: &&UpstreamState| !upstream.pause_left(now).is_zero();
        let paused = self.scheduler.upstreams().filter(is_paused);
        metrics::gauge!("egretgate_upstreams_paused").set(paused.count() as f64);
        let limited = self.scheduler.upstreams().filter(|upstream| upstream.limit().is_some());
        metrics::gauge!("egretgate_upstreams_limited").set(limited.count() as f64);
        let is_cold = |upstream: &&UpstreamState| !upstream.cold_left(now).is_zero();
        let cold = self.scheduler.upstreams().filter(is_cold);
        metrics::gauge!("egretgate_upstreams_cold").set(cold.count() as f64);
        metrics::counter!("egretgate_cold_holds_total").absolute(self.scheduler.cold_holds());
    }

    fn tick(&mut self) {
        let now = Instant::now();
        for (number, refusal) in self.scheduler.expire(now) {
            if let Some(waiter) = self.waiting.remove(&number) {
                // A caller that has left needs no answer.
                let _ = waiter.result_sender.send(Err(refusal));
            }
        }
        self.dispatch(now);
    }

    fn dispatch(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        self.starts.extend(self.scheduler.dispatch(now));
        self.grant_starts(now);
    }

    fn grant_starts(&mut self, now: Instant) {
        while let Some(start) = self.starts.pop_front() {
            match self.waiting.remove(&start.number) {
                Some(waiter) => self.grant(waiter, start.upstream, now),
                None => unreachable!("a queued request has a waiter"),
            }
        }
    }

    fn grant(&mut self, waiter: Waiter, key: UpstreamKey, now: Instant) {
        let Some(upstream) = self.scheduler.upstream(key) else {
            unreachable!("an upstream that was just chosen is listed");
        };
        let mut permit = SlotPermit {
            id: upstream.listed.id.clone(),
            address: upstream.listed.address,
            idle: None,
            key,
            states_pace: self.scheduler.states_pace(&waiter.service),
            service: waiter.service,
            digest: waiter.digest,
            parts: waiter.parts,
            wrote: None,
            started: now,
            suspected: false,
            limited: upstream.limit().is_some(),
            route: waiter.route,
            first_byte: None,
            dispatcher: self.handle.clone(),
            outcome: Outcome::Abandoned,
        };
        permit.idle = self.take_idle(key, now);
        // If the caller has left, dropping the permit frees the slot.
        let _ = waiter.result_sender.send(Ok(permit));
    }

    /// Logs which upstreams are newly known to leave.
    fn log_departures(&mut self) {
        for departure in self.scheduler.take_departures() {
            info!(self.log, "upstream leaves";
                "upstream" => departure.id,
                "told_by" => departure.told_by.as_deref().unwrap_or("itself"));
        }
    }

    /// Logs which entries have stopped counting or count again, and whether this one still has a
    /// part of the limits.
    fn log_entry_changes(&mut self) {
        for change in self.scheduler.take_entry_changes() {
            info!(self.log, "entry counts";
                "entry" => change.name,
                "counts" => change.counts,
                "silent_ms" => change.silent.map(|age| age.as_millis() as u64),
                "unrenewed_ms" => change.unrenewed.map(|age| age.as_millis() as u64),
                "entries" => self.scheduler.entries());
        }
        let has_part = self.scheduler.has_part(Instant::now());
        if std::mem::replace(&mut self.has_part, has_part) != has_part {
            warn!(self.log, "part of the limits"; "has_part" => has_part,
                "entries" => self.scheduler.entries());
        }
    }

    /// Logs which new versions get no more requests from this entry, and why.
    fn log_rejections(&mut self) {
        for Rejection { spec, reason } in self.scheduler.take_rejections() {
            let (reason, details) = match reason {
                RejectReason::Bad(bad) => {
                    let route = bad.route.as_deref().unwrap_or("*");
                    let (metric, excess) = (bad.metric, bad.excess);
                    let (old, new) = (bad.old, bad.new);
                    let counts = format!(
                        "route={route} metric={} excess={excess:.1} old={}/{} new={}/{}",
                        metric.as_str(),
                        old.bad_requests(metric),
                        old.total,
                        new.bad_requests(metric),
                        new.total
                    );
                    ("turned_bad", counts)
                }
                RejectReason::Compared(reason, findings) => {
                    let reason = match reason {
                        TakeBackReason::Worse => "worse",
                        TakeBackReason::Stopped(_) => "stopped",
                        TakeBackReason::Unproven => "unproven",
                    };
                    let findings = findings.iter().take(MAX_LOGGED_FINDINGS);
                    let findings: Vec<String> = findings.map(ToString::to_string).collect();
                    (reason, findings.join("; "))
                }
            };
            warn!(self.log, "version rejected"; "service" => spec.service, "target" => spec.target,
                "reason" => reason, "findings" => details);
        }
    }

    /// Logs which upstreams have become cold or warm.
    fn log_cold_changes(&mut self) {
        for change in self.scheduler.take_cold_changes() {
            info!(self.log, "upstream is cold or warm"; "upstream" => change.id,
                "cause" => change.cause.map_or("warm", ColdCause::as_str),
                "left_ms" => change.time_left.as_millis() as u64);
        }
    }

    /// Logs which zones are drained or restored from now on.
    fn log_zone_changes(&mut self) {
        for change in self.scheduler.take_zone_changes() {
            let event = if change.drained { "zone drained" } else { "zone restored" };
            let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let since = if change.drained { since.unwrap_or_default() } else { Duration::ZERO };
            metrics::gauge!("egretgate_zone_drained_since_seconds", "zone" => change.zone.clone())
                .set(since.as_secs_f64());
            if change.upstreams == 0 {
                warn!(self.log, "zone without upstreams"; "event" => event, "zone" => change.zone);
            } else {
                info!(self.log, "zone"; "event" => event, "zone" => change.zone,
                    "upstreams" => change.upstreams);
            }
        }
    }

    /// Logs which upstreams get no requests since they fail, and which get requests again.
    fn log_ejections(&mut self) {
        for (id, change) in self.scheduler.take_ejection_changes() {
            info!(self.log, "upstream fails";
                "upstream" => id,
                "event" => change.event.as_str(),
                "failed" => format!("{:.1}", change.answers.failed),
                "answered" => format!("{:.1}", change.answers.answered),
                "expected" => format!("{:.1}", change.expected),
                "number" => change.number,
                "for_ms" => change.pause.as_millis() as u64,
                "ejected" => self.scheduler.ejected_count());
        }
    }

    /// Logs what has changed in the quarantine of requests and of prompt parts.
    fn log_suspects(&mut self) {
        for SilentCrash { upstream, digest, sign, age } in self.scheduler.take_silent_crashes() {
            info!(self.log, "silent upstream has crashed";
                "upstream" => upstream,
                "digest" => digest.map(|digest| format!("{:016x}", digest.prefix())),
                "sign" => sign.as_str(),
                "silent_ms" => age.as_millis() as u64);
        }
        for SuspectChange { suspect, event, crashes, .. } in self.scheduler.take_request_changes() {
            info!(self.log, "crashing request";
                "digest" => format!("{suspect:016x}"),
                "event" => event.as_str(),
                "crashes" => crashes);
        }
        for change in self.scheduler.take_part_changes() {
            info!(self.log, "prompt part";
                "part" => format!("{:016x}", change.suspect),
                "event" => change.event.as_str(),
                "crashes" => change.crashes,
                "others_sound" => change.others.sound,
                "others_broken" => change.others.broken);
        }
    }

    fn finish(&mut self, completion: Completion, idle: Option<Connection>, now: Instant) {
        let key = completion.key;
        let record = |dispatcher: &mut Self| dispatcher.scheduler.finish(&completion, now);
        if !self.work(Duty::Other, record) {
            // The slot is freed without what the answer tells. One that is freed twice is counted
            // too low until its upstream is idle; one that is never freed would be lost.
            let Completion { service, started, .. } = completion;
            let bare = Completion::new(service, key, Outcome::Abandoned, started);
            self.work(Duty::Other, |dispatcher| dispatcher.scheduler.finish(&bare, now));
        }
        self.work(Duty::Other, |dispatcher| {
            dispatcher.log_suspects();
            dispatcher.keep_idle(key, idle);
            dispatcher.dispatch(now);
        });
    }

    /// Keeps a connection to an upstream for another request.
    fn keep_idle(&mut self, key: UpstreamKey, idle: Option<Connection>) {
        if self.scheduler.upstream(key).is_none() {
            return;
        }
        let idle_connections = self.idle.entry(key).or_default();
        idle_connections.extend(idle);
        if idle_connections.len() > IDLE_CONNECTIONS {
            idle_connections.remove(0);
        }
    }

    fn take_idle(&mut self, key: UpstreamKey, now: Instant) -> Option<Connection> {
        let idle_connections = self.idle.get_mut(&key)?;
        idle_connections.retain(|connection| connection.is_usable(now));
        idle_connections.pop()
    }
}
