//! Stateful fuzz test of the admission queue against a list, and tests of its fairness and of
//! exclusive turns.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use egretgate_core::limit::{Estimate, Headroom};
use egretgate_core::queue::{OfferOutcome, Queue, QueueOptions, QueuedWork, Work};
use egretgate_core::{Digest, ErrorKind, Execution, Ticket, Tier};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CAPACITY: usize = 12;
const TOKEN_CAPACITY: u64 = 20_000;
const SLOTS: u32 = 4;
const MS: Duration = Duration::from_millis(1);

#[derive(Debug, Clone)]
enum Op {
    /// Team, tier, whether exclusive, prompt and output in tokens, time to the deadline in ms.
    Offer(u8, Tier, bool, u32, u32, u32),
    /// Offers the queued work at this index again.
    Repeat(usize),
    /// Starts the next work with headroom for this many tokens.
    Start(u64),
    /// Ends the running work at this index.
    End(usize),
    /// Cancels the queued work at this index.
    Cancel(usize),
    /// Sets the estimated speed to one of three.
    Speed(usize),
    /// Lets this many milliseconds pass.
    Wait(u32),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let offer = (0..4u8, 0..4u8, prop::bool::weighted(0.1), 1..4000u32, 1..400u32, 0..20_000u32)
        .prop_map(|(team, tier, exclusive, prompt, output, slack)| {
            Op::Offer(team, tier, exclusive, prompt, output, slack)
        });
    let op = prop_oneof![
        8 => offer,
        1 => any::<usize>().prop_map(Op::Repeat),
        4 => (0..8000u64).prop_map(Op::Start),
        3 => any::<usize>().prop_map(Op::End),
        1 => any::<usize>().prop_map(Op::Cancel),
        1 => (0..3usize).prop_map(Op::Speed),
        3 => (1..2000u32).prop_map(Op::Wait),
    ];
    prop::collection::vec(op, 1..120)
}

fn estimate_at(factor: f64) -> Estimate {
    Estimate {
        base: MS * 20,
        prefill_seconds: 1e-4 * factor,
        inter_token_seconds: 1e-2 * factor,
        token_rate: 4000.0 / factor,
        slot_wait: Duration::ZERO,
    }
}

/// The queue and the list of work that it must contain, in the order of offers.
struct QueueModel {
    queue: Queue<Ticket>,
    waiting: Vec<Work>,
    running: Vec<Work>,
    /// How each ticket ended; each must end once.
    ends: BTreeMap<Ticket, &'static str>,
    estimate: Estimate,
    now: Instant,
    rng: ChaCha8Rng,
    sequence: u64,
    /// True if the last start was a suspect's.
    last_exclusive: bool,
}

impl QueueModel {
    fn new() -> Self {
        let now = Instant::now();
        let options = QueueOptions {
            capacity: CAPACITY,
            token_capacity: TOKEN_CAPACITY,
            ..Default::default()
        };
        Self {
            queue: Queue::new(options, now),
            waiting: Vec::new(),
            running: Vec::new(),
            ends: BTreeMap::new(),
            estimate: estimate_at(1.0),
            now,
            rng: ChaCha8Rng::seed_from_u64(7),
            sequence: 0,
            last_exclusive: false,
        }
    }

    fn end(&mut self, ticket: Ticket, how: &'static str) {
        assert_eq!(self.ends.insert(ticket, how), None, "{ticket} ended twice");
    }

    /// Removes work that the queue has returned from the list.
    fn remove(&mut self, queued: &QueuedWork<Ticket>, how: &'static str) -> Work {
        let ticket = queued.work.ticket;
        assert_eq!(queued.payload, ticket);
        let at = self.waiting.iter().position(|work| work.ticket == ticket).expect("queued");
        self.end(ticket, how);
        self.waiting.remove(at)
    }

    fn is_full(&self) -> bool {
        self.waiting.len() >= CAPACITY
            || self.waiting.iter().map(Work::tokens).sum::<u64>() >= TOKEN_CAPACITY
    }

    fn misses_deadline(&self, work: &Work) -> bool {
        self.now + self.estimate.service_time(work.prompt_tokens, work.output_tokens)
            > work.deadline
    }

    fn offer(&mut self, work: Work) {
        let ticket = work.ticket;
        let is_duplicate = self.waiting.iter().any(|queued| queued.ticket == ticket);
        let lowest = self.waiting.iter().map(|queued| queued.tier).max();
        match self.queue.offer(work.clone(), ticket, self.now, &self.estimate, &mut self.rng) {
            OfferOutcome::Duplicate { .. } => assert!(is_duplicate),
            OfferOutcome::Refused { error, .. } => {
                assert!(!is_duplicate);
                assert_eq!(error.execution, Execution::NotRun);
                assert!(error.retry_after.is_some());
                self.end(ticket, "refused");
                if error.kind == ErrorKind::Overloaded {
                    assert!(self.is_full(), "refused although not full");
                    assert!(lowest <= Some(work.tier), "refused while a lower tier was queued");
                    return;
                }
                let ahead = self.waiting.iter().filter(|queued| queued.tier <= work.tier);
                let wait = self.estimate.wait_time(ahead.map(Work::tokens).sum());
                let service = self.estimate.service_time(work.prompt_tokens, work.output_tokens);
                assert!(
                    self.now + wait + service > work.deadline,
                    "refused although the deadline can be met"
                );
            }
            OfferOutcome::Queued { displaced } => {
                assert!(!is_duplicate);
                assert!(!self.misses_deadline(&work), "queued although the deadline can't be met");
                for discarded in &displaced {
                    assert!(self.is_full(), "displaced although not full");
                    assert_eq!(discarded.error.execution, Execution::NotRun);
                    let key = |work: &Work| (work.tier, work.ticket.sequence);
                    let newest =
                        self.waiting.iter().max_by_key(|queued| key(queued)).expect("full");
                    assert_eq!(
                        discarded.queued.work.ticket, newest.ticket,
                        "not the newest of the lowest tier"
                    );
                    assert!(newest.tier > work.tier, "displaced its own tier");
                    self.remove(&discarded.queued, "displaced");
                }
                let lower = self.waiting.iter().any(|queued| queued.tier > work.tier);
                assert!(!self.is_full() || !lower || !displaced.is_empty());
                self.waiting.push(work);
            }
        }
    }

    fn expire(&mut self) {
        for discarded in self.queue.expire(self.now, &self.estimate, &mut self.rng) {
            assert!(
                self.misses_deadline(&discarded.queued.work),
                "expired although the deadline can be met"
            );
            assert_eq!(discarded.error.execution, Execution::NotRun);
            self.remove(&discarded.queued, "expired");
        }
        let left = self.waiting.iter().find(|work| self.misses_deadline(work));
        assert_eq!(left, None, "kept although the deadline can't be met");
    }

    fn start(&mut self, tokens: u64) {
        self.expire();
        let running = self.running.len() as u32;
        let exclusive = self.running.iter().any(|work| work.exclusive);
        let headroom = Headroom { requests: SLOTS - running, tokens, running, exclusive };
        let regular = |work: &&Work| !work.exclusive;
        let Some(queued) = self.queue.next(self.now, headroom) else {
            let fits = |work: &Work| running == 0 || work.tokens() <= tokens;
            let free = !exclusive && running < SLOTS;
            let suspects = running > 0 && self.waiting.iter().any(|work| work.exclusive);
            let all_fit = self.waiting.iter().all(fits) && !self.waiting.is_empty();
            assert!(!free || suspects || !all_fit, "idle with work that fits");
            return;
        };
        assert!(!exclusive && running < SLOTS, "started without headroom");
        let work = self.remove(&queued, "started");
        assert!(running == 0 || work.tokens() <= tokens, "started over the token limit");
        let urgent = self.waiting.iter().filter(regular).map(|other| other.tier).min();
        assert!(urgent.is_none_or(|urgent| urgent >= work.tier), "a lower tier started first");
        if work.exclusive {
            assert_eq!(running, 0, "a suspect started beside others");
            assert!(!self.last_exclusive || urgent != Some(work.tier), "two suspects in a row");
        } else {
            let suspect =
                self.waiting.iter().filter(|other| other.exclusive).map(|other| other.tier);
            let first = suspect.min().is_some_and(|tier| {
                tier < work.tier || (tier == work.tier && !self.last_exclusive)
            });
            assert!(running > 0 || !first, "a suspect did not start first on an idle upstream");
            let others = self.waiting.iter().filter(regular);
            let others =
                others.filter(|other| (&other.team, other.tier) == (&work.team, work.tier));
            let earliest = others.map(|other| other.deadline).min();
            assert!(
                earliest.is_none_or(|earliest| earliest >= work.deadline),
                "not in order of deadline"
            );
        }
        self.last_exclusive = work.exclusive;
        self.running.push(work);
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Offer(team, tier, exclusive, prompt, output, slack) => {
                self.sequence += 1;
                let mut work = work(self.sequence, self.now + MS * slack, team, tier);
                (work.exclusive, work.prompt_tokens, work.output_tokens) =
                    (exclusive, prompt, output);
                self.offer(work);
            }
            Op::Repeat(at) if !self.waiting.is_empty() => {
                self.offer(self.waiting[at % self.waiting.len()].clone());
            }
            Op::Start(tokens) => self.start(tokens),
            Op::End(at) if !self.running.is_empty() => {
                self.running.swap_remove(at % self.running.len());
            }
            Op::Cancel(at) if !self.waiting.is_empty() => {
                let ticket = self.waiting[at % self.waiting.len()].ticket;
                let queued = self.queue.cancel(ticket).expect("queued work can be cancelled");
                self.remove(&queued, "cancelled");
                assert_eq!(self.queue.cancel(ticket), None);
            }
            Op::Speed(at) => self.estimate = estimate_at([0.5, 1.0, 3.0][at]),
            Op::Wait(ms) => {
                self.now += MS * ms;
                self.expire();
            }
            _ => {}
        }
        assert_eq!(self.queue.len(), self.waiting.len());
        assert_eq!(self.queue.tokens(), self.waiting.iter().map(Work::tokens).sum::<u64>());
        assert_eq!(self.queue.lowest_tier(), self.waiting.iter().map(|work| work.tier).max());
        assert_eq!(self.queue.shed_tier().is_some(), self.is_full());
    }

    fn drain(&mut self) {
        for discarded in self.queue.drain(self.now, &self.estimate, &mut self.rng) {
            assert_eq!(discarded.error.kind, ErrorKind::Stopping);
            self.remove(&discarded.queued, "drained");
        }
        assert!(self.waiting.is_empty() && self.queue.is_empty());
        assert_eq!(self.ends.len() as u64, self.sequence, "an offer did not end");
        self.sequence += 1;
        let late = work(self.sequence, self.now + MS * 60_000, 0, 0);
        let offered =
            self.queue.offer(late, Ticket::default(), self.now, &self.estimate, &mut self.rng);
        assert!(
            matches!(offered, OfferOutcome::Refused { error, .. } if error.kind == ErrorKind::Stopping)
        );
    }
}

fn work(sequence: u64, deadline: Instant, team: u8, tier: Tier) -> Work {
    Work {
        ticket: Ticket::new(1, sequence),
        team: format!("team-{team}"),
        tier,
        weight: u32::from(team) + 1,
        deadline,
        prompt_tokens: 100,
        output_tokens: 100,
        digest: Digest::default(),
        exclusive: false,
        version: String::new(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::with_cases(2000)
    })]

    #[test]
    fn each_offer_ends_once_and_in_order(ops in ops()) {
        let mut model = QueueModel::new();
        for op in &ops {
            model.apply(op);
        }
        model.drain();
    }
}

struct FairCase {
    name: &'static str,
    /// Weight, largest request in tokens and ratio of actual to estimated length of each team.
    teams: &'static [(u32, u32, u32)],
}

/// Deficit round robin keeps teams with constantly queued work within one quantum plus two of the
/// largest requests of each other, per unit of weight.
#[test]
fn no_team_starves() {
    let cases = [
        FairCase { name: "equal", teams: &[(1, 1000, 1), (1, 1000, 1), (1, 1000, 1)] },
        FairCase { name: "weights", teams: &[(1, 3000, 1), (2, 3000, 1), (7, 3000, 1)] },
        FairCase { name: "over the quantum", teams: &[(1, 100_000, 1), (1, 50, 1), (3, 400, 1)] },
        FairCase { name: "longer than estimated", teams: &[(1, 1000, 1), (1, 1000, 10)] },
    ];
    for case in cases {
        let now = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(11);
        let mut queue = Queue::new(QueueOptions::default(), now);
        let mut sequence = 0;
        let mut offer = |queue: &mut Queue<usize>, team: usize| {
            let (weight, max_tokens, _) = case.teams[team];
            sequence += 1;
            let deadline = now + MS * rng.random_range(1000..9000);
            let mut work = work(sequence, deadline, team as u8, 0);
            (work.weight, work.prompt_tokens, work.output_tokens) =
                (weight, rng.random_range(1..max_tokens), 0);
            let offered = queue.offer(work, team, now, &Estimate::default(), &mut rng);
            assert!(matches!(offered, OfferOutcome::Queued { .. }));
        };
        (0..case.teams.len()).for_each(|team| (0..4).for_each(|_| offer(&mut queue, team)));
        let mut served = vec![0.0; case.teams.len()];
        let quantum = f64::from(QueueOptions::default().quantum);
        let largest = case
            .teams
            .iter()
            .map(|&(weight, max_tokens, ratio)| f64::from(max_tokens * ratio) / f64::from(weight));
        let bound = quantum + 2.0 * largest.fold(0.0, f64::max);
        for _ in 0..20_000 {
            let headroom = Headroom { requests: 1, tokens: u64::MAX, running: 1, exclusive: false };
            let queued = queue.next(now, headroom).expect("work is queued");
            let team = queued.payload;
            let (weight, _, ratio) = case.teams[team];
            let actual = queued.work.prompt_tokens * ratio;
            queue.correct_charge(0, &queued.work.team, queued.work.prompt_tokens, actual);
            served[team] += f64::from(actual) / f64::from(weight);
            let max = served.iter().copied().fold(f64::MIN, f64::max);
            let min = served.iter().copied().fold(f64::MAX, f64::min);
            assert!(max - min <= bound, "{}: {served:?}", case.name);
            offer(&mut queue, team);
        }
    }
}

/// Under steady work of its own tier a suspect eventually starts, other work is held back no more
/// than half of the time, and more urgent work is never held back.
#[test]
fn a_suspect_starts_eventually_without_starving_others() {
    const MAX_RUN_MS: u32 = 4000;
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut queue = Queue::new(QueueOptions::default(), start);
        let mut running: Vec<Instant> = Vec::new();
        let (mut sequence, mut held_back, mut started) = (0, 0, None);
        for step in 0..20 * MAX_RUN_MS / 10 {
            let now = start + MS * 10 * step;
            running.retain(|&end| end > now);
            let mut offer = |tier: Tier, exclusive: bool| {
                sequence += 1;
                let mut work = work(sequence, now + MS * 1_000_000, 1, tier);
                work.exclusive = exclusive;
                queue.offer(work, (), now, &Estimate::default(), &mut rng);
            };
            if step == 10 {
                offer(1, true);
            }
            offer(1, false);
            let urgent = step % 100 == 50;
            if urgent {
                offer(0, false);
            }
            while running.len() < SLOTS as usize {
                let count = running.len() as u32;
                let headroom = Headroom {
                    requests: SLOTS - count,
                    tokens: 9999,
                    running: count,
                    exclusive: false,
                };
                let Some(queued) = queue.next(now, headroom) else {
                    assert!(
                        !urgent || queue.tokens_ahead(0, "", 1, now) == 0,
                        "urgent work held back"
                    );
                    held_back += 1;
                    break;
                };
                if queued.work.exclusive {
                    started = Some(step);
                    break;
                }
                let max_ms = if queued.work.tier == 0 { 200 } else { MAX_RUN_MS };
                running.push(now + MS * rng.random_range(100..=max_ms));
            }
            if let Some(step) = started {
                assert!(held_back <= step / 2 + 1, "seed {seed}: {held_back} of {step}");
                break;
            }
        }
        let waited = started.expect("the suspect starts") * 10;
        assert!(waited <= 8 * MAX_RUN_MS, "seed {seed}: waited {waited} ms");
    }
}

/// Work for a version that no free engine runs waits without holding back other work.
#[test]
fn work_for_an_absent_version_is_skipped() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut queue = Queue::new(QueueOptions::default(), now);
    for (sequence, version) in [(1, "old"), (2, "new"), (3, "old")] {
        let mut work = work(sequence, now + MS * 1000, 0, 0);
        work.version = version.to_owned();
        queue.offer(work, version, now, &Estimate::default(), &mut rng);
    }
    let headroom = Headroom { requests: 3, tokens: 9999, running: 0, exclusive: false };
    let mut next =
        |version: &str| queue.next_matching(now, headroom, |work| work.version == version);
    assert_eq!(next("new").map(|queued| queued.payload), Some("new"));
    assert_eq!(next("new"), None);
    assert_eq!(next("old").map(|queued| queued.work.ticket.sequence), Some(1));
}
