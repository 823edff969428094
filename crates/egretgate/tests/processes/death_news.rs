//! The end of a request whose engine died, at a side process with two entries that the test plays.

use std::time::{Duration, Instant};

use egretgate_fakes::engine::{Engine, EngineSpec};

use crate::played_entry::{PlayedEntry, SOON};
use crate::testbed::{Kind, Testbed};

const POISON_PROMPT: &str = "venom";
/// Time for which the end must be held back.
const HELD: Duration = Duration::from_millis(200);

/// Guards against a caller that sends a request again through an entry that doesn't know yet that
/// an engine died while it ran.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_request_waits_until_all_entries_know_of_the_death() {
    #[derive(Debug, PartialEq)]
    enum Second {
        Acknowledges,
        Disconnects,
        StaysSilent,
    }
    for second_does in [Second::Acknowledges, Second::Disconnects, Second::StaysSilent] {
        let engine = Engine::start(EngineSpec::new()).await.expect("loopback");
        engine.set_poison(Some(POISON_PROMPT));
        let side = Testbed::unlisted_side("writer-1", Kind::Engine, engine.address(), "v1");
        let mut first = PlayedEntry::connect(side.address("link"), 1).await;
        let mut second = PlayedEntry::connect(side.address("link"), 2).await;
        first.offer(1, POISON_PROMPT).await;
        let sequence = first.wait_for_death().await.sequence;
        assert_eq!(second.wait_for_death().await.sequence, sequence);
        let reported = Instant::now();
        first.acknowledge(sequence).await;
        assert!(!first.gets_end(1, HELD).await, "{second_does:?}: the second entry may not know");
        match second_does {
            Second::Acknowledges => second.acknowledge(sequence).await,
            Second::Disconnects => drop(second),
            Second::StaysSilent => {}
        }
        assert!(first.gets_end(1, SOON).await, "{second_does:?}: no end");
        assert!(reported.elapsed() < SOON, "{second_does:?}");
    }
}
