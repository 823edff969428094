//! An answer's body on its way to the caller, event by event where it may be resumed.

use std::fmt;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::gateway::upstream::Outcome;
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::timeout_at;

use crate::connect::Connection;
use crate::desk::Lease;
use crate::events::EventSplitter;
use crate::exchange::Exchange;

/// Silence within a stream after which its upstream gets nothing new.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Silence within a stream after which it goes on at another upstream; callers leave after 2 s.
const RESUME_AFTER: Duration = Duration::from_secs(1);
/// Time between looks for a faster upstream.
const HASTEN_PAUSE: Duration = Duration::from_millis(250);
/// Least events that tell an upstream's pace.
const PACE_EVENTS: u64 = 4;

/// The answer was cut, so the connection to the caller must be cut too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut")
    }
}

impl std::error::Error for Broken {}

/// An answer whose head was accepted.
#[derive(Debug)]
pub(crate) struct Run {
    /// Place at the upstream.
    pub(crate) lease: Lease,
    /// Connection that carries it.
    pub(crate) connection: Connection,
    /// Its head's headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Incoming,
}

impl Run {
    /// Ends the run after its whole answer.
    pub(crate) async fn complete(self, outcome: Outcome) {
        let connection = self.connection.recycle(&self.headers).await;
        self.lease.finish(outcome, connection);
    }
}

/// What came next.
enum Next {
    Data(Bytes),
    End,
    Cut,
    Silent,
    TimedOut,
}

/// The rest of an answer.
pub(crate) struct Relay {
    exchange: Exchange,
    run: Option<Run>,
    splitter: EventSplitter,
    first: Option<Instant>,
    last: Instant,
    /// Time from which a faster upstream may be looked for.
    hasten_at: Instant,
}

impl Relay {
    /// Returns the body that is passed on to the caller.
    pub(crate) fn body(
        exchange: Exchange,
        run: Run,
    ) -> BoxStream<'static, Result<Frame<Bytes>, Broken>> {
        let splitter = EventSplitter::after(exchange.last_event());
        let last = Instant::now();
        let relay = Self { exchange, run: Some(run), splitter, first: None, last, hasten_at: last };
        let parts = stream::unfold(relay, |mut relay| async {
            let part = relay.part().await?;
            Some((part.map(Frame::data), relay))
        });
        parts.boxed()
    }

    /// Returns the next bytes for the caller; `None` after the end.
    async fn part(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            self.run.as_ref()?;
            self.hasten().await;
            if self.run.is_none() {
                return Some(Err(Broken));
            }
            match self.next().await {
                Next::Data(bytes) => {
                    self.first.get_or_insert_with(Instant::now);
                    let whole = self.pass(bytes);
                    if !whole.is_empty() {
                        return Some(Ok(whole));
                    }
                }
                Next::End => {
                    self.end().await;
                    let rest = self.splitter.rest();
                    let held = self.exchange.is_resumable() && !rest.is_empty();
                    return held.then_some(Ok(rest));
                }
                Next::Cut => self.resume(Outcome::InvalidAnswer).await,
                Next::Silent => self.resume(Outcome::Stalled).await,
                Next::TimedOut => {
                    self.exchange.close("timed_out");
                    self.run = None;
                    return Some(Err(Broken));
                }
            }
            if self.run.is_none() {
                return Some(Err(Broken));
            }
        }
    }

    /// Returns the bytes that may be passed on: whole events if the stream may be resumed.
    fn pass(&mut self, bytes: Bytes) -> Bytes {
        let before = self.splitter.count();
        let whole = self.splitter.push(&bytes);
        self.exchange.events += self.splitter.count() - before;
        if self.exchange.is_resumable() {
            return whole;
        }
        // Here the splitter only counts events; nothing is held back.
        bytes
    }

    async fn next(&mut self) -> Next {
        let Some(run) = &mut self.run else { return Next::End };
        let deadline = self.exchange.deadline();
        let resumable = self.exchange.may_resume();
        let mut limit = self.last + SUSPECT_AFTER;
        let mut suspected = false;
        loop {
            let until = if resumable || !suspected { deadline.min(limit) } else { deadline };
            match timeout_at(until.into(), run.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    self.last = Instant::now();
                    match frame.into_data() {
                        Ok(data) if !data.is_empty() => return Next::Data(data),
                        _ => {}
                    }
                }
                Ok(Some(Err(_))) => return Next::Cut,
                Ok(None) => return Next::End,
                Err(_) if Instant::now() >= deadline => return Next::TimedOut,
                Err(_) if suspected => return Next::Silent,
                Err(_) => {
                    run.lease.suspect(self.last);
                    suspected = true;
                    limit = self.last + RESUME_AFTER;
                }
            }
        }
    }

    /// Goes on at a faster upstream if the stream may otherwise not end in time.
    ///
    /// The load it answers: engines several times slower than others, and answers that turn out
    /// longer than estimated.
    async fn hasten(&mut self) {
        let now = Instant::now();
        if now < self.hasten_at || !self.exchange.may_resume() {
            return;
        }
        let Some(pace) = self.pace().filter(|pace| self.exchange.may_end_late(*pace)) else {
            return;
        };
        self.hasten_at = now + HASTEN_PAUSE;
        let Some(lease) = self.exchange.faster(pace).await else { return };
        let Some(run) = self.run.take() else { return };
        // The slower upstream must have stopped before the other one starts.
        drop(run.body);
        drop(run.connection);
        run.lease.finish(Outcome::Succeeded { unit_seconds: Some(pace) }, None);
        self.go_on(Some(lease)).await;
    }

    async fn end(&mut self) {
        if let Some(run) = self.run.take() {
            self.exchange.close("served");
            run.complete(Outcome::Succeeded { unit_seconds: self.pace() }).await;
        }
    }

    fn pace(&self) -> Option<f64> {
        let events = self.splitter.count();
        let first = self.first.filter(|_| events >= PACE_EVENTS)?;
        Some((self.last - first).as_secs_f64() / (events - 1) as f64)
    }

    /// Continues the stream at another upstream, if that is allowed; otherwise ends it as cut.
    async fn resume(&mut self, outcome: Outcome) {
        let Some(run) = self.run.take() else { return };
        // The connection is closed first, by which the upstream learns that it must stop.
        drop(run.body);
        drop(run.connection);
        run.lease.finish(outcome, None);
        if !self.exchange.may_resume() {
            self.exchange.close("cut");
            return;
        }
        self.go_on(None).await;
    }

    /// Starts the run that goes on after the last whole event.
    async fn go_on(&mut self, lease: Option<Lease>) {
        self.splitter.rest();
        let last = self.splitter.last();
        match self.exchange.resume(last, lease).await {
            Ok(run) => {
                self.run = Some(run);
                self.last = Instant::now();
                self.first = None;
                self.splitter = EventSplitter::after(last);
            }
            Err(fault) => self.exchange.close(fault.code()),
        }
    }
}
