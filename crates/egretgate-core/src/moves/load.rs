//! Order and pacing in which upstreams load a version's weights.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids::UpstreamId;

/// Delay before a failed load is retried.
const RETRY_DELAY: Duration = Duration::from_secs(30);

/// Paces the loads of one version's weights, so that they stay within the weight store's rate.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Upstreams still to load, each with the earliest time of its next attempt.
    waiting: VecDeque<(UpstreamId, Option<Instant>)>,
    /// Upstreams that are loading now; at most `max_loading`.
    loading: Vec<UpstreamId>,
    /// Maximum number of concurrent loads.
    max_loading: usize,
    /// Time between the starts of two loads: the weights' size divided by the store's rate.
    start_interval: Duration,
    /// Earliest start of the next load.
    next_start: Option<Instant>,
}

impl LoadPlan {
    /// Returns a plan for weights of `size` bytes from a store of `rate` bytes per second, with at
    /// most `max_loading` concurrent loads.
    pub fn new(
        upstreams: impl IntoIterator<Item = UpstreamId>,
        size: u64,
        rate: u64,
        max_loading: usize,
    ) -> Self {
        Self {
            waiting: upstreams.into_iter().map(|id| (id, None)).collect(),
            loading: Vec::new(),
            max_loading: max_loading.max(1),
            start_interval: Duration::from_secs_f64(size as f64 / rate.max(1) as f64),
            next_start: None,
        }
    }

    /// Starts the next load if one is due, and returns its upstream.
    pub fn start_next(&mut self, now: Instant) -> Option<UpstreamId> {
        if self.loading.len() >= self.max_loading || self.next_start.is_some_and(|next| now < next)
        {
            return None;
        }
        let ready =
            |(_, not_before): &(UpstreamId, Option<Instant>)| not_before.is_none_or(|at| at <= now);
        let index = self.waiting.iter().position(ready)?;
        let (id, _) = self.waiting.remove(index)?;
        self.loading.push(id.clone());
        self.next_start = Some(now + self.start_interval);
        Some(id)
    }

    /// Marks an upstream's load as done.
    pub fn mark_loaded(&mut self, id: &str) {
        self.loading.retain(|loading| loading != id);
    }

    /// Puts an upstream whose load failed at the end of the queue.
    pub fn mark_failed(&mut self, id: &str, now: Instant) {
        self.loading.retain(|loading| loading != id);
        self.waiting.push_back((id.to_owned(), Some(now + RETRY_DELAY)));
    }

    /// Returns true once every upstream has loaded.
    pub fn is_done(&self) -> bool {
        self.waiting.is_empty() && self.loading.is_empty()
    }
}

/// Returns true if an upstream may unload a version: it gets no new requests for it, none is
/// queued, and its last stream has ended.
pub const fn may_unload(serving: bool, queued: u64, streams: u64) -> bool {
    !serving && queued == 0 && streams == 0
}
