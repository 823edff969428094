//! Calls as messages to the task that owns the state.

use egretgate_core::{Offset, Result};
use tokio::sync::oneshot;

use crate::proto;

/// Where the answer to a call goes. A dropped sender is answered as an internal error.
pub type Reply<T> = oneshot::Sender<Result<T>>;

/// One call of an operator. The token was checked, and changes name operator and reason.
#[derive(Debug)]
pub enum Call {
    /// Puts and deletes declared items.
    Apply(proto::ApplyRequest, Reply<proto::ApplyReply>),
    /// Returns declared items.
    Get(proto::GetRequest, Reply<proto::GetReply>),
    /// Returns records from an offset on. A page shorter than its limit ends the stream.
    Records(Page, Reply<Vec<proto::Record>>),
    /// Begins, cancels or shows version moves.
    Move(proto::MoveRequest, Reply<proto::MoveReply>),
    /// Lists quarantined requests or lifts a quarantine.
    Quarantine(proto::QuarantineRequest, Reply<proto::QuarantineReply>),
    /// Returns good and bad requests.
    Burn(proto::BurnRequest, Reply<proto::BurnReply>),
    /// Returns how far each process has folded the log.
    Status(proto::StatusRequest, Reply<proto::StatusReply>),
}

/// Part of the chain that is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Page {
    /// Offset of the first record wanted.
    pub from: Offset,
    /// Most records wanted; at least 1.
    pub limit: usize,
}
