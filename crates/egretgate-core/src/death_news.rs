//! Holds back the end of a request that was in flight when an engine died until every entry knows of
//! the death.
//!
//! The caller sends the request again, maybe through another entry. An entry that doesn't know yet
//! that the request is a suspect would start it beside its copies, and a third engine could die.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::Incarnation;

/// Time for which an entry's acknowledgement is awaited.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct PendingNews<K, R> {
    engine: K,
    sequence: u64,
    /// Entries that have not acknowledged the report; not empty.
    unacknowledged: BTreeSet<Incarnation>,
    deadline: Instant,
    held: Vec<R>,
}

/// The deaths that some entry may not know of; `K` identifies an engine and `R` what is held back.
#[derive(Debug)]
pub struct DeathNews<K, R> {
    pending: Vec<PendingNews<K, R>>,
}

impl<K: PartialEq, R> DeathNews<K, R> {
    /// Begins to wait for the acknowledgements of a death that was reported to `entries`.
    pub fn announce(
        &mut self,
        engine: K,
        sequence: u64,
        entries: impl IntoIterator<Item = Incarnation>,
        now: Instant,
    ) {
        let unacknowledged: BTreeSet<Incarnation> = entries.into_iter().collect();
        if !unacknowledged.is_empty() {
            let deadline = now + ACK_TIMEOUT;
            let held = Vec::new();
            self.pending.push(PendingNews { engine, sequence, unacknowledged, deadline, held });
        }
    }

    /// Returns true if a death of the engine is not known to all entries yet.
    pub fn is_pending(&self, engine: &K) -> bool {
        self.pending.iter().any(|news| news.engine == *engine)
    }

    /// Holds something back until the newest death of the engine is known; returns it if it is.
    pub fn hold(&mut self, engine: &K, item: R) -> Option<R> {
        match self.pending.iter_mut().rfind(|news| news.engine == *engine) {
            Some(news) => {
                news.held.push(item);
                None
            }
            None => Some(item),
        }
    }

    /// Records an entry's acknowledgement, and returns what is no longer held back.
    pub fn record_ack(&mut self, entry: Incarnation, sequence: u64) -> Vec<R> {
        let news = self.pending.iter_mut().filter(|news| news.sequence == sequence);
        for news in news {
            news.unacknowledged.remove(&entry);
        }
        self.release(|news| news.unacknowledged.is_empty())
    }

    /// Stops waiting for an entry that is no longer connected.
    pub fn remove_entry(&mut self, entry: Incarnation) -> Vec<R> {
        for news in &mut self.pending {
            news.unacknowledged.remove(&entry);
        }
        self.release(|news| news.unacknowledged.is_empty())
    }

    /// Stops waiting for the acknowledgements that are overdue.
    pub fn expire(&mut self, now: Instant) -> Vec<R> {
        self.release(|news| now >= news.deadline)
    }

    /// Returns the time of the next call of [`DeathNews::expire`].
    pub fn next_deadline(&self) -> Option<Instant> {
        self.pending.iter().map(|news| news.deadline).min()
    }

    fn release(&mut self, is_over: impl Fn(&PendingNews<K, R>) -> bool) -> Vec<R> {
        let ended = self.pending.extract_if(.., |news| is_over(news));
        ended.flat_map(|news| news.held).collect()
    }
}

impl<K, R> Default for DeathNews<K, R> {
    fn default() -> Self {
        Self { pending: Vec::new() }
    }
}
