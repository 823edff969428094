//! The task of one request at the entry, from its arrival to the last byte of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_caller::{Call, Head, Reply, Target};
use egretgate_core::directory::{CallerClaims, ResolvedRequest, RouteSelector};
use egretgate_core::gate::Attempt;
use egretgate_core::intent;
use egretgate_core::moves;
use egretgate_core::poison::QuarantineState;
use egretgate_core::{Digest, Error, ErrorKind, Execution, Result, Ticket};
use egretgate_link::message::Offer;
use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};

use crate::entry::fleet::{ChosenUpstream, FleetMessage, RoutingRequest};
use crate::entry::journal::{CallDecision, JournalMessage, RecordedResult};
use crate::entry::state::StateView;
use crate::entry::tally::{Outcome, TallyMessage};

mod offer;

use offer::{ActiveOffer, OfferOutcome};

/// Answer length assumed if the caller names none, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 1024;
/// Maximum size of an answer that is recorded in the log, in bytes.
const MAX_RECORDED_BYTES: usize = 2 << 10;
/// Retry-after of requests that are refused because their team is at its limit.
const TEAM_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-after of a suspect while a copy of it is in flight.
const COPY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Senders to the entry's tasks, and the state that they share.
#[derive(Debug, Clone)]
pub(crate) struct Handles {
    /// Shared state, as last published.
    pub view: watch::Receiver<Arc<StateView>>,
    /// Fleet task: links to side processes, and the choice of upstreams.
    pub fleet: mpsc::Sender<FleetMessage>,
    /// Journal task: the log, and keyed calls.
    pub journal: mpsc::Sender<JournalMessage>,
    /// Tally task: service-level objectives.
    pub tally: mpsc::Sender<TallyMessage>,
    /// Logger.
    pub log: Logger,
}

/// One request at the entry.
#[derive(Debug)]
pub(crate) struct RequestTask {
    ticket: Ticket,
    call: Call,
    handles: Handles,
    arrival: Instant,
    first_token: Option<Duration>,
    tokens: u32,
    /// Upstream to which the request was last offered.
    upstream: String,
    /// Head of the answer, once it was sent to the caller.
    head: Option<Head>,
    /// Idempotency key of a keyed call: the caller's, or a generated one.
    key: Option<String>,
    /// Body of the answer so far, to be recorded in the log.
    recorded_body: Vec<u8>,
    /// True while `recorded_body` holds the whole answer so far: it is still within
    /// [`MAX_RECORDED_BYTES`].
    body_complete: bool,
    /// True while the fleet counts the request among those in flight.
    is_counted: bool,
}

impl RequestTask {
    /// Returns the task that handles `call`.
    pub(crate) fn new(ticket: Ticket, call: Call, handles: Handles) -> Self {
        Self {
            ticket,
            call,
            handles,
            arrival: Instant::now(),
            first_token: None,
            tokens: 0,
            upstream: String::new(),
            head: None,
            key: None,
            recorded_body: Vec::new(),
            body_complete: true,
            is_counted: false,
        }
    }

    /// Runs the request and sends the caller its final answer.
    pub(crate) async fn run(mut self) {
        let view = self.handles.view.borrow().clone();
        let resolved = match self.resolve(&view) {
            Ok(resolved) => resolved,
            Err(error) => return self.finish(None, Err(error)).await,
        };
        let result = self.run_within_limit(&view, &resolved).await;
        self.finish(Some(&resolved), result).await;
    }

    /// Finds the team, route and objective of the request.
    fn resolve(&self, view: &StateView) -> Result<ResolvedRequest> {
        if !view.ready {
            return Err(Error::new(ErrorKind::NotReady, "shared state is not read yet"));
        }
        let hash = self.call.credentials.key.as_ref().map(|key| hash_key(key));
        let claims = CallerClaims {
            key: hash.as_deref(),
            team: self.call.credentials.team.as_deref(),
            tier: self.call.tier.as_deref(),
        };
        let selector = match &self.call.target {
            Target::Model(model) => RouteSelector::Model(model),
            Target::Path(path) => RouteSelector::Path(path),
        };
        view.directory.resolve(claims, selector)
    }

    /// Runs the request within its team's concurrency limit.
    async fn run_within_limit(
        &mut self,
        view: &StateView,
        resolved: &ResolvedRequest,
    ) -> Result<()> {
        let (reply, admitted) = oneshot::channel();
        let acquire = FleetMessage::AcquireTeamSlot {
            team: resolved.team.clone(),
            limit: resolved.in_flight,
            reply,
        };
        let _ = self.handles.fleet.send(acquire).await;
        if !admitted.await.unwrap_or(false) {
            let error = Error::new(ErrorKind::TeamLimit, "the team is at its limit");
            return Err(error.with_retry_after(TEAM_LIMIT_RETRY_AFTER));
        }
        let result = self.run_unless_quarantined(view, resolved).await;
        let _ = self.handles.fleet.send(FleetMessage::ReleaseTeamSlot(resolved.team.clone())).await;
        result
    }

    async fn run_unless_quarantined(
        &mut self,
        view: &StateView,
        resolved: &ResolvedRequest,
    ) -> Result<()> {
        let digest = self.digest(resolved);
        let exclusive = match view.quarantine_state(digest) {
            QuarantineState::Quarantined => return Err(quarantined_error()),
            QuarantineState::Suspect => true,
            QuarantineState::Clear => false,
        };
        let result = self.run_unless_copied(resolved, digest, exclusive).await;
        if result.is_ok() {
            self.clear_suspect(digest).await;
        }
        result
    }

    /// Runs the request, unless it is a suspect and a copy of it is in flight.
    async fn run_unless_copied(
        &mut self,
        resolved: &ResolvedRequest,
        digest: Digest,
        exclusive: bool,
    ) -> Result<()> {
        let state = if exclusive { QuarantineState::Suspect } else { QuarantineState::Clear };
        self.start_copy(resolved, digest, state).await?;
        let result = if resolved.once {
            self.run_keyed_call(resolved, exclusive).await
        } else {
            self.offer_until_answered(resolved, exclusive).await
        };
        self.end_copy(digest).await;
        result
    }

    /// Has the fleet count the request as in flight; fails if it is a suspect and a copy of it is.
    async fn start_copy(
        &mut self,
        resolved: &ResolvedRequest,
        digest: Digest,
        state: QuarantineState,
    ) -> Result<()> {
        let (reply, started) = oneshot::channel();
        let service = resolved.service.clone();
        let start = FleetMessage::StartCopy { digest, state, service, reply };
        let _ = self.handles.fleet.send(start).await;
        self.is_counted = started.await.unwrap_or(false);
        if self.is_counted {
            return Ok(());
        }
        let detail = "an equal request is in flight, and an upstream died while it ran another";
        Err(Error::new(ErrorKind::Overloaded, detail).with_retry_after(COPY_RETRY_AFTER))
    }

    async fn end_copy(&mut self, digest: Digest) {
        if std::mem::take(&mut self.is_counted) {
            let _ = self.handles.fleet.send(FleetMessage::EndCopy(digest)).await;
        }
    }

    /// Returns whether the next offer must be exclusive, since an upstream may have died after the
    /// request arrived.
    async fn recheck(&mut self, resolved: &ResolvedRequest, exclusive: bool) -> Result<bool> {
        let digest = self.digest(resolved);
        let state = self.handles.view.borrow().quarantine_state(digest);
        match state {
            QuarantineState::Quarantined => Err(quarantined_error()),
            QuarantineState::Suspect if !exclusive => {
                self.end_copy(digest).await;
                self.start_copy(resolved, digest, state).await?;
                Ok(true)
            }
            QuarantineState::Suspect | QuarantineState::Clear => Ok(exclusive),
        }
    }

    /// Clears a suspect that was answered whole, since no engine died while it ran.
    async fn clear_suspect(&self, digest: Digest) {
        let state = self.handles.view.borrow().quarantine_state(digest);
        if state == QuarantineState::Suspect {
            let _ = self.handles.journal.send(JournalMessage::Cleared(digest)).await;
        }
    }

    /// Returns the digest by which the request is quarantined. Equal bodies of one route have equal
    /// digests.
    fn digest(&self, resolved: &ResolvedRequest) -> Digest {
        Digest::of(&[
            resolved.route.as_bytes(),
            self.call.method.as_bytes(),
            self.call.path.as_bytes(),
            &self.call.body,
        ])
    }

    /// Runs a keyed call: one that runs at most once for its idempotency key. It is dispatched only
    /// after its intent was read back from the log as the first for the key.
    async fn run_keyed_call(&mut self, resolved: &ResolvedRequest, exclusive: bool) -> Result<()> {
        let key =
            self.call.idempotency_key.clone().unwrap_or_else(|| format!("egret-{}", self.ticket));
        self.key = Some(key.clone());
        let (reply, decision) = oneshot::channel();
        let call = intent::KeyedCall {
            ticket: self.ticket,
            key: Digest::of(&[resolved.team.as_bytes(), resolved.route.as_bytes(), key.as_bytes()]),
            body_digest: self.digest(resolved),
            window: resolved.key_window,
            deadline: self.arrival + self.time_limit(resolved),
        };
        let begin = JournalMessage::Begin { call, reply };
        let _ = self.handles.journal.send(begin).await;
        let decided = tokio::select! {
            decided = decision => decided,
            () = self.call.reply.closed() => {
                let _ = self.handles.journal.send(JournalMessage::Abandon(self.ticket)).await;
                return Err(Error::new(ErrorKind::CallerGone, "the caller disconnected"));
            }
        };
        match decided {
            Ok(CallDecision::Dispatch) => self.dispatch_keyed_call(resolved, exclusive).await,
            Ok(CallDecision::Recorded(recorded)) => self.replay(recorded).await,
            Ok(CallDecision::Refused(error)) => Err(error),
            Err(_) => Err(Error::new(ErrorKind::Stopping, "the entry is shutting down")),
        }
    }

    async fn dispatch_keyed_call(
        &mut self,
        resolved: &ResolvedRequest,
        exclusive: bool,
    ) -> Result<()> {
        let result = self.offer_until_answered(resolved, exclusive).await;
        let ticket = self.ticket;
        let ended = match &result {
            Ok(()) => JournalMessage::Ended { ticket, recorded: self.take_recorded() },
            Err(error) if error.execution == Execution::NotRun => JournalMessage::NotRun { ticket },
            Err(_) => JournalMessage::Unknown { ticket },
        };
        let _ = self.handles.journal.send(ended).await;
        result
    }

    /// Returns the answer to be recorded in the log.
    fn take_recorded(&mut self) -> RecordedResult {
        let head = self.head.clone().unwrap_or_default();
        let body = self.body_complete.then(|| Bytes::from(std::mem::take(&mut self.recorded_body)));
        RecordedResult { status: head.status, content_type: head.content_type, body }
    }

    /// Sends the caller the answer that the log recorded for its key.
    async fn replay(&mut self, recorded: RecordedResult) -> Result<()> {
        let Some(body) = recorded.body else {
            let detail = "the call has run before; its answer was too long to be recorded";
            return Err(
                Error::new(ErrorKind::OutcomeUnknown, detail).with_execution(Execution::Executed)
            );
        };
        self.send_head(recorded.status, recorded.content_type).await?;
        self.send(Reply::Data(body)).await
    }

    /// Offers the request to one upstream after another. It is offered again only after proof that
    /// it was not run.
    async fn offer_until_answered(
        &mut self,
        resolved: &ResolvedRequest,
        mut exclusive: bool,
    ) -> Result<()> {
        let mut request = self.routing_request(resolved);
        loop {
            exclusive = self.recheck(resolved, exclusive).await?;
            request.suspect = exclusive.then(|| self.digest(resolved));
            let chosen = self.choose(&request).await?;
            if resolved.once && !self.may_dispatch().await {
                self.release(chosen).await;
                let detail = "the deadline or the key's window passed before dispatch";
                return Err(Error::new(ErrorKind::DeadlinePassed, detail));
            }
            self.upstream.clone_from(&chosen.upstream);
            request.version.clone_from(&chosen.version);
            let key = chosen.key;
            let offer = self.offer(resolved, &request, exclusive);
            let deadline = self.arrival + self.time_limit(resolved);
            let active = ActiveOffer::start(chosen, offer, deadline).await;
            let outcome = self.run_offer(active).await;
            self.report_version_outcome(&request, &outcome).await;
            match outcome {
                OfferOutcome::Whole => return Ok(()),
                OfferOutcome::Failed(error) => return Err(error),
                OfferOutcome::Refused(error) if !may_retry(error.kind) => return Err(error),
                OfferOutcome::Refused(error) => {
                    request.tried.push(Attempt { key, at: Instant::now() });
                    request.refusal = Some(error);
                }
            }
        }
    }

    /// Reports the outcome of a request, by which a new version of the route is judged.
    async fn report_version_outcome(&self, request: &RoutingRequest, offer_outcome: &OfferOutcome) {
        let outcome = match offer_outcome {
            OfferOutcome::Whole if self.head.as_ref().is_some_and(|head| head.status >= 500) => {
                moves::RequestOutcome::Error
            }
            OfferOutcome::Whole => moves::RequestOutcome::Good,
            OfferOutcome::Failed(error) if error.kind == ErrorKind::AnswerCut => {
                moves::RequestOutcome::Error
            }
            OfferOutcome::Failed(_) | OfferOutcome::Refused(_) => return,
        };
        let (route, version) = (request.route.clone(), request.version.clone());
        let message = FleetMessage::VersionOutcome { route, version, outcome };
        let _ = self.handles.fleet.send(message).await;
    }

    fn routing_request(&self, resolved: &ResolvedRequest) -> RoutingRequest {
        RoutingRequest {
            ticket: self.ticket,
            route: resolved.route.clone(),
            service: resolved.service.clone(),
            version: resolved.version.clone(),
            tier: resolved.tier,
            prompt_tokens: self.call.prompt_tokens,
            output_tokens: self.call.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
            suspect: None,
            prefix_hash: self.call.prefix_hash,
            tried: Vec::new(),
            refusal: None,
        }
    }

    async fn choose(&self, request: &RoutingRequest) -> Result<ChosenUpstream> {
        let (reply, chosen) = oneshot::channel();
        let _ =
            self.handles.fleet.send(FleetMessage::Choose { request: request.clone(), reply }).await;
        let stopping = || Error::new(ErrorKind::Stopping, "the entry is shutting down");
        chosen.await.unwrap_or_else(|_| Err(stopping()))
    }

    /// Asks the journal, right before the offer is sent, whether the call may still be dispatched.
    async fn may_dispatch(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        let message = JournalMessage::MayDispatch { ticket: self.ticket, reply };
        let _ = self.handles.journal.send(message).await;
        answer.await.unwrap_or(false)
    }

    /// Releases an upstream to which the request is not offered after all.
    async fn release(&self, chosen: ChosenUpstream) {
        let ChosenUpstream { key, in_flight, .. } = chosen;
        let _ = self.handles.fleet.send(FleetMessage::Ended { key, in_flight, tokens: 0 }).await;
    }

    fn offer(
        &self,
        resolved: &ResolvedRequest,
        request: &RoutingRequest,
        exclusive: bool,
    ) -> Offer {
        let time_left =
            (self.arrival + self.time_limit(resolved)).saturating_duration_since(Instant::now());
        Offer {
            ticket: Some(self.ticket.into()),
            route: resolved.route.clone(),
            team: resolved.team.clone(),
            tier: resolved.tier.into(),
            deadline_ms: time_left.as_millis() as u64,
            version: request.version.clone(),
            prompt_tokens: self.call.prompt_tokens,
            output_tokens: request.output_tokens,
            digest: Bytes::copy_from_slice(self.digest(resolved).as_bytes()),
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            content_type: self.call.content_type.clone(),
            body: self.call.body.clone(),
            key: self.key.clone().or_else(|| self.call.idempotency_key.clone()).unwrap_or_default(),
            exclusive,
            credit: offer::CREDIT_WINDOW,
            stream: self.call.stream,
        }
    }

    /// Returns the time from arrival to the deadline.
    fn time_limit(&self, resolved: &ResolvedRequest) -> Duration {
        self.call.deadline.unwrap_or_else(|| resolved.tier_spec.deadline())
    }

    /// Sends the caller the head of the answer.
    async fn send_head(&mut self, status: u16, content_type: String) -> Result<()> {
        let ticket = self.ticket.to_string();
        let head = Head { status, content_type, ticket, idempotency_key: self.key.clone() };
        self.head = Some(head.clone());
        self.send(Reply::Head(head)).await
    }

    /// Sends the caller a part of the answer, and keeps it for the log if the call has a key.
    async fn send_data(&mut self, data: Bytes) -> Result<()> {
        if self.key.is_some() {
            self.body_complete &= self.recorded_body.len() + data.len() <= MAX_RECORDED_BYTES;
            if self.body_complete {
                self.recorded_body.extend_from_slice(&data);
            }
        }
        self.send(Reply::Data(data)).await
    }

    async fn send(&self, reply: Reply) -> Result<()> {
        let caller_gone = |_| Error::new(ErrorKind::CallerGone, "the caller disconnected");
        self.call.reply.send(reply).await.map_err(caller_gone)
    }

    /// Sends the caller its final answer, logs it and counts it.
    async fn finish(self, resolved: Option<&ResolvedRequest>, result: Result<()>) {
        self.record_outcome(resolved, &result).await;
        let last = match result {
            Ok(()) => Reply::End,
            Err(error) => Reply::Failed(error),
        };
        let _ = self.call.reply.send(last).await;
    }

    async fn record_outcome(&self, resolved: Option<&ResolvedRequest>, result: &Result<()>) {
        let code = result.as_ref().err().map_or("ok", |error| error.kind.code());
        let execution = result.as_ref().err().map_or(Execution::Executed, |error| error.execution);
        let team = resolved.map_or("", |resolved| &resolved.team);
        let tier = resolved.map_or("", |resolved| &resolved.tier_name);
        metrics::counter!("egretgate_requests_total", "outcome" => code).increment(1);
        info!(self.handles.log, "request ended";
            "request" => self.ticket.to_string(),
            "team" => team,
            "tier" => tier,
            "route" => resolved.map_or("", |resolved| &resolved.route),
            "upstream" => &self.upstream,
            "outcome" => code,
            "ran" => execution.as_str(),
            "ms" => self.arrival.elapsed().as_millis() as u64);
        let Some(resolved) = resolved else { return };
        let outcome = Outcome {
            team: resolved.team.clone(),
            tier: resolved.tier,
            met_objective: self.meets_objective(resolved, result),
        };
        let _ = self.handles.tally.send(TallyMessage::Ended(outcome)).await;
    }

    /// Returns whether the request met its objective. One that was answered with an error did not;
    /// an answer that is not streamed has no latency targets.
    fn meets_objective(&self, resolved: &ResolvedRequest, result: &Result<()>) -> bool {
        if result.is_err() || self.head.as_ref().is_some_and(|head| head.status >= 500) {
            return false;
        }
        let Some(first_token) = self.first_token.filter(|_| self.call.stream) else { return true };
        let objective = &resolved.tier_spec;
        let rest = self.arrival.elapsed().saturating_sub(first_token);
        let inter_token = rest / self.tokens.saturating_sub(1).max(1);
        first_token <= Duration::from_millis(objective.first_token_ms)
            && inter_token <= Duration::from_millis(objective.between_tokens_ms)
    }
}

/// Returns whether a refused request may be offered to another upstream.
const fn may_retry(kind: ErrorKind) -> bool {
    !matches!(kind, ErrorKind::Quarantined | ErrorKind::DeadlinePassed | ErrorKind::CallerGone)
}

fn quarantined_error() -> Error {
    Error::new(ErrorKind::Quarantined, "upstreams died while they ran this request")
}

/// Returns the hash of a bearer key, by which declarations store it.
fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
