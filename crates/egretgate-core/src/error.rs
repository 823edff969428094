//! Error kinds and the HTTP answer for each.

use std::fmt;
use std::time::Duration;

/// Result whose error is an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Whether an upstream executed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It is proven that no upstream executed it.
    NotRun,
    /// An upstream executed it completely or in part.
    Executed,
    /// It was dispatched, and it is not known whether it was executed.
    Unknown,
}

impl Execution {
    /// Returns the name used in answers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "no",
            Self::Executed => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Kind of failure of a request, a change or an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The body or a frame is over its limit.
    TooLarge,
    /// The request did not arrive completely in the time allowed.
    SlowRequest,
    /// No declared team matches the credentials.
    UnknownTeam,
    /// The tier is not declared or not open to the team.
    UnknownTier,
    /// No declared route matches.
    UnknownRoute,
    /// No declared route serves the model.
    UnknownModel,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The queues are full and contain no request of a lower tier to displace.
    Overloaded,
    /// The team is over its own limit.
    TeamLimit,
    /// The request can't finish by its deadline.
    DeadlineHopeless,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No upstream serves the route now.
    NoUpstream,
    /// The request is quarantined because upstreams crashed while running it.
    Quarantined,
    /// The platform's log can't be reached, and the request needs it.
    LogOutage,
    /// The process is shutting down.
    Stopping,
    /// The process has not read enough of the shared state to serve requests.
    NotReady,
    /// The upstream answered with an error before any output.
    UpstreamError,
    /// The answer was interrupted after the request had started.
    AnswerCut,
    /// The request was dispatched and its outcome is unknown.
    OutcomeUnknown,
    /// The caller disconnected.
    CallerGone,
    /// The change was made against another revision than the current one.
    Conflict,
    /// The change or action carries an older fencing number than the current one.
    Fenced,
    /// The declaration is invalid.
    InvalidDeclaration,
    /// The operator or process is not authenticated.
    Unauthenticated,
    /// A bug in this program.
    Internal,
}

/// HTTP answer for an [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Stable error code in the body.
    pub code: &'static str,
    /// Whether the request was executed, unless the [`Error`] states otherwise.
    pub execution: Execution,
    /// True if a later retry may succeed; `Retry-After` is then sent.
    pub retryable: bool,
}

impl Answer {
    const fn new(status: u16, code: &'static str, execution: Execution, retryable: bool) -> Self {
        Self { status, code, execution, retryable }
    }
}

impl ErrorKind {
    /// Every kind, in order of declaration.
    pub const ALL: [Self; 26] = [
        Self::BadRequest,
        Self::TooLarge,
        Self::SlowRequest,
        Self::UnknownTeam,
        Self::UnknownTier,
        Self::UnknownRoute,
        Self::UnknownModel,
        Self::KeyReused,
        Self::Overloaded,
        Self::TeamLimit,
        Self::DeadlineHopeless,
        Self::DeadlinePassed,
        Self::NoUpstream,
        Self::Quarantined,
        Self::LogOutage,
        Self::Stopping,
        Self::NotReady,
        Self::UpstreamError,
        Self::AnswerCut,
        Self::OutcomeUnknown,
        Self::CallerGone,
        Self::Conflict,
        Self::Fenced,
        Self::InvalidDeclaration,
        Self::Unauthenticated,
        Self::Internal,
    ];

    /// Returns the HTTP answer for this kind.
    pub const fn answer(self) -> Answer {
        match self {
            Self::BadRequest => Answer::new(400, "bad_request", Execution::NotRun, false),
            Self::TooLarge => Answer::new(413, "too_large", Execution::NotRun, false),
            Self::SlowRequest => Answer::new(408, "slow_request", Execution::NotRun, false),
            Self::UnknownTeam => Answer::new(401, "unknown_team", Execution::NotRun, false),
            Self::UnknownTier => Answer::new(400, "unknown_tier", Execution::NotRun, false),
            Self::UnknownRoute => Answer::new(404, "unknown_route", Execution::NotRun, false),
            Self::UnknownModel => Answer::new(404, "unknown_model", Execution::NotRun, false),
            Self::KeyReused => Answer::new(422, "key_reused", Execution::NotRun, false),
            Self::Overloaded => Answer::new(429, "overloaded", Execution::NotRun, true),
            Self::TeamLimit => Answer::new(429, "team_limit", Execution::NotRun, true),
            Self::DeadlineHopeless => {
                Answer::new(503, "deadline_hopeless", Execution::NotRun, true)
            }
            Self::DeadlinePassed => Answer::new(504, "deadline_passed", Execution::NotRun, true),
            Self::NoUpstream => Answer::new(503, "no_upstream", Execution::NotRun, true),
            Self::Quarantined => Answer::new(422, "quarantined", Execution::NotRun, false),
            Self::LogOutage => Answer::new(503, "log_outage", Execution::NotRun, true),
            Self::Stopping => Answer::new(503, "stopping", Execution::NotRun, true),
            Self::NotReady => Answer::new(503, "not_ready", Execution::NotRun, true),
            Self::UpstreamError => Answer::new(502, "upstream_error", Execution::Executed, false),
            Self::AnswerCut => Answer::new(502, "answer_cut", Execution::Executed, false),
            Self::OutcomeUnknown => Answer::new(504, "outcome_unknown", Execution::Unknown, false),
            Self::CallerGone => Answer::new(499, "caller_gone", Execution::Unknown, false),
            Self::Conflict => Answer::new(409, "conflict", Execution::NotRun, false),
            Self::Fenced => Answer::new(409, "fenced", Execution::NotRun, false),
            Self::InvalidDeclaration => {
                Answer::new(422, "invalid_declaration", Execution::NotRun, false)
            }
            Self::Unauthenticated => Answer::new(401, "unauthenticated", Execution::NotRun, false),
            Self::Internal => Answer::new(500, "internal", Execution::Unknown, false),
        }
    }

    /// Returns the stable code of this kind.
    pub const fn code(self) -> &'static str {
        self.answer().code
    }

    /// Returns the kind with the given code.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.code() == code)
    }
}

/// A failure: its kind, a message and, for refusals, the retry-after time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Kind of failure.
    pub kind: ErrorKind,
    /// Whether the request was executed, as far as is proven.
    pub execution: Execution,
    /// Human-readable message. Contains no prompt text and no key.
    pub detail: String,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Returns an error of `kind`, with the execution status that [`ErrorKind::answer`] gives.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, execution: kind.answer().execution, detail: detail.into(), retry_after: None }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets whether the request was executed.
    #[must_use]
    pub fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.code(), self.detail)
    }
}

impl std::error::Error for Error {}
