//! Quarantine of requests that kill upstreams.
