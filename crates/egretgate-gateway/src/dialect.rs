//! The interface to a platform's headers.

use std::time::Duration;

use egretgate_core::gateway::prompt_part::PartHash;
use egretgate_core::gateway::stated_load::StatedLoad;
use http::HeaderMap;

/// The fields of a request's head that matter, beside its method and path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request, given by the caller; each retry of the caller has its own.
    pub id: String,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// Key that identifies the caller's team.
    pub key: Option<String>,
    /// Number of prompt tokens plus the maximum number of output tokens.
    pub tokens: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: Option<u64>,
    /// Expected number of output tokens, as estimated by the caller.
    pub likely_output: Option<u64>,
    /// Maximum number of output tokens.
    pub most_output: Option<u64>,
    /// Last event of the stream that the caller has received.
    pub last_event: Option<u64>,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PartHash>,
}

/// The fields that the entry adds to a request for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardHead<'a> {
    /// Name of the upstream.
    pub upstream: &'a str,
    /// Team that sent the request.
    pub team: Option<&'a str>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Event after which the stream resumes.
    pub last_event: Option<u64>,
}

/// The fields of an answer's head that matter, beside its status.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// True if the upstream signed it.
    pub signed: bool,
    /// True if it proves that the upstream did not run the request.
    pub not_run: bool,
    /// Requests per second that the upstream takes from all entries together; `None` if it states
    /// no limit. Finite and at least 0.
    pub rate_limit: Option<f64>,
    /// Time for which the upstream, which turned the request away, wants no other from this entry;
    /// above zero.
    pub pause: Option<Duration>,
    /// True if it states that the upstream leaves.
    pub leaving: bool,
    /// Load that it states.
    pub load: Option<StatedLoad>,
    /// Time for which the upstream stays cold, if it states one.
    pub cold_for: Option<Duration>,
}

/// Names and formats of the headers that a platform puts on requests and answers.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a request's head.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Removes the headers that callers may not send to upstreams and adds those of the entry.
    fn write_forward_headers(&self, headers: &mut HeaderMap, head: &ForwardHead<'_>);

    /// Reads an answer's head.
    fn read_answer(&self, status: u16, headers: &HeaderMap) -> AnswerHead;
}
