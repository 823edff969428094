//! Tests of the fake engine: prefix cache, batch, faults, reports and orders.

use std::time::Duration;

use egretgate_engine::{Action, Answer, Call, EngineClient, Error, OrderOutcome};
use egretgate_fakes::engine::{Engine, EngineSpec, VersionFaults};
use futures::future::join_all;
use serde_json::json;
use tokio::time::{self, Instant};

/// Largest answer read.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);
const HOUR: Duration = Duration::from_hours(1);
/// Length of an answer that does not complete during a test.
const ENDLESS_TOKENS: usize = 1_000_000;
/// Prompt bytes per block of the cache.
const BLOCK_BYTES: usize = 64;

/// Returns an engine without prefill time, whose steps take 50 microseconds.
const fn fast() -> EngineSpec {
    EngineSpec::new().token_time(Duration::from_micros(50)).prefill_time(Duration::ZERO)
}

async fn start(spec: EngineSpec) -> (Engine, EngineClient) {
    let engine = Engine::start(spec).await.unwrap();
    let client = EngineClient::new(engine.address());
    (engine, client)
}

fn completion(id: &str, prompt: &str, tokens: usize, stream: bool) -> Call {
    let body = json!({ "prompt": prompt, "max_tokens": tokens, "stream": stream });
    Call::new(id, "/v1/completions", body.to_string())
}

/// Runs a short completion and returns its status.
async fn run(client: &EngineClient, prompt: &str) -> Result<u16, Error> {
    let answer = client.complete(completion("short", prompt, 2, false)).await?;
    let status = answer.status;
    answer.collect(MAX_ANSWER_BYTES).await.map(|_| status)
}

/// Starts a stream that does not complete, and returns it after its first token.
async fn stream(client: &EngineClient, id: &str, prompt: &str) -> Answer {
    let mut answer = client.complete(completion(id, prompt, ENDLESS_TOKENS, true)).await.unwrap();
    answer.chunk().await.unwrap().unwrap();
    answer
}

/// Reads an answer to its end; returns the error if it ends early.
async fn finish(mut answer: Answer) -> Result<(), Error> {
    while let Some(chunk) = answer.chunk().await {
        chunk?;
    }
    Ok(())
}

async fn wait_for(condition: impl Fn() -> bool) {
    let met = async {
        while !condition() {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(TIMEOUT, met).await.expect("condition never met");
}

#[tokio::test]
async fn cached_prefixes_are_not_processed_again() {
    struct Case {
        name: &'static str,
        /// Capacity of the cache, in blocks.
        capacity: usize,
        /// Prompts sent in turn; each character stands for one block.
        prompts: &'static [&'static str],
        /// Prompt tokens processed for the last prompt.
        prefill: u64,
    }
    let cases = [
        Case { name: "cold", capacity: 8, prompts: &["abcd"], prefill: 64 },
        Case { name: "again", capacity: 8, prompts: &["abcd", "abcd"], prefill: 1 },
        Case { name: "half", capacity: 8, prompts: &["abcd", "abxy"], prefill: 32 },
        Case { name: "other start", capacity: 8, prompts: &["abcd", "xbcd"], prefill: 64 },
        Case { name: "longer", capacity: 8, prompts: &["ab", "abcd"], prefill: 32 },
        Case { name: "evicted", capacity: 4, prompts: &["abcd", "wxyz", "abcd"], prefill: 64 },
        Case { name: "kept", capacity: 8, prompts: &["abcd", "wxyz", "abcd"], prefill: 1 },
        Case {
            name: "least recently used is evicted",
            capacity: 3,
            prompts: &["a", "b", "c", "a", "d", "a"],
            prefill: 1,
        },
        Case { name: "none", capacity: 0, prompts: &["abcd", "abcd"], prefill: 64 },
    ];
    for Case { name, capacity, prompts, prefill } in cases {
        let (engine, client) = start(fast().cache_blocks(capacity)).await;
        let mut before = 0;
        for blocks in prompts {
            before = engine.counts().prefill;
            let prompt: String =
                blocks.chars().map(|block| block.to_string().repeat(BLOCK_BYTES)).collect();
            assert_eq!(run(&client, &prompt).await, Ok(200), "{name}");
        }
        assert_eq!(engine.counts().prefill - before, prefill, "{name}");
    }
}

#[tokio::test]
async fn requests_that_end_early_waste_their_prefill() {
    struct Case {
        name: &'static str,
        end_early: fn(&Engine, EngineClient),
        drop: bool,
    }
    let cases = [
        Case { name: "caller gone", end_early: |_, _| {}, drop: true },
        Case {
            name: "cancelled",
            end_early: |_, client| {
                tokio::spawn(async move { client.cancel("a").await });
            },
            drop: false,
        },
        Case { name: "cut", end_early: |engine, _| engine.cut(), drop: false },
        Case { name: "crashed", end_early: |engine, _| engine.crash(HOUR), drop: false },
        Case {
            name: "unloaded",
            end_early: |_, client| {
                tokio::spawn(async move { client.order(1, Action::Unload, "v1").await });
            },
            drop: false,
        },
    ];
    for Case { name, end_early, drop } in cases {
        let (engine, client) = start(fast()).await;
        let answer = stream(&client, "a", &"p".repeat(400)).await;
        assert_eq!(engine.batch(), 1, "{name}");
        end_early(&engine, client);
        if drop {
            std::mem::drop(answer);
        } else {
            assert!(finish(answer).await.is_err(), "{name}");
        }
        wait_for(|| engine.batch() == 0).await;
        let counts = engine.counts();
        assert_eq!((counts.unfinished, counts.wasted, counts.finished), (1, 100, 0), "{name}");
    }
}

#[tokio::test]
async fn disconnecting_cancels_a_request_without_streaming() {
    let (engine, client) = start(fast()).await;
    let call = completion("a", "p", ENDLESS_TOKENS, false);
    let call_task = tokio::spawn(async move { client.complete(call).await.map(|_| ()) });
    wait_for(|| engine.batch() == 1).await;
    call_task.abort();
    wait_for(|| engine.batch() == 0).await;
    assert_eq!(engine.counts().unfinished, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_poisonous_requests_crash_the_engine_once() {
    for round in 0..20 {
        let engine = Engine::start(fast().down(HOUR)).await.unwrap();
        engine.set_poison(Some("toxin"));
        // Each request has its own connection, so that some arrive while the engine crashes.
        let calls = (0..40).map(|_| {
            let client = EngineClient::new(engine.address());
            tokio::spawn(async move { run(&client, "some toxin here").await })
        });
        for ended in join_all(calls).await {
            assert!(ended.unwrap().is_err(), "round {round}: no request gets an answer");
        }
        assert_eq!(engine.counts().deaths, 1, "round {round}");
    }
}

#[tokio::test]
async fn a_poisonous_request_ends_the_whole_batch() {
    let (engine, client) = start(fast().down(HOUR)).await;
    engine.set_poison(Some("toxin"));
    let other = stream(&client, "innocent", "p").await;
    let poison = run(&client, "some toxin here").await;
    assert!(matches!(poison, Err(Error::MaybeSent(_))));
    assert!(finish(other).await.is_err());
    assert!(matches!(run(&client, "p").await, Err(Error::NotSent(_))));
    wait_for(|| engine.batch() == 0).await;
    assert_eq!((engine.counts().deaths, engine.counts().unfinished), (1, 2));
}

#[tokio::test]
async fn a_crashed_engine_returns_without_its_cache() {
    let (engine, client) = start(fast()).await;
    let prompt = "p".repeat(BLOCK_BYTES);
    run(&client, &prompt).await.unwrap();
    engine.crash(Duration::from_millis(20));
    let full_prefill = async {
        let mut before = engine.counts().prefill;
        while run(&client, &prompt).await.is_err() || engine.counts().prefill - before < 16 {
            before = engine.counts().prefill;
        }
    };
    time::timeout(TIMEOUT, full_prefill).await.expect("the cache survived the crash");
    assert_eq!(engine.counts().deaths, 1);
}

#[tokio::test]
async fn orders_are_fenced_where_the_engine_checks() {
    struct Case {
        name: &'static str,
        fencing: bool,
        fences: [u64; 3],
        last: OrderOutcome,
    }
    let cases = [
        Case { name: "rising", fencing: true, fences: [1, 2, 3], last: OrderOutcome::Done },
        Case { name: "same", fencing: true, fences: [2, 2, 2], last: OrderOutcome::Done },
        Case { name: "old", fencing: true, fences: [1, 3, 2], last: OrderOutcome::Fenced },
        Case { name: "ignored", fencing: false, fences: [1, 3, 2], last: OrderOutcome::Done },
    ];
    for Case { name, fencing, fences, last } in cases {
        let (engine, client) = start(fast().fencing(fencing)).await;
        let orders = [(Action::Load, "v2"), (Action::Unload, "v1"), (Action::Load, "v3")];
        let mut outcome = OrderOutcome::Done;
        for (fence, (action, version)) in fences.into_iter().zip(orders) {
            outcome = client.order(fence, action, version).await.unwrap();
        }
        assert_eq!(outcome, last, "{name}");
        let loaded: &[&str] = if last == OrderOutcome::Done { &["v2", "v3"] } else { &["v2"] };
        assert_eq!(client.versions().await.unwrap().versions, loaded, "{name}");
        assert_eq!(engine.orders().len(), if last == OrderOutcome::Done { 3 } else { 2 }, "{name}");
    }
}

#[tokio::test]
async fn a_version_runs_only_where_it_is_held() {
    let (engine, client) = start(fast()).await;
    let call = |version| completion("a", "p", 2, false).version(version);
    assert_eq!(client.complete(call("v2")).await.unwrap().status, 404);
    client.order(1, Action::Load, "v2").await.unwrap();
    assert_eq!(client.complete(call("v2")).await.unwrap().status, 200);
    assert_eq!(client.complete(call("")).await.unwrap().status, 200);
    let executions = engine.version_executions();
    assert_eq!((executions["v1"], executions["v2"]), (1, 1));
}

#[tokio::test]
async fn versions_fail_under_their_conditions() {
    struct Case {
        name: &'static str,
        faults: VersionFaults,
        prompts: [&'static str; 4],
        statuses: [u16; 4],
    }
    const ALL: VersionFaults = VersionFaults::new().errors(1.0);
    let cases = [
        Case { name: "never", faults: VersionFaults::new(), prompts: ["a"; 4], statuses: [200; 4] },
        Case { name: "always", faults: ALL, prompts: ["a"; 4], statuses: [500; 4] },
        Case {
            name: "later",
            faults: ALL.after(2),
            prompts: ["a"; 4],
            statuses: [200, 200, 500, 500],
        },
        Case {
            name: "on a marker",
            faults: ALL.marker("brief"),
            prompts: ["a", "a brief", "b", "brief"],
            statuses: [200, 500, 200, 500],
        },
        Case { name: "under load", faults: ALL.above(1), prompts: ["a"; 4], statuses: [200; 4] },
    ];
    for Case { name, faults, prompts, statuses } in cases {
        let (engine, client) = start(fast()).await;
        engine.set_faults("v1", faults);
        for (prompt, status) in prompts.into_iter().zip(statuses) {
            assert_eq!(run(&client, prompt).await, Ok(status), "{name}");
            wait_for(|| engine.batch() == 0).await;
        }
    }
    let (engine, client) = start(fast()).await;
    engine.set_faults("v1", ALL.above(1));
    let _busy = stream(&client, "a", "p").await;
    assert_eq!(run(&client, "a").await, Ok(500), "under load");
}

#[tokio::test]
async fn random_faults_follow_the_seed() {
    let outcomes = async |seed| {
        let (engine, client) = start(fast().seed(seed)).await;
        engine.set_faults("v1", VersionFaults::new().errors(0.5));
        let mut statuses = Vec::new();
        for _ in 0..40 {
            statuses.push(run(&client, "a").await.unwrap());
        }
        statuses
    };
    let first = outcomes(1).await;
    assert_eq!(first, outcomes(1).await);
    assert_ne!(first, outcomes(2).await);
}

#[tokio::test]
async fn reports_lag_and_have_gaps() {
    struct Case {
        name: &'static str,
        spec: EngineSpec,
        running: u32,
        /// Number of cache events published, out of four.
        events: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { name: "at once", spec: fast(), running: 1, events: 4..=4 },
        Case { name: "load lags", spec: fast().load_lag(HOUR), running: 0, events: 4..=4 },
        Case { name: "events lag", spec: fast().event_lag(HOUR), running: 1, events: 0..=0 },
        Case { name: "gaps", spec: fast().event_gaps(0.5).seed(1), running: 1, events: 1..=3 },
    ];
    for Case { name, spec, running, events } in cases {
        let (_engine, client) = start(spec).await;
        let _answer = stream(&client, "a", &"p".repeat(4 * BLOCK_BYTES)).await;
        assert_eq!(client.load().await.unwrap().running, running, "{name}");
        let published = client.events(0).await.unwrap().events;
        assert!(events.contains(&published.len()), "{name}: {}", published.len());
        assert!(published.is_sorted_by(|a, b| a.sequence < b.sequence), "{name}");
        if let Some(last) = published.last() {
            let rest = client.events(last.sequence).await.unwrap();
            assert_eq!((rest.events, rest.head), (vec![*last], last.sequence + 1), "{name}");
        }
    }
}

/// A batch of twice the knee takes about twice as long per token. The clock is paused, so that the
/// times do not depend on the load of the machine.
#[tokio::test(start_paused = true)]
async fn a_batch_past_the_knee_slows_down() {
    let spec = EngineSpec::new().knee(8).prefill_time(Duration::ZERO);
    let (engine, client) = start(spec).await;
    let run_batch = async |size: usize| {
        let start_time = Instant::now();
        let calls = (0..size).map(async |index| {
            let call = completion(&format!("{size}-{index}"), "p", 50, false);
            client.complete(call).await.unwrap().collect(MAX_ANSWER_BYTES).await.unwrap()
        });
        join_all(calls).await;
        start_time.elapsed()
    };
    let at_knee = run_batch(8).await;
    let past_knee = run_batch(16).await;
    assert_eq!(engine.counts().peak_batch, 16);
    assert!(past_knee > at_knee.mul_f64(1.5), "{past_knee:?} against {at_knee:?}");
}

#[tokio::test]
async fn a_frozen_engine_answers_when_it_thaws() {
    let (engine, client) = start(fast()).await;
    engine.freeze(true);
    assert!(!client.alive(Duration::from_millis(50)).await);
    let running = tokio::spawn({
        let client = client.clone();
        async move { run(&client, "p").await }
    });
    tokio::task::yield_now().await;
    engine.freeze(false);
    assert_eq!(running.await.unwrap(), Ok(200));
    assert!(client.alive(TIMEOUT).await);
}
