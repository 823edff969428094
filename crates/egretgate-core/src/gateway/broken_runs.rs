//! Requests that crash the upstreams which run them.
//!
//! Callers may retry such a request at any entry, so entries report to each other how many of its
//! runs broke.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::{Digest, Incarnation};

/// Broken runs after which a request is refused; the third upstream still runs it.
const MAX_BROKEN_RUNS: u32 = 3;
/// Time for which broken runs count against a request.
const RECORD_TTL: Duration = Duration::from_mins(5);
/// Time for which a change is reported: dozens of reports, some of which get lost.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Largest number of requests in a report, so that it fits a datagram beside the other fields.
const MAX_REPORTED: usize = 16;

/// Broken runs of one request.
#[derive(Debug, Clone)]
struct RequestRecord {
    /// Broken runs counted by this entry; 0 after a successful run.
    own: u32,
    /// Broken runs counted by other entries, by their incarnations.
    peers: HashMap<Incarnation, u32>,
    /// Time of the last change by this entry.
    changed: Instant,
    /// Time at which a broken run was last recorded here or reported by another entry.
    last: Instant,
}

/// Requests whose runs ended with a cut or invalid answer, by their digests.
#[derive(Debug, Clone, Default)]
pub struct BrokenRuns {
    records: HashMap<Digest, RequestRecord>,
}

impl BrokenRuns {
    /// Records that a run of the request ended with a cut or invalid answer.
    pub fn record_broken(&mut self, digest: Digest, now: Instant) {
        self.records.retain(|_, record| now.saturating_duration_since(record.last) < RECORD_TTL);
        let record = self.record(digest, now);
        record.own += 1;
        record.changed = now;
    }

    /// Records that a run of the request succeeded: the broken ones had another cause.
    pub fn record_success(&mut self, digest: &Digest, now: Instant) {
        if let Some(record) = self.records.get_mut(digest) {
            record.own = 0;
            record.peers.clear();
            record.changed = now;
        }
    }

    /// Merges the broken runs that another entry counted; 0 means that it counted a successful run.
    pub fn merge(&mut self, from: Incarnation, digest: Digest, runs: u32, now: Instant) {
        if runs > 0 {
            self.record(digest, now).peers.insert(from, runs);
        } else if let Some(record) = self.records.get_mut(&digest) {
            record.own = 0;
            record.peers.clear();
        }
    }

    /// Returns this entry's recent changes, for the other entries.
    pub fn recent_changes(&self, now: Instant) -> Vec<(Digest, u32)> {
        let recent =
            |record: &&RequestRecord| now.saturating_duration_since(record.changed) < REPORT_TIME;
        let mut changes: Vec<_> =
            self.records.iter().filter(|(_, record)| recent(record)).collect();
        changes.sort_by_key(|(_, record)| std::cmp::Reverse(record.changed));
        changes
            .into_iter()
            .take(MAX_REPORTED)
            .map(|(digest, record)| (*digest, record.own))
            .collect()
    }

    /// Returns true if the request has broken so many runs that it must not run again.
    pub fn is_poison(&self, digest: &Digest) -> bool {
        self.records.get(digest).is_some_and(|record| {
            record.own + record.peers.values().sum::<u32>() >= MAX_BROKEN_RUNS
        })
    }

    /// Returns true if a run of the request has broken.
    pub fn has_broken(&self, digest: &Digest) -> bool {
        self.records.get(digest).is_some_and(|record| record.own > 0 || !record.peers.is_empty())
    }

    fn record(&mut self, digest: Digest, now: Instant) -> &mut RequestRecord {
        let record = self.records.entry(digest).or_insert_with(|| RequestRecord {
            own: 0,
            peers: HashMap::new(),
            // A report of another entry isn't passed on.
            changed: now.checked_sub(REPORT_TIME).unwrap_or(now),
            last: now,
        });
        record.last = now;
        record
    }
}
