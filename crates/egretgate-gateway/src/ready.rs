//! The answer to the question whether the entry takes callers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time for the head of a question.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the question at any path until the process ends.
pub(crate) async fn run(listener: TcpListener, ready: watch::Receiver<bool>, log: Logger) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let ready = ready.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let status =
                if *ready.borrow() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            async move { Ok::<_, Infallible>(answer(status)) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // The asker may leave at any time.
            let _ = connection.await;
        });
    }
}

fn answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
