//! One request, from its head to the head of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::UpstreamId;
use egretgate_core::gateway::admission::{AdmissionRequest, Overload, Refusal};
use egretgate_core::gateway::catalog::Catalog;
use egretgate_core::gateway::request_queue::RequestNumber;
use egretgate_core::gateway::upstream::Outcome;
use egretgate_core::gateway::wait_limits;
use http::header::CONTENT_LENGTH;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use slog::{Logger, info};
use tokio::time::timeout_at;

use crate::answer::{Body, Fault, full, streamed};
use crate::connect::{Connection, SendError};
use crate::desk::{DeskHandle, Lease};
use crate::dialect::{Dialect, ForwardHead};
use crate::judge::{Attempt, Whole, failure, is_spoiled, not_run, respond, whole};
use crate::onward::{prepare_request, strip_connection};
use crate::plan::{Parts, Plan};
use crate::relay::{Relay, Run};

/// Silence after which an upstream gets nothing new; first events take some 50 ms.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Silence after which an idempotent call goes to another upstream, in objectives.
const CALL_OBJECTIVES: u32 = 2;
/// Silence after which a resumable stream goes to another upstream; callers leave after 2 s.
const STREAM_SILENCE: Duration = Duration::from_millis(1_100);
/// Tries that reach no upstream before a request is refused.
const MOST_UNREACHED: u32 = 4;
/// Part of a stream's time that may be left before a faster upstream is looked for: nearly all answers
/// have ended by then, and a faster upstream still has the time to end the others.
const LEFT_PART: f64 = 0.4;
/// Time that must be left for another try to make sense.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Time after which a caller should come back if no upstream ran its request just now.
const SHORT_RETURN: Duration = Duration::from_millis(150);

/// What every exchange uses.
pub(crate) struct Shared {
    /// The platform's headers.
    pub(crate) dialect: Box<dyn Dialect>,
    /// Where upstreams are granted.
    pub(crate) desk: DeskHandle,
    /// Log.
    pub(crate) log: Logger,
}

/// A request while it is served.
pub(crate) struct Exchange {
    shared: Arc<Shared>,
    request: Parts,
    plan: Plan,
    number: RequestNumber,
    /// Upstreams that got the request.
    sent: u32,
    /// Upstreams that must not get it again.
    avoid: Vec<UpstreamId>,
    /// Upstream that got it last.
    upstream: UpstreamId,
    /// Event after which the stream goes on.
    resume_after: Option<u64>,
    /// Time spent waiting for upstreams.
    waited: Duration,
    /// Time after which the caller was told to come back.
    retry_after: Option<Duration>,
    /// Events passed on.
    pub(crate) events: u64,
    /// True once its end was logged.
    closed: bool,
}

impl Exchange {
    /// Returns the exchange of a request that the declarations allow.
    pub(crate) fn new(
        shared: Arc<Shared>,
        catalog: &Catalog,
        request: Parts,
        number: RequestNumber,
    ) -> Result<Self, Fault> {
        let plan = Plan::new(catalog, &request)?;
        let resume_after = request.head.last_event;
        Ok(Self {
            shared,
            request,
            plan,
            number,
            sent: 0,
            avoid: Vec::new(),
            upstream: UpstreamId::new(),
            resume_after,
            waited: Duration::ZERO,
            retry_after: None,
            events: 0,
            closed: false,
        })
    }

    /// Serves the request.
    pub(crate) async fn serve(mut self) -> Response<Body> {
        match self.run(None).await {
            Ok((run, status)) => self.pass_on(run, status).await,
            Err(Ending::Failure(response)) => {
                self.close("failed_upstream");
                response
            }
            Err(Ending::Fault(fault, retry_after)) => {
                self.retry_after = retry_after;
                self.close(fault.code());
                fault.answer(retry_after)
            }
        }
    }

    /// Returns the time at which the caller or the route gives up.
    pub(crate) fn deadline(&self) -> Instant {
        self.request.received + self.patience().min(self.plan.route.timeout)
    }

    /// Returns the event after which the answer goes on.
    pub(crate) const fn last_event(&self) -> Option<u64> {
        self.resume_after
    }

    /// Returns true if the stream may go on at another upstream.
    pub(crate) fn is_resumable(&self) -> bool {
        self.plan.route.kind.is_stream() && self.plan.route.kind.is_idempotent()
    }

    /// Returns true if the stream may go on at another upstream and there is one to try.
    pub(crate) fn may_resume(&self) -> bool {
        self.is_resumable() && self.may_repeat()
    }

    /// Returns true if the stream may still be under way when its caller gives up, with `pace`
    /// seconds between events, and has run for long enough to think so.
    pub(crate) fn may_end_late(&self, pace: f64) -> bool {
        let whole = self.patience().min(self.plan.route.timeout);
        let left = self.left();
        let events = self.plan.most_events.map(|most| most - self.events as f64);
        left < whole.mul_f64(LEFT_PART)
            && events.is_some_and(|events| events * pace > left.as_secs_f64())
    }

    /// Returns a place at an upstream that is clearly faster than `pace`, if there is one now.
    pub(crate) async fn faster(&mut self, pace: f64) -> Option<Lease> {
        let lease = self.ask_lease(Some(pace)).await.ok()?;
        self.note_faster(&lease, pace);
        Some(lease)
    }

    /// Goes on with a cut stream at another upstream, at `lease` if it is given.
    pub(crate) async fn resume(
        &mut self,
        last: Option<u64>,
        lease: Option<Lease>,
    ) -> Result<Run, Fault> {
        self.resume_after = last.or(self.resume_after);
        self.avoid.push(self.upstream.clone());
        match self.run(lease).await {
            Ok((run, status)) if status.is_success() => Ok(run),
            Ok(_) | Err(Ending::Failure(_)) => Err(Fault::AnswerLost),
            Err(Ending::Fault(fault, _)) => Err(fault),
        }
    }

    /// Logs how the request ended, once.
    pub(crate) fn close(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.closed, true) {
            return;
        }
        let took = self.request.received.elapsed();
        metrics::counter!("egretgate_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("egretgate_request_seconds").record(took.as_secs_f64());
        info!(self.shared.log, "request";
            "id" => &self.request.head.id,
            "route" => &self.plan.route.name,
            "team" => self.plan.team.as_deref().unwrap_or(""),
            "tier" => self.plan.rank.tier,
            "upstream" => &self.upstream,
            "sent" => self.sent,
            "catalog" => self.plan.version,
            "took_ms" => took.as_millis() as u64,
            "tokens" => self.plan.tokens,
            "likely_output" => self.request.head.likely_output,
            "most_output" => self.request.head.most_output,
            "events" => self.events,
            "waited_ms" => self.waited.as_millis() as u64,
            "retry_after_ms" => self.retry_after.map(|wait| wait.as_millis() as u64),
            "outcome" => outcome);
    }

    fn patience(&self) -> Duration {
        self.request.head.timeout.unwrap_or(self.plan.route.timeout)
    }

    fn left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    fn may_repeat(&self) -> bool {
        self.plan.route.kind.is_idempotent()
            && self.sent < self.plan.route.attempts
            && self.left() > LEAST_LEFT
    }

    /// Returns the first answer worth passing on.
    async fn run(&mut self, mut lease: Option<Lease>) -> Result<(Run, StatusCode), Ending> {
        let mut unreached = 0;
        let mut failure = None;
        loop {
            let lease = match lease.take() {
                Some(lease) => lease,
                None => match self.lease().await {
                    Ok(lease) => lease,
                    Err(ending) => return Err(failure.map_or(ending, Ending::Failure)),
                },
            };
            self.upstream.clone_from(&lease.id);
            let attempt = self.attempt(lease).await;
            self.note(&attempt);
            self.avoid.push(self.upstream.clone());
            match attempt {
                Attempt::Answer(run, status) => return Ok((run, status)),
                Attempt::Failure(response) if !self.may_repeat() => {
                    return Err(Ending::Failure(response));
                }
                Attempt::Failure(response) => failure = Some(response),
                Attempt::NotSent => {
                    unreached += 1;
                    if unreached >= MOST_UNREACHED || self.left() <= LEAST_LEFT {
                        return Err(Ending::Fault(Fault::NoUpstream, Some(SHORT_RETURN)));
                    }
                }
                Attempt::NotRun if self.sent < self.plan.route.attempts => {}
                Attempt::NotRun => {
                    return Err(Ending::Fault(Fault::NoUpstream, Some(SHORT_RETURN)));
                }
                Attempt::Unknown if self.may_repeat() => {}
                Attempt::Unknown => return Err(self.lost()),
            }
        }
    }

    /// Logs an attempt that gave no answer to pass on.
    fn note(&self, attempt: &Attempt) {
        let what = match attempt {
            Attempt::Answer(..) => return,
            Attempt::Failure(_) => "failed",
            Attempt::NotRun => "refused",
            Attempt::NotSent => "unreachable",
            Attempt::Unknown => "lost",
        };
        metrics::counter!("egretgate_attempts_failed_total", "outcome" => what).increment(1);
        info!(self.shared.log, "attempt";
            "id" => &self.request.head.id,
            "upstream" => &self.upstream,
            "sent" => self.sent,
            "took_ms" => self.request.received.elapsed().as_millis() as u64,
            "left_ms" => self.left().as_millis() as u64,
            "outcome" => what);
    }

    /// Logs what decided that there is no room for the request.
    fn note_crowd(&self, crowd: Overload) {
        info!(self.shared.log, "crowded";
            "id" => &self.request.head.id,
            "service" => &self.plan.service,
            "reason" => crowd.reason.as_str(),
            "expected_wait_ms" => crowd.expected_wait.as_millis() as u64,
            "waiting" => crowd.waiting,
            "running" => crowd.running);
    }

    /// Logs that the stream goes on at a faster upstream.
    fn note_faster(&self, lease: &Lease, pace: f64) {
        info!(self.shared.log, "goes on faster";
            "id" => &self.request.head.id,
            "from" => &self.upstream,
            "to" => &lease.id,
            "pace_ms" => (pace * 1_000.0) as u64,
            "events" => self.events,
            "left_ms" => self.left().as_millis() as u64);
    }

    /// Returns the end of a request that may have run.
    fn lost(&self) -> Ending {
        let fault = if self.left().is_zero() { Fault::TimedOut } else { Fault::AnswerLost };
        Ending::Fault(fault, None)
    }

    async fn lease(&mut self) -> Result<Lease, Ending> {
        let reply = self.ask_lease(None).await;
        reply.map_err(|refusal| self.refusal(refusal))
    }

    async fn ask_lease(&mut self, pace: Option<f64>) -> Result<Lease, Refusal> {
        let left = self.left();
        let now = Instant::now();
        let order = AdmissionRequest {
            number: self.number,
            service: self.plan.service.clone(),
            route: self.plan.route.name.clone(),
            priority: self.plan.rank,
            charge: self.plan.charge.take(),
            objective: self.request.received + self.plan.route.objective,
            useful_wait: wait_limits::useful_wait(&self.plan.route),
            queue_deadline: now + wait_limits::max_queue_wait(&self.plan.route, left),
            events: self.plan.events,
            deadline: self.deadline(),
            faster_than: pace,
            is_retry: self.sent > 0,
            avoid: self.avoid.clone(),
            digest: Some(self.plan.digest),
        };
        let reply = self.shared.desk.admit(order).await;
        self.waited += now.elapsed();
        reply
    }

    fn refusal(&self, refusal: Refusal) -> Ending {
        let left = self.patience().saturating_sub(self.request.received.elapsed());
        let later = wait_limits::retry_delay(left, &mut rand::rng());
        match refusal {
            Refusal::OverLimit(wait) => Ending::Fault(Fault::OverLimit, Some(wait.max(later))),
            Refusal::Overloaded(crowd) if self.left().is_zero() => {
                self.note_crowd(crowd);
                Ending::Fault(Fault::TimedOutWaiting, Some(SHORT_RETURN))
            }
            Refusal::Overloaded(crowd) => {
                self.note_crowd(crowd);
                Ending::Fault(Fault::Overloaded, Some(later))
            }
            Refusal::RetryBudgetSpent => Ending::Fault(Fault::NoUpstream, Some(SHORT_RETURN)),
            Refusal::Poison => Ending::Fault(Fault::Poison, None),
        }
    }

    /// Sends the request to one upstream.
    async fn attempt(&mut self, mut lease: Lease) -> Attempt {
        let mut request = self.onward(&lease);
        let mut connection = lease.idle.take();
        loop {
            let mut open = if let Some(open) = connection.take() {
                open
            } else if let Ok(open) = Connection::open(lease.address).await {
                open
            } else {
                lease.finish(Outcome::Unreachable, None);
                return Attempt::NotSent;
            };
            match self.send(&mut lease, &mut open, request).await {
                Ok(response) => {
                    self.sent += 1;
                    return self.judge(lease, open, response).await;
                }
                // An idle connection turned out to be closed: the same request on a new one.
                Err(Unsent::Closed(unsent)) => request = *unsent,
                Err(Unsent::Lost(outcome)) => {
                    self.sent += 1;
                    drop(open);
                    lease.finish(outcome, None);
                    return Attempt::Unknown;
                }
            }
        }
    }

    fn onward(&self, lease: &Lease) -> Request<Full<Bytes>> {
        let mut headers = self.request.headers.clone();
        prepare_request(&mut headers, self.request.has_body, self.request.body.len());
        let onward = ForwardHead {
            upstream: &lease.id,
            team: self.plan.team.as_deref(),
            time_left: self.left(),
            last_event: self.resume_after,
        };
        self.shared.dialect.write_forward_headers(&mut headers, &onward);
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Sends and waits for the answer's head.
    async fn send(
        &self,
        lease: &mut Lease,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Unsent> {
        let begun = Instant::now();
        let deadline = self.deadline();
        let silence =
            if !self.plan.route.kind.is_idempotent() || self.sent + 1 >= self.plan.route.attempts {
                deadline
            } else if self.plan.route.kind.is_stream() {
                deadline.min(begun + STREAM_SILENCE)
            } else {
                deadline.min(begun + self.plan.route.objective * CALL_OBJECTIVES)
            };
        let mut sending = std::pin::pin!(connection.send(request));
        let mut answer =
            timeout_at((begun + SUSPECT_AFTER).min(silence).into(), &mut sending).await;
        if answer.is_err() {
            lease.suspect(begun);
            answer = timeout_at(silence.into(), sending).await;
        }
        match answer {
            Ok(Ok(response)) => {
                lease.answered();
                Ok(response)
            }
            Ok(Err(SendError::NotSent(request))) => Err(Unsent::Closed(request)),
            Ok(Err(SendError::Sent)) => Err(Unsent::Lost(Outcome::InvalidAnswer)),
            Err(_) => Err(Unsent::Lost(Outcome::Stalled)),
        }
    }

    /// Decides what an answer's head means.
    async fn judge(
        &mut self,
        lease: Lease,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Attempt {
        let (parts, body) = response.into_parts();
        let head = self.shared.dialect.read_answer(parts.status.as_u16(), &parts.headers);
        let run = Run { lease, connection, headers: parts.headers, body };
        let foreign = head.id.as_ref().is_some_and(|id| *id != self.request.head.id);
        if head.not_run && !foreign {
            return not_run(run, parts.status).await;
        }
        if foreign || is_spoiled(&head, parts.status, &run.headers) {
            run.lease.finish(Outcome::InvalidAnswer, None);
            return Attempt::Unknown;
        }
        if parts.status.is_server_error() && self.plan.route.kind.is_idempotent() {
            return failure(run, parts.status, self.deadline()).await;
        }
        Attempt::Answer(run, parts.status)
    }

    /// Passes an accepted answer on.
    async fn pass_on(mut self, run: Run, status: StatusCode) -> Response<Body> {
        let mut headers = run.headers.clone();
        strip_connection(&mut headers);
        if status.is_success() && self.plan.route.kind.is_stream() {
            if self.is_resumable() {
                headers.remove(CONTENT_LENGTH);
            }
            let body = streamed(Relay::body(self, run));
            return respond(status, headers, body);
        }
        match whole(run, self.deadline()).await {
            Whole::Read(run, bytes) => {
                let outcome = self.outcome(status);
                self.close(if status.is_success() { "served" } else { "failed_upstream" });
                run.complete(outcome).await;
                respond(status, headers, full(bytes))
            }
            Whole::Cut(lease) => {
                lease.finish(Outcome::InvalidAnswer, None);
                if self.may_repeat() {
                    return Box::pin(self.serve()).await;
                }
                let Ending::Fault(fault, retry_after) = self.lost() else {
                    unreachable!("a lost answer ends in a fault");
                };
                self.close(fault.code());
                fault.answer(retry_after)
            }
        }
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
        self.close("caller_left");
    }
}

/// How an exchange ends without an answer to pass on.
enum Ending {
    /// The upstream's own failure.
    Failure(Response<Body>),
    /// The entry's answer, with the time to come back.
    Fault(Fault, Option<Duration>),
}

/// Why no answer's head came.
enum Unsent {
    /// The connection was closed before a byte was written.
    Closed(Box<Request<Full<Bytes>>>),
    /// The request may have run.
    Lost(Outcome),
}
