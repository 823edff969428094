//! Requests that crash the upstreams which run them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Digest;

/// Upstreams that a request may break before it is refused; the third is still allowed to run it.
const MOST_BREAKS: u32 = 3;
/// Time for which broken runs count against a request.
const MEMORY: Duration = Duration::from_mins(5);

/// The digests of requests whose runs ended with a broken connection.
#[derive(Debug, Clone, Default)]
pub struct Breaks {
    seen: HashMap<Digest, (u32, Instant)>,
}

impl Breaks {
    /// Notes that a run of the request ended with a broken connection.
    pub fn note(&mut self, digest: Digest, now: Instant) {
        self.seen.retain(|_, (_, last)| now.duration_since(*last) < MEMORY);
        let entry = self.seen.entry(digest).or_insert((0, now));
        *entry = (entry.0 + 1, now);
    }

    /// Notes that a run of the request ended well: its breaks had another cause.
    pub fn clear(&mut self, digest: &Digest) {
        self.seen.remove(digest);
    }

    /// Returns true if the request has broken so many upstreams that it must not run again.
    pub fn is_poison(&self, digest: &Digest) -> bool {
        self.seen.get(digest).is_some_and(|(count, _)| *count >= MOST_BREAKS)
    }
}
