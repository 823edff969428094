//! The result of an attempt at an upstream: whether its answer may be passed on and, if not,
//! whether the request may have run.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use egretgate_core::gateway::held_bytes::AnswerUse;
use egretgate_core::gateway::upstream::Outcome;
use http::header::{CONTENT_ENCODING, TRANSFER_ENCODING};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout_at;

use crate::answer::{Body, full};
use crate::dialect::AnswerHead;
use crate::dispatcher::SlotPermit;
use crate::headers::strip_connection;
use crate::held::{Holder, Lease};
use crate::relay::UpstreamAnswer;

/// Largest answer, in bytes, that is read completely before it is passed on.
pub(crate) const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Largest refusal, in bytes, that is read to its end.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
/// Longest time for which a refusal is read.
const MAX_REFUSAL_READ: Duration = Duration::from_millis(50);

/// The result of an attempt.
pub(crate) enum Attempt {
    /// An answer for the caller.
    Answer(UpstreamAnswer, StatusCode),
    /// An error answer of the upstream, read completely.
    Failure(Response<Body>),
    /// The upstream proved that it did not run the request.
    NotRun,
    /// No byte was sent.
    NotSent,
    /// The request may have run.
    Unknown,
}

/// The result of reading a body.
pub(crate) enum BodyRead {
    /// The complete body, with its answer.
    Complete(UpstreamAnswer, Bytes),
    /// The body was cut or is too large.
    Incomplete(SlotPermit),
}

/// Returns true if an answer is no final answer of HTTP, or was encoded for its transfer.
pub(crate) fn is_malformed(status: StatusCode, headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_plain = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    };
    !matches!(status.as_u16(), 200..600) || !is_plain
}

/// Returns true if an answer can't be the upstream's complete answer to the request.
pub(crate) fn is_invalid(head: &AnswerHead, status: StatusCode, headers: &HeaderMap) -> bool {
    let claims_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    // A success must be signed and name the request. A status that means "not run" must be proven.
    let unsigned = status.is_success() && (!head.signed || head.id.is_none());
    unsigned || claims_not_run || headers.contains_key(CONTENT_ENCODING)
}

/// Returns the result of an attempt that was refused with a proof.
pub(crate) async fn refused_attempt(
    answer: UpstreamAnswer,
    status: StatusCode,
    deadline: Instant,
    holder: &Holder,
) -> Attempt {
    let outcome = if status == StatusCode::MISDIRECTED_REQUEST {
        Outcome::Misdirected
    } else {
        Outcome::Rejected
    };
    // Reading a refusal to its end keeps the connection usable. The next attempt waits for it.
    let deadline = deadline.min(Instant::now() + MAX_REFUSAL_READ);
    match read_body(answer, MAX_REFUSAL_BYTES, deadline, holder).await {
        BodyRead::Complete(answer, _) => answer.complete(outcome).await,
        BodyRead::Incomplete(permit) => permit.finish(outcome, None),
    }
    Attempt::NotRun
}

/// Returns the result of an attempt that the upstream answered with an error.
pub(crate) async fn failed_attempt(
    answer: UpstreamAnswer,
    status: StatusCode,
    deadline: Instant,
    holder: &Holder,
) -> Attempt {
    let mut headers = answer.headers.clone();
    strip_connection(&mut headers);
    match read_body(answer, MAX_BUFFERED_BYTES, deadline, holder).await {
        BodyRead::Complete(answer, bytes) => {
            answer.complete(Outcome::Failed).await;
            Attempt::Failure(respond(status, headers, full(bytes)))
        }
        BodyRead::Incomplete(permit) => {
            permit.finish(Outcome::InvalidAnswer, None);
            Attempt::Unknown
        }
    }
}

/// Reads the complete body of an answer, of at most `limit` bytes.
pub(crate) async fn read_body(
    answer: UpstreamAnswer,
    limit: usize,
    deadline: Instant,
    holder: &Holder,
) -> BodyRead {
    let mut bytes = BytesMut::new();
    let mut lease = holder.lease(0);
    holder.set_use(AnswerUse::Whole);
    let read = read_whole(answer, limit, deadline, holder, &mut bytes, &mut lease).await;
    holder.set_use(AnswerUse::Stream);
    match read {
        Ok(answer) => BodyRead::Complete(answer, lease.attach(bytes.freeze())),
        Err(permit) => BodyRead::Incomplete(permit),
    }
}

/// Reads a body to its end; returns the permit if it was cut or is too large.
async fn read_whole(
    mut answer: UpstreamAnswer,
    limit: usize,
    deadline: Instant,
    holder: &Holder,
    bytes: &mut BytesMut,
    lease: &mut Lease,
) -> Result<UpstreamAnswer, SlotPermit> {
    loop {
        if timeout_at(deadline.into(), holder.room()).await.is_err() {
            return Err(answer.permit);
        }
        let frame = match timeout_at(deadline.into(), answer.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(answer),
            Ok(Some(Err(_))) | Err(_) => return Err(answer.permit),
        };
        if let Ok(data) = frame.into_data() {
            lease.grow(data.len());
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > limit {
            return Err(answer.permit);
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
