//! One started request: calls the target (an engine or plain service) and streams its answer to the entry.

use std::time::Duration;

use bytes::Bytes;
use egretgate_core::{ErrorKind, Ticket};
use egretgate_engine::{MeteredChunk, TokenMeter};
use egretgate_http::Answer;
use egretgate_link::message::{End, Load, Offer, Refused, Started, ToEntry, to_entry};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use crate::answer_sender::{AnswerSender, RECONNECT_GRACE};
use crate::dispatcher::{DispatcherMessage, TokenLatency};
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
    /// The entry reconnected and lacks the chunks from `next` on. The caller has taken `taken`
    /// chunks since the start of the answer.
    Resume { frames: mpsc::Sender<ToEntry>, next: u64, taken: u64 },
    /// The entry needs nothing more: cancel the call to the target.
    Cancel,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finish {
    /// The target gave a whole answer.
    Whole,
    /// The target answered with a server error.
    Failed,
    /// No byte was written to the target.
    NotSent,
    /// The target broke off the answer or never gave one.
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
    upstream: TargetClient,
    answer_sender: AnswerSender,
    control: mpsc::Receiver<Control>,
    finish: Finish,
    tokens: u32,
}

enum Step {
    Control(Option<Control>),
    Data(Option<egretgate_http::Result<Bytes>>),
    Abandoned,
}

impl Run {
    /// Returns a run and the sender that controls it.
    pub(crate) fn new(
        ticket: Ticket,
        offer: Offer,
        upstream: TargetClient,
        frames: mpsc::Sender<ToEntry>,
    ) -> (Self, mpsc::Sender<Control>) {
        let (sender, control) = mpsc::channel(CONTROL_CHANNEL_CAPACITY);
        let outbox = AnswerSender::new(ticket, frames, offer.credit);
        (
            Self {
                offer,
                upstream,
                answer_sender: outbox,
                control,
                finish: Finish::Cancelled,
                tokens: 0,
            },
            sender,
        )
    }

    /// Calls the target and streams its answer. [`Run::deliver`] sends the last frame.
    pub(crate) async fn run(&mut self, desk: &mpsc::Sender<DispatcherMessage>) -> RunSummary {
        let ticket = self.answer_sender.ticket();
        let version = self.upstream.version().to_owned();
        let started = Started { ticket: Some(ticket.into()), version };
        self.answer_sender.send(to_entry::Body::Started(started)).await;
        let begin = Instant::now();
        let mut meter = TokenMeter::new();
        self.finish = match self.call().await {
            Ok(answer) => {
                self.answer_sender.set_head(answer.status, answer.content_type.clone());
                let mut watch = LatencyReporter::new(ticket, begin, desk.clone());
                self.stream(answer, &mut meter, &mut watch).await
            }
            Err(failure) => failure.into(),
        };
        self.tokens = meter.tokens();
        RunSummary {
            ticket,
            finish: self.finish,
            duration: begin.elapsed(),
            first_token: meter.first_token().map(|first| first.duration_since(begin)),
            inter_token: meter.mean_gap(),
            tokens: self.tokens,
        }
    }

    /// Sends the last frame with `load`, and again after each reconnect, until the entry withdraws
    /// the request or [`RECONNECT_GRACE`] is over.
    pub(crate) async fn deliver(mut self, load: Load) {
        let last = self.last_frame(load);
        let deadline = Instant::now() + RECONNECT_GRACE;
        self.answer_sender.send(last.clone()).await;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match timeout(left, self.control.recv()).await {
                Ok(Some(Control::Credit(chunks))) => self.answer_sender.credit(chunks),
                Ok(Some(Control::Resume { frames, next, taken })) => {
                    self.answer_sender.resume(frames, next, taken).await;
                    self.answer_sender.send(last.clone()).await;
                }
                Ok(Some(Control::Cancel) | None) | Err(_) => return,
            }
        }
    }

    async fn call(&mut self) -> Result<Answer, Failure> {
        let call = self.upstream.clone().call(self.answer_sender.ticket(), self.offer.clone());
        tokio::pin!(call);
        loop {
            tokio::select! {
                answer = &mut call => return answer,
                control = self.control.recv() => match control {
                    Some(Control::Credit(chunks)) => self.answer_sender.credit(chunks),
                    Some(Control::Resume { frames, next, taken }) => {
                        self.answer_sender.resume(frames, next, taken).await;
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
        watch: &mut LatencyReporter,
    ) -> Finish {
        loop {
            match self.step(&mut answer).await {
                Step::Control(Some(Control::Credit(chunks))) => self.answer_sender.credit(chunks),
                Step::Control(Some(Control::Resume { frames, next, taken })) => {
                    if !self.answer_sender.resume(frames, next, taken).await {
                        return Finish::Cancelled;
                    }
                }
                Step::Control(Some(Control::Cancel) | None) | Step::Abandoned => {
                    return Finish::Cancelled;
                }
                Step::Data(Some(Ok(data))) => {
                    watch.observe(meter.feed(&data, Instant::now()), Instant::now());
                    self.answer_sender.push(data).await;
                }
                Step::Data(Some(Err(error))) => return Failure::from(error).into(),
                Step::Data(None) if self.answer_sender.status() >= 500 => return Finish::Failed,
                Step::Data(None) => return Finish::Whole,
            }
        }
    }

    async fn step(&mut self, answer: &mut Answer) -> Step {
        let open = self.answer_sender.has_credit();
        let give_up = self.answer_sender.expiry();
        let abandoned = sleep_until(give_up.unwrap_or_else(Instant::now));
        tokio::select! {
            control = self.control.recv() => Step::Control(control),
            data = answer.chunk(), if open => Step::Data(data),
            () = abandoned, if give_up.is_some() => Step::Abandoned,
        }
    }

    fn last_frame(&self, load: Load) -> to_entry::Body {
        let ticket = Some(self.answer_sender.ticket().into());
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
            chunks: self.answer_sender.chunks(),
            code: code.to_owned(),
            tokens: self.tokens,
            load: Some(load),
            status: self.answer_sender.status().into(),
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
    begin: Instant,
    desk: mpsc::Sender<DispatcherMessage>,
    first: bool,
    /// Tokens since the last report.
    tokens: u32,
    since: Instant,
}

impl LatencyReporter {
    fn new(ticket: Ticket, begin: Instant, desk: mpsc::Sender<DispatcherMessage>) -> Self {
        Self { ticket, begin, desk, first: true, tokens: 0, since: begin }
    }

    fn observe(&mut self, fed: MeteredChunk, now: Instant) {
        if fed.tokens == 0 {
            return;
        }
        if self.first {
            self.first = false;
            self.since = now;
            return self.send(TokenLatency::FirstToken(now.duration_since(self.begin)));
        }
        self.tokens += fed.tokens;
        let passed = now.duration_since(self.since);
        if passed >= LATENCY_INTERVAL {
            self.send(TokenLatency::InterToken(passed / self.tokens));
            self.tokens = 0;
            self.since = now;
        }
    }

    /// Drops the report if the dispatcher's channel is full: a measurement is not worth waiting
    /// for.
    fn send(&self, pace: TokenLatency) {
        let _ = self
            .desk
            .try_send(DispatcherMessage::TokenLatency { ticket: self.ticket, latency: pace });
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
