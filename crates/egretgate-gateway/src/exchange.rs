//! One request, from its head to the head of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::UpstreamId;
use egretgate_core::gateway::admission::{AdmissionRequest, Overload, Refusal};
use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::request_queue::RequestNumber;
use egretgate_core::gateway::token_bucket::Shortage;
use egretgate_core::gateway::upstream::Outcome;
use egretgate_core::gateway::wait_limits;
use http::header::CONTENT_LENGTH;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use slog::{Logger, info};
use tokio::time::error::Elapsed;
use tokio::time::timeout_at;

use crate::answer::{Body, Fault, full, streamed};
use crate::attempt::{
    Attempt, BodyRead, MAX_BUFFERED_BYTES, failed_attempt, is_invalid, is_malformed, read_body,
    refused_attempt, respond,
};
use crate::connect::{self, Connection, SendError};
use crate::dialect::{Dialect, ForwardHead};
use crate::dispatcher::{DispatcherHandle, SlotPermit};
use crate::framing::Framing;
use crate::headers::{prepare_request, strip_connection};
use crate::held::{HeldBudget, Holder};
use crate::plan::{CallerRequest, Plan};
use crate::read_ahead::ReadAhead;
use crate::relay::{Relay, UpstreamAnswer};

mod handover;

pub(crate) use handover::{AfterSilence, Handover, NextSent, PresentUpstream};

/// Silence after which an upstream is suspected; first events take some 50 ms.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Silence after which another upstream is asked for an idempotent call, in objectives of its route.
const CALL_SILENCE_OBJECTIVES: u32 = 2;
/// Silence after which another upstream is asked for a resumable stream; callers leave after 2 s.
const STREAM_SILENCE: Duration = Duration::from_millis(1_100);
/// Attempts that fail to reach an upstream before a request is refused.
const MAX_UNREACHABLE_ATTEMPTS: u32 = 4;
/// Fraction of a stream's time that is left when migration is first considered: nearly all answers
/// have ended by then, and a faster upstream still has the time to end the others.
const MIGRATION_FRACTION: f64 = 0.4;
/// Remaining time that is too short for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Retry-after of a request that no upstream has run.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(150);

/// State that all exchanges share.
pub(crate) struct ExchangeContext {
    /// Reads and writes the platform's headers.
    pub(crate) dialect: Box<dyn Dialect>,
    /// Grants slots at upstreams.
    pub(crate) dispatcher: DispatcherHandle,
    /// Bounds what is held for callers.
    pub(crate) held: HeldBudget,
    /// Logger.
    pub(crate) log: Logger,
}

/// A request that is being served.
pub(crate) struct Exchange {
    context: Arc<ExchangeContext>,
    request: CallerRequest,
    plan: Plan,
    number: RequestNumber,
    holder: Arc<Holder>,
    ahead: ReadAhead,
    /// Attempts that may have reached an upstream.
    attempts: u32,
    /// True once an attempt may have run.
    may_have_run: bool,
    /// Upstreams that must not get the request again.
    avoid: Vec<UpstreamId>,
    /// Upstream of the last attempt.
    upstream: UpstreamId,
    /// Limit that the upstream stated in its last answer, in requests per second.
    rate_limit: Option<f64>,
    /// How the end of the last answer is marked; `None` before the first answer.
    framing: Option<Framing>,
    /// Event after which the stream resumes.
    resume_after: Option<u64>,
    /// Time spent waiting for upstreams.
    waited: Duration,
    /// Retry-after that the caller was given.
    retry_after: Option<Duration>,
    /// True once the caller was sent the head of a stream, which no other answer can replace.
    head_sent: bool,
    /// Events passed on to the caller.
    pub(crate) events: u64,
    /// Bytes that the last upstream sent after its last complete event.
    pub(crate) partial_bytes: usize,
    /// True once its end was logged.
    end_logged: bool,
}

impl Exchange {
    /// Returns the exchange of a request that the declarations allow.
    pub(crate) fn new(
        context: Arc<ExchangeContext>,
        catalog: &Catalog,
        request: CallerRequest,
        number: RequestNumber,
        holder: Arc<Holder>,
        ahead: ReadAhead,
    ) -> Result<Self, Fault> {
        let plan = Plan::new(catalog, &request)?;
        let resume_after = request.head.last_event;
        Ok(Self {
            context,
            request,
            plan,
            number,
            holder,
            ahead,
            attempts: 0,
            may_have_run: false,
            avoid: Vec::new(),
            upstream: UpstreamId::new(),
            rate_limit: None,
            framing: None,
            resume_after,
            waited: Duration::ZERO,
            retry_after: None,
            head_sent: false,
            events: 0,
            partial_bytes: 0,
            end_logged: false,
        })
    }

    /// Serves the request.
    pub(crate) async fn serve(mut self) -> Response<Body> {
        match self.try_upstreams().await {
            Ok((answer, status)) => self.pass_on(answer, status).await,
            Err(NoAnswer::UpstreamFailure(response)) => {
                self.log_end("failed_upstream");
                self.watch_answer();
                response
            }
            Err(NoAnswer::EntryFault(cause, retry_after)) => {
                let fault = self.final_fault(cause);
                self.retry_after = retry_after;
                self.log_end(fault.code());
                fault.answer(retry_after)
            }
        }
    }

    /// Returns the time at which the caller or the route times out.
    pub(crate) fn deadline(&self) -> Instant {
        self.request.received + self.caller_timeout().min(self.plan.route.timeout)
    }

    /// Returns the event after which the answer resumes.
    pub(crate) const fn last_event(&self) -> Option<u64> {
        self.resume_after
    }

    /// Sets the event after which another upstream would resume the stream; without one, the caller's
    /// request decides.
    pub(crate) fn set_last_event(&mut self, last: Option<u64>) {
        self.resume_after = last.or(self.resume_after);
    }

    /// Returns true if the stream may be resumed at another upstream.
    pub(crate) fn is_resumable(&self) -> bool {
        self.plan.route.kind.is_stream() && self.plan.route.kind.is_idempotent()
    }

    /// Returns true if the stream may be resumed at another upstream and an attempt is left.
    pub(crate) fn may_resume(&self) -> bool {
        self.is_resumable() && self.may_retry()
    }

    /// Returns true if the stream has run for most of its time and, with `event_interval` seconds
    /// between events, may not end before its deadline.
    pub(crate) fn may_end_late(&self, event_interval: f64) -> bool {
        let time = self.caller_timeout().min(self.plan.route.timeout);
        let time_left = self.time_left();
        let events_left = self.plan.max_events.map(|most| most - self.events as f64);
        time_left < time.mul_f64(MIGRATION_FRACTION)
            && events_left.is_some_and(|events| events * event_interval > time_left.as_secs_f64())
    }

    /// Returns a slot at an upstream that is clearly faster than `event_interval`, if there is one
    /// now.
    pub(crate) async fn request_faster(&mut self, event_interval: f64) -> Option<SlotPermit> {
        let permit = self.admit(Some(event_interval)).await.ok()?;
        self.log_migration(&permit, event_interval);
        Some(permit)
    }

    /// Resumes a stream at another upstream.
    pub(crate) async fn resume(&mut self, last: Option<u64>) -> Result<UpstreamAnswer, Fault> {
        self.set_last_event(last);
        self.avoid.push(self.upstream.clone());
        match self.try_upstreams().await {
            Ok((answer, status)) if status.is_success() => Ok(answer),
            Ok(_) | Err(NoAnswer::UpstreamFailure(_)) => Err(Fault::AnswerLost),
            Err(NoAnswer::EntryFault(fault, _)) => Err(fault),
        }
    }

    /// Logs how the request ended, once.
    pub(crate) fn log_end(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.end_logged, true) {
            return;
        }
        let took = self.request.received.elapsed();
        metrics::counter!("egretgate_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("egretgate_request_seconds").record(took.as_secs_f64());
        info!(self.context.log, "request";
            "id" => &self.request.head.id,
            "route" => &self.plan.route.name,
            "team" => self.plan.team.as_deref().unwrap_or(""),
            "tier" => self.plan.priority.tier,
            "upstream" => &self.upstream,
            "sent" => self.attempts,
            "catalog" => self.plan.version,
            "took_ms" => took.as_millis() as u64,
            "tokens" => self.plan.tokens,
            "likely_output" => self.request.head.likely_output,
            "most_output" => self.request.head.most_output,
            "events" => self.events,
            "waited_ms" => self.waited.as_millis() as u64,
            "retry_after_ms" => self.retry_after.map(|wait| wait.as_millis() as u64),
            "upstream_limit" => self.rate_limit,
            "framing" => self.framing.map(Framing::as_str),
            "partial_bytes" => self.partial_bytes,
            "parts" => self.part_names(),
            "outcome" => outcome);
    }

    /// Logs that the upstream's stream ended too early or fell silent.
    pub(crate) fn log_break(&self, upstream: &UpstreamId, outcome: Outcome) {
        info!(self.context.log, "stream broken off";
            "id" => &self.request.head.id,
            "upstream" => upstream,
            "cause" => if outcome == Outcome::Stalled { "stalled" } else { "ended" },
            "framing" => self.framing.map(Framing::as_str),
            "events" => self.events,
            "partial_bytes" => self.partial_bytes,
            "parts" => self.part_names(),
            "may_resume" => self.may_resume());
    }

    /// Counts a stream that has ended at its upstream, by what marks the end and where it came.
    pub(crate) fn count_stream_end(&self) {
        let end = match (self.partial_bytes, self.events) {
            (0, 0) => "no_event",
            (0, _) => "after_event",
            _ => "inside_event",
        };
        let framing = self.framing.map_or("", Framing::as_str);
        metrics::counter!("egretgate_stream_ends_total", "framing" => framing, "end" => end)
            .increment(1);
    }

    fn caller_timeout(&self) -> Duration {
        self.request.head.timeout.unwrap_or(self.plan.route.timeout)
    }

    fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    fn may_retry(&self) -> bool {
        self.plan.route.kind.is_idempotent()
            && self.attempts < self.plan.route.attempts
            && self.time_left() > MIN_TIME_LEFT
    }

    /// Sends the request to upstreams until one gives an answer to pass on.
    async fn try_upstreams(&mut self) -> Result<(UpstreamAnswer, StatusCode), NoAnswer> {
        let mut unreachable_attempts = 0;
        let mut failure = None;
        loop {
            let permit = match self.request_slot().await {
                Ok(permit) => permit,
                Err(error) => return Err(failure.map_or(error, NoAnswer::UpstreamFailure)),
            };
            self.upstream.clone_from(&permit.id);
            let attempt = self.attempt(permit).await;
            self.log_attempt(&attempt);
            self.avoid.push(self.upstream.clone());
            match attempt {
                Attempt::Answer(answer, status) => return Ok((answer, status)),
                Attempt::Failure(response) if !self.may_retry() => {
                    return Err(NoAnswer::UpstreamFailure(response));
                }
                Attempt::Failure(response) => failure = Some(response),
                Attempt::NotSent => {
                    unreachable_attempts += 1;
                    if unreachable_attempts >= MAX_UNREACHABLE_ATTEMPTS
                        || self.time_left() <= MIN_TIME_LEFT
                    {
                        break;
                    }
                }
                Attempt::NotRun if self.attempts < self.plan.route.attempts => {}
                Attempt::NotRun => break,
                Attempt::Unknown => {
                    self.may_have_run = true;
                    if !self.may_retry() {
                        return Err(NoAnswer::EntryFault(self.lost_fault(), None));
                    }
                }
            }
        }
        let error = NoAnswer::EntryFault(Fault::NoUpstream, Some(SHORT_RETRY_AFTER));
        Err(failure.map_or(error, NoAnswer::UpstreamFailure))
    }

    /// Returns the fault to answer with in place of `cause`, whose status may promise that the
    /// request has not run.
    fn final_fault(&self, cause: Fault) -> Fault {
        if !self.may_have_run || !cause.means_not_run() {
            return cause;
        }
        let fault = self.lost_fault();
        info!(self.context.log, "retry refused";
            "id" => &self.request.head.id,
            "cause" => cause.code(),
            "sent" => self.attempts,
            "answered" => fault.code());
        fault
    }

    /// Logs an attempt that gave no answer to pass on.
    pub(crate) fn log_attempt(&self, attempt: &Attempt) {
        let outcome = match attempt {
            Attempt::Answer(..) => return,
            Attempt::Failure(_) => "failed",
            Attempt::NotRun => "refused",
            Attempt::NotSent => "unreachable",
            Attempt::Unknown => "lost",
        };
        metrics::counter!("egretgate_attempts_failed_total", "outcome" => outcome).increment(1);
        info!(self.context.log, "attempt";
            "id" => &self.request.head.id,
            "upstream" => &self.upstream,
            "sent" => self.attempts,
            "took_ms" => self.request.received.elapsed().as_millis() as u64,
            "left_ms" => self.time_left().as_millis() as u64,
            "parts" => self.part_names(),
            "outcome" => outcome);
    }

    /// Returns the parts of the prompt that other requests may share, for logs.
    fn part_names(&self) -> String {
        let names: Vec<String> =
            self.plan.parts.iter().map(|part| format!("{part:016x}")).collect();
        names.join(",")
    }

    /// Logs why no upstream has headroom for the request.
    fn log_overload(&self, overload: Overload) {
        info!(self.context.log, "crowded";
            "id" => &self.request.head.id,
            "service" => &self.plan.service,
            "reason" => overload.reason.as_str(),
            "expected_wait_ms" => overload.expected_wait.as_millis() as u64,
            "standing" => overload.standing.as_str(),
            "share_rank" => overload.share_rank,
            "pause_ms" => overload.pause.as_millis() as u64,
            "waiting" => overload.waiting,
            "running" => overload.running);
    }

    /// Logs why the team's limit doesn't allow the request.
    fn log_shortage(&self, shortage: Shortage) {
        info!(self.context.log, "over limit";
            "id" => &self.request.head.id,
            "team" => self.plan.team.as_deref().unwrap_or(""),
            "tier" => self.plan.route.tier,
            "tokens" => self.plan.tokens,
            "level" => shortage.level,
            "needed" => shortage.needed,
            "heard_percent" => shortage.heard_percent,
            "wait_ms" => shortage.wait.as_millis() as u64);
    }

    /// Logs that the retry budget allows no further attempt.
    fn log_budget_spent(&self) {
        info!(self.context.log, "retry budget spent";
            "id" => &self.request.head.id,
            "service" => &self.plan.service,
            "sent" => self.attempts,
            "upstream" => &self.upstream);
    }

    /// Logs that the stream migrates to a faster upstream.
    fn log_migration(&self, permit: &SlotPermit, event_interval: f64) {
        info!(self.context.log, "stream migrates to a faster upstream";
            "id" => &self.request.head.id,
            "from" => &self.upstream,
            "to" => &permit.id,
            "pace_ms" => (event_interval * 1_000.0) as u64,
            "events" => self.events,
            "left_ms" => self.time_left().as_millis() as u64);
    }

    /// Returns the fault for a request that may have run and whose answer is lost.
    fn lost_fault(&self) -> Fault {
        if self.time_left().is_zero() { Fault::TimedOut } else { Fault::AnswerLost }
    }

    async fn request_slot(&mut self) -> Result<SlotPermit, NoAnswer> {
        let result = self.admit(None).await;
        result.map_err(|refusal| self.refusal(refusal))
    }

    async fn admit(&mut self, event_interval: Option<f64>) -> Result<SlotPermit, Refusal> {
        let time_left = self.time_left();
        let now = Instant::now();
        let request = AdmissionRequest {
            number: self.number,
            service: self.plan.service.clone(),
            route: self.plan.route.name.clone(),
            priority: self.plan.priority,
            charge: self.plan.charge.take(),
            objective: self.request.received + self.plan.route.objective,
            useful_wait: wait_limits::useful_wait(&self.plan.route),
            queue_deadline: now + wait_limits::max_queue_wait(&self.plan.route, time_left),
            events: self.plan.events,
            deadline: self.deadline(),
            faster_than: event_interval,
            is_retry: self.attempts > 0,
            avoid: self.avoid.clone(),
            digest: Some(self.plan.digest),
            parts: Arc::clone(&self.plan.parts),
            needs: self.plan.needs.clone(),
        };
        let result = self.context.dispatcher.admit(request).await;
        self.waited += now.elapsed();
        result
    }

    fn refusal(&self, refusal: Refusal) -> NoAnswer {
        let time_left = self.caller_timeout().saturating_sub(self.request.received.elapsed());
        let retry_after = wait_limits::retry_delay(time_left, &mut rand::rng());
        match refusal {
            Refusal::OverLimit(shortage) => {
                self.log_shortage(shortage);
                NoAnswer::EntryFault(Fault::OverLimit, Some(shortage.wait.max(retry_after)))
            }
            Refusal::Overloaded(overload) if self.time_left().is_zero() => {
                self.log_overload(overload);
                let retry_after = SHORT_RETRY_AFTER.max(overload.pause);
                NoAnswer::EntryFault(Fault::TimedOutWaiting, Some(retry_after))
            }
            Refusal::Overloaded(overload) => {
                self.log_overload(overload);
                let retry_after = if overload.pause.is_zero() {
                    overload.retry_after.unwrap_or(retry_after)
                } else {
                    wait_limits::retry_delay_after(overload.pause, time_left, &mut rand::rng())
                };
                NoAnswer::EntryFault(Fault::Overloaded, Some(retry_after))
            }
            Refusal::RetryBudgetSpent => {
                self.log_budget_spent();
                NoAnswer::EntryFault(Fault::NoUpstream, Some(SHORT_RETRY_AFTER))
            }
            Refusal::QuarantinedPart => NoAnswer::EntryFault(Fault::Quarantined, Some(retry_after)),
            Refusal::Poison => {
                info!(self.context.log, "request quarantined";
                    "id" => &self.request.head.id,
                    "digest" => format!("{:016x}", self.plan.digest.prefix()),
                    "sent" => self.attempts);
                NoAnswer::EntryFault(Fault::Poison, Some(retry_after))
            }
        }
    }

    /// Sends the request to one upstream.
    async fn attempt(&mut self, mut permit: SlotPermit) -> Attempt {
        let mut request = self.upstream_request(&permit);
        let mut connection = permit.idle.take();
        let mut is_counted = false;
        loop {
            let open = if let Some(open) = connection.take() {
                open
            } else if let Ok(open) = Connection::open(permit.address).await {
                open
            } else {
                self.attempts -= u32::from(is_counted);
                permit.finish(Outcome::Unreachable, None);
                return Attempt::NotSent;
            };
            self.attempts += u32::from(!std::mem::replace(&mut is_counted, true));
            match self.send(&mut permit, open, request).await {
                HeadResult::Head(open, response) => {
                    return self.classify(permit, open, response).await;
                }
                // The idle connection was closed; the same request is sent on a new one.
                HeadResult::Closed(failed) => request = *failed,
                HeadResult::Lost(outcome) => {
                    permit.finish(outcome, None);
                    return Attempt::Unknown;
                }
                HeadResult::Left(attempt, outcome) => {
                    permit.finish(outcome, None);
                    return attempt;
                }
            }
        }
    }

    fn upstream_request(&self, permit: &SlotPermit) -> Request<Full<Bytes>> {
        let mut headers = self.request.headers.clone();
        prepare_request(&mut headers, self.request.has_body, self.request.body.len());
        let forward_head = ForwardHead {
            upstream: &permit.id,
            team: self.plan.team.as_deref(),
            time_left: self.time_left(),
            last_event: self.resume_after,
        };
        self.context.dialect.write_forward_headers(&mut headers, &forward_head);
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Sends the request and waits for the head of the answer.
    async fn send(
        &mut self,
        permit: &mut SlotPermit,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> HeadResult {
        let started = Instant::now();
        let deadline = self.deadline();
        // If no retry may follow this attempt, its answer may take until the deadline.
        let silence_deadline = if !self.may_retry() {
            deadline
        } else if self.plan.route.kind.is_stream() {
            deadline.min(started + STREAM_SILENCE)
        } else {
            deadline.min(started + self.plan.route.objective * CALL_SILENCE_OBJECTIVES)
        };
        let mut next: NextSent<HeadSent> = Box::pin(async move {
            let result = timeout_at(deadline.into(), connection.send(request)).await;
            (connection, result)
        });
        let mut sent =
            timeout_at((started + SUSPECT_AFTER).min(silence_deadline).into(), &mut next).await;
        if sent.is_err() {
            permit.suspect(started);
            sent = timeout_at(silence_deadline.into(), &mut next).await;
        }
        let (connection, result) = match sent {
            Ok(sent) => sent,
            Err(_) => match self.await_silent(started, next, has_head).await {
                AfterSilence::WentOn(sent) => sent,
                AfterSilence::Left(attempt, outcome) => return HeadResult::Left(attempt, outcome),
            },
        };
        match result {
            Ok(Ok(response)) => {
                permit.record_head();
                HeadResult::Head(connection, response)
            }
            Ok(Err(SendError::NotSent(request))) => HeadResult::Closed(request),
            Ok(Err(SendError::MaybeSent)) => HeadResult::Lost(Outcome::InvalidAnswer),
            Err(_) => HeadResult::Lost(Outcome::Stalled),
        }
    }

    /// Classifies an answer by its head.
    async fn classify(
        &mut self,
        permit: SlotPermit,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Attempt {
        let (parts, body) = response.into_parts();
        let head = self.context.dialect.read_answer(parts.status.as_u16(), &parts.headers);
        self.rate_limit = head.rate_limit;
        self.framing = Some(Framing::of(&parts.headers));
        let answer = UpstreamAnswer { permit, connection, headers: parts.headers, body };
        let is_foreign = match &head.id {
            _ if is_malformed(parts.status, &answer.headers) => true,
            Some(id) => *id != self.request.head.id,
            None => answer.connection.is_reused(),
        };
        if !is_foreign && parts.status != StatusCode::MISDIRECTED_REQUEST {
            answer.permit.record_limit(head.rate_limit);
            if head.load.is_some_and(|load| load.pace.is_some()) {
                answer.permit.record_pace();
            }
            if let Some(pause) = head.pause {
                answer.permit.record_pause(pause);
            }
            if let Some(cold_for) = head.cold_for {
                answer.permit.record_cold(cold_for);
            }
            if head.leaving {
                answer.permit.record_leaving();
            }
        }
        if head.not_run && !is_foreign {
            return refused_attempt(answer, parts.status, self.deadline(), &self.holder).await;
        }
        if is_foreign || is_invalid(&head, parts.status, &answer.headers) {
            answer.permit.finish(Outcome::InvalidAnswer, None);
            return Attempt::Unknown;
        }
        if parts.status.is_server_error() && self.plan.route.kind.is_idempotent() {
            return failed_attempt(answer, parts.status, self.deadline(), &self.holder).await;
        }
        Attempt::Answer(answer, parts.status)
    }

    /// Passes an accepted answer on to the caller.
    async fn pass_on(mut self, answer: UpstreamAnswer, status: StatusCode) -> Response<Body> {
        let mut headers = answer.headers.clone();
        strip_connection(&mut headers);
        if status.is_success() && self.plan.route.kind.is_stream() {
            // A caller that has all bytes of a stated length takes the answer for a whole one.
            headers.remove(CONTENT_LENGTH);
            self.head_sent = true;
            let (ahead, holder) = (self.ahead.clone(), Arc::clone(&self.holder));
            let (id, deadline) = (self.request.head.id.clone(), self.deadline());
            let frames = ahead.body(id, holder, deadline, Relay::body(self, answer));
            let body = streamed(frames);
            return respond(status, headers, body);
        }
        match read_body(answer, MAX_BUFFERED_BYTES, self.deadline(), &self.holder).await {
            BodyRead::Complete(mut answer, bytes) => {
                let outcome = self.outcome(status);
                if status.is_success() {
                    answer.permit.record_writing(Duration::ZERO);
                }
                self.log_end(if status.is_success() { "served" } else { "failed_upstream" });
                answer.complete(outcome).await;
                self.watch_answer();
                respond(status, headers, full(bytes))
            }
            BodyRead::Incomplete(permit) => {
                permit.finish(Outcome::InvalidAnswer, None);
                self.may_have_run = true;
                if self.may_retry() {
                    return Box::pin(self.serve()).await;
                }
                let fault = self.lost_fault();
                self.log_end(fault.code());
                fault.answer(None)
            }
        }
    }

    /// Has an answer that was read whole given up if its caller takes nothing of it.
    fn watch_answer(&self) {
        let (id, holder) = (self.request.head.id.clone(), Arc::clone(&self.holder));
        self.ahead.watch(id, holder, self.deadline());
    }

    fn outcome(&self, status: StatusCode) -> Outcome {
        if status.is_server_error() {
            return Outcome::Failed;
        }
        Outcome::Succeeded { unit_seconds: Some(self.request.received.elapsed().as_secs_f64()) }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.log_end("caller_left");
    }
}

/// How an exchange ends without an answer to pass on.
enum NoAnswer {
    /// The upstream's own error answer.
    UpstreamFailure(Response<Body>),
    /// An answer of the entry, with its retry-after.
    EntryFault(Fault, Option<Duration>),
}

/// What came of waiting for the head of an answer.
enum HeadResult {
    /// It arrived on this connection.
    Head(Connection, Response<Incoming>),
    /// The connection was closed before a byte was written.
    Closed(Box<Request<Full<Bytes>>>),
    /// The request may have run.
    Lost(Outcome),
    /// The upstream was silent, and another one was asked, with this result; the outcome is that of
    /// the silent one.
    Left(Attempt, Outcome),
}

/// The result of waiting for the head of an answer until the deadline, with its connection.
type HeadSent = (Connection, Result<connect::Result<Response<Incoming>>, Elapsed>);

fn has_head((_, result): &HeadSent) -> bool {
    matches!(result, Ok(Ok(_)))
}
