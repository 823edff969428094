//! Planned shutdowns cut no request.

use std::time::Duration;

use egretgate_fakes::engine::{Engine, EngineSpec, expected_completion};
use tokio::task::JoinSet;

use crate::caller::{Reply, complete};
use crate::testbed::{Kind, Process, Testbed};

/// Longest time that a shutdown may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of requests in flight when the signal is sent.
const REQUESTS: usize = 24;
/// Length of each answer, in tokens.
const TOKENS: usize = 150;

/// Process that is sent the signal.
#[derive(Debug, Clone, Copy)]
enum Target {
    Entry,
    Side,
}

struct Case {
    target: Target,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_cuts_no_request() {
    for case in [Case { target: Target::Entry }, Case { target: Target::Side }] {
        stop_under_load(case.target).await;
    }
}

async fn stop_under_load(target: Target) {
    let testbed = Testbed::start().await;
    let engines = [
        Engine::start(EngineSpec::new()).await.expect("loopback"),
        Engine::start(EngineSpec::new()).await.expect("loopback"),
    ];
    let mut side = testbed.side("writer-1", Kind::Engine, engines[0].address());
    let _other = testbed.side("writer-2", Kind::Engine, engines[1].address());
    let mut entry = testbed.entry("entry-1");
    testbed.declare(&entry).await;
    let address = entry.address("callers");
    let mut calls = JoinSet::new();
    for index in 0..REQUESTS {
        calls.spawn(async move {
            let prompt = format!("report {index}");
            let reply = complete(address, &prompt, TOKENS).await;
            (prompt, reply)
        });
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    let stopped: &mut Process = match target {
        Target::Entry => &mut entry,
        Target::Side => &mut side,
    };
    stopped.signal("TERM");
    for (prompt, reply) in calls.join_all().await {
        let whole = reply.text() == Some(expected_completion(&prompt, TOKENS));
        assert!(whole || reply.is_not_run(), "{target:?}: {prompt}: {reply:?}");
        if matches!(target, Target::Side) {
            assert!(whole, "the other upstream could serve it: {reply:?}");
        }
        assert!(reply != Reply::Broken, "{target:?}: {prompt} was cut");
    }
    assert!(stopped.wait(STOP_TIMEOUT), "{target:?} did not end well in time");
    for engine in &engines {
        assert!(engine.ids().values().all(|count| *count == 1), "dispatched once");
    }
}
