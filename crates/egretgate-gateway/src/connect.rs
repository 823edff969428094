//! Connections to upstreams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_http::{EndChecked, EndState};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::head_limit::{HeadBudget, HeadLimited};

/// Timeout for opening a connection; round trips take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Size of a connection's send buffer, in bytes.
const SEND_BUFFER: u32 = 64 << 10;
/// Fraction of an upstream's idle timeout for which a connection is kept.
const IDLE_FRACTION: f64 = 0.5;
/// Time for which an idle connection is kept if the upstream declares no idle timeout.
const DEFAULT_IDLE: Duration = Duration::from_millis(800);
/// Longest time for which an idle connection is kept, since upstreams sometimes close them early.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Time for which the rest of a request is written after its answer was complete.
const LATE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of a send.
pub(crate) type Result<T> = std::result::Result<T, SendError>;

/// A failed send, by whether the upstream may have received the request.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte was written; the request is returned.
    NotSent(Box<Request<Full<Bytes>>>),
    /// A byte may have been written.
    MaybeSent,
}

/// A connection to an upstream, for one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Bytes that may arrive before the head of the next answer.
    head_budget: HeadBudget,
    end: EndState,
    task: AbortHandle,
    /// Time until which the connection may be reused while it is idle.
    reusable_until: Instant,
    /// True once an earlier request was answered on it.
    is_reused: bool,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        Self::over(connect(address).await?).await
    }

    /// Returns the connection over an open socket.
    pub(crate) async fn over(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_nodelay(true)?;
        let head_budget = HeadBudget::default();
        let end = EndState::default();
        let stream = EndChecked::new(stream, end.clone());
        let stream = TokioIo::new(HeadLimited::new(stream, head_budget.clone()));
        let (sender, connection) = http1::handshake(stream).await.map_err(std::io::Error::other)?;
        // Its errors reach the request in flight; an idle connection just closes.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        let task = task.abort_handle();
        let reusable_until = Instant::now() + DEFAULT_IDLE;
        Ok(Self { sender, head_budget, end, task, reusable_until, is_reused: false })
    }

    /// Returns true if another request may be sent.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.sender.is_ready() && !self.end.has_ended() && now < self.reusable_until
    }

    /// Returns true if the upstream has not closed it.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.end.has_ended()
    }

    /// Returns true if an earlier request was answered on it: what arrives may be a second copy of
    /// that answer.
    pub(crate) const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and returns the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        self.head_budget.begin();
        let mut failed = match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_budget.end();
                return Ok(response);
            }
            Err(failed) => failed,
        };
        match failed.take_message() {
            Some(request) => Err(SendError::NotSent(Box::new(request))),
            None => Err(SendError::MaybeSent),
        }
    }

    /// Returns the connection for another request after its answer was read completely; `None` if
    /// the upstream closes it or has answered before it has read the request.
    pub(crate) async fn recycle(mut self, headers: &HeaderMap) -> Option<Self> {
        if self.end.is_early() {
            self.finish_request();
            return None;
        }
        if closes(headers) || self.sender.is_closed() {
            return None;
        }
        self.sender.ready().await.ok()?;
        self.end.answered();
        if self.end.has_ended() {
            return None;
        }
        self.reusable_until = Instant::now() + idle_time(headers);
        self.is_reused = true;
        Some(self)
    }

    /// Writes the rest of a request that was answered early, then closes the connection.
    fn finish_request(self) {
        tokio::spawn(async move {
            let is_given_up = timeout(LATE_WRITE_TIMEOUT, self.end.flushed()).await.is_err();
            let rest = if is_given_up { "given_up" } else { "ended" };
            metrics::counter!("egretgate_early_answers_total", "rest" => rest).increment(1);
            // The HTTP library doesn't notice the end of such a write by itself.
            self.task.abort();
        });
    }
}

/// Opens a socket to an upstream.
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // The socket must not take a whole long request that its upstream doesn't read.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    timeout(CONNECT_TIMEOUT, socket.connect(address)).await?
}

fn closes(headers: &HeaderMap) -> bool {
    let tokens = headers.get_all(http::header::CONNECTION).iter();
    tokens
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// Returns the time for which the idle connection may be reused.
fn idle_time(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok()).unwrap_or("");
    let parameters = value.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let seconds = parameters
        .filter(|(name, _)| name.eq_ignore_ascii_case("timeout"))
        .find_map(|(_, seconds)| seconds.trim().parse::<f64>().ok())
        .filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    seconds.map_or(DEFAULT_IDLE, |seconds| {
        Duration::from_secs_f64((seconds * IDLE_FRACTION).min(MAX_IDLE.as_secs_f64()))
    })
}
