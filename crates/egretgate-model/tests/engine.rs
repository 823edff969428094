//! Steps of the model engine: durations, events, preemption and removal.

use std::time::Duration;

use egretgate_model::engine::{Engine, Job, Signal};
use egretgate_model::site::EngineSpec;

fn spec() -> EngineSpec {
    EngineSpec {
        step_ms: 4.0,
        slot_ms: 1.0,
        prefill_per_ms: 100.0,
        chunk: 1_000,
        kv_tokens: 10_000,
        event_tokens: 2,
        speeds: vec![1.0],
    }
}

/// Steps an engine until it has nothing to do. Returns the duration and signals of each step.
fn run_to_end(engine: &mut Engine) -> Vec<(u64, Vec<Signal>)> {
    let mut steps = Vec::new();
    while let Some(time) = engine.begin_step(1.0) {
        steps.push((time.as_millis() as u64, engine.end_step()));
        assert!(steps.len() < 10_000, "the engine never becomes idle");
    }
    steps
}

#[test]
fn one_request_is_prefilled_in_chunks_and_answered_in_events() {
    let mut engine = Engine::new(spec(), 2, 1.0);
    engine.push(Job::new(7, 1_500, 3));
    let steps = run_to_end(&mut engine);
    let expected = [
        (14, vec![]),
        (9, vec![]),
        (4, vec![]),
        (4, vec![Signal::Event(7)]),
        (4, vec![Signal::Event(7), Signal::Done(7)]),
    ];
    assert_eq!(steps, expected);
}

#[test]
fn step_durations() {
    struct Case {
        name: &'static str,
        requests: u64,
        speed: f64,
        slowness: f64,
        ms: f64,
    }
    const CASES: [Case; 4] = [
        Case { name: "one", requests: 1, speed: 1.0, slowness: 1.0, ms: 5.0 },
        Case { name: "two", requests: 2, speed: 1.0, slowness: 1.0, ms: 7.0 },
        Case { name: "more than slots", requests: 5, speed: 1.0, slowness: 1.0, ms: 9.0 },
        Case { name: "a slow one", requests: 1, speed: 2.0, slowness: 3.0, ms: 30.0 },
    ];
    for case in CASES {
        let mut engine = Engine::new(spec(), 3, case.speed);
        (0..case.requests).for_each(|id| engine.push(Job::new(id, 100, 1)));
        let time = engine.begin_step(case.slowness);
        assert_eq!(time, Some(Duration::from_secs_f64(case.ms / 1_000.0)), "{}", case.name);
        assert_eq!(engine.running(), case.requests.min(3) as usize, "{}", case.name);
    }
}

#[test]
fn the_newest_request_is_preempted_when_memory_runs_out_and_all_end() {
    let mut engine = Engine::new(EngineSpec { kv_tokens: 250, ..spec() }, 3, 1.0);
    for id in 0..3 {
        engine.push(Job::new(id, 50, 60));
    }
    let steps = run_to_end(&mut engine);
    let done = steps.iter().flat_map(|(_, signals)| signals).filter_map(|signal| match signal {
        Signal::Done(id) => Some(*id),
        Signal::Event(_) => None,
    });
    assert_eq!(done.collect::<Vec<_>>(), [0, 1, 2]);
    assert!(engine.preempted() > 0);
}

#[test]
fn a_removed_request_leaves_nothing() {
    let mut engine = Engine::new(spec(), 1, 1.0);
    engine.push(Job::new(1, 10, 10));
    engine.push(Job::new(2, 10, 10));
    assert!(engine.begin_step(1.0).is_some());
    engine.remove(1);
    engine.remove(2);
    assert!(engine.end_step().is_empty());
    assert_eq!((engine.running(), engine.waiting()), (0, 0));
}
