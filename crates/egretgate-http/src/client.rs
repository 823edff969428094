//! Client of one peer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::time;

use crate::answer::Answer;
use crate::call::Call;
use crate::error::{Error, Result};

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body that [`Client::fetch`] reads, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of the peer at one address, with a pool of kept-alive connections.
///
/// Each call is written at most once: nothing is retried, not even on a connection that turns out
/// to be closed. Clones share the connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    authority: String,
}

impl Client {
    /// Returns a client of the peer at `address`. Connects when the first call is sent.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
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
        let response = self.pool.request(request).await?;
        Ok(response.into())
    }

    /// Sends a call and returns the answer with its whole body, within `timeout`.
    pub async fn fetch(&self, call: Call, timeout: Duration) -> Result<BufferedAnswer> {
        let mut transfer = Transfer::default();
        let whole = self.receive(call, &mut transfer);
        let result = time::timeout(timeout, whole).await;
        result.unwrap_or_else(|_| Err(timed_out(timeout, transfer)))
    }

    /// Sends a call and reads the whole answer; `transfer` tells what has arrived so far.
    async fn receive(&self, call: Call, transfer: &mut Transfer) -> Result<BufferedAnswer> {
        let started = Instant::now();
        let mut answer = self.send(call).await?;
        transfer.head_after = Some(started.elapsed());
        let mut body = BytesMut::new();
        while let Some(chunk) = answer.chunk().await {
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
            body: body.freeze(),
            transfer: *transfer,
        })
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

    /// Decodes the body as JSON. Returns an error unless the status is a success.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.is_success() {
            return Err(Error::MaybeSent(format!("status {}", self.status)));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| Error::MaybeSent(format!("unexpected answer: {error}")))
    }
}

fn timed_out(timeout: Duration, transfer: Transfer) -> Error {
    let timeout_ms = timeout.as_millis();
    let Transfer { head_after, bytes, .. } = transfer;
    Error::MaybeSent(match head_after {
        Some(head_after) => format!(
            "no whole answer within {timeout_ms} ms: head after {} ms, then {bytes} bytes",
            head_after.as_millis()
        ),
        None => format!("no head of an answer within {timeout_ms} ms"),
    })
}
