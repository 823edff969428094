//! The edge to a platform's headers.

use std::time::Duration;

use http::HeaderMap;

/// What a request's head says, beside its method and path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Name of the request, given by the caller; each try has its own.
    pub id: String,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// Key that names the caller's team.
    pub key: Option<String>,
    /// Prompt tokens and the most output tokens, added up.
    pub tokens: Option<u64>,
    /// Output tokens that are likely, as the caller estimates them.
    pub likely_output: Option<u64>,
    /// Output tokens at most.
    pub most_output: Option<u64>,
    /// Last event of the stream that the caller has got.
    pub last_event: Option<u64>,
}

/// What is told to the upstream that gets a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardHead<'a> {
    /// Name of the upstream.
    pub upstream: &'a str,
    /// Team that sent the request.
    pub team: Option<&'a str>,
    /// Time that is left.
    pub time_left: Duration,
    /// Event after which the stream goes on.
    pub last_event: Option<u64>,
}

/// What an answer's head says, beside its status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Name of the request that it answers.
    pub id: Option<String>,
    /// True if the upstream signed it.
    pub signed: bool,
    /// True if it proves that the upstream did not run the request.
    pub not_run: bool,
}

/// Names and formats of the headers that a platform puts on requests and answers.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a request's head.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Removes what callers may not say to upstreams and adds what the system says.
    fn write_forward_headers(&self, headers: &mut HeaderMap, head: &ForwardHead<'_>);

    /// Reads an answer's head.
    fn read_answer(&self, status: u16, headers: &HeaderMap) -> AnswerHead;
}
