//! Links and answers that are cut, blocked or delayed: callers get a byte-exact answer or an
//! explicit error.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate_fakes::engine::{Engine, EngineSpec, expected_completion};
use egretgate_fakes::relay::{Block, Relay};
use tokio::task::{JoinHandle, JoinSet};

use crate::caller::{Reply, complete};
use crate::testbed::{Kind, Process, Testbed, wait_until};

/// Number of concurrent requests.
const REQUESTS: usize = 12;
/// Length of an answer that streams for more than half a second, in tokens.
const TOKENS: usize = 300;
/// Length of an answer that streams through many cuts, in tokens.
const LONG_TOKENS: usize = 1500;
/// Length of an answer that is sent whole without further credit, in tokens: it has fewer chunks
/// than the credit window.
const SHORT_TOKENS: usize = 40;
/// Factor by which the engine is slowed down, so that a short answer takes longer than the requests
/// need to start.
const SLOWDOWN: f64 = 10.0;

/// Fault of the link while answers stream over it.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The connection is closed this many times in a row; it can be reopened at once.
    Cut(u32),
    /// Down until the engine has finished, but not for longer than answers are kept.
    DownUntilDone,
    /// Down for longer than an answer can be recovered.
    Down,
    /// Nothing is forwarded to the side process for a while.
    BlockRequests,
    /// Nothing is forwarded to the entry for a while.
    BlockAnswers,
    /// Everything is delayed.
    Delay,
}

/// Replies that callers may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AllowedReplies {
    /// Every answer is whole.
    Whole,
    /// Every request that was run is answered whole.
    WholeIfRun,
    /// Every reply is a whole answer or an explicit error.
    WholeOrError,
}

struct Case {
    fault: Fault,
    tokens: usize,
    allowed_replies: AllowedReplies,
}

const CASES: [Case; 7] = [
    Case {
        fault: Fault::DownUntilDone,
        tokens: SHORT_TOKENS,
        allowed_replies: AllowedReplies::WholeIfRun,
    },
    Case { fault: Fault::Cut(4), tokens: TOKENS, allowed_replies: AllowedReplies::Whole },
    Case {
        fault: Fault::Cut(30),
        tokens: LONG_TOKENS,
        allowed_replies: AllowedReplies::WholeIfRun,
    },
    Case { fault: Fault::Down, tokens: TOKENS, allowed_replies: AllowedReplies::WholeOrError },
    Case { fault: Fault::BlockRequests, tokens: TOKENS, allowed_replies: AllowedReplies::Whole },
    Case { fault: Fault::BlockAnswers, tokens: TOKENS, allowed_replies: AllowedReplies::Whole },
    Case { fault: Fault::Delay, tokens: TOKENS, allowed_replies: AllowedReplies::Whole },
];

#[tokio::test(flavor = "multi_thread")]
async fn answers_over_a_faulty_link_are_whole_or_a_plain_error() {
    for Case { fault, tokens, allowed_replies } in CASES {
        let cluster = Cluster::start().await;
        let calls = cluster.send_requests(REQUESTS, tokens);
        wait_until("answers stream", || cluster.engine.counts().executions > 0).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.inject(fault).await;
        for (prompt, reply) in calls.join_all().await {
            check_reply(&format!("{fault:?}: {prompt}"), &prompt, tokens, &reply);
            let allowed = match allowed_replies {
                AllowedReplies::Whole => reply.text().is_some(),
                AllowedReplies::WholeIfRun => reply.text().is_some() || reply.is_not_run(),
                AllowedReplies::WholeOrError => true,
            };
            assert!(allowed, "{fault:?}: {prompt}: {reply:?}");
        }
        cluster.assert_run_once(fault);
        cluster.wait_until_serving().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_side_process_leaves_true_replies_to_waiting_callers() {
    let mut cluster = Cluster::start().await;
    cluster.engine.set_step_factor(20.0);
    let calls = cluster.send_requests(10 * REQUESTS, TOKENS);
    wait_until("the engine runs some", || cluster.engine.counts().executions > 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.side.take();
    let mut not_run = 0;
    for (prompt, reply) in calls.join_all().await {
        check_reply("killed", &prompt, TOKENS, &reply);
        assert!(reply.text().is_none(), "a slow answer can't be whole: {prompt}");
        not_run += u64::from(reply.is_not_run());
    }
    let ran = cluster.engine.counts().executions;
    let sent = 10 * REQUESTS as u64;
    assert!(not_run + ran <= sent, "{not_run} reported as not run, {ran} run, of {sent}");
    cluster.assert_run_once("killed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_the_engine_cuts_ends_in_an_error_event() {
    let cluster = Cluster::start().await;
    cluster.engine.cut_streams(REQUESTS as u64, 20);
    for (prompt, reply) in cluster.send_requests(REQUESTS, TOKENS).join_all().await {
        assert_eq!(reply.code(), "answer_cut", "{prompt}: {reply:?}");
        assert!(!reply.is_not_run(), "{prompt}: {reply:?}");
    }
    cluster.assert_run_once("engine cuts");
    cluster.wait_until_serving().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_its_request() {
    let cluster = Cluster::start().await;
    let entry = cluster.caller_address();
    let before = cluster.engine.counts();
    let calls: Vec<JoinHandle<Reply>> = (0..REQUESTS)
        .map(|index| {
            tokio::spawn(async move { complete(entry, &format!("gone {index}"), 20_000).await })
        })
        .collect();
    wait_until("all run", || cluster.engine.batch() > 0 && cluster.engine.counts().tokens > 200)
        .await;
    for call in &calls {
        call.abort();
    }
    wait_until("the engine is free", || cluster.engine.batch() == 0).await;
    let counts = cluster.engine.counts();
    assert_eq!(counts.finished, before.finished, "{counts:?}");
    assert_eq!(counts.unfinished, counts.executions - before.executions, "{counts:?}");
    cluster.wait_until_serving().await;
}

/// One engine behind a side process, which the entry reaches through a relay.
struct Cluster {
    _testbed: Testbed,
    engine: Engine,
    side: Option<Process>,
    relay: Relay,
    entry: Process,
}

impl Cluster {
    async fn start() -> Self {
        let testbed = Testbed::start().await;
        let engine = Engine::start(EngineSpec::new()).await.expect("loopback");
        let side = Testbed::unlisted_side("writer-1", Kind::Engine, engine.address(), "v1");
        let relay = Relay::start(side.address("link")).await.expect("loopback");
        testbed.list("writer-1", Kind::Engine, relay.address());
        let entry = testbed.entry("entry-1");
        testbed.declare(&entry).await;
        let cluster = Self { _testbed: testbed, engine, side: Some(side), relay, entry };
        cluster.wait_until_serving().await;
        cluster
    }

    fn caller_address(&self) -> SocketAddr {
        self.entry.address("callers")
    }

    fn send_requests(&self, requests: usize, tokens: usize) -> JoinSet<(String, Reply)> {
        let mut calls = JoinSet::new();
        let entry = self.caller_address();
        for index in 0..requests {
            calls.spawn(async move {
                let prompt = format!("report {index} of the bench");
                let reply = complete(entry, &prompt, tokens).await;
                (prompt, reply)
            });
        }
        calls
    }

    async fn inject(&self, fault: Fault) {
        match fault {
            Fault::Cut(times) => {
                for _ in 0..times {
                    self.relay.cut();
                    tokio::time::sleep(Duration::from_millis(80)).await;
                }
            }
            Fault::DownUntilDone => {
                self.engine.set_step_factor(SLOWDOWN);
                wait_until("some run", || self.engine.batch() > 0).await;
                self.relay.set_down(true);
                wait_until("the engine is done", || self.engine.batch() == 0).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                self.relay.set_down(false);
                self.engine.set_step_factor(1.0);
            }
            Fault::Down => {
                self.relay.set_down(true);
                tokio::time::sleep(Duration::from_secs(4)).await;
                self.relay.set_down(false);
            }
            Fault::BlockRequests => self.block(Block::ToTarget).await,
            Fault::BlockAnswers => self.block(Block::FromTarget).await,
            Fault::Delay => self.relay.set_delay(Duration::from_millis(60)),
        }
    }

    async fn block(&self, block: Block) {
        self.relay.set_block(block);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        self.relay.set_block(Block::None);
    }

    fn assert_run_once(&self, fault: impl std::fmt::Debug) {
        let ids = self.engine.ids();
        assert!(ids.values().all(|count| *count == 1), "{fault:?}: {ids:?}");
        let digests = self.engine.digests();
        assert!(digests.values().all(|count| *count == 1), "{fault:?}: {digests:?}");
    }

    /// Waits until a new request is answered whole.
    async fn wait_until_serving(&self) {
        for attempt in 0..200 {
            let prompt = format!("again {attempt}");
            let reply = complete(self.caller_address(), &prompt, 4).await;
            if reply.text() == Some(expected_completion(&prompt, 4)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("nothing is served");
    }
}

/// Fails unless the reply is the byte-exact answer or an explicit error.
fn check_reply(context: &str, prompt: &str, tokens: usize, reply: &Reply) {
    match reply.text() {
        Some(text) => assert_eq!(text, expected_completion(prompt, tokens), "{context}"),
        None => assert!(!reply.code().is_empty(), "{context}: {reply:?}"),
    }
}
