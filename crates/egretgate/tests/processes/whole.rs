//! Whole answers in normal operation.

use egretgate_fakes::engine::{Engine, EngineSpec, expected_completion};
use egretgate_fakes::service::Service;

use crate::caller::{Reply, complete, tag};
use crate::testbed::{Kind, Testbed};

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_through_two_entries_and_two_side_processes() {
    let testbed = Testbed::start().await;
    let engines = [
        Engine::start(EngineSpec::new()).await.expect("loopback"),
        Engine::start(EngineSpec::new()).await.expect("loopback"),
    ];
    let service = Service::start().await.expect("loopback");
    let _first = testbed.side("writer-1", Kind::Engine, engines[0].address());
    let _second = testbed.side("writer-2", Kind::Engine, engines[1].address());
    let _ledger = testbed.side("ledger-1", Kind::Plain, service.address());
    let entries = [testbed.entry("entry-1"), testbed.entry("entry-2")];
    testbed.declare(&entries[0]).await;

    for round in 0..8 {
        let entry = entries[round % 2].address("callers");
        let prompt = format!("inspection report {round}");
        let reply = complete(entry, &prompt, 20).await;
        assert_eq!(
            reply.text(),
            Some(expected_completion(&prompt, 20)),
            "round {round}: {reply:?}"
        );
    }
    let executions: u64 = engines.iter().map(|engine| engine.counts().executions).sum();
    assert_eq!(executions, 8);
    assert!(engines.iter().all(|engine| engine.ids().values().all(|count| *count == 1)));

    let first = tag(entries[0].address("callers"), "tag-7").await;
    assert!(matches!(first, Reply::Whole(_)), "{first:?}");
    let again = tag(entries[1].address("callers"), "tag-7").await;
    assert_eq!(again, first, "the recorded answer is replayed");
    assert_eq!(service.executions("tag-7"), 1);
}
