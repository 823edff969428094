//! Validation of the operator and the reason given for a change.

use egretgate_core::{Error, ErrorKind, Result};

use crate::proto::Author;

/// Maximum length of an operator's name, in bytes.
pub const MAX_OPERATOR_BYTES: usize = 128;
/// Maximum length of a reason, in bytes.
pub const MAX_REASON_BYTES: usize = 4 << 10;

/// Checks that a change names its operator and its reason.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] if either is missing, too long or contains control characters.
pub fn check_author(author: Option<&Author>) -> Result<()> {
    let Some(author) = author else {
        return Err(Error::new(ErrorKind::BadRequest, "a change must name its operator"));
    };
    check_text("operator", &author.operator, MAX_OPERATOR_BYTES)?;
    check_text("reason", &author.reason, MAX_REASON_BYTES)
}

fn check_text(field: &str, text: &str, limit: usize) -> Result<()> {
    let detail = if text.trim().is_empty() {
        format!("a change must name its {field}")
    } else if text.len() > limit {
        format!("the {field} has more than {limit} bytes")
    } else if text.chars().any(char::is_control) {
        format!("the {field} holds control characters")
    } else {
        return Ok(());
    };
    Err(Error::new(ErrorKind::BadRequest, detail))
}
