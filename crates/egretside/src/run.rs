//! One started request: calls the target (an engine or plain service) and streams its answer to
//! the entry.

use std::time::Duration;

use bytes::Bytes;
use egretgate_core::{ErrorKind, Ticket};
use egretgate_engine::{MeteredChunk, TokenMeter};
use egretgate_http::Answer;
use egretgate_link::message::{End, Load, Offer, Refused, Started, ToEntry, to_entry};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use crate::answer_sender::{AnswerSender, RECONNECT_GRACE};
use crate::dispatcher::{DispatcherMessage, Latency};
use crate::target_client::{Failure, TargetClient};

/// Interval between two reports of the inter-token latency.
const LATENCY_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of a run's control channel.
const CONTROL_CHANNEL_CAPACITY: usize = 64;

/// Commands to a running request.
#[derive(Debug)]
pub(crate) enum Control {
    /// Number of chunks that the caller has taken since the start of the answer.
    Credit(u64),
    /// The entry reconnected and lacks the chunks from `next_chunk` on. The caller has taken
    /// `taken_chunks` chunks since the start of the answer.
    Resume { frames: mpsc::Sender<ToEntry>, next_chunk: u64, taken_chunks: u64 },
    /// The entry needs nothing more: cancel the call to the target.
    Cancel,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finish {
    /// The target sent a whole answer.
    Whole,
    /// The target answered with a server error.
    Failed,
    /// No byte was written to the target.
    NotSent,
    /// The target broke off the answer or sent none.
    Cut,
    /// Cancelled by the entry, or because the entry did not reconnect in time.
    Cancelled,
}

/// Outcome and measurements of one run.
#[derive(Debug, Clone)]
pub(crate) struct RunSummary {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// How it ended.
    pub finish: Finish,
    /// Time from dispatch to the end.
    pub duration: Duration,
    /// Time from dispatch to the first token of a streamed answer.
    pub first_token: Option<Duration>,
    /// Mean time between tokens of a streamed answer.
    pub inter_token: Option<Duration>,
    /// Number of tokens generated.
    pub tokens: u32,
}

/// A request that is being run.
#[derive(Debug)]
pub(crate) struct Run {
    offer: Offer,
    client: TargetClient,
    sender: AnswerSender,
    control: mpsc::Receiver<Control>,
    finish: Finish,
    tokens: u32,
}

/// Next event of a run whose answer is being streamed.
enum Step {
    /// A command; `None` if the dispatcher has ended.
    Control(Option<Control>),
    /// A chunk of the answer; `None` at its end.
    Data(Option<egretgate_http::Result<Bytes>>),
    /// The entry did not reconnect in time.
    Expired,
}

impl Run {
    /// Returns a run and the sender that controls it.
    pub(crate) fn new(
        ticket: Ticket,
        offer: Offer,
        client: TargetClient,
        frames: mpsc::Sender<ToEntry>,
    ) -> (Self, mpsc::Sender<Control>) {
        let (commands, control) = mpsc::channel(CONTROL_CHANNEL_CAPACITY);
        let sender = AnswerSender::new(ticket, frames, offer.credit);
        (Self { offer, client, sender, control, finish: Finish::Cancelled, tokens: 0 }, commands)
    }

    /// Calls the target and streams its answer. [`Run::deliver`] sends the last frame.
    pub(crate) async fn run(&mut self, dispatcher: &mpsc::Sender<DispatcherMessage>) -> RunSummary {
        let ticket = self.sender.ticket();
        let version = self.client.version().to_owned();
        let started = Started { ticket: Some(ticket.into()), version };
        self.sender.send(to_entry::Body::Started(started)).await;
        let dispatched = Instant::now();
        let mut meter = TokenMeter::new();
        self.finish = match self.call().await {
            Ok(answer) => {
                self.sender.set_head(answer.status, answer.content_type.clone());
                let mut reporter = LatencyReporter::new(ticket, dispatched, dispatcher.clone());
                self.stream(answer, &mut meter, &mut reporter).await
            }
            Err(failure) => failure.into(),
        };
        self.tokens = meter.tokens();
        RunSummary {
            ticket,
            finish: self.finish,
            duration: dispatched.elapsed(),
            first_token: meter.first_token().map(|time| time.duration_since(dispatched)),
            inter_token: meter.mean_gap(),
            tokens: self.tokens,
        }
    }

    /// Sends the last frame with `load`, and again after each reconnect, until the entry withdraws
    /// the request or [`RECONNECT_GRACE`] is over.
    pub(crate) async fn deliver(mut self, load: Load) {
        let last = self.last_frame(load);
        let deadline = Instant::now() + RECONNECT_GRACE;
        self.sender.send(last.clone()).await;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match timeout(remaining, self.control.recv()).await {
                Ok(Some(Control::Credit(chunks))) => self.sender.acknowledge(chunks),
                Ok(Some(Control::Resume { frames, next_chunk, taken_chunks })) => {
                    self.sender.resume(frames, next_chunk, taken_chunks).await;
                    self.sender.send(last.clone()).await;
                }
                Ok(Some(Control::Cancel) | None) | Err(_) => return,
            }
        }
    }

    async fn call(&mut self) -> Result<Answer, Failure> {
        let call = self.client.clone().call(self.sender.ticket(), self.offer.clone());
        tokio::pin!(call);
        loop {
            tokio::select! {
                answer = &mut call => return answer,
                control = self.control.recv() => match control {
                    Some(Control::Credit(chunks)) => self.sender.acknowledge(chunks),
                    Some(Control::Resume { frames, next_chunk, taken_chunks }) => {
                        self.sender.resume(frames, next_chunk, taken_chunks).await;
                    }
                    Some(Control::Cancel) | None => return Err(Failure::Cancelled),
                },
            }
        }
    }

    async fn stream(
        &mut self,
        mut answer: Answer,
        meter: &mut TokenMeter,
        reporter: &mut LatencyReporter,
    ) -> Finish {
        loop {
            match self.step(&mut answer).await {
                Step::Control(Some(Control::Credit(chunks))) => self.sender.acknowledge(chunks),
                Step::Control(Some(Control::Resume { frames, next_chunk, taken_chunks })) => {
                    if !self.sender.resume(frames, next_chunk, taken_chunks).await {
                        return Finish::Cancelled;
                    }
                }
                Step::Control(Some(Control::Cancel) | None) | Step::Expired => {
                    return Finish::Cancelled;
                }
                Step::Data(Some(Ok(data))) => {
                    reporter.observe(meter.feed(&data, Instant::now()), Instant::now());
                    self.sender.send_data(data).await;
                }
                Step::Data(Some(Err(error))) => return Failure::from(error).into(),
                Step::Data(None) if self.is_broken_off(&answer, meter) => return Finish::Cut,
                Step::Data(None) if self.sender.status() >= 500 => return Finish::Failed,
                Step::Data(None) => return Finish::Whole,
            }
        }
    }

    /// Returns true if the target broke off the stream that has just ended.
    fn is_broken_off(&self, answer: &Answer, meter: &TokenMeter) -> bool {
        if !answer.is_event_stream() {
            return false;
        }
        let has_end = meter.is_done() || (!self.client.marks_end() && meter.tokens() > 0);
        meter.is_inside_event() || (answer.ends_with_connection() && !has_end)
    }

    async fn step(&mut self, answer: &mut Answer) -> Step {
        let has_credit = self.sender.has_credit();
        let expiry = self.sender.expiry();
        let expired = sleep_until(expiry.unwrap_or_else(Instant::now));
        tokio::select! {
            control = self.control.recv() => Step::Control(control),
            data = answer.chunk(), if has_credit => Step::Data(data),
            () = expired, if expiry.is_some() => Step::Expired,
        }
    }

    fn last_frame(&self, load: Load) -> to_entry::Body {
        let ticket = Some(self.sender.ticket().into());
        let code = match self.finish {
            Finish::Whole | Finish::Failed => "",
            Finish::Cut => ErrorKind::AnswerCut.code(),
            Finish::Cancelled => ErrorKind::CallerGone.code(),
            Finish::NotSent => {
                let code = ErrorKind::NoUpstream.code().to_owned();
                let refused = Refused { ticket, code, after_ms: 0, load: Some(load) };
                return to_entry::Body::Refused(refused);
            }
        };
        to_entry::Body::End(End {
            ticket,
            chunks: self.sender.chunks(),
            code: code.to_owned(),
            tokens: self.tokens,
            load: Some(load),
            status: self.sender.status().into(),
        })
    }
}

impl Finish {
    /// Returns the word used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Failed => "failed",
            Self::NotSent => "not_sent",
            Self::Cut => "cut",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Reports the latencies of a streamed answer to the dispatcher while it runs.
#[derive(Debug)]
struct LatencyReporter {
    ticket: Ticket,
    dispatched: Instant,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    /// True until the first token.
    awaits_first: bool,
    /// Tokens since the last report.
    tokens: u32,
    last_report: Instant,
}

impl LatencyReporter {
    fn new(
        ticket: Ticket,
        dispatched: Instant,
        dispatcher: mpsc::Sender<DispatcherMessage>,
    ) -> Self {
        Self {
            ticket,
            dispatched,
            dispatcher,
            awaits_first: true,
            tokens: 0,
            last_report: dispatched,
        }
    }

    fn observe(&mut self, chunk: MeteredChunk, now: Instant) {
        if chunk.tokens == 0 {
            return;
        }
        if self.awaits_first {
            self.awaits_first = false;
            self.last_report = now;
            return self.send(Latency::FirstToken(now.duration_since(self.dispatched)));
        }
        self.tokens += chunk.tokens;
        let elapsed = now.duration_since(self.last_report);
        if elapsed >= LATENCY_INTERVAL {
            self.send(Latency::InterToken(elapsed / self.tokens));
            self.tokens = 0;
            self.last_report = now;
        }
    }

    /// Sends a measurement, or drops it if the dispatcher's channel is full: it is not worth
    /// waiting for.
    fn send(&self, latency: Latency) {
        let _ =
            self.dispatcher.try_send(DispatcherMessage::Latency { ticket: self.ticket, latency });
    }
}

impl From<Failure> for Finish {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotSent => Self::NotSent,
            Failure::Cut => Self::Cut,
            Failure::Cancelled => Self::Cancelled,
        }
    }
}
