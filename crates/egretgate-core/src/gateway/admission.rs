//! Requests to the scheduler for an upstream, and its decisions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::new_key_type;

use super::prompt_part::PartHash;
use super::regions::Regions;
use super::request_queue::{Priority, RequestNumber};
use super::returns::Standing;
use super::team_share::ShareRank;
use super::token_bucket::Shortage;
use super::upstream::Outcome;
use crate::{Digest, RouteId, ServiceId, TeamId, UpstreamId};

new_key_type! {
    /// Key of an upstream within one incarnation of an entry.
    pub struct UpstreamKey;
}

/// A request that asks the scheduler for an upstream.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Number within one incarnation of the entry.
    pub number: RequestNumber,
    /// Service that should serve it.
    pub service: ServiceId,
    /// Route that matched it.
    pub route: RouteId,
    /// Its urgency.
    pub priority: Priority,
    /// Team whose limit it counts against, with its tokens; `None` if its tokens were already
    /// charged or its team has no limit.
    pub charge: Option<Charge>,
    /// Time by which its answer should begin.
    pub objective: Instant,
    /// Longest expected wait for which it is still queued; after a longer one its answer would be
    /// late.
    pub useful_wait: Duration,
    /// Time at which it leaves the queue.
    pub queue_deadline: Instant,
    /// Expected number of events in its answer; 0 if the answer is not a stream.
    pub events: f64,
    /// Time at which its caller or its route times out.
    pub deadline: Instant,
    /// Seconds between events at the upstream where it runs now. If set, the request asks for a
    /// migration: it takes only an upstream that is clearly faster, and doesn't wait for one.
    pub faster_than: Option<f64>,
    /// True if it was sent to an upstream before.
    pub is_retry: bool,
    /// Upstreams that it must not be sent to again.
    pub avoid: Vec<UpstreamId>,
    /// Digest of its target, key and body.
    pub digest: Option<Digest>,
    /// Parts of its prompt that other requests may share.
    pub parts: Arc<[PartHash]>,
    /// What it needs of an upstream.
    pub needs: Needs,
}

/// What a request needs of an upstream, beside a slot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Needs {
    /// Regions in which it may run.
    pub regions: Regions,
    /// Tokens of its prompt; 0 if unknown.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of its answer; 0 if unknown.
    pub output_tokens: u64,
    /// True if it may be repeated at another upstream, so that it may probe one that has failed.
    pub may_repeat: bool,
}

/// Tokens that count against the limit of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// Team that is charged.
    pub team: TeamId,
    /// Number of tokens.
    pub tokens: u64,
}

/// Why the scheduler refuses a request. It is not sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Its team is over its limit.
    OverLimit(Shortage),
    /// No upstream is expected to have headroom for it in time.
    Overloaded(Overload),
    /// The retry budget is spent.
    RetryBudgetSpent,
    /// It has crashed several upstreams since its last sound run.
    Poison,
    /// Requests with a part of its prompt have crashed several upstreams.
    QuarantinedPart,
}

/// Why no upstream has headroom for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Slots are reserved for more urgent requests.
    ReservedForUrgent,
    /// It would wait for longer than is useful.
    TooLong,
    /// Its queue deadline has passed.
    Expired,
    /// All upstreams pause for longer than is useful.
    Paused,
    /// Operators drain the zones of all its upstreams.
    Drained,
    /// No upstream is in a region in which it may run.
    NoRegion,
    /// No upstream is clearly faster than the one where it runs.
    NoneFaster,
    /// The entry failed to decide on the request.
    Failed,
}

/// The state of a service that led to a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overload {
    /// Why the request is refused.
    pub reason: Reason,
    /// Expected wait of the request.
    pub expected_wait: Duration,
    /// Time until the first upstream takes requests again, if all of them pause; else zero.
    pub pause: Duration,
    /// Time after which the caller should come back; `None` if that isn't planned.
    pub retry_after: Option<Duration>,
    /// How far its team is beyond its part.
    pub share_rank: ShareRank,
    /// Whether it was refused before.
    pub standing: Standing,
    /// Requests of the service in the queue of this entry.
    pub waiting: usize,
    /// Requests of the service that this entry has in flight.
    pub running: u32,
}

impl Overload {
    /// Returns an overload that states a reason but no state of a service.
    pub const fn without_state(reason: Reason) -> Self {
        Self {
            reason,
            expected_wait: Duration::ZERO,
            pause: Duration::ZERO,
            retry_after: None,
            share_rank: 0,
            standing: Standing::New,
            waiting: 0,
            running: 0,
        }
    }
}

impl Reason {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ReservedForUrgent => "gives_way",
            Self::TooLong => "too_long",
            Self::Expired => "expired",
            Self::Paused => "paused",
            Self::Drained => "drained",
            Self::NoRegion => "no_region",
            Self::NoneFaster => "none_faster",
            Self::Failed => "failed",
        }
    }
}

/// A waiting request that was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Number of the request.
    pub number: RequestNumber,
    /// Upstream at which it starts.
    pub upstream: UpstreamKey,
}

/// The end of a request that was sent to an upstream.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Service.
    pub service: ServiceId,
    /// Route.
    pub route: RouteId,
    /// Upstream.
    pub key: UpstreamKey,
    /// Time to first byte of its answer; `None` if there was none.
    pub first_byte: Option<Duration>,
    /// How it ended.
    pub outcome: Outcome,
    /// Digest of the request.
    pub digest: Option<Digest>,
    /// Parts of its prompt that other requests may share.
    pub parts: Arc<[PartHash]>,
    /// Time from the first to the last data of a successful answer, whole or not; `None` if there was
    /// no data.
    pub wrote: Option<Duration>,
    /// Time at which it started.
    pub started: Instant,
    /// True if [`Scheduler::suspect`](super::scheduler::Scheduler::suspect) was called for it.
    pub suspected: bool,
}

impl Completion {
    /// Returns the completion of a request without route, digest and time to first byte, which was
    /// never suspected.
    pub fn new(service: ServiceId, key: UpstreamKey, outcome: Outcome, started: Instant) -> Self {
        Self {
            service,
            route: RouteId::new(),
            key,
            first_byte: None,
            outcome,
            digest: None,
            parts: Arc::default(),
            wrote: None,
            started,
            suspected: false,
        }
    }
}

/// A run that ended with [`Outcome::InvalidAnswer`], for the check of its upstream.
#[derive(Debug, Clone)]
pub struct BrokenRun {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Digest of the request.
    pub digest: Option<Digest>,
    /// Parts of its prompt that other requests may share.
    pub parts: Arc<[PartHash]>,
    /// Time from the first to the last data of its answer; `None` if there was no data.
    pub wrote: Option<Duration>,
    /// Time at which the run broke.
    pub at: Instant,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It starts at the upstream.
    Started(UpstreamKey),
    /// It waits until [`Scheduler::dispatch`](super::scheduler::Scheduler::dispatch) starts it.
    Queued,
    /// It is refused.
    Refused(Refusal),
}
