//! What operators asked for, and what became of it.

use crate::error::{Error, ErrorKind};
use crate::fold::image::ActImage;
use crate::ids::{Offset, OperatorId};
use crate::record::MAX_TEXT_BYTES;

/// Most acts kept in memory, newest last; older ones stand in the exported chain.
pub const MAX_ACTS: usize = 256;

/// One thing that an operator asked for, or that followed from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Act {
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
    pub refused: Option<ErrorKind>,
    /// Plain statement of a refusal, or a move's evidence.
    pub detail: String,
}

impl Act {
    /// Returns an accepted act.
    pub(crate) fn new(offset: Offset, kind: &str, operator: &str, reason: &str) -> Self {
        Self {
            offset,
            kind: kind.into(),
            operator: cut(operator),
            reason: cut(reason),
            verdict: String::new(),
            refused: None,
            detail: String::new(),
        }
    }

    /// Marks the act as refused.
    pub(crate) fn refused(mut self, error: &Error) -> Self {
        self.refused = Some(error.kind);
        self.detail = cut(&error.detail);
        self
    }

    pub(crate) fn image(&self) -> ActImage {
        ActImage {
            offset: self.offset,
            kind: self.kind.clone(),
            operator: self.operator.clone(),
            reason: self.reason.clone(),
            verdict: self.verdict.clone(),
            refused: self.refused.map_or("", ErrorKind::code).into(),
            detail: self.detail.clone(),
        }
    }

    pub(crate) fn from_image(image: ActImage) -> Self {
        Self {
            offset: image.offset,
            kind: image.kind,
            operator: image.operator,
            reason: image.reason,
            verdict: image.verdict,
            refused: ErrorKind::from_code(&image.refused),
            detail: image.detail,
        }
    }
}

fn cut(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].into()
}
