//! How the end of an answer's body is marked.

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By a length in the head.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection. A body that its sender broke off ends in the same way.
    Close,
}

impl Framing {
    /// Returns the framing that the headers of an answer state.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Returns the word used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}
