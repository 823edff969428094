//! Choice of an upstream.
