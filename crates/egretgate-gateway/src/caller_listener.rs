//! The listener for callers.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, resume_unwind};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use egretgate_core::gateway::catalog::{CallerLimits, Catalog};
use futures::FutureExt as _;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at};

use crate::answer::{Body, Fault};
use crate::dialect::RequestHead;
use crate::exchange::{Exchange, ExchangeContext};
use crate::held::{Holder, Lease};
use crate::idle_timer::IdleTimer;
use crate::listeners;
use crate::plan::CallerRequest;
use crate::read_ahead::{ReadAhead, Reading};
use crate::tasks::Tasks;

/// Retry-after while the entry starts.
const START_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time for which callers are kept waiting while the entry starts; they wait one second for a
/// connection.
const START_WAIT: Duration = Duration::from_millis(700);
/// Longest time in which the body of a request must arrive; its caller may state a shorter one.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry-after of a request whose body was not read.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which a connection without a request is kept once the entry closes idle ones: a request
/// that its caller has sent by then arrives.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(100);
/// Least size that a connection's read buffer may grow to, in bytes. The buffer holds the head of a
/// request, whose declared limit may grow while the connection is kept.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Phase of the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It is about to stop and reports that it isn't ready.
    Draining,
    /// Idle connections are closed, and others after their answer.
    Closing,
}

/// The listener and the state that its connections share.
pub(crate) struct CallerListener {
    pub(crate) context: Arc<ExchangeContext>,
    pub(crate) catalog: watch::Receiver<Option<Arc<Catalog>>>,
    pub(crate) phase: watch::Receiver<Phase>,
    /// Number of the next request of this incarnation.
    pub(crate) numbers: AtomicU64,
    /// Each connection holds a receiver; the entry waits until none is left.
    pub(crate) connections: watch::Sender<()>,
    pub(crate) tasks: Tasks,
}

impl CallerListener {
    /// Accepts connections until the entry closes idle ones: later ones could not be served.
    pub(crate) async fn run(self: &Arc<Self>, socket: &mut Option<TcpListener>) {
        let Some(listener) = socket.as_ref() else { return };
        // The entry doesn't stop before the listener has ended.
        let _guard = self.connections.subscribe();
        let mut phase = self.phase.clone();
        let mut catalog = self.catalog.clone();
        // Callers that connect before the declarations are read wait rather than being refused.
        let known = catalog.wait_for(Option::is_some);
        if timeout(START_WAIT, known).await.is_err() {
            warn!(self.context.log, "callers are refused until declarations are read");
        }
        loop {
            let stream = tokio::select! {
                stream = listeners::accept(listener, &self.context.log) => stream,
                () = closing(&mut phase) => break,
            };
            self.spawn_connection(stream);
        }
        let Some(listener) = socket.take() else { return };
        if let Err(error) = self.accept_waiting(listener) {
            warn!(self.context.log, "connections lost at the stop"; "error" => %error);
        }
    }

    /// Accepts the connections that the system has opened; closing the listener would reset them.
    fn accept_waiting(self: &Arc<Self>, listener: TcpListener) -> std::io::Result<()> {
        let listener = listener.into_std()?;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    let stream = TcpStream::from_std(stream)?;
                    self.spawn_connection(stream);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    fn spawn_connection(self: &Arc<Self>, stream: TcpStream) {
        let connection = Arc::clone(self).connection(stream, self.connections.subscribe());
        self.tasks.spawn("connection", connection);
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, _guard: watch::Receiver<()>) {
        if let Err(error) = stream.set_nodelay(true) {
            info!(self.context.log, "TCP_NODELAY not set"; "error" => %error);
        }
        let limits = self.limits();
        let mut phase = self.phase.clone();
        let listener = Arc::clone(&self);
        let lacks_chunks = Arc::new(AtomicBool::new(false));
        let caller_lacks_chunks = Arc::clone(&lacks_chunks);
        let ahead = ReadAhead::default();
        let reading = ahead.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let listener = Arc::clone(&listener);
            let ahead = ahead.clone();
            lacks_chunks.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
            async move {
                let mut response = Arc::clone(&listener).answer(request, ahead).await;
                if *listener.phase.borrow() > Phase::Serving {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response)
            }
        });
        let mut connection = http1::Builder::new()
            .timer(IdleTimer::new(self.catalog.clone(), limits.idle_timeout))
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.header_bytes.max(READ_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let mut is_closing = false;
        let mut closing = pin!(async {
            closing(&mut phase).await;
            sleep(LAST_REQUEST_WAIT).await;
        });
        let served = AssertUnwindSafe(poll_fn(|cx| {
            if let Poll::Ready(result) = Pin::new(&mut connection).poll(cx) {
                return Poll::Ready(Ok(result));
            }
            // The connection has read what was there, so no request on it is closed with it.
            if !is_closing && closing.as_mut().poll(cx).is_ready() {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
                if let Poll::Ready(result) = Pin::new(&mut connection).poll(cx) {
                    return Poll::Ready(Ok(result));
                }
            }
            match reading.poll(cx) {
                Reading::GoesOn => Poll::Pending,
                Reading::Unread { id, held } => Poll::Ready(Err((id, held))),
            }
        }));
        let result = match served.catch_unwind().await {
            Ok(Ok(result)) => result,
            Err(panic) => {
                if caller_lacks_chunks.load(Ordering::Relaxed) {
                    self.reset(&connection.into_parts().io.into_inner());
                }
                resume_unwind(panic)
            }
            Ok(Err((id, held))) => {
                metrics::counter!("egretgate_unread_answers_total").increment(1);
                info!(self.context.log, "unread answer given up"; "id" => id, "held" => held);
                self.reset(&connection.into_parts().io.into_inner());
                return;
            }
        };
        // This happens when a caller leaves or an answer is cut on purpose.
        let Err(error) = result else { return };
        if error.is_timeout() {
            metrics::counter!("egretgate_caller_timeouts_total").increment(1);
            info!(self.context.log, "idle connection closed";
                "limit_ms" => self.limits().idle_timeout.as_millis() as u64,
                "opened_with_ms" => limits.idle_timeout.as_millis() as u64);
        }
        slog::debug!(self.context.log, "connection ended"; "error" => %error);
        if caller_lacks_chunks.load(Ordering::Relaxed) {
            self.reset(&connection.into_parts().io.into_inner());
        }
    }

    /// Has a connection reset once it is closed: without chunks an answer ends with its connection,
    /// so only a reset shows that it was cut.
    fn reset(&self, stream: &TcpStream) {
        if let Err(error) = stream.set_zero_linger() {
            info!(self.context.log, "connection not reset"; "error" => %error);
        }
    }

    fn limits(&self) -> CallerLimits {
        self.catalog.borrow().as_ref().map(|catalog| catalog.limits).unwrap_or_default()
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        ahead: ReadAhead,
    ) -> Response<Body> {
        let received = Instant::now();
        let catalog = self.catalog.borrow().clone();
        let Some(catalog) = catalog else {
            return self.refuse(&request, Fault::NotReady, Some(START_RETRY_AFTER));
        };
        if header_bytes(request.headers()) > catalog.limits.header_bytes {
            return self.refuse(&request, Fault::HeadTooLarge, None);
        }
        let (head, body) = request.into_parts();
        let request_head = self.context.dialect.read_request(&head.headers);
        let limit = catalog.limits.body_bytes;
        let has_body = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        let (body, holder) = match self.read_body(body, limit, &request_head, received).await {
            Ok(read) => read,
            Err(fault) => {
                info!(self.context.log, "refused"; "id" => request_head.id,
                    "outcome" => fault.code());
                return fault.answer(fault.means_not_run().then_some(BODY_RETRY_AFTER));
            }
        };
        let caller_request = CallerRequest {
            head: request_head,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            has_body,
            received,
        };
        // The newest declarations apply; they may have arrived while the body was read.
        let catalog = self.catalog.borrow().clone().unwrap_or(catalog);
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let id = caller_request.head.id.clone();
        let context = Arc::clone(&self.context);
        match Exchange::new(context, &catalog, caller_request, number, Arc::new(holder), ahead) {
            Ok(exchange) => exchange.serve().await,
            Err(fault) => {
                info!(self.context.log, "refused"; "id" => id, "outcome" => fault.code(),
                    "catalog" => catalog.version);
                fault.answer(None)
            }
        }
    }

    /// Reads a body while there is room for it and its caller still waits.
    async fn read_body(
        &self,
        body: Incoming,
        limit: usize,
        head: &RequestHead,
        received: Instant,
    ) -> Result<(Bytes, Holder), Fault> {
        let stated = body.size_hint().exact().map_or(0, |length| length as usize);
        if stated > limit {
            return Err(Fault::TooLarge);
        }
        let holder = self.context.held.admit(stated).ok_or(Fault::MemoryFull)?;
        let mut lease = holder.lease(stated);
        let reading = read(body, limit, &holder, &mut lease);
        let patience = head.timeout.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
        let read = timeout_at((received + patience).into(), reading).await;
        let body = read.unwrap_or(Err(Fault::TimedOutWaiting))?;
        Ok((lease.attach(body), holder))
    }

    fn refuse(
        &self,
        request: &Request<Incoming>,
        fault: Fault,
        retry_after: Option<Duration>,
    ) -> Response<Body> {
        let id = self.context.dialect.read_request(request.headers()).id;
        info!(self.context.log, "refused"; "id" => id, "outcome" => fault.code());
        fault.answer(retry_after)
    }
}

/// Returns the size of the headers as they were sent, in bytes.
fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len()).sum()
}

/// Returns once idle connections should be closed.
async fn closing(phase: &mut watch::Receiver<Phase>) {
    // The sender lives as long as the process.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// Reads a complete body.
async fn read(
    mut body: Incoming,
    limit: usize,
    holder: &Holder,
    lease: &mut Lease,
) -> Result<Bytes, Fault> {
    let is_stated = body.size_hint().exact().is_some();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Fault::BadRequest)?.into_data() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(Fault::TooLarge);
        }
        if !is_stated {
            if !holder.admits(data.len()) {
                return Err(Fault::MemoryFull);
            }
            lease.grow(data.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
