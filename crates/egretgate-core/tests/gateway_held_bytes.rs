//! What an entry may hold for callers that read slowly, beside others.

use egretgate_core::gateway::held_bytes::{AnswerUse, FLOOR_BYTES, HeldBytes, HolderKey};

/// Budget in all, in bytes.
const BUDGET: usize = 40 << 20;
/// Size of a frame, in bytes.
const FRAME: usize = 16 << 10;
/// Largest answer that is read whole, in bytes.
const WHOLE: usize = 1 << 20;

/// Reads frames for every key in turn until none has room; returns what each holds.
fn fill(held: &mut HeldBytes, keys: &[HolderKey], most: usize) -> Vec<usize> {
    loop {
        let mut read = false;
        for &key in keys {
            if held.held_by(key) < most && held.has_room(key) {
                held.add(key, FRAME);
                read = true;
            }
        }
        if !read {
            return keys.iter().map(|&key| held.held_by(key)).collect();
        }
    }
}

struct Case {
    name: &'static str,
    /// Callers that read nothing of streams without end.
    slow: usize,
    /// Least bytes that each may hold.
    least: usize,
    /// Most bytes that each may hold.
    most: usize,
    /// Whether a new request of a usual size is admitted beside them.
    admits: bool,
}

const CASES: [Case; 4] = [
    Case { name: "alone", slow: 1, least: BUDGET / 8, most: BUDGET / 2, admits: true },
    Case { name: "a few", slow: 8, least: WHOLE, most: BUDGET / 8, admits: true },
    Case { name: "many", slow: 100, least: FLOOR_BYTES, most: WHOLE, admits: true },
    Case {
        name: "too many",
        slow: 1_000,
        least: FLOOR_BYTES,
        most: 2 * FLOOR_BYTES,
        admits: false,
    },
];

#[test]
fn slow_readers_share_the_budget_and_a_fast_one_is_never_behind_them() {
    for case in CASES {
        let mut held = HeldBytes::new(BUDGET);
        let fast = held.admit(0).expect("empty");
        let mut keys = Vec::new();
        // Those that come once the budget is nearly used up are refused.
        while keys.len() < case.slow {
            let Some(key) = held.admit(0) else { break };
            keys.push(key);
        }
        let shares = fill(&mut held, &keys, usize::MAX);
        for share in shares {
            let within = (case.least..=case.most + FRAME).contains(&share);
            assert!(within, "{}: {share}", case.name);
        }
        assert_eq!(held.admits(4 << 10), case.admits, "{}: {}", case.name, held.total());
        // A fast caller takes each frame before the next one is read.
        for _ in 0..100 {
            assert!(held.has_room(fast), "{}", case.name);
            held.add(fast, FRAME);
            held.remove(fast, FRAME);
        }
    }
}

#[test]
fn admission_keeps_the_total_within_the_budget() {
    let mut held = HeldBytes::new(BUDGET);
    let mut keys = Vec::new();
    // Callers come one by one, each with a body, and none reads.
    for body in [1 << 10, 1 << 20, 4 << 20].into_iter().cycle().take(3_000) {
        let Some(key) = held.admit(body) else { continue };
        held.add(key, body);
        keys.push(key);
        fill(&mut held, &keys, usize::MAX);
        assert!(held.total() <= BUDGET + keys.len() * FLOOR_BYTES, "{} holders", keys.len());
    }
    assert!(!held.admits(FLOOR_BYTES) && held.is_tight());
    for key in keys {
        held.close(key);
        held.remove(key, held.held_by(key));
    }
    assert_eq!((held.total(), held.holders(), held.is_tight()), (0, 0, false));
}

#[test]
fn answers_that_are_read_whole_end_one_after_the_other_however_many_there_are() {
    let mut held = HeldBytes::new(BUDGET);
    let keys: Vec<_> = (0..200).map(|_| held.admit(0).expect("empty")).collect();
    for &key in &keys {
        held.set_use(key, AnswerUse::Whole);
    }
    let mut left = keys;
    while !left.is_empty() {
        fill(&mut held, &left, WHOLE);
        assert!(held.total() <= BUDGET + WHOLE, "{}", held.total());
        let before = left.len();
        left.retain(|&key| {
            let is_whole = held.held_by(key) >= WHOLE;
            if is_whole {
                held.close(key);
                held.remove(key, held.held_by(key));
            }
            !is_whole
        });
        assert!(left.len() < before, "{before} answers wait for each other");
    }
}
