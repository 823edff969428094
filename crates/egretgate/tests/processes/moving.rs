//! A bad version is taken back, even if the entry that holds the move's lease dies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use egretgate::operator::{Client, proto};
use egretgate_fakes::engine::{Engine, EngineSpec, VersionFaults};
use tokio::task::JoinSet;

use crate::caller::complete;
use crate::testbed::{Kind, Testbed};

/// Time from the start of the move to its end: longer than one cycle of the bursts in which a small
/// share is sent.
const MOVE_TIME: Duration = Duration::from_secs(75);
/// Time after the end by which the move must have its verdict.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of callers, each with one request at a time.
const CALLERS: usize = 8;
/// Maximum share of a route's traffic that a bad version may get.
const MAX_SHARE: f64 = 0.05;

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_taken_back_though_an_entry_dies() {
    let testbed = Testbed::start().await;
    let old = Engine::start(EngineSpec::new()).await.expect("loopback");
    let new = Engine::start(EngineSpec::new().version("v2")).await.expect("loopback");
    new.set_faults("v2", VersionFaults::new().errors(1.0));
    let _old = testbed.side("writer-1", Kind::Engine, old.address());
    let _new = testbed.side_with_version("writer-2", Kind::Engine, new.address(), "v2");
    let first = testbed.entry("entry-1");
    let second = testbed.entry("entry-2");
    testbed.declare(&first).await;
    begin_move(first.address("operators")).await;

    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        callers.spawn(send_requests(second.address("callers"), index, Arc::clone(&stop)));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    drop(first);
    let state = wait_for_verdict(second.address("operators")).await;
    stop.store(true, Ordering::Relaxed);
    callers.join_all().await;

    assert_eq!(state.verdict, "taken back", "{state:?}");
    assert!(!state.evidence.is_empty(), "{state:?}");
    let (bad, good) = (new.counts().executions, old.counts().executions);
    let share = bad as f64 / (bad + good) as f64;
    assert!(share <= MAX_SHARE, "{bad} of {} requests met the bad version", bad + good);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_cancels_a_move() {
    let testbed = Testbed::start().await;
    let entry = testbed.entry("entry-1");
    testbed.declare(&entry).await;
    let operators = entry.address("operators");
    begin_move(operators).await;
    let mut client = Client::connect(operators, None).await.expect("serving");
    let author = proto::Author { operator: "tests".into(), reason: "second thoughts".into() };
    let cancel = || {
        let cancel = proto::MoveCancel { route: "reports".into() };
        proto::move_request::Action::Cancel(cancel)
    };
    let reply = client.moves(Some(author.clone()), cancel()).await.expect("cancelled");
    assert_eq!(reply.moves.len(), 1);
    assert_eq!(reply.moves[0].verdict, "taken back");
    assert!(reply.moves[0].evidence.contains("second thoughts"), "{reply:?}");
    assert!(client.moves(Some(author), cancel()).await.is_err(), "nothing is left to cancel");
}

async fn send_requests(entry: SocketAddr, index: usize, stop: Arc<AtomicBool>) {
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        complete(entry, &format!("caller {index} round {round}"), 4).await;
        round += 1;
    }
}

async fn begin_move(operators: SocketAddr) {
    let end = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970") + MOVE_TIME;
    let begin = proto::MoveBegin {
        route: "reports".into(),
        from: "v1".into(),
        to: "v2".into(),
        steps_ppm: vec![50_000, 1_000_000],
        budget_ppm: 20_000,
        end_ms: end.as_millis() as u64,
        cap: 4,
    };
    let action = proto::move_request::Action::Begin(begin);
    let author = proto::Author { operator: "tests".into(), reason: "try v2".into() };
    let mut client = Client::connect(operators, None).await.expect("serving");
    client.moves(Some(author), action).await.expect("the move begins");
}

/// Waits until the move has ended and returns its state.
async fn wait_for_verdict(operators: SocketAddr) -> proto::MoveState {
    let mut client = Client::connect(operators, None).await.expect("serving");
    let show = || proto::move_request::Action::Show(proto::MoveShow::default());
    let interval = Duration::from_millis(250);
    let tries = (MOVE_TIME + VERDICT_TIMEOUT).as_millis() / interval.as_millis();
    for _ in 0..tries {
        let reply = client.moves(None, show()).await.expect("shown");
        if let Some(ended) = reply.moves.into_iter().find(|state| state.verdict != "running") {
            return ended;
        }
        tokio::time::sleep(interval).await;
    }
    panic!("no verdict after {tries} polls");
}
