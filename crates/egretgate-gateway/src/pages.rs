//! HTTP pages for the platform and for operators: readiness and metrics.

use std::convert::Infallible;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::Logger;
use tokio::net::TcpListener;

use crate::listeners;
use crate::tasks::Tasks;

/// Timeout for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A page that is generated for each request.
#[derive(Clone)]
pub struct Page(Arc<dyn Fn() -> Answer + Send + Sync>);

/// Content of a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Text.
    pub text: String,
}

impl Page {
    /// Returns a page that `make` generates.
    pub fn new(make: impl Fn() -> Answer + Send + Sync + 'static) -> Self {
        Self(Arc::new(make))
    }
}

impl fmt::Debug for Page {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Page")
    }
}

/// The task that serves a page at any path.
pub(crate) struct PageListener {
    pub(crate) listener: TcpListener,
    pub(crate) page: Page,
    pub(crate) tasks: Tasks,
    pub(crate) log: Logger,
}

impl PageListener {
    /// Serves the page until the process ends.
    pub(crate) async fn run(&mut self) {
        let Self { listener, page, tasks, log } = self;
        loop {
            let stream = listeners::accept(listener, log).await;
            let page = page.clone();
            let service = service_fn(move |_: Request<Incoming>| {
                let answer = (page.0)();
                async move { Ok::<_, Infallible>(respond(answer)) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tasks.spawn("page connection", async move {
                // The client may leave at any time.
                let _ = connection.await;
            });
        }
    }
}

fn respond(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.text)));
    *response.status_mut() = answer.status;
    response
}
