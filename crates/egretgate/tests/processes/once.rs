//! Keyed calls run at most once, even if processes die or freeze, or messages are lost.
//!
//! The service's own count of executions for each key shows it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use egretgate::core::record::{Body, decode};
use egretgate_fakes::log::{Log, Outage};
use egretgate_fakes::relay::{Block, Relay};
use egretgate_fakes::service::Service;
use futures::{StreamExt, stream};
use tokio::task::JoinHandle;

use crate::caller::{Reply, tag, tag_with_deadline};
use crate::testbed::{Kind, Process, Testbed, wait_until, wait_until_ready};

/// Time without a new record after which the entries are assumed to have read back all of theirs.
const QUIET_TIME: Duration = Duration::from_millis(400);
/// Usual deadline of a call, which it is expected to meet.
const DEADLINE: Duration = Duration::from_secs(3);
/// Longest time until a refusal while the log refuses every call at once.
const IMMEDIATE_TIMEOUT: Duration = Duration::from_secs(3);
/// Latency of a service call during which a fault is injected.
const SLOW_CALL_LATENCY: Duration = Duration::from_millis(1500);

/// Deadline of a call whose entry freezes: shorter than a read of the log by the entry may take.
const FROZEN_DEADLINE: Duration = Duration::from_millis(700);
/// Number of cases that run concurrently.
const CONCURRENT_CASES: usize = 3;

/// Fault that is injected during a call.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The same key is sent through both entries at the same time.
    Together,
    /// The log appends records, but its answers are lost.
    LostAnswers,
    /// The entry is killed after its intent is in the log and before it has read it back.
    EntryKilledBefore,
    /// The entry is killed while the service runs the call.
    EntryKilledAfter,
    /// The side process is killed while the service runs the call.
    SideKilled,
    /// The entry freezes after its intent is in the log, and resumes after the deadline. Two checks
    /// prevent a late run: the call's expiry, and the check right before the offer.
    EntryFrozen,
    /// The log refuses everything for a while.
    Refusing,
    /// The log gives no answers for a while.
    Hanging,
    /// The key is used again with another body.
    Reused,
}

struct Case {
    fault: Fault,
    /// Executions at the end, after the last attempt through a remaining entry.
    executions: u64,
}

const CASES: [Case; 9] = [
    Case { fault: Fault::Together, executions: 1 },
    Case { fault: Fault::LostAnswers, executions: 1 },
    Case { fault: Fault::EntryKilledBefore, executions: 0 },
    Case { fault: Fault::EntryKilledAfter, executions: 1 },
    Case { fault: Fault::SideKilled, executions: 1 },
    Case { fault: Fault::EntryFrozen, executions: 1 },
    Case { fault: Fault::Refusing, executions: 1 },
    Case { fault: Fault::Hanging, executions: 1 },
    Case { fault: Fault::Reused, executions: 1 },
];

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_not_be_repeated_runs_at_most_once() {
    stream::iter(CASES).for_each_concurrent(CONCURRENT_CASES, run_case).await;
}

async fn run_case(case: Case) {
    let cluster = Cluster::start().await;
    let key = format!("{:?}", case.fault);
    let service = cluster.run(case.fault, &key).await;
    assert_eq!(service.executions(&key), case.executions, "{key}");
    assert!(service.keys().values().all(|count| *count <= 1), "{:?}", service.keys());
    assert!(service.ids().values().all(|count| *count <= 1), "{:?}", service.ids());
}

/// One service behind a side process, and two entries. The first entry reaches the log through a
/// relay.
struct Cluster {
    testbed: Testbed,
    service: Service,
    side: Process,
    relay: Relay,
    first: Process,
    second: Process,
}

impl Cluster {
    async fn start() -> Self {
        let testbed = Testbed::start().await;
        let service = Service::start().await.expect("loopback");
        let side = testbed.side("ledger-1", Kind::Plain, service.address());
        let relay = Relay::start(testbed.log.address()).await.expect("loopback");
        let first = testbed.entry_with("entry-1", relay.address());
        let second = testbed.entry("entry-2");
        testbed.declare(&first).await;
        wait_until_ready(second.address("admin")).await;
        let cluster = Self { testbed, service, side, relay, first, second };
        for entry in [cluster.first_address(), cluster.second_address()] {
            let reply = tag_until_run(entry, "warm-up").await;
            assert!(matches!(reply, Reply::Whole(_)), "{reply:?}");
        }
        cluster
    }

    fn first_address(&self) -> SocketAddr {
        self.first.address("callers")
    }

    fn second_address(&self) -> SocketAddr {
        self.second.address("callers")
    }

    async fn run(self, fault: Fault, key: &str) -> Service {
        match fault {
            Fault::Together => self.together(key).await,
            Fault::LostAnswers => self.lost_answers(key).await,
            Fault::EntryKilledBefore => self.entry_killed_before(key).await,
            Fault::EntryKilledAfter => self.entry_killed_after(key).await,
            Fault::SideKilled => self.side_killed(key).await,
            Fault::EntryFrozen => self.entry_frozen(key).await,
            Fault::Refusing => self.log_out(key, Outage::Refuse).await,
            Fault::Hanging => self.log_out(key, Outage::Hang).await,
            Fault::Reused => self.reused(key).await,
        }
    }

    async fn together(self, key: &str) -> Service {
        for round in 0..8 {
            let key = if round == 0 { key.to_owned() } else { format!("{key}-{round}") };
            let calls = [
                self.first_address(),
                self.second_address(),
                self.first_address(),
                self.second_address(),
            ]
            .map(|entry| spawn_tag(entry, &key, DEADLINE));
            let mut replies = Vec::new();
            for call in calls {
                replies.push(call.await.expect("no panic"));
            }
            assert!(matches!(replies[0], Reply::Whole(_)), "{key}: {replies:?}");
            assert!(replies.iter().all(|other| *other == replies[0]), "{key}: {replies:?}");
        }
        self.service
    }

    async fn lost_answers(self, key: &str) -> Service {
        for round in 0..4 {
            let key = if round == 0 { key.to_owned() } else { format!("{key}-{round}") };
            self.testbed.log.lose_answers(3);
            let calls = [self.first_address(), self.second_address()]
                .map(|entry| spawn_tag(entry, &key, 2 * DEADLINE));
            for call in calls {
                let reply = call.await.expect("no panic");
                assert!(matches!(reply, Reply::Whole(_)), "{key}: {reply:?}");
            }
        }
        self.service
    }

    async fn entry_killed_before(self, key: &str) -> Service {
        let call = self.start_with_unread_intent(key, DEADLINE).await;
        let second = self.second_address();
        drop(self.first);
        assert_eq!(call.await.expect("no panic"), Reply::Broken);
        self.relay.set_block(Block::None);
        let again = tag_with_deadline(second, key, key, DEADLINE).await;
        assert_eq!(again.code(), "outcome_unknown", "{again:?}");
        self.service
    }

    async fn entry_killed_after(self, key: &str) -> Service {
        let call = self.start_slow_call(key).await;
        let second = self.second_address();
        drop(self.first);
        assert_eq!(call.await.expect("no panic"), Reply::Broken);
        for _ in 0..2 {
            let again = tag_with_deadline(second, key, key, DEADLINE).await;
            assert_eq!(again.code(), "outcome_unknown", "{again:?}");
        }
        self.service
    }

    async fn side_killed(self, key: &str) -> Service {
        let call = self.start_slow_call(key).await;
        let (first, second) = (self.first_address(), self.second_address());
        drop(self.side);
        let reply = call.await.expect("no panic");
        assert!(matches!(&reply, Reply::Error { ran, .. } if ran != "no"), "{reply:?}");
        let _side = self.testbed.side("ledger-2", Kind::Plain, self.service.address());
        for entry in [second, first] {
            let again = tag_with_deadline(entry, key, key, DEADLINE).await;
            assert_eq!(again.code(), "outcome_unknown", "{again:?}");
        }
        let other = tag_until_run(second, "another").await;
        assert!(matches!(other, Reply::Whole(_)), "{other:?}");
        self.service
    }

    async fn entry_frozen(self, key: &str) -> Service {
        for round in 0..6 {
            let key = if round == 0 { key.to_owned() } else { format!("{key}-{round}") };
            let call = self.start_with_unread_intent(&key, FROZEN_DEADLINE).await;
            self.first.freeze();
            self.relay.set_block(Block::None);
            let concurrent =
                tag_with_deadline(self.second_address(), &key, &key, FROZEN_DEADLINE * 3 / 2).await;
            assert_eq!(concurrent.code(), "outcome_unknown", "{concurrent:?}");
            self.first.signal("CONT");
            let reply = call.await.expect("no panic");
            assert!(reply.is_not_run(), "{reply:?}");
            assert_eq!(self.service.executions(&key), 0, "the deadline had passed");
            let again = tag_until_run(self.second_address(), &key).await;
            assert!(matches!(again, Reply::Whole(_)), "{again:?}");
        }
        self.service
    }

    async fn log_out(self, key: &str, outage: Outage) -> Service {
        self.testbed.log.set_outage(outage);
        for entry in [
            self.first_address(),
            self.second_address(),
            self.first_address(),
            self.second_address(),
        ] {
            let begin = Instant::now();
            let reply = tag_with_deadline(entry, key, key, 4 * DEADLINE).await;
            assert!(reply.is_not_run() && reply.has_retry_after(), "{outage:?}: {reply:?}");
            assert_eq!(self.service.executions(key), 0, "{outage:?}: {reply:?}");
            if outage == Outage::Refuse {
                assert!(begin.elapsed() < IMMEDIATE_TIMEOUT, "{:?}: {reply:?}", begin.elapsed());
            }
        }
        self.testbed.log.set_outage(Outage::None);
        let reply = tag_until_run(self.first_address(), key).await;
        assert!(matches!(reply, Reply::Whole(_)), "{reply:?}");
        let again = tag_until_run(self.second_address(), key).await;
        assert_eq!(again, reply);
        self.service
    }

    async fn reused(self, key: &str) -> Service {
        self.service.set_latency(SLOW_CALL_LATENCY);
        let call = spawn_tag(self.first_address(), key, 2 * DEADLINE);
        wait_until("the call runs", || self.service.executions(key) == 1).await;
        for entry in [self.first_address(), self.second_address()] {
            let other = tag_with_deadline(entry, key, "other", DEADLINE).await;
            assert_eq!(other.code(), "key_reused", "{other:?}");
        }
        let reply = call.await.expect("no panic");
        assert!(matches!(reply, Reply::Whole(_)), "{reply:?}");
        for entry in [self.first_address(), self.second_address()] {
            let other = tag_with_deadline(entry, key, "other", DEADLINE).await;
            assert_eq!(other.code(), "key_reused", "{other:?}");
            assert_eq!(tag(entry, key).await, reply);
        }
        self.service
    }

    /// Starts a call through the first entry and returns while the service runs it.
    async fn start_slow_call(&self, key: &str) -> JoinHandle<Reply> {
        self.service.set_latency(SLOW_CALL_LATENCY);
        let call = spawn_tag(self.first_address(), key, 2 * DEADLINE);
        wait_until("the call runs", || self.service.executions(key) == 1).await;
        call
    }

    /// Waits until no record is appended any more. An outcome that is not read back yet would delay
    /// the append of the next intent.
    async fn wait_until_quiet(&self) {
        let end = Instant::now() + 5 * DEADLINE;
        let mut head = self.testbed.log.head();
        loop {
            tokio::time::sleep(QUIET_TIME).await;
            let now = self.testbed.log.head();
            if now == head {
                return;
            }
            assert!(Instant::now() < end, "records are still appended");
            head = now;
        }
    }

    /// Starts a call through the first entry. Returns once its intent is in the log, with the
    /// entry's reads of the log blocked.
    async fn start_with_unread_intent(&self, key: &str, deadline: Duration) -> JoinHandle<Reply> {
        self.wait_until_quiet().await;
        let before = count_intents(&self.testbed.log);
        self.relay.set_block(Block::FromTarget);
        let call = spawn_tag(self.first_address(), key, deadline);
        wait_until("the intent is in the log", || count_intents(&self.testbed.log) > before).await;
        assert_eq!(self.service.executions(key), 0, "the intent is not read back");
        call
    }
}

fn spawn_tag(entry: SocketAddr, key: &str, deadline: Duration) -> JoinHandle<Reply> {
    let key = key.to_owned();
    tokio::spawn(async move { tag_with_deadline(entry, &key, &key, deadline).await })
}

/// Repeats the call until a reply says anything other than "not run", or time runs out.
async fn tag_until_run(entry: SocketAddr, key: &str) -> Reply {
    let end = Instant::now() + 5 * DEADLINE;
    loop {
        let reply = tag(entry, key).await;
        if !reply.is_not_run() || Instant::now() >= end {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the number of intents in the log.
fn count_intents(log: &Log) -> usize {
    let count = |data: &bytes::Bytes| match decode(data).ok().and_then(|record| record.body) {
        Some(Body::CallGroup(calls)) => calls.intents.len(),
        _ => 0,
    };
    log.records().iter().map(count).sum()
}
