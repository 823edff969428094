//! Errors of calls to the platform.

use std::fmt;

use egretgate_http::BufferedAnswer;
use serde::de::DeserializeOwned;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a call to the platform, by whether the call may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The call had no effect: it was not sent, or the platform refused it with a 4xx status.
    Refused(String),
    /// The call may have taken effect: it timed out, was cut off, or its answer was a 5xx
    /// status or malformed.
    Unknown(String),
}

impl Error {
    /// Returns true if the call is known to have had no effect.
    pub const fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }
}

impl From<egretgate_http::Error> for Error {
    fn from(error: egretgate_http::Error) -> Self {
        match error {
            egretgate_http::Error::NotSent(detail) => Self::Refused(detail),
            egretgate_http::Error::MaybeSent(detail) => Self::Unknown(detail),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(detail) => write!(f, "refused before any effect: {detail}"),
            Self::Unknown(detail) => write!(f, "unknown whether it took effect: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

/// Decodes the answer's body, or returns the error for its status.
pub(crate) fn decode<T: DeserializeOwned>(answer: &BufferedAnswer) -> Result<T> {
    match answer.status {
        400..=499 => Err(Error::Refused(format!("status {}", answer.status))),
        _ => answer.json().map_err(Error::from),
    }
}
