//! Records expire: the keeper's snapshot carries the state on.

use std::time::{Duration, Instant};

use egretgate::core::record::{Body, decode};
use egretgate::operator::{Client, proto};
use egretgate_fakes::service::Service;

use crate::bed::{Bed, Kind, ready};
use crate::caller::{Told, tag};

/// Records that make a snapshot due.
const FILLER: usize = 400;
/// Time by which the keeper must have appended its snapshot.
const LIMIT: Duration = Duration::from_secs(40);
/// Records that the log keeps in the end.
const KEPT: usize = 40;

#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_starts_from_a_snapshot_once_the_oldest_records_are_gone() {
    let bed = Bed::start().await;
    let service = Service::start().await.expect("loopback");
    let _side = bed.side("ledger-1", Kind::Plain, service.address());
    let first = bed.entry("entry-1");
    bed.declare(&first).await;
    let told = tag(first.address("callers"), "before").await;
    assert!(matches!(told, Told::Whole(_)), "{told:?}");
    let declared = digest(&first).await;

    for _ in 0..FILLER {
        bed.log.push(vec![0xff; 64]);
    }
    wait_for_snapshot(&bed).await;
    bed.log.set_horizon(KEPT);
    bed.log.push(vec![0xff; 64]);
    assert!(bed.log.oldest() > 0, "the oldest records are gone");

    let second = bed.entry("entry-2");
    ready(second.address("admin")).await;
    let again = tag(second.address("callers"), "before").await;
    assert_eq!(again, told, "the key's outcome was carried by the snapshot");
    assert_eq!(service.executions("before"), 1);
    assert_eq!(digest(&second).await.items, declared.items);
}

async fn wait_for_snapshot(bed: &Bed) {
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        let chunk = |record: &bytes::Bytes| {
            decode(record).is_ok_and(|record| matches!(record.body, Some(Body::Chunk(_))))
        };
        let records = bed.log.records();
        // A snapshot after the filler: the declarations themselves may have brought one before.
        if records.iter().skip(FILLER).any(chunk) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no snapshot in time");
}

async fn digest(entry: &crate::bed::Process) -> proto::GetReply {
    let mut client = Client::connect(entry.address("operators"), None).await.expect("serving");
    client.get(proto::GetRequest::default()).await.expect("answered")
}
