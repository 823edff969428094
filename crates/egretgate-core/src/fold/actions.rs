//! What operators asked for, and what became of it.

use crate::error::{Error, ErrorKind};
use crate::fold::image::ActionImage;
use crate::ids::{Offset, OperatorId};
use crate::record::MAX_TEXT_BYTES;

/// Most acts kept in memory, newest last; older ones stand in the exported chain.
pub const MAX_OPERATOR_ACTIONS: usize = 256;

/// One thing that an operator asked for, or that followed from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorAction {
    /// Position in the log.
    pub offset: Offset,
    /// Word for the record's body.
    pub kind: String,
    /// Operator who asked for it.
    pub operator: OperatorId,
    /// Why it was asked for.
    pub reason: String,
    /// What was decided on a move; empty otherwise.
    pub verdict: String,
    /// Kind of refusal; absent if the act was accepted.
    pub refusal: Option<ErrorKind>,
    /// Plain statement of a refusal, or a move's evidence.
    pub detail: String,
}

impl OperatorAction {
    /// Returns an accepted act.
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

    /// Marks the act as refused.
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
