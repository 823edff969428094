//! Zones that operators drain and restore while requests run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use egretgate::core::ErrorKind;
use egretgate::operator::proto::zone_request::Action;
use egretgate::operator::{Client, ClientError, proto};
use egretgate_fakes::engine::{Engine, EngineSpec, expected_completion};
use tokio::task::JoinSet;

use crate::caller::complete;
use crate::testbed::{Kind, Testbed, ZONE, wait_until, wait_until_ready};

/// A second zone, of one of the two upstreams.
const OTHER_ZONE: &str = "ub-bayanzurkh";
/// Time within which an accepted order must be in force at every entry.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Requests that run while the zone is drained.
const RUNNING: usize = 16;
/// Length of their answers, in tokens: long enough to outlast the order.
const LONG_TOKENS: usize = 400;
/// Requests that are sent after the order.
const LATER: usize = 20;

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_zone_gets_nothing_new_and_what_runs_there_ends() {
    let testbed = Testbed::start().await;
    let engines = [
        Engine::start(EngineSpec::new()).await.expect("loopback"),
        Engine::start(EngineSpec::new()).await.expect("loopback"),
    ];
    let _sides = [
        testbed.side_in(ZONE, "writer-1", Kind::Engine, engines[0].address()),
        testbed.side_in(OTHER_ZONE, "writer-2", Kind::Engine, engines[1].address()),
    ];
    let mut entries = vec![testbed.entry("entry-1"), testbed.entry("entry-2")];
    testbed.declare(&entries[0]).await;
    for entry in &entries {
        wait_until_serving(entry.address("callers")).await;
    }
    let executions = |index: usize| engines[index].counts().executions;

    let mut running = JoinSet::new();
    for index in 0..RUNNING {
        let entry = entries[index % 2].address("callers");
        running.spawn(async move {
            let prompt = format!("running {index}");
            (complete(entry, &prompt, LONG_TOKENS).await, prompt)
        });
    }
    wait_until("both engines run", || executions(0) > 1 && executions(1) > 1).await;

    // Of two orders at once, one is accepted.
    let (first, second) = tokio::join!(
        order(entries[0].address("operators"), OTHER_ZONE, Action::Drain, 0),
        order(entries[1].address("operators"), OTHER_ZONE, Action::Drain, 0)
    );
    let replies = [first, second];
    assert_eq!(replies.iter().flatten().count(), 1, "{replies:?}");
    let conflict = |reply: &Result<proto::ZoneReply, ClientError>| {
        matches!(reply,
        Err(ClientError::Refused(error)) if error.kind == ErrorKind::Conflict)
    };
    assert!(replies.iter().any(conflict), "{replies:?}");
    for entry in &entries {
        wait_until_drained(entry.address("operators"), &[OTHER_ZONE]).await;
    }
    entries.push(testbed.entry("entry-3"));
    wait_until_ready(entries[2].address("admin")).await;
    wait_until_serving(entries[2].address("callers")).await;

    // A request that was offered before the order may still begin.
    let before = executions(1);
    assert!(before as usize <= RUNNING + 2, "{before} runs");
    for index in 0..LATER {
        let prompt = format!("later {index}");
        let reply = complete(entries[index % 3].address("callers"), &prompt, 8).await;
        assert_eq!(reply.text(), Some(expected_completion(&prompt, 8)), "{reply:?}");
    }
    let started = executions(0) + executions(1);
    while let Some(ended) = running.join_next().await {
        let (reply, prompt) = ended.expect("no panic");
        let whole = reply.text() == Some(expected_completion(&prompt, LONG_TOKENS));
        assert!(whole, "{prompt}: {reply:?}");
    }
    assert_eq!(executions(0) + executions(1), started, "nothing was run again");
    assert_eq!(executions(1), before, "the drained zone got more");

    // With all zones drained the refusal says so.
    let operators = entries[0].address("operators");
    order(operators, ZONE, Action::Drain, 0).await.expect("accepted");
    wait_until_drained(operators, &[OTHER_ZONE, ZONE]).await;
    let (before, reply) = (started, complete(entries[0].address("callers"), "nowhere", 8).await);
    assert!(reply.is_not_run() && reply.has_retry_after(), "{reply:?}");
    assert_eq!(reply.code(), ErrorKind::NoUpstream.code(), "{reply:?}");
    assert_eq!(executions(0) + executions(1), before, "a refused request ran");

    let drained = zones(operators).await;
    for zone in &drained {
        assert_eq!((zone.operator.as_str(), zone.upstreams), ("tests", 1), "{zone:?}");
        order(operators, &zone.zone, Action::Restore, zone.revision).await.expect("accepted");
    }
    wait_until_drained(operators, &[]).await;
    for index in 0..2 {
        let before = executions(index);
        let entry = entries[0].address("callers");
        wait_until_more(entry, || executions(index) > before).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_no_upstream_is_in_is_drained_for_those_that_come() {
    let testbed = Testbed::start().await;
    let engine = Engine::start(EngineSpec::new()).await.expect("loopback");
    let entry = testbed.entry("entry-1");
    testbed.declare(&entry).await;
    let operators = entry.address("operators");
    let reply = order(operators, OTHER_ZONE, Action::Drain, 0).await.expect("accepted");
    assert_eq!((reply.upstreams, reply.remaining), (0, 0));
    let _side = testbed.side_in(OTHER_ZONE, "writer-1", Kind::Engine, engine.address());
    let end = Instant::now() + IN_FORCE_TIMEOUT;
    while zones(operators).await[0].upstreams == 0 {
        assert!(Instant::now() < end, "the upstream is not known in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let reply = complete(entry.address("callers"), "too late", 8).await;
    assert!(reply.is_not_run() && reply.has_retry_after(), "{reply:?}");
    assert_eq!(engine.counts().executions, 0);
}

async fn client(operators: SocketAddr) -> Client {
    Client::connect(operators, None).await.expect("serving")
}

async fn zones(operators: SocketAddr) -> Vec<proto::DrainedZone> {
    client(operators).await.status().await.expect("answered").zones
}

async fn order(
    operators: SocketAddr,
    zone: &str,
    action: Action,
    revision: u64,
) -> Result<proto::ZoneReply, ClientError> {
    let author = proto::Author { operator: "tests".into(), reason: "repair".into() };
    let request = proto::ZoneRequest {
        author: Some(author),
        zone: zone.into(),
        action: action.into(),
        revision,
    };
    client(operators).await.zone(request).await
}

async fn wait_until_drained(operators: SocketAddr, expected: &[&str]) {
    let end = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let zones = zones(operators).await;
        let names: Vec<&str> = zones.iter().map(|zone| zone.zone.as_str()).collect();
        if names == expected {
            return;
        }
        assert!(Instant::now() < end, "{names:?} instead of {expected:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn wait_until_serving(entry: SocketAddr) {
    wait_until_more(entry, || true).await;
}

/// Sends requests until one is answered in whole and the condition holds.
async fn wait_until_more(entry: SocketAddr, condition: impl Fn() -> bool) {
    let end = Instant::now() + 4 * IN_FORCE_TIMEOUT;
    while complete(entry, "warm-up", 2).await.text().is_none() || !condition() {
        assert!(Instant::now() < end, "{entry} does not serve in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
