//! Passes an answer's body on to the caller, event by event if the stream may be resumed.

use std::fmt;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::gateway::upstream::Outcome;
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::error::Elapsed;
use tokio::time::timeout_at;

use crate::attempt::Attempt;
use crate::connect::Connection;
use crate::dispatcher::SlotPermit;
use crate::events::EventSplitter;
use crate::exchange::{AfterSilence, Exchange, Handover, NextSent, PresentUpstream};
use crate::framing::Framing;

/// Silence within a stream after which its upstream is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Silence within a stream after which another upstream is asked; callers leave after 2 s.
const ASK_AFTER: Duration = Duration::from_secs(1);
/// Longest event, in bytes, of an upstream that works.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Interval between checks for a faster upstream.
const MIGRATION_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Smallest number of events from which an answer's event interval is measured.
const MIN_INTERVAL_EVENTS: u64 = 4;

/// The answer was cut, so the connection to the caller must be cut too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnswerCut;

impl fmt::Display for AnswerCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut")
    }
}

impl std::error::Error for AnswerCut {}

/// An answer whose head was accepted.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    /// Permit for the slot at the upstream.
    pub(crate) permit: SlotPermit,
    /// Connection on which it arrives.
    pub(crate) connection: Connection,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Incoming,
}

impl UpstreamAnswer {
    /// Frees the slot after the complete answer and keeps the connection.
    pub(crate) async fn complete(self, outcome: Outcome) {
        let connection = self.connection.recycle(&self.headers).await;
        self.permit.finish(outcome, connection);
    }
}

/// The next step of a stream.
enum StreamStep {
    Data(Bytes),
    End,
    Cut,
    Stalled,
    TimedOut,
    /// Another upstream goes on with the stream, or it has ended as cut.
    Left,
}

/// The result of waiting for a frame until the deadline.
type FrameResult = Result<Option<hyper::Result<Frame<Bytes>>>, Elapsed>;

/// A frame of an answer, with what is needed to read on.
struct FrameSent {
    frame: FrameResult,
    body: Incoming,
    connection: Connection,
}

/// The next frame of an answer; dropping it closes the connection.
type NextFrame = NextSent<FrameSent>;

/// An answer whose next frame is waited for apart from it.
struct Present {
    permit: SlotPermit,
    headers: HeaderMap,
}

/// The body of an answer that is being passed on.
pub(crate) struct Relay {
    exchange: Exchange,
    answer: Option<UpstreamAnswer>,
    splitter: EventSplitter,
    first_data: Option<Instant>,
    last_data: Instant,
    /// Earliest time of the next check for a faster upstream.
    migration_check: Instant,
}

impl Relay {
    /// Returns the body that the caller gets.
    pub(crate) fn body(
        exchange: Exchange,
        answer: UpstreamAnswer,
    ) -> BoxStream<'static, Result<Frame<Bytes>, AnswerCut>> {
        let splitter = EventSplitter::after(exchange.last_event());
        let now = Instant::now();
        let relay = Self {
            exchange,
            answer: Some(answer),
            splitter,
            first_data: None,
            last_data: now,
            migration_check: now,
        };
        let chunks = stream::unfold(relay, |mut relay| async {
            let chunk = relay.next_chunk().await?;
            Some((chunk.map(Frame::data), relay))
        });
        chunks.boxed()
    }

    /// Returns the next bytes for the caller; `None` after the end.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, AnswerCut>> {
        loop {
            self.answer.as_ref()?;
            // Data that is always there would keep the timeout below from ending the stream.
            if Instant::now() >= self.exchange.deadline() {
                self.end_timed_out();
                return Some(Err(AnswerCut));
            }
            let step = match self.migrate_if_late().await {
                Some(step) => step,
                None => self.next_step().await,
            };
            let step = if matches!(step, StreamStep::Stalled) {
                self.outlast_silence().await
            } else {
                step
            };
            match step {
                StreamStep::Data(bytes) => {
                    self.first_data.get_or_insert_with(Instant::now);
                    let events = self.take_complete_events(bytes);
                    if self.splitter.partial_bytes() > MAX_EVENT_BYTES {
                        self.resume(Outcome::InvalidAnswer).await;
                        if self.answer.is_none() {
                            return Some(Err(AnswerCut));
                        }
                    }
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                StreamStep::End if self.is_broken_off() => {
                    self.resume(Outcome::InvalidAnswer).await;
                }
                StreamStep::End => {
                    self.finish().await;
                    let remainder = self.splitter.rest();
                    let has_remainder = self.exchange.is_resumable() && !remainder.is_empty();
                    return has_remainder.then_some(Ok(remainder));
                }
                StreamStep::Cut => self.resume(Outcome::InvalidAnswer).await,
                StreamStep::Stalled | StreamStep::Left => {}
                StreamStep::TimedOut => {
                    self.end_timed_out();
                    return Some(Err(AnswerCut));
                }
            }
            if self.answer.is_none() {
                return Some(Err(AnswerCut));
            }
        }
    }

    /// Returns true if the upstream broke off the stream that has just ended.
    ///
    /// An answer that ends with its connection ends in the same way when its upstream crashes, so
    /// the events decide. A stream that was closed between two events can't be told from a whole
    /// one.
    fn is_broken_off(&self) -> bool {
        let Some(answer) = &self.answer else { return false };
        if !is_event_stream(&answer.headers) {
            return false;
        }
        // A resumed stream may have nothing left to send.
        let is_empty = self.splitter.count() == 0 && self.splitter.last().is_none();
        self.splitter.partial_bytes() > 0
            || (is_empty && Framing::of(&answer.headers) == Framing::Close)
    }

    /// Returns the bytes that may be passed on: only complete events if the stream may be resumed.
    fn take_complete_events(&mut self, bytes: Bytes) -> Bytes {
        let before = self.splitter.count();
        let events = self.splitter.push(&bytes);
        self.exchange.events += self.splitter.count() - before;
        if self.exchange.is_resumable() {
            return events;
        }
        // Here the splitter only counts events; nothing is held back.
        bytes
    }

    /// Waits for data or the end of the answer, and suspects the upstream if it is silent for long.
    async fn next_step(&mut self) -> StreamStep {
        let Some(answer) = &mut self.answer else { return StreamStep::End };
        let deadline = self.exchange.deadline();
        let resumable = self.exchange.may_resume();
        let mut silence_deadline = self.last_data + SUSPECT_AFTER;
        let mut suspected = false;
        loop {
            let until =
                if resumable || !suspected { deadline.min(silence_deadline) } else { deadline };
            match timeout_at(until.into(), answer.body.frame()).await {
                Err(_) if Instant::now() >= deadline => return StreamStep::TimedOut,
                Err(_) if suspected => return StreamStep::Stalled,
                Err(_) => {
                    answer.permit.suspect(self.last_data);
                    suspected = true;
                    silence_deadline = self.last_data + ASK_AFTER;
                }
                frame => {
                    self.last_data = Instant::now();
                    if let Some(step) = step_of(frame) {
                        return step;
                    }
                }
            }
        }
    }

    /// Waits for what a silent upstream sends next, and looks for another upstream meanwhile.
    async fn outlast_silence(&mut self) -> StreamStep {
        let since = self.last_data;
        let Some((present, next)) = self.take_present() else { return StreamStep::End };
        let after = self.exchange.await_silent(since, next, goes_on).await;
        self.after_silence(present, after).await
    }

    async fn after_silence(
        &mut self,
        present: Present,
        after: AfterSilence<FrameSent>,
    ) -> StreamStep {
        match after {
            AfterSilence::WentOn(sent) => self.go_on(present, sent),
            AfterSilence::Left(attempt, outcome) => {
                let Present { mut permit, .. } = present;
                self.record_end(&mut permit);
                self.exchange.log_break(&permit.id, outcome);
                permit.finish(outcome, None);
                self.go_on_elsewhere(attempt).await;
                StreamStep::Left
            }
        }
    }

    /// Migrates the stream to a faster upstream if it may otherwise not end in time; returns the step
    /// that this took, if any.
    ///
    /// This happens when an engine is several times slower than others, or when an answer is longer
    /// than estimated.
    async fn migrate_if_late(&mut self) -> Option<StreamStep> {
        let now = Instant::now();
        if now < self.migration_check || !self.exchange.may_resume() {
            return None;
        }
        let event_interval = self
            .event_interval()
            .filter(|event_interval| self.exchange.may_end_late(*event_interval))?;
        self.migration_check = now + MIGRATION_CHECK_INTERVAL;
        let permit = self.exchange.request_faster(event_interval).await?;
        let (present, next) = self.take_present()?;
        let step = match self.exchange.hand_over(permit, next, PresentUpstream::Slower).await {
            Handover::Done(attempt, _) => {
                let outcome = Outcome::Succeeded { unit_seconds: Some(event_interval) };
                present.permit.finish(outcome, None);
                self.go_on_elsewhere(attempt).await;
                StreamStep::Left
            }
            Handover::Overtaken(sent) => self.go_on(present, sent),
            Handover::Refused(mut next) => {
                let since = self.last_data;
                let after = match timeout_at((since + ASK_AFTER).into(), &mut next).await {
                    Ok(sent) => AfterSilence::WentOn(sent),
                    Err(_) => self.exchange.await_silent(since, next, goes_on).await,
                };
                self.after_silence(present, after).await
            }
        };
        Some(step)
    }

    /// Takes the answer apart, so that its next frame can be waited for or given up.
    fn take_present(&mut self) -> Option<(Present, NextFrame)> {
        self.exchange.set_last_event(self.splitter.last());
        let UpstreamAnswer { permit, connection, headers, mut body } = self.answer.take()?;
        let deadline = self.exchange.deadline();
        let next = Box::pin(async move {
            let frame = timeout_at(deadline.into(), body.frame()).await;
            FrameSent { frame, body, connection }
        });
        Some((Present { permit, headers }, next))
    }

    /// Puts the answer together again and returns its next step.
    fn go_on(&mut self, present: Present, sent: FrameSent) -> StreamStep {
        let Present { permit, headers } = present;
        let FrameSent { frame, body, connection } = sent;
        self.answer = Some(UpstreamAnswer { permit, connection, headers, body });
        self.last_data = Instant::now();
        step_of(frame).unwrap_or(StreamStep::Data(Bytes::new()))
    }

    /// Goes on with another upstream's answer; without one, looks for a further upstream.
    async fn go_on_elsewhere(&mut self, attempt: Attempt) {
        match attempt {
            Attempt::Answer(answer, status) if status.is_success() => self.take_over(answer),
            attempt => {
                self.exchange.log_attempt(&attempt);
                drop(attempt);
                self.resume_elsewhere().await;
            }
        }
    }

    /// Records where the upstream's answer has ended.
    fn record_end(&mut self, permit: &mut SlotPermit) {
        self.exchange.partial_bytes = self.splitter.partial_bytes();
        self.exchange.count_stream_end();
        if let Some(first_data) = self.first_data {
            permit.record_writing(self.last_data.saturating_duration_since(first_data));
        }
    }

    /// Ends the stream as cut, since the caller or the route has timed out.
    fn end_timed_out(&mut self) {
        if let Some(mut answer) = self.answer.take() {
            self.record_end(&mut answer.permit);
        }
        self.exchange.log_end("timed_out");
    }

    /// Ends the stream after the complete answer.
    async fn finish(&mut self) {
        if let Some(mut answer) = self.answer.take() {
            self.record_end(&mut answer.permit);
            self.exchange.log_end("served");
            answer.complete(Outcome::Succeeded { unit_seconds: self.event_interval() }).await;
        }
    }

    /// Returns the seconds between events; `None` if there were too few events to measure it.
    fn event_interval(&self) -> Option<f64> {
        let events = self.splitter.count();
        let first_data = self.first_data.filter(|_| events >= MIN_INTERVAL_EVENTS)?;
        Some((self.last_data - first_data).as_secs_f64() / (events - 1) as f64)
    }

    /// Resumes the stream, which its upstream has ended, at another upstream if that is allowed;
    /// otherwise ends it as cut.
    async fn resume(&mut self, outcome: Outcome) {
        let Some(mut answer) = self.answer.take() else { return };
        self.record_end(&mut answer.permit);
        self.exchange.log_break(&answer.permit.id, outcome);
        // Closing the connection first tells the upstream to stop.
        drop(answer.body);
        drop(answer.connection);
        answer.permit.finish(outcome, None);
        self.resume_elsewhere().await;
    }

    /// Continues the stream after its last complete event, if that is allowed.
    async fn resume_elsewhere(&mut self) {
        if !self.exchange.may_resume() {
            self.exchange.log_end("cut");
            return;
        }
        match self.exchange.resume(self.splitter.last()).await {
            Ok(answer) => self.take_over(answer),
            Err(fault) => self.exchange.log_end(fault.code()),
        }
    }

    /// Goes on with an answer that begins after the last complete event.
    fn take_over(&mut self, answer: UpstreamAnswer) {
        self.answer = Some(answer);
        self.last_data = Instant::now();
        self.first_data = None;
        self.splitter = EventSplitter::after(self.splitter.last());
    }
}

/// Returns true unless the upstream broke off.
fn goes_on(sent: &FrameSent) -> bool {
    matches!(sent.frame, Ok(None | Some(Ok(_))))
}

/// Returns the step that a frame stands for; `None` if it holds no data.
fn step_of(frame: FrameResult) -> Option<StreamStep> {
    match frame {
        Ok(Some(Ok(frame))) => {
            let data = frame.into_data().ok().filter(|data| !data.is_empty())?;
            Some(StreamStep::Data(data))
        }
        Ok(Some(Err(_))) => Some(StreamStep::Cut),
        Ok(None) => Some(StreamStep::End),
        Err(_) => Some(StreamStep::TimedOut),
    }
}

/// Returns true unless the answer states another type than a stream of events.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else { return true };
    let media_type = value.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
    media_type.trim_ascii().eq_ignore_ascii_case(b"text/event-stream")
}
