//! Reports of an engine and orders to it.

use egretgate_core::{FencingNumber, VersionId};
use serde::{Deserialize, Serialize};

/// Load report of an engine. It lags behind the engine's state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct EngineLoad {
    /// Requests that generate tokens.
    pub running: u32,
    /// Requests whose prompt is not yet fully processed.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    #[serde(default)]
    pub waiting_tokens: u64,
}

/// Cache events of an engine, in order of their sequence numbers, possibly with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CacheEvents {
    /// Sequence number after that of the last published event.
    pub head: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub sequence: u64,
    /// Kind of the change.
    pub kind: CacheKind,
    /// Hash of the block and all blocks before it.
    pub block: u64,
}

/// Kind of a change to a block of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// Versions that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Versions {
    /// Names of the versions.
    pub versions: Vec<VersionId>,
}

/// Action of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a version.
    Load,
    /// Unload a version.
    Unload,
}

/// Body of an order.
#[derive(Debug, Serialize)]
pub(crate) struct Order<'a> {
    pub(crate) fence: FencingNumber,
    pub(crate) action: Action,
    pub(crate) version: &'a str,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has carried it out.
    Done,
    /// Refused because the engine has seen a newer fencing number.
    Fenced,
    /// Refused for another reason, with the HTTP status.
    Failed(u16),
}

impl OrderOutcome {
    /// Returns the outcome for the HTTP status of the answer.
    pub(crate) const fn from_status(status: u16) -> Self {
        match status {
            200..=299 => Self::Done,
            409 => Self::Fenced,
            status => Self::Failed(status),
        }
    }
}
