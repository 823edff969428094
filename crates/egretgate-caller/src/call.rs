//! Messages between the HTTP server and the entry's tasks.

use std::time::Duration;

use bytes::Bytes;
use egretgate_core::Error;
use tokio::sync::{mpsc, oneshot};

/// A message from the HTTP server to the entry's tasks.
#[derive(Debug)]
pub enum EntryRequest {
    /// Run a request.
    Call(Box<Call>),
    /// List the models that can be addressed.
    Models(oneshot::Sender<Vec<String>>),
}

/// One request of a caller.
#[derive(Debug)]
pub struct Call {
    /// Credentials of the caller.
    pub credentials: Credentials,
    /// Tier that the caller requests.
    pub tier: Option<String>,
    /// Model or path that the request addresses.
    pub target: Target,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body, forwarded unchanged.
    pub body: Bytes,
    /// True if the caller wants a stream of tokens.
    pub stream: bool,
    /// Estimated prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Longest answer that the caller allows, in tokens.
    pub max_tokens: Option<u32>,
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix_hash: u64,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Time within which the caller needs the answer.
    pub deadline: Option<Duration>,
    /// Channel for the answer; closed once the caller has disconnected.
    pub reply: mpsc::Sender<Reply>,
}

/// Key and team name by which a caller is identified.
#[derive(Clone, Default)]
pub struct Credentials {
    /// Bearer key. Never logged.
    pub key: Option<String>,
    /// Team named by a header.
    pub team: Option<String>,
}

/// Model or path that a request addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A model engine's route, by model name.
    Model(String),
    /// A plain service's route, by path.
    Path(String),
}

/// Part of an answer, in this order: [`Reply::Head`], any number of [`Reply::Data`], then
/// [`Reply::End`]; or [`Reply::Failed`] at any point.
#[derive(Debug)]
pub enum Reply {
    /// Start of the answer.
    Head(Head),
    /// Bytes of the answer.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// The request failed, or its answer was cut off.
    Failed(Error),
}

/// Start of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// HTTP status of the upstream.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: String,
    /// Ticket of the request.
    pub ticket: String,
    /// Idempotency key of the request: the caller's or a generated one.
    pub idempotency_key: Option<String>,
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Credentials").field("team", &self.team).finish_non_exhaustive()
    }
}
