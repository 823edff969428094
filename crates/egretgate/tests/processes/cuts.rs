//! Links and answers that are cut, blocked and delayed: a byte-exact answer or a plain error.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate_fakes::engine::{Engine, EngineSpec, expected_completion};
use egretgate_fakes::relay::{Block, Relay};
use tokio::task::{JoinHandle, JoinSet};

use crate::bed::{Bed, Kind, Process, until};
use crate::caller::{Told, complete};

/// Requests under way at once.
const REQUESTS: usize = 12;
/// Length of each answer, in tokens: over half a second of stream.
const TOKENS: usize = 300;
/// Length of an answer that outlasts many cuts, in tokens.
const LONG: usize = 1500;
/// Length of an answer that is under way as a whole: below the credit for a stream, in chunks.
const SHORT: usize = 40;
/// Slowness at which a short answer takes longer than the requests need to start.
const SLOW: f64 = 10.0;

/// What happens to the link while answers stream over it.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Closed, and taken again at once, so many times in a row.
    Cut(u32),
    /// Closed until the engine has finished, but not for longer than answers are kept.
    Ended,
    /// Closed for longer than an answer can be found again.
    Down,
    /// Nothing passes towards the side process for a while.
    BlockForth,
    /// Nothing passes towards the entry for a while.
    BlockBack,
    /// Everything is late.
    Delay,
}

/// What callers may be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answers {
    /// Every answer is whole.
    Whole,
    /// Every request that was run is answered whole.
    WholeIfRun,
    /// Every answer is whole or a plain error.
    WholeOrError,
}

struct Case {
    fault: Fault,
    tokens: usize,
    answers: Answers,
}

const CASES: [Case; 7] = [
    Case { fault: Fault::Ended, tokens: SHORT, answers: Answers::WholeIfRun },
    Case { fault: Fault::Cut(4), tokens: TOKENS, answers: Answers::Whole },
    Case { fault: Fault::Cut(30), tokens: LONG, answers: Answers::WholeIfRun },
    Case { fault: Fault::Down, tokens: TOKENS, answers: Answers::WholeOrError },
    Case { fault: Fault::BlockForth, tokens: TOKENS, answers: Answers::Whole },
    Case { fault: Fault::BlockBack, tokens: TOKENS, answers: Answers::Whole },
    Case { fault: Fault::Delay, tokens: TOKENS, answers: Answers::Whole },
];

#[tokio::test(flavor = "multi_thread")]
async fn answers_over_a_faulty_link_are_whole_or_a_plain_error() {
    for Case { fault, tokens, answers } in CASES {
        let bench = Bench::start().await;
        let calls = bench.ask(REQUESTS, tokens);
        until("answers stream", || bench.engine.counts().executions > 0).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        bench.suffer(fault).await;
        for (prompt, told) in calls.join_all().await {
            judge(&format!("{fault:?}: {prompt}"), &prompt, tokens, &told);
            let allowed = match answers {
                Answers::Whole => told.text().is_some(),
                Answers::WholeIfRun => told.text().is_some() || told.is_not_run(),
                Answers::WholeOrError => true,
            };
            assert!(allowed, "{fault:?}: {prompt}: {told:?}");
        }
        bench.no_run_twice(fault);
        bench.serves_again().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_side_process_leaves_true_answers_to_those_that_wait() {
    let mut bench = Bench::start().await;
    bench.engine.set_step_factor(20.0);
    let calls = bench.ask(10 * REQUESTS, TOKENS);
    until("the engine runs some", || bench.engine.counts().executions > 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    bench.side.take();
    let mut not_run = 0;
    for (prompt, told) in calls.join_all().await {
        judge("killed", &prompt, TOKENS, &told);
        assert!(told.text().is_none(), "a slow answer can't be whole: {prompt}");
        not_run += u64::from(told.is_not_run());
    }
    let ran = bench.engine.counts().executions;
    let asked = 10 * REQUESTS as u64;
    assert!(not_run + ran <= asked, "{not_run} told as not run, {ran} were run of {asked}");
    bench.no_run_twice("killed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_the_engine_cuts_ends_in_an_error_event() {
    let bench = Bench::start().await;
    bench.engine.cut_streams(REQUESTS as u64, 20);
    for (prompt, told) in bench.ask(REQUESTS, TOKENS).join_all().await {
        assert_eq!(told.code(), "answer_cut", "{prompt}: {told:?}");
        assert!(!told.is_not_run(), "{prompt}: {told:?}");
    }
    bench.no_run_twice("engine cuts");
    bench.serves_again().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_cancels_upstream() {
    let bench = Bench::start().await;
    let entry = bench.callers();
    let before = bench.engine.counts();
    let calls: Vec<JoinHandle<Told>> = (0..REQUESTS)
        .map(|index| {
            tokio::spawn(async move { complete(entry, &format!("gone {index}"), 20_000).await })
        })
        .collect();
    until("all run", || bench.engine.batch() > 0 && bench.engine.counts().tokens > 200).await;
    for call in &calls {
        call.abort();
    }
    until("the engine is free", || bench.engine.batch() == 0).await;
    let counts = bench.engine.counts();
    assert_eq!(counts.finished, before.finished, "{counts:?}");
    assert_eq!(counts.unfinished, counts.executions - before.executions, "{counts:?}");
    bench.serves_again().await;
}

/// One engine behind a side process, which the entry reaches by a relay.
struct Bench {
    _bed: Bed,
    engine: Engine,
    side: Option<Process>,
    relay: Relay,
    entry: Process,
}

impl Bench {
    async fn start() -> Self {
        let bed = Bed::start().await;
        let engine = Engine::start(EngineSpec::new()).await.expect("loopback");
        let side = Bed::unlisted_side("writer-1", Kind::Engine, engine.address(), "v1");
        let relay = Relay::start(side.address("link")).await.expect("loopback");
        bed.list("writer-1", Kind::Engine, relay.address());
        let entry = bed.entry("entry-1");
        bed.declare(&entry).await;
        let bench = Self { _bed: bed, engine, side: Some(side), relay, entry };
        bench.serves_again().await;
        bench
    }

    fn callers(&self) -> SocketAddr {
        self.entry.address("callers")
    }

    fn ask(&self, requests: usize, tokens: usize) -> JoinSet<(String, Told)> {
        let mut calls = JoinSet::new();
        let entry = self.callers();
        for index in 0..requests {
            calls.spawn(async move {
                let prompt = format!("report {index} of the bench");
                let told = complete(entry, &prompt, tokens).await;
                (prompt, told)
            });
        }
        calls
    }

    async fn suffer(&self, fault: Fault) {
        match fault {
            Fault::Cut(times) => {
                for _ in 0..times {
                    self.relay.cut();
                    tokio::time::sleep(Duration::from_millis(80)).await;
                }
            }
            Fault::Ended => {
                self.engine.set_step_factor(SLOW);
                until("some run", || self.engine.batch() > 0).await;
                self.relay.set_down(true);
                until("the engine is done", || self.engine.batch() == 0).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                self.relay.set_down(false);
                self.engine.set_step_factor(1.0);
            }
            Fault::Down => {
                self.relay.set_down(true);
                tokio::time::sleep(Duration::from_secs(4)).await;
                self.relay.set_down(false);
            }
            Fault::BlockForth => self.block(Block::ToTarget).await,
            Fault::BlockBack => self.block(Block::FromTarget).await,
            Fault::Delay => self.relay.set_delay(Duration::from_millis(60)),
        }
    }

    async fn block(&self, block: Block) {
        self.relay.set_block(block);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        self.relay.set_block(Block::None);
    }

    fn no_run_twice(&self, fault: impl std::fmt::Debug) {
        let ids = self.engine.ids();
        assert!(ids.values().all(|count| *count == 1), "{fault:?}: {ids:?}");
        let digests = self.engine.digests();
        assert!(digests.values().all(|count| *count == 1), "{fault:?}: {digests:?}");
    }

    /// Waits until a new request is answered whole.
    async fn serves_again(&self) {
        for attempt in 0..200 {
            let prompt = format!("again {attempt}");
            let told = complete(self.callers(), &prompt, 4).await;
            if told.text() == Some(expected_completion(&prompt, 4)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("nothing is served");
    }
}

/// Fails unless the answer is byte-exact or a plain error.
fn judge(what: &str, prompt: &str, tokens: usize, told: &Told) {
    match told.text() {
        Some(text) => assert_eq!(text, expected_completion(prompt, tokens), "{what}"),
        None => assert!(!told.code().is_empty(), "{what}: {told:?}"),
    }
}
