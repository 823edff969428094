//! Requests that crash the upstreams which run them.
//!
//! The load they bring: such a request comes again at any entry, so entries tell each other how
//! often it broke a run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::{Digest, Incarnation};

/// Upstreams that a request may break before it is refused; the third is still allowed to run it.
const MAX_BROKEN_RUNS: u32 = 3;
/// Time for which broken runs count against a request.
const RECORD_TTL: Duration = Duration::from_mins(5);
/// Time for which other entries are told of a change: dozens of reports, some of which get lost.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Requests that a report tells of at most, so that it fits a datagram beside the rest.
const MAX_REPORTED: usize = 16;

/// Broken runs of one request.
#[derive(Debug, Clone)]
struct RequestRecord {
    /// Those at this entry; 0 after a run that ended well.
    own: u32,
    /// Those at other entries, by the life of their process.
    peers: HashMap<Incarnation, u32>,
    /// Time of the last change here.
    changed: Instant,
    /// Time of the last change anywhere.
    last: Instant,
}

/// The digests of requests whose runs ended with a broken connection.
#[derive(Debug, Clone, Default)]
pub struct BrokenRuns {
    records: HashMap<Digest, RequestRecord>,
}

impl BrokenRuns {
    /// Notes that a run of the request ended with a broken connection.
    pub fn record_broken(&mut self, digest: Digest, now: Instant) {
        self.records.retain(|_, record| now.saturating_duration_since(record.last) < RECORD_TTL);
        let record = self.record(digest, now);
        record.own += 1;
        record.changed = now;
    }

    /// Notes that a run of the request ended well: its breaks had another cause.
    pub fn record_success(&mut self, digest: &Digest, now: Instant) {
        if let Some(record) = self.records.get_mut(digest) {
            record.own = 0;
            record.peers.clear();
            record.changed = now;
        }
    }

    /// Takes in the broken runs that another entry counted; none of them means a run that ended well.
    pub fn merge(&mut self, from: Incarnation, digest: Digest, runs: u32, now: Instant) {
        if runs > 0 {
            self.record(digest, now).peers.insert(from, runs);
        } else if let Some(record) = self.records.get_mut(&digest) {
            record.own = 0;
            record.peers.clear();
        }
    }

    /// Returns what changed here lately, for the other entries.
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

    /// Returns true if the request has broken so many upstreams that it must not run again.
    pub fn is_poison(&self, digest: &Digest) -> bool {
        self.records.get(digest).is_some_and(|record| {
            record.own + record.peers.values().sum::<u32>() >= MAX_BROKEN_RUNS
        })
    }

    fn record(&mut self, digest: Digest, now: Instant) -> &mut RequestRecord {
        let record = self.records.entry(digest).or_insert_with(|| RequestRecord {
            own: 0,
            peers: HashMap::new(),
            // What others report isn't told on.
            changed: now.checked_sub(REPORT_TIME).unwrap_or(now),
            last: now,
        });
        record.last = now;
        record
    }
}
