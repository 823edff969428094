//! Records expire: the keeper's snapshot carries the state on.

use std::time::{Duration, Instant};

use egretgate::core::record::{Body, decode};
use egretgate::operator::{Client, proto};
use egretgate_fakes::relay::Relay;
use egretgate_fakes::service::Service;

use crate::bed::{Bed, Kind, ready};
use crate::caller::{Told, tag};

/// Records that make a snapshot due.
const FILLER: usize = 400;
/// Time by which the keeper must have appended its snapshot.
const LIMIT: Duration = Duration::from_secs(40);
/// Records that the log keeps in the end.
const KEPT: usize = 40;

/// When the last quarter of the filler comes, relative to the snapshot that the rest brings about.
struct Case {
    /// Time that each piece takes between the keeper and the log.
    delay: Duration,
    pause: Duration,
}

const CASES: [Case; 3] = [
    // At once.
    Case { delay: Duration::ZERO, pause: Duration::ZERO },
    // While the snapshot is on its way: it covers less than the log keeps.
    Case { delay: Duration::from_millis(300), pause: Duration::from_millis(330) },
    // After the snapshot, which expires.
    Case { delay: Duration::ZERO, pause: Duration::from_millis(600) },
];

#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_starts_from_a_snapshot_once_the_oldest_records_are_gone() {
    for case in CASES {
        run_case(&case).await;
    }
}

async fn run_case(case: &Case) {
    let bed = Bed::start().await;
    let service = Service::start().await.expect("loopback");
    let _side = bed.side("ledger-1", Kind::Plain, service.address());
    let relay = Relay::start(bed.log.address()).await.expect("loopback");
    let first = bed.entry_with("entry-1", relay.address());
    bed.declare(&first).await;
    let told = tag(first.address("callers"), "before").await;
    assert!(matches!(told, Told::Whole(_)), "{told:?}");
    let declared = digest(&first).await;

    relay.set_delay(case.delay);
    let before = bed.log.head() as usize;
    fill(&bed, FILLER * 3 / 4);
    tokio::time::sleep(case.pause).await;
    fill(&bed, FILLER / 4);
    let filled = bed.log.head();
    wait_for_snapshot(&bed, before).await;
    // What expires before any entry has read it is lost for good.
    wait_until_read(&first, filled).await;
    bed.log.set_max_records(KEPT);
    bed.log.push(vec![0xff; 64]);
    assert!(bed.log.oldest() > 0, "the oldest records are gone");

    let second = bed.entry("entry-2");
    ready(second.address("admin")).await;
    let again = tag(second.address("callers"), "before").await;
    assert_eq!(again, told, "the key's outcome was carried by the snapshot");
    assert_eq!(service.executions("before"), 1);
    assert_eq!(digest(&second).await.items, declared.items);
}

fn fill(bed: &Bed, records: usize) {
    for _ in 0..records {
        bed.log.push(vec![0xff; 64]);
    }
}

/// Waits for a snapshot after the first `before` records.
async fn wait_for_snapshot(bed: &Bed, before: usize) {
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        let chunk = |record: &bytes::Bytes| {
            decode(record).is_ok_and(|record| matches!(record.body, Some(Body::Chunk(_))))
        };
        let records = bed.log.records();
        if records.iter().skip(before).any(chunk) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no snapshot in time");
}

async fn wait_until_read(entry: &crate::bed::Process, offset: u64) {
    let mut client = Client::connect(entry.address("operators"), None).await.expect("serving");
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        let status = client.status().await.expect("answered");
        if status.offset >= offset {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("not read up to {offset} in time");
}

async fn digest(entry: &crate::bed::Process) -> proto::GetReply {
    let mut client = Client::connect(entry.address("operators"), None).await.expect("serving");
    client.get(proto::GetRequest::default()).await.expect("answered")
}
