//! At most one execution for each key: several simulated entries over one simulated log.
//!
//! An oracle counts each execution. Answers to appends are lost although the record was appended,
//! copies of appends reach the log late, readers lag, processes crash and lose all memory or freeze
//! between read-back and dispatch, and the log has outages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use bytes::Bytes;
use egretgate_core::fold::{KeyState, State};
use egretgate_core::intent::{
    Effect, GROUP_INTERVAL, KeyedCall, KeyedCalls, MAX_GROUPS_PER_SECOND, Reply, group_interval,
};
use egretgate_core::lease::KEEPER_LEASE;
use egretgate_core::record::body::{self, Claim, Ending, RecordedAnswer, Tick};
use egretgate_core::record::outbox::Append;
use egretgate_core::record::{Body, Record};
use egretgate_core::{Digest, ErrorKind, Incarnation, Ticket};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_mins(1);
const SEEDS: u64 = 300;
const STEPS: usize = 2_000;
const ENTRIES: usize = 3;
const KEYS: u8 = 3;

/// An append that has not reached the log yet, or a copy of one that reaches it late.
#[derive(Debug, Clone)]
struct InFlight {
    append: Append,
    copy: bool,
}

#[derive(Debug)]
struct Entry {
    writer: Incarnation,
    calls: KeyedCalls,
    state: State,
    sequence: u64,
    in_flight: Vec<InFlight>,
    ready: Vec<Ticket>,
    running: Vec<Ticket>,
    /// Requests without a final answer, with their deadlines.
    open: BTreeMap<Ticket, Instant>,
    frozen: bool,
    /// Simulated time until which it stays frozen.
    thaw_at: Duration,
    clock_rate: f64,
}

#[derive(Debug, Default)]
struct Oracle {
    keys: BTreeMap<Ticket, u8>,
    /// Executions by key: the request and the earliest time at which the key may be free again.
    runs: BTreeMap<u8, Vec<(Ticket, Duration)>>,
    executed: BTreeSet<Ticket>,
    not_run: BTreeSet<Ticket>,
    answered: BTreeSet<Ticket>,
    sent: BTreeMap<Ticket, Duration>,
}

#[derive(Debug)]
struct Simulation {
    rng: ChaCha8Rng,
    base: Instant,
    elapsed: Duration,
    log: Vec<Vec<u8>>,
    log_up: bool,
    entries: Vec<Entry>,
    writers: u64,
    keeper: Keeper,
    oracle: Oracle,
}

/// The keeper of log time. It measures time from the append of its last record.
#[derive(Debug, Default)]
struct Keeper {
    writer: u64,
    sequence: u64,
    fence: u64,
    last: Option<u64>,
    tick: Option<u64>,
    at: Duration,
}

impl Entry {
    fn new(writer: Incarnation, clock_rate: f64) -> Self {
        Self {
            writer,
            calls: KeyedCalls::new(writer, GROUP_INTERVAL),
            state: State::new(),
            sequence: 0,
            in_flight: Vec::new(),
            ready: Vec::new(),
            running: Vec::new(),
            open: BTreeMap::new(),
            frozen: false,
            thaw_at: Duration::ZERO,
            clock_rate,
        }
    }

    fn read(&mut self, log: &[Vec<u8>], limit: usize) {
        for _ in 0..limit {
            let next = self.state.next_offset();
            let Some(bytes) = log.get(next as usize) else { return };
            let applied = self.state.apply(next, bytes);
            self.calls.observe(&applied, self.state.keys());
        }
    }
}

impl Oracle {
    fn execute(&mut self, ticket: Ticket, now: Duration, timely: bool) {
        assert!(timely, "{ticket} was dispatched past its deadline");
        assert!(self.executed.insert(ticket), "{ticket} was dispatched twice");
        assert!(!self.not_run.contains(&ticket), "{ticket} ran after it was answered as not run");
        let runs = self.runs.entry(self.keys[&ticket]).or_default();
        if let Some((other, free)) = runs.last() {
            assert!(now >= *free, "{ticket} ran in the window of {other}");
        }
        runs.push((ticket, self.sent[&ticket] + WINDOW));
    }

    fn answer(&mut self, ticket: Ticket, reply: &Reply) {
        assert!(self.answered.insert(ticket), "{ticket} was answered twice");
        match reply {
            Reply::NotRun(_) | Reply::KeyReused => {
                assert!(
                    !self.executed.contains(&ticket),
                    "{ticket} ran but was answered as not run"
                );
                self.not_run.insert(ticket);
            }
            Reply::Recorded(done) => {
                let runs = &self.runs[&self.keys[&ticket]];
                let known = runs.iter().any(|(ran, _)| answer_of(*ran) == *done);
                assert!(known, "{ticket} got an answer that no execution gave");
            }
            Reply::Unknown => {}
        }
    }
}

fn answer_of(ticket: Ticket) -> RecordedAnswer {
    RecordedAnswer::new(200, "text/plain", Bytes::from(ticket.to_string()))
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            base: Instant::now(),
            elapsed: Duration::ZERO,
            log: Vec::new(),
            log_up: true,
            entries: Vec::new(),
            writers: 0,
            keeper: Keeper::default(),
            oracle: Oracle::default(),
        };
        for _ in 0..ENTRIES {
            let entry = simulation.new_entry();
            simulation.entries.push(entry);
        }
        simulation.claim();
        simulation
    }

    fn new_entry(&mut self) -> Entry {
        self.writers += 1;
        Entry::new(self.writers, self.rng.random_range(0.95..1.05))
    }

    fn now(&self, index: usize) -> Instant {
        self.base + self.elapsed.mul_f64(self.entries[index].clock_rate)
    }

    fn append(&mut self, bytes: Vec<u8>) -> u64 {
        self.log.push(bytes);
        self.log.len() as u64 - 1
    }

    fn claim(&mut self) {
        self.keeper.writer += 1 << 32;
        self.keeper.sequence = 1;
        let name = KEEPER_LEASE.into();
        let (holder, expected_offset) = (self.keeper.writer, self.keeper.last);
        let body = Body::Claim(Claim { name, holder, expected_offset, ttl_ms: 9_000 });
        let record = Record::new(self.keeper.writer, 1, body).to_bytes().unwrap();
        self.keeper.fence = self.append(record);
        self.keeper.last = Some(self.keeper.fence);
        self.keeper.at = self.elapsed;
    }

    fn tick(&mut self) {
        let elapsed = self.elapsed.saturating_sub(self.keeper.at);
        let (fence, expected_offset) = (self.keeper.fence, self.keeper.tick);
        let elapsed_ms = elapsed.mul_f64(0.95).as_millis() as u64;
        let body = Body::Tick(Tick { fence, expected_offset, elapsed_ms });
        let record = Record::new(self.keeper.writer, 1, body).to_bytes().unwrap();
        self.keeper.tick = Some(self.append(record));
        self.keeper.at = self.elapsed;
    }

    fn step(&mut self) {
        let index = self.rng.random_range(0..ENTRIES);
        let frozen = self.entries[index].frozen;
        match self.rng.random_range(0..100) {
            0..10 if !frozen => self.begin(index),
            10..38 => self.deliver_append(index),
            38..63 if !frozen => {
                let limit = self.rng.random_range(1..20);
                let log = &self.log;
                self.entries[index].read(log, limit);
            }
            63..75 if !frozen => self.dispatch(index),
            75..83 if !frozen => self.end(index),
            83 if !frozen => self.abandon(index),
            84 => self.crash(index),
            85..87 if frozen && self.elapsed >= self.entries[index].thaw_at => self.wake(index),
            87 => self.freeze(index),
            89..95 if !self.log_up => self.toggle_outage(),
            89 => self.toggle_outage(),
            90..94 if self.log_up => self.tick(),
            95 if self.log_up => self.claim(),
            96 if !frozen => self.report_gone(index),
            _ => {}
        }
        let limit = if self.rng.random_bool(0.02) { 80_000 } else { 100 };
        self.elapsed += Duration::from_millis(self.rng.random_range(0..limit));
        for index in 0..ENTRIES {
            self.run(index);
        }
    }

    fn begin(&mut self, index: usize) {
        let key = self.rng.random_range(0..KEYS);
        let body = u8::from(self.rng.random_bool(0.05));
        let wait = Duration::from_millis(self.rng.random_range(100..300_000));
        let now = self.now(index);
        let entry = &mut self.entries[index];
        entry.sequence += 1;
        let ticket = Ticket::new(entry.writer, entry.sequence);
        let call = KeyedCall {
            ticket,
            key: Digest::of(&[&[key]]),
            body_digest: Digest::of(&[&[body]]),
            window: WINDOW,
            deadline: now + wait,
        };
        entry.open.insert(ticket, call.deadline);
        entry.calls.begin(call, entry.state.keys(), now);
        self.oracle.keys.insert(ticket, key);
        self.run(index);
    }

    /// Delivers an append: it reaches the log or not, and its answer arrives or not.
    fn deliver_append(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if entry.in_flight.is_empty() {
            return;
        }
        let in_flight = entry.in_flight.remove(self.rng.random_range(0..entry.in_flight.len()));
        let lost = !self.log_up || self.rng.random_bool(0.2);
        let appended = self.log_up && (!lost || self.rng.random_bool(0.5));
        if lost && !in_flight.copy {
            entry.calls.mark_answer_lost(in_flight.append.sequence);
            if !appended && self.rng.random_bool(0.5) {
                entry.in_flight.push(InFlight { copy: true, ..in_flight.clone() });
            }
        }
        if appended {
            if self.rng.random_bool(0.1) {
                entry.in_flight.push(InFlight { copy: true, ..in_flight.clone() });
            }
            self.append(in_flight.append.data);
        }
    }

    fn dispatch(&mut self, index: usize) {
        if self.entries[index].ready.is_empty() {
            return;
        }
        let now = self.now(index);
        let entry = &mut self.entries[index];
        let ticket = entry.ready.remove(0);
        if entry.calls.try_dispatch(ticket, now) {
            if self.rng.random_bool(0.2) {
                entry.calls.mark_not_run(ticket, ErrorKind::Overloaded);
            } else if self.rng.random_bool(0.1) {
                entry.ready.push(ticket);
            } else {
                entry.running.push(ticket);
                let timely = now < entry.open[&ticket];
                self.oracle.execute(ticket, self.elapsed, timely);
            }
        } else {
            entry.calls.mark_not_run(ticket, ErrorKind::DeadlinePassed);
        }
        self.run(index);
    }

    fn end(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if entry.running.is_empty() {
            return;
        }
        let ticket = entry.running.remove(self.rng.random_range(0..entry.running.len()));
        let known = self.rng.random_bool(0.8);
        entry.calls.mark_ended(ticket, known.then(|| answer_of(ticket)));
        entry.open.remove(&ticket);
        self.run(index);
    }

    fn abandon(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if let Some((&ticket, _)) = entry.open.first_key_value()
            && !entry.running.contains(&ticket)
        {
            entry.calls.abandon(ticket);
            if !entry.ready.contains(&ticket) {
                entry.open.remove(&ticket);
            }
        }
    }

    /// Restarts a process without its memory; its appends may still reach the log.
    fn crash(&mut self, index: usize) {
        let mut new_entry = self.new_entry();
        let old = &mut self.entries[index];
        new_entry.in_flight =
            old.in_flight.drain(..).map(|in_flight| InFlight { copy: true, ..in_flight }).collect();
        let writer = old.writer;
        if self.rng.random_bool(0.5) {
            new_entry.state = State::decode(&old.state.encode()).unwrap();
        }
        *old = new_entry;
        if self.rng.random_bool(0.5) {
            for other in self.entries.iter_mut().filter(|other| !other.frozen) {
                other.calls.mark_gone(writer, other.state.keys());
            }
        }
    }

    /// Freezes a process for a while, preferably one that is about to dispatch.
    fn freeze(&mut self, index: usize) {
        let ready = self.entries.iter().position(|entry| !entry.ready.is_empty());
        let entry = &mut self.entries[ready.unwrap_or(index)];
        entry.frozen = true;
        entry.thaw_at = self.elapsed + WINDOW.mul_f64(self.rng.random_range(0.0..3.0));
    }

    /// Wakes a frozen process, which continues with what it was about to do.
    fn wake(&mut self, index: usize) {
        self.entries[index].frozen = false;
        if self.rng.random_bool(0.5) {
            self.entries[index].read(&self.log, 3);
        }
        if self.rng.random_bool(0.7) {
            self.dispatch(index);
        }
    }

    /// Tells an entry that a process is gone although it may be alive.
    fn report_gone(&mut self, index: usize) {
        let other = self.entries[self.rng.random_range(0..ENTRIES)].writer;
        let entry = &mut self.entries[index];
        entry.calls.mark_gone(other, entry.state.keys());
    }

    fn toggle_outage(&mut self) {
        self.log_up = !self.log_up;
        for entry in self.entries.iter_mut().filter(|entry| !entry.frozen) {
            entry.calls.set_log_up(self.log_up);
        }
    }

    /// Runs one process until it waits for the log or an upstream.
    fn run(&mut self, index: usize) {
        let now = self.now(index);
        let entry = &mut self.entries[index];
        if entry.frozen {
            return;
        }
        entry.calls.run_timers(now);
        if entry.calls.has_lost_answer()
            && entry.state.next_offset() == self.log.len() as u64
            && self.log_up
        {
            entry.calls.retry_append();
        }
        for effect in entry.calls.take_effects() {
            match effect {
                Effect::Append(append) => {
                    for ticket in tickets(&append) {
                        self.oracle.sent.entry(ticket).or_insert(self.elapsed);
                    }
                    entry.in_flight.push(InFlight { append, copy: false });
                }
                Effect::Dispatch(ticket) => entry.ready.push(ticket),
                Effect::Join(ticket) => assert!(entry.open.contains_key(&ticket)),
                Effect::Answer(ticket, reply) => {
                    self.oracle.answer(ticket, &reply);
                    entry.open.remove(&ticket);
                }
            }
        }
        let late = entry.open.iter().find(|(_, deadline)| now >= **deadline);
        assert_eq!(late, None, "a request past its deadline has no final answer");
    }

    fn recover(&mut self) {
        self.log_up = true;
        for entry in &mut self.entries {
            entry.frozen = false;
            entry.calls.set_log_up(true);
        }
        for _ in 0..400 {
            for index in 0..ENTRIES {
                let sent = std::mem::take(&mut self.entries[index].in_flight);
                for in_flight in sent {
                    self.append(in_flight.append.data);
                }
                while !self.entries[index].ready.is_empty() {
                    self.dispatch(index);
                }
                while !self.entries[index].running.is_empty() {
                    self.end(index);
                }
            }
            self.elapsed += Duration::from_secs(1);
            for index in 0..ENTRIES {
                self.entries[index].read(&self.log, usize::MAX);
                self.run(index);
            }
        }
        let whole = self.entries[0].state.encode();
        for entry in &self.entries {
            assert!(entry.open.is_empty(), "unanswered: {:?}", entry.open);
            assert!(entry.calls.is_idle(), "not idle: {:?}", entry.calls);
            assert_eq!(entry.state.encode(), whole);
        }
        for key in
            (0..KEYS).filter_map(|key| self.entries[0].state.keys().get(&Digest::of(&[&[key]])))
        {
            let alive = self.entries.iter().any(|entry| entry.writer == key.ticket.entry);
            assert!(key.state != KeyState::Pending || !alive, "a given-up key was not freed");
        }
        let outcomes =
            self.log.iter().filter_map(|bytes| calls(bytes)).flat_map(|calls| calls.outcomes);
        let not_run = outcomes.filter(|outcome| matches!(outcome.ending, Some(Ending::NotRun(_))));
        for ticket in not_run.filter_map(|outcome| outcome.ticket) {
            let ran = self.oracle.executed.contains(&Ticket::from(ticket));
            assert!(!ran, "{ticket:?} ran but is recorded as not run");
        }
    }
}

fn calls(bytes: &[u8]) -> Option<body::CallGroup> {
    match egretgate_core::record::decode(bytes).ok()?.body {
        Some(Body::CallGroup(calls)) => Some(calls),
        _ => None,
    }
}

fn tickets(append: &Append) -> Vec<Ticket> {
    let intents = calls(&append.data).map(|calls| calls.intents).unwrap_or_default();
    intents.into_iter().filter_map(|intent| intent.ticket.map(Ticket::from)).collect()
}

#[test]
fn no_key_runs_twice_and_every_answer_is_correct() {
    let (mut runs, mut denied, mut repeated) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.recover();
        runs += simulation.oracle.executed.len();
        denied += simulation.oracle.not_run.len();
        repeated +=
            simulation.oracle.runs.values().map(|runs| runs.len().saturating_sub(1)).sum::<usize>();
        for ticket in &simulation.oracle.not_run {
            assert!(!simulation.oracle.executed.contains(ticket), "seed {seed}: {ticket}");
        }
    }
    println!("executions {runs}, not run {denied}, again after the window {repeated}");
    // Without executions, refusals and expired windows the test would check nothing.
    assert!(runs > SEEDS as usize && denied > SEEDS as usize && repeated > SEEDS as usize);
}

/// Two entries over a log without delay.
struct Pair {
    log: Vec<Vec<u8>>,
    entries: [Entry; 2],
    now: Instant,
    replies: BTreeMap<Ticket, Reply>,
}

const FIRST: Ticket = Ticket::new(1, 1);
const SECOND: Ticket = Ticket::new(2, 1);
const THIRD: Ticket = Ticket::new(2, 2);

impl Pair {
    fn new() -> Self {
        let entries = [Entry::new(1, 1.0), Entry::new(2, 1.0)];
        Self { log: Vec::new(), entries, now: Instant::now(), replies: BTreeMap::new() }
    }

    fn entry(&mut self, ticket: Ticket) -> &mut Entry {
        &mut self.entries[ticket.entry as usize - 1]
    }

    fn begin(&mut self, ticket: Ticket, body: u8) {
        let (key, body) = (Digest::of(&[b"key"]), Digest::of(&[&[body]]));
        let (now, deadline) = (self.now, self.now + 10 * WINDOW);
        let entry = self.entry(ticket);
        let call = KeyedCall { ticket, key, body_digest: body, window: WINDOW, deadline };
        entry.calls.begin(call, entry.state.keys(), now);
    }

    fn settle(&mut self) {
        for _ in 0..8 {
            self.now += GROUP_INTERVAL;
            self.run(0);
            self.run(1);
        }
    }

    fn run(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.calls.run_timers(self.now);
        entry.read(&self.log, usize::MAX);
        for effect in entry.calls.take_effects() {
            match effect {
                Effect::Append(append) => self.log.push(append.data),
                Effect::Dispatch(ticket) => entry.ready.push(ticket),
                Effect::Join(_) => {}
                Effect::Answer(ticket, reply) => {
                    assert_eq!(self.replies.insert(ticket, reply), None);
                }
            }
        }
    }

    /// Dispatches the first call.
    fn start(&mut self) {
        self.begin(FIRST, 0);
        self.settle();
        assert!(self.dispatch(FIRST));
    }

    fn dispatch(&mut self, ticket: Ticket) -> bool {
        let now = self.now;
        self.entry(ticket).calls.try_dispatch(ticket, now)
    }

    /// Advances log time beyond the key's window.
    fn expire_window(&mut self) {
        let claim =
            Claim { name: KEEPER_LEASE.into(), holder: 9, expected_offset: None, ttl_ms: 9_000 };
        let fence = self.log.len() as u64;
        self.log.push(Record::new(9, 1, Body::Claim(claim)).to_bytes().unwrap());
        let mut expected_offset = None;
        for elapsed_ms in [0, WINDOW.as_millis() as u64] {
            let tick = Body::Tick(Tick { fence, expected_offset, elapsed_ms });
            expected_offset = Some(self.log.len() as u64);
            self.log.push(Record::new(9, 2, tick).to_bytes().unwrap());
        }
        self.now += WINDOW;
    }
}

struct Case {
    name: &'static str,
    run: fn(&mut Pair),
    /// The answer to the second entry's request.
    reply: Option<Reply>,
}

#[test]
fn a_second_call_is_answered_from_the_first() {
    let cases = [
        Case { name: "joins a running call", run: Pair::start, reply: None },
        Case {
            name: "gets the recorded answer",
            run: |pair| {
                pair.start();
                pair.entry(FIRST).calls.mark_ended(FIRST, Some(answer_of(FIRST)));
            },
            reply: Some(Reply::Recorded(answer_of(FIRST))),
        },
        Case {
            name: "gets the recorded answer in an outage",
            run: |pair| {
                pair.start();
                pair.entry(FIRST).calls.mark_ended(FIRST, Some(answer_of(FIRST)));
                pair.settle();
                pair.entry(SECOND).calls.set_log_up(false);
            },
            reply: Some(Reply::Recorded(answer_of(FIRST))),
        },
        Case {
            name: "keeps the first outcome, whatever is recorded later",
            run: |pair| {
                pair.start();
                pair.entry(FIRST).calls.mark_ended(FIRST, Some(answer_of(FIRST)));
                pair.settle();
                let outcome = body::Outcome {
                    key: Bytes::copy_from_slice(Digest::of(&[b"key"]).as_bytes()),
                    ticket: Some(FIRST.into()),
                    ending: Some(Ending::NotRun(body::NotRun {})),
                };
                let calls = body::CallGroup { outcomes: vec![outcome], intents: Vec::new() };
                pair.log.push(Record::new(1, 99, Body::CallGroup(calls)).to_bytes().unwrap());
            },
            reply: Some(Reply::Recorded(answer_of(FIRST))),
        },
        Case {
            name: "is not repeated after an unknown end",
            run: |pair| {
                pair.start();
                pair.entry(FIRST).calls.mark_ended(FIRST, None);
            },
            reply: Some(Reply::Unknown),
        },
        Case {
            name: "is not repeated after the writer is gone",
            run: |pair| {
                pair.begin(FIRST, 0);
                pair.settle();
                let entry = pair.entry(SECOND);
                entry.calls.mark_gone(1, entry.state.keys());
            },
            reply: Some(Reply::Unknown),
        },
        Case {
            name: "is refused with another body",
            run: |pair| {
                pair.begin(FIRST, 1);
                pair.settle();
            },
            reply: Some(Reply::KeyReused),
        },
        Case {
            name: "is refused at once in an outage",
            run: |pair| pair.entry(SECOND).calls.set_log_up(false),
            reply: Some(Reply::NotRun(ErrorKind::LogOutage)),
        },
    ];
    for Case { name, run, reply } in cases {
        let mut pair = Pair::new();
        run(&mut pair);
        pair.settle();
        pair.begin(SECOND, 0);
        pair.settle();
        assert_eq!(pair.replies.get(&SECOND), reply.as_ref(), "{name}");
        assert!(!pair.dispatch(SECOND), "{name}");
    }
}

#[test]
fn a_proof_of_not_run_frees_the_key() {
    let mut pair = Pair::new();
    pair.start();
    pair.begin(SECOND, 0);
    pair.settle();
    pair.entry(FIRST).calls.mark_not_run(FIRST, ErrorKind::Overloaded);
    pair.settle();
    assert_eq!(pair.replies[&FIRST], Reply::NotRun(ErrorKind::Overloaded));
    assert_matches!(pair.replies[&SECOND], Reply::NotRun(_));
    pair.begin(THIRD, 0);
    pair.settle();
    assert!(!pair.dispatch(FIRST) && pair.dispatch(THIRD));
}

#[test]
fn an_outage_answers_waiting_calls_at_once_as_not_run() {
    let mut pair = Pair::new();
    pair.begin(FIRST, 0);
    let now = pair.now;
    let entry = pair.entry(FIRST);
    entry.calls.run_timers(now);
    let sent = entry.calls.take_effects();
    entry.calls.set_log_up(false);
    let reply = Reply::NotRun(ErrorKind::LogOutage);
    assert_eq!(entry.calls.take_effects(), [Effect::Answer(FIRST, reply)]);
    let [Effect::Append(append)] = sent.as_slice() else { panic!("{sent:?}") };
    pair.log.push(append.data.clone());
    pair.entry(FIRST).calls.set_log_up(true);
    pair.settle();
    assert!(pair.entries[0].ready.is_empty() && !pair.dispatch(FIRST));
    pair.begin(SECOND, 0);
    pair.settle();
    assert!(pair.dispatch(SECOND));
}

#[test]
fn a_process_that_wakes_after_the_window_does_not_dispatch() {
    let mut pair = Pair::new();
    pair.begin(FIRST, 0);
    pair.settle();
    assert_eq!(pair.entries[0].ready, [FIRST]);
    pair.expire_window();
    pair.run(1);
    pair.begin(SECOND, 0);
    pair.run(1);
    pair.run(1);
    assert!(pair.dispatch(SECOND));
    assert!(!pair.dispatch(FIRST), "dispatched again within the window of another call");
    pair.settle();
    assert_eq!(pair.replies[&FIRST], Reply::NotRun(ErrorKind::DeadlinePassed));
}

#[test]
fn a_process_that_skipped_records_resumes_from_the_key_table() {
    struct Case {
        name: &'static str,
        /// What the other entry does with the key before the slow one sends its intent.
        before: fn(&mut Pair),
        dispatches: bool,
        reply: Option<Reply>,
    }
    let cases = [
        Case { name: "first", before: |_| {}, dispatches: true, reply: None },
        Case {
            name: "taken by an answered call",
            before: |pair| {
                pair.begin(SECOND, 0);
                pair.settle();
                assert!(pair.dispatch(SECOND));
                pair.entry(SECOND).calls.mark_ended(SECOND, Some(answer_of(SECOND)));
                pair.settle();
            },
            dispatches: false,
            reply: Some(Reply::Recorded(answer_of(SECOND))),
        },
        Case {
            name: "taken with another body",
            before: |pair| {
                pair.begin(SECOND, 1);
                pair.settle();
            },
            dispatches: false,
            reply: Some(Reply::KeyReused),
        },
    ];
    for Case { name, before, dispatches, reply } in cases {
        let mut pair = Pair::new();
        let mut slow = Entry::new(3, 1.0);
        before(&mut pair);
        let ticket = Ticket::new(3, 1);
        let (key, body) = (Digest::of(&[b"key"]), Digest::of(&[&[0]]));
        let deadline = pair.now + WINDOW;
        let call = KeyedCall { ticket, key, body_digest: body, window: WINDOW, deadline };
        slow.calls.begin(call, slow.state.keys(), pair.now);
        slow.calls.run_timers(pair.now);
        for effect in slow.calls.take_effects() {
            let Effect::Append(append) = effect else { panic!("{effect:?}") };
            pair.log.push(append.data);
        }
        pair.settle();
        let snapshot = State::decode(&pair.entries[0].state.encode()).unwrap();
        assert!(slow.state.resume_from(snapshot));
        slow.calls.resync(slow.state.keys());
        slow.calls.resync(slow.state.keys());
        let effects = slow.calls.take_effects();
        let expected = match reply {
            Some(reply) => vec![Effect::Answer(ticket, reply)],
            None => vec![Effect::Dispatch(ticket)],
        };
        assert_eq!(effects, expected, "{name}");
        assert_eq!(slow.calls.try_dispatch(ticket, pair.now), dispatches, "{name}");
    }
}

#[test]
fn groups_stay_within_the_budget_of_the_log() {
    struct Case {
        entries: u32,
        interval: Duration,
    }
    let cases = [
        Case { entries: 7, interval: GROUP_INTERVAL },
        Case { entries: 38, interval: GROUP_INTERVAL },
        Case { entries: 95, interval: Duration::from_millis(250) },
    ];
    for Case { entries, interval } in cases {
        assert_eq!(group_interval(entries), interval, "{entries} entries");
        assert!(f64::from(entries) / interval.as_secs_f64() <= f64::from(MAX_GROUPS_PER_SECOND));
    }
}
