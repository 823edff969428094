//! Differences between declarations.
