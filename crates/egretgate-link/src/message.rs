//! Messages of the link, in both directions.

use bytes::Bytes;
use egretgate_core::Ticket;
use prost::{Enumeration, Message, Oneof};

/// Identifier of a request on the link.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TicketId {
    /// Incarnation of the entry.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Sequence number of the request within that incarnation.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// A frame from an entry to a side process.
#[derive(Clone, PartialEq, Message)]
pub struct ToSide {
    /// Contents; absent in frames of a newer schema.
    #[prost(oneof = "to_side::Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<to_side::Body>,
}

/// Contents of [`ToSide`].
pub mod to_side {
    use super::{
        CopyQuery, Credit, DeathAck, Heartbeat, Hello, Offer, Oneof, Records, SnapshotRequest,
        TicketQuery, Withdraw,
    };

    /// Contents of a frame to a side process.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// First frame on a connection.
        #[prost(message, tag = "1")]
        Hello(Hello),
        /// Asks the side process to run a request.
        #[prost(message, tag = "2")]
        Offer(Offer),
        /// Withdraws a queued request, or cancels a running one.
        #[prost(message, tag = "3")]
        Withdraw(Withdraw),
        /// Asks for a ticket's status after a reconnect.
        #[prost(message, tag = "4")]
        Query(TicketQuery),
        /// Grants credit for more chunks of an answer.
        #[prost(message, tag = "5")]
        Credit(Credit),
        /// Heartbeat with the entry's configuration offset.
        #[prost(message, tag = "6")]
        Heartbeat(Heartbeat),
        /// Configuration records that the side process requested.
        #[prost(message, tag = "7")]
        Records(Records),
        /// Requests the side process's configuration state, when the entry can't read the log.
        #[prost(message, tag = "8")]
        SnapshotRequest(SnapshotRequest),
        /// Asks whether a request with a digest runs.
        #[prost(message, tag = "9")]
        CopyQuery(CopyQuery),
        /// The entry knows of a death.
        #[prost(message, tag = "10")]
        DeathAck(DeathAck),
    }
}

/// A frame from a side process to an entry.
#[derive(Clone, PartialEq, Message)]
pub struct ToEntry {
    /// Contents; absent in frames of a newer schema.
    #[prost(oneof = "to_entry::Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<to_entry::Body>,
}

/// Contents of [`ToEntry`].
pub mod to_entry {
    use super::{
        Chunk, CopyState, DeathReport, End, Goodbye, Load, Oneof, Queued, RecordsRequest, Refused,
        Snapshot, Started, TicketState, Welcome,
    };

    /// Contents of a frame to an entry.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// Answer to [`super::Hello`].
        #[prost(message, tag = "1")]
        Welcome(Welcome),
        /// The request is queued.
        #[prost(message, tag = "2")]
        Queued(Queued),
        /// The request was not run and will not be: it was refused, displaced or withdrawn.
        #[prost(message, tag = "3")]
        Refused(Refused),
        /// The request is about to be sent to an engine: from here on it counts as dispatched.
        #[prost(message, tag = "4")]
        Started(Started),
        /// Part of the answer.
        #[prost(message, tag = "5")]
        Chunk(Chunk),
        /// The answer is whole, or has ended in an error.
        #[prost(message, tag = "6")]
        End(End),
        /// Answer to [`super::TicketQuery`].
        #[prost(message, tag = "7")]
        TicketState(TicketState),
        /// Load report: periodically, and at once after important changes.
        #[prost(message, tag = "8")]
        Load(Load),
        /// The side process is shutting down: offer no new requests.
        #[prost(message, tag = "9")]
        Goodbye(Goodbye),
        /// An engine died with requests in flight.
        #[prost(message, tag = "10")]
        DeathReport(DeathReport),
        /// Requests configuration records.
        #[prost(message, tag = "11")]
        RecordsRequest(RecordsRequest),
        /// Answer to [`super::SnapshotRequest`].
        #[prost(message, tag = "12")]
        Snapshot(Snapshot),
        /// Answer to [`super::CopyQuery`].
        #[prost(message, tag = "13")]
        CopyState(CopyState),
    }
}

/// First frame of an entry on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Shared token; compared in constant time.
    #[prost(string, tag = "1")]
    pub token: String,
    /// Incarnation of the entry.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Instance name of the entry.
    #[prost(string, tag = "3")]
    pub instance: String,
    /// Availability zone of the entry.
    #[prost(string, tag = "4")]
    pub zone: String,
}

/// Answer to [`Hello`]: identity and current load of the side process.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// Incarnation of the side process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Name of the upstream instance.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Availability zone of the upstream.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Service that the upstream serves.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Versions that its engines run.
    #[prost(string, repeated, tag = "5")]
    pub versions: Vec<String>,
    /// Current load.
    #[prost(message, optional, tag = "6")]
    pub load: Option<Load>,
}

/// Asks the side process to run a request.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Route, for version moves and logs.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Team that pays for the request.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Rank of the tier.
    #[prost(uint32, tag = "4")]
    pub tier: u32,
    /// Time left until the deadline when the frame was written, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub deadline_ms: u64,
    /// Version that must run it; empty allows any.
    #[prost(string, tag = "6")]
    pub version: String,
    /// Estimated prompt length, in tokens.
    #[prost(uint32, tag = "7")]
    pub prompt_tokens: u32,
    /// Estimated answer length, in tokens.
    #[prost(uint32, tag = "8")]
    pub output_tokens: u32,
    /// Digest of the request, for quarantine: 16 bytes.
    #[prost(bytes = "bytes", tag = "9")]
    pub digest: Bytes,
    /// HTTP method.
    #[prost(string, tag = "10")]
    pub method: String,
    /// HTTP path and query.
    #[prost(string, tag = "11")]
    pub path: String,
    /// Content type of the body.
    #[prost(string, tag = "12")]
    pub content_type: String,
    /// Body, forwarded unchanged.
    #[prost(bytes = "bytes", tag = "13")]
    pub body: Bytes,
    /// Idempotency key passed on to a plain service; empty if none.
    #[prost(string, tag = "14")]
    pub key: String,
    /// True if the request is a suspect and must run exclusively: with no other request on the
    /// engine.
    #[prost(bool, tag = "15")]
    pub exclusive: bool,
    /// Number of chunks that may be sent before more credit arrives.
    #[prost(uint32, tag = "16")]
    pub credit: u32,
    /// True if the caller asked for a stream of tokens.
    #[prost(bool, tag = "17")]
    pub stream: bool,
}

/// Withdraws a request. Answered by [`Refused`] if it had not started; cancels it if it had.
#[derive(Clone, PartialEq, Message)]
pub struct Withdraw {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
}

/// Asks for a ticket's status after a reconnect.
#[derive(Clone, PartialEq, Message)]
pub struct TicketQuery {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Index of the first chunk that the entry has not received.
    #[prost(uint64, tag = "2")]
    pub next_chunk: u64,
    /// Number of chunks that the caller has taken. This repeats credit that may have been lost with
    /// the connection.
    #[prost(uint64, tag = "3")]
    pub taken_chunks: u64,
}

/// Grants credit for more chunks of an answer. The count is cumulative, so a lost or repeated frame
/// does no harm. Tag 2 was an increment in an earlier schema.
#[derive(Clone, PartialEq, Message)]
pub struct Credit {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Number of chunks that the caller has taken since the start of the answer.
    #[prost(uint64, tag = "3")]
    pub taken_chunks: u64,
}

/// Heartbeat of an entry.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Offset after the last configuration record that the entry has applied.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Chain digest at that offset.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
}

/// Configuration records in log order.
#[derive(Clone, PartialEq, Message)]
pub struct Records {
    /// Records from the requested offset on.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<LogRecord>,
    /// Whole configuration state, if the requested records have expired; empty otherwise.
    #[prost(bytes = "bytes", tag = "2")]
    pub snapshot: Bytes,
}

/// One record of the platform's log.
#[derive(Clone, PartialEq, Message)]
pub struct LogRecord {
    /// Position in the log.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Encoded record.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
    /// Chain digest before the record.
    #[prost(bytes = "bytes", tag = "3")]
    pub prev: Bytes,
}

/// Requests configuration records from an offset on.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsRequest {
    /// Offset of the first record requested.
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Requests the side process's configuration state.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {}

/// The side process's configuration state.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Encoded state.
    #[prost(bytes = "bytes", tag = "1")]
    pub state: Bytes,
}

/// The entry refuses or isolates the requests of a death from here on.
#[derive(Clone, PartialEq, Message)]
pub struct DeathAck {
    /// Number of the death, as in its report.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// Asks whether a request with this digest runs, sent before a suspect starts.
#[derive(Clone, PartialEq, Message)]
pub struct CopyQuery {
    /// Digest of the request: 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: Bytes,
}

/// Answer to [`CopyQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct CopyState {
    /// Digest of the request: 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: Bytes,
    /// True if an engine runs a request with the digest, of any entry.
    #[prost(bool, tag = "2")]
    pub running: bool,
}

/// The request is queued at the side process.
#[derive(Clone, PartialEq, Message)]
pub struct Queued {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
}

/// Proof that this side process has not run the request and will not run it.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Code of the error kind.
    #[prost(string, tag = "2")]
    pub code: String,
    /// Time after which the caller should retry, in milliseconds; 0 if none is suggested.
    #[prost(uint64, tag = "3")]
    pub after_ms: u64,
    /// Load after the refusal.
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
}

/// The request counts as dispatched from here on.
#[derive(Clone, PartialEq, Message)]
pub struct Started {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Version that runs it.
    #[prost(string, tag = "2")]
    pub version: String,
}

/// Part of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Position in the answer, from 0.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Bytes of the answer, unchanged.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// HTTP status; on the first chunk only.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Content type; on the first chunk only.
    #[prost(string, tag = "5")]
    pub content_type: String,
}

/// End of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct End {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Number of chunks sent for the answer.
    #[prost(uint64, tag = "2")]
    pub chunks: u64,
    /// Code of the error kind; empty if the answer is whole.
    #[prost(string, tag = "3")]
    pub code: String,
    /// Tokens generated.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
    /// Load after the end.
    #[prost(message, optional, tag = "5")]
    pub load: Option<Load>,
    /// HTTP status of an answer without any chunk; 0 otherwise.
    #[prost(uint32, tag = "6")]
    pub status: u32,
}

/// Status of a ticket at a side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum TicketStatus {
    /// Never seen by this incarnation of the side process, and refused from now on.
    Unseen = 0,
    /// In the queue.
    Queued = 1,
    /// Dispatched and still running, or ended with the last frame still kept for the entry.
    /// Further frames go to the connection that sent the query.
    Running = 2,
    /// Proven not run.
    Refused = 3,
    /// Ended.
    Ended = 4,
}

/// Answer to [`TicketQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct TicketState {
    /// Identifier of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Status of the ticket.
    #[prost(enumeration = "TicketStatus", tag = "2")]
    pub status: i32,
    /// Incarnation of the side process. If it differs from the one that the request was offered to,
    /// the status proves nothing.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
}

/// Load of one side process.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Number of queued requests.
    #[prost(uint32, tag = "1")]
    pub queued: u32,
    /// Number of running requests.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Learned concurrency limit, in requests.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Tokens of queued requests, to be prefilled or generated.
    #[prost(uint64, tag = "4")]
    pub waiting_tokens: u64,
    /// Estimated time from offer to first token for a new request, in microseconds.
    #[prost(uint64, tag = "5")]
    pub first_us: u64,
    /// Measured inter-token latency, in microseconds.
    #[prost(uint64, tag = "6")]
    pub between_us: u64,
    /// Rank of the lowest tier in the queue, plus one; 0 if the queue is empty.
    #[prost(uint32, tag = "7")]
    pub lowest: u32,
    /// Rank from which new requests are refused, plus one; 0 if none is.
    #[prost(uint32, tag = "8")]
    pub shed: u32,
    /// Offset after the last configuration record applied.
    #[prost(uint64, tag = "9")]
    pub offset: u64,
    /// Chain digest at that offset.
    #[prost(bytes = "bytes", tag = "10")]
    pub digest: Bytes,
    /// Cumulative measurements per version, route and load level, while a version move is under
    /// way.
    #[prost(message, repeated, tag = "11")]
    pub samples: Vec<Sample>,
    /// False while no engine of the side process answers.
    #[prost(bool, tag = "12")]
    pub healthy: bool,
}

/// Cumulative measurements of one version on one route at one load level.
#[derive(Clone, PartialEq, Message)]
pub struct Sample {
    /// Route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Version.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Load level of the engine when the request started; 0 is the lowest.
    #[prost(uint32, tag = "3")]
    pub level: u32,
    /// Number of ended requests.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// Number of failed requests.
    #[prost(uint64, tag = "5")]
    pub errors: u64,
    /// Number of requests whose first token was later than the target.
    #[prost(uint64, tag = "6")]
    pub slow_first_token: u64,
    /// Number of requests whose inter-token latency was above the target.
    #[prost(uint64, tag = "7")]
    pub slow_inter_token: u64,
}

/// The side process is shutting down; running requests still finish.
#[derive(Clone, PartialEq, Message)]
pub struct Goodbye {}

/// An engine died with requests in flight.
#[derive(Clone, PartialEq, Message)]
pub struct DeathReport {
    /// Upstream instance of the engine.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of this death within the side process's incarnation, from 1.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Digests of the requests in flight, 16 bytes each.
    #[prost(bytes = "bytes", repeated, tag = "3")]
    pub digests: Vec<Bytes>,
    /// True if the receiving entry must append the death to the log. Every entry applies it to its
    /// quarantine.
    #[prost(bool, tag = "4")]
    pub append: bool,
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

impl From<to_side::Body> for ToSide {
    fn from(body: to_side::Body) -> Self {
        Self { body: Some(body) }
    }
}

impl From<to_entry::Body> for ToEntry {
    fn from(body: to_entry::Body) -> Self {
        Self { body: Some(body) }
    }
}
