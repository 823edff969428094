//! Answers that the entry gives itself.

use std::time::Duration;

use bytes::Bytes;
use futures::stream::BoxStream;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;

use crate::relay::AnswerCut;

/// Body of an answer to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, AnswerCut>;

/// Why the entry answers a request itself: the complete list. Each reason has a status and a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The request has no usable id or body.
    BadRequest,
    /// No team has its key.
    Unauthorized,
    /// No route matches it.
    NoRoute,
    /// Its headers are too large.
    HeadTooLarge,
    /// Its body is too large.
    TooLarge,
    /// Its team is over its limit.
    OverLimit,
    /// No declarations have been read yet.
    NotReady,
    /// It would wait longer than its caller does.
    Overloaded,
    /// No upstream ran it, and none is left to try.
    NoUpstream,
    /// It has crashed several upstreams; this time it has not run.
    Poison,
    /// Requests with a part of its prompt have crashed several upstreams; it has not run.
    Quarantined,
    /// An upstream may have run it and its answer is lost.
    AnswerLost,
    /// An upstream may still run it and its deadline has passed.
    TimedOut,
    /// Its deadline passed before it was sent to an upstream.
    TimedOutWaiting,
    /// The entry holds too much for other callers to take it.
    MemoryFull,
}

impl Fault {
    /// Returns the status; 429 and 503 mean that the request has not run.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady
            | Self::Overloaded
            | Self::NoUpstream
            | Self::Poison
            | Self::Quarantined
            | Self::MemoryFull
            | Self::TimedOutWaiting => StatusCode::SERVICE_UNAVAILABLE,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns true if the status promises that the request has not run and won't.
    pub(crate) const fn means_not_run(self) -> bool {
        matches!(self.status(), StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Returns the name, for callers and logs.
    pub(crate) const fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::NoRoute => "no_route",
            Self::HeadTooLarge => "head_too_large",
            Self::TooLarge => "too_large",
            Self::OverLimit => "over_limit",
            Self::NotReady => "not_ready",
            Self::Overloaded => "overloaded",
            Self::NoUpstream => "no_upstream",
            Self::Poison => "poison",
            Self::Quarantined => "quarantined",
            Self::AnswerLost => "answer_lost",
            Self::TimedOut => "timed_out",
            Self::TimedOutWaiting => "timed_out_waiting",
            Self::MemoryFull => "memory_full",
        }
    }

    /// Returns the answer, with the header `Retry-After` if a time is given.
    pub(crate) fn answer(self, retry_after: Option<Duration>) -> Response<Body> {
        let body = format!("{{\"error\":\"{}\"}}\n", self.code());
        let mut response = Response::new(full(body.into()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if matches!(self, Self::HeadTooLarge | Self::TooLarge | Self::MemoryFull) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let seconds = retry_after.map(|wait| format!("{:.3}", wait.as_secs_f64()));
        if let Some(value) = seconds.and_then(|text| HeaderValue::try_from(text).ok()) {
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}

/// Returns a body of known content.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that is streamed.
pub(crate) fn streamed(frames: BoxStream<'static, Result<Frame<Bytes>, AnswerCut>>) -> Body {
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
