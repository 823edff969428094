//! The answer to a call, with its body as a stream.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::error::{Error, Result};

/// The head of an answer, and its body as a stream.
///
/// Dropping an answer before its end closes the connection, which tells the peer that the caller
/// has left.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the answer has none.
    pub content_type: String,
    headers: HeaderMap,
    body: Incoming,
}

impl Answer {
    /// Returns true for a status in `200..300`.
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Returns a header's value, if it is present and text.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the time in a `Retry-After` header, if it is given in seconds.
    pub fn retry_after(&self) -> Option<Duration> {
        self.header(&RETRY_AFTER).and_then(|value| value.parse().ok()).map(Duration::from_secs)
    }

    /// Returns true if its content type is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        let media_type = self.content_type.split(';').next().unwrap_or_default();
        media_type.trim().eq_ignore_ascii_case("text/event-stream")
    }

    /// Returns true if the body has neither a length nor chunks and ends with its connection.
    ///
    /// Such a body ends in the same way when the peer crashes.
    pub fn ends_with_connection(&self) -> bool {
        !self.headers.contains_key(CONTENT_LENGTH) && !self.headers.contains_key(TRANSFER_ENCODING)
    }

    /// Returns the next part of the body, or `None` after its end.
    ///
    /// An error means that the answer was cut. This method is cancel safe.
    pub async fn chunk(&mut self) -> Option<Result<Bytes>> {
        loop {
            match self.body.frame().await? {
                Err(error) => return Some(Err(error.into())),
                Ok(frame) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return Some(Ok(data)),
                    _ => {}
                },
            }
        }
    }

    pub(crate) fn into_headers(self) -> HeaderMap {
        self.headers
    }

    /// Returns the whole body; an error if it is cut or over `limit` bytes.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.chunk().await {
            let chunk = chunk?;
            if whole.len() + chunk.len() > limit {
                return Err(Error::MaybeSent(format!("answer over {limit} bytes")));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }
}

impl TryFrom<Response<Incoming>> for Answer {
    type Error = Error;

    /// Returns an error if the status isn't a final one of HTTP, or if the body has a transfer coding
    /// other than chunks.
    fn try_from(response: Response<Incoming>) -> Result<Self> {
        let (parts, body) = response.into_parts();
        let mut codings = parts.headers.get_all(TRANSFER_ENCODING).iter();
        let is_plain = codings.all(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
        if !matches!(parts.status.as_u16(), 200..600) || !is_plain {
            return Err(Error::MaybeSent(format!("malformed answer of status {}", parts.status)));
        }
        let content_type = parts
            .headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        Ok(Self { status: parts.status.as_u16(), content_type, headers: parts.headers, body })
    }
}
