//! Operator calls as messages to the task that owns the state.

use egretgate_core::{Offset, Result};
use tokio::sync::oneshot;

use crate::proto;

/// Sender of a call's answer. If it is dropped, the operator gets an internal error.
pub type Reply<T> = oneshot::Sender<Result<T>>;

/// An authenticated operator call. The author of a change, unless it is a dry run, has passed
/// [`check_author`](crate::check_author).
#[derive(Debug)]
pub enum Call {
    /// Creates, replaces and deletes declared items.
    Apply(proto::ApplyRequest, Reply<proto::ApplyReply>),
    /// Returns declared items.
    Get(proto::GetRequest, Reply<proto::GetReply>),
    /// Returns one page of records. A page with fewer records than its limit is the last one.
    Records(Page, Reply<Vec<proto::Record>>),
    /// Begins, cancels or shows version moves.
    Move(proto::MoveRequest, Reply<proto::MoveReply>),
    /// Lists quarantined requests or lifts a quarantine.
    Quarantine(proto::QuarantineRequest, Reply<proto::QuarantineReply>),
    /// Drains or restores a zone.
    Zone(proto::ZoneRequest, Reply<proto::ZoneReply>),
    /// Returns the counts of good and bad requests.
    Burn(proto::BurnRequest, Reply<proto::BurnReply>),
    /// Returns the log position of each process, and the drained zones.
    Status(proto::StatusRequest, Reply<proto::StatusReply>),
}

/// Range of records to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Page {
    /// Offset of the first record.
    pub from: Offset,
    /// Maximum number of records; at least 1.
    pub limit: usize,
}
