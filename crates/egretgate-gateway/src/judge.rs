//! What an upstream's answer is worth: whether it may be passed on, and what it proves if not.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use egretgate_core::gateway::upstream::Outcome;
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout_at;

use crate::answer::{Body, full};
use crate::desk::Lease;
use crate::dialect::AnswerHead;
use crate::onward::strip_connection;
use crate::relay::Run;

/// Largest answer that is read in whole before it is passed on, in bytes.
const WHOLE_BYTES: usize = 1 << 20;

/// What an attempt came to.
pub(crate) enum Attempt {
    /// An answer for the caller.
    Answer(Run, StatusCode),
    /// A failure that the upstream reported itself, read in whole.
    Failure(Response<Body>),
    /// The request did not run.
    NotRun,
    /// No byte was sent.
    NotSent,
    /// It may have run.
    Unknown,
}

/// An answer read in whole.
pub(crate) enum Whole {
    /// Its body, with the run that brought it.
    Read(Run, Bytes),
    /// It broke off, or is too large.
    Cut(Lease),
}

/// Returns true if an answer can't be its upstream's whole answer to the request.
pub(crate) fn is_spoiled(head: &AnswerHead, status: StatusCode, headers: &HeaderMap) -> bool {
    let promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    // A success must be signed and name the request; a status that promises "not run" must say so.
    let unsigned = status.is_success() && (!head.signed || head.id.is_none());
    unsigned || promise || headers.contains_key(CONTENT_ENCODING)
}

/// Returns the attempt that a refusal with a proof ends.
pub(crate) async fn not_run(mut run: Run, status: StatusCode) -> Attempt {
    let outcome = if status == StatusCode::MISDIRECTED_REQUEST {
        Outcome::Misdirected
    } else {
        Outcome::Rejected
    };
    // A refusal is short; reading it keeps the connection.
    while let Some(frame) = run.body.frame().await {
        if frame.is_err() {
            run.lease.finish(outcome, None);
            return Attempt::NotRun;
        }
    }
    run.complete(outcome).await;
    Attempt::NotRun
}

/// Returns the attempt that an upstream's own failure ends.
pub(crate) async fn failure(run: Run, status: StatusCode, deadline: Instant) -> Attempt {
    let mut headers = run.headers.clone();
    strip_connection(&mut headers);
    match whole(run, deadline).await {
        Whole::Read(run, bytes) => {
            run.complete(Outcome::Failed).await;
            Attempt::Failure(respond(status, headers, full(bytes)))
        }
        Whole::Cut(lease) => {
            lease.finish(Outcome::InvalidAnswer, None);
            Attempt::Unknown
        }
    }
}

/// Reads an answer's whole body.
pub(crate) async fn whole(mut run: Run, deadline: Instant) -> Whole {
    let mut bytes = BytesMut::new();
    loop {
        let frame = match timeout_at(deadline.into(), run.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Whole::Read(run, bytes.freeze()),
            Ok(Some(Err(_))) | Err(_) => return Whole::Cut(run.lease),
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > WHOLE_BYTES {
            return Whole::Cut(run.lease);
        }
    }
}

/// Returns an answer for the caller.
pub(crate) fn respond(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
