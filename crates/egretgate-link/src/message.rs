//! Messages of the link, in both directions.

use bytes::Bytes;
use egretgate_core::Ticket;
use prost::{Enumeration, Message, Oneof};

/// Name of a request on the link.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TicketId {
    /// Life of the entry.
    #[prost(fixed64, tag = "1")]
    pub entry: u64,
    /// Position within that life.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// A frame from an entry to a side process.
#[derive(Clone, PartialEq, Message)]
pub struct ToSide {
    /// What the frame says; absent in frames of a newer schema.
    #[prost(oneof = "to_side::Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<to_side::Body>,
}

/// Contents of [`ToSide`].
pub mod to_side {
    use super::{
        Credit, Heartbeat, Hello, Offer, Oneof, Records, SnapshotRequest, TicketQuery, Withdraw,
    };

    /// What a frame to a side process says.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// First frame on a connection.
        #[prost(message, tag = "1")]
        Hello(Hello),
        /// Asks the side process to run a request.
        #[prost(message, tag = "2")]
        Offer(Offer),
        /// Takes a request back, or cancels it once started.
        #[prost(message, tag = "3")]
        Withdraw(Withdraw),
        /// Asks for a ticket's state after a cut.
        #[prost(message, tag = "4")]
        Query(TicketQuery),
        /// Allows more chunks of an answer.
        #[prost(message, tag = "5")]
        Credit(Credit),
        /// Regular sign of life with the entry's offset.
        #[prost(message, tag = "6")]
        Heartbeat(Heartbeat),
        /// Configuration records that the side process asked for.
        #[prost(message, tag = "7")]
        Records(Records),
        /// Asks for the side process's state, when the log can't be read.
        #[prost(message, tag = "8")]
        SnapshotRequest(SnapshotRequest),
    }
}

/// A frame from a side process to an entry.
#[derive(Clone, PartialEq, Message)]
pub struct ToEntry {
    /// What the frame says; absent in frames of a newer schema.
    #[prost(oneof = "to_entry::Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<to_entry::Body>,
}

/// Contents of [`ToEntry`].
pub mod to_entry {
    use super::{
        Chunk, DeathReport, End, Goodbye, Load, Oneof, Queued, RecordsRequest, Refused, Snapshot,
        Started, TicketState, Welcome,
    };

    /// What a frame to an entry says.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// Answer to [`super::Hello`].
        #[prost(message, tag = "1")]
        Welcome(Welcome),
        /// The request waits.
        #[prost(message, tag = "2")]
        Queued(Queued),
        /// The request was not run and will not be: refused, displaced or withdrawn.
        #[prost(message, tag = "3")]
        Refused(Refused),
        /// The request is about to be sent upstream: from here on it counts as dispatched.
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
        /// Load, on each change that matters and as heartbeat.
        #[prost(message, tag = "8")]
        Load(Load),
        /// The side process leaves: offer nothing new.
        #[prost(message, tag = "9")]
        Goodbye(Goodbye),
        /// An upstream died with requests in flight.
        #[prost(message, tag = "10")]
        DeathReport(DeathReport),
        /// Asks for configuration records.
        #[prost(message, tag = "11")]
        RecordsRequest(RecordsRequest),
        /// Answer to [`super::SnapshotRequest`].
        #[prost(message, tag = "12")]
        Snapshot(Snapshot),
    }
}

/// First frame of an entry on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Shared token; compared in constant time.
    #[prost(string, tag = "1")]
    pub token: String,
    /// Life of the entry.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Instance name of the entry.
    #[prost(string, tag = "3")]
    pub instance: String,
    /// Availability zone of the entry.
    #[prost(string, tag = "4")]
    pub zone: String,
}

/// Answer to [`Hello`], with what stands behind the side process.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// Life of the side process.
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
    /// Versions that its engines hold.
    #[prost(string, repeated, tag = "5")]
    pub versions: Vec<String>,
    /// Load at this moment.
    #[prost(message, optional, tag = "6")]
    pub load: Option<Load>,
}

/// Asks the side process to run a request.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// Name of the request.
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
    /// Body, passed on unchanged.
    #[prost(bytes = "bytes", tag = "13")]
    pub body: Bytes,
    /// Idempotency key passed on to a plain service; empty if none.
    #[prost(string, tag = "14")]
    pub key: String,
    /// True if a suspect request must run with no other beside it.
    #[prost(bool, tag = "15")]
    pub exclusive: bool,
    /// Chunks that may be sent before more credit arrives.
    #[prost(uint32, tag = "16")]
    pub credit: u32,
    /// True if the caller asked for a stream of tokens.
    #[prost(bool, tag = "17")]
    pub stream: bool,
}

/// Takes a request back. Answered by [`Refused`] if it had not started; cancelled if it had.
#[derive(Clone, PartialEq, Message)]
pub struct Withdraw {
    /// Name of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
}

/// Asks for a ticket's state after a cut.
#[derive(Clone, PartialEq, Message)]
pub struct TicketQuery {
    /// Name of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Index of the first chunk that the entry lacks.
    #[prost(uint64, tag = "2")]
    pub next_chunk: u64,
    /// Chunks that the caller has taken: credit that the cut may have lost.
    #[prost(uint64, tag = "3")]
    pub taken_chunks: u64,
}

/// Allows more chunks of an answer. It counts from the start of the answer, so that a lost or
/// repeated one does no harm. Tag 2 held an increment.
#[derive(Clone, PartialEq, Message)]
pub struct Credit {
    /// Name of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Chunks that the caller has taken.
    #[prost(uint64, tag = "3")]
    pub taken_chunks: u64,
}

/// Regular sign of life of an entry.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Offset after the last configuration record that the entry has folded.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Chain digest at that offset.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
}

/// Configuration records in log order.
#[derive(Clone, PartialEq, Message)]
pub struct Records {
    /// Records after the offset that was asked for.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<LogRecord>,
    /// Whole configuration state, if the records asked for have expired; empty otherwise.
    #[prost(bytes = "bytes", tag = "2")]
    pub snapshot: Bytes,
}

/// One record of the platform's log.
#[derive(Clone, PartialEq, Message)]
pub struct LogRecord {
    /// Position in the log.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Contents.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
    /// Chain digest before the record.
    #[prost(bytes = "bytes", tag = "3")]
    pub prev: Bytes,
}

/// Asks for configuration records from an offset on.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsRequest {
    /// Offset of the first record wanted.
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Asks for the side process's configuration state.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {}

/// The side process's configuration state.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Encoded state, as written by the fold.
    #[prost(bytes = "bytes", tag = "1")]
    pub state: Bytes,
}

/// The request waits at the side process.
#[derive(Clone, PartialEq, Message)]
pub struct Queued {
    /// Name of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
}

/// Proof that the request was not run and will not be run by this side process.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// Name of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Code of the error kind.
    #[prost(string, tag = "2")]
    pub code: String,
    /// Time after which another try is welcome, in milliseconds; 0 if none is named.
    #[prost(uint64, tag = "3")]
    pub after_ms: u64,
    /// Load after the refusal.
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
}

/// The request counts as dispatched from here on.
#[derive(Clone, PartialEq, Message)]
pub struct Started {
    /// Name of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Version that runs it.
    #[prost(string, tag = "2")]
    pub version: String,
}

/// Part of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// Name of the request.
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
    /// Name of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Number of chunks in the whole answer.
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

/// State of a ticket at a side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum TicketStatus {
    /// Never seen by this life of the side process, and refused from now on.
    Unseen = 0,
    /// Waits.
    Queued = 1,
    /// Dispatched and still running; chunks go to the asking connection from here on.
    Running = 2,
    /// Proven not run.
    Refused = 3,
    /// Ended.
    Ended = 4,
}

/// Answer to [`TicketQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct TicketState {
    /// Name of the request.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<TicketId>,
    /// Where the request stands.
    #[prost(enumeration = "TicketStatus", tag = "2")]
    pub status: i32,
    /// Life of the side process; another one than offered to proves nothing.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
}

/// Load of one side process.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Requests that wait.
    #[prost(uint32, tag = "1")]
    pub queued: u32,
    /// Requests that run.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Learned limit of requests that run.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Tokens that wait for prefill or generation.
    #[prost(uint64, tag = "4")]
    pub waiting_tokens: u64,
    /// Estimated time from offer to first token for a new request, in microseconds.
    #[prost(uint64, tag = "5")]
    pub first_us: u64,
    /// Measured time between tokens, in microseconds.
    #[prost(uint64, tag = "6")]
    pub between_us: u64,
    /// Rank of the lowest tier held in the queue, plus one; 0 if the queue is empty.
    #[prost(uint32, tag = "7")]
    pub lowest: u32,
    /// Rank from which new requests are refused, plus one; 0 if none is.
    #[prost(uint32, tag = "8")]
    pub shed: u32,
    /// Offset after the last configuration record folded.
    #[prost(uint64, tag = "9")]
    pub offset: u64,
    /// Chain digest at that offset.
    #[prost(bytes = "bytes", tag = "10")]
    pub digest: Bytes,
    /// Cumulative measurements per version, route and load level, while a move is under way.
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
    /// Load level when the request started; 0 is the lightest.
    #[prost(uint32, tag = "3")]
    pub level: u32,
    /// Requests ended.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// Requests that failed.
    #[prost(uint64, tag = "5")]
    pub errors: u64,
    /// Requests with a slow first token.
    #[prost(uint64, tag = "6")]
    pub slow_first: u64,
    /// Requests with slow tokens.
    #[prost(uint64, tag = "7")]
    pub slow_between: u64,
}

/// The side process leaves; running streams finish.
#[derive(Clone, PartialEq, Message)]
pub struct Goodbye {}

/// An upstream died with requests in flight.
#[derive(Clone, PartialEq, Message)]
pub struct DeathReport {
    /// Upstream that died.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of this death within the side process's life, from 1.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Digests in flight, 16 bytes each.
    #[prost(bytes = "bytes", repeated, tag = "3")]
    pub digests: Vec<Bytes>,
    /// True if the entry is to append the death to the log; the others only take it into account.
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
