//! What is asked of the scheduler, and what it says.

use std::time::{Duration, Instant};

use slotmap::new_key_type;

use super::request_queue::{Priority, RequestNumber};
use super::upstream::Outcome;
use crate::{Digest, RouteId, ServiceId, TeamId, UpstreamId};

new_key_type! {
    /// Names an upstream within one life of an entry.
    pub struct UpstreamKey;
}

/// A request that asks for an upstream.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Name within one life of the entry.
    pub number: RequestNumber,
    /// Service that it goes to.
    pub service: ServiceId,
    /// Route that it came by.
    pub route: RouteId,
    /// How urgent it is.
    pub priority: Priority,
    /// Team whose limit it counts against, with its tokens; `None` for one that was counted.
    pub charge: Option<Charge>,
    /// Time up to which an answer is in time.
    pub objective: Instant,
    /// Longest wait that is worth beginning.
    pub useful_wait: Duration,
    /// Time at which it gives up waiting.
    pub queue_deadline: Instant,
    /// Events that its answer is likely to have; 0 for an answer that is no stream.
    pub events: f64,
    /// Time at which its caller or its route gives up.
    pub deadline: Instant,
    /// Seconds between events at the upstream where it runs now: it only wants one that is
    /// clearly faster, at once.
    pub faster_than: Option<f64>,
    /// True if an upstream has got it before.
    pub is_retry: bool,
    /// Upstreams that must not get it again.
    pub avoid: Vec<UpstreamId>,
    /// Digest of its contents.
    pub digest: Option<Digest>,
}

/// Tokens that count against a team's limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// Team.
    pub team: TeamId,
    /// Tokens.
    pub tokens: u64,
}

/// Why a request is refused; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Its team is over its limit; there will be room after the given time.
    OverLimit(Duration),
    /// There is no room for it in time.
    Overloaded(Overload),
    /// The budget of repeats is spent.
    RetryBudgetSpent,
    /// It has crashed several upstreams.
    Poison,
}

/// Why there is no room for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It leaves room to more urgent requests that are refused.
    ReservedForUrgent,
    /// It would wait for too long to be of use.
    TooLong,
    /// It has waited for as long as it may.
    Expired,
    /// No upstream is clearly faster than the one where it runs.
    NoneFaster,
    /// The entry stops.
    Stopping,
}

/// What decided that there is no room for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overload {
    /// Why.
    pub reason: Reason,
    /// Time that it was expected to wait.
    pub expected_wait: Duration,
    /// Requests of the service that wait here.
    pub waiting: usize,
    /// Requests of the service that this entry has at upstreams.
    pub running: u32,
}

impl Overload {
    /// Returns what is known without the state of a service.
    pub const fn without_state(reason: Reason) -> Self {
        Self { reason, expected_wait: Duration::ZERO, waiting: 0, running: 0 }
    }
}

impl Reason {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ReservedForUrgent => "gives_way",
            Self::TooLong => "too_long",
            Self::Expired => "expired",
            Self::NoneFaster => "none_faster",
            Self::Stopping => "stopping",
        }
    }
}

/// A start of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Request.
    pub number: RequestNumber,
    /// Upstream.
    pub upstream: UpstreamKey,
}

/// The end of a started request.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Service.
    pub service: ServiceId,
    /// Route.
    pub route: RouteId,
    /// Upstream.
    pub key: UpstreamKey,
    /// Time to the head of its answer; `None` if there was none.
    pub first_byte: Option<Duration>,
    /// How it ended.
    pub outcome: Outcome,
    /// Digest of the request.
    pub digest: Option<Digest>,
    /// Time at which it started.
    pub started: Instant,
    /// True if [`Scheduler::suspect`](super::scheduler::Scheduler::suspect) was told of it.
    pub suspected: bool,
}

impl Completion {
    /// Returns the end of a request of which only the outcome matters.
    pub const fn new(
        service: ServiceId,
        key: UpstreamKey,
        outcome: Outcome,
        started: Instant,
    ) -> Self {
        Self {
            service,
            route: RouteId::new(),
            key,
            first_byte: None,
            outcome,
            digest: None,
            started,
            suspected: false,
        }
    }
}

/// What becomes of a request that has just come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It starts at once.
    Started(UpstreamKey),
    /// It waits; a later [`Scheduler::dispatch`](super::scheduler::Scheduler::dispatch) starts it.
    Queued,
    /// It is refused.
    Refused(Refusal),
}
