//! Validation of declarations.
