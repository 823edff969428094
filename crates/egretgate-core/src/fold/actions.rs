//! Actions of operators and their results.

use crate::error::{Error, ErrorKind};
use crate::fold::image::ActionImage;
use crate::ids::{Offset, OperatorId};
use crate::record::MAX_TEXT_BYTES;

/// Largest number of actions kept in memory, newest last; older ones are in the exported chain.
pub const MAX_OPERATOR_ACTIONS: usize = 256;

/// An operator's request, or a step of a move that follows from one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorAction {
    /// Position in the log.
    pub offset: Offset,
    /// Name of the record's body type; see [`Body::as_str`](crate::record::Body::as_str).
    pub kind: String,
    /// Operator who requested it.
    pub operator: OperatorId,
    /// Reason given by the operator.
    pub reason: String,
    /// Decision of a move's step; empty for other actions.
    pub verdict: String,
    /// Why it was refused; absent if it was accepted.
    pub refusal: Option<ErrorKind>,
    /// Details of a refusal, or the evidence of a move's step.
    pub detail: String,
}

impl OperatorAction {
    /// Returns an accepted action.
    pub(crate) fn new(offset: Offset, kind: &str, operator: &str, reason: &str) -> Self {
        Self {
            offset,
            kind: kind.into(),
            operator: truncate(operator),
            reason: truncate(reason),
            verdict: String::new(),
            refusal: None,
            detail: String::new(),
        }
    }

    /// Returns the action marked as refused.
    pub(crate) fn with_refusal(mut self, error: &Error) -> Self {
        self.refusal = Some(error.kind);
        self.detail = truncate(&error.detail);
        self
    }

    pub(crate) fn image(&self) -> ActionImage {
        ActionImage {
            offset: self.offset,
            kind: self.kind.clone(),
            operator: self.operator.clone(),
            reason: self.reason.clone(),
            verdict: self.verdict.clone(),
            refusal: self.refusal.map_or("", ErrorKind::code).into(),
            detail: self.detail.clone(),
        }
    }

    pub(crate) fn from_image(image: ActionImage) -> Self {
        Self {
            offset: image.offset,
            kind: image.kind,
            operator: image.operator,
            reason: image.reason,
            verdict: image.verdict,
            refusal: ErrorKind::from_code(&image.refusal),
            detail: image.detail,
        }
    }
}

fn truncate(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].into()
}
