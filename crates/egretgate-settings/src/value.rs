//! Values of settings and their parsers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use egretgate_core::{VersionId, check};

/// Result of parsing one value. The error describes the fault without repeating the value, which
/// may be secret.
pub type Result<T> = std::result::Result<T, String>;

/// Shortest token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// A value that is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

/// One engine or plain service process behind a side process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Version that it runs.
    pub version: VersionId,
}

impl Secret {
    /// Returns a secret with this value.
    pub fn new(value: impl Into<String>) -> Self {
        Self(value.into())
    }

    /// Returns the secret itself, which must be neither logged nor printed.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[secret]")
    }
}

impl fmt::Display for Engine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.address, self.version)
    }
}

impl FromStr for Engine {
    type Err = String;

    fn from_str(text: &str) -> Result<Self> {
        let (address, version) =
            text.rsplit_once(':').ok_or("expected an address, a colon and a version")?;
        Ok(Self { address: self::address(address)?, version: name(version)? })
    }
}

/// Stores a parsed value in `slot`.
pub(crate) fn put<T>(slot: &mut T, parsed: Result<T>) -> Result<()> {
    *slot = parsed?;
    Ok(())
}

/// Parses an IP address with a port.
pub fn address(text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| {
        "expected an IP address and a port such as 127.0.0.1:8080; host names are not resolved"
            .to_owned()
    })
}

/// Parses a name, by the rule for declared names.
pub fn name(text: &str) -> Result<String> {
    match check::name_fault(text) {
        Some(message) => Err(message),
        None => Ok(text.to_owned()),
    }
}

/// Parses a token of at least [`MIN_TOKEN_BYTES`] visible ASCII characters.
pub fn secret(text: &str) -> Result<Secret> {
    if text.len() < MIN_TOKEN_BYTES {
        return Err(format!("a token has at least {MIN_TOKEN_BYTES} characters"));
    }
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("a token holds only visible ASCII characters".to_owned());
    }
    Ok(Secret::new(text))
}

/// Parses a whole number of at least 1.
pub fn count(text: &str) -> Result<usize> {
    match text.parse() {
        Ok(0) => Err("a limit of 0 would allow nothing".to_owned()),
        Ok(number) => Ok(number),
        Err(_) => Err("expected a whole number".to_owned()),
    }
}

/// Parses a time in milliseconds of at least 1.
pub fn millis(text: &str) -> Result<Duration> {
    match text.parse() {
        Ok(0) => Err("a time of 0 ms would allow nothing".to_owned()),
        Ok(number) => Ok(Duration::from_millis(number)),
        Err(_) => Err("expected a whole number of milliseconds".to_owned()),
    }
}

/// Parses the lowest level of events that are logged.
pub fn level(text: &str) -> Result<slog::Level> {
    match text {
        "critical" => Ok(slog::Level::Critical),
        "error" => Ok(slog::Level::Error),
        "warning" => Ok(slog::Level::Warning),
        "info" => Ok(slog::Level::Info),
        "debug" => Ok(slog::Level::Debug),
        "trace" => Ok(slog::Level::Trace),
        _ => Err("expected critical, error, warning, info, debug or trace".to_owned()),
    }
}
