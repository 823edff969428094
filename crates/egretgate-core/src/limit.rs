//! Learned concurrency limits in requests and tokens.
