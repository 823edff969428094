//! Cost of the admission queue by the number of queued requests.
//!
//! Run with `cargo bench -p egretgate-core --bench queue`.

use std::time::{Duration, Instant};

use divan::{Bencher, black_box};
use egretgate_core::limit::{Estimate, Headroom};
use egretgate_core::queue::{Queue, QueueOptions, Work};
use egretgate_core::{Digest, Ticket, Tier};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Numbers of queued requests.
const WAITING: [usize; 3] = [10, 1_000, 10_000];
const TIERS: Tier = 4;
const HEADROOM: Headroom = Headroom { requests: 1, tokens: u64::MAX, running: 1, exclusive: false };

/// A queue with random requests of 4 tiers, and a generator of more.
struct Bench {
    queue: Queue<u64>,
    teams: u32,
    sequence: u64,
    now: Instant,
    estimate: Estimate,
    rng: ChaCha8Rng,
}

impl Bench {
    fn new(waiting: usize, capacity: usize, teams: u32) -> Self {
        let now = Instant::now();
        let options = QueueOptions { capacity, ..QueueOptions::default() };
        let queue = Queue::new(options, now);
        let rng = ChaCha8Rng::seed_from_u64(1);
        let estimate = Estimate { inter_token_seconds: 0.01, ..Estimate::default() };
        let mut bench = Self { queue, teams, sequence: 0, now, estimate, rng };
        for _ in 0..waiting {
            bench.offer();
        }
        bench
    }

    fn offer(&mut self) {
        self.sequence += 1;
        self.now += Duration::from_micros(10);
        let work = Work {
            ticket: Ticket::new(1, self.sequence),
            team: format!("team-{}", self.rng.random_range(0..self.teams)),
            tier: self.rng.random_range(0..TIERS),
            weight: 1,
            deadline: self.now + Duration::from_mins(self.rng.random_range(10..12)),
            prompt_tokens: self.rng.random_range(20..2000),
            output_tokens: self.rng.random_range(20..2000),
            digest: Digest::default(),
            exclusive: false,
            version: String::new(),
        };
        let offered = self.queue.offer(work, 0, self.now, &self.estimate, &mut self.rng);
        black_box(offered);
    }
}

/// One offer and one start, with few large teams.
#[divan::bench(args = WAITING, sample_count = 500, sample_size = 50)]
fn offer_and_next(bencher: Bencher<'_, '_>, waiting: usize) {
    let mut bench = Bench::new(waiting, waiting + 1, 5);
    bencher.bench_local(move || {
        bench.offer();
        black_box(bench.queue.next(bench.now, HEADROOM))
    });
}

/// One offer and one start, with as many teams as the target deployment.
#[divan::bench(args = WAITING, sample_count = 500, sample_size = 50)]
fn offer_and_next_many_teams(bencher: Bencher<'_, '_>, waiting: usize) {
    let mut bench = Bench::new(waiting, waiting + 1, 7_400);
    bencher.bench_local(move || {
        bench.offer();
        black_box(bench.queue.next(bench.now, HEADROOM))
    });
}

/// One offer to a full queue, which refuses or displaces.
#[divan::bench(args = WAITING, sample_count = 500, sample_size = 50)]
fn offer_when_full(bencher: Bencher<'_, '_>, waiting: usize) {
    let mut bench = Bench::new(waiting, waiting, 5);
    bencher.bench_local(move || bench.offer());
}

/// One check for expired work when there is none.
#[divan::bench(args = WAITING, sample_count = 500, sample_size = 50)]
fn expire(bencher: Bencher<'_, '_>, waiting: usize) {
    let mut bench = Bench::new(waiting, waiting, 5);
    bencher.bench_local(move || {
        black_box(bench.queue.expire(bench.now, &bench.estimate, &mut bench.rng))
    });
}

/// One check for expired work after the measured speed has changed.
#[divan::bench(args = WAITING)]
fn expire_after_change(bencher: Bencher<'_, '_>, waiting: usize) {
    let mut bench = Bench::new(waiting, waiting, 5);
    bencher.bench_local(move || {
        bench.estimate.inter_token_seconds = 0.03 - bench.estimate.inter_token_seconds;
        black_box(bench.queue.expire(bench.now, &bench.estimate, &mut bench.rng))
    });
}

fn main() {
    divan::main();
}
