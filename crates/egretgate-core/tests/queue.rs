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
const TOKENS: u64 = 20_000;
const SLOTS: u32 = 4;
const MS: Duration = Duration::from_millis(1);

#[derive(Debug, Clone)]
enum Op {
    /// Team, tier, whether exclusive, prompt and output in tokens, time to the deadline in ms.
    Offer(u8, Tier, bool, u32, u32, u32),
    Again(usize),
    Start(u64),
    End(usize),
    Withdraw(usize),
    Pace(usize),
    Wait(u32),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let offer = (0..4u8, 0..4u8, prop::bool::weighted(0.1), 1..4000u32, 1..400u32, 0..20_000u32)
        .prop_map(|(team, tier, alone, prompt, output, slack)| {
            Op::Offer(team, tier, alone, prompt, output, slack)
        });
    let op = prop_oneof![
        8 => offer,
        1 => any::<usize>().prop_map(Op::Again),
        4 => (0..8000u64).prop_map(Op::Start),
        3 => any::<usize>().prop_map(Op::End),
        1 => any::<usize>().prop_map(Op::Withdraw),
        1 => (0..3usize).prop_map(Op::Pace),
        3 => (1..2000u32).prop_map(Op::Wait),
    ];
    prop::collection::vec(op, 1..120)
}

fn pace(factor: f64) -> Estimate {
    Estimate {
        base: MS * 20,
        prefill: 1e-4 * factor,
        inter_token: 1e-2 * factor,
        token_rate: 4000.0 / factor,
        slot_wait: Duration::ZERO,
    }
}

/// The queue and the list of work that it must contain, in the order of offers.
struct World {
    queue: Queue<Ticket>,
    held: Vec<Work>,
    running: Vec<Work>,
    /// How each ticket ended; each must end once.
    ends: BTreeMap<Ticket, &'static str>,
    estimate: Estimate,
    now: Instant,
    rng: ChaCha8Rng,
    sequence: u64,
    /// True if the last start was a suspect's.
    yields: bool,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let options =
            QueueOptions { capacity: CAPACITY, token_capacity: TOKENS, ..Default::default() };
        Self {
            queue: Queue::new(options, now),
            held: Vec::new(),
            running: Vec::new(),
            ends: BTreeMap::new(),
            estimate: pace(1.0),
            now,
            rng: ChaCha8Rng::seed_from_u64(7),
            sequence: 0,
            yields: false,
        }
    }

    fn end(&mut self, ticket: Ticket, how: &'static str) {
        assert_eq!(self.ends.insert(ticket, how), None, "{ticket} ended twice");
    }

    /// Removes work from the list that the queue has returned.
    fn take(&mut self, held: &QueuedWork<Ticket>, how: &'static str) -> Work {
        let ticket = held.work.ticket;
        assert_eq!(held.payload, ticket);
        let at = self.held.iter().position(|work| work.ticket == ticket).expect("held");
        self.end(ticket, how);
        self.held.remove(at)
    }

    fn is_full(&self) -> bool {
        self.held.len() >= CAPACITY || self.held.iter().map(Work::tokens).sum::<u64>() >= TOKENS
    }

    fn is_hopeless(&self, work: &Work) -> bool {
        self.now + self.estimate.service_time(work.prompt_tokens, work.output_tokens)
            > work.deadline
    }

    fn offer(&mut self, work: Work) {
        let ticket = work.ticket;
        let known = self.held.iter().any(|held| held.ticket == ticket);
        let lowest = self.held.iter().map(|held| held.tier).max();
        match self.queue.offer(work.clone(), ticket, self.now, &self.estimate, &mut self.rng) {
            OfferOutcome::Duplicate { .. } => assert!(known),
            OfferOutcome::Refused { error, .. } => {
                assert!(!known);
                assert_eq!(error.execution, Execution::NotRun);
                assert!(error.retry_after.is_some());
                self.end(ticket, "refused");
                if error.kind == ErrorKind::Overloaded {
                    assert!(self.is_full(), "refused with room");
                    assert!(lowest <= Some(work.tier), "refused while a lower tier was held");
                    return;
                }
                let rivals = self.held.iter().filter(|held| held.tier <= work.tier);
                let wait = self.estimate.wait_time(rivals.map(Work::tokens).sum());
                let service = self.estimate.service_time(work.prompt_tokens, work.output_tokens);
                assert!(self.now + wait + service > work.deadline, "refused in vain");
            }
            OfferOutcome::Queued { displaced } => {
                assert!(!known);
                assert!(!self.is_hopeless(&work), "queued without hope");
                for one in &displaced {
                    assert!(self.is_full(), "displaced with room");
                    assert_eq!(one.error.execution, Execution::NotRun);
                    let key = |held: &Work| (held.tier, held.ticket.sequence);
                    let newest = self.held.iter().max_by_key(|held| key(held)).expect("full");
                    assert_eq!(
                        one.queued.work.ticket, newest.ticket,
                        "not the newest of the lowest"
                    );
                    assert!(newest.tier > work.tier, "displaced its own tier");
                    self.take(&one.queued, "displaced");
                }
                let lower = self.held.iter().any(|held| held.tier > work.tier);
                assert!(!self.is_full() || !lower || !displaced.is_empty());
                self.held.push(work);
            }
        }
    }

    fn expire(&mut self) {
        for one in self.queue.expire(self.now, &self.estimate, &mut self.rng) {
            assert!(self.is_hopeless(&one.queued.work), "given up with hope");
            assert_eq!(one.error.execution, Execution::NotRun);
            self.take(&one.queued, "expired");
        }
        let left = self.held.iter().find(|work| self.is_hopeless(work));
        assert_eq!(left, None, "kept without hope");
    }

    fn start(&mut self, tokens: u64) {
        self.expire();
        let running = self.running.len() as u32;
        let alone = self.running.iter().any(|work| work.exclusive);
        let room = Headroom { requests: SLOTS - running, tokens, running, exclusive: alone };
        let regular = |work: &&Work| !work.exclusive;
        let Some(held) = self.queue.next(self.now, room) else {
            let fits = |work: &Work| running == 0 || work.tokens() <= tokens;
            let free = !alone && running < SLOTS;
            let suspects = running > 0 && self.held.iter().any(|work| work.exclusive);
            let all_fit = self.held.iter().all(fits) && !self.held.is_empty();
            assert!(!free || suspects || !all_fit, "idle with work that fits");
            return;
        };
        assert!(!alone && running < SLOTS, "started without room");
        let work = self.take(&held, "started");
        assert!(running == 0 || work.tokens() <= tokens, "started over the token limit");
        let urgent = self.held.iter().filter(regular).map(|other| other.tier).min();
        assert!(urgent.is_none_or(|urgent| urgent >= work.tier), "a lower tier started first");
        if work.exclusive {
            assert_eq!(running, 0, "a suspect started beside others");
            assert!(!self.yields || urgent != Some(work.tier), "two suspects in a row");
        } else {
            let suspect = self.held.iter().filter(|other| other.exclusive).map(|other| other.tier);
            let first = suspect
                .min()
                .is_some_and(|tier| tier < work.tier || (tier == work.tier && !self.yields));
            assert!(running > 0 || !first, "a suspect was passed over on an idle upstream");
            let mates = self.held.iter().filter(regular);
            let mates = mates.filter(|other| (&other.team, other.tier) == (&work.team, work.tier));
            let earliest = mates.map(|other| other.deadline).min();
            assert!(earliest.is_none_or(|earliest| earliest >= work.deadline), "not by deadline");
        }
        self.yields = work.exclusive;
        self.running.push(work);
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Offer(team, tier, alone, prompt, output, slack) => {
                self.sequence += 1;
                let mut work = work(self.sequence, self.now + MS * slack, team, tier);
                (work.exclusive, work.prompt_tokens, work.output_tokens) = (alone, prompt, output);
                self.offer(work);
            }
            Op::Again(at) if !self.held.is_empty() => {
                self.offer(self.held[at % self.held.len()].clone());
            }
            Op::Start(tokens) => self.start(tokens),
            Op::End(at) if !self.running.is_empty() => {
                self.running.swap_remove(at % self.running.len());
            }
            Op::Withdraw(at) if !self.held.is_empty() => {
                let ticket = self.held[at % self.held.len()].ticket;
                let held = self.queue.cancel(ticket).expect("held work can be withdrawn");
                self.take(&held, "withdrawn");
                assert_eq!(self.queue.cancel(ticket), None);
            }
            Op::Pace(at) => self.estimate = pace([0.5, 1.0, 3.0][at]),
            Op::Wait(ms) => {
                self.now += MS * ms;
                self.expire();
            }
            _ => {}
        }
        assert_eq!(self.queue.len(), self.held.len());
        assert_eq!(self.queue.tokens(), self.held.iter().map(Work::tokens).sum::<u64>());
        assert_eq!(self.queue.lowest_tier(), self.held.iter().map(|work| work.tier).max());
        assert_eq!(self.queue.shed_tier().is_some(), self.is_full());
    }

    fn drain(&mut self) {
        for one in self.queue.drain(self.now, &self.estimate, &mut self.rng) {
            assert_eq!(one.error.kind, ErrorKind::Stopping);
            self.take(&one.queued, "drained");
        }
        assert!(self.held.is_empty() && self.queue.is_empty());
        assert_eq!(self.ends.len() as u64, self.sequence, "an offer has no end");
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
        let mut world = World::new();
        for op in &ops {
            world.apply(op);
        }
        world.drain();
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
        FairCase { name: "longer than told", teams: &[(1, 1000, 1), (1, 1000, 10)] },
    ];
    for case in cases {
        let now = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(11);
        let mut queue = Queue::new(QueueOptions::default(), now);
        let mut sequence = 0;
        let mut offer = |queue: &mut Queue<usize>, team: usize| {
            let (weight, most, _) = case.teams[team];
            sequence += 1;
            let deadline = now + MS * rng.random_range(1000..9000);
            let mut work = work(sequence, deadline, team as u8, 0);
            (work.weight, work.prompt_tokens, work.output_tokens) =
                (weight, rng.random_range(1..most), 0);
            let offered = queue.offer(work, team, now, &Estimate::default(), &mut rng);
            assert!(matches!(offered, OfferOutcome::Queued { .. }));
        };
        (0..case.teams.len()).for_each(|team| (0..4).for_each(|_| offer(&mut queue, team)));
        let mut served = vec![0.0; case.teams.len()];
        let quantum = f64::from(QueueOptions::default().quantum);
        let most = case
            .teams
            .iter()
            .map(|&(weight, most, longer)| f64::from(most * longer) / f64::from(weight));
        let bound = quantum + 2.0 * most.fold(0.0, f64::max);
        for _ in 0..20_000 {
            let room = Headroom { requests: 1, tokens: u64::MAX, running: 1, exclusive: false };
            let held = queue.next(now, room).expect("work waits");
            let team = held.payload;
            let (weight, _, longer) = case.teams[team];
            let actual = held.work.prompt_tokens * longer;
            queue.correct_charge(0, &held.work.team, held.work.prompt_tokens, actual);
            served[team] += f64::from(actual) / f64::from(weight);
            let most = served.iter().copied().fold(f64::MIN, f64::max);
            let least = served.iter().copied().fold(f64::MAX, f64::min);
            assert!(most - least <= bound, "{}: {served:?}", case.name);
            offer(&mut queue, team);
        }
    }
}

/// Under steady work of its own tier a suspect eventually starts, other work is held back no more
/// than half of the time, and more urgent work is never held back.
#[test]
fn a_suspect_gets_its_turn_and_no_more() {
    const LONGEST: u32 = 4000;
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut queue = Queue::new(QueueOptions::default(), start);
        let mut running: Vec<Instant> = Vec::new();
        let (mut sequence, mut held_back, mut started) = (0, 0, None);
        for step in 0..20 * LONGEST / 10 {
            let now = start + MS * 10 * step;
            running.retain(|&end| end > now);
            let mut offer = |tier: Tier, alone: bool| {
                sequence += 1;
                let mut work = work(sequence, now + MS * 1_000_000, 1, tier);
                work.exclusive = alone;
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
                let room = Headroom {
                    requests: SLOTS - count,
                    tokens: 9999,
                    running: count,
                    exclusive: false,
                };
                let Some(held) = queue.next(now, room) else {
                    assert!(
                        !urgent || queue.tokens_ahead(0, "", 1, now) == 0,
                        "urgent work held back"
                    );
                    held_back += 1;
                    break;
                };
                if held.work.exclusive {
                    started = Some(step);
                    break;
                }
                let most = if held.work.tier == 0 { 200 } else { LONGEST };
                running.push(now + MS * rng.random_range(100..=most));
            }
            if let Some(step) = started {
                assert!(held_back <= step / 2 + 1, "seed {seed}: {held_back} of {step}");
                break;
            }
        }
        let waited = started.expect("the suspect starts") * 10;
        assert!(waited <= 8 * LONGEST, "seed {seed}: waited {waited} ms");
    }
}

/// Work for a version that no free engine runs waits without holding back other work.
#[test]
fn work_of_an_absent_version_is_passed_over() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut queue = Queue::new(QueueOptions::default(), now);
    for (sequence, version) in [(1, "old"), (2, "new"), (3, "old")] {
        let mut work = work(sequence, now + MS * 1000, 0, 0);
        work.version = version.to_owned();
        queue.offer(work, version, now, &Estimate::default(), &mut rng);
    }
    let room = Headroom { requests: 3, tokens: 9999, running: 0, exclusive: false };
    let mut next = |version: &str| queue.next_matching(now, room, |work| work.version == version);
    assert_eq!(next("new").map(|held| held.payload), Some("new"));
    assert_eq!(next("new"), None);
    assert_eq!(next("old").map(|held| held.work.ticket.sequence), Some(1));
}
