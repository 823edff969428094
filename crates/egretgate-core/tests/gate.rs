//! Tier gates: decisions, and a fuzz test of several entries with bounded queues.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use egretgate_core::Tier;
use egretgate_core::choice::UpstreamKey;
use egretgate_core::gate::{Attempt, Gate, GateDecision, Signal};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

const TIERS: Tier = 4;
const ENTRIES: usize = 3;

/// A side process: a bounded queue that displaces its lowest tier, newest first.
#[derive(Debug, Clone, Default)]
struct SideProcess {
    queue: Vec<Tier>,
}

impl SideProcess {
    const CAPACITY: usize = 3;

    fn signal(&self) -> Signal {
        let lowest = self.queue.iter().max().copied();
        let full = self.queue.len() >= Self::CAPACITY;
        Signal { lowest_tier: lowest, shed_tier: if full { lowest } else { None } }
    }

    /// Queues a request and returns the one refused, if any.
    fn offer(&mut self, tier: Tier) -> Option<Tier> {
        self.queue.push(tier);
        if self.queue.len() <= Self::CAPACITY {
            return None;
        }
        let lowest = *self.queue.iter().max().expect("not empty");
        let newest = self.queue.iter().rposition(|&queued| queued == lowest).expect("queued");
        Some(self.queue.remove(newest))
    }
}

struct GateModel {
    now: Instant,
    rng: ChaCha8Rng,
    keys: Vec<UpstreamKey>,
    sides: Vec<SideProcess>,
    gates: Vec<Gate>,
    /// Last signal that each entry received from each side process.
    received: Vec<Vec<Option<Signal>>>,
    /// Signals in transit, in order for each entry and side process.
    in_transit: Vec<Vec<VecDeque<Signal>>>,
    delayed: bool,
}

impl GateModel {
    fn new(seed: u64, delayed: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sides = rng.random_range(1..5);
        let mut slots: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        Self {
            now: Instant::now(),
            keys: (0..sides).map(|_| slots.insert(())).collect(),
            sides: vec![SideProcess::default(); sides],
            gates: vec![Gate::new(1); ENTRIES],
            received: vec![vec![None; sides]; ENTRIES],
            in_transit: vec![vec![VecDeque::new(); sides]; ENTRIES],
            delayed,
            rng,
        }
    }

    fn record_signal_at(&mut self, entry: usize, side: usize, signal: Signal) {
        self.gates[entry].record_signal(self.keys[side], signal, self.now);
        self.received[entry][side] = Some(signal);
    }

    /// Publishes the signal of a side process to every entry.
    fn publish(&mut self, side: usize) {
        let signal = self.sides[side].signal();
        for entry in 0..ENTRIES {
            self.in_transit[entry][side].push_back(signal);
            if !self.delayed {
                self.deliver_all(entry, side);
            }
        }
    }

    fn deliver_all(&mut self, entry: usize, side: usize) {
        while let Some(signal) = self.in_transit[entry][side].pop_front() {
            self.record_signal_at(entry, side, signal);
        }
    }

    /// Runs one request until it is queued or refused. Returns true if it was queued.
    fn request(&mut self, entry: usize, tier: Tier, context: &str) -> bool {
        let mut tried: Vec<Attempt> = Vec::new();
        for _ in 0..50 {
            self.now += Duration::from_millis(1);
            let decision = self.gates[entry].decide(
                tier,
                &tried,
                self.keys.iter().copied(),
                self.now,
                &mut self.rng,
            );
            let side = match decision {
                GateDecision::Offer => self.rng.random_range(0..self.sides.len()),
                GateDecision::Probe(candidates) => {
                    self.keys.iter().position(|&key| key == candidates[0]).expect("a known key")
                }
                GateDecision::Refuse { retry_after } => {
                    assert!(retry_after >= Gate::MIN_RETRY_AFTER);
                    self.check_refusal(entry, tier, &tried, context);
                    return false;
                }
            };
            let refused = self.sides[side].offer(tier);
            let signal = self.sides[side].signal();
            if refused != Some(tier) {
                self.publish(side);
                return true;
            }
            // The refusal arrives after earlier signals of the side process, and carries its load
            // report.
            self.deliver_all(entry, side);
            self.received[entry][side] = Some(signal);
            self.gates[entry].record_signal(self.keys[side], signal, self.now);
            tried.push(Attempt { key: self.keys[side], at: self.now });
            if self.delayed && self.rng.random_bool(0.3) {
                self.run_random_event();
            }
        }
        panic!("{context}: probes do not end");
    }

    /// A random event elsewhere: a queue starts a request, or a signal arrives.
    fn run_random_event(&mut self) {
        let side = self.rng.random_range(0..self.sides.len());
        if self.rng.random_bool(0.5) {
            let queue = &mut self.sides[side].queue;
            if !queue.is_empty() {
                let first = queue.iter().min().copied().expect("not empty");
                let index = queue.iter().position(|&tier| tier == first).expect("queued");
                queue.remove(index);
            }
            self.publish(side);
        } else {
            let entry = self.rng.random_range(0..ENTRIES);
            self.deliver_all(entry, side);
        }
    }

    /// Checks a refusal against the true state of the side processes.
    fn check_refusal(&self, entry: usize, tier: Tier, tried: &[Attempt], context: &str) {
        for (index, side) in self.sides.iter().enumerate() {
            let accepts = |signal: Signal| signal.admits(tier) || signal.displaces(tier);
            if !self.delayed {
                assert!(!accepts(side.signal()), "{context}: tier {tier} refused, {side:?}");
                continue;
            }
            // The last signal that the entry received showed no capacity, so any capacity is newer.
            let received = self.received[entry][index];
            assert!(
                received.is_some_and(|received| !accepts(received)),
                "{context}: tier {tier}, received {received:?}"
            );
            let offered = tried.iter().any(|attempt| attempt.key == self.keys[index]);
            assert!(
                tier > 0 || offered,
                "{context}: the top tier must be offered to every upstream"
            );
        }
    }
}

#[test]
fn no_tier_is_refused_while_a_lower_one_waits() {
    for (delayed, seeds) in [(false, 200), (true, 400)] {
        for seed in 0..seeds {
            let mut model = GateModel::new(seed, delayed);
            for step in 0..200 {
                let context = format!("delayed {delayed} seed {seed} step {step}");
                match model.rng.random_range(0..10) {
                    0..6 => {
                        let entry = model.rng.random_range(0..ENTRIES);
                        let tier = model.rng.random_range(0..TIERS);
                        let queued = model.request(entry, tier, &context);
                        // Without delays no entry admits a lower tier after a refusal.
                        for lower in tier + 1..TIERS {
                            if queued || delayed {
                                break;
                            }
                            let other = model.rng.random_range(0..ENTRIES);
                            assert!(
                                !model.request(other, lower, &context),
                                "{context}: tier {lower}"
                            );
                        }
                    }
                    6..9 => model.run_random_event(),
                    _ => model.now += Duration::from_millis(model.rng.random_range(0..3_000)),
                }
            }
        }
    }
}

#[test]
fn decisions() {
    struct Case {
        name: &'static str,
        tier: Tier,
        signals: [(Option<Tier>, Option<Tier>); 2],
        age: Duration,
        expected: &'static [usize],
    }
    const NOW: Duration = Duration::ZERO;
    let full = (Some(1), Some(1));
    let cases = [
        Case {
            name: "full of higher tiers",
            tier: 2,
            signals: [full, full],
            age: NOW,
            expected: &[],
        },
        Case {
            name: "top tier probes all",
            tier: 0,
            signals: [(Some(0), Some(0)); 2],
            age: NOW,
            expected: &[0, 1],
        },
        Case {
            name: "displaces",
            tier: 2,
            signals: [full, (Some(3), Some(2))],
            age: NOW,
            expected: &[1],
        },
        Case {
            name: "upstream with the lowest tier first",
            tier: 1,
            signals: [(Some(2), Some(1)), (Some(3), Some(1))],
            age: NOW,
            expected: &[1, 0],
        },
        Case {
            name: "old signals are probed",
            tier: 2,
            signals: [full, full],
            age: Duration::from_secs(3),
            expected: &[0, 1],
        },
    ];
    for case in cases {
        let mut slots: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let keys = [slots.insert(()), slots.insert(())];
        let (start, mut gate) = (Instant::now(), Gate::new(1));
        for (key, (lowest_tier, shed_tier)) in keys.into_iter().zip(case.signals) {
            gate.record_signal(key, Signal { lowest_tier, shed_tier }, start);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let decision = gate.decide(case.tier, &[], keys, start + case.age, &mut rng);
        if case.expected.is_empty() {
            assert_matches!(decision, GateDecision::Refuse { .. }, "{}", case.name);
            continue;
        }
        let expected = case.expected.iter().map(|&index| keys[index]).collect();
        assert_eq!(decision, GateDecision::Probe(expected), "{}", case.name);
    }
}

#[test]
fn a_refusal_closes_lower_tiers_until_a_signal_shows_capacity() {
    let mut slots: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let key = slots.insert(());
    let (start, mut gate) = (Instant::now(), Gate::new(1));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let at = |millis| start + Duration::from_millis(millis);
    let mut decide = |gate: &mut Gate, tier, tried: &[Attempt], millis| {
        gate.decide(tier, tried, [key], at(millis), &mut rng)
    };
    let admitting = Signal { lowest_tier: Some(3), shed_tier: Some(3) };
    gate.record_signal(key, admitting, at(0));
    let tried = [Attempt { key, at: at(10) }];
    assert_matches!(decide(&mut gate, 0, &tried, 11), GateDecision::Refuse { .. });
    // The capacity shown before was refused to the top tier, so it isn't available to a lower one
    // either.
    assert_matches!(decide(&mut gate, 1, &[], 12), GateDecision::Refuse { .. });
    gate.record_signal(key, admitting, at(13));
    assert_eq!(decide(&mut gate, 1, &[], 14), GateDecision::Probe(vec![key]));
    assert_eq!(decide(&mut gate, 0, &tried, 15), GateDecision::Probe(vec![key]));
    let later = Gate::SIGNAL_TTL.as_millis() as u64 + 20;
    assert_eq!(decide(&mut gate, 2, &[], later), GateDecision::Offer);
}
