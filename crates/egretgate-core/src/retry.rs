//! Retry budget and the time to come back.
