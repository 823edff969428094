//! The listener for callers.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::gateway::catalog::{CallerLimits, Catalog};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, Response, Version};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::answer::{Body, Fault};
use crate::exchange::{Exchange, ExchangeContext};
use crate::idle_timer::IdleTimer;
use crate::plan::CallerRequest;

/// Retry-after while the entry starts.
const START_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time for which callers are kept waiting while the entry starts; they wait one second for a
/// connection.
const START_WAIT: Duration = Duration::from_millis(700);
/// Delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which connections and requests that have arrived are still taken in once the entry closes
/// idle connections: a busy core reads them late.
const CLOSING_WAIT: Duration = Duration::from_millis(150);
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
}

impl CallerListener {
    /// Accepts connections until shortly after the entry closes idle ones: later ones could not be
    /// served.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener) {
        // The entry doesn't stop before the listener has ended.
        let _guard = self.connections.subscribe();
        let mut phase = self.phase.clone();
        let mut catalog = self.catalog.clone();
        // Callers that connect before the declarations are read wait rather than being refused.
        let known = catalog.wait_for(Option::is_some);
        if timeout(START_WAIT, known).await.is_err() {
            warn!(self.context.log, "callers are refused until declarations are read");
        }
        let mut closed = pin!(async {
            closing(&mut phase).await;
            sleep(CLOSING_WAIT).await;
        });
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = &mut closed => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(Arc::clone(&self).connection(stream));
                }
                Err(error) => {
                    warn!(self.context.log, "accept failed"; "error" => %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let _guard = self.connections.subscribe();
        if let Err(error) = stream.set_nodelay(true) {
            info!(self.context.log, "TCP_NODELAY not set"; "error" => %error);
        }
        let limits = self.limits();
        let mut phase = self.phase.clone();
        let listener = Arc::clone(&self);
        let lacks_chunks = Arc::new(AtomicBool::new(false));
        let caller_lacks_chunks = Arc::clone(&lacks_chunks);
        let service = service_fn(move |request: Request<Incoming>| {
            let listener = Arc::clone(&listener);
            lacks_chunks.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
            async move {
                let mut response = Arc::clone(&listener).answer(request).await;
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
        let result = tokio::select! {
            result = &mut connection => result,
            () = closing(&mut phase) => {
                if let Ok(result) = timeout(CLOSING_WAIT, &mut connection).await {
                    result
                } else {
                    Pin::new(&mut connection).graceful_shutdown();
                    (&mut connection).await
                }
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
            // Without chunks, a stream ends with its connection: only a reset shows the cut.
            let stream = connection.into_parts().io.into_inner();
            if let Err(error) = stream.set_zero_linger() {
                info!(self.context.log, "connection not reset"; "error" => %error);
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        self.catalog.borrow().as_ref().map(|catalog| catalog.limits).unwrap_or_default()
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
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
        let body = match read(body, limit).await {
            Ok(body) => body,
            Err(fault) => return fault.answer(None),
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
        match Exchange::new(Arc::clone(&self.context), &catalog, caller_request, number) {
            Ok(exchange) => exchange.serve().await,
            Err(fault) => {
                info!(self.context.log, "refused"; "id" => id, "outcome" => fault.code(),
                    "catalog" => catalog.version);
                fault.answer(None)
            }
        }
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
async fn read(body: Incoming, limit: usize) -> Result<Bytes, Fault> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Fault::TooLarge),
        Err(_) => Err(Fault::BadRequest),
    }
}
