//! Bodies of log records.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

use super::{Body, MAX_NAME_BYTES, MAX_OUTCOME_BYTES, MAX_TEXT_BYTES};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{Digest, Ticket};

/// Kind of a declared item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Missing or unknown kind.
    None = 0,
    /// A tier.
    Tier = 1,
    /// A team.
    Team = 2,
    /// A service.
    Service = 3,
    /// A route.
    Route = 4,
}

/// A change of declarations, accepted or refused as a whole.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// Operator who requests it.
    #[prost(string, tag = "1")]
    pub operator: String,
    /// Reason given by the operator.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Items to create or replace.
    #[prost(message, repeated, tag = "3")]
    pub puts: Vec<Item>,
    /// Items to delete.
    #[prost(message, repeated, tag = "4")]
    pub deletes: Vec<Delete>,
}

/// A declared item.
#[derive(Clone, PartialEq, Message)]
pub struct Item {
    /// Kind of item.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Name of the item.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Declaration as JSON.
    #[prost(string, tag = "3")]
    pub spec: String,
    /// Revision on which the change is based; 0 if the item is new. The change is refused if the
    /// item has another revision by then.
    #[prost(uint64, tag = "4")]
    pub base_revision: u64,
}

/// A deletion of a declared item.
#[derive(Clone, PartialEq, Message)]
pub struct Delete {
    /// Kind of item.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Name of the item.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Revision on which the deletion is based.
    #[prost(uint64, tag = "3")]
    pub base_revision: u64,
}

/// A claim of a lease, accepted if the lease's last accepted record is still at `expected_offset`.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// Name of the lease.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the process that claims it.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// Offset of the lease's last accepted record; absent if there is none.
    #[prost(uint64, optional, tag = "3")]
    pub expected_offset: Option<u64>,
    /// Time for which the lease is held, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
}

/// A renewal of a lease by its holder.
#[derive(Clone, PartialEq, Message)]
pub struct Renew {
    /// Name of the lease.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the holder.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// Offset of the lease's last accepted record.
    #[prost(uint64, tag = "3")]
    pub expected_offset: u64,
}

/// The release of a lease by its holder, so that another process can claim it at once.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// Name of the lease.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the holder.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// Offset of the lease's last accepted record.
    #[prost(uint64, tag = "3")]
    pub expected_offset: u64,
}

/// The start of a version move.
#[derive(Clone, PartialEq, Message)]
pub struct MoveBegin {
    /// Operator who requests it.
    #[prost(string, tag = "1")]
    pub operator: String,
    /// Reason given by the operator.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Route whose traffic moves.
    #[prost(string, tag = "3")]
    pub route: String,
    /// Version that serves the route now.
    #[prost(string, tag = "4")]
    pub from: String,
    /// Version that serves the route once the move is done.
    #[prost(string, tag = "5")]
    pub to: String,
    /// Shares of the new version in rising order, in millionths; a share may be repeated.
    #[prost(uint32, repeated, tag = "6")]
    pub steps: Vec<u32>,
    /// How much larger the fraction of bad requests may be than with the old version, in
    /// millionths; 0 for the default of each metric.
    #[prost(uint32, tag = "7")]
    pub budget_ppm: u32,
    /// Time by which the move is done or taken back, in milliseconds since the Unix epoch; used
    /// only by the holder of the move's lease.
    #[prost(uint64, tag = "8")]
    pub end_ms: u64,
    /// Largest number of requests in flight on the new version while it is unproven; see
    /// [`MovePlan::cap`](crate::moves::MovePlan::cap).
    #[prost(uint32, tag = "9")]
    pub cap: u32,
    /// Time at which the entry received the operator's request, in milliseconds since the Unix
    /// epoch; used only by the holder of the move's lease.
    #[prost(uint64, tag = "10")]
    pub begin_ms: u64,
}

/// The cancellation of a version move by an operator; the move is taken back.
#[derive(Clone, PartialEq, Message)]
pub struct MoveCancel {
    /// Operator who requests it.
    #[prost(string, tag = "1")]
    pub operator: String,
    /// Reason given by the operator.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Route whose traffic moves.
    #[prost(string, tag = "3")]
    pub route: String,
}

/// What an order does to a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ZoneAction {
    /// Missing or unknown action.
    None = 0,
    /// The zone's upstreams get no new requests.
    Drain = 1,
    /// The zone's upstreams get requests again.
    Restore = 2,
}

/// An order to drain or restore a zone.
#[derive(Clone, PartialEq, Message)]
pub struct ZoneOrder {
    /// Operator who requests it.
    #[prost(string, tag = "1")]
    pub operator: String,
    /// Reason given by the operator.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Name of the zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// What to do.
    #[prost(enumeration = "ZoneAction", tag = "4")]
    pub action: i32,
    /// Revision on which the order is based; 0 if the zone is not drained. The order is refused if
    /// the zone has another revision by then.
    #[prost(uint64, tag = "5")]
    pub base_revision: u64,
    /// When the entry received the order, in milliseconds since the Unix epoch; for display only.
    #[prost(uint64, tag = "6")]
    pub at_ms: u64,
}

/// Decision of a move's step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The move continues at the step's share.
    Proceed = 0,
    /// The new version serves the route.
    Done = 1,
    /// The old version serves the route again.
    TakenBack = 2,
}

/// A step of a version move, written by the holder of the move's lease.
#[derive(Clone, PartialEq, Message)]
pub struct MoveStep {
    /// Route whose traffic moves.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Fencing number of the holder's claim.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Number of the step within the move, from 1.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Share of the new version from here on, in millionths.
    #[prost(uint32, tag = "4")]
    pub share_ppm: u32,
    /// Decision of the step.
    #[prost(enumeration = "Verdict", tag = "5")]
    pub verdict: i32,
    /// Measurements on which the decision is based, as text.
    #[prost(string, tag = "6")]
    pub evidence: String,
}

/// The death of an upstream, with the requests that were in flight.
#[derive(Clone, PartialEq, Message)]
pub struct Death {
    /// Upstream that died.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Incarnation of the side process that reported it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of this death within that incarnation, from 1.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Digests of the requests in flight, 16 bytes each.
    #[prost(bytes = "bytes", repeated, tag = "4")]
    pub digests: Vec<Bytes>,
}

/// The clearing of suspects that completed.
#[derive(Clone, PartialEq, Message)]
pub struct Clear {
    /// Digests of the requests, 16 bytes each.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub digests: Vec<Bytes>,
}

/// The end of a quarantine, requested by an operator.
#[derive(Clone, PartialEq, Message)]
pub struct Lift {
    /// Operator who requests it.
    #[prost(string, tag = "1")]
    pub operator: String,
    /// Digest of the request, 16 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// Reason given by the operator.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// Identifier of a request.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TicketId {
    /// Incarnation of the entry.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Number of the request within that incarnation.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// Intents and outcomes of one entry, appended as a group. Outcomes are applied first.
#[derive(Clone, PartialEq, Message)]
pub struct CallGroup {
    /// Outcomes of earlier intents.
    #[prost(message, repeated, tag = "1")]
    pub outcomes: Vec<Outcome>,
    /// New intents.
    #[prost(message, repeated, tag = "2")]
    pub intents: Vec<Intent>,
}

/// The reservation of an idempotency key, before dispatch.
#[derive(Clone, PartialEq, Message)]
pub struct Intent {
    /// Digest of team, route and key, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// Digest of the request's body, 16 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub body_digest: Bytes,
    /// Request to dispatch.
    #[prost(message, optional, tag = "3")]
    pub ticket: Option<TicketId>,
    /// Log time for which the key is kept, in seconds.
    #[prost(uint64, tag = "4")]
    pub window_s: u64,
}

/// Outcome of the call for a key.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// Digest of team, route and key, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// Request that held the key.
    #[prost(message, optional, tag = "2")]
    pub ticket: Option<TicketId>,
    /// How the call ended.
    #[prost(oneof = "Ending", tags = "3, 4, 5")]
    pub ending: Option<Ending>,
}

/// How a call ended.
#[derive(Clone, PartialEq, Oneof)]
pub enum Ending {
    /// The call ran and was answered.
    #[prost(message, tag = "3")]
    Answered(RecordedAnswer),
    /// The call is proven not to have run; the key becomes free.
    #[prost(message, tag = "4")]
    NotRun(NotRun),
    /// The call was dispatched, and whether it ran is unknown.
    #[prost(message, tag = "5")]
    Unknown(Unknown),
}

/// A recorded answer to a call.
#[derive(Clone, PartialEq, Message)]
pub struct RecordedAnswer {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Content type.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Body of at most [`MAX_OUTCOME_BYTES`]; absent if it was longer or is no longer kept.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub body: Option<Bytes>,
    /// Digest of the body, 16 bytes.
    #[prost(bytes = "bytes", tag = "4")]
    pub digest: Bytes,
}

/// Proof that a call was not run.
#[derive(Clone, PartialEq, Message)]
pub struct NotRun {}

/// Statement that it can't be determined whether a dispatched call ran.
#[derive(Clone, PartialEq, Message)]
pub struct Unknown {}

/// Time that passed since the keeper's last tick or claim, by the keeper's monotonic clock.
#[derive(Clone, PartialEq, Message)]
pub struct Tick {
    /// Fencing number of the keeper's claim.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Offset of the last accepted tick; absent if there is none.
    #[prost(uint64, optional, tag = "2")]
    pub expected_offset: Option<u64>,
    /// Time from reading the last tick or claim to sending this tick, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub elapsed_ms: u64,
}

/// A chunk of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotChunk {
    /// Identifier of the snapshot, unique within the writer's incarnation.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Index of this chunk, from 0.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of chunks.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Offset after the last record in the snapshot.
    #[prost(uint64, tag = "4")]
    pub end_offset: u64,
    /// BLAKE3 hash of the whole snapshot, 32 bytes.
    #[prost(bytes = "bytes", tag = "5")]
    pub hash: Bytes,
    /// Bytes of this chunk.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
}

impl Kind {
    /// Returns the name of this kind in declarations and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "item",
            Self::Tier => "tier",
            Self::Team => "team",
            Self::Service => "service",
            Self::Route => "route",
        }
    }
}

impl RecordedAnswer {
    /// Returns the recorded form of an answer: of a body over the limit only the digest is kept.
    pub fn new(status: u32, content_type: impl Into<String>, body: Bytes) -> Self {
        let digest = Bytes::copy_from_slice(Digest::of(&[&body]).as_bytes());
        let body = (body.len() <= MAX_OUTCOME_BYTES).then_some(body);
        Self { status, content_type: content_type.into(), body, digest }
    }
}

impl From<Ticket> for TicketId {
    fn from(ticket: Ticket) -> Self {
        Self { entry: ticket.entry, sequence: ticket.sequence }
    }
}

impl From<TicketId> for Ticket {
    fn from(id: TicketId) -> Self {
        Self::new(id.entry, id.sequence)
    }
}

/// Checks the limits of a body's fields, before the append and again in the fold.
pub(crate) fn check(body: &Body) -> Result<()> {
    if let Some((operator, reason)) = body.requested_by() {
        check_name("operator", operator)?;
        if reason.trim().is_empty() {
            return Err(invalid("a change needs a reason"));
        }
        check_length("reason", reason, MAX_TEXT_BYTES)?;
    }
    match body {
        Body::Change(change) => check_change(change),
        Body::Claim(claim) => check_name("lease", &claim.name),
        Body::Renew(renew) => check_name("lease", &renew.name),
        Body::Release(release) => check_name("lease", &release.name),
        Body::MoveBegin(begin) => check_move_begin(begin),
        Body::MoveStep(step) => {
            check_name("route", &step.route)?;
            check_length("evidence", &step.evidence, MAX_TEXT_BYTES)
        }
        Body::MoveCancel(cancel) => check_name("route", &cancel.route),
        Body::ZoneOrder(order) => check_name("zone", &order.zone),
        Body::Death(death) => check_name("upstream", &death.upstream),
        Body::CallGroup(group) => group.outcomes.iter().try_for_each(check_outcome),
        Body::Lift(_) | Body::Clear(_) | Body::Tick(_) | Body::Chunk(_) => Ok(()),
    }
}

fn check_change(change: &Change) -> Result<()> {
    let puts = change.puts.iter().map(|item| &item.name);
    let deletes = change.deletes.iter().map(|item| &item.name);
    puts.chain(deletes).try_for_each(|name| check_name("item", name))
}

fn check_move_begin(begin: &MoveBegin) -> Result<()> {
    check_name("route", &begin.route)?;
    check_name("version", &begin.from)?;
    check_name("version", &begin.to)?;
    let rising = begin.steps.is_sorted();
    let within = begin.steps.iter().all(|share| (1..=1_000_000).contains(share));
    if begin.steps.is_empty() || !rising || !within {
        return Err(invalid("steps must not fall and lie between 1 and 1000000 millionths"));
    }
    Ok(())
}

fn check_outcome(outcome: &Outcome) -> Result<()> {
    let Some(Ending::Answered(answer)) = &outcome.ending else {
        return Ok(());
    };
    check_length("content type", &answer.content_type, MAX_NAME_BYTES)?;
    let too_long = answer.body.as_ref().is_some_and(|body| body.len() > MAX_OUTCOME_BYTES);
    if too_long {
        Err(Error::new(ErrorKind::TooLarge, "recorded answer is too long"))
    } else {
        Ok(())
    }
}

fn check_name(what: &str, name: &str) -> Result<()> {
    if name.trim().is_empty() {
        return Err(invalid(format!("{what} without a name")));
    }
    check_length(what, name, MAX_NAME_BYTES)
}

fn check_length(what: &str, text: &str, limit: usize) -> Result<()> {
    if text.len() <= limit {
        return Ok(());
    }
    Err(Error::new(ErrorKind::TooLarge, format!("{what} is over {limit} bytes")))
}

fn invalid(detail: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidDeclaration, detail)
}
