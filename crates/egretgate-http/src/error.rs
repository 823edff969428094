//! Errors of a call over HTTP.

use std::error::Error as _;
use std::fmt;

use hyper_util::client::legacy;

/// Result of a call over HTTP.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a call, by whether the peer may have received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No byte of the request was written: the peer can't have executed it.
    NotSent(String),
    /// A byte of the request may have been written: the peer may have executed it.
    MaybeSent(String),
}

impl Error {
    /// Returns true if a byte of the request may have been written.
    pub const fn may_be_sent(&self) -> bool {
        matches!(self, Self::MaybeSent(_))
    }

    /// Returns the description, for logs.
    pub fn detail(&self) -> &str {
        match self {
            Self::NotSent(detail) | Self::MaybeSent(detail) => detail,
        }
    }
}

impl From<legacy::Error> for Error {
    /// Hyper reports a request as cancelled only if it returns the request unwritten, for example
    /// because the peer has closed the idle connection.
    fn from(error: legacy::Error) -> Self {
        let unwritten = error
            .source()
            .and_then(|source| source.downcast_ref::<hyper::Error>())
            .is_some_and(hyper::Error::is_canceled);
        let detail = describe(&error);
        if error.is_connect() || unwritten {
            Self::NotSent(detail)
        } else {
            Self::MaybeSent(detail)
        }
    }
}

impl From<hyper::Error> for Error {
    fn from(error: hyper::Error) -> Self {
        Self::MaybeSent(describe(&error))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(detail) => write!(f, "not sent: {detail}"),
            Self::MaybeSent(detail) => write!(f, "sent: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

/// Returns the error and its causes on one line.
fn describe(error: &dyn std::error::Error) -> String {
    let mut line = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        line.push_str(": ");
        line.push_str(&error.to_string());
        cause = error.source();
    }
    line
}
