//! Fake of the hosting platform's append-only log.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::Result;
use crate::server::{
    Answer, Body, BoundServer, Server, dropped_connection, empty, json, query_number, read_body,
    wait_until,
};

/// Longest time that a read waits for new records.
const MAX_READ_WAIT_MS: u64 = 60_000;
/// Largest number of records in an answer if the reader sets no limit.
const DEFAULT_READ_LIMIT: u64 = 1000;

/// An outage of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// No outage.
    None,
    /// Every call is answered with 503 and has no effect.
    Refuse,
    /// Calls have no effect and no answer until the outage ends; then they proceed.
    Hang,
}

/// Counters of a log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Append requests that took effect.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
    /// Read requests answered.
    pub reads: u64,
    /// Append requests that took effect but whose answers were lost.
    pub lost: u64,
}

/// Handle of a running fake log.
#[derive(Debug)]
pub struct Log {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Offset that the next record will get.
    head: watch::Sender<u64>,
    outage: watch::Sender<Outage>,
}

#[derive(Debug)]
struct State {
    /// Offset of the first record in `records`.
    oldest: u64,
    records: VecDeque<Bytes>,
    max_records: usize,
    /// Delay of each call before it is handled.
    call_delay: Duration,
    /// Delay between the end of an append's turn and its effect.
    effect_delay: Duration,
    /// Time for which each append occupies the log; appends are handled one after another.
    append_time: Duration,
    /// Time from which the log can handle the next append.
    free_at: Instant,
    /// Number of appends still to lose their answers after taking effect.
    answers_to_lose: u64,
    counts: LogCounts,
}

#[derive(Deserialize)]
struct AppendRequest {
    records: Vec<String>,
}

#[derive(Serialize)]
struct AppendReply {
    first: u64,
}

#[derive(Serialize)]
struct ReadReply {
    oldest: u64,
    head: u64,
    records: Vec<RecordBody>,
}

#[derive(Serialize)]
struct RecordBody {
    offset: u64,
    data: String,
}

impl Log {
    /// Starts an empty log that keeps all records.
    pub async fn start() -> Result<Self> {
        let state = State {
            oldest: 0,
            records: VecDeque::new(),
            max_records: usize::MAX,
            call_delay: Duration::ZERO,
            effect_delay: Duration::ZERO,
            append_time: Duration::ZERO,
            free_at: Instant::now(),
            answers_to_lose: 0,
            counts: LogCounts::default(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            head: watch::Sender::new(0),
            outage: watch::Sender::new(Outage::None),
        });
        let bound = BoundServer::new().await?;
        let handler_shared = Arc::clone(&shared);
        let handler = move |request| {
            let shared = Arc::clone(&handler_shared);
            Box::pin(shared.handle(request)) as _
        };
        Ok(Self { server: bound.serve(Arc::new(handler)), shared })
    }

    /// Returns the log's address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the number of newest records kept; older ones expire.
    pub fn set_max_records(&self, records: usize) {
        let mut state = self.shared.state();
        state.max_records = records;
        state.expire();
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.outage.send_replace(outage);
    }

    /// Sets the delay of each call before it is handled.
    pub fn set_call_delay(&self, delay: Duration) {
        self.shared.state().call_delay = delay;
    }

    /// Sets the delay between the arrival of an append and its effect. The append takes effect even
    /// if the caller disconnects meanwhile.
    pub fn set_effect_delay(&self, delay: Duration) {
        self.shared.state().effect_delay = delay;
    }

    /// Sets the time for which each append occupies the log; later appends wait in order of
    /// arrival.
    pub fn set_append_time(&self, time: Duration) {
        self.shared.state().append_time = time;
    }

    /// Makes the next `appends` appends take effect and then close their connections without an
    /// answer.
    pub fn lose_answers(&self, appends: u64) {
        self.shared.state().answers_to_lose = appends;
    }

    /// Closes all connections.
    pub fn cut(&self) {
        self.server.control().cut();
    }

    /// Closes all connections and refuses new ones for `down`. Records are kept.
    pub fn crash(&self, down: Duration) {
        self.server.control().crash(down);
    }

    /// Appends a record directly, without an HTTP request, and returns its offset.
    pub fn push(&self, record: impl Into<Bytes>) -> u64 {
        self.shared.push(vec![record.into()])
    }

    /// Returns the offset of the oldest record kept.
    pub fn oldest(&self) -> u64 {
        self.shared.state().oldest
    }

    /// Returns the offset that the next record will get.
    pub fn head(&self) -> u64 {
        *self.shared.head.borrow()
    }

    /// Returns the records kept, oldest first.
    pub fn records(&self) -> Vec<Bytes> {
        self.shared.state().records.iter().cloned().collect()
    }

    /// Returns the log's counters.
    pub fn counts(&self) -> LogCounts {
        self.shared.state().counts
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no task panics while it holds the lock")
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        if !self.wait_available().await {
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let call_delay = self.state().call_delay;
        wait_until(Instant::now() + call_delay).await;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/log") => self.append(request).await,
            (&Method::GET, "/v1/log") => Ok(self.read(request).await),
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    /// Waits until a hanging outage ends. Returns false if the call is to be refused.
    async fn wait_available(&self) -> bool {
        let mut outage = self.outage.subscribe();
        let current = outage.wait_for(|&outage| outage != Outage::Hang).await;
        !current.is_ok_and(|outage| *outage == Outage::Refuse)
    }

    async fn append(self: &Arc<Self>, request: Request<Incoming>) -> Answer {
        let body = read_body(request).await?;
        let Some(records) = decode_records(&body) else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        // Runs in its own task, so that the append takes effect even if the caller disconnects.
        let effect = tokio::spawn(Arc::clone(self).append_delayed(records));
        let first = effect.await.map_err(io::Error::other)?;
        let mut state = self.state();
        if state.answers_to_lose > 0 {
            state.answers_to_lose -= 1;
            state.counts.lost += 1;
            return Err(dropped_connection());
        }
        Ok(json(StatusCode::OK, &AppendReply { first }))
    }

    async fn append_delayed(self: Arc<Self>, records: Vec<Bytes>) -> u64 {
        let due = self.state().append_due();
        wait_until(due).await;
        let first = self.push(records);
        self.state().counts.appends += 1;
        first
    }

    fn push(&self, records: Vec<Bytes>) -> u64 {
        let mut state = self.state();
        let first = state.head();
        state.counts.records += records.len() as u64;
        state.records.extend(records);
        state.expire();
        // Published while the lock is held, so that readers never see the head decrease.
        self.head.send_replace(state.head());
        first
    }

    async fn read(&self, request: Request<Incoming>) -> Response<Body> {
        let uri = request.uri();
        let from = query_number(uri, "from", 0);
        let limit = query_number(uri, "limit", DEFAULT_READ_LIMIT);
        let wait_ms = query_number(uri, "wait_ms", 0).min(MAX_READ_WAIT_MS);
        let mut head = self.head.subscribe();
        let grown = head.wait_for(|&head| head > from);
        let _ = time::timeout(Duration::from_millis(wait_ms), grown).await;
        let mut state = self.state();
        state.counts.reads += 1;
        json(StatusCode::OK, &state.read_page(from, limit as usize))
    }
}

impl State {
    fn head(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Returns the time at which an append that arrives now takes effect, and reserves its turn.
    fn append_due(&mut self) -> Instant {
        self.free_at = self.free_at.max(Instant::now()) + self.append_time;
        self.free_at + self.effect_delay
    }

    fn expire(&mut self) {
        let excess = self.records.len().saturating_sub(self.max_records);
        self.records.drain(..excess);
        self.oldest += excess as u64;
    }

    fn read_page(&self, from: u64, limit: usize) -> ReadReply {
        let from = from.max(self.oldest);
        let skipped = (from - self.oldest) as usize;
        let records = self.records.iter().skip(skipped).take(limit);
        let records = records
            .zip(from..)
            .map(|(data, offset)| RecordBody { offset, data: BASE64_STANDARD.encode(data) })
            .collect();
        ReadReply { oldest: self.oldest, head: self.head(), records }
    }
}

fn decode_records(body: &[u8]) -> Option<Vec<Bytes>> {
    let append: AppendRequest = serde_json::from_slice(body).ok()?;
    let decoded = append.records.iter().map(|record| BASE64_STANDARD.decode(record));
    decoded.map(|record| record.ok().map(Bytes::from)).collect()
}
