//! The requests that run now, by digest, so that a suspect doesn't run beside an equal request.
//!
//! A request that kills engines may be in flight at several of them before the first one dies. It
//! is a suspect from then on. If it started again while a copy is still in flight, a third engine
//! could die before the second death quarantines it.

use std::collections::HashMap;

use crate::Digest;
use crate::poison::QuarantineState;

/// Requests of one entry that may be in flight at upstreams.
#[derive(Debug, Default)]
pub struct RunningCopies {
    /// Number of requests by digest; at least 1.
    counts: HashMap<Digest, u32>,
}

impl RunningCopies {
    /// Returns true if a request with this digest is in flight.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.counts.contains_key(digest)
    }

    /// Starts a request; returns false if it must not start, since it is a suspect and a copy of it
    /// is in flight.
    #[must_use]
    pub fn start(&mut self, digest: Digest, state: QuarantineState) -> bool {
        let count = self.counts.get(&digest).copied().unwrap_or(0);
        if state != QuarantineState::Clear && count > 0 {
            return false;
        }
        self.counts.insert(digest, count + 1);
        true
    }

    /// Ends a request that was started.
    pub fn end(&mut self, digest: &Digest) {
        if let Some(count) = self.counts.get_mut(digest) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(digest);
            }
        }
    }
}
