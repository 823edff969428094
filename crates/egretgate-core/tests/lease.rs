//! Leases: never two valid holders, although clocks drift and processes freeze.

use std::time::{Duration, Instant};

use egretgate_core::declaration::Fencing;
use egretgate_core::fold::State;
use egretgate_core::lease::{LEASE_TTL, LeaseClient, MARGIN_DIVISOR, RENEWALS_PER_TTL};
use egretgate_core::record::outbox::{Append, Outbox};
use egretgate_core::record::{Body, Class};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NAME: &str = "move/chat";

struct Process {
    state: State,
    lease: LeaseClient,
    outbox: Outbox,
    sent: Vec<Append>,
    frozen: bool,
    clock_rate: f64,
}

impl Process {
    fn new(writer: u64, clock_rate: f64) -> Self {
        Self {
            state: State::new(),
            lease: LeaseClient::new(NAME, writer, LEASE_TTL),
            outbox: Outbox::new(writer),
            sent: Vec::new(),
            frozen: false,
            clock_rate,
        }
    }

    fn read(&mut self, log: &[Vec<u8>], limit: usize, now: Instant) {
        for _ in 0..limit {
            let next = self.state.next_offset();
            let Some(bytes) = log.get(next as usize) else { return };
            let applied = self.state.apply(next, bytes);
            if let Some(id) = applied.id.filter(|id| id.class == Class::Config) {
                self.outbox.confirm(id.writer, id.sequence);
            }
            self.lease.observe(self.state.config().lease(NAME), now);
        }
    }

    /// Sends the lease record that is due, unless an append is in flight.
    fn send(&mut self, now: Instant) {
        if !self.outbox.is_idle() {
            return;
        }
        let Some(body) = self.lease.due_record(now) else { return };
        let sequence = self.outbox.push(body).unwrap();
        self.lease.mark_sent(sequence, now);
        self.sent.extend(self.outbox.pop());
    }
}

struct Simulation {
    rng: ChaCha8Rng,
    base: Instant,
    elapsed: Duration,
    log: Vec<Vec<u8>>,
    processes: Vec<Process>,
    writers: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            base: Instant::now(),
            elapsed: Duration::ZERO,
            log: Vec::new(),
            processes: Vec::new(),
            writers: 0,
        };
        for _ in 0..3 {
            let process = simulation.new_process();
            simulation.processes.push(process);
        }
        simulation
    }

    fn new_process(&mut self) -> Process {
        self.writers += 1;
        Process::new(self.writers, self.rng.random_range(0.91..1.09))
    }

    fn now(&self, process: usize) -> Instant {
        self.base + self.elapsed.mul_f64(self.processes[process].clock_rate)
    }

    fn step(&mut self) {
        let index = self.rng.random_range(0..self.processes.len());
        let now = self.now(index);
        let frozen = self.processes[index].frozen;
        match self.rng.random_range(0..40) {
            0..14 if !frozen => {
                let limit = self.rng.random_range(1..9);
                self.processes[index].read(&self.log, limit, now);
            }
            14..24 if !frozen => self.processes[index].send(now),
            24..34 => self.deliver_append(index),
            34 => self.processes[index].frozen = true,
            35 => self.processes[index].frozen = false,
            36 if self.rng.random_bool(0.1) => self.processes[index] = self.new_process(),
            _ => {}
        }
        let limit = if self.rng.random_bool(0.01) { 8_000 } else { 150 };
        self.elapsed += Duration::from_millis(self.rng.random_range(0..limit));
    }

    /// Delivers an append: it reaches the log, reaches the log and is delivered again later as a
    /// duplicate, or is delayed.
    fn deliver_append(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if process.sent.is_empty() {
            return;
        }
        let append = process.sent.remove(self.rng.random_range(0..process.sent.len()));
        let outcome = self.rng.random_range(0..10);
        if outcome < 8 {
            self.log.push(append.data.clone());
        }
        if outcome > 6 {
            process.sent.push(append);
        }
    }

    fn valid_holders(&self) -> Vec<(usize, u64)> {
        let all = self.processes.iter().enumerate();
        all.filter_map(|(index, process)| {
            Some((index, process.lease.valid_fence(self.now(index))?))
        })
        .collect()
    }
}

#[test]
fn never_two_valid_holders() {
    let (mut steps_held, mut grants) = (0, 0);
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);
        let mut fence = None;
        for step in 0..3_000 {
            simulation.step();
            let valid_holders = simulation.valid_holders();
            assert!(valid_holders.len() < 2, "seed {seed} step {step}: {valid_holders:?}");
            let Some((_, current)) = valid_holders.first() else { continue };
            assert!(fence <= Some(*current), "seed {seed}: the fencing number decreased");
            steps_held += 1;
            grants += u32::from(fence != Some(*current));
            fence = Some(*current);
        }
    }
    println!("steps with a holder {steps_held}, grants {grants}");
    assert!(steps_held > 10_000 && grants > 1_000);
}

/// Returns a process that holds the lease from `base` on, a competitor that has read the claim, and
/// the log.
fn hold_lease(base: Instant) -> (Process, Process, Vec<Vec<u8>>) {
    let (mut holder, mut competitor) = (Process::new(1, 1.0), Process::new(2, 1.0));
    holder.send(base);
    let log = holder.sent.drain(..).map(|append| append.data).collect::<Vec<_>>();
    holder.read(&log, 9, base + LEASE_TTL / 4);
    competitor.read(&log, 9, base + LEASE_TTL / 4);
    (holder, competitor, log)
}

#[test]
fn a_holder_counts_from_the_send_and_a_competitor_from_the_read() {
    let base = Instant::now();
    let (holder, competitor, _) = hold_lease(base);
    let margin = LEASE_TTL / MARGIN_DIVISOR;
    let tick = Duration::from_millis(1);
    let held = LEASE_TTL.saturating_sub(margin);
    assert_eq!(holder.lease.valid_fence(base + held.saturating_sub(tick)), Some(0));
    assert_eq!(holder.lease.valid_fence(base + held), None);
    let free = LEASE_TTL / 4 + LEASE_TTL + margin;
    assert_eq!(competitor.lease.due_record(base + free.saturating_sub(tick)), None);
    assert!(matches!(competitor.lease.due_record(base + free), Some(Body::Claim(_))));
}

#[test]
fn a_holder_renews_in_time_and_a_release_frees_at_once() {
    let base = Instant::now();
    let (mut holder, mut competitor, mut log) = hold_lease(base);
    let interval = LEASE_TTL / RENEWALS_PER_TTL;
    let due = base + interval;
    assert_eq!(
        holder.lease.due_record(base + interval.saturating_sub(Duration::from_millis(1))),
        None
    );
    assert!(matches!(holder.lease.due_record(due), Some(Body::Renew(_))));
    let release = holder.lease.release().unwrap();
    assert_eq!(holder.lease.valid_fence(due), None, "still holds the lease after its release");
    assert_eq!(holder.lease.due_record(due + LEASE_TTL), None, "claims after its release");
    holder.outbox.push(release).unwrap();
    log.push(holder.outbox.pop().unwrap().data);
    competitor.read(&log, 9, due);
    assert!(matches!(competitor.lease.due_record(due), Some(Body::Claim(_))));
}

#[test]
fn a_claimant_waits_out_orders_where_fencing_is_ignored() {
    struct Case {
        fencing: Fencing,
        longest: Duration,
        allowed: bool,
    }
    let base = Instant::now();
    let (holder, ..) = hold_lease(base);
    let now = base + LEASE_TTL / 2;
    let (short, long) = (LEASE_TTL / 8, LEASE_TTL / 2);
    let cases = [
        Case { fencing: Fencing::Checked, longest: long, allowed: true },
        Case { fencing: Fencing::Ignored, longest: short, allowed: true },
        Case { fencing: Fencing::Ignored, longest: long, allowed: false },
    ];
    for Case { fencing, longest, allowed } in cases {
        let order = holder.lease.order_fence(fencing, longest, now);
        assert_eq!(order.is_some(), allowed, "{fencing:?} {longest:?}");
    }
}
