//! Encoded forms of the state, for snapshots and for the transfer to side processes.

use prost::Message;

use crate::record::body::{Item, MoveBegin, RecordedAnswer, Verdict};

#[derive(Clone, PartialEq, Message)]
pub(crate) struct StateImage {
    #[prost(uint64, tag = "1")]
    pub(crate) next_offset: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) config: Option<ConfigImage>,
    #[prost(message, optional, tag = "3")]
    pub(crate) keys: Option<KeysImage>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ConfigImage {
    #[prost(uint64, tag = "1")]
    pub(crate) next_offset: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) chain: bytes::Bytes,
    #[prost(message, repeated, tag = "3")]
    pub(crate) items: Vec<Item>,
    #[prost(uint64, tag = "4")]
    pub(crate) revision_floor: u64,
    #[prost(message, repeated, tag = "5")]
    pub(crate) leases: Vec<LeaseImage>,
    #[prost(message, repeated, tag = "6")]
    pub(crate) moves: Vec<MoveImage>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) serving: Vec<ServingImage>,
    #[prost(message, optional, tag = "8")]
    pub(crate) quarantine: Option<QuarantineImage>,
    #[prost(message, repeated, tag = "9")]
    pub(crate) actions: Vec<ActionImage>,
    #[prost(message, repeated, tag = "10")]
    pub(crate) writers: Vec<WriterImage>,
    #[prost(message, repeated, tag = "11")]
    pub(crate) zones: Vec<ZoneImage>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct LeaseImage {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(fixed64, optional, tag = "2")]
    pub(crate) holder: Option<u64>,
    #[prost(uint64, tag = "3")]
    pub(crate) fence: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) last_offset: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) sequence: u64,
    #[prost(uint64, tag = "6")]
    pub(crate) ttl_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct MoveImage {
    #[prost(uint64, tag = "1")]
    pub(crate) offset: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) begin: Option<MoveBegin>,
    #[prost(uint32, tag = "3")]
    pub(crate) step: u32,
    #[prost(uint32, tag = "4")]
    pub(crate) share_ppm: u32,
    #[prost(enumeration = "Verdict", tag = "5")]
    pub(crate) verdict: i32,
    #[prost(string, tag = "6")]
    pub(crate) evidence: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ServingImage {
    #[prost(string, tag = "1")]
    pub(crate) route: String,
    #[prost(string, tag = "2")]
    pub(crate) version: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ZoneImage {
    #[prost(string, tag = "1")]
    pub(crate) zone: String,
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    #[prost(string, tag = "3")]
    pub(crate) operator: String,
    #[prost(string, tag = "4")]
    pub(crate) reason: String,
    #[prost(uint64, tag = "5")]
    pub(crate) at_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuarantineImage {
    #[prost(message, repeated, tag = "1")]
    pub(crate) suspects: Vec<SuspectImage>,
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub(crate) deaths: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct SuspectImage {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) digest: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) first: Vec<u8>,
    #[prost(bytes = "vec", optional, tag = "3")]
    pub(crate) second: Option<Vec<u8>>,
    #[prost(uint64, tag = "4")]
    pub(crate) offset: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ActionImage {
    #[prost(uint64, tag = "1")]
    pub(crate) offset: u64,
    #[prost(string, tag = "2")]
    pub(crate) kind: String,
    #[prost(string, tag = "3")]
    pub(crate) operator: String,
    #[prost(string, tag = "4")]
    pub(crate) reason: String,
    #[prost(string, tag = "5")]
    pub(crate) verdict: String,
    #[prost(string, tag = "6")]
    pub(crate) refusal: String,
    #[prost(string, tag = "7")]
    pub(crate) detail: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WriterImage {
    #[prost(fixed64, tag = "1")]
    pub(crate) writer: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) offset: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct KeysImage {
    #[prost(message, repeated, tag = "1")]
    pub(crate) keys: Vec<KeyImage>,
    #[prost(uint64, tag = "2")]
    pub(crate) clock_ms: u64,
    #[prost(uint64, optional, tag = "3")]
    pub(crate) last_tick: Option<u64>,
    #[prost(message, repeated, tag = "4")]
    pub(crate) writers: Vec<WriterImage>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct KeyImage {
    #[prost(bytes = "bytes", tag = "1")]
    pub(crate) key: bytes::Bytes,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) body_digest: bytes::Bytes,
    #[prost(fixed64, tag = "3")]
    pub(crate) entry: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) sequence: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) intent_offset: u64,
    #[prost(uint64, tag = "6")]
    pub(crate) window_s: u64,
    #[prost(uint64, optional, tag = "7")]
    pub(crate) expires_ms: Option<u64>,
    #[prost(uint64, optional, tag = "8")]
    pub(crate) outcome_offset: Option<u64>,
    #[prost(message, optional, tag = "9")]
    pub(crate) answer: Option<RecordedAnswer>,
}
