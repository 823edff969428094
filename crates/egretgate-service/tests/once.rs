//! Calls under faults: a call reported as not sent is never executed, and no call is executed
//! twice.

use std::collections::BTreeMap;
use std::time::Duration;

use egretgate_fakes::relay::Relay;
use egretgate_fakes::service::Service;
use egretgate_service::{Call, Error, ServiceClient};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4096;
/// Timeout of a call, so that a frozen service doesn't block the test.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Result of a call as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallResult {
    Done,
    Failed(u16),
    NotSent,
    MaybeSent,
}

async fn call(client: ServiceClient, id: String) -> (String, CallResult) {
    let call = Call::new(&id, "POST", "/tags/book", "{}").key(format!("key-{id}"));
    let whole = async {
        let answer = client.call(call).await?;
        let status = answer.status;
        answer.collect(MAX_ANSWER_BYTES).await.map(|_| status)
    };
    let result = match time::timeout(TIMEOUT, whole).await {
        Ok(Ok(200)) => CallResult::Done,
        Ok(Ok(status)) => CallResult::Failed(status),
        Ok(Err(Error::NotSent(_))) => CallResult::NotSent,
        Ok(Err(Error::MaybeSent(_))) | Err(_) => CallResult::MaybeSent,
    };
    (id, result)
}

#[tokio::test]
async fn each_fault_gives_the_right_result() {
    struct Case {
        name: &'static str,
        fault: fn(&Service),
        result: CallResult,
        executions: u64,
    }
    let cases = [
        Case { name: "none", fault: |_| {}, result: CallResult::Done, executions: 1 },
        Case {
            name: "fails before",
            fault: |service| service.fail_before(1),
            result: CallResult::Failed(503),
            executions: 0,
        },
        Case {
            name: "fails after",
            fault: |service| service.fail_after(1),
            result: CallResult::Failed(500),
            executions: 1,
        },
        Case {
            name: "lost answer",
            fault: |service| service.lose_answers(1),
            result: CallResult::MaybeSent,
            executions: 1,
        },
        Case {
            name: "frozen",
            fault: |service| service.freeze(true),
            result: CallResult::MaybeSent,
            executions: 0,
        },
    ];
    for Case { name, fault, result, executions } in cases {
        let service = Service::start().await.unwrap();
        let client = ServiceClient::new(service.address());
        fault(&service);
        let (id, found) = call(client, name.replace(' ', "-")).await;
        assert_eq!(found, result, "{name}");
        assert_eq!(service.total(), executions, "{name}");
        assert_eq!(service.executions(&format!("key-{id}")), executions, "{name}");
    }
}

/// Guards against wrong results: calls run concurrently while connections are cut and the service
/// crashes, freezes and loses answers. Each result is compared with the service's own count of
/// executions by request id.
#[tokio::test]
async fn not_sent_is_never_run_and_nothing_runs_twice() {
    let mut results = Vec::new();
    for seed in 0..8 {
        results.extend(fuzz(seed).await);
    }
    // Checks that the faults led to each of these results.
    for outcome in [CallResult::Done, CallResult::NotSent, CallResult::MaybeSent] {
        assert!(results.contains(&outcome), "no call was {outcome:?}");
    }
}

async fn fuzz(seed: u64) -> Vec<CallResult> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let service = Service::start().await.unwrap();
    let relay = Relay::start(service.address()).await.unwrap();
    let clients = [ServiceClient::new(service.address()), ServiceClient::new(relay.address())];
    let mut calls = JoinSet::new();
    for number in 0..400 {
        let client = clients[rng.random_range(0..clients.len())].clone();
        calls.spawn(call(client, format!("{seed}-{number}")));
        match rng.random_range(0..40) {
            0 => service.cut(),
            1 => relay.cut(),
            2 => service.crash(Duration::from_millis(rng.random_range(0..5))),
            3 => service.lose_answers(rng.random_range(1..4)),
            4 => service.fail_after(1),
            5 => service.fail_before(1),
            6 => service.freeze(true),
            7..12 => service.freeze(false),
            12..20 => time::sleep(Duration::from_millis(1)).await,
            _ => tokio::task::yield_now().await,
        }
    }
    service.freeze(false);
    let results: BTreeMap<_, _> = calls.join_all().await.into_iter().collect();
    let executions = service.ids();
    for (id, result) in &results {
        let executed = executions.get(id).copied().unwrap_or_default();
        let allowed = match result {
            CallResult::Done | CallResult::Failed(500) => 1..=1,
            CallResult::NotSent | CallResult::Failed(_) => 0..=0,
            CallResult::MaybeSent => 0..=1,
        };
        assert!(allowed.contains(&executed), "seed {seed}: {id} {result:?} ran {executed} times");
    }
    results.into_values().collect()
}
