//! Client of one peer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::HeaderName;
use http_body_util::Full;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::time;

use crate::answer::Answer;
use crate::call::Call;
use crate::connector::Connector;
use crate::error::{Error, Result};

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body that [`Client::fetch`] and [`Client::fetch_growing`] read, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;
/// Least rate at which [`Client::fetch_growing`] goes on reading a body.
pub const MIN_BYTES_PER_SECOND: u32 = 64 << 10;
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of the peer at one address, with a pool of kept-alive connections.
///
/// Each call is written at most once: nothing is retried, not even on a connection that turns out
/// to be closed. Clones share the connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<Connector, Full<Bytes>>,
    address: SocketAddr,
    authority: String,
}

impl Client {
    /// Returns a client of the peer at `address`. Connects when the first call is sent.
    pub fn new(address: SocketAddr) -> Self {
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(Connector::new(CONNECT_TIMEOUT));
        Self { pool, address, authority: address.to_string() }
    }

    /// Returns the peer's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call and returns once the head of the answer has arrived.
    ///
    /// Dropping the future cancels the call; it may have been written.
    pub async fn send(&self, call: Call) -> Result<Answer> {
        let request = call.into_request(&self.authority)?;
        Answer::try_from(self.pool.request(request).await?)
    }

    /// Sends a call and returns the answer with its whole body, within `timeout`.
    pub async fn fetch(&self, call: Call, timeout: Duration) -> Result<BufferedAnswer> {
        self.receive(call, Patience::Whole(timeout)).await
    }

    /// Sends a call and returns the answer with its whole body, however long it takes to arrive.
    ///
    /// Use this for answers that grow with the peer's state. Fails if the head or the next part of
    /// the body takes longer than `silence`, or if the body arrives at a lower rate than
    /// [`MIN_BYTES_PER_SECOND`].
    pub async fn fetch_growing(&self, call: Call, silence: Duration) -> Result<BufferedAnswer> {
        self.receive(call, Patience::WhileItArrives(silence)).await
    }

    async fn receive(&self, call: Call, patience: Patience) -> Result<BufferedAnswer> {
        let started = Instant::now();
        let mut transfer = Transfer::default();
        let part = |transfer: &Transfer| patience.part_deadline(started, transfer).into();
        let timed_out = |transfer: Transfer| timed_out(started.elapsed(), transfer);
        let head = time::timeout_at(part(&transfer), self.send(call)).await;
        let mut answer = head.map_err(|_| timed_out(transfer))??;
        transfer.head_after = Some(started.elapsed());
        let mut body = BytesMut::new();
        loop {
            let chunk = time::timeout_at(part(&transfer), answer.chunk()).await;
            let Some(chunk) = chunk.map_err(|_| timed_out(transfer))? else { break };
            let chunk = chunk?;
            if body.len() + chunk.len() > MAX_BODY_BYTES {
                return Err(Error::MaybeSent(format!("answer over {MAX_BODY_BYTES} bytes")));
            }
            body.extend_from_slice(&chunk);
            transfer.bytes = body.len();
        }
        transfer.took = started.elapsed();
        Ok(BufferedAnswer {
            status: answer.status,
            retry_after: answer.retry_after(),
            headers: answer.into_headers(),
            body: body.freeze(),
            transfer,
        })
    }
}

/// How long a call waits for the next part of its answer.
#[derive(Debug, Clone, Copy)]
enum Patience {
    /// The whole answer arrives within this time.
    Whole(Duration),
    /// Each part arrives within this time after the one before, and the body at the least rate.
    WhileItArrives(Duration),
}

impl Patience {
    /// Returns the time by which the next part must arrive.
    fn part_deadline(self, started: Instant, transfer: &Transfer) -> Instant {
        match self {
            Self::Whole(timeout) => started + timeout,
            Self::WhileItArrives(silence) => {
                let seconds = transfer.bytes as f64 / f64::from(MIN_BYTES_PER_SECOND);
                let at_least_rate = started + silence + Duration::from_secs_f64(seconds);
                at_least_rate.min(Instant::now() + silence)
            }
        }
    }
}

/// An answer with its whole body.
#[derive(Debug, Clone)]
pub struct BufferedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Time in the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Body.
    pub body: Bytes,
    /// How it arrived.
    pub transfer: Transfer,
    headers: HeaderMap,
}

/// How much of an answer has arrived, and when.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Time from the start of the call until the head arrived; `None` if it hasn't.
    pub head_after: Option<Duration>,
    /// Bytes of the body.
    pub bytes: usize,
    /// Time from the start of the call until the end of the body.
    pub took: Duration,
}

impl BufferedAnswer {
    /// Returns true for a status in `200..300`.
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Returns a header's value, if it is present and text.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Decodes the body as JSON. Returns an error unless the status is a success.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.is_success() {
            return Err(Error::MaybeSent(format!("status {}", self.status)));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| Error::MaybeSent(format!("unexpected answer: {error}")))
    }
}

fn timed_out(waited: Duration, transfer: Transfer) -> Error {
    let waited_ms = waited.as_millis();
    let Transfer { head_after, bytes, .. } = transfer;
    Error::MaybeSent(match head_after {
        Some(head_after) => format!(
            "no whole answer within {waited_ms} ms: head after {} ms, then {bytes} bytes",
            head_after.as_millis()
        ),
        None => format!("no head of an answer within {waited_ms} ms"),
    })
}
