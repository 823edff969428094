//! Snapshots: a start from a snapshot and the records after it gives the same state as folding the
//! whole log, even if other snapshots are incomplete.

use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::fold::State;
use egretgate_core::lease::KEEPER_LEASE;
use egretgate_core::record::body::{
    CallGroup, Change, Claim, Ending, Intent, Item, Kind, Outcome, RecordedAnswer, TicketId,
};
use egretgate_core::record::outbox::Outbox;
use egretgate_core::record::{Body, Record};
use egretgate_core::snapshot::{
    Keeper, MAX_CHUNK_BYTES, Recovery, TICK_INTERVAL, split_state, split_state_by,
};
use egretgate_core::{Digest, ErrorKind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A log with the state folded from all of it, and the last sequence of its only writer.
struct Log {
    rng: ChaCha8Rng,
    records: Vec<Vec<u8>>,
    state: State,
    sequence: u64,
}

impl Log {
    fn new(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { rng, records: Vec::new(), state: State::new(), sequence: 0 }
    }

    fn push(&mut self, body: Body) {
        self.sequence += 1;
        let bytes = Record::new(1, self.sequence, body).to_bytes().unwrap();
        self.state.apply(self.records.len() as u64, &bytes);
        self.records.push(bytes);
    }

    fn append_random(&mut self) {
        let body = match self.rng.random_range(0..4) {
            0 => self.change(),
            1 => {
                let expected_offset =
                    self.state.config().lease(KEEPER_LEASE).map(|lease| lease.last_offset);
                Body::Claim(Claim {
                    name: KEEPER_LEASE.into(),
                    holder: 1,
                    expected_offset,
                    ttl_ms: 1,
                })
            }
            _ => self.calls(),
        };
        self.push(body);
    }

    /// Returns a change of a tier and a new team.
    fn change(&mut self) -> Body {
        let rank = self.rng.random_range(0..7);
        let name = format!("tier{rank}");
        let base_revision = self.state.config().revision(Kind::Tier, &name);
        let objective = self.rng.random_range(0.1..0.9);
        let spec = format!(r#"{{"rank":{rank},"objective":{objective}}}"#);
        let tier = Item { kind: Kind::Tier as i32, name: name.clone(), spec, base_revision };
        let team = format!("team{}", self.rng.random::<u32>());
        let keys = vec!["0".repeat(64)];
        let spec = serde_json::json!({ "tier": name, "keys": keys }).to_string();
        let team = Item { kind: Kind::Team as i32, name: team, spec, base_revision: 0 };
        let (operator, reason) = ("ana".into(), "test".into());
        Body::Change(Change { operator, reason, puts: vec![tier, team], deletes: vec![] })
    }

    fn calls(&mut self) -> Body {
        let digest = Digest::of(&[&[self.rng.random()]]);
        let key = Bytes::copy_from_slice(digest.as_bytes());
        let ticket = TicketId { entry: 1, sequence: self.sequence };
        let body = key.clone();
        let intent =
            Intent { key: key.clone(), body_digest: body, ticket: Some(ticket), window_s: 60 };
        let reserved =
            self.state.keys().get(&digest).map(|reserved| TicketId::from(reserved.ticket));
        let done = RecordedAnswer::new(200, "text/plain", Bytes::from_static(b"booked"));
        let outcome = Outcome { key, ticket: reserved, ending: Some(Ending::Answered(done)) };
        Body::CallGroup(CallGroup { outcomes: vec![outcome], intents: vec![intent] })
    }

    /// Returns the state of a process that starts with records from `oldest` on.
    fn recover(&self, oldest: usize) -> egretgate_core::Result<State> {
        let mut recovery = Recovery::new(oldest as u64);
        for bytes in &self.records[oldest..] {
            recovery.scan(bytes);
        }
        let mut state = recovery.finish()?;
        for offset in state.next_offset()..self.records.len() as u64 {
            state.apply(offset, &self.records[offset as usize]);
        }
        Ok(state)
    }
}

#[test]
fn a_start_from_any_oldest_record_equals_the_whole_fold() {
    let (mut started, mut refused) = (0, 0);
    for seed in 0..12 {
        let mut log = Log::new(seed);
        let mut snapshots = Vec::new();
        for id in 0..3 {
            (0..40).for_each(|_| log.append_random());
            let chunks = split_state_by(&log.state, id, 1_024).unwrap();
            assert!(chunks.len() > 1, "the state fits in one chunk");
            snapshots.push(log.state.next_offset());
            (0..4).for_each(|_| log.append_random());
            let incomplete = log.rng.random_bool(0.3);
            let sent = chunks.len() - usize::from(incomplete);
            for chunk in chunks.into_iter().take(sent) {
                log.push(chunk);
                if log.rng.random_bool(0.5) {
                    log.append_random();
                }
            }
            if incomplete {
                snapshots.pop();
            }
        }
        let whole = log.state.encode();
        for oldest in (0..log.records.len()).step_by(2) {
            let usable =
                oldest == 0 || snapshots.iter().any(|end_offset| *end_offset >= oldest as u64);
            match log.recover(oldest) {
                Ok(state) => {
                    assert!(usable, "seed {seed}: started at {oldest}");
                    assert_eq!(state.config().digest(), log.state.config().digest());
                    assert!(state.encode() == whole, "seed {seed}: other state from {oldest}");
                    started += 1;
                }
                Err(error) => {
                    assert!(!usable, "seed {seed}: no start at {oldest}");
                    assert_eq!(error.kind, ErrorKind::NotReady);
                    refused += 1;
                }
            }
        }
    }
    assert!(started > 100 && refused > 100, "{started} {refused}");
}

#[test]
fn chunks_stay_within_a_record() {
    let mut log = Log::new(3);
    let spec = serde_json::json!({ "rank": 0, "first_token_ms": 1 }).to_string();
    let item = Item { kind: Kind::Tier as i32, name: "a".into(), spec, base_revision: 0 };
    let keys = vec!["0".repeat(64); 3_000];
    let spec = serde_json::json!({ "tier": "a", "keys": keys }).to_string();
    let team = Item { kind: Kind::Team as i32, name: "b".into(), spec, base_revision: 0 };
    let (operator, reason) = ("ana".into(), "test".into());
    let puts = vec![item, team];
    log.push(Body::Change(Change { operator, reason, puts, deletes: vec![] }));
    let chunks = split_state(&log.state, 1).unwrap();
    assert_eq!(chunks.len(), log.state.encode().len().div_ceil(MAX_CHUNK_BYTES));
    for chunk in chunks {
        log.push(chunk);
    }
    assert_eq!(log.recover(1).unwrap().encode(), log.state.encode());
}

#[test]
fn a_changed_chunk_does_not_count() {
    let mut log = Log::new(5);
    (0..40).for_each(|_| log.append_random());
    let mut chunks = split_state_by(&log.state, 1, 1_024).unwrap();
    let Body::Chunk(chunk) = &mut chunks[1] else { unreachable!("a snapshot is all chunks") };
    let mut data = chunk.data.to_vec();
    let text = data.windows(8).position(|bytes| bytes == b"00000000").unwrap();
    data[text] = b'1';
    chunk.data = data.into();
    for chunk in chunks {
        log.push(chunk);
    }
    assert_eq!(log.recover(1).unwrap_err().kind, ErrorKind::NotReady);
}

#[test]
fn interleaved_and_duplicate_chunks_of_two_snapshots_do_not_mix() {
    let mut log = Log::new(9);
    (0..40).for_each(|_| log.append_random());
    let mut first = split_state_by(&log.state, 1, 1_024).unwrap();
    (0..40).for_each(|_| log.append_random());
    let second = split_state_by(&log.state, 1, 1_024).unwrap();
    if let Body::Chunk(chunk) = &mut first[0] {
        chunk.data = vec![0; 1_024].into();
    }
    let end_offset = log.state.next_offset();
    let mut first = first.into_iter().rev();
    for chunk in second.into_iter().rev() {
        if let Some(other) = first.next() {
            log.push(other);
        }
        log.push(chunk.clone());
        log.push(chunk);
    }
    let mut recovery = Recovery::new(1);
    log.records.iter().for_each(|bytes| recovery.scan(bytes));
    assert_eq!(recovery.finish().unwrap().next_offset(), end_offset);
}

/// An entry that competes for the keeper's lease.
struct Entry {
    state: State,
    keeper: Keeper,
    config: Outbox,
    alive: bool,
}

impl Entry {
    fn new(writer: u64, interval: Duration) -> Self {
        let keeper = Keeper::new(writer, interval);
        Self { state: State::new(), keeper, config: Outbox::new(writer), alive: true }
    }

    /// Reads the log and appends the records that are due. Of the keeper's ticks and chunks, some
    /// are lost, some are duplicated, and the answer to every append is lost.
    fn run(&mut self, log: &mut Vec<Vec<u8>>, rng: &mut ChaCha8Rng, now: Instant) {
        while let Some(bytes) = log.get(self.state.next_offset() as usize) {
            let applied = self.state.apply(self.state.next_offset(), bytes);
            if let Some(id) = applied.id {
                self.config.confirm(id.writer, id.sequence);
            }
            self.keeper.observe(&applied, &self.state, now);
        }
        if self.config.is_idle()
            && let Some(body) = self.keeper.due_lease_record(now)
        {
            self.keeper.mark_sent(self.config.push(body).unwrap(), now);
            log.extend(self.config.pop().map(|append| append.data));
        }
        let due = self.keeper.next_append(&self.state, now).unwrap();
        let due = due.or_else(|| self.keeper.retry_append());
        if let Some(append) = due {
            if rng.random_bool(0.9) {
                log.push(append.data.clone());
            }
            if rng.random_bool(0.2) {
                log.push(append.data);
            }
            self.keeper.mark_answer_lost(append.sequence);
        }
    }
}

#[test]
fn keepers_advance_log_time_no_faster_than_real_time_and_write_snapshots() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let interval = Duration::from_mins(5);
        let mut entries = [1, 2, 3].map(|writer| Entry::new(writer, interval));
        let (mut log, mut real_time, mut log_time) = (Vec::new(), Duration::ZERO, Duration::ZERO);
        let base = Instant::now();
        let mut snapshots = 0;
        for _ in 0..4_000 {
            real_time += Duration::from_millis(rng.random_range(0..1_000));
            let now = base + real_time;
            let at = rng.random_range(0..entries.len());
            if rng.random_bool(0.005) {
                entries[at].alive = !entries[at].alive;
            }
            let before = log.len();
            if entries[at].alive {
                entries[at].run(&mut log, &mut rng, now);
            }
            let last = log.get(before..).unwrap_or_default().iter().any(|bytes| is_last(bytes));
            snapshots += u32::from(last);
            let state = &entries[at].state;
            assert!(state.keys().clock() <= real_time, "seed {seed}: log time runs ahead");
            log_time = log_time.max(state.keys().clock());
            let keepers = entries.iter().filter(|entry| entry.keeper.is_keeper(now)).count();
            assert!(keepers <= 1, "seed {seed}: two keepers");
        }
        assert!(log_time > TICK_INTERVAL * 10, "seed {seed}: {log_time:?} of {real_time:?}");
        assert!(snapshots > 1, "seed {seed}: {snapshots} snapshots in {real_time:?}");
    }
}

#[test]
fn a_snapshot_that_lost_records_after_it_is_written_again() {
    struct Case {
        /// Oldest record of the log, relative to the first one that the snapshot does not cover.
        lost: u64,
        again: bool,
    }
    const CASES: [Case; 2] = [Case { lost: 0, again: false }, Case { lost: 1, again: true }];
    for Case { lost, again } in CASES {
        let mut entry = Entry::new(1, Duration::from_mins(5));
        let mut log = Vec::new();
        // With this seed no append is lost or duplicated before the check.
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        let now = Instant::now();
        let last = loop {
            entry.run(&mut log, &mut rng, now);
            if let Some(at) = log.iter().position(|bytes| is_last(bytes)) {
                break at;
            }
        };
        entry.run(&mut log, &mut rng, now);
        let written = log.len();
        assert!(written > last, "the snapshot was read");
        entry.keeper.set_oldest(end_offset(&log[last]) + lost);
        for _ in 0..10 {
            entry.run(&mut log, &mut rng, now);
        }
        assert_eq!(log[written..].iter().any(|bytes| is_last(bytes)), again, "lost {lost}");
    }
}

/// Returns the offset of the first record that a chunk's snapshot does not cover.
fn end_offset(bytes: &[u8]) -> u64 {
    match egretgate_core::record::decode(bytes).unwrap().body {
        Some(Body::Chunk(chunk)) => chunk.end_offset,
        body => panic!("not a chunk: {body:?}"),
    }
}

/// Returns true if the record is the last chunk of a snapshot.
fn is_last(bytes: &[u8]) -> bool {
    let record = egretgate_core::record::decode(bytes).unwrap();
    matches!(record.body, Some(Body::Chunk(chunk)) if chunk.index + 1 == chunk.count)
}
